package proto

//go:generate go tool stringer -type=Condition -linecomment -output=condition_string.go

// Condition says whether a connection can take another request.
type Condition uint8

// The conditions.
const (
	// Usable: nothing is outstanding on the connection.
	Usable Condition = iota // usable
	// InTransaction: a transaction is open on the connection.
	InTransaction // in-transaction
	// Broken: this end has closed the connection or given it up.
	Broken // broken
	// Ended: the server's end, or the network, has closed the connection.
	Ended // ended
	// Surplus: bytes have arrived while no request was outstanding.
	Surplus // surplus
)

//go:generate go tool stringer -type=Violation -linecomment -output=violation_string.go

// Violation is a way in which the messages of a connection break its protocol.
type Violation uint8

// The violations.
const (
	// Malformed: a message cannot be read, or is not allowed where it stands.
	Malformed Violation = iota // malformed
	// TooLong: a message is longer than allowed.
	TooLong // too-long
	// Cut: the connection ended inside an answer.
	Cut // cut
	// Repeated: while a request was outstanding, there came the answer to an earlier one or a copy of it.
	Repeated // repeated
	// Misfit: there came an answer that cannot be to any request of the connection.
	Misfit // misfit
	// Doubtful: an answer may be a copy of an earlier one, so that its connection was closed. It violates nothing.
	Doubtful // doubtful
	violationCount
)

// Violations returns all violations.
func Violations() []Violation {
	all := make([]Violation, violationCount)
	for at := range all {
		all[at] = Violation(at)
	}
	return all
}

// Finding is a violation that a connection has met.
type Finding struct {
	Violation Violation
	Evidence  string
}
