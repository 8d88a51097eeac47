package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/netem"
)

// newSurplusPair starts two linked instances, some milliseconds apart, that look for surplus links all
// the time.
func newSurplusPair(t *testing.T, requestDelay time.Duration) (*testInstance, *testInstance) {
	t.Helper()
	between := netem.New()
	between.Latency = func(ident.CenterID, ident.CenterID) time.Duration { return 5 * time.Millisecond }
	change := func(c *Config) {
		c.SurplusDelay, c.RequestDelay, c.Dialer = 5*time.Millisecond, requestDelay, between.From("here")
	}
	a, b := newTestInstance(t, "a", change), newTestInstance(t, "b", change)
	shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "b": b})
	if err := a.hub.Connect(testContext(t), "b"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return b.hub.Connected("a") })
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	for _, n := range []*testInstance{a, b} {
		loops.Go(func() {
			for ctx.Err() == nil {
				n.hub.CloseSurplus(func(ident.InstanceID) bool { return n.wants.Load() })
				time.Sleep(time.Millisecond)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		loops.Wait()
	})
	return a, b
}

// TestUnwantedLinkIsClosed: a link that neither end wants is closed, and not taken for lost.
func TestUnwantedLinkIsClosed(t *testing.T) {
	a, b := newSurplusPair(t, time.Hour)
	waitFor(t, func() bool { return !a.hub.Connected("b") && !b.hub.Connected("a") })
	waitFor(t, func() bool { return a.retired.Load() == 1 && b.retired.Load() == 1 })
	if a.lost.Load()+b.lost.Load() > 0 {
		t.Error("the link was reported as lost")
	}
	if r := a.hub.Run(testContext(t), "b", &owner.Work{}, &countingSink{}); r.Outcome != fault.Done {
		t.Errorf("a request after that: %+v", r)
	}
	time.Sleep(50 * time.Millisecond)
	if !a.hub.Connected("b") || !b.hub.Connected("a") {
		t.Error("a link that carried a request was closed")
	}
}

// TestAgreedCloseIsNotTakenForLost looks for surplus links between the peer's consent and the end of the link: the link was
// asked for a second time then, and taken for lost as nobody had agreed to that.
func TestAgreedCloseIsNotTakenForLost(t *testing.T) {
	between := netem.New()
	between.Latency = func(ident.CenterID, ident.CenterID) time.Duration { return 20 * time.Millisecond }
	change := func(c *Config) {
		c.SurplusDelay, c.RequestDelay, c.Dialer = time.Millisecond, time.Hour, between.From("here")
	}
	a, b := newTestInstance(t, "a", change), newTestInstance(t, "b", change)
	shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "b": b})
	closeSurplus := func() { a.hub.CloseSurplus(func(ident.InstanceID) bool { return false }) }
	a.onRetired = closeSurplus
	if err := a.hub.Connect(testContext(t), "b"); err != nil {
		t.Fatal(err)
	}
	for b.retired.Load() == 0 {
		closeSurplus()
		time.Sleep(time.Millisecond)
	}
	waitFor(t, func() bool { return len(a.hub.everyLink()) == 0 && len(b.hub.everyLink()) == 0 })
	if a.lost.Load()+b.lost.Load() > 0 {
		t.Error("the link was reported as lost")
	}
}

// TestLinkThatOneEndWantsIsKept: the end that does not want a link cannot close it alone.
func TestLinkThatOneEndWantsIsKept(t *testing.T) {
	for wanting := range 2 {
		a, b := newSurplusPair(t, time.Hour)
		[]*testInstance{a, b}[wanting].wants.Store(true)
		if err := a.hub.Connect(testContext(t), "b"); err != nil {
			t.Fatal(err)
		}
		waitFor(t, func() bool { return a.hub.Connected("b") && b.hub.Connected("a") })
		retired := a.retired.Load()
		time.Sleep(100 * time.Millisecond)
		if a.retired.Load() != retired || !b.hub.Connected("a") {
			t.Errorf("instance %d wants the link, but it was closed", wanting)
		}
	}
}

// TestClosingLinksCutsNoRequest: requests begin in both directions just when links become surplus.
func TestClosingLinksCutsNoRequest(t *testing.T) {
	a, b := newSurplusPair(t, 0)
	var callers sync.WaitGroup
	for at, n := range []*testInstance{a, b} {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(at), 1))
			for range 100 {
				sink := &countingSink{}
				w := &owner.Work{Request: proto.Request{Messages: []byte("part")}}
				if r := n.hub.Run(testContext(t), []ident.InstanceID{"b", "a"}[at], w, sink); r.Outcome != fault.Done || sink.size != 3*len("part") {
					t.Errorf("instance %d: %+v, %d bytes", at, r, sink.size)
				}
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	t.Logf("%d links were closed", a.retired.Load())
	if a.retired.Load() == 0 {
		t.Error("no link was closed")
	}
}
