package group

import (
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// watched drives a TermLease in which p leads term 1 and a and b are replicas.
type watched struct {
	lease *TermLease
	now   time.Time
}

func threeMembers() []Member { return []Member{{Server: "p"}, {Server: "a"}, {Server: "b"}} }

// newWatched returns a lease that is valid from a record that lists three members.
func newWatched(now time.Time) *watched {
	w := &watched{lease: NewTermLease(LeaseConfig{}), now: now.Add(-2 * time.Millisecond)}
	w.lease.SetServers(threeMembers(), nil)
	w.pollAll()
	w.now = now.Add(-time.Millisecond)
	w.record(Record{Members: threeMembers()}, ident.NewVersion(1, 1))
	w.now = now
	w.pollAll()
	return w
}

func (w *watched) record(r Record, v ident.Version) { w.lease.Record(r, v, w.now, w.now) }

func (w *watched) poll(s Status) {
	w.lease.Observe(Poll{Status: s, Asked: w.now, Answered: w.now, Conn: 1})
}

func (w *watched) pollAll() {
	w.poll(Status{Server: "p", Role: Primary, Term: 1, LogTerm: 1, Received: 7})
	w.poll(Status{Server: "a", Term: 1, LogTerm: 1, Received: 7})
	w.poll(Status{Server: "b", Term: 1, LogTerm: 1, Received: 7})
}

// order grants the harness's claim on the kept record, seals its replicas and returns the order, and the
// record with the claim.
func (h *harness) order(kept Record, v ident.Version, statuses ...Status) (Promote, Record) {
	h.t.Helper()
	claim := h.claim()
	r, granted := claim.Evaluate(kept, v, true)
	if !granted {
		h.t.Fatal("the claim is refused")
	}
	actions := h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: r, Version: v.Next()})
	for _, s := range statuses {
		s.Sealed = claim.Record.Term
		actions = h.step(Sealed{Term: claim.Record.Term, OK: true, Status: s})
	}
	order, ok := find[Promote](actions)
	if !ok {
		h.t.Fatalf("no order to lead, but %v", actions)
	}
	return order, r
}

// checkEnded checks that the lease has ended when an order takes effect at the earliest.
func (w *watched) checkEnded(t *testing.T, order Promote) {
	t.Helper()
	if effect := order.NotBefore.Add(minTakeover); w.lease.State().Until.After(effect) {
		t.Errorf("the lease on term %d lasts until %v after the change of primary", w.lease.State().Term, w.lease.State().Until.Sub(effect))
	}
}

// TestRemovedMemberProvesNothing lets an instance that neither reaches b nor has it on its list remove it
// from the members and replace the primary, while another instance, out of reach of the store, polls b.
func TestRemovedMemberProvesNothing(t *testing.T) {
	h := newHarness(t)
	w := newWatched(h.now)
	kept, v := Record{Members: threeMembers()}, ident.NewVersion(1, 1)
	h.step(Recorded{Record: kept, Version: v})
	h.m.SetServers([]ident.ServerID{"p", "a"})
	for end := h.now.Add(20 * time.Second); len(kept.sealedByClaims()) > 2; v = v.Next() {
		change, ok := find[ChangeMembers](h.advance(100*time.Millisecond, func() {
			h.poll("p", Primary, 7)
			h.poll("a", Replica, 7)
			w.now = h.now
			w.pollAll()
		}))
		if ok {
			kept, _ = change.Evaluate(kept, v)
			h.step(Recorded{Record: kept, Version: v.Next()})
		}
		if h.now.After(end) {
			t.Fatal("b is still a member after 20 s")
		}
	}
	order, _ := h.order(kept, v, Status{Server: "a", Term: 1, LogTerm: 1, Received: 7})
	for ; w.now.Before(order.NotBefore); w.now = w.now.Add(100 * time.Millisecond) {
		w.poll(Status{Server: "p", Role: Primary, Term: 1, LogTerm: 1, Received: 8})
		w.poll(Status{Server: "b", Term: 1, LogTerm: 1, Received: 8})
	}
	w.checkEnded(t, order)
	if w.lease.State().Proves(ident.Floor{Term: 1, Position: 8}) {
		t.Error("position 8 is taken for safe; the successor has been sealed at 7")
	}
}

// TestOrderNeedsSealOfEveryMember lets a member leave the claimant's list, or start again, between its seal and
// that of the last one.
func TestOrderNeedsSealOfEveryMember(t *testing.T) {
	changes := map[string]func(*Machine){
		"has left":          func(m *Machine) { m.SetServers([]ident.ServerID{"p", "a"}) },
		"has started again": func(m *Machine) { m.SetIncarnations(map[ident.ServerID]int64{"p": 0, "a": 0, "b": 1}) },
		"stays":             nil,
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.m.SetIncarnations(map[ident.ServerID]int64{"p": 0, "a": 0, "b": 0})
			kept, v := Record{Members: threeMembers()}, ident.NewVersion(1, 1)
			h.step(Recorded{Record: kept, Version: v})
			claim := h.claim()
			r, _ := claim.Evaluate(kept, v, true)
			h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: r, Version: v.Next()})
			h.sealed(claim.Record.Term, "b")
			if change != nil {
				change(h.m)
				h.poll("b", Replica, 0)
			}
			if order, ok := find[Promote](h.sealed(claim.Record.Term, "a")); ok != (change == nil) {
				t.Errorf("ordered: %t, %+v", ok, order)
			}
		})
	}
}

// TestLeaseDoesNotBeginAnewWithOutdatedMembers lets a server join and lead while an instance reads no record.
// The promotion has ended the seals of a and b, which the instance polls again before they follow.
func TestLeaseDoesNotBeginAnewWithOutdatedMembers(t *testing.T) {
	w := newWatched(time.Unix(1000, 0))
	w.now = w.now.Add(10 * time.Second)
	w.pollAll()
	if w.lease.State().Valid(w.now) {
		t.Error("the lease begins anew without a recent record")
	}
}

// TestLeaseHeedsSecondClaimOnReplacedTerm lets p lead again, in term 2, after a first claim on term 1. The
// second claim on term 1 comes from an instance that reaches only a and b, which have not followed yet.
func TestLeaseHeedsSecondClaimOnReplacedTerm(t *testing.T) {
	h := newHarness(t)
	w := newWatched(h.now)
	first := Record{Term: 2, Claimant: "other", Claim: 1, ReplacedTerm: 1, Members: threeMembers(), Candidates: threeMembers()}
	v := ident.NewVersion(1, 2)
	h.step(Recorded{Record: first, Version: v})
	h.advance(claimBackoff, h.reportPrimaryDown)
	a := Status{Server: "a", Term: 1, LogTerm: 1, Received: 7}
	b := Status{Server: "b", Term: 1, LogTerm: 1, Received: 7}
	order, second := h.order(first, v, a, b)
	w.now = h.now
	w.poll(Status{Server: "p", Role: Primary, Term: 2, LogTerm: 1, Received: 7})
	w.now = order.NotBefore
	w.record(second, v.Next())
	w.checkEnded(t, order)
}

// TestLeaseHeedsClaimThatRestoreHasLost lets the store come back from a copy without a claim whose order is
// on its way.
func TestLeaseHeedsClaimThatRestoreHasLost(t *testing.T) {
	h := newHarness(t)
	w := newWatched(h.now)
	kept, v := Record{Members: threeMembers()}, ident.NewVersion(1, 1)
	h.step(Recorded{Record: kept, Version: v})
	a := Status{Server: "a", Term: 1, LogTerm: 1, Received: 7}
	b := Status{Server: "b", Term: 1, LogTerm: 1, Received: 7}
	order, _ := h.order(kept, v, a, b)
	w.now = order.NotBefore
	w.record(kept, ident.NewVersion(2, 1))
	w.checkEnded(t, order)
}

// TestSuccessorHasWhatRestartedReplicaHadReceived lets replica a, which alone has followed p, start again
// empty under its earlier name, before p is handed over. Its list entry does not tell yet.
func TestSuccessorHasWhatRestartedReplicaHadReceived(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second, func() {
		h.poll("p", Primary, 20)
		h.poll("a", Replica, 20)
		h.poll("b", Replica, 7)
	})
	h.m.SetLeaving(map[ident.ServerID]bool{"p": true})
	var claim Claim
	for found := false; !found; {
		claim, found = find[Claim](h.advance(100*time.Millisecond, func() {
			h.poll("p", Primary, 25)
			h.poll("a", Replica, 0)
			h.poll("b", Replica, 7)
		}))
		if h.now.After(time.Unix(1020, 0)) {
			return // p goes on to lead.
		}
	}
	h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: claim.Record})
	seal := func(id ident.ServerID, received ident.Position) []Action {
		return h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: id, Term: 1, Sealed: 2, LogTerm: 1, Received: received}})
	}
	actions := append(seal("a", 0), seal("b", 7)...)
	actions = append(actions, seal("p", 25)...)
	if order, ok := find[Promote](actions); ok && order.Server != "p" {
		t.Errorf("%s is ordered to lead; a had received up to position 20, and only p has that", order.Server)
	}
}
