// Package plat reaches the platform's object API.
//
// Writes are conditional and carry the name of their operation, so that a write
// whose answer was lost recognises its own success. Failures are *Error.
package plat
