package match

//go:generate go tool stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict says whether an answer is that to the current request.
type Verdict uint8

// The verdicts.
const (
	// Own: the answer is the request's.
	Own Verdict = iota // own
	// Likely: the answer is the request's, or a copy of an earlier one that looks the same.
	Likely // likely
	// Earlier: the answer is that to an earlier request or a copy of it; the request's is still to come.
	Earlier // earlier
	// Foreign: the answer cannot be to any request of the connection.
	Foreign // foreign
	// Unfit: the answer is the request's, which did not run as it was meant to; the connection must be closed.
	Unfit // unfit
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// MaxAnswers is the number of different answers from which on Full reports true.
	MaxAnswers int
}

// Ledger holds what a connection has been answered so far. It is not safe for concurrent use.
type Ledger struct {
	conf LedgerConfig
	// signed holds the signatures seen, contents identifies the other answers, errors the errors by code and text.
	signed, contents, errors map[Digest]bool
	// Requests may have got copies for their answers, which are then still to come; none of these requests is one whose
	// answer is signed. unsureStates are the states that successes of them leave, none if there is no such request, and
	// unsureErrors those that their errors leave; all of them once an error was doubtful.
	unsureStates, unsureErrors stateSet
	// foreign is set once there was an answer to none of the connection's requests.
	foreign bool
	// behind is set once an error has said that the server's log lacks a position.
	behind bool
	// without is a check that is left out, to show that it is needed.
	without check
}

// stateSet is a set of states.
type stateSet uint8

const allStates stateSet = 1<<Idle | 1<<Open | 1<<Failed

func (s stateSet) has(x State) bool { return s&(1<<x) != 0 }

// check is a check that tests can leave out.
type check uint8

const (
	noCheck check = iota
	checkSignatures
	checkContents
	checkErrors
	checkShape
	checkUnsure
	checkMarker
	checkOthers
	checkUnfit
	checkForeign
	checkFailed
)

// NewLedger returns the ledger of a new connection.
func NewLedger(c LedgerConfig) *Ledger {
	return &Ledger{conf: c, signed: map[Digest]bool{}, contents: map[Digest]bool{}, errors: map[Digest]bool{}}
}

// Full reports whether the connection should be closed when its request or transaction has ended.
func (l *Ledger) Full() bool { return len(l.signed)+len(l.contents) >= l.conf.MaxAnswers }

// Judge decides about the next answer and remembers it. A request goes on until an answer is Own or Likely. If that
// is a Likely error to a request whose success is signed, nothing but a Settlement may follow on the connection.
//
// Strict is for servers that are known to repeat answers: there an error may be a copy of any with its code and text.
func (l *Ledger) Judge(r Request, a Answer, strict bool) Verdict {
	known := l.knows(a, strict)
	l.remember(a)
	_, signed := a.(Signed)
	switch fits := l.without == checkShape || r.fits(a); {
	case known && (signed || !fits):
		return Earlier
	case !fits && l.isUnsure() && signed && r.signed() && l.without != checkUnfit:
		return Unfit
	case !fits && l.isUnsure():
		return Earlier
	case !fits:
		l.foreign = true
		return Foreign
	case signed:
		// Earlier requests whose answers may still be to come get none with a signature.
		l.settled()
		return Own
	case known || l.isUnsure() && l.without != checkUnsure && !l.isBeyondUnsure(a):
		successes, errors := l.leaves(r, a)
		l.unsureStates |= successes
		l.unsureErrors |= errors
		return Likely
	}
	l.settled()
	return Own
}

// isUnsure reports whether the answer to an earlier request may still be to come.
func (l *Ledger) isUnsure() bool { return l.unsureStates != 0 }

// settled records that all requests up to the current one have their answers.
func (l *Ledger) settled() { l.unsureStates, l.unsureErrors = 0, 0 }

// isBeyondUnsure reports whether an answer that was not seen before can be none to the requests whose answers may still
// be to come, because it leaves another state.
func (l *Ledger) isBeyondUnsure(a Answer) bool {
	switch a := a.(type) {
	case Plain:
		return !l.unsureStates.has(a.State)
	case Refused:
		return !l.unsureErrors.has(a.State)
	}
	return false
}

// leaves returns the states that a success of the request leaves, and those that its error leaves, if an answer to it is
// doubtful.
func (l *Ledger) leaves(r Request, a Answer) (successes, errors stateSet) {
	_, failed := a.(Refused)
	switch {
	case failed && l.without != checkFailed:
		// What follows may be sent in another state than is believed.
		return allStates, allStates
	case r.State == Idle:
		return 1 << r.next(), 1 << Idle
	}
	return 1 << r.next(), allStates
}

// Unasked decides about an answer that came while no request was outstanding: Earlier if it is a copy, Likely if it may
// be the answer to an earlier request, else Foreign.
func (l *Ledger) Unasked(a Answer) Verdict {
	known := l.knows(a, true)
	l.remember(a)
	_, signed := a.(Signed)
	switch {
	case known:
		return Earlier
	case l.isUnsure() && !signed:
		return Likely
	}
	return Foreign
}

// knows reports whether an answer can be a copy of an earlier one.
func (l *Ledger) knows(a Answer, strict bool) bool {
	switch a := a.(type) {
	case Signed:
		return l.signed[a.Signature] && l.without != checkSignatures
	case Refused:
		if strict && l.without != checkErrors {
			return l.errors[a.Error]
		}
	}
	return l.contents[a.content()] && l.without != checkContents
}

// remember adds an answer to those seen.
func (l *Ledger) remember(a Answer) {
	switch a := a.(type) {
	case Signed:
		l.signed[a.Signature] = true
		return
	case Refused:
		l.errors[a.Error] = true
		l.behind = l.behind || a.Behind
	}
	l.contents[a.content()] = true
}
