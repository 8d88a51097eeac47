package owner

import (
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/pkg/stmt"
)

// TestOnlyImmediateRefusalSaysWhenPrimaryIsExpected guards against other instances that repeat a refusal which the
// owner gives only after a wait, while a lost poll or a change of primary may still end it.
func TestOnlyImmediateRefusalSaysWhenPrimaryIsExpected(t *testing.T) {
	t.Parallel()
	d := newProofDriver()
	g := startProven(t, d, &claimStore{})
	d.change(func() { d.hidden["a"], d.hidden["b"], d.hidden["c"] = true, true, true })
	eventually(t, "no primary is usable", func() bool { return !g.hasUsablePrimary(g.tracker.current.Load()) })
	for _, immediate := range []bool{false, true} {
		r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
		if r.Reason != fault.NoPrimary || (r.PrimaryExpected > 0) != immediate {
			t.Errorf("%s, primary expected in %v; want that told: %t", r.Reason, r.PrimaryExpected, immediate)
		}
	}
}

// TestMissedPollAfterPastOutageIsWaitedOut guards against the absence of a primary that is counted from an outage
// which ended while no work needed the primary: work would be refused at once for a single missed poll.
func TestMissedPollAfterPastOutageIsWaitedOut(t *testing.T) {
	t.Parallel()
	d := newProofDriver()
	g := startProven(t, d, &claimStore{})
	setHidden := func(hidden bool) {
		d.change(func() { d.hidden["a"], d.hidden["b"], d.hidden["c"] = hidden, hidden, hidden })
		eventually(t, "polls are seen", func() bool { return g.hasUsablePrimary(g.tracker.current.Load()) != hidden })
	}
	setHidden(true)
	if r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {}); r.Reason != fault.NoPrimary {
		t.Fatalf("%s without a primary, want no-primary", r.Reason)
	}
	setHidden(false)
	setHidden(true)
	asked := clock.Now()
	r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
	if took := clock.Since(asked); r.Reason != fault.NoPrimary || r.PrimaryExpected > 0 || took < 300*time.Millisecond {
		t.Errorf("%s in %v, primary expected in %v; want a wait of 300 ms as for a new absence", r.Reason, took, r.PrimaryExpected)
	}
}

// TestPrimaryUsableAsWaitEndsIsTaken guards against a refusal for lack of a primary that is usable when the wait ends.
func TestPrimaryUsableAsWaitEndsIsTaken(t *testing.T) {
	t.Parallel()
	g := startProven(t, newProofDriver(), &claimStore{})
	w := &Work{Kind: stmt.Write}
	w.Limits.QueueWait = 100 * time.Millisecond
	began := clock.Now()
	if found, r := g.awaitUsablePrimary(t.Context(), w, func(*view) bool { return clock.Since(began) >= w.Limits.QueueWait }); found == nil {
		t.Errorf("refused with %s, want the primary that is usable at the end of the wait", r.Reason)
	}
}

// TestUnprovenOwnerSaysSo guards against work that waits at an owner that can't read the group's record although
// another one may run it, against one that sends it away while its first read is under way, and against one that does
// so although the primary is sealed, which another owner would find too.
func TestUnprovenOwnerSaysSo(t *testing.T) {
	t.Parallel()
	d, store := newProofDriver(), &claimStore{}
	store.setDown(true)
	g := startGroup(t, d, store)
	asked := clock.Now()
	r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
	if took := clock.Since(asked); !r.Unproven || took < 300*time.Millisecond {
		t.Errorf("%s, unproven %t, in %v; want unproven, not within 300 ms", r.Reason, r.Unproven, took)
	}
	asked = clock.Now()
	r, _ = runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
	if took := clock.Since(asked); !r.Unproven || r.Outcome != fault.NotSent || r.RetryAfter < 100*time.Millisecond || r.RetryAfter > 150*time.Millisecond || took > proofWait/2 {
		t.Errorf("%s, unproven %t, retry after %v, in %v; want unproven at once and a retry after 100 to 150 ms", r.Outcome, r.Unproven, r.RetryAfter, took)
	}
	d.change(func() { d.states["a"].Sealed = 2 })
	eventually(t, "the primary is seen to be sealed", func() bool { return !g.isUnproven(g.tracker.current.Load()) })
	if r, _ = runProven(t, g, Work{Kind: stmt.Write}, false, func() {}); r.Unproven || r.Reason != fault.NoPrimary {
		t.Errorf("%s, unproven %t; want no-primary, not unproven", r.Reason, r.Unproven)
	}
	if d.writeCount() != 0 {
		t.Errorf("%d requests at the primary, want none", d.writeCount())
	}
}
