package owner

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/pkg/stmt"
)

// proofDriver connects to fake servers whose logs grow by one with each request that reaches the primary.
// A replica receives what the primary has unless it lags.
type proofDriver struct {
	*fakeDriver
	store *claimStore
	mu    sync.Mutex
	// states are what the servers report.
	states map[ident.ServerID]*group.Status
	lags   map[ident.ServerID]bool
	// hidden are the servers whose polls fail.
	hidden map[ident.ServerID]bool
	// onWrite is called when a request has reached the primary; it may be nil.
	onWrite func(*proofDriver)
	// polls counts the polls of each server since the last request, writes the requests.
	polls  map[ident.ServerID]int
	writes int
}

func newProofDriver() *proofDriver {
	d := &proofDriver{fakeDriver: newDriver(), store: &claimStore{}, states: map[ident.ServerID]*group.Status{}, lags: map[ident.ServerID]bool{}, hidden: map[ident.ServerID]bool{}, polls: map[ident.ServerID]int{}}
	for _, id := range []ident.ServerID{"a", "b", "c", "d"} {
		d.states[id] = &group.Status{Server: id, Term: 1, LogTerm: 1, Received: 1, Applied: 1}
	}
	d.states["a"].Role = group.Primary
	return d
}

// change changes the servers.
func (d *proofDriver) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *proofDriver) pollCounts() map[ident.ServerID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[ident.ServerID]int{}
	for id, n := range d.polls {
		counts[id] = n
	}
	return counts
}

func (d *proofDriver) writeCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes
}

func (d *proofDriver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	c, err := d.fakeDriver.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	return &proofConn{fakeConn: c.(*fakeConn), driver: d}, nil
}

type proofConn struct {
	*fakeConn
	driver *proofDriver
}

func (c *proofConn) Status(ctx context.Context) (group.Status, error) {
	if _, err := c.fakeConn.Status(ctx); err != nil {
		return group.Status{}, err
	}
	d := c.driver
	d.mu.Lock()
	defer d.mu.Unlock()
	d.polls[c.server]++
	if d.hidden[c.server] {
		return group.Status{}, &proto.RunError{Server: c.server}
	}
	return *d.states[c.server], nil
}

// Run answers a request. The status of a transaction is that which the request asks for in its messages.
func (c *proofConn) Run(_ context.Context, r *proto.Request, sink proto.Sink) (proto.Answer, error) {
	d := c.driver
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.server == "a" {
		d.writes++
		clear(d.polls)
		at := d.states["a"].Received + 1
		for id, s := range d.states {
			if !d.lags[id] {
				s.Received, s.Applied = at, at
			}
		}
		if d.onWrite != nil {
			d.onWrite(d)
		}
	}
	a := proto.Answer{TxStatus: 'I', HasStatus: true, Status: *d.states[c.server]}
	if len(r.Messages) == 1 {
		a.TxStatus = r.Messages[0]
	}
	return a, sink.Emit([]byte("answer"))
}

const proofWait = 300 * time.Millisecond

// proofRequests are requests at the primary whose success has to be proven, and the outcomes if it is not. A
// read that has no effect is tried again, so that any outcome of one that has not run is right.
var proofRequests = []struct {
	name     string
	work     Work
	inTx     bool
	unproven fault.Outcome
}{
	{"write", Work{Kind: stmt.Write}, false, fault.Unknown},
	{"commit", Work{Kind: stmt.Commit, Request: proto.Request{WritesNothing: true}}, true, fault.Unknown},
	{"pinned request", Work{Kind: stmt.Pin, Pin: true}, false, fault.Unknown},
	{"latest read", Work{Kind: stmt.Read, Request: proto.Request{NeverCommits: true, WritesNothing: true}}, false, fault.NoEffect},
}

func isOutcome(r Result, want fault.Outcome) bool {
	return r.Outcome == want || want == fault.NoEffect && r.Outcome.NotRun()
}

// runProven runs a request, in a transaction if it needs one, and returns the outcome and what its caller got.
func runProven(t *testing.T, g *Group, w Work, inTx bool, before func()) (Result, string) {
	t.Helper()
	w.Customer, w.Group, w.ReadConsistency = "c", "g", conf.LatestReads
	w.Limits = Limits{Run: 3 * proofWait, QueueWait: 3 * proofWait, AckWait: proofWait}
	run := func(w Work) (Result, string) {
		ctx, cancel := context.WithTimeout(context.Background(), w.Limits.Run)
		defer cancel()
		sink := &bufferSink{}
		r := g.Run(ctx, &w, sink)
		return r, string(sink.bytes)
	}
	if inTx {
		begin := w
		begin.Kind, begin.Request = stmt.Begin, proto.Request{TxOpening: proto.OpenReadWrite, NeverCommits: true, Messages: []byte("T")}
		r, _ := run(begin)
		if r.Outcome != fault.Done || r.Tx == 0 {
			t.Fatalf("BEGIN: %+v, want an open transaction", r)
		}
		w.Tx = r.Tx
	}
	before()
	r, answer := run(w)
	if r.Tx != 0 {
		g.End(r.Tx)
	}
	return r, answer
}

// claim records a claim that is to replace the primary of a term.
func (s *claimStore) claim(term ident.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := []group.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}}
	spec, err := json.Marshal(group.Record{Claim: 1, ReplacedTerm: term, Members: members, Candidates: members})
	if err != nil {
		panic(err)
	}
	s.object.Spec = spec
	s.object.Metadata.ResourceVersion = s.object.Version().Next().ResourceVersion()
}

// startProven starts a group whose lease is valid and whose members all count.
func startProven(t *testing.T, d *proofDriver, s *claimStore) *Group {
	t.Helper()
	g := startGroup(t, d, s)
	eventually(t, "the primary may get new work", func() bool { return g.hasUsablePrimary(g.tracker.current.Load()) })
	eventually(t, "a member proves the primary's position", func() bool {
		v := g.tracker.current.Load()
		return v.proves(v.servers[v.primary].status)
	})
	return g
}

// TestSuccessAtPrimaryNeedsMember: whatever else the primary's answer says, it is passed on only once a
// member is seen to hold the position.
func TestSuccessAtPrimaryNeedsMember(t *testing.T) {
	tests := []struct {
		name  string
		after func(*proofDriver)
		done  bool
	}{
		{"all members have it", nil, true},
		{"one member has it", func(d *proofDriver) { d.states["b"].Received-- }, true},
		{"no member has it", func(d *proofDriver) {
			d.states["b"].Received--
			d.states["c"].Received--
		}, false},
		{"members have it in another term of the log", func(d *proofDriver) { d.states["b"].LogTerm, d.states["c"].LogTerm = 0, 0 }, false},
		{"members have it and are sealed until a promotion ends their seals", func(d *proofDriver) {
			d.states["b"].Received--
			d.states["c"].Received--
			d.states["b"].Sealed, d.states["c"].Sealed = 2, 2
			d.store.claim(1)
			// The new primary c is out of reach, and b receives from the old one.
			time.AfterFunc(proofWait/2+group.PromotionTime, func() {
				d.change(func() {
					d.hidden["c"], d.states["b"].Sealed = true, 0
					d.states["b"].Received, d.states["b"].Applied = d.states["a"].Received, d.states["a"].Received
				})
			})
		}, false},
	}
	for _, test := range tests {
		for _, request := range proofRequests {
			t.Run(test.name+"/"+request.name, func(t *testing.T) {
				t.Parallel()
				d := newProofDriver()
				g := startProven(t, d, d.store)
				r, answer := runProven(t, g, request.work, request.inTx, func() { d.change(func() { d.onWrite = test.after }) })
				want := request.unproven
				if test.done {
					want = fault.Done
				}
				if !isOutcome(r, want) || (answer != "") != test.done {
					t.Errorf("%s (%s), answered %q; want %s", r.Outcome, r.Reason, answer, want)
				}
			})
		}
	}
}

// TestOnlyMembersProveSuccess: a server that is listed, follows the primary and has received all is no proof
// until the record has it as a member, or has the member's new incarnation.
func TestOnlyMembersProveSuccess(t *testing.T) {
	for _, member := range []bool{false, true} {
		for _, request := range proofRequests {
			t.Run(map[bool]string{false: "other server/", true: "member/"}[member]+request.name, func(t *testing.T) {
				t.Parallel()
				d, store := newProofDriver(), &memberStore{members: []group.Member{{Server: "a"}, {Server: "b"}, {Server: "c", Incarnation: 7}}}
				if member {
					store.members[2].Incarnation = 0
				}
				d.lags["b"] = true
				g := startGroup(t, d, store)
				eventually(t, "the primary may get new work", func() bool { return g.hasUsablePrimary(g.tracker.current.Load()) })
				r, answer := runProven(t, g, request.work, request.inTx, func() {})
				want := request.unproven
				if member {
					want = fault.Done
				}
				if !isOutcome(r, want) || (answer != "") != member {
					t.Errorf("%s (%s), answered %q; want %s", r.Outcome, r.Reason, answer, want)
				}
			})
		}
	}
}

// memberStore holds the record of a group with some members; all changes conflict.
type memberStore struct {
	plat.Store
	members []group.Member
}

func (s *memberStore) Get(_ context.Context, kind objs.Kind, name string) (objs.Object, error) {
	spec, err := json.Marshal(group.Record{Members: s.members})
	return objs.Object{Kind: kind, Metadata: objs.Metadata{Name: name, ResourceVersion: "1"}, Spec: spec}, err
}

func (*memberStore) Put(_ context.Context, o objs.Object) (objs.Object, error) {
	return o, &plat.Error{Cause: plat.Unreachable}
}

// TestNoNewWorkWithoutLease: once the lease has ended nothing reaches the primary, though it answers, and what
// is refused has not run. It gets work again once the record can be read.
func TestNoNewWorkWithoutLease(t *testing.T) {
	for _, request := range proofRequests {
		if request.inTx {
			continue
		}
		t.Run(request.name, func(t *testing.T) {
			t.Parallel()
			d, store := newProofDriver(), &claimStore{}
			g := startProven(t, d, store)
			store.setDown(true)
			d.change(func() { d.hidden["b"], d.hidden["c"] = true, true })
			eventually(t, "the lease ends", func() bool { return !g.tracker.current.Load().lease.Valid(clock.Now()) })
			before := d.writeCount()
			r, _ := runProven(t, g, request.work, false, func() {})
			if r.Outcome != fault.NotSent || r.Reason != fault.NoPrimary || d.writeCount() != before {
				t.Errorf("without a lease: %s (%s), %d requests at the primary; want not-sent no-primary and none", r.Outcome, r.Reason, d.writeCount()-before)
			}
			store.setDown(false)
			eventually(t, "the primary may get new work", func() bool { return g.hasUsablePrimary(g.tracker.current.Load()) })
			d.change(func() { d.hidden["b"], d.hidden["c"] = false, false })
			eventually(t, "it is answered", func() bool {
				r, _ := runProven(t, g, request.work, false, func() {})
				return r.Outcome == fault.Done
			})
		})
	}
}

// TestOneReplicaIsPolledForProof: while one replica answers with the position, a write has no other polled.
func TestOneReplicaIsPolledForProof(t *testing.T) {
	d := newProofDriver()
	g := startProven(t, d, &claimStore{})
	limits := *g.defaults.Load()
	limits.Poll, limits.Silence, limits.PathSilence = 10*time.Second, 30*time.Second, 40*time.Second
	g.Update(groupOf("a", "b", "c"), limits, Place{})
	for try := range 5 {
		// The lease has to be valid without regular polls.
		g.pollNow()
		eventually(t, "the primary may get new work", func() bool { return g.hasUsablePrimary(g.tracker.current.Load()) })
		time.Sleep(50 * time.Millisecond)
		r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
		counts := d.pollCounts()
		if r.Outcome != fault.Done || counts["a"] > 0 || counts["b"]+counts["c"] == 0 || counts["b"] > 0 && counts["c"] > 0 {
			t.Errorf("write %d: %s (%s), polls %v; want done after polls of one replica", try, r.Outcome, r.Reason, counts)
		}
	}
}

// TestRecordReadThroughPeerKeepsLease guards against writes that end when the store refuses this instance, and one
// member is out of reach, although a peer can read the record.
func TestRecordReadThroughPeerKeepsLease(t *testing.T) {
	for _, throughPeer := range []bool{true, false} {
		t.Run(map[bool]string{true: "a peer reads it", false: "no peer reads it"}[throughPeer], func(t *testing.T) {
			t.Parallel()
			d, store := newProofDriver(), &claimStore{}
			c := testGroupConfig(d, store)
			c.LinkedPeers = func() []ident.InstanceID { return []ident.InstanceID{"peer"} }
			c.ReadRecord = func(ctx context.Context, _ ident.InstanceID, id ident.GroupID, _ time.Duration) (group.RecordCopy, bool) {
				asked := clock.Now()
				kept, err := readRecord(ctx, &claimStore{}, c.Epochs, id)
				return group.RecordCopy{Record: kept.Record, Version: kept.version, Asked: asked}, err == nil && throughPeer
			}
			c.Epochs = plat.NewEpochs()
			g := startGroupWith(t, c)
			eventually(t, "the primary may get new work", func() bool { return g.hasUsablePrimary(g.tracker.current.Load()) })
			store.setDown(true)
			d.change(func() { d.hidden["c"] = true })
			time.Sleep(group.RecordLifetime + recordTimeout)
			r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
			if (r.Outcome == fault.Done) != throughPeer {
				t.Errorf("write: %s (%s); want done %t", r.Outcome, r.Reason, throughPeer)
			}
		})
	}
}

// TestMissingRecordIsNoRestore guards against seconds without acknowledgements at an instance that read the
// record before there was one: the first record seemed to come from another epoch, which may have lost claims.
func TestMissingRecordIsNoRestore(t *testing.T) {
	d, store := newProofDriver(), &lateStore{}
	for _, s := range d.states {
		s.Term, s.LogTerm = 2, 2
	}
	d.hidden["c"] = true
	c := testGroupConfig(d, store)
	c.Epochs = plat.NewEpochs()
	c.Epochs.Observe(1, time.Minute)
	g := startGroupWith(t, c)
	eventually(t, "the record is known to be missing", func() bool { return store.reads.Load() > 1 })
	store.exists.Store(true)
	began := time.Now()
	eventually(t, "a member proves the primary's position", func() bool {
		v := g.tracker.current.Load()
		return v.proves(v.servers[v.primary].status)
	})
	if took := time.Since(began); took > 2*maxRecordInterval {
		t.Errorf("no proof for %v after the record could be read, want at most %v", took, 2*maxRecordInterval)
	}
}

// lateStore holds the record of a group after a promotion once it exists; all changes fail.
type lateStore struct {
	memberStore
	reads  atomic.Int64
	exists atomic.Bool
}

func (s *lateStore) Get(_ context.Context, kind objs.Kind, name string) (objs.Object, error) {
	s.reads.Add(1)
	if !s.exists.Load() {
		return objs.Object{}, &plat.Error{Cause: plat.NotFound, Epoch: 1}
	}
	members := []group.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}}
	spec, err := json.Marshal(group.Record{Claim: 1, ReplacedTerm: 1, Members: members, Candidates: members})
	return objs.Object{Kind: kind, Metadata: objs.Metadata{Name: name, ResourceVersion: ident.NewVersion(1, 9).ResourceVersion()}, Spec: spec}, err
}
