package match

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the transaction status of a connection.
type State uint8

// The states.
const (
	// Idle: no transaction is open.
	Idle State = iota // idle
	// Open: a transaction is open.
	Open // open
	// Failed: a transaction is open that can only be rolled back.
	Failed // failed
)

// Digest identifies the content of an answer, or a signature.
type Digest uint64

// Answer is what a whole answer shows: Signed, Plain, Refused or Bare.
type Answer interface {
	state() State
	// content returns what a copy of the answer has in common with it.
	content() Digest
}

// Signed is a success with the signature of the server's run.
type Signed struct {
	Signature Digest
	Rows      int
	State     State
}

// Plain is a success without a signature.
type Plain struct {
	// Content identifies all messages of the answer.
	Content Digest
	Rows    int
	State   State
}

// Refused is an error.
type Refused struct {
	// Content identifies all messages of the answer, Error the code and text alone.
	Content, Error Digest
	// UnknownName is set if the error is the one with which a server refuses a marker in that state.
	UnknownName bool
	State       State
}

// Bare is an answer that says neither that its request succeeded nor that it failed.
type Bare struct {
	Content Digest
	State   State
}

func (a Signed) state() State  { return a.State }
func (a Plain) state() State   { return a.State }
func (a Refused) state() State { return a.State }
func (a Bare) state() State    { return a.State }

func (a Signed) content() Digest  { return a.Signature }
func (a Plain) content() Digest   { return a.Content }
func (a Refused) content() Digest { return a.Content }
func (a Bare) content() Digest    { return a.Content }
