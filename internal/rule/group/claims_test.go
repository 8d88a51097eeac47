package group

import (
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// harness drives one Machine of a synchronous group: primary p, replicas a and b.
type harness struct {
	t   *testing.T
	m   *Machine
	now time.Time
}

var synchTiming = Timing{Silence: time.Second, PathSilence: 1500 * time.Millisecond, Stagger: 300 * time.Millisecond, StepTime: 2 * time.Second}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.m = New(Config{Servers: []ident.ServerID{"p", "a", "b"}, Claimant: "me", Timing: synchTiming, Fenced: true})
	h.advance(postPromotionHold, func() {
		h.poll("p", Primary, 7)
		h.poll("a", Replica, 7)
		h.poll("b", Replica, 7)
	})
	return h
}

func (h *harness) step(e Event) []Action { return h.m.Step(h.now, e) }

func (h *harness) poll(id ident.ServerID, r Role, received ident.Position) []Action {
	return h.step(Polled{Status: Status{Server: id, Role: r, Term: 1, LogTerm: 1, Received: received, Applied: received}})
}

// advance moves the time on in steps of 100 ms, calls pollServers and ticks the machine in
// each step, and returns the actions of the ticks.
func (h *harness) advance(d time.Duration, pollServers func()) []Action {
	var all []Action
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		pollServers()
		all = append(all, h.step(Tick{})...)
	}
	return all
}

// reportPrimaryDown reports the primary as unreachable and both replicas as answering.
func (h *harness) reportPrimaryDown() {
	h.step(PollFailed{Server: "p", NewConn: true})
	h.poll("a", Replica, 7)
	h.poll("b", Replica, 7)
}

// find returns the first action of type A.
func find[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found, true
		}
	}
	var none A
	return none, false
}

// claim keeps the primary unreachable until the machine claims.
func (h *harness) claim() Claim {
	h.t.Helper()
	for end := h.now.Add(3 * time.Second); h.now.Before(end); {
		if claim, ok := find[Claim](h.advance(100*time.Millisecond, h.reportPrimaryDown)); ok {
			return claim
		}
	}
	h.t.Fatal("no claim within 3 s of losing the primary")
	return Claim{}
}

// TestLostClaimDelaysNextClaim guards against several instances promoting in one failover,
// one of them with a lower claim number than was already used: a lost claim must delay the
// next one by claimBackoff, and the next one must know the winner's number.
func TestLostClaimDelaysNextClaim(t *testing.T) {
	h := newHarness(t)
	claim := h.claim()
	h.step(Claimed{Term: claim.Record.Term, Record: Record{Term: 2, Claimant: "other", Claim: 5, ReplacedTerm: 1}})
	if again, ok := find[Claim](h.advance(claimBackoff-100*time.Millisecond, h.reportPrimaryDown)); ok {
		t.Fatalf("claimed while another instance's claim was valid: %+v", again)
	}
	again, ok := find[Claim](h.advance(2*time.Second, h.reportPrimaryDown))
	if !ok || again.LastClaim != 5 {
		t.Fatalf("after the other claim expired: got claim %+v, want one with LastClaim 5", again)
	}
}

// TestPromotionOrderStaysWithinClaim checks that a promotion order is sent only after the read
// leases at the old primary have expired and before another instance may claim.
func TestPromotionOrderStaysWithinClaim(t *testing.T) {
	h := newHarness(t)
	claim := h.claim()
	claimedAt := h.now
	h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: Record{Claim: 9}})
	sealed := Status{Server: "a", Term: 1, LogTerm: 1, Received: 7, Sealed: claim.Record.Term}
	h.step(Sealed{Term: claim.Record.Term, OK: true, Status: sealed})
	sealed.Server, sealed.Received = "b", 9
	order, ok := find[Promote](h.step(Sealed{Term: claim.Record.Term, OK: true, Status: sealed}))
	if !ok || order.Server != "b" || order.Claim != 9 {
		t.Fatalf("got order %+v, want server b under claim 9", order)
	}
	if order.NotBefore.Before(h.now.Add(LeaseWait)) || order.Until.After(claimedAt.Add(claimValidity)) || order.Until.After(claimedAt.Add(claimBackoff)) {
		t.Fatalf("order valid from %v until %v, but sealed at %v and claimed at %v", order.NotBefore, order.Until, h.now, claimedAt)
	}
}

// TestAnsweringPrimaryIsSealed guards against a lost write: a primary that still answers
// can acknowledge writes with a replica that joined after the others were sealed.
func TestAnsweringPrimaryIsSealed(t *testing.T) {
	h := newHarness(t)
	h.m.SetLeaving(map[ident.ServerID]bool{"p": true})
	claim, ok := find[Claim](h.step(Tick{}))
	if !ok {
		t.Fatal("no claim to replace a leaving primary")
	}
	h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: Record{Claim: 1}})
	var last []Action
	for _, id := range []ident.ServerID{"a", "b"} {
		last = h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: id, Term: 1, LogTerm: 1, Received: 7}})
		if _, early := find[Promote](last); early {
			t.Fatal("promotion ordered while the old primary can still acknowledge writes")
		}
	}
	if seal, ok := find[Seal](last); !ok || seal.Server != "p" {
		t.Fatalf("the primary was not sealed after its replicas: %v", last)
	}
	if _, ok := find[Promote](h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: "p", Term: 1, LogTerm: 1, Received: 8}})); !ok {
		t.Fatal("no promotion order once all servers were sealed")
	}
}

// TestReplicaLackingWritesIsNotPromoted guards against promoting a replica that has received
// nothing after the replicas that had acknowledged the primary's writes left the group.
func TestReplicaLackingWritesIsNotPromoted(t *testing.T) {
	h := newHarness(t)
	h.poll("p", Primary, 30)
	h.poll("b", Replica, 30)
	h.m.SetServers([]ident.ServerID{"p", "a"})
	h.poll("p", Primary, 31)
	bothAnswer := func() { h.poll("p", Primary, 40); h.poll("a", Replica, 7) }
	if claim, ok := find[Claim](h.advance(5*time.Second, bothAnswer)); ok {
		t.Fatalf("claimed although no replica can succeed the primary: %+v", claim)
	}
	primaryDown := func() { h.step(PollFailed{Server: "p", NewConn: true}); h.poll("a", Replica, 7) }
	if claim, ok := find[Claim](h.advance(5*time.Second, primaryDown)); ok {
		t.Fatalf("claimed although the replica lacks acknowledged writes: %+v", claim)
	}
	caughtUp := func() { h.step(PollFailed{Server: "p", NewConn: true}); h.poll("a", Replica, 31) }
	if _, ok := find[Claim](h.advance(5*time.Second, caughtUp)); !ok {
		t.Fatal("no claim once the replica has received everything that may have been acknowledged")
	}
}

// TestPrimaryIsNotSealedWhileReplicaIsSilent guards against sealing a primary while one of its
// replicas does not answer: the promotion could not be completed, and the group would
// have no primary until that replica was removed.
func TestPrimaryIsNotSealedWhileReplicaIsSilent(t *testing.T) {
	h := newHarness(t)
	actions := h.advance(5*time.Second, func() {
		h.poll("p", Primary, 9)
		h.poll("a", Replica, 7)
		h.step(PollFailed{Server: "b", NewConn: true})
	})
	if seal, ok := find[Seal](actions); ok {
		t.Fatalf("sealed although a replica does not answer: %+v", seal)
	}
	if claim, ok := find[Claim](actions); ok {
		t.Fatalf("claimed although a replica does not answer: %+v", claim)
	}
}

// TestStaleSealIsReleasedUnderClaim guards against releasing a replica during another
// instance's promotion, after which it acknowledges writes beyond the sealed position.
func TestStaleSealIsReleasedUnderClaim(t *testing.T) {
	h := newHarness(t)
	actions := h.advance(10*time.Second, func() {
		h.poll("p", Primary, 7)
		h.poll("a", Replica, 7)
		for _, action := range h.step(Polled{Status: Status{Server: "b", Term: 1, LogTerm: 1, Received: 7, Sealed: 4}}) {
			if _, released := action.(Release); released {
				t.Fatal("released a replica without a claim")
			}
			if claim, ok := action.(Claim); ok {
				for _, after := range h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: Record{Claim: 3}}) {
					if r, ok := after.(Release); ok && r.Server == "b" {
						// This ends advance and marks that the seal was released.
						h.now = h.now.Add(time.Hour)
					}
				}
			}
		}
	})
	if h.now.Before(time.Unix(1000, 0).Add(time.Hour)) {
		t.Fatalf("the seal was never released: %v", actions)
	}
}

// TestIsolatedPrimaryIsReplaced checks that a primary is replaced if it answers but reaches
// no replica, because it can acknowledge no writes.
func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	h := newHarness(t)
	actions := h.advance(3*time.Second, func() {
		h.poll("p", Primary, 9)
		h.poll("a", Replica, 7)
		h.poll("b", Replica, 7)
	})
	if _, ok := find[Claim](actions); !ok {
		t.Fatal("no claim although no replica receives the primary's writes")
	}
}

// TestSlowReplicationKeepsPrimary checks that a primary is kept while its replicas lag but
// keep receiving.
func TestSlowReplicationKeepsPrimary(t *testing.T) {
	h := newHarness(t)
	position := ident.Position(7)
	actions := h.advance(5*time.Second, func() {
		position += 3
		h.poll("p", Primary, position)
		h.poll("a", Replica, position-6)
		h.poll("b", Replica, position-20)
	})
	if claim, ok := find[Claim](actions); ok {
		t.Fatalf("claimed although the replicas keep receiving: %+v", claim)
	}
}

// TestNoSealWithoutPlatform checks that no server is sealed while the platform is
// down: without recorded claims two instances could order promotions at the same time.
func TestNoSealWithoutPlatform(t *testing.T) {
	h := newHarness(t)
	claim := h.claim()
	actions := h.step(Claimed{Term: claim.Record.Term, PlatformDown: true})
	if _, ok := find[Seal](actions); ok {
		t.Fatal("sealed without a recorded claim")
	}
}

// TestPrimaryReachedByPeerIsKept checks that a primary is kept if only this instance
// has lost the connection to it.
func TestPrimaryReachedByPeerIsKept(t *testing.T) {
	h := newHarness(t)
	actions := h.advance(3*time.Second, func() {
		h.reportPrimaryDown()
		h.step(PeerView{Instance: "other", Server: "p", Answers: true})
	})
	if claim, ok := find[Claim](actions); ok {
		t.Fatalf("claimed although another instance reaches the primary: %+v", claim)
	}
}

// TestNewOwnerReplacesListedPrimary guards against a new owner that waits forever
// for the seal of a primary that died in the same second as the ownership changed.
func TestNewOwnerReplacesListedPrimary(t *testing.T) {
	for _, listed := range []ident.ServerID{"p", "a", ""} {
		h := &harness{t: t, now: time.Unix(1000, 0)}
		h.m = New(Config{Servers: []ident.ServerID{"p", "a", "b"}, Claimant: "me", Timing: synchTiming, Fenced: true})
		h.m.SetListed(listed)
		claim, claimed := find[Claim](h.advance(6*time.Second, h.reportPrimaryDown))
		if claimed != (listed == "p") {
			t.Fatalf("listed primary %q: claimed %t, claim %+v", listed, claimed, claim)
		}
	}
}

// TestRefusedConnectionSpeedsUpFailover guards against waiting for a primary whose process
// has ended for as long as for one that is only silent.
func TestRefusedConnectionSpeedsUpFailover(t *testing.T) {
	for _, refused := range []bool{false, true} {
		h := newHarness(t)
		primaryDown := func() {
			h.step(PollFailed{Server: "p", NewConn: true, Refused: refused})
			h.poll("a", Replica, 7)
			h.poll("b", Replica, 7)
		}
		_, claimed := find[Claim](h.advance(synchTiming.Silence/2+100*time.Millisecond, primaryDown))
		if claimed != refused {
			t.Errorf("refused %t: claimed %t within half of Silence", refused, claimed)
		}
	}
}

// TestGroupRecoversFromLostCandidate checks that a group gets a primary again after its old one
// was demoted and the server that was to succeed it has left.
func TestGroupRecoversFromLostCandidate(t *testing.T) {
	h := newHarness(t)
	h.m.SetLeaving(map[ident.ServerID]bool{"p": true})
	claim, _ := find[Claim](h.step(Tick{}))
	h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: Record{Claim: 1}})
	for id, received := range map[ident.ServerID]ident.Position{"a": 7, "b": 9} {
		h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: id, Term: 1, LogTerm: 1, Received: received}})
	}
	h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: "p", Term: 1, LogTerm: 1, Received: 12}})
	h.step(Promoted{Term: claim.Record.Term, Server: "b"})
	h.m.SetServers([]ident.ServerID{"p", "a"})
	h.m.SetLeaving(nil)
	actions := h.advance(30*time.Second, func() {
		h.poll("p", Replica, 12)
		h.poll("a", Replica, 7)
	})
	if _, ok := find[Claim](actions); !ok {
		t.Fatal("no claim within 30 s")
	}
}

// TestGroupWithoutListedPrimaryGetsOne guards against a group that stays without a primary because it died,
// and left the list, before the present owners had reached it.
func TestGroupWithoutListedPrimaryGetsOne(t *testing.T) {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	h.m = New(Config{Servers: []ident.ServerID{"a", "b"}, Claimant: "me", Timing: synchTiming, Fenced: true})
	h.step(Recorded{Record: Record{Members: threeMembers()}, Version: ident.VersionOf(1)})
	replicas := func() { h.poll("a", Replica, 7); h.poll("b", Replica, 9) }
	actions := h.advance(missingPrimaryDelay-100*time.Millisecond, replicas)
	if claim, early := find[Claim](actions); early {
		t.Fatalf("claimed before an earlier order could have had its effect: %+v", claim)
	}
	change, ok := find[ChangeMembers](actions)
	if !ok || len(change.Retired) != 1 || change.Retired[0].Server != "p" || len(change.Added)+len(change.Removed) > 0 {
		t.Fatalf("got change %+v, want p retired", change)
	}
	r, _ := change.Evaluate(Record{Members: threeMembers()}, ident.Version{})
	h.step(Recorded{Record: r, Version: ident.VersionOf(2)})
	claim, ok := find[Claim](h.advance(time.Second, replicas))
	if !ok || claim.Record.ReplacedTerm != 1 {
		t.Fatalf("got claim %+v, want one on term 1", claim)
	}
}

// TestOrderUnderWayIsNotOvertaken guards against a fencing token below one that the platform has seen (ONE): while
// orders of another holder may be under way, no other one claims, until that holder has said that they are settled, or
// for as long as one can take.
func TestOrderUnderWayIsNotOvertaken(t *testing.T) {
	ordering := Record{Term: 2, Claimant: "other-1", Holder: "other", Claim: 5, Fence: 3, ReplacedTerm: 1, Ordering: true}
	lost := func(t *testing.T) *harness {
		h := newHarness(t)
		h.m.conf.Holder = "me"
		claim := h.claim()
		if _, granted := claim.Evaluate(ordering, ident.Version{}, true); granted {
			t.Fatal("the claim is granted while another holder orders")
		}
		h.step(Claimed{Term: claim.Record.Term, Record: ordering, Version: ident.VersionOf(1)})
		return h
	}
	t.Run("until it is settled", func(t *testing.T) {
		h := lost(t)
		if again, ok := find[Claim](h.advance(claimBackoff+time.Second, h.reportPrimaryDown)); ok {
			t.Fatalf("claimed while orders may be under way: %+v", again)
		}
		settled, changed := ordering.SettleOrders(5)
		if !changed {
			t.Fatal("the holder's word that its orders are settled is not written")
		}
		h.step(Recorded{Record: settled, Version: ident.VersionOf(2)})
		again, ok := find[Claim](h.advance(time.Second, h.reportPrimaryDown))
		if !ok {
			t.Fatal("no claim once the orders are settled")
		}
		if r, granted := again.Evaluate(settled, ident.Version{}, true); !granted || r.Fence <= ordering.Fence || r.Ordering {
			t.Fatalf("granted: %t, record %+v; want a fence above %d", granted, r, ordering.Fence)
		}
	})
	t.Run("for as long as an order can take", func(t *testing.T) {
		h := lost(t)
		if again, ok := find[Claim](h.advance(OrderSettleTime-100*time.Millisecond, h.reportPrimaryDown)); ok {
			t.Fatalf("claimed while orders may be under way: %+v", again)
		}
		again, ok := find[Claim](h.advance(time.Second, h.reportPrimaryDown))
		if !ok {
			t.Fatal("no claim although no order can be under way any more")
		}
		if _, granted := again.Evaluate(ordering, ident.Version{}, true); !granted {
			t.Fatal("the claim is not granted")
		}
		ordering := ordering
		ordering.Claim++
		if _, granted := again.Evaluate(ordering, ident.Version{}, true); granted {
			t.Fatal("the claim is granted although the other holder orders again")
		}
	})
}

// TestHolderKeepsItsFence guards against a holder's late order below its own later ones, also over a restart.
func TestHolderKeepsItsFence(t *testing.T) {
	epoch := ident.NewVersion(1, 0)
	first, _ := Claim{Record: Record{Claimant: "a-1", Holder: "a", ReplacedTerm: 1}}.Evaluate(Record{}, epoch, true)
	if r, started := first.StartOrdering(first.Claim); !started || !r.Ordering {
		t.Fatal("the claim does not cover its orders")
	}
	if _, started := first.StartOrdering(first.Claim - 1); started {
		t.Fatal("an earlier claim covers orders")
	}
	first.Ordering = true
	again, granted := Claim{Record: Record{Claimant: "a-2", Holder: "a", ReplacedTerm: 1}, LastClaim: first.Claim}.Evaluate(first, epoch, true)
	if !granted || again.Claim <= first.Claim || again.Fence != first.Fence || !again.Ordering {
		t.Errorf("granted: %t, %+v after %+v; want the same fence, and the orders still under way", granted, again, first)
	}
	again.Ordering = false
	other, granted := Claim{Record: Record{Claimant: "b-1", Holder: "b", ReplacedTerm: 1}, LastClaim: again.Claim}.Evaluate(again, epoch, true)
	if !granted || other.Fence <= again.Claim {
		t.Errorf("granted: %t, fence %d; another holder wants one above every earlier claim", granted, other.Fence)
	}
	restored, granted := Claim{Record: Record{Claimant: "a-2", Holder: "a", ReplacedTerm: 1}, LastClaim: first.Claim}.Evaluate(first, ident.NewVersion(2, 0), true)
	if !granted || restored.Fence <= other.Fence {
		t.Errorf("granted: %t, fence %d; after a restore it wants one above those that the store has lost", granted, restored.Fence)
	}
}
