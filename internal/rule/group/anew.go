package group

import (
	"slices"
	"time"
)

// restart begins the lease anew if all members have been seen unsealed in the term since the record was
// read. A claim that the record does not show can by then have had no effect, whichever servers it seals.
func (l *TermLease) restart(now time.Time) {
	if l.term == 0 || now.Before(l.until) || !now.Before(l.restartFrom.Add(PromotionTime)) {
		return
	}
	earliest, replicas, safe := now, 0, false
	// unsealedAt is when the first replica that keeps its seal had answered, doubtful the earliest poll of a
	// server that may have lost its seal.
	unsealedAt, doubtful := time.Time{}, now
	for _, member := range l.mayHaveChanged() {
		w := l.witnessOf(member)
		if w == nil || w.poll.Asked.Before(l.restartFrom) || !l.showsTerm(w.poll.Status) {
			return
		}
		earliest = earlier(earliest, w.poll.Asked)
		keeps := l.keepsSeal(w, now)
		if !keeps && !w.trusted {
			doubtful = earlier(doubtful, w.poll.Asked)
		}
		if member.Server == l.primary || !l.record.isMember(member) {
			continue
		}
		replicas++
		safe = keeps
		if (keeps || w.trusted) && (unsealedAt.IsZero() || w.poll.Answered.Before(unsealedAt)) {
			unsealedAt = w.poll.Answered
		}
	}
	// A promotion ends seals, so the servers that may lead although they are seen unsealed are asked later.
	if replicas == 0 || replicas == 1 && !safe || unsealedAt.IsZero() || doubtful.Before(unsealedAt) {
		return
	}
	l.extend(earliest, now)
	if now.Before(l.until) {
		for _, member := range l.record.Members {
			w := l.states[member.Server]
			w.trusted = w.trusted || l.keepsSeal(w, now)
		}
	}
}

// keepsSeal reports whether a server that is seen unsealed cannot have lost the seal of a claim that may still
// have an effect.
func (l *TermLease) keepsSeal(w *witness, now time.Time) bool {
	return !l.claimPossible && w.connSince.Before(l.restartFrom) || now.Sub(w.unsealedSince) >= unsealedQuiet
}

// mayHaveChanged returns the servers that may lead a later term, or be sealed for one.
func (l *TermLease) mayHaveChanged() []Member {
	all := slices.Clone(l.record.Members)
	if !l.claimPossible {
		return all
	}
	for _, s := range l.record.Candidates {
		if !l.record.isMember(s) {
			all = append(all, s)
		}
	}
	return all
}

// showsTerm reports whether a status shows neither a seal nor a primary that ends the term.
func (l *TermLease) showsTerm(s Status) bool {
	if s.Server == l.primary {
		return s.Role == Primary && s.Term == l.term && s.Sealed <= l.term
	}
	return s.Term <= l.term && s.Sealed <= l.term && (s.Role == Replica || s.Term < l.term)
}
