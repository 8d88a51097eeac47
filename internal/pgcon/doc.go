// Package pgcon is the backend side of the PostgreSQL protocol: a connection to
// a backend server that runs one request at a time and tells exactly how far a
// failed one got.
//
// Failures are *RunError and *DialError.
package pgcon
