package peer

import (
	"context"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/pkg/ident"
)

// How a link that neither end needs is closed, such that no message on it gets lost: each end
// takes it out of use before its last frame.
//
//	first by name: out of use ──Retire──▶ the other: out of use ──RetireAnswer, agreed──▶ closed
//	                                      the other: in use ──RetireAnswer──▶ in use again

// retainFactor times the surplus delay is how long a link is kept that the peer wants. One whose peer
// does not answer is kept for the request delay: the peer may be of a release that does not know Retire.
const retainFactor = 2

// CloseSurplus closes the links that neither end wants and that have carried nothing for a while. It is
// called at short intervals; wants reports whether this end wants the link to a peer.
func (h *Hub) CloseSurplus(wants func(ident.InstanceID) bool) {
	now := clock.Now()
	for _, l := range h.everyLink() {
		if h.conf.Self > l.peer || !l.idle(now) || !l.surplus(now, wants(l.peer)) || !h.takeOutOfUse(l, now, true) {
			continue
		}
		ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), h.conf.Heartbeat)
		if l.send(ctx, kindRetire, 0, Retire{}) != nil {
			h.putBack(l, h.retainDelay())
		}
		cancel()
	}
	h.mu.Lock()
	var unanswered []*link
	for l, since := range h.retiring {
		if now.Sub(since) > h.conf.Timeout {
			unanswered = append(unanswered, l)
		}
	}
	h.mu.Unlock()
	for _, l := range unanswered {
		h.putBack(l, h.conf.RequestDelay)
	}
}

func (h *Hub) retainDelay() time.Duration { return retainFactor * h.conf.SurplusDelay }

// takeOutOfUse makes this end send no more over an idle link, and reports whether it does.
func (h *Hub) takeOutOfUse(l *link, now time.Time, asks bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, asked := h.retiring[l]
	// A link that the peer has agreed to close stays out of use until it has ended.
	agreed := asks && l.isRetired()
	if h.closed || asked || agreed || asks && now.Before(l.retainedUntil) || !l.retire(now) {
		return false
	}
	if asks {
		h.retiring[l] = now
	}
	if h.links[l.peer] == l {
		delete(h.links, l.peer)
		h.linkCount.Dec()
	}
	return true
}

// putBack puts a link back in use that the peer has not agreed to close, and keeps it for a while.
func (h *Hub) putBack(l *link, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, asked := h.retiring[l]; !asked {
		return
	}
	delete(h.retiring, l)
	l.retainedUntil = clock.Now().Add(delay)
	l.unretire()
	if h.links[l.peer] == nil && !h.closed {
		h.links[l.peer] = l
		h.linkCount.Inc()
	}
}

// answerRetire answers the peer's wish to close a link.
func (l *link) answerRetire() error {
	agreed := !l.hub.conf.Handler.WantsLink(l.peer) && l.hub.takeOutOfUse(l, clock.Now(), false)
	if agreed {
		l.hub.conf.Handler.Retired(l.peer)
	}
	_ = l.send(l.tomb.Context(context.Background()), kindRetireAnswer, 0, RetireAnswer{Agreed: agreed})
	return nil
}

// endRetire handles the peer's answer: a link is closed, by an error, if the peer has agreed in time.
func (l *link) endRetire(m RetireAnswer) error {
	l.hub.mu.Lock()
	_, asked := l.hub.retiring[l]
	if asked && m.Agreed {
		delete(l.hub.retiring, l)
	}
	l.hub.mu.Unlock()
	if !asked {
		return nil
	}
	if !m.Agreed {
		l.hub.putBack(l, l.hub.retainDelay())
		return nil
	}
	l.hub.conf.Handler.Retired(l.peer)
	return &Error{Cause: Closed, Peer: l.peer}
}

// noteUse records that the link carries a message other than a heartbeat.
func (l *link) noteUse() { l.lastUsed.Store(clock.Now().UnixNano()) }

// noteRequest records that the link carries a caller's request or a request for tokens.
func (l *link) noteRequest() {
	l.noteUse()
	l.lastRequest.Store(clock.Now().UnixNano())
}

// idle reports whether the link has carried nothing for a while.
func (l *link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idleLocked(now)
}

// idleLocked is like idle; the caller holds the mutex.
func (l *link) idleLocked(now time.Time) bool {
	lastRequest := l.lastRequest.Load()
	return l.streams != nil && !l.running() && now.UnixNano()-l.lastUsed.Load() >= int64(l.hub.conf.SurplusDelay) &&
		(lastRequest == 0 || now.UnixNano()-lastRequest >= int64(l.hub.conf.RequestDelay))
}

// surplus reports whether this end has not wanted the link for a while.
func (l *link) surplus(now time.Time, wanted bool) bool {
	if wanted {
		l.unwantedSince = time.Time{}
		l.noteUse()
		return false
	}
	if l.unwantedSince.IsZero() {
		l.unwantedSince = now
	}
	return now.Sub(l.unwantedSince) >= l.hub.conf.SurplusDelay
}

// retire makes an idle link refuse streams of this end, and reports whether it does.
func (l *link) retire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.idleLocked(now) {
		return false
	}
	l.retired = true
	return true
}

func (l *link) unretire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = false
}

func (l *link) isRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retired
}
