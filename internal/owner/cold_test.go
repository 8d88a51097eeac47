package owner

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
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

// TestEvacuationEndsWaitForColdServer guards against work that waits for a cold server until its deadline although the
// server has been evacuated meanwhile, and against a transaction that takes a place there although it must end.
func TestEvacuationEndsWaitForColdServer(t *testing.T) {
	const interval, deadline, bound = 20 * time.Second, 40 * time.Second, 10 * time.Second
	for _, kind := range []stmt.Kind{stmt.Write, stmt.Read, stmt.Commit} {
		h := startLeaverHost(t)
		eventually(t, "the primary runs work", func() bool { return h.run(stmt.Write, "c").Outcome == fault.Done })
		g := h.Group("g")
		s := g.at("a")
		w := &Work{
			Group: "g", Kind: kind, ReadConsistency: conf.LatestReads, Customer: "c", Limits: Limits{Run: deadline, QueueWait: deadline, AckWait: time.Second},
			Request: proto.Request{TxOpening: proto.OpenReadWrite},
		}
		want, second := fault.Evacuated, *w
		if kind == stmt.Commit {
			w.Tx, second.Tx, want = openOn(t, g, s, false).id, openOn(t, g, s, false).id, fault.TransactionLost
		}
		g.coldLimits.Store(&coldLimits{rate: float64(time.Second) / float64(interval)})
		s.coldness.update(clock.Now(), true, false)
		if _, admitted := g.awaitCold(t.Context(), s, 0, func() bool { return false }); !admitted {
			t.Fatal("the first request to the cold server was refused")
		}
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		result := make(chan Result, 1)
		go func() { result <- h.Run(ctx, w, &bufferSink{}) }()
		eventually(t, "the request waits for its place", func() bool { return g.coldWait(s, clock.Now()) > interval })
		h.evacuees.update([]ident.CenterID{"z"})
		began := clock.Now()
		if kind == stmt.Commit {
			h.evacuees.since.Store(&map[ident.CenterID]time.Time{"z": began.Add(-evacuatedTransactions)})
		}
		r := <-result
		if took := clock.Since(began); r.Outcome != fault.NotSent || r.Reason != want || took > bound {
			t.Errorf("%s: %s %s after %v, want not-sent %s within %v", kind, r.Outcome, r.Reason, took, want, bound)
		}
		at := clock.Now()
		before := g.coldWait(s, at)
		if r := h.Run(ctx, &second, &bufferSink{}); r.Reason != want || g.coldWait(s, at) != before {
			t.Errorf("%s after the evacuation: %s %s, next place in %v instead of %v", kind, r.Outcome, r.Reason, g.coldWait(s, at), before)
		}
	}
}
