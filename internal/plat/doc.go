// Package plat is a client for the platform's object API.
//
// Writes are conditional on the object's version and carry an operation ID, so that the
// retry of a write whose response was lost recognises that the first attempt succeeded.
// Failed calls return an *Error.
package plat
