package match

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is what a request asks for, as far as its answers differ.
type Kind uint8

// The kinds.
const (
	// Read: its answer has rows and a signature.
	Read Kind = iota // read
	// Write: its answer has a signature.
	Write // write
	// Commit: its answer has a signature and ends the transaction.
	Commit // commit
	// Begin: its answer has no signature and opens a transaction.
	Begin // begin
	// Rollback: its answer has no signature and ends the transaction.
	Rollback // rollback
	// Setting: a statement about the connection itself, whose answer has no signature.
	Setting // setting
	// Query: a statement about the server, whose answer has one row and no signature.
	Query // query
	// Start: the request that begins the session.
	Start // start
)

// Request is a request that awaits its answer.
type Request struct {
	Kind Kind
	// State is the state before the request.
	State State
}

// signed reports whether the answer to the request has a signature unless it failed.
func (r Request) signed() bool { return r.Kind <= Commit }

// fits reports whether an answer can be one to the request. Any request can fail. A signature is needed where the
// server has to sign; elsewhere one that was not seen before can't be a copy either.
func (r Request) fits(a Answer) bool {
	rows, sound := 0, false
	switch a := a.(type) {
	case Signed:
		rows, sound = a.Rows, r.Kind != Start && r.Kind != Query
	case Plain:
		rows, sound = a.Rows, !r.signed() && r.Kind != Start
	case Bare:
		sound = r.Kind == Start
	case Refused:
		return true
	}
	if r.Kind == Query {
		return sound && rows == 1 && a.state() == r.next()
	}
	return sound && (rows == 0 || r.Kind == Read) && a.state() == r.next()
}

// next returns the state that a success of the request leaves.
func (r Request) next() State {
	switch r.Kind {
	case Begin:
		return Open
	case Commit, Rollback:
		return Idle
	}
	return r.State
}
