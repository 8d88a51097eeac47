// Package route chooses the server that a read runs on.
//
// It is pure: the state of the servers and the time are handed in.
package route
