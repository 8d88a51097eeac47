package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConcurrencyLimitKeepsSlotsBusy checks that, whatever the round trip, enough statements
// are in flight to keep all slots busy, and never fewer than there are slots.
func TestConcurrencyLimitKeepsSlotsBusy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		work := time.Duration(rapid.IntRange(1, 50).Draw(t, "work")) * time.Millisecond
		roundTrip := time.Duration(rapid.IntRange(0, 40).Draw(t, "path")) * time.Millisecond
		g := NewGate(slots)
		for range 100 {
			g.Path(roundTrip)
			g.Ran(work + roundTrip)
		}
		least := float64(slots) * float64(work+roundTrip) / float64(work)
		if float64(g.Width()) < min(least, float64(slots*maxInFlightPerSlot))*0.9 || g.Width() < slots {
			t.Fatalf("limit %d for %d slots, %v of work and a round trip of %v", g.Width(), slots, work, roundTrip)
		}
	})
}

// TestConcurrencyLimitDropsAndRecovers checks that refusals lower the limit, though not below
// one, and that responses raise it to its full value again.
func TestConcurrencyLimitDropsAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		g := NewGate(slots)
		g.Ran(10 * time.Millisecond)
		full := g.Width()
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 40).Draw(t, "refusals") {
			now = now.Add(decreaseInterval)
			g.Busy(now)
		}
		if g.Width() < 1 || full > 1 && g.Width() >= full {
			t.Fatalf("limit %d after refusals, %d before", g.Width(), full)
		}
		for range 4 * full * full {
			g.Ran(10 * time.Millisecond)
		}
		if g.Width() != full {
			t.Fatalf("limit %d after responses, %d before the refusals", g.Width(), full)
		}
	})
}

// TestRefusesRequestsThatWaitTooLong checks that a request is refused exactly if its estimated
// wait exceeds its maximum, and that after the retry delay the queue is short enough for it.
func TestRefusesRequestsThatWaitTooLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Line{
			Ahead: rapid.IntRange(0, 200).Draw(t, "ahead"), Running: rapid.IntRange(0, 12).Draw(t, "running"),
			Width: rapid.IntRange(1, 12).Draw(t, "width"), Service: time.Duration(rapid.IntRange(1, 80).Draw(t, "service")) * time.Millisecond,
		}
		maxWait := time.Duration(rapid.IntRange(0, 500).Draw(t, "patience")) * time.Millisecond
		retryAfter, refused := l.Refuse(maxWait)
		if refused != (l.Wait() > maxWait) {
			t.Fatalf("refused %t with an estimated wait of %v", refused, l.Wait())
		}
		if refused && l.Wait()-retryAfter > maxWait {
			t.Fatalf("after %v the estimated wait is still %v, maximum %v", retryAfter, l.Wait()-retryAfter, maxWait)
		}
		free := l.Width - l.Running
		if l.Ahead < free && l.Wait() != 0 {
			t.Fatalf("estimated wait %v with %d free and %d requests ahead", l.Wait(), free, l.Ahead)
		}
	})
}

// TestWaitForPrimary checks that during a failover no request waits that cannot be served in
// time, and that every request gets a retry delay.
func TestWaitForPrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		since := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "since")) * time.Millisecond
		maxWait := time.Duration(rapid.IntRange(0, 4_000).Draw(t, "patience")) * time.Millisecond
		wait, retryAfter := Absence(since, maxWait)
		switch {
		case retryAfter <= 0:
			t.Fatal("no retry delay, want a positive one")
		case wait > maxWait:
			t.Fatalf("wait %v, maximum %v", wait, maxWait)
		case since >= outageTolerance && retryAfter > maxWait && wait != 0:
			t.Fatalf("waits %v for a primary that is expected in %v, maximum %v", wait, retryAfter, maxWait)
		}
	})
}

// TestConnectionSharesFitServer checks that all owners together, their polling connections
// included, open no more connections than the server accepts, whichever of them is local,
// and that each may open one.
func TestConnectionSharesFitServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 6).Draw(t, "owners")
		connections := rapid.IntRange(4*owners, 220).Draw(t, "connections")
		local := rapid.IntRange(-1, owners-1).Draw(t, "near")
		total := owners
		for at := range owners {
			limit := Share{Connections: connections, Owners: owners, Near: at == local, NearOwned: local >= 0}.Limit()
			if limit < 1 {
				t.Fatal("an owner may open no connection")
			}
			total += limit
		}
		if total > connections {
			t.Fatalf("%d connections in all, the server accepts %d", total, connections)
		}
	})
}

// TestRetryDelayJitter checks that jitter gives different retry delays, never shorter than
// the original one.
func TestRetryDelayJitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retryAfter := time.Duration(rapid.IntRange(1, 5_000).Draw(t, "after")) * time.Millisecond
		r := rapid.Float64Range(0, 1).Draw(t, "random")
		if got := Spread(retryAfter, r); got < retryAfter || got > retryAfter*3/2 {
			t.Fatalf("delay %v became %v with jitter, want at most half more", retryAfter, got)
		}
	})
	if Spread(time.Second, 0.1) == Spread(time.Second, 0.9) {
		t.Fatal("no jitter: two random numbers gave the same delay")
	}
}

// TestWaitCorrectionConverges checks that the correction learns a constant error factor within its bounds.
func TestWaitCorrectionConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(minCorrection, maxCorrection).Draw(t, "factor")
		estimate := time.Duration(rapid.IntRange(20, 800).Draw(t, "estimate")) * time.Millisecond
		var b Bias
		if b.Apply(estimate) != estimate {
			t.Fatal("an untrained correction changed the estimate")
		}
		for range 60 {
			b.Learn(estimate, time.Duration(float64(estimate)*factor))
		}
		if got := float64(b.Apply(estimate)) / float64(estimate); got < factor*0.95 || got > factor*1.05 {
			t.Fatalf("the actual factor is %.2f, the learned one %.2f", factor, got)
		}
	})
}
