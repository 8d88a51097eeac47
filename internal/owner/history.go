package owner

import (
	"time"

	"geraniumseam.dev/internal/rule/group"
)

// confirmDelay is how long after a doubtful status nothing must have come on its connection for it to be believed: if it
// was a copy, the server's own answer is still to come.
const confirmDelay = 10 * time.Millisecond

// maxHistory bounds the statuses that are remembered of a connection.
const maxHistory = 1 << 10

// history is what a control connection has reported; the zero value is that of a new one.
type history struct {
	last group.Status
	// seen holds all statuses, without the loads, which change back and forth.
	seen map[group.Status]bool
	// lastAsked is when the last status was asked for, lastAnswered when it came, and confirmed when the last status that
	// is no copy was asked for.
	lastAsked, lastAnswered, confirmed time.Time
}

// fallsBehind reports whether a status shows less than the last one.
func (h *history) fallsBehind(s group.Status) bool {
	switch {
	case len(h.seen) == 0:
		return false
	case s.Term != h.last.Term:
		return s.Term < h.last.Term
	}
	return s.LogTerm < h.last.LogTerm || s.LogTerm == h.last.LogTerm && s.Received < h.last.Received
}

// isOld reports whether the connection has reported the status before, but not last.
func (h *history) isOld(s group.Status) bool {
	s.Load = group.Load{}
	return h.seen[s] && s != h.last
}

// add adds a status and returns since when it is known to have been the server's: a doubtful one tells nothing newer than
// the last that was confirmed.
func (h *history) add(s group.Status, asked, now time.Time, doubtful bool) time.Time {
	s.Load = group.Load{}
	if len(h.seen) >= maxHistory {
		h.seen = nil
	}
	if h.seen == nil {
		h.seen = map[group.Status]bool{}
	}
	h.seen[s] = true
	h.last, h.lastAsked, h.lastAnswered = s, asked, now
	if !doubtful {
		h.confirmed = asked
	}
	return h.confirmed
}

// confirm records that nothing has come on the connection since its last status.
func (h *history) confirm(now time.Time) {
	if now.Sub(h.lastAnswered) >= confirmDelay {
		h.confirmed = h.lastAsked
	}
}
