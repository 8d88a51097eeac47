package quota

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// testCenter is a data centre of instances that reach each other without delay, with a table
// of shares that is writable unless closed is set.
type testCenter struct {
	t         *testing.T
	mu        sync.Mutex
	all       map[ident.InstanceID]*Quota
	ranking   []ident.InstanceID
	allocator *share.Allocator
	table     share.Table
	closed    bool
	// loseGrants is set while writes of the table succeed and their grants get lost.
	loseGrants bool
	// losses is how many times the grants of a write get lost.
	losses int
	// lostReleases counts the submissions with releases that failed.
	lostReleases int
	// submitters counts the requests of each instance.
	submitters map[ident.InstanceID]int
	// silent are instances that do not respond.
	silent map[ident.InstanceID]bool
	epochs *plat.Epochs
	// remote are the holders in another data centre, linked the instances that are linked beside the table writers.
	remote []RemoteHolder
	linked []ident.InstanceID
	// lease is the holders' lease, 0 for the default; the table's writer counts a minute.
	lease time.Duration
	store plat.Store
}

func newTestCenter(t *testing.T) *testCenter {
	return &testCenter{
		store: unreachableStore{}, t: t, all: map[ident.InstanceID]*Quota{}, allocator: share.NewAllocator(), submitters: map[ident.InstanceID]int{}, silent: map[ident.InstanceID]bool{}, epochs: plat.NewEpochs(),
	}
}

// rank sets the order of preference of the holders of all shards.
func (c *testCenter) rank(ids ...ident.InstanceID) {
	c.mu.Lock()
	c.ranking = ids
	all := c.all
	c.mu.Unlock()
	for _, q := range all {
		q.CheckShards()
	}
}

func (c *testCenter) holders(share.Shard) []ident.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranking
}

// unreachableStore is a platform that does not respond.
type unreachableStore struct{ plat.Store }

func (unreachableStore) Get(context.Context, objs.Kind, string) (objs.Object, error) {
	return objs.Object{}, &plat.Error{Cause: plat.Unreachable}
}

// contendedStore is a platform on which every write loses against another one.
type contendedStore struct{ plat.Store }

func (contendedStore) Get(context.Context, objs.Kind, string) (objs.Object, error) {
	return objs.Object{}, &plat.Error{Cause: plat.NotFound}
}

func (contendedStore) Put(context.Context, objs.Object) (objs.Object, error) {
	return objs.Object{}, &plat.Error{Cause: plat.Conflict}
}

type closedError struct{}

func (closedError) Error() string { return "closed" }

func (c *testCenter) submit(_ context.Context, writer ident.InstanceID, requests []share.Request) ([]share.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && !slices.Contains(c.linked, writer) {
		if slices.ContainsFunc(requests, func(r share.Request) bool { return r.Release }) {
			c.lostReleases++
		}
		return nil, closedError{}
	}
	params := share.LeaseParams{Lease: time.Minute, Grace: time.Hour, Drift: clockDrift}
	epoch, since, _ := c.epochs.Current()
	c.allocator.SetEpoch(epoch, since, c.epochs.Restored())
	for _, r := range requests {
		c.submitters[r.Instance]++
	}
	next, grants := c.allocator.Renew(time.Now(), c.table, params, requests)
	c.table = next
	if c.loseGrants || c.losses > 0 {
		c.losses--
		return nil, closedError{}
	}
	return grants, nil
}

// set changes the faults of the table.
func (c *testCenter) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// met reports whether a condition on the table holds.
func (c *testCenter) met(condition func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return condition()
}

// part returns the part of a shard that the table lists for an instance.
func (c *testCenter) part(id ident.InstanceID, s share.Shard) share.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Centers["a"][s][id].Part
}

func (c *testCenter) request(ctx context.Context, id ident.InstanceID, w TokenRequest) (TokenResponse, error) {
	c.mu.Lock()
	q, silent := c.all[id], c.silent[id]
	c.mu.Unlock()
	if q == nil || silent {
		<-ctx.Done()
		return TokenResponse{}, ctx.Err()
	}
	return q.Lend(ctx, w), nil
}

func (c *testCenter) connected(id ident.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id == "clerk" || c.all[id] != nil && !c.silent[id]
}

// start adds an instance; unless configured is set, it has no configuration and knows no customer.
func (c *testCenter) start(id ident.InstanceID, configured bool, rate float64) *Quota {
	config := conf.New()
	config.Centers["a"] = conf.Center{Part: 1}
	config.Defaults.ShareLease = cmp.Or(c.lease, config.Defaults.ShareLease)
	version := ident.Version{}
	if configured {
		version = ident.VersionOf(1)
		for _, customer := range append(customersOfShards(), "house") {
			config.Customers[customer] = conf.Customer{Rate: rate, Burst: rate, Weight: 1}
		}
	}
	snapshot := conf.NewSnapshot(config, version)
	q := New(Config{
		Self: id, Center: "a", Store: c.store, Epochs: c.epochs, Journal: jrnl.New(jrnl.Config{Instance: id, Capacity: 64, Now: time.Now}),
		Request: c.request, TableWriters: func() []ident.InstanceID { return []ident.InstanceID{"clerk"} }, Submit: c.submit,
		Connected: c.connected, Linked: func() []ident.InstanceID { return slices.Clone(c.linked) },
		HandOver: func(ctx context.Context, to ident.InstanceID, e Handover) error { return c.all[to].TakeOver(ctx, e) },
		Holders:  c.holders, RemoteHolders: func(share.Shard) []RemoteHolder { return c.remote }, MemberCount: func() int { return 1 },
		Snapshot: func() *conf.Snapshot { return snapshot }, Random: rand.New(rand.NewPCG(1, 1)),
	})
	c.mu.Lock()
	c.all[id] = q
	c.mu.Unlock()
	c.t.Cleanup(func() { q.Stop(context.Background()) })
	return q
}

// customersOfShards returns one customer of each shard.
func customersOfShards() []ident.CustomerID {
	all := make([]ident.CustomerID, share.Shards)
	for number, found := 0, 0; found < share.Shards; number++ {
		customer := ident.CustomerID(fmt.Sprintf("house-%d", number))
		if shard := share.ShardOf(customer); all[shard] == "" {
			all[shard] = customer
			found++
		}
	}
	return all
}

// await waits until a condition is met.
func (c *testCenter) await(what string, met func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within 5 s: %s", what)
		}
	}
}

const callerWait = 60 * time.Millisecond

func take(t *testing.T, q *Quota) fault.Reason {
	t.Helper()
	_, reason, _ := q.Take(context.Background(), "house", callerWait)
	return reason
}

// took reports whether a token was to be had without waiting.
func took(q *Quota) bool {
	_, ok := q.TryTake("house")
	return ok
}

// TestUnconfiguredHolderDoesNotCauseRefusal requests tokens from a holder that has just started
// and knows no customer yet: its response must not make requests exceed their rate.
func TestUnconfiguredHolderDoesNotCauseRefusal(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"new", "old"}
	c.start("new", false, 100)
	q := c.start("old", true, 100)
	if reason := take(t, q); reason == fault.RateExceeded {
		t.Errorf("refused with %v although no holder knows the customer", reason)
	}
	c.rank("old")
	c.await("all shards are held", func() bool { return q.Held() == share.Shards })
	if reason := take(t, q); reason != fault.None {
		t.Errorf("refused with %v, want a token", reason)
	}
}

// TestRestoreKeepsTheHolder returns the table to a state in which another instance held the shards:
// the holder must go on, the other one gets nothing, and a handover still moves the shards.
func TestRestoreKeepsTheHolder(t *testing.T) {
	c := newTestCenter(t)
	c.epochs.Observe(1, time.Minute)
	c.ranking = []ident.InstanceID{"b", "a"}
	first, second := c.start("a", true, 100), c.start("b", true, 100)
	c.await("b holds all shards", func() bool { return second.Held() == share.Shards })
	c.mu.Lock()
	older := c.table
	c.mu.Unlock()
	c.rank("a", "b")
	c.await("a holds all shards", func() bool { return first.Held() == share.Shards && second.Held() == 0 })
	c.mu.Lock()
	c.table = older
	c.mu.Unlock()
	c.epochs.Observe(2, 0)
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(5 * time.Millisecond) {
		first.CheckShards()
		second.CheckShards()
		if first.Held() != share.Shards || second.Held() != 0 {
			t.Fatalf("after the restore a holds %d shards and b %d, want all and none", first.Held(), second.Held())
		}
	}
	c.rank("b", "a")
	c.await("b holds all shards again", func() bool { return second.Held() == share.Shards && first.Held() == 0 })
}

// TestFailedReleaseIsSentAgain hands all shards over while no write of the table succeeds: once
// writes succeed again, the next holder gets the shards before the lease of the first one ends.
func TestFailedReleaseIsSentAgain(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a", "b"}
	first, second := c.start("a", true, 100), c.start("b", true, 100)
	c.await("a holds all shards", func() bool { return first.Held() == share.Shards })
	c.set(func() { c.closed = true })
	c.rank("b", "a")
	c.await("the handover and a's own release have failed", func() bool { return c.met(func() bool { return c.lostReleases >= 2 }) })
	c.set(func() { c.closed = false })
	c.await("b holds all shards", func() bool { return second.Held() == share.Shards })
}

// TestLostGrantIsReleased changes the holder after the grants of the earlier one got lost: that
// one holds nothing, so the next one must get the shards before its lease ends.
func TestLostGrantIsReleased(t *testing.T) {
	c := newTestCenter(t)
	c.ranking, c.loseGrants = []ident.InstanceID{"a", "b"}, true
	c.start("a", true, 100)
	c.await("the table lists a for all shards", func() bool {
		for shard := range share.Shard(share.Shards) {
			if c.part("a", shard) != share.Whole {
				return false
			}
		}
		return true
	})
	c.rank("b", "a")
	c.set(func() { c.loseGrants = false })
	second := c.start("b", true, 100)
	c.await("b holds all shards", func() bool { return second.Held() == share.Shards })
}

// TestRestartedInstanceReleasesEarlierLeases kills the holder of all shards and starts it again
// when another one is to hold them: that one, asked for tokens of each, must get them before the
// leases of the killed process end.
func TestRestartedInstanceReleasesEarlierLeases(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a", "b"}
	killed := c.start("a", true, 100)
	c.await("a holds all shards", func() bool { return killed.Held() == share.Shards })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	killed.Stop(ended)
	c.rank("b", "a")
	second := c.start("b", true, 100)
	c.start("a", true, 100)
	for _, customer := range customersOfShards() {
		go func() { _, _, _ = second.Take(context.Background(), customer, callerWait) }()
	}
	c.await("b holds all shards", func() bool { return second.Held() == share.Shards })
}

// TestBlockingInstanceReleasesEarlierLeases guards against a holder that waits for the end of a lease whose instance
// has been restarted and knows nothing of it, after a restart of the whole data centre.
func TestBlockingInstanceReleasesEarlierLeases(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a"}
	killed := c.start("a", true, 100)
	c.await("a holds all shards", func() bool { return killed.Held() == share.Shards })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	killed.Stop(ended)
	c.rank("b", "c", "a")
	c.start("a", true, 100)
	first := c.start("b", true, 100)
	c.await("b holds all shards", func() bool { return first.Held() == share.Shards })
}

// TestIdleInstanceSendsNoRequests starts an instance that is second in rank for all shards: it
// must send the writer of the table nothing as long as nobody asks it for tokens.
func TestIdleInstanceSendsNoRequests(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"b", "a"}
	first := c.start("b", true, 100)
	c.await("b holds all shards", func() bool { return first.Held() == share.Shards })
	c.start("a", true, 100)
	time.Sleep(recheckInterval + recheckInterval/2)
	if c.met(func() bool { return c.submitters["a"] > 0 }) {
		t.Error("an instance that nobody asked for tokens sent requests to the writer")
	}
}

// TestUnresponsiveHolderIsSkipped checks that the next in rank is asked for tokens if the
// holder does not respond.
func TestUnresponsiveHolderIsSkipped(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"b"}
	first := c.start("b", true, 100)
	c.await("all shards are held", func() bool { return first.Held() == share.Shards })
	c.rank("dead", "b", "c")
	second := c.start("c", true, 100)
	if reason := take(t, second); reason != fault.None {
		t.Errorf("refused with %v although the next in rank holds the rate", reason)
	}
}

// TestHandoverRefusesNoRequest changes the holder under load: all requests within the rate must
// be admitted.
func TestHandoverRefusesNoRequest(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a", "b"}
	a, b := c.start("a", true, 200), c.start("b", true, 200)
	c.await("all shards are held", func() bool { return a.Held() == share.Shards })
	time.Sleep(loanTTL)
	for at := range 60 {
		if at == 20 {
			c.rank("b", "a")
		}
		q := []*Quota{a, b}[at%2]
		if !took(q) {
			if reason := take(t, q); reason != fault.None {
				t.Errorf("request %d refused with %v", at, reason)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if a.Held() != 0 || b.Held() != share.Shards {
		t.Errorf("a holds %d shards and b %d, want none and all", a.Held(), b.Held())
	}
}

// TestRefusesAtOnceWithoutTokenInTime checks that a request is refused without waiting if it
// cannot get a token in time.
func TestRefusesAtOnceWithoutTokenInTime(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a"}
	q := c.start("a", true, 2)
	c.await("all shards are held", func() bool { return q.Held() == share.Shards })
	time.Sleep(loanTTL)
	for took(q) {
	}
	_ = take(t, q)
	started := time.Now()
	_, reason, retryAfter := q.Take(context.Background(), "house", callerWait)
	if reason != fault.RateExceeded || time.Since(started) > callerWait/2 || retryAfter < 100*time.Millisecond {
		t.Errorf("got %v after %v, retry after %v; want rate-exceeded at once and a retry after at least 100 ms", reason, time.Since(started), retryAfter)
	}
}

// TestInvalidAmountsFromPeersAreIgnored sends requests and handovers with amounts that are no
// valid numbers of tokens.
func TestInvalidAmountsFromPeersAreIgnored(t *testing.T) {
	for _, invalid := range []share.Tokens{share.Tokens(math.NaN()), share.Tokens(math.Inf(1)), share.Tokens(math.Inf(-1)), -1} {
		c := newTestCenter(t)
		c.ranking = []ident.InstanceID{"a"}
		q := c.start("a", true, 5)
		c.await("all shards are held", func() bool { return q.Held() == share.Shards })
		if lent := q.Lend(context.Background(), TokenRequest{Customer: "house", Amount: invalid}); lent.Amount != 0 {
			t.Errorf("request for %v tokens: lent %v", invalid, lent.Amount)
		}
		state := share.BucketState{Tokens: invalid, Lent: invalid}
		if err := q.TakeOver(context.Background(), Handover{BucketState: map[ident.CustomerID]share.BucketState{"house": state}}); err != nil {
			t.Fatal(err)
		}
		spent := 0
		for took(q) {
			spent++
		}
		if spent > 5 {
			t.Errorf("handover of %v tokens: spent %d at once with a burst of 5", invalid, spent)
		}
	}
}

// TestRateUnavailableWithoutHolder checks that a request is refused because the rate is
// unavailable, and not because it is exceeded, while no instance is granted a part of it.
func TestRateUnavailableWithoutHolder(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a"}
	c.set(func() { c.closed = true })
	q := c.start("a", true, 100)
	if reason := take(t, q); reason != fault.RateUnavailable {
		t.Errorf("refused with %v, want rate-unavailable", reason)
	}
	c.set(func() { c.closed = false })
	q.CheckShards()
	c.await("all shards are held", func() bool { return q.Held() == share.Shards })
	if reason := take(t, q); reason != fault.None {
		t.Errorf("refused with %v, want a token", reason)
	}
}

// TestRequestAfterStopDoesNotPanic charges a request and responds to a peer after the quota has
// stopped, as happens if a session outlives the drain.
func TestRequestAfterStopDoesNotPanic(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a"}
	q := c.start("a", true, 100)
	c.await("all shards are held", func() bool { return q.Held() == share.Shards })
	q.Stop(context.Background())
	if reason := take(t, q); reason == fault.None {
		t.Error("a token was spent from a released part")
	}
	if lent := q.Lend(context.Background(), TokenRequest{Customer: "house", Amount: 1, SameCenter: true, Wait: callerWait}); lent.Amount != 0 {
		t.Errorf("lent %v tokens from a released part", lent.Amount)
	}
}

// TestRateFollowsEveryVersion guards against a changed rate that isn't applied since the low 32 bits of the configuration's version
// are those of the version before.
func TestRateFollowsEveryVersion(t *testing.T) {
	configured := func(number uint64, rate float64) *conf.Snapshot {
		config := conf.New()
		config.Centers["a"] = conf.Center{Part: 1}
		config.Customers["house"] = conf.Customer{Rate: rate, Burst: rate, Weight: 1}
		return conf.NewSnapshot(config, ident.NewVersion(1, ident.Revision(number)))
	}
	snapshot := configured(7, 50)
	q := &Quota{conf: Config{Center: "a", Static: true, Snapshot: func() *conf.Snapshot { return snapshot }}}
	now := clock.Now()
	q.parts[share.ShardOf("house")].Store(&share.Holding{Part: share.Whole, LeaseEnd: now.Add(time.Hour), GraceEnd: now.Add(time.Hour)})
	a := q.account("house")
	for _, next := range []struct {
		number uint64
		rate   float64
	}{{7, 50}, {7 + 1<<32, 5}, {7 + 1<<40, 500}, {7 + 1<<63, 20}} {
		snapshot = configured(next.number, next.rate)
		q.resize(a, now, "house")
		// The burst, which is as large as the rate, is full after a minute.
		now = now.Add(time.Minute)
		if got := a.bucket.Own(now); float64(got) != next.rate {
			t.Errorf("version %d: a burst of %v, want %v", next.number, got, next.rate)
		}
	}
}
