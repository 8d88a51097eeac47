package stmt

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind says how a statement may be routed and whether it may be repeated.
type Kind uint8

// The kinds, from the least to the most demanding.
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

// Class is what the text of one request tells.
type Class struct {
	Kind Kind
	// ReadOnly marks a BEGIN that promises to write nothing.
	ReadOnly bool
	// Keeps marks a statement that leaves state on its connection after the transaction.
	Keeps bool
	// Setting and Value are filled for SET and SHOW of one setting.
	Setting string
	Value   string
}

// Idempotent reports whether running the statement twice is the same as running it once.
func (c Class) Idempotent() bool {
	switch c.Kind {
	case Empty, Read, Show, Rollback:
		return true
	default:
		return false
	}
}
