package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// TokenRequest is a request to another instance for tokens of a customer's rate.
type TokenRequest struct {
	Customer ident.CustomerID `cbor:"1,keyasint"`
	Amount   share.Tokens     `cbor:"2,keyasint"`
	// SameCenter is set between instances of one data centre: a holder that has no tokens
	// then requests some from the other data centres.
	SameCenter bool `cbor:"3,keyasint,omitempty"`
	// Wait is how much longer the requests that need the tokens wait.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// Release asks an instance of this data centre, which the table may list for the customer's shard because
	// of an earlier run, to release it; no tokens are requested.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// TokenResponse is the response to a TokenRequest.
type TokenResponse struct {
	Amount share.Tokens `cbor:"1,keyasint"`
	// TTL is how long the tokens are valid; the borrower counts it from when it sent the request.
	TTL time.Duration `cbor:"2,keyasint"`
	// RetryAfter is how long to wait before asking again if no tokens were lent.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Inconclusive is set while the lender waits for its part of the rates: that it lent
	// nothing does not mean that the rate is exceeded.
	Inconclusive bool `cbor:"4,keyasint,omitempty"`
	// Renewed is the age of the last renewal of the lender's lease, 0 if it has none.
	Renewed time.Duration `cbor:"5,keyasint,omitempty"`
}

// Config holds the settings of a Quota and the functions that connect it to other instances.
type Config struct {
	Self   ident.InstanceID
	Center ident.CenterID
	Store  plat.Store
	// Epochs tracks the epoch of Store; nil means that Store is never restored.
	Epochs  *plat.Epochs
	Journal *jrnl.Journal
	// Request requests tokens from another instance.
	Request func(ctx context.Context, peer ident.InstanceID, w TokenRequest) (TokenResponse, error)
	// TableWriters returns the instances that write the table, in order of preference; it may
	// include this one.
	TableWriters func() []ident.InstanceID
	// Submit sends lease requests to another instance that writes the table.
	Submit func(ctx context.Context, writer ident.InstanceID, all []share.Request) ([]share.Grant, error)
	// Connected reports whether a link to an instance is open; if not, it opens one in the
	// background.
	Connected func(id ident.InstanceID) bool
	// Linked returns the instances to which a link is open; nil means that there are none.
	Linked func() []ident.InstanceID
	// HandOver hands shards over to their next holder.
	HandOver func(ctx context.Context, successor ident.InstanceID, e Handover) error
	// Holders returns the instances that hold or stand in for a shard in this data centre, in
	// order of preference; it may include this one.
	Holders func(share.Shard) []ident.InstanceID
	// RemoteHolders returns the holders of a shard in the other data centres.
	RemoteHolders func(share.Shard) []RemoteHolder
	// MemberCount returns the number of available instances in this data centre.
	MemberCount func() int
	Snapshot    func() *conf.Snapshot
	Random      *rand.Rand
	Registry    prometheus.Registerer
	// Static gives each instance a fixed part of the rates and lends no tokens; it serves as a
	// baseline for comparison.
	Static bool
}

// RemoteHolder is an instance that holds a shard in another data centre.
type RemoteHolder struct {
	Instance ident.InstanceID
	Center   ident.CenterID
	// Nearby is set if the data centre is in the region of this instance.
	Nearby bool
}

// account is one customer's tokens at this instance and the requests that wait for some.
type account struct {
	mu     sync.Mutex
	bucket *share.Bucket
	// sizedFor identifies the configuration and the parts that the bucket was last sized for.
	sizedFor sizing
	// restartAdded is set once the tokens allowed after a restart were added.
	restartAdded bool
	// home is the data centre that holds most of the rate, if one does.
	home    ident.CenterID
	waiting int
	// waitUntil is when the last of the waiting requests gives up.
	waitUntil time.Time
	demand    share.Demand
	lastUsed  time.Time
	// gathering is set while tokens are requested from other instances.
	gathering bool
	// emptyUntil is until when no instance is expected to have a token.
	emptyUntil time.Time
	// inconclusive is set while no instance that may have tokens gives a conclusive response,
	// and rounds counts the finished rounds of requests. No request is refused for exceeding
	// its rate without a conclusive response.
	inconclusive bool
	rounds       uint64
	// holderRenewed is when the holder in this data centre last renewed its lease, as it stated.
	holderRenewed time.Time
	// wake is closed at the end of each round.
	wake chan struct{}
}

// Quota spends this instance's part of each customer's rate, and lends tokens to and borrows
// tokens from other instances; it is safe for concurrent use.
type Quota struct {
	conf     Config
	accounts sync.Map
	// generation counts changes of the parts held.
	generation atomic.Uint64
	parts      [share.Shards]atomic.Pointer[share.Holding]
	// asked is set once another instance has requested tokens of a shard that this one neither holds
	// nor should hold.
	asked [share.Shards]atomic.Bool
	// tookOver is when each shard was last taken over from its holder, in Unix nanoseconds.
	tookOver [share.Shards]atomic.Int64
	// failed holds the time of the last failed request for tokens by instance.
	failed      sync.Map
	renew       chan struct{}
	tomb        tomb.Tomb
	tableWriter *tableWriter
	counts      counters
	started     time.Time

	mu      sync.Mutex
	holders [share.Shards]*share.Holder
	// noted are the parts that the journal has last.
	noted [share.Shards]share.Part
	// takeovers counts the running takeovers of each shard.
	takeovers [share.Shards]int
	random    *rand.Rand
}

// New starts a Quota that holds no part of any shard yet.
func New(c Config) *Quota {
	if c.Epochs == nil {
		c.Epochs = plat.NewEpochs()
	}
	q := &Quota{conf: c, renew: make(chan struct{}, 1), random: c.Random, counts: newCounters(c.Registry), started: clock.Now()}
	first := uint64(clock.TimeOfDay().UnixNano())
	for shard := range q.holders {
		q.holders[shard] = share.NewHolder(c.Self, c.Center, share.Shard(shard), first, q.started)
		q.parts[shard].Store(&share.Holding{})
	}
	q.tableWriter = &tableWriter{
		store: c.Store, epochs: c.Epochs, params: q.params, requests: make(chan *submission, maxPending), tomb: &q.tomb,
		allocator: share.NewAllocator(), random: rand.New(rand.NewPCG(c.Random.Uint64(), 1)),
	}
	q.registerGauges(c.Registry)
	q.tomb.Go(q.tableWriter.run)
	q.tomb.Go(q.renewLoop)
	return q
}

// Stop releases the parts that are held, unless ctx has ended, and stops the Quota.
func (q *Quota) Stop(ctx context.Context) {
	q.mu.Lock()
	var releases []share.Request
	for _, h := range q.holders {
		if h.Requested() {
			releases = append(releases, q.release(h)...)
		}
	}
	q.mu.Unlock()
	q.updateParts()
	if ctx.Err() == nil && len(releases) > 0 {
		_, _ = q.submit(ctx, releases)
	}
	q.tomb.Kill(nil)
	_ = q.tomb.Wait()
}

// SubmitFor writes another instance's lease requests to the table and returns the grants.
func (q *Quota) SubmitFor(ctx context.Context, all []share.Request) ([]share.Grant, error) {
	return q.tableWriter.submit(ctx, all)
}

// Part returns the part of a shard that this instance may spend.
func (q *Quota) Part(s share.Shard) share.Part { return q.parts[s].Load().Usable(clock.Now()) }

// Held returns the number of shards that this instance holds.
func (q *Quota) Held() int {
	count := 0
	for shard := range share.Shard(share.Shards) {
		if q.Part(shard) > 0 {
			count++
		}
	}
	return count
}

// Ready reports whether requests can be charged: the holders of all shards are known, and
// this instance has been granted those that it is to hold or has waited maxStartupWait for them.
func (q *Quota) Ready() bool {
	if q.conf.Static {
		return !q.conf.Snapshot().Version.IsZero()
	}
	for shard := range share.Shard(share.Shards) {
		holders := q.conf.Holders(shard)
		if len(holders) == 0 {
			return false
		}
		if holders[0] == q.conf.Self && q.Part(shard) == 0 && clock.Since(q.started) < maxStartupWait {
			return false
		}
	}
	return true
}

// maxStartupWait is how long after its start an instance is not ready while grants are missing.
const maxStartupWait = 3 * time.Second

// Evidence describes the state that a refusal of a customer's request is based on.
func (q *Quota) Evidence(customer ident.CustomerID) string {
	c := q.conf.Snapshot().Customers[customer]
	shard := share.ShardOf(customer)
	a := q.account(customer)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	q.resize(a, now, customer)
	return fmt.Sprintf("rate %.0f/s, burst %.0f, shard %d held by %v, %d millionths of it here, %s; %.1f tokens here, %d requests waiting, no tokens elsewhere for %v, responses inconclusive %t",
		c.Rate, c.Burst, shard, first(q.conf.Holders(shard)), q.Part(shard), q.renewals(a, shard, now), a.bucket.Available(now), a.waiting,
		max(0, a.emptyUntil.Sub(now)).Round(time.Millisecond), a.inconclusive)
}

func first(ids []ident.InstanceID) ident.InstanceID {
	if len(ids) == 0 {
		return "nobody"
	}
	return ids[0]
}

// CheckShards makes the Quota check at once whether it holds the right shards, as after a change
// of membership.
func (q *Quota) CheckShards() {
	select {
	case q.renew <- struct{}{}:
	default:
	}
}

func (q *Quota) account(customer ident.CustomerID) *account {
	if found, ok := q.accounts.Load(customer); ok {
		return found.(*account)
	}
	fresh := &account{bucket: share.NewBucket(clock.Now(), 0, 0), wake: make(chan struct{})}
	found, _ := q.accounts.LoadOrStore(customer, fresh)
	return found.(*account)
}

// sizing identifies what a bucket is sized for: a version of the configuration, and the parts held of the rate.
type sizing struct {
	generation uint64
	version    ident.Version
}

// resize gives the bucket its part of the customer's rate if the configuration or the parts
// held have changed; the caller holds the account's mutex.
func (q *Quota) resize(a *account, now time.Time, customer ident.CustomerID) {
	s := q.conf.Snapshot()
	size := sizing{generation: q.generation.Load(), version: s.Version}
	if a.sizedFor == size {
		return
	}
	a.sizedFor = size
	c := s.Customers[customer]
	centers := s.CenterParts()
	a.home, _ = share.HomeCenter(customer, share.Tokens(c.Burst), centers)
	center := 1.0
	if !q.conf.Static {
		center = share.CenterPart(customer, share.Tokens(c.Burst), q.conf.Center, centers)
	}
	holding := *q.parts[share.ShardOf(customer)].Load()
	a.bucket.Hold(now, share.Rate(c.Rate*center), share.Tokens(c.Burst*center), holding, loanTTL)
	if part := float64(holding.Usable(now)) / float64(share.Whole) * center; part > 0 && !a.restartAdded {
		a.restartAdded = true
		a.bucket.Add(now, share.Tokens(c.RestartAllowance*part))
	}
}
