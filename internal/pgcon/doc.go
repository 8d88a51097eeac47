// Package pgcon implements the client side of the PostgreSQL protocol: connections to
// backend servers that run one request at a time and report how far a failed one got.
//
// Failures are returned as *proto.DialError and *proto.RunError.
package pgcon
