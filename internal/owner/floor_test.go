package owner

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// TestFloorOfEarlierTermIsRebased: a floor may name a position of an earlier term that
// was never acknowledged and that no log holds after a change of primary. Unless it is
// replaced, replicas refuse the read.
func TestFloorOfEarlierTermIsRebased(t *testing.T) {
	tr := newTracker(nil)
	tr.grow(3)
	start := clock.Now()
	reportAll := func(after time.Duration, term ident.Term, leader int, position ident.Position) {
		for at := range 3 {
			s := group.Status{Term: term, LogTerm: term, Received: position, Applied: position}
			if at == leader {
				s.Role = group.Primary
			}
			tr.observe(at, group.Poll{Status: s, Asked: start.Add(after), Answered: start.Add(after)})
		}
	}
	reportAll(0, 1, 0, 90)
	old, known := tr.floorForAge(start.Add(time.Second), time.Second)
	if !known || old != (ident.Floor{Term: 1, Position: 90}) {
		t.Fatal(old, known)
	}
	if got := tr.rebaseFloor(old); got != old {
		t.Fatalf("a floor of the current term became %v, want it unchanged", got)
	}
	reportAll(time.Second, 2, 1, 80)
	reportAll(2*time.Second, 2, 1, 95)
	if got := tr.rebaseFloor(old); got != (ident.Floor{Term: 2, Position: 80}) {
		t.Fatalf("the floor became %v, want the first state of term 2 (2@0/50)", got)
	}
}

// TestAppliedPositionOfEarlierTermIsBehind: a replica that follows the new primary but has
// applied only positions of the old term must not count as having reached a floor of
// the new term, even if its position is higher.
func TestAppliedPositionOfEarlierTermIsBehind(t *testing.T) {
	d := newDriver()
	d.change = func(s *group.Status) {
		s.Term, s.LogTerm, s.Received, s.Applied = 2, 2, 95, 95
		if s.Role == group.Replica {
			s.AppliedTerm = 1
		}
	}
	g := startGroup(t, d, &claimStore{})
	w := &Work{
		Kind: stmt.Read, ReadConsistency: conf.SessionReads, Customer: "c", MaxAge: time.Millisecond,
		Limits: Limits{Run: time.Second, QueueWait: time.Second, PrimaryCost: time.Second}, Floor: ident.Floor{Term: 2, Position: 80},
	}
	eventually(t, "the read runs on the primary", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := g.Run(ctx, w, &bufferSink{})
		if r.Outcome == fault.Done && r.Replica {
			t.Fatal("a replica that is behind was chosen")
		}
		return r.Outcome == fault.Done
	})
}
