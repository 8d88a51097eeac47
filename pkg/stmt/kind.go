package stmt

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind says how a statement may be routed and whether it may be retried.
type Kind uint8

// The kinds, ordered by how much they restrict routing, least first. Set is a change of
// one setting, Pin a statement that ties the session to its connection, and Refused a
// statement that is not supported over pooled connections.
const (
	Empty    Kind = iota // empty
	Read                 // read
	Show                 // show
	Set                  // set
	Begin                // begin
	Commit               // commit
	Rollback             // rollback
	Write                // write
	Pin                  // pin
	Refused              // refused
)

// Class is the classification of one request's text.
type Class struct {
	Kind Kind
	// ReadOnly is set for the BEGIN of a read-only transaction.
	ReadOnly bool
	// LeavesState is set for a statement that leaves state on its connection after the transaction.
	LeavesState bool
	// Setting is the setting of a SET, RESET or SHOW. Value is the new value of a SET; More are the
	// further elements if it is a list.
	Setting string
	Value   string
	More    []string
	// Reset is set if the statement gives the setting its default.
	Reset bool
	// NeverCommits is set if the text can't commit an open transaction, nor transactions of its
	// own while it runs; outside a transaction the whole of it is committed at its end.
	NeverCommits bool
	// WritesNothing is set if the text can't write.
	WritesNothing bool
}

// Idempotent reports whether the statement may safely be run more than once.
func (c Class) Idempotent() bool {
	switch c.Kind {
	case Empty, Read, Show, Rollback:
		return true
	default:
		return false
	}
}
