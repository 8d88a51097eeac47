// Package route chooses the server that a read runs on.
//
// It does no I/O and reads no clock: callers pass in the state of the servers and the time.
package route
