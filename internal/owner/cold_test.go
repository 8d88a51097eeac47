package owner

import (
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// TestColdServerGetsItsPart guards against a cold server that gets more than its owner's part of the rate, after its start
// and after an evacuation, and against a limit that outlives it.
func TestColdServerGetsItsPart(t *testing.T) {
	const rate, owners = 40, 2
	h := startLeaverHost(t)
	h.snapshot.Centers = map[ident.CenterID]conf.Center{"y": {Part: 1}, "z": {Part: 1}}
	list := func(cold bool) {
		g := groupOf("a", "b", "c")
		for at := range g.Servers {
			g.Servers[at].Center, g.Servers[at].Cold = "z", cold
		}
		g.ColdRate = rate
		h.snapshot.Groups["g"] = g
		h.Reconcile(h.snapshot, h.owners)
	}
	list(false)
	count := func() int {
		done := 0
		for end := clock.Now().Add(time.Second); clock.Now().Before(end); {
			if r := h.run(stmt.Write, "c"); r.Outcome == fault.Done {
				done++
			} else if r.Outcome != fault.NotSent {
				t.Fatalf("got %s %s, want done or not-sent", r.Outcome, r.Reason)
			}
		}
		return done
	}
	eventually(t, "the primary runs work", func() bool { return h.run(stmt.Write, "c").Outcome == fault.Done })
	want := func(what string, limited bool) {
		t.Helper()
		if got := count(); limited != (got <= rate/owners+1) || got < rate/owners/2 {
			t.Errorf("%s: %d requests in a second, limited to %d: %t", what, got, rate/owners, limited)
		}
	}
	want("warm", false)
	list(true)
	want("cold", true)
	list(false)
	want("warm again", false)
	h.evacuate("z")
	h.evacuate()
	want("back from an evacuation", true)
}
