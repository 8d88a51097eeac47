package owner

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// sealDriver connects to fake servers of which some refuse to be sealed.
type sealDriver struct {
	*fakeDriver
	refuse ident.ServerID

	mu     sync.Mutex
	sealed []ident.ServerID
}

func (d *sealDriver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	c, err := d.fakeDriver.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	return &sealConn{fakeConn: c.(*fakeConn), driver: d}, nil
}

func (d *sealDriver) asked(id ident.ServerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.sealed, id)
}

type sealConn struct {
	*fakeConn
	driver *sealDriver
}

func (c *sealConn) Seal(context.Context, ident.Term, group.Claimant) (bool, error) {
	c.driver.mu.Lock()
	defer c.driver.mu.Unlock()
	c.driver.sealed = append(c.driver.sealed, c.server)
	return c.server != c.driver.refuse, nil
}

// TestHandOverGoesOnAfterRefusedSeal guards against waiting out a step for the position of a leaving primary
// that has refused to be sealed.
func TestHandOverGoesOnAfterRefusedSeal(t *testing.T) {
	d := &sealDriver{fakeDriver: newDriver(), refuse: "a"}
	c := testGroupConfig(d, &claimStore{})
	d.unfenced, c.Group.Servers[0].Leaving = true, true
	c.Defaults.StepTime = time.Minute
	startGroupWith(t, c)
	eventually(t, "the leaving primary is asked", func() bool { return d.asked("a") })
	eventually(t, "the servers that stay are sealed", func() bool { return d.asked("b") && d.asked("c") })
}

// TestSealLostBeforeItsStatusIsNoSeal guards against an order that relies on a replica that has started again
// between its seal and its status.
func TestSealLostBeforeItsStatusIsNoSeal(t *testing.T) {
	a := group.Seal{Server: "b", Term: 3, Held: 2}
	for _, test := range []struct {
		status     group.Status
		wasReplica bool
		want       bool
	}{
		{group.Status{Server: "b", Term: 1, Sealed: 2}, true, true},
		{group.Status{Server: "b", Term: 1, Sealed: 3}, true, true},
		{group.Status{Server: "b", Term: 1}, true, false},
		{group.Status{Server: "b", Term: 1, Sealed: 1}, true, false},
		// A primary that the seal has demoted shows none.
		{group.Status{Server: "b", Term: 1}, false, true},
	} {
		if r := sealResult(a, test.status, test.wasReplica); r.OK != test.want || r.Status.Server != "b" {
			t.Errorf("status %+v, of a replica: %t: got %+v, want OK %t", test.status, test.wasReplica, r, test.want)
		}
	}
}

// TestStepsAtServerThatHasLeftAreAnswered guards against waiting out a step for a server that has left the group.
func TestStepsAtServerThatHasLeftAreAnswered(t *testing.T) {
	g := &Group{events: make(chan group.Event, 2)}
	limits := testGroupConfig(nil, nil).Defaults
	g.roster.Store(&roster{})
	g.defaults.Store(&limits)
	g.seal(group.Seal{Server: "a", Term: 2})
	g.promote(group.Promote{Server: "a", Term: 2})
	want := []group.Event{group.Sealed{Term: 2, Status: group.Status{Server: "a"}}, group.Promoted{Term: 2, Server: "a"}}
	for _, w := range want {
		select {
		case got := <-g.events:
			if got != w {
				t.Errorf("got %+v, want %+v", got, w)
			}
		default:
			t.Errorf("got no event, want %+v", w)
		}
	}
}

// TestFullQueueDropsNoResult guards against a claim, a seal or a promotion whose result the state machine never
// learns, and against watchers and peers that wait for a full queue.
func TestFullQueueDropsNoResult(t *testing.T) {
	for _, e := range []group.Event{
		group.Polled{},
		group.PollFailed{},
		group.PeerView{},
		group.Claimed{Term: 2},
		group.Sealed{Term: 2},
		group.Promoted{Term: 2},
		group.Recorded{Version: ident.VersionOf(2)},
	} {
		g := &Group{events: make(chan group.Event, 1)}
		g.postEvent(group.Polled{Status: group.Status{Server: "a"}})
		posted := make(chan struct{})
		go func() {
			defer close(posted)
			g.postEvent(e)
		}()
		repeated := false
		switch e.(type) {
		case group.Polled, group.PollFailed, group.PeerView:
			repeated = true
		}
		select {
		case <-posted:
			if !repeated {
				t.Errorf("%T was dropped", e)
			}
			continue
		case <-time.After(100 * time.Millisecond):
			if repeated {
				t.Errorf("%T waits for a place", e)
			}
		}
		<-g.events
		if got := <-g.events; !reflect.DeepEqual(got, e) {
			t.Errorf("got %T, want %T", got, e)
		}
	}
}

// TestResultsDoNotOutliveGroup guards against a group that waits forever for a result when it stops.
func TestResultsDoNotOutliveGroup(t *testing.T) {
	g := &Group{events: make(chan group.Event)}
	g.tomb.Go(func() error { g.postEvent(group.Claimed{}); return nil })
	g.tomb.Kill(nil)
	select {
	case <-g.tomb.Dead():
	case <-time.After(10 * time.Second):
		t.Fatal("a result still waits 10 s after the group was stopped")
	}
}

// TestResultsUnderWayAreBounded lets all seals and orders of a group go unanswered for a minute, and checks how
// many results can wait for the state machine at once.
func TestResultsUnderWayAreBounded(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		limits := testGroupConfig(nil, nil).Defaults
		ids := []ident.ServerID{"a", "b", "c"}
		m := group.New(group.Config{Servers: ids, Claimant: "i", Timing: timing(&limits), Fenced: fenced})
		now := time.Unix(1000, 0)
		m.Step(now, group.Polled{Status: group.Status{Server: "a", Role: group.Primary, Term: 1, LogTerm: 1}})
		var started []time.Time
		claims, most := 0, 0
		for end := now.Add(time.Minute); now.Before(end); now = now.Add(tickInterval) {
			m.Step(now, group.PollFailed{Server: "a", NewConn: true})
			for _, id := range ids[1:] {
				m.Step(now, group.Polled{Status: group.Status{Server: id, Term: 1, LogTerm: 1}})
			}
			actions := m.Step(now, group.Tick{})
			for len(actions) > 0 {
				action := actions[0]
				actions = actions[1:]
				switch a := action.(type) {
				case group.Claim:
					claims++
					actions = append(actions, m.Step(now, group.Claimed{Term: a.Record.Term, Granted: true, Record: a.Record})...)
					started = append(started, now)
				case group.Seal, group.Promote, group.ChangeMembers:
					started = append(started, now)
				}
			}
			for len(started) > 0 && now.Sub(started[0]) > limits.StepTime {
				started = started[1:]
			}
			most = max(most, len(started))
		}
		if bound := 2 * (len(ids) + 3); most > bound || claims < 10 {
			t.Errorf("fenced %t: up to %d results under way with %d claims, want at most %d, fewer than the queue holds", fenced, most, claims, bound)
		}
	}
}

// countingStore does not answer, and counts the reads.
type countingStore struct {
	plat.Store
	reads atomic.Int64
}

func (s *countingStore) Get(context.Context, objs.Kind, string) (objs.Object, error) {
	s.reads.Add(1)
	return objs.Object{}, &plat.Error{Cause: plat.Unreachable}
}

// TestOutageOfStoreIsNotFloodedWithPublications guards against a publication of the primary with each tick
// while the platform is down.
func TestOutageOfStoreIsNotFloodedWithPublications(t *testing.T) {
	store := &countingStore{}
	d := newDriver()
	d.unfenced = true
	c := testGroupConfig(d, store)
	startGroupWith(t, c)
	eventually(t, "the primary is published", func() bool { return store.reads.Load() > 0 })
	time.Sleep(publishInterval / 2)
	if n := store.reads.Load(); n > 1 {
		t.Errorf("%d reads within %v, want 1", n, publishInterval/2)
	}
}
