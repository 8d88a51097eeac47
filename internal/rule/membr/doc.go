// Package membr keeps the view of which instances are there and chooses which of
// them does what.
//
// Choosing is for efficiency only: two instances may choose differently, and
// what must not happen twice is guarded elsewhere.
package membr
