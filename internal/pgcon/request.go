package pgcon

import (
	"fmt"

	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// Statement is a prepared statement that a request refers to by name.
type Statement struct {
	Name  string   `cbor:"1,keyasint"`
	Query string   `cbor:"2,keyasint"`
	OIDs  []uint32 `cbor:"3,keyasint,omitempty"`
}

// Setting is one session setting to replay.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is what one caller wants run: encoded messages that end in exactly one Sync or Query.
type Request struct {
	Messages   []byte      `cbor:"1,keyasint"`
	Statements []Statement `cbor:"2,keyasint,omitempty"`
	Settings   []Setting   `cbor:"3,keyasint,omitempty"`
	// Position asks for the server's state after the request, in the same round trip.
	Position bool `cbor:"4,keyasint,omitempty"`
	// Inserts are answers that the proxy gives itself, in their place among the server's.
	Inserts []Insert `cbor:"5,keyasint,omitempty"`
}

// Insert is one answer without a body, given after so many messages have been answered.
type Insert struct {
	After int  `cbor:"1,keyasint"`
	Kind  byte `cbor:"2,keyasint"`
}

// Answer is how a request ended.
type Answer struct {
	// TxStatus is the transaction status that the server reported: I, T or E.
	TxStatus byte
	// ErrorCode is the SQLSTATE of the first error, empty where there was none.
	ErrorCode string
	// Tag is the last command tag.
	Tag string
	// Status is the server's state right after the request, if it was asked for.
	Status    group.Status
	HasStatus bool
}

//go:generate go tool stringer -type=Stage -linecomment -output=stage_string.go

// Stage says how far a failed request got.
type Stage uint8

// The stages.
const (
	// Unsent: not a byte of the request reached the server.
	Unsent Stage = iota // unsent
	// Sent: some of the request may have reached the server.
	Sent // sent
	// Answering: some of the answer was received.
	Answering // answering
)

// RunError says that a connection failed under a request; the connection is of no more use.
type RunError struct {
	Server ident.ServerID
	Stage  Stage
	// Silent is set if the connection was interrupted for having gone silent.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *RunError) Error() string {
	return fmt.Sprintf("server %s: connection lost, request %s: %v", e.Server, e.Stage, e.Cause)
}

// Unwrap returns what broke the connection.
func (e *RunError) Unwrap() error { return e.Cause }

// DialError says that a server did not accept a connection.
type DialError struct {
	Server ident.ServerID
	// Code is the SQLSTATE that the server gave, empty where it did not answer.
	Code  string
	Cause error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("server %s: no connection (%s): %v", e.Server, e.Code, e.Cause)
}

// Unwrap returns what stood in the way.
func (e *DialError) Unwrap() error { return e.Cause }

// ProtocolError says that a server did not keep to the protocol.
type ProtocolError struct{ What string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol violation: " + e.What }
