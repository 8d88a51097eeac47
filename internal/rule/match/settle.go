package match

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is what a Settlement has found.
type Outcome uint8

// The outcomes.
const (
	// Pending: more answers have to be read.
	Pending Outcome = iota // pending
	// Answered: the answer just added is the request's.
	Answered // answered
	// Confirmed: the error is the request's.
	Confirmed // confirmed
	// Unclear: it is not known which answer is the request's.
	Unclear // unclear
)

// Settlement finds out whether an error that may be a copy is the answer to its request, which is one whose success
// is signed. The request is followed by a marker, a BEGIN that requires a position which no log has, and which is
// therefore refused. The request's answer is among those up to the marker's.
type Settlement struct {
	ledger  *Ledger
	request Request
	refused Refused
	strict  bool
	// others is set if there was another error.
	others bool
}

// Settle begins a settlement; false if the answer to a marker could be a copy as well.
func (l *Ledger) Settle(r Request, refused Refused, strict bool) (*Settlement, bool) {
	known := l.behind && l.without != checkMarker
	return &Settlement{ledger: l, request: r, refused: refused, strict: strict}, r.signed() && !known && !l.foreign
}

// NeedsRollback reports whether a ROLLBACK has to come before the marker, since every other request is malformed in a
// transaction that failed.
func (s *Settlement) NeedsRollback() bool { return s.refused.State != Idle }

// Add adds the next answer.
func (s *Settlement) Add(a Answer) Outcome {
	if _, plain := a.(Plain); plain && s.NeedsRollback() {
		return Pending
	}
	switch s.ledger.Judge(s.request, a, s.strict) {
	case Own:
		if _, signed := a.(Signed); signed {
			return Answered
		}
	case Unfit, Foreign:
		if s.ledger.without != checkForeign {
			return Unclear
		}
	}
	another, failed := a.(Refused)
	switch {
	case failed && another.Behind && s.others:
		return Unclear
	case failed && another.Behind:
		return Confirmed
	}
	s.others = s.others || failed && another.Error != s.refused.Error && s.ledger.without != checkOthers
	return Pending
}
