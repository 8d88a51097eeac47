package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumseam.dev/internal/certs"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/lproxy"
)

// testInstance is a Hub with a Handler that echoes requests.
type testInstance struct {
	hub        *Hub
	address    string
	mu         sync.Mutex
	addresses  map[ident.InstanceID]string
	heartbeats map[ident.InstanceID]int
	// transits are those of the heartbeats received.
	transits   []time.Duration
	rolledBack []owner.TxID
	// wants is whether links are kept; lost and retired count the links that ended.
	wants         atomic.Bool
	lost, retired atomic.Int32
	// work replaces the echo if set.
	work func(ctx context.Context, w *owner.Work, sink proto.Sink) owner.Result
	// onRetired is called when a link is closed by agreement, if set.
	onRetired func()
	// query replaces the answer to requests for tokens if set.
	query func(m Message) Message
}

func (n *testInstance) Work(ctx context.Context, _ ident.InstanceID, w *owner.Work, sink proto.Sink) owner.Result {
	if n.work != nil {
		return n.work(ctx, w, sink)
	}
	for range 3 {
		if err := sink.Emit(w.Request.Messages); err != nil {
			return owner.Result{Outcome: fault.Unknown, Reason: fault.PeerLost}
		}
	}
	return owner.Result{Tx: w.Tx + 1}
}

func (n *testInstance) HandleNotification(from ident.InstanceID, m Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch m := m.(type) {
	case Heartbeat:
		n.heartbeats[from]++
		n.transits = append(n.transits, m.Transit)
	case TxRollback:
		n.rolledBack = append(n.rolledBack, m.Tx)
	}
}

func (n *testInstance) HandleQuery(_ context.Context, _ ident.InstanceID, m Message) Message {
	if n.query != nil {
		return n.query(m)
	}
	if request, ok := m.(TokensRequest); ok {
		return TokensResponse{TokenResponse: quota.TokenResponse{Amount: request.TokenRequest.Amount}}
	}
	return nil
}

func (n *testInstance) Heartbeat(ident.InstanceID) Heartbeat {
	return Heartbeat{Version: ident.VersionOf(1)}
}

func (n *testInstance) HeartbeatFactor(ident.InstanceID) time.Duration { return 1 }

func (n *testInstance) Disconnected(ident.InstanceID) { n.lost.Add(1) }

func (n *testInstance) WantsLink(ident.InstanceID) bool { return n.wants.Load() }

func (n *testInstance) Retired(ident.InstanceID) {
	n.retired.Add(1)
	if n.onRetired != nil {
		n.onRetired()
	}
}

func (n *testInstance) AddressOf(id ident.InstanceID) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := n.addresses[id]
	return address, ok
}

func (n *testInstance) count(id ident.InstanceID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heartbeats[id]
}

func newTestInstance(t *testing.T, id ident.InstanceID, change func(*Config)) *testInstance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &testInstance{address: l.Addr().String(), addresses: map[ident.InstanceID]string{}, heartbeats: map[ident.InstanceID]int{}}
	c := Config{
		Self: id, Center: "here", Secret: "secret", Dialer: &net.Dialer{}, Heartbeat: 20 * time.Millisecond, Timeout: time.Second,
		Handler: n, Journal: jrnl.New(jrnl.Config{Instance: id, Capacity: 100, Now: time.Now}),
	}
	if change != nil {
		change(&c)
	}
	n.hub = NewHub(c, l)
	n.hub.Serve()
	t.Cleanup(n.hub.Close)
	return n
}

func shareAddresses(instances map[ident.InstanceID]*testInstance) {
	for _, n := range instances {
		for id, other := range instances {
			n.addresses[id] = other.address
		}
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestHeartbeatOnASlowPathIsAsOldAsThePath guards against an age that is told again and again and
// doesn't grow on the way (CONFIG): instances then took an old configuration for confirmed.
func TestHeartbeatOnASlowPathIsAsOldAsThePath(t *testing.T) {
	const delay = 150 * time.Millisecond
	a, b := newTestInstance(t, "a", nil), newTestInstance(t, "b", nil)
	path, err := lproxy.New(b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	path.Delay(delay)
	a.addresses["b"] = path.Addr()
	if err := a.hub.Connect(testContext(t), "b"); err != nil {
		t.Fatal(err)
	}
	for _, n := range []*testInstance{a, b} {
		known := func() (transits []time.Duration) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, transit := range n.transits {
				if transit != UnknownTransit {
					transits = append(transits, transit)
				}
			}
			return transits
		}
		waitFor(t, func() bool { return len(known()) > 5 })
		if shortest := slices.Min(known()); shortest < delay {
			t.Errorf("a heartbeat was %v on its way, want at least %v", shortest, delay)
		}
	}
}

// TestRunAndQuery forwards a large request and sends a query, over mutual TLS.
func TestRunAndQuery(t *testing.T) {
	pair, pool, err := certs.Ephemeral()
	if err != nil {
		t.Fatal(err)
	}
	secure := func(c *Config) { c.Server, c.Client = certs.Mutual(pair, pool) }
	a, b := newTestInstance(t, "a", secure), newTestInstance(t, "b", secure)
	shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "b": b})
	sink := &countingSink{}
	w := &owner.Work{Tx: 6, Request: proto.Request{Messages: make([]byte, 100_000)}}
	if r := a.hub.Run(testContext(t), "b", w, sink); r.Outcome != fault.Done || r.Tx != 7 || sink.size != 300_000 {
		t.Fatalf("got %+v and %d bytes, want outcome done, transaction 7 and 300000 bytes", r, sink.size)
	}
	m, err := b.hub.Query(testContext(t), "a", TokensRequest{TokenRequest: quota.TokenRequest{Customer: "x", Amount: 2}})
	if response, ok := m.(TokensResponse); err != nil || !ok || response.TokenResponse.Amount != 2 {
		t.Fatalf("got %+v, %v", m, err)
	}
}

type countingSink struct{ size int }

func (g *countingSink) Emit(b []byte) error {
	g.size += len(b)
	return nil
}

// TestCloseEndsAllLinks lets two hubs dial each other at once, which gives two links, and
// closes one hub: no heartbeats may arrive from it afterwards over either link.
func TestCloseEndsAllLinks(t *testing.T) {
	for range 5 {
		a, b := newTestInstance(t, "a", nil), newTestInstance(t, "b", nil)
		shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "b": b})
		var wait sync.WaitGroup
		for id, n := range map[ident.InstanceID]*testInstance{"b": a, "a": b} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				_ = n.hub.Connect(testContext(t), id)
			}()
		}
		wait.Wait()
		waitFor(t, func() bool { return a.count("b") > 0 && b.count("a") > 0 })
		a.hub.Close()
		waitFor(t, func() bool {
			b.hub.mu.Lock()
			defer b.hub.mu.Unlock()
			return len(b.hub.allLinks) == 0
		})
		before := b.count("a")
		time.Sleep(100 * time.Millisecond)
		if after := b.count("a"); after > before {
			t.Fatalf("%d heartbeats from a closed hub", after-before)
		}
	}
}

func TestWrongSecretIsRejected(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	stranger := newTestInstance(t, "s", func(c *Config) { c.Secret = "other" })
	shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "s": stranger})
	var failed *Error
	if err := stranger.hub.Connect(testContext(t), "a"); !errors.As(err, &failed) && stranger.hub.Connected("a") {
		t.Fatalf("a link with a wrong secret was accepted: %v", err)
	}
	r := stranger.hub.Run(testContext(t), "a", &owner.Work{}, &countingSink{})
	if r.Outcome != fault.NotSent || r.Reason != fault.PeerLost {
		t.Fatalf("forwarding without a link: got %+v, want outcome not-run, reason peer-lost", r)
	}
}

// TestUnknownKindsAndFieldsAreIgnored decodes a kind and a field that this release does not
// know: both are ignored.
func TestUnknownKindsAndFieldsAreIgnored(t *testing.T) {
	if m, err := decode(200, []byte{0xa0}); m != nil || err != nil {
		t.Errorf("an unknown kind: got %v, %v; want no message and no error", m, err)
	}
	body, err := encMode.Marshal(map[int]any{1: uint64(7), 99: "later"})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(kindHeartbeat, body)
	if beat, ok := m.(Heartbeat); err != nil || !ok || beat.Version != ident.VersionOf(7) {
		t.Errorf("an unknown field: got %+v, %v; want a heartbeat with version 7", m, err)
	}
}

// FuzzDecode decodes arbitrary bodies as messages of every kind; none may panic.
func FuzzDecode(f *testing.F) {
	f.Add(uint8(1), []byte{0xa0})
	f.Add(uint8(4), []byte{0xbf, 0x01})
	f.Add(uint8(7), []byte{0xa1, 0x03, 0xa1, 0x61, 0x61, 0x41, 0x00})
	f.Fuzz(func(_ *testing.T, k uint8, body []byte) {
		_, _ = decode(kind(k), body)
	})
}

// TestStoppedRequestReportsOutcome cancels requests that run at a peer. A request that was
// still in the peer's queue is reported as not run, one whose outcome the peer does not report
// in time as unknown, and a transaction opened after the cancellation is rolled back. What ran
// outside that transaction is unknown.
func TestStoppedRequestReportsOutcome(t *testing.T) {
	queued := func(ctx context.Context, _ *owner.Work, _ proto.Sink) owner.Result {
		<-ctx.Done()
		return owner.Result{Outcome: fault.NotSent, Reason: fault.QueueLate}
	}
	unresponsive := func(ctx context.Context, _ *owner.Work, _ proto.Sink) owner.Result {
		<-ctx.Done()
		time.Sleep(2 * outcomeTimeout)
		return owner.Result{}
	}
	opened := func(ctx context.Context, _ *owner.Work, _ proto.Sink) owner.Result {
		<-ctx.Done()
		return owner.Result{Tx: 7, TxStatus: 'T'}
	}
	committed := func(ctx context.Context, _ *owner.Work, _ proto.Sink) owner.Result {
		<-ctx.Done()
		return owner.Result{Tx: 7, TxStatus: 'I'}
	}
	neverCommits := proto.Request{NeverCommits: true}
	for _, c := range []struct {
		name    string
		request proto.Request
		work    func(context.Context, *owner.Work, proto.Sink) owner.Result
		outcome fault.Outcome
		reason  fault.Reason
	}{
		{"queued", neverCommits, queued, fault.NotSent, fault.QueueLate},
		{"mute", neverCommits, unresponsive, fault.Unknown, fault.DeadlinePassed},
		{"opened", neverCommits, opened, fault.RolledBack, fault.DeadlinePassed},
		{"opened after a commit", proto.Request{}, opened, fault.Unknown, fault.DeadlinePassed},
		{"committed on a pinned connection", neverCommits, committed, fault.Unknown, fault.DeadlinePassed},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newTestInstance(t, "a", nil), newTestInstance(t, "b", nil)
			shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "b": b})
			b.work = c.work
			if err := a.hub.Connect(testContext(t), "b"); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
			defer cancel()
			r := a.hub.Run(ctx, "b", &owner.Work{Request: c.request}, &countingSink{})
			if r.Outcome != c.outcome || r.Reason != c.reason || r.Tx != 0 {
				t.Errorf("outcome %s, reason %s, transaction %d", r.Outcome, r.Reason, r.Tx)
			}
			if c.name != "queued" && c.name != "mute" {
				waitFor(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.rolledBack) == 1 && b.rolledBack[0] == 7 })
			}
		})
	}
}

// TestLinkLeadsToTheInstanceItIsFor guards against requests that reach another instance, which has taken over the address, or
// come back to their sender.
func TestLinkLeadsToTheInstanceItIsFor(t *testing.T) {
	a, c := newTestInstance(t, "a", nil), newTestInstance(t, "c", nil)
	namesake := newTestInstance(t, "a", nil)
	a.addresses["b"], a.addresses["a"], namesake.addresses["c"] = c.address, a.address, c.address
	c.work = func(context.Context, *owner.Work, proto.Sink) owner.Result {
		t.Error("a request for another instance has run")
		return owner.Result{}
	}
	a.work = c.work
	for _, id := range []ident.InstanceID{"a", "b"} {
		if r := a.hub.Run(t.Context(), id, &owner.Work{}, &countingSink{}); r.Outcome != fault.NotSent {
			t.Errorf("a request to %s: %s, want not sent", id, r.Outcome)
		}
	}
	if a.hub.Connected("a") {
		t.Error("an instance has a link to itself")
	}
}

// TestSecretIsNotSentElsewhere guards against a link, and the secret with it, that goes where what answers at an instance's
// address points to.
func TestSecretIsNotSentElsewhere(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	var asked atomic.Int64
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	defer elsewhere.Close()
	server := httptest.NewServer(http.RedirectHandler(elsewhere.URL+linkPath, http.StatusTemporaryRedirect))
	defer server.Close()
	a.addresses["b"] = strings.TrimPrefix(server.URL, "http://")
	if r := a.hub.Run(testContext(t), "b", &owner.Work{}, &countingSink{}); r.Outcome != fault.NotSent {
		t.Errorf("a request over no link: %s, want not sent", r.Outcome)
	}
	if asked.Load() > 0 {
		t.Error("the instance called where the answer pointed to")
	}
}
