package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// doubtfulDriver opens connections whose answers a test decides about, and records them.
type doubtfulDriver struct {
	*fakeDriver
	// full is how many more connections are refused for want of room.
	full  atomic.Int64
	mu    sync.Mutex
	conns []*doubtfulConn
	// found is reported by the next request of a caller.
	found []proto.Finding
	// ahead is the position after a caller's request, beyond which no replica has received.
	ahead ident.Position
	// polled returns the status that a control connection reports, given how many it has reported before.
	polled func(s group.Status, c *doubtfulConn, before int) (group.Status, error)
}

func (d *doubtfulDriver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	if d.full.Add(-1) >= 0 {
		return nil, &proto.DialError{Server: t.Server, NoCapacity: true, Connected: true}
	}
	c, err := d.fakeDriver.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	opened := &doubtfulConn{fakeConn: c.(*fakeConn), target: t, driver: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, opened)
	return opened, nil
}

// opened returns the connections opened so far to a server for a customer.
func (d *doubtfulDriver) opened(id ident.ServerID, customer ident.CustomerID) []*doubtfulConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var opened []*doubtfulConn
	for _, c := range d.conns {
		if c.target.Server == id && c.target.Customer == customer {
			opened = append(opened, c)
		}
	}
	return opened
}

type doubtfulConn struct {
	*fakeConn
	target proto.Target
	driver *doubtfulDriver
	// The driver's mutex guards the rest.
	polls, runs, orders int
	distrusted, surplus bool
	ended               bool
}

func (c *doubtfulConn) Distrust() {
	c.driver.mu.Lock()
	defer c.driver.mu.Unlock()
	c.distrusted = true
}

func (c *doubtfulConn) Condition() proto.Condition {
	c.driver.mu.Lock()
	defer c.driver.mu.Unlock()
	switch {
	case c.ended:
		return proto.Broken
	case c.surplus:
		return proto.Surplus
	}
	return proto.Usable
}

func (c *doubtfulConn) Close() {
	c.driver.mu.Lock()
	defer c.driver.mu.Unlock()
	c.ended = true
}

func (c *doubtfulConn) Run(ctx context.Context, r *proto.Request, sink proto.Sink) (proto.Answer, error) {
	c.driver.mu.Lock()
	found := c.driver.found
	c.driver.found = nil
	c.runs++
	c.driver.mu.Unlock()
	for _, f := range found {
		c.target.Report(f)
	}
	a, err := c.fakeConn.Run(ctx, r, sink)
	a.Status.Received, a.Status.Applied = c.driver.ahead, c.driver.ahead
	return a, err
}

func (c *doubtfulConn) Status(ctx context.Context) (group.Status, error) {
	s, err := c.fakeConn.Status(ctx)
	if err != nil {
		return s, err
	}
	c.driver.mu.Lock()
	defer c.driver.mu.Unlock()
	before := c.polls
	c.polls++
	if c.driver.polled == nil {
		return s, nil
	}
	return c.driver.polled(s, c, before)
}

func (c *doubtfulConn) Release(context.Context) error {
	c.driver.mu.Lock()
	defer c.driver.mu.Unlock()
	c.orders++
	return nil
}

func startDoubtful(t *testing.T) (*doubtfulDriver, *Group) {
	t.Helper()
	d := &doubtfulDriver{fakeDriver: newDriver()}
	g := startGroup(t, d, &claimStore{})
	eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
	return d, g
}

func runWrite(t *testing.T, g *Group) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w := Work{Customer: "c", Group: "g", Kind: stmt.Write, Limits: Limits{Run: 5 * time.Second, QueueWait: 5 * time.Second, AckWait: 5 * time.Second}}
	if r := g.Run(ctx, &w, &bufferSink{}); r.Outcome != fault.Done {
		t.Fatalf("%+v, want an answer", r)
	}
}

// TestServerThatRepeatsAnswersIsDistrusted: a copy on one connection shows what to expect on the server's others,
// also on those for polls, and not on those of other servers.
func TestServerThatRepeatsAnswersIsDistrusted(t *testing.T) {
	d, g := startDoubtful(t)
	runWrite(t, g)
	if conns := d.opened("a", "c"); len(conns) != 1 || conns[0].distrusted {
		t.Fatalf("%d connections, distrusted: %t, want one that is trusted", len(conns), conns[0].distrusted)
	}
	g.recordFinding(g.at("a"), connUse{}, proto.Finding{Violation: proto.Repeated})
	runWrite(t, g)
	distrusted := func(id ident.ServerID) bool {
		conns := d.opened(id, "")
		last := conns[len(conns)-1]
		d.mu.Lock()
		defer d.mu.Unlock()
		return last.distrusted
	}
	if conns := d.opened("a", "c"); len(conns) != 1 || !conns[0].distrusted {
		t.Errorf("%d connections, distrusted: %t, want the one that was open, distrusted", len(conns), conns[0].distrusted)
	}
	eventually(t, "polls of the server take no copy", func() bool { return distrusted("a") })
	if distrusted("b") {
		t.Error("another server is distrusted")
	}
	g.at("a").distrust.repeatsUntil.Store(clock.Now().Add(-time.Second).UnixNano())
	if g.at("a").distrust.repeats() {
		t.Error("a server is distrusted for longer than the time for that")
	}
}

// TestConnectionOfServerThatCrossesAnswersIsUsedOnce: an answer that is no copy and no request's could be taken for
// that of any request, unless it is the connection's first one.
func TestConnectionOfServerThatCrossesAnswersIsUsedOnce(t *testing.T) {
	d, g := startDoubtful(t)
	for range 3 {
		runWrite(t, g)
	}
	d.mu.Lock()
	d.found = []proto.Finding{{Violation: proto.Misfit}}
	d.mu.Unlock()
	for range 3 {
		runWrite(t, g)
	}
	var runs []int
	for _, c := range d.opened("a", "c") {
		runs = append(runs, c.runs)
	}
	if len(runs) != 3 || runs[0] != 4 || runs[1] != 1 || runs[2] != 1 {
		t.Errorf("the connections have run %v requests, want [4 1 1]", runs)
	}
}

// TestSurplusOnControlConnectionReplacesIt: bytes that nobody asked for would be taken for the answer to the next poll.
func TestSurplusOnControlConnectionReplacesIt(t *testing.T) {
	d, g := startDoubtful(t)
	first := d.opened("b", "")[0]
	d.mu.Lock()
	first.surplus = true
	polls := first.polls
	d.mu.Unlock()
	eventually(t, "the server is polled on another connection", func() bool {
		conns := d.opened("b", "")
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(conns) > 1 && conns[1].polls > 0
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if first.polls > polls+1 {
		t.Errorf("%d polls on a connection with surplus bytes", first.polls-polls)
	}
	found := 0
	for _, e := range g.conf.Journal.Since(time.Time{}) {
		if e.Kind == jrnl.SurplusAnswer && e.Server == "b" {
			found++
		}
	}
	if found != 1 {
		t.Errorf("logged %d times, want once", found)
	}
}

// TestStatusThatFallsBehindIsAskedAgain: a copy of an older status looks like news from the server.
func TestStatusThatFallsBehindIsAskedAgain(t *testing.T) {
	d, g := startDoubtful(t)
	d.mu.Lock()
	d.polled = func(s group.Status, c *doubtfulConn, before int) (group.Status, error) {
		s.Received = 7
		if c.target.Server == "b" && len(d.conns) > 0 && before > 0 && before%2 == 0 {
			s.Received = 3
		}
		return s, nil
	}
	d.mu.Unlock()
	eventually(t, "an older status came", func() bool { return g.at("b").distrust.repeats() })
	for range 20 {
		if r := g.tracker.current.Load().reportOf(g.at("b")); r != nil && r.status.Received == 3 {
			t.Fatal("the older status was taken for the server's")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// TestDoubtfulStatusIsAskedAgain: what a distrusted connection can't tell from a copy is asked on a new one, where
// there is nothing to repeat, and is no failed poll.
func TestDoubtfulStatusIsAskedAgain(t *testing.T) {
	d, g := startDoubtful(t)
	d.mu.Lock()
	d.polled = func(s group.Status, _ *doubtfulConn, before int) (group.Status, error) {
		if before > 0 {
			return group.Status{}, &proto.RunError{Stage: proto.Sent, Cause: &proto.DoubtError{}}
		}
		return s, nil
	}
	d.mu.Unlock()
	w := &watcher{group: g, server: g.at("b")}
	defer w.closeConn()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for poll := range 3 {
		if _, s, err := w.queryStatus(ctx); err != nil || s.Server != "b" {
			t.Errorf("poll %d: %+v, %v", poll, s, err)
		}
	}
}

// TestOrderRunsOnConnectionOfItsOwn: on the connection for polls, the answer to an order could be a copy.
func TestOrderRunsOnConnectionOfItsOwn(t *testing.T) {
	d, g := startDoubtful(t)
	g.releaseSeal("b")
	eventually(t, "the order has run", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, c := range d.conns {
			if c.orders > 0 {
				return true
			}
		}
		return false
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		if c.orders > 0 && (c.polls > 0 || !c.distrusted) {
			t.Errorf("the order ran on a connection of %d polls, distrusted: %t", c.polls, c.distrusted)
		}
	}
}

// TestOrderWaitsForPlaceOfClosedConnection: a server at its limit refuses a connection until it has noticed that the one for
// polls is closed.
func TestOrderWaitsForPlaceOfClosedConnection(t *testing.T) {
	d, g := startDoubtful(t)
	w := &watcher{group: g, server: g.at("b")}
	defer w.closeConn()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, full := range []int64{2, 2 * orderDials} {
		// The watchers of the group's servers may be refused as well.
		d.full.Store(full)
		c := &controlCall{ctx: ctx, run: func(context.Context, proto.Conn) error { return nil }, done: make(chan error, 1)}
		w.call(c)
		d.full.Store(0)
		if err := <-c.done; (err != nil) != (full > orderDials) {
			t.Errorf("after up to %d refusals: %v", full, err)
		}
	}
}

// TestUnconfirmedReadLeavesItsConnection: a read that is run again under its id may get the signature that it had,
// which would look like a copy there.
func TestUnconfirmedReadLeavesItsConnection(t *testing.T) {
	d, g := startDoubtful(t)
	d.ahead = 9
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	w := Work{
		Customer: "c", Group: "g", Kind: stmt.Read, ReadConsistency: conf.LatestReads, Limits: Limits{Run: 5 * time.Second, QueueWait: 5 * time.Second},
		Request: proto.Request{NeverCommits: true, WritesNothing: true},
	}
	if r := g.Run(ctx, &w, &bufferSink{}); r.Reason != fault.AnswerUnconfirmed {
		t.Fatalf("%+v, want an unconfirmed answer", r)
	}
	conns := d.opened("a", "c")
	if len(conns) < 2 {
		t.Fatalf("the read ran on %d connections, want it to be run again", len(conns))
	}
	for _, c := range conns {
		if c.runs != 1 || c.Condition() != proto.Broken {
			t.Errorf("a connection ran the read %d times and is %s", c.runs, c.Condition())
		}
	}
}
