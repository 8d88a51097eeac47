package group

import (
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// newFencedHarness drives a Machine of a group that is not synchronous.
func newFencedHarness(t *testing.T, servers ...ident.ServerID) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.m = New(Config{Servers: servers, Claimant: "me", Timing: synchTiming})
	for _, id := range servers {
		role := Replica
		if id == servers[0] {
			role = Primary
		}
		h.poll(id, role, 7)
	}
	return h
}

// sealed reports that a server has been sealed for a term.
func (h *harness) sealed(term ident.Term, id ident.ServerID) []Action {
	return h.step(Sealed{Term: term, OK: true, Status: Status{Server: id, Term: 1, LogTerm: 1, Received: 7, Sealed: term}})
}

// TestServerRemovedWhileItIsPromotedEndsNoProcess guards against an instance that dies from a result of a
// promotion.
func TestServerRemovedWhileItIsPromotedEndsNoProcess(t *testing.T) {
	h := newFencedHarness(t, "p", "a", "b", "c")
	primaryDown := func() { h.reportPrimaryDown(); h.poll("c", Replica, 7) }
	claim, ok := find[Claim](h.advance(3*time.Second, primaryDown))
	if !ok {
		t.Fatal("no claim within 3 s of losing the primary")
	}
	term := claim.Record.Term
	h.step(Claimed{Term: term, Granted: true})
	h.sealed(term, "a")
	h.sealed(term, "b")
	if order, ok := find[Promote](h.sealed(term, "c")); !ok || order.Server != "a" {
		t.Fatalf("got order %+v, want a", order)
	}
	h.m.SetServers([]ident.ServerID{"p", "b", "c"})
	if r, ok := find[Publish](h.step(Promoted{Term: term, Server: "a", OK: true})); ok {
		t.Fatalf("published a primary that has left the group: %+v", r)
	}
	again, ok := find[Claim](h.advance(3*time.Second, primaryDown))
	if !ok || again.Record.Term <= term {
		t.Fatalf("got claim %+v, want one for a later term than %d", again, term)
	}
}

// TestSealedServersThatHaveLeftAreNoMajority guards against counting the seals of servers that have left the
// group against the size of the group that remains.
func TestSealedServersThatHaveLeftAreNoMajority(t *testing.T) {
	for _, sealed := range [][]ident.ServerID{{"a"}, {"a", "c"}} {
		h := newFencedHarness(t, "p", "a", "b", "c", "d")
		h.m.SetLeaving(map[ident.ServerID]bool{"p": true})
		claim, ok := find[Claim](h.step(Tick{}))
		if !ok {
			t.Fatal("no claim to replace a leaving primary")
		}
		h.step(Claimed{Term: claim.Record.Term, Granted: true})
		h.step(Sealed{Term: claim.Record.Term, Status: Status{Server: "p"}})
		for _, id := range sealed {
			h.sealed(claim.Record.Term, id)
		}
		h.m.SetServers([]ident.ServerID{"p", "b", "d"})
		if order, ok := find[Promote](h.sealed(claim.Record.Term, "b")); ok {
			t.Fatalf("ordered %s to lead although 1 of 3 servers is sealed", order.Server)
		}
		if _, ok := find[Promote](h.sealed(claim.Record.Term, "d")); !ok {
			t.Fatal("no order once a majority of the remaining servers is sealed")
		}
	}
}

// TestSealOfLastReplicaThatHasLeftEndsNoProcess is the same with no sealed server among those that remain.
func TestSealOfLastReplicaThatHasLeftEndsNoProcess(t *testing.T) {
	h := newFencedHarness(t, "p", "a", "b")
	claim := h.claim()
	h.step(Claimed{Term: claim.Record.Term, Granted: true})
	h.m.SetServers([]ident.ServerID{"p"})
	if order, ok := find[Promote](h.sealed(claim.Record.Term, "a")); ok {
		t.Fatalf("ordered %s to lead, which has left the group", order.Server)
	}
}

// pollTerm2 reports all servers in term 2, with a as its primary.
func (h *harness) pollTerm2(received ident.Position) {
	for _, id := range []ident.ServerID{"a", "b", "p"} {
		s := Status{Server: id, Term: 2, LogTerm: 2, Received: received, Applied: received}
		if id == "a" {
			s.Role = Primary
		}
		h.step(Polled{Status: s})
	}
}

// TestFailoverAfterReleaseThatANewPrimaryEndedSealsServers guards against a claim that was meant to replace a
// primary and releases seals instead.
func TestFailoverAfterReleaseThatANewPrimaryEndedSealsServers(t *testing.T) {
	h := newHarness(t)
	released := false
	for end := h.now.Add(10 * time.Second); !released && h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		h.poll("p", Primary, 7)
		h.poll("a", Replica, 7)
		_, released = find[Claim](h.step(Polled{Status: Status{Server: "b", Term: 1, LogTerm: 1, Received: 7, Sealed: 4}}))
		h.step(Tick{})
	}
	if !released {
		t.Fatal("no claim to release a replica within 10 s")
	}
	h.advance(postPromotionHold+100*time.Millisecond, func() { h.pollTerm2(9) })
	h.m.SetLeaving(map[ident.ServerID]bool{"a": true})
	claim, ok := find[Claim](h.step(Tick{}))
	if !ok {
		t.Fatal("no claim to replace a leaving primary")
	}
	actions := h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: Record{Claim: 1}})
	if _, ok := find[Seal](actions); !ok {
		t.Fatalf("the claim to replace the primary led to no seal: %v", actions)
	}
}

// TestWritesOfReplacedPrimaryDoNotCondemnItsSuccessor guards against a second change of primary for a position
// that only the replaced primary had reached.
func TestWritesOfReplacedPrimaryDoNotCondemnItsSuccessor(t *testing.T) {
	h := newHarness(t)
	if _, ok := find[Claim](h.advance(3*time.Second, func() { h.poll("p", Primary, 9); h.poll("a", Replica, 7); h.poll("b", Replica, 7) })); !ok {
		t.Fatal("no claim although no replica receives the primary's writes")
	}
	actions := h.advance(10*time.Second, func() { h.pollTerm2(8) })
	if claim, ok := find[Claim](actions); ok {
		t.Fatalf("claimed to replace a primary whose replicas have all that it has: %+v", claim)
	}
}

// TestReplicaOfEarlierTermIsNotReleasedBesideItsPrimary guards against a release after which a replica follows,
// and acknowledges the writes of, a primary that has been replaced.
func TestReplicaOfEarlierTermIsNotReleasedBesideItsPrimary(t *testing.T) {
	for _, oldPrimary := range []Role{Primary, Replica} {
		h := newHarness(t)
		claimed := false
		h.advance(15*time.Second, func() {
			h.poll("p", oldPrimary, 9)
			h.step(Polled{Status: Status{Server: "a", Role: Primary, Term: 2, LogTerm: 2, Received: 8}})
			_, claims := find[Claim](h.step(Polled{Status: Status{Server: "b", Term: 1, LogTerm: 1, Received: 7, Sealed: 4}}))
			claimed = claimed || claims
		})
		if claimed != (oldPrimary == Replica) {
			t.Errorf("claimed a release beside the old primary, now a %s: %t", oldPrimary, claimed)
		}
	}
}

// TestHandOverOfEmptyLogIsNotHeldUp guards against waiting out a step for the position of a leaving primary that
// has no writes.
func TestHandOverOfEmptyLogIsNotHeldUp(t *testing.T) {
	h := newFencedHarness(t, "p", "a", "b")
	for id, role := range map[ident.ServerID]Role{"p": Primary, "a": Replica, "b": Replica} {
		h.poll(id, role, 0)
	}
	h.m.SetLeaving(map[ident.ServerID]bool{"p": true})
	claim, _ := find[Claim](h.step(Tick{}))
	h.step(Claimed{Term: claim.Record.Term, Granted: true})
	h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: "p", Term: 1, LogTerm: 1, Sealed: claim.Record.Term}})
	if _, ok := find[Seal](h.step(Tick{})); !ok {
		t.Fatal("the servers that stay are not sealed although they have all that the primary had")
	}
}

// TestSealOfReplacedPrimaryDoesNotCondemnItsSuccessor guards against a claim beside another instance's, which has
// just sealed a new primary to replace it.
func TestSealOfReplacedPrimaryDoesNotCondemnItsSuccessor(t *testing.T) {
	h := newFencedHarness(t, "p", "a", "b")
	h.advance(synchTiming.StepTime-100*time.Millisecond, func() {
		h.step(Polled{Status: Status{Server: "p", Role: Primary, Term: 1, LogTerm: 1, Received: 7, Sealed: 2}})
		h.poll("a", Replica, 7)
		h.poll("b", Replica, 7)
	})
	sealed := func() {
		h.step(Polled{Status: Status{Server: "a", Role: Primary, Term: 2, LogTerm: 2, Received: 8, Sealed: 3}})
		h.step(Polled{Status: Status{Server: "b", Term: 2, LogTerm: 2, Received: 8}})
	}
	if claim, ok := find[Claim](h.advance(synchTiming.StepTime-100*time.Millisecond, sealed)); ok {
		t.Fatalf("claimed less than a step after the new primary was sealed: %+v", claim)
	}
	if _, ok := find[Claim](h.advance(300*time.Millisecond, sealed)); !ok {
		t.Fatal("no claim a step after the new primary was sealed")
	}
}

// TestSuccessorHasLogOfPrimaryThatIsListedAgain guards against an order for a server that lacks writes of a primary
// which had left the list for a moment, long ago.
func TestSuccessorHasLogOfPrimaryThatIsListedAgain(t *testing.T) {
	h := newHarness(t)
	replicas := func() { h.poll("a", Replica, 7); h.poll("b", Replica, 7) }
	h.m.SetServers([]ident.ServerID{"a", "b"})
	h.advance(time.Second, replicas)
	h.m.SetServers([]ident.ServerID{"a", "b", "p"})
	h.advance(lostPrimaryPatience+time.Second, func() { h.poll("p", Primary, 20); replicas() })
	for end := h.now.Add(5 * time.Second); h.now.Before(end); {
		claim, ok := find[Claim](h.advance(100*time.Millisecond, h.reportPrimaryDown))
		if !ok {
			continue
		}
		h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: Record{Claim: 1}})
		h.sealed(claim.Record.Term, "a")
		if order, ok := find[Promote](h.sealed(claim.Record.Term, "b")); ok {
			t.Fatalf("%s is ordered to lead; it has received up to 7, and p had reported 20", order.Server)
		}
	}
}

// TestMembersAreForgottenBesidePrimaryThatLeadsNoMore guards against a group that stays without a primary since
// a member has left and the primary, demoted by a claim or started again, reports no more as one.
func TestMembersAreForgottenBesidePrimaryThatLeadsNoMore(t *testing.T) {
	tests := map[string]func(*harness){
		"demoted": func(h *harness) { h.poll("p", Replica, 7) },
		"started again": func(h *harness) {
			h.m.SetIncarnations(map[ident.ServerID]int64{"p": 1, "a": 0})
			h.step(Polled{Status: Status{Server: "p"}})
		},
	}
	for name, pollPrimary := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.m.SetIncarnations(map[ident.ServerID]int64{"p": 0, "a": 0, "b": 0})
			r, v := Record{Members: threeMembers()}, ident.NewVersion(1, 1)
			h.step(Recorded{Record: r, Version: v})
			h.m.SetServers([]ident.ServerID{"p", "a"})
			for end := h.now.Add(2 * lostPrimaryPatience); h.now.Before(end); {
				change, ok := find[ChangeMembers](h.advance(100*time.Millisecond, func() {
					pollPrimary(h)
					h.poll("a", Replica, 7)
				}))
				if !ok {
					continue
				}
				r, _ = change.Evaluate(r, v)
				v = v.Next()
				h.step(Recorded{Record: r, Version: v})
				if len(change.Forgotten) > 0 {
					return
				}
			}
			t.Errorf("after %v the members are still %v, the former ones %v", 2*lostPrimaryPatience, r.Members, r.Former)
		})
	}
}

// TestPrimaryThatLeftAsItSaidIsNotWaitedFor guards against a group that waits for the log of a primary that was
// released, while a former member, released before it, holds up each claim.
func TestPrimaryThatLeftAsItSaidIsNotWaitedFor(t *testing.T) {
	for _, said := range []bool{true, false} {
		h := newHarness(t)
		r := Record{Members: []Member{{Server: "p"}, {Server: "a"}, {Server: "b"}}}
		h.step(Recorded{Record: r, Version: ident.VersionOf(1)})
		// The others have been members for long enough, so that the former one need not be waited for beyond RecordLifetime.
		h.advance(SharedRecordLifetime, func() {
			h.poll("p", Primary, 7)
			h.poll("a", Replica, 7)
			h.poll("b", Replica, 7)
		})
		r.Former = []FormerMember{{Member: Member{Server: "c"}, Since: ident.VersionOf(1)}}
		h.step(Recorded{Record: r, Version: ident.VersionOf(2)})
		h.m.SetDraining(map[ident.ServerID]bool{"p": said})
		h.m.SetServers([]ident.ServerID{"a", "b"})
		const wait = lostPrimaryPatience - time.Second
		forgotten := false
		for _, a := range h.advance(wait, func() {
			h.poll("a", Replica, 7)
			h.poll("b", Replica, 7)
		}) {
			change, ok := a.(ChangeMembers)
			forgotten = forgotten || ok && len(change.Forgotten) > 0
		}
		if forgotten != said {
			t.Errorf("p had said that it leaves: %t; c is forgotten within %v: %t", said, wait, forgotten)
		}
	}
}
