package peer

import (
	"slices"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
)

// TestEchoOfNothingSentHasNoTransit guards against an age that counts as exact (CONFIG) by a heartbeat that returns a time which
// this end has not sent, or says that it took longer to return it than has passed.
func TestEchoOfNothingSentHasNoTransit(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	p := dialRaw(t, a, "b")
	go p.discard()
	now := milliseconds(clock.Now())
	for name, beat := range map[string]Heartbeat{
		"in the future": {Sent: 7, Echo: now + 3_600_000},
		"far back":      {Sent: 7, Echo: 1 << 63},
		"returned late": {Sent: 7, Echo: now, EchoAge: 3_600_000},
		"both":          {Sent: 7, Echo: now, EchoAge: 1<<64 - 1},
	} {
		a.mu.Lock()
		a.transits = nil
		a.mu.Unlock()
		p.send(p.frame(kindHeartbeat, 0, beat))
		var known []time.Duration
		waitFor(t, func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			known = slices.DeleteFunc(slices.Clone(a.transits), func(d time.Duration) bool { return d == UnknownTransit })
			return len(a.transits) > 2
		})
		if len(known) > 0 {
			t.Errorf("an echo %s: transit %v, want none", name, known)
		}
	}
}
