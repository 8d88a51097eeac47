package group

import (
	"time"

	"geraniumseam.dev/pkg/ident"
)

// LeaseState is a copy of what a TermLease has proved.
type LeaseState struct {
	Term    ident.Term
	Primary ident.ServerID
	// Until is when the lease ends.
	Until time.Time
	// RecordAsked is when the last read of the record was begun.
	RecordAsked time.Time
	// Confirmed is the primary's last position that was reported under the lease, ConfirmedAsked when
	// it was asked for; the zero time means never.
	Confirmed      ident.Floor
	ConfirmedAsked time.Time
	// Proven are positions that every later primary has, at most one of each term.
	Proven [2]ident.Floor
}

// State returns what the lease has proved.
func (l *TermLease) State() LeaseState {
	s := LeaseState{Term: l.term, Primary: l.primary, Until: l.until, RecordAsked: l.recordAsked, ConfirmedAsked: l.confirmedAsked}
	s.Confirmed = ident.Floor{Term: l.term, Position: l.confirmed.Received}
	at := 0
	for term, position := range l.proven {
		s.Proven[at] = ident.Floor{Term: term, Position: position}
		at++
	}
	return s
}

// Proves reports whether every later primary has a position.
func (s LeaseState) Proves(f ident.Floor) bool {
	for _, proven := range s.Proven {
		if proven.Term == f.Term && proven.Position >= f.Position {
			return true
		}
	}
	return false
}

// NeedsAll reports whether one member does not suffice any more to extend the lease and to prove a position.
func (s LeaseState) NeedsAll(now time.Time) bool {
	return !now.Before(s.RecordAsked.Add(RecordLifetime))
}

// Valid reports whether the lease is valid at a time.
func (s LeaseState) Valid(now time.Time) bool { return s.Term > 0 && now.Before(s.Until) }
