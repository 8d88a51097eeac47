package route

import (
	"time"

	"geraniumseam.dev/pkg/ident"
)

// maxObservations is the maximum number of observations of the primary that are kept.
const maxObservations = 512

// minObservationGap is the minimum time between two kept observations.
const minObservationGap = 5 * time.Millisecond

// observation is a state that the primary reported when it was polled at polledAt.
type observation struct {
	term     ident.Term
	position ident.Position
	polledAt time.Time
}

// AgeTracker derives upper bounds on the age of replicas' data from observations of the confirmed
// primary. It is not safe for concurrent use.
//
// A primary that was polled at time t reported a position that includes every write
// acknowledged before t, so the data of a replica that has applied this position is no
// older than t.
type AgeTracker struct {
	observations []observation
}

// Record records the position that the confirmed primary reported when polled at the given
// time. Of a run of equal positions only the first and the last observation are kept.
func (a *AgeTracker) Record(polledAt time.Time, term ident.Term, position ident.Position) {
	if n := len(a.observations); n > 0 && a.observations[n-1].position == position && a.observations[n-1].term == term && n > 1 && a.observations[n-2].position == position {
		a.observations[n-1].polledAt = polledAt
		return
	}
	if n := len(a.observations); n > 1 && polledAt.Sub(a.observations[n-2].polledAt) < minObservationGap {
		a.observations = a.observations[:n-1]
	}
	a.observations = append(a.observations, observation{term: term, position: position, polledAt: polledAt})
	if len(a.observations) > maxObservations {
		a.observations = append(a.observations[:0:0], a.observations[len(a.observations)-maxObservations:]...)
	}
}

// Age returns an upper bound on the age of data in the given state; false if no bound is
// known.
func (a *AgeTracker) Age(now time.Time, term ident.Term, applied ident.Position) (time.Duration, bool) {
	for at := len(a.observations) - 1; at >= 0; at-- {
		o := a.observations[at]
		if term >= o.term && applied >= o.position {
			return now.Sub(o.polledAt), true
		}
	}
	return 0, false
}

// Floor returns the earliest observed state that includes every write acknowledged before
// the given time; false if no state has been observed since.
func (a *AgeTracker) Floor(since time.Time) (ident.Floor, bool) {
	for at := range a.observations {
		if o := a.observations[at]; !o.polledAt.Before(since) {
			return ident.Floor{Term: o.term, Position: o.position}, true
		}
	}
	return ident.Floor{}, false
}

// TermStart returns the first observed state of a term, which includes every write acknowledged
// before the term; false if none has been observed.
func (a *AgeTracker) TermStart(term ident.Term) (ident.Floor, bool) {
	for at := range a.observations {
		if o := a.observations[at]; o.term == term {
			return ident.Floor{Term: o.term, Position: o.position}, true
		}
	}
	return ident.Floor{}, false
}

// CatchUpTime estimates how long a replica needs to catch up, from the position that it had
// applied when polled at the given time. The estimate is the time for which it had by then
// been without the next position.
func (a *AgeTracker) CatchUpTime(polledAt time.Time, applied ident.Position) time.Duration {
	reachedAt, ok := a.reachedAt(applied + 1)
	if !ok {
		return 0
	}
	return max(0, polledAt.Sub(reachedAt))
}

// reachedAt returns when the primary was first observed at or above a position.
func (a *AgeTracker) reachedAt(p ident.Position) (time.Time, bool) {
	for at := range a.observations {
		if a.observations[at].position >= p {
			return a.observations[at].polledAt, true
		}
	}
	return time.Time{}, false
}
