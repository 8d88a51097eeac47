package dbase

import (
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Point is where in the life of a message a Loss loses its answer.
type Point string

// The points. From Unanswered on, the message has run to its end, with the commit of what it ran
// outside a transaction block.
const (
	// Unrun closes the connection before the statement runs.
	Unrun Point = "unrun"
	// Halfway closes it once the statement has run, before the rest of its message.
	Halfway Point = "halfway"
	// Unanswered closes it without any byte of the answer, Begun after its first ones, Unfinished
	// before its last ones and Answered after the whole of it.
	Unanswered Point = "unanswered"
	Begun      Point = "begun"
	Unfinished Point = "unfinished"
	Answered   Point = "answered"
	// Late sends the answer after a delay, Silent never, while the connection stays open.
	Late   Point = "late"
	Silent Point = "silent"
	// Refused loses nothing: the statement fails with 25006, as on a server that has just become
	// read-only.
	Refused Point = "refused"
)

// Points returns every point.
func Points() []Point {
	return []Point{Unrun, Halfway, Unanswered, Begun, Unfinished, Answered, Late, Silent, Refused}
}

// Loss is a fault that happens once, to the message with the first statement whose text contains
// the marker. It can be armed on several servers.
type Loss struct {
	Marker string
	At     Point
	Delay  time.Duration
	taken  atomic.Bool
}

// Taken reports whether the fault has happened.
func (l *Loss) Taken() bool { return l.taken.Load() }

// Lose arms a fault.
func (f *Faults) Lose(l *Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losses = append(f.losses, l)
}

// takeLoss returns the fault that is to happen to a statement, or nil.
func (f *Faults) takeLoss(text string) *Loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losses = slices.DeleteFunc(f.losses, (*Loss).Taken)
	for _, l := range f.losses {
		if strings.Contains(text, l.Marker) && l.taken.CompareAndSwap(false, true) {
			return l
		}
	}
	return nil
}

// beginLoss applies the faults that come before the statement runs; it returns false to end the
// connection.
func (s *session) beginLoss(c command) (bool, error) {
	l := s.server.faults.takeLoss(c.text)
	if l == nil {
		return true, nil
	}
	switch l.At {
	case Unrun:
		return false, nil
	case Refused:
		if c.endsTx {
			s.endTx()
		}
		return true, errReadOnly
	}
	s.loss = l
	return true, nil
}

// flushAnswer sends the answer to a message, as far as the message's fault lets it; it returns false
// if the connection is to be closed.
func (s *session) flushAnswer() bool {
	l := s.loss
	s.loss = nil
	if l == nil {
		return s.backend.Flush() == nil
	}
	switch l.At {
	case Unanswered:
		return false
	case Silent:
		_, _ = io.Copy(io.Discard, s.conn)
		return false
	case Late:
		time.Sleep(l.Delay)
	default:
		s.out.cut = l.At
	}
	return s.backend.Flush() == nil && l.At == Late
}

const (
	// begunBytes is how much of an answer Begun sends: a header and a part of a body.
	begunBytes = 7
	// unfinishedBytes is how much Unfinished leaves out: a part of ReadyForQuery.
	unfinishedBytes = 3
)

// cutAnswer returns the part of an answer that is sent.
func cutAnswer(p []byte, at Point) []byte {
	switch at {
	case Begun:
		return p[:min(begunBytes, len(p))]
	case Unfinished:
		return p[:max(len(p)-unfinishedBytes, 0)]
	}
	return p
}
