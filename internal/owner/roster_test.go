package owner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/pkg/stmt"
)

// fakeDriver connects to fake servers that report a status and answer every request at once.
type fakeDriver struct {
	mu      sync.Mutex
	down    map[ident.ServerID]bool
	primary ident.ServerID
	dials   map[ident.CustomerID]int
	// beforeDial is called before a connection for a customer is opened; it may be nil.
	beforeDial func(ident.CustomerID)
	// change alters the statuses that the servers report.
	change func(*group.Status)
	// unfenced is set if the servers check claimants themselves.
	unfenced bool
}

func (d *fakeDriver) setDown(id ident.ServerID, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down[id] = down
}

func (d *fakeDriver) isDown(id ident.ServerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down[id]
}

func (d *fakeDriver) Dial(_ context.Context, t proto.Target) (proto.Conn, error) {
	if d.isDown(t.Server) {
		return nil, &proto.DialError{Server: t.Server}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.beforeDial != nil {
		d.beforeDial(t.Customer)
	}
	d.dials[t.Customer]++
	return &fakeConn{driver: d, server: t.Server}, nil
}

func (*fakeDriver) PerCustomer() bool { return true }
func (*fakeDriver) ChecksFloor() bool { return true }
func (d *fakeDriver) Fenced() bool    { return !d.unfenced }

func (*fakeDriver) Promote(_ context.Context, _ proto.Conn, _ proto.Target, o proto.PromotionOrder) (proto.Promotion, error) {
	return proto.Promotion{Accepted: o.ClaimValid()}, nil
}

type fakeConn struct {
	driver *fakeDriver
	server ident.ServerID
	closed bool
}

func (c *fakeConn) Run(context.Context, *proto.Request, proto.Sink) (proto.Answer, error) {
	return proto.Answer{TxStatus: 'I', HasStatus: true, Status: c.status()}, nil
}

func (c *fakeConn) Status(context.Context) (group.Status, error) {
	if c.driver.isDown(c.server) {
		return group.Status{}, &proto.RunError{Server: c.server}
	}
	return c.status(), nil
}

func (c *fakeConn) status() group.Status {
	s := group.Status{Server: c.server, Term: 1, LogTerm: 1}
	if c.server == c.driver.primary {
		s.Role = group.Primary
	}
	if c.driver.change != nil {
		c.driver.change(&s)
	}
	return s
}

func (c *fakeConn) Seal(context.Context, ident.Term, group.Claimant) (bool, error) { return true, nil }
func (c *fakeConn) Follow(context.Context, ident.Term, ident.ServerID) error       { return nil }
func (c *fakeConn) Release(context.Context) error                                  { return nil }

func (c *fakeConn) Condition() proto.Condition {
	if c.closed {
		return proto.Broken
	}
	return proto.Usable
}

func (c *fakeConn) Exhausted() bool     { return false }
func (c *fakeConn) Distrust()           {}
func (c *fakeConn) InvalidateSettings() {}
func (c *fakeConn) Interrupt()          {}
func (c *fakeConn) Close()              { c.closed = true }

// claimStore holds the record of a group whose members are a, b and c. It counts the claims and fails them,
// and all calls while it is down.
type claimStore struct {
	plat.Store
	mu     sync.Mutex
	object objs.Object
	claims int
	down   bool
	// accepts is set if the store stores claims.
	accepts bool
}

func (s *claimStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *claimStore) Get(_ context.Context, kind objs.Kind, name string) (objs.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objs.Object{}, &plat.Error{Cause: plat.Unreachable}
	}
	if s.object.Spec == nil {
		spec, err := json.Marshal(group.Record{Members: []group.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}}})
		s.object = objs.Object{Kind: kind, Metadata: objs.Metadata{Name: name, ResourceVersion: "1"}, Spec: spec}
		return s.object, err
	}
	return s.object, nil
}

func (s *claimStore) Put(_ context.Context, o objs.Object) (objs.Object, error) {
	var r group.Record
	err := json.Unmarshal(o.Spec, &r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Claim > 0 && !s.accepts || s.down {
		s.claims++
		return o, &plat.Error{Cause: plat.Unreachable}
	}
	o.Metadata.ResourceVersion = s.object.Version().Next().ResourceVersion()
	s.object = o
	return o, err
}

func (s *claimStore) claimCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims
}

func groupOf(ids ...ident.ServerID) conf.Group {
	g := conf.Group{Connections: 20, Slots: 3, Synchronous: 1, Listed: true}
	for _, id := range ids {
		g.Servers = append(g.Servers, conf.Server{ID: id, Address: "127.0.0.1:1"})
	}
	return g
}

func startGroup(t *testing.T, d proto.Driver, s plat.Store) *Group {
	t.Helper()
	return startGroupWith(t, testGroupConfig(d, s))
}

func startGroupWith(t *testing.T, c GroupConfig) *Group {
	t.Helper()
	g := NewGroup(c)
	t.Cleanup(g.Stop)
	return g
}

func testGroupConfig(d proto.Driver, s plat.Store) GroupConfig {
	limits := conf.DefaultValues()
	limits.Poll, limits.Silence, limits.PathSilence, limits.Stagger = 10*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond, 20*time.Millisecond
	return GroupConfig{
		ID: "g", Group: groupOf("a", "b", "c"), Defaults: limits, Self: "i", Claimant: "i-1", Driver: d, Store: s,
		Journal: jrnl.New(jrnl.Config{Instance: "i", Capacity: 100, Now: time.Now}), Budget: retry.NewBudget(0.1, 10),
		Random: rand.New(rand.NewPCG(1, 1)), Now: clock.Now, lost: newLostAnswers(nil), changes: newChanges(nil),
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out after 10 s waiting for: " + what)
		}
	}
}

func (d *fakeDriver) setBeforeDial(f func(ident.CustomerID)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beforeDial = f
}

func newDriver() *fakeDriver {
	return &fakeDriver{down: map[ident.ServerID]bool{}, primary: "a", dials: map[ident.CustomerID]int{}}
}

// TestUnlistedServerIsKeptWhileItAnswers: a primary that is cut off from the platform
// disappears from the server list. If the group dropped it, nobody would seal it, and it
// would go on acknowledging writes beside its successor.
func TestUnlistedServerIsKeptWhileItAnswers(t *testing.T) {
	d := newDriver()
	g := startGroup(t, d, &claimStore{})
	eventually(t, "all servers answer", func() bool {
		v := g.tracker.current.Load()
		return len(v.servers) == 3 && v.servers[0].known && v.servers[1].known && v.servers[2].known
	})
	g.Update(groupOf("a", "b"), *g.defaults.Load(), Place{})
	if !slices.Contains(g.serverIDs(), "c") || !(*g.leaving.Load())["c"] {
		t.Fatalf("servers %v, leaving %v: want c kept and leaving", g.serverIDs(), *g.leaving.Load())
	}
	d.setDown("c", true)
	eventually(t, "c is removed once it does not answer", func() bool {
		g.Update(groupOf("a", "b"), *g.defaults.Load(), Place{})
		return !slices.Contains(g.serverIDs(), "c")
	})
}

// TestOnlyOwnersReplaceAPrimary: an instance that no longer owns a group, and no longer
// knows its servers reliably, must not start a promotion.
func TestOnlyOwnersReplaceAPrimary(t *testing.T) {
	d := newDriver()
	store := &claimStore{}
	g := startGroup(t, d, store)
	eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
	g.relinquish()
	d.setDown("a", true)
	time.Sleep(time.Second)
	if store.claimCount() > 0 {
		t.Fatal("an instance that does not own the group made a claim")
	}
	g.Update(groupOf("a", "b", "c"), *g.defaults.Load(), Place{})
	eventually(t, "the owner claims", func() bool { return store.claimCount() > 0 })
}

// TestTransactionNeedsLeasedPrimary: a primary behind a partition may have been
// replaced and still answer. Transactions and latest reads must not run on it once its
// lease has ended.
func TestTransactionNeedsLeasedPrimary(t *testing.T) {
	for _, kind := range []stmt.Kind{stmt.Begin, stmt.Read} {
		d, store := newDriver(), &claimStore{}
		g := startGroup(t, d, store)
		run := func() Result {
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			w := &Work{
				Kind: kind, ReadConsistency: conf.LatestReads, Customer: "c", Limits: Limits{Run: 400 * time.Millisecond, QueueWait: 400 * time.Millisecond},
				Request: proto.Request{TxOpening: proto.OpenReadWrite},
			}
			return g.Run(ctx, w, &bufferSink{})
		}
		eventually(t, "the work runs while all servers answer", func() bool { return run().Outcome == fault.Done })
		d.setDown("b", true)
		d.setDown("c", true)
		// The record would show that no claim has been made.
		store.setDown(true)
		time.Sleep(group.PromotionTime + 100*time.Millisecond)
		if r := run(); r.Outcome != fault.NotSent || r.Reason != fault.NoPrimary {
			t.Fatalf("%s on a primary whose replicas are unreachable: got %s %s, want not-run no-primary", kind, r.Outcome, r.Reason)
		}
	}
}

// TestRelinquishedPoolRefusesRequests: after an instance has given up a group, its only
// remaining connection may belong to an open transaction. Requests must be refused at
// once instead of waiting for that connection.
func TestRelinquishedPoolRefusesRequests(t *testing.T) {
	p := newPool(poolConfig{target: proto.Target{Server: "a"}, driver: newDriver(), slots: 3, queue: 8, now: clock.Now}, 1)
	flow := fair.Flow{Customer: "c"}
	if held := p.acquire(context.Background(), flow, 1, time.Second); held.conn == nil {
		t.Fatal(held.reason)
	}
	waiting := make(chan grant, 1)
	go func() { waiting <- p.acquire(context.Background(), flow, 1, time.Minute) }()
	eventually(t, "a request waits in the queue", func() bool { waits, _ := p.load(); return waits == 2 })
	p.relinquish()
	if got := <-waiting; got.reason != fault.NoOwner {
		t.Fatalf("a waiting request was refused with %s, want no-owner", got.reason)
	}
	if got := p.acquire(context.Background(), flow, 1, time.Minute); got.reason != fault.NoOwner {
		t.Fatalf("a later request was refused with %s, want no-owner", got.reason)
	}
}

// TestRefusalDoesNotLockGroup: a pool that refuses a request must not lock its group's
// mutex. The holder of that mutex may be waiting for the pool to assign a transaction's
// connection, which would be a deadlock.
func TestRefusalDoesNotLockGroup(t *testing.T) {
	g := startGroup(t, newDriver(), &claimStore{})
	p := g.at("a").pool
	flow := fair.Flow{Customer: "c"}
	p.resize(20)
	var held *pooledConn
	for range p.limiter.Limit() {
		got := p.acquire(context.Background(), flow, 1, time.Second)
		if got.conn == nil {
			t.Fatal(got.reason)
		}
		held = got.conn
	}
	p.mu.Lock()
	p.limiter.ObserveServiceTime(time.Second)
	p.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := make(chan grant, 1)
	go func() { ended <- p.acquire(context.Background(), flow, 1, time.Millisecond) }()
	select {
	case got := <-ended:
		if got.reason != fault.QueueFull {
			t.Fatalf("the request was refused with %s, want queue-full", got.reason)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the refusal blocks on the group's mutex")
	}
	p.holdForTx(held)
}

// TestServerKeptWithoutEntryIsNotDraining guards against giving up the log of a primary too early: one whose entry
// has lapsed, and which is kept since it still answers, counted as one that had said that it leaves.
func TestServerKeptWithoutEntryIsNotDraining(t *testing.T) {
	g := startGroup(t, newDriver(), &claimStore{})
	eventually(t, "a answers", func() bool { return g.recentlyAnswered(g.at("a")) })
	limits := *g.defaults.Load()
	draining := func(c conf.Group) bool {
		g.Update(c, limits, Place{})
		if g.at("a") == nil {
			t.Fatal("a is not kept")
		}
		return (*g.draining.Load())["a"]
	}
	if draining(groupOf("b", "c")) {
		t.Error("a is draining although its last entry did not say so")
	}
	said := groupOf("a", "b", "c")
	said.Servers[0].Leaving = true
	if !draining(said) || !draining(groupOf("b", "c")) {
		t.Error("a is not draining although its last entry says so")
	}
	if draining(groupOf("a", "b", "c")) {
		t.Error("a is draining although its entry does not say so any more")
	}
}
