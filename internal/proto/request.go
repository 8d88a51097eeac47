package proto

import (
	"fmt"

	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// Sink receives the bytes of an answer as they arrive. It must copy what it keeps.
type Sink interface {
	// Emit receives whole messages; an error aborts the request.
	Emit(messages []byte) error
}

// Statement is a prepared statement that a request refers to by name.
type Statement struct {
	Name  string   `cbor:"1,keyasint"`
	Query string   `cbor:"2,keyasint"`
	OIDs  []uint32 `cbor:"3,keyasint,omitempty"`
}

// Setting is a session setting to apply to a connection before a request.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
	// More are the further elements if the value is a list.
	More []string `cbor:"3,keyasint,omitempty"`
}

// TxOpening says whether a transaction is begun on the connection before the request runs.
type TxOpening uint8

// The kinds of TxOpening.
const (
	// OpenNone runs the request as it is.
	OpenNone TxOpening = iota
	// OpenReadWrite begins a transaction that may write.
	OpenReadWrite
	// OpenReadOnly begins a read-only transaction.
	OpenReadOnly
)

// Request is a caller's request, encoded in the dialect.
type Request struct {
	Messages []byte `cbor:"1,keyasint"`
	// Statements are the prepared statements that Messages refers to.
	Statements []Statement `cbor:"2,keyasint,omitempty"`
	// Settings are the session's settings.
	Settings []Setting `cbor:"3,keyasint,omitempty"`
	// WantStatus asks for the server's status after the request, in the same round trip.
	WantStatus bool `cbor:"4,keyasint,omitempty"`
	// Injected are answers of the proxy itself, to be inserted among the server's.
	Injected []InjectedMessage `cbor:"5,keyasint,omitempty"`
	// TxOpening begins the transaction whose beginning the proxy has already acknowledged to
	// the caller.
	TxOpening TxOpening `cbor:"6,keyasint,omitempty"`
	// RequiredFloor is the floor that the server's log must have reached to run the request,
	// for drivers whose servers check it.
	RequiredFloor ident.Floor `cbor:"7,keyasint,omitempty"`
	// NeverCommits is set if nothing in the request can commit a transaction that is open on its
	// connection, nor transactions of its own while it runs.
	NeverCommits bool `cbor:"8,keyasint,omitempty"`
	// WritesNothing is set if the protocol rules out that the request itself writes: it reads, or
	// ends a transaction, which keeps no more than earlier requests wrote.
	WritesNothing bool `cbor:"9,keyasint,omitempty"`
}

// InjectedMessage is an answer message without a body, given by the proxy itself.
type InjectedMessage struct {
	// After is how many messages of the request the server has to answer first.
	After int `cbor:"1,keyasint"`
	// Kind is the type byte of the message.
	Kind byte `cbor:"2,keyasint"`
}

//go:generate go tool stringer -type=Refusal -linecomment -output=refusal_string.go

// Refusal classifies the answers of a server that did not do what was requested.
type Refusal uint8

// The refusals.
const (
	// Accepted: no refusal; the request ran, even if it ended with an error of its own.
	Accepted Refusal = iota // accepted
	// ReadOnly: nothing ran because the server is not the primary.
	ReadOnly // read-only
	// Busy: nothing ran because the server is overloaded.
	Busy // busy
	// Lagging: nothing ran because the server's log has not reached the request's floor.
	Lagging // behind
	// Unprepared: nothing ran because the connection lacks a prepared statement.
	Unprepared // unprepared
	// WrongServer: nothing ran because the address belongs to another server.
	WrongServer // misdirected
	// ServerError: the request ran and failed for a reason that lies with the server.
	ServerError // failed
)

// NotRun reports whether the refusal says that nothing of the request took effect.
func (r Refusal) NotRun() bool { return r != Accepted && r != ServerError }

// Answer describes how a request ended; the answer's bytes go to the Sink.
type Answer struct {
	// TxStatus is the transaction status that the server reported: I (idle), T (in a
	// transaction) or E (in a failed transaction).
	TxStatus byte
	// ErrorCode is the dialect's code of the first error, empty if there was none.
	ErrorCode string
	// Refusal classifies the error code.
	Refusal Refusal
	// Completed is set if a statement of the request had completed before the first error.
	Completed bool
	// Tag is the last command tag.
	Tag string
	// Status is the server's status right after the request, if HasStatus is set; in
	// some dialects it contains only term and position.
	Status    group.Status
	HasStatus bool
}

//go:generate go tool stringer -type=Stage -linecomment -output=stage_string.go

// Stage is how far a request got before its connection failed.
type Stage uint8

// The stages.
const (
	// Unsent: no byte of the request was sent.
	Unsent Stage = iota // unsent
	// Sent: a part of the request or all of it may have reached the server.
	Sent // sent
	// Answering: a part of the answer was received.
	Answering // answering
)

// RunError reports that a connection failed during a request; the connection is unusable.
type RunError struct {
	Server ident.ServerID
	Stage  Stage
	// Unresponsive is set if the connection was interrupted because it seemed dead.
	Unresponsive bool
	Cause        error
}

// Error implements error.
func (e *RunError) Error() string {
	return fmt.Sprintf("server %s: connection lost at request stage %s: %v", e.Server, e.Stage, e.Cause)
}

// Unwrap returns the cause of the failure.
func (e *RunError) Unwrap() error { return e.Cause }

// DialError reports that no connection to a server could be established.
type DialError struct {
	Server ident.ServerID
	// Code is the error code that the server answered with, empty if it did not answer.
	Code string
	// NoCapacity is set if the server has no connection left or is overloaded.
	NoCapacity bool
	// Connected is set if the server accepted the network connection.
	Connected bool
	// Refused is set if the server's host refused the connection because nothing listens there.
	Refused bool
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("server %s: connection failed (code %q): %v", e.Server, e.Code, e.Cause)
}

// Unwrap returns the cause of the failure.
func (e *DialError) Unwrap() error { return e.Cause }

// RefusedError reports that a server refused a statement of the proxy's own.
type RefusedError struct {
	Server  ident.ServerID
	Refusal Refusal
	Code    string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("server %s: refused a statement of the proxy as %s (code %q)", e.Server, e.Refusal, e.Code)
}

// ProtocolError reports a message that violates the protocol or is not supported.
type ProtocolError struct {
	Violation Violation
	What      string
	// Cause is the error that a read ended with; nil if there was none.
	Cause error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("protocol violation (%s): %s: %v", e.Violation, e.What, e.Cause)
	}
	return fmt.Sprintf("protocol violation (%s): %s", e.Violation, e.What)
}

// DoubtError reports an answer that may be a copy of an earlier one.
type DoubtError struct{ What string }

// Error implements error.
func (e *DoubtError) Error() string { return "perhaps a copy of an earlier answer: " + e.What }

// Unwrap returns the error that a read ended with.
func (e *ProtocolError) Unwrap() error { return e.Cause }
