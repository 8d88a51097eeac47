package quota

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

const (
	// transferTime is how long borrowed tokens live, counted from the question.
	transferTime = 400 * time.Millisecond
	// borrowPause is the time between two rounds of questions while callers wait.
	borrowPause = 5 * time.Millisecond
	// aheadTime is how much demand is borrowed for in advance.
	aheadTime = 40 * time.Millisecond
	// ownTime is how long an instance's own demand makes it keep half of its tokens.
	ownTime = 200 * time.Millisecond
	// askAtOnce is how many peers are asked in one round.
	askAtOnce = 6
	// renewalsPerLease is how often a lease is renewed before it would lapse.
	renewalsPerLease = 4
	// driftPart is by how much clocks may differ in pace, in millionths.
	driftPart = 10_000
)

// Config makes a Quota.
type Config struct {
	Self    ident.InstanceID
	Center  ident.CenterID
	Store   plat.Store
	Journal *jrnl.Journal
	// Ask asks a peer for tokens.
	Ask func(ctx context.Context, peer ident.InstanceID, want map[ident.CustomerID]float64) (map[ident.CustomerID]float64, error)
	// Clerks returns the instances that write the data centre's table, the best first; it may name this one.
	Clerks func() []ident.InstanceID
	// Submit hands a request for renewal to another instance's clerk.
	Submit func(ctx context.Context, clerk ident.InstanceID, a share.Ask) (share.Grant, error)
	// Peers returns whom to ask, nearest first.
	Peers func() []ident.InstanceID
	// Members returns how many instances work in this data centre.
	Members  func() int
	Snapshot func() *conf.Snapshot
	Random   *rand.Rand
	Registry prometheus.Registerer
	// Static switches borrowing off, as a baseline.
	Static bool
}

// account is one customer's bucket here.
type account struct {
	mu      sync.Mutex
	bucket  *share.Bucket
	sized   uint64
	waiting float64
	demand  float64
	spent   time.Time
	wake    chan struct{}
}

// Quota spends and moves tokens; it is safe for concurrent use.
type Quota struct {
	conf     Config
	accounts sync.Map
	sizes    atomic.Uint64
	part     atomic.Int64
	hungry   chan struct{}
	renew    chan struct{}
	tomb     tomb.Tomb
	borrowed prometheus.Counter
	given    prometheus.Counter

	clerk *clerk

	mu     sync.Mutex
	holder *share.Holder
	random *rand.Rand
	next   int
}

// New starts to hold a part of the rates.
func New(c Config) *Quota {
	q := &Quota{
		conf: c, hungry: make(chan struct{}, 1), renew: make(chan struct{}, 1), random: c.Random,
		holder:   share.NewHolder(c.Self, uint64(time.Now().UnixNano())),
		borrowed: prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_tokens_borrowed_total", Help: "Tokens received from peers."}),
		given:    prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_tokens_given_total", Help: "Tokens handed to peers."}),
	}
	if c.Registry != nil {
		c.Registry.MustRegister(q.borrowed, q.given)
	}
	q.clerk = &clerk{
		store: c.Store, center: c.Center, terms: q.terms, asks: make(chan *request, askQueue), tomb: &q.tomb,
		rules: share.NewClerk(), random: rand.New(rand.NewPCG(c.Random.Uint64(), 1)),
	}
	q.tomb.Go(q.clerk.run)
	q.tomb.Go(q.keep)
	q.tomb.Go(q.borrow)
	return q
}

// Stop hands the part back and spends nothing more.
func (q *Quota) Stop(ctx context.Context) {
	q.mu.Lock()
	leave := q.holder.Leave()
	q.mu.Unlock()
	q.measure()
	if ctx.Err() == nil {
		_, _ = q.submit(ctx, leave)
	}
	q.tomb.Kill(nil)
	_ = q.tomb.Wait()
}

// Serve enters another instance's request into the data centre's table.
func (q *Quota) Serve(ctx context.Context, a share.Ask) (share.Grant, error) {
	return q.clerk.submit(ctx, a)
}

// submitTime bounds the way of a request through one clerk.
const submitTime = 3 * time.Second

// submit hands a request to the first clerk that answers; this instance is one itself if no other does.
func (q *Quota) submit(ctx context.Context, a share.Ask) (share.Grant, error) {
	for _, id := range q.conf.Clerks() {
		if id == q.conf.Self {
			break
		}
		asked, cancel := context.WithTimeout(ctx, submitTime)
		grant, err := q.conf.Submit(asked, id, a)
		cancel()
		if err == nil {
			return grant, nil
		}
	}
	asked, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	return q.clerk.submit(asked, a)
}

// terms returns the data centre's part of all rates and the conditions in force.
func (q *Quota) terms() (share.Part, share.Terms) {
	s := q.conf.Snapshot()
	d := s.Defaults
	return share.Part(s.CenterPart(q.conf.Center)), share.Terms{
		Lease: d.ShareLease, Grace: d.ShareGrace, Reserve: share.Part(d.ShareReserve * float64(share.Whole)), Drift: driftPart,
	}
}

// Part returns the part of all rates that this instance may spend now, in millionths.
func (q *Quota) Part() share.Part { return share.Part(q.part.Load()) }

// Renew makes the part fit a change of membership soon.
func (q *Quota) Renew() {
	select {
	case q.renew <- struct{}{}:
	default:
	}
}

func (q *Quota) account(customer ident.CustomerID) *account {
	if found, ok := q.accounts.Load(customer); ok {
		return found.(*account)
	}
	fresh := &account{bucket: share.NewBucket(time.Now(), 0, 0), wake: make(chan struct{})}
	found, _ := q.accounts.LoadOrStore(customer, fresh)
	return found.(*account)
}

// fit gives the bucket its part of the customer's rate; the caller holds the account's mutex.
func (q *Quota) fit(a *account, now time.Time, customer ident.CustomerID) {
	s := q.conf.Snapshot()
	size := q.sizes.Load()<<32 | uint64(s.Version)&0xffffffff
	if a.sized == size {
		return
	}
	a.sized = size
	c := s.Customers[customer]
	part := float64(q.part.Load()) / float64(share.Whole)
	a.bucket.Resize(now, share.Rate(c.Rate*part), share.Tokens(c.Burst*part))
}

// TakeNow spends one token if it is there.
func (q *Quota) TakeNow(customer ident.CustomerID) bool {
	return q.spend(q.account(customer), time.Now(), customer)
}

// Take waits up to wait for a token and spends it; None means that it was spent.
func (q *Quota) Take(ctx context.Context, customer ident.CustomerID, wait time.Duration) (fault.Reason, time.Duration) {
	a := q.account(customer)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.mu.Lock()
	a.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
	}()
	for {
		woken, pause := q.outlook(a, customer)
		q.hunger()
		timer := time.NewTimer(max(pause, time.Millisecond))
		select {
		case <-ctx.Done():
			timer.Stop()
			return q.refusal(), pause
		case <-woken:
		case <-timer.C:
		}
		timer.Stop()
		if q.spend(a, time.Now(), customer) {
			return fault.None, 0
		}
	}
}

func (q *Quota) refusal() fault.Reason {
	if q.part.Load() == 0 {
		return fault.RateUnavailable
	}
	return fault.RateExceeded
}

func (q *Quota) spend(a *account, now time.Time, customer ident.CustomerID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	q.fit(a, now, customer)
	elapsed := now.Sub(a.spent).Seconds()
	a.demand = a.demand*max(0, 1-elapsed*4) + 1
	a.spent = now
	return a.bucket.Take(now, 1)
}

// outlook returns what is closed when tokens arrive, and how long the bucket itself takes to make one.
func (q *Quota) outlook(a *account, customer ident.CustomerID) (<-chan struct{}, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	q.fit(a, now, customer)
	return a.wake, a.bucket.Until(now, 1)
}

func (q *Quota) hunger() {
	select {
	case q.hungry <- struct{}{}:
	default:
	}
}

// borrow asks peers for tokens for as long as callers wait.
func (q *Quota) borrow() error {
	for {
		select {
		case <-q.tomb.Dying():
			return nil
		case <-q.hungry:
		}
		if want := q.wanted(); len(want) > 0 && !q.conf.Static {
			q.round(want)
		}
		select {
		case <-q.tomb.Dying():
			return nil
		case <-time.After(borrowPause):
		}
	}
}

func (q *Quota) wanted() map[ident.CustomerID]float64 {
	want := map[ident.CustomerID]float64{}
	q.accounts.Range(func(key, value any) bool {
		a := value.(*account)
		a.mu.Lock()
		if a.waiting > 0 {
			want[key.(ident.CustomerID)] = a.waiting + a.demand*4*aheadTime.Seconds()
		}
		a.mu.Unlock()
		return true
	})
	return want
}

// round asks a few peers at once, each for its part of what is missing.
func (q *Quota) round(want map[ident.CustomerID]float64) {
	peers := q.turn()
	if len(peers) == 0 {
		return
	}
	share := map[ident.CustomerID]float64{}
	for customer, amount := range want {
		share[customer] = amount/float64(len(peers)) + 1
	}
	ctx, cancel := context.WithTimeout(q.tomb.Context(context.Background()), transferTime/2)
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Add(1)
		go func() {
			defer group.Done()
			q.ask(ctx, peer, share)
		}()
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		cancel()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(borrowPause):
	}
}

// turn returns whom to ask next: the nearest peers, and further ones round by round.
func (q *Quota) turn() []ident.InstanceID {
	all := q.conf.Peers()
	if len(all) <= askAtOnce {
		return all
	}
	var chosen []ident.InstanceID
	for at := range askAtOnce {
		chosen = append(chosen, all[(q.next+at)%len(all)])
	}
	q.next += askAtOnce
	return chosen
}

func (q *Quota) ask(ctx context.Context, peer ident.InstanceID, want map[ident.CustomerID]float64) {
	asked := time.Now()
	given, err := q.conf.Ask(ctx, peer, want)
	if err != nil {
		return
	}
	now := time.Now()
	for customer, amount := range given {
		if amount <= 0 || amount > want[customer] {
			continue
		}
		a := q.account(customer)
		a.mu.Lock()
		a.bucket.Accept(now, asked, share.Tokens(amount), transferTime)
		close(a.wake)
		a.wake = make(chan struct{})
		a.mu.Unlock()
		q.borrowed.Add(amount)
	}
}

// Give takes tokens out for a peer; an instance with demand of its own keeps half.
func (q *Quota) Give(want map[ident.CustomerID]float64) map[ident.CustomerID]float64 {
	given := map[ident.CustomerID]float64{}
	now := time.Now()
	for customer, amount := range want {
		if _, known := q.conf.Snapshot().Customers[customer]; !known || amount <= 0 {
			continue
		}
		a := q.account(customer)
		a.mu.Lock()
		q.fit(a, now, customer)
		most := float64(a.bucket.Own(now))
		if now.Sub(a.spent) < ownTime {
			most /= 2
		}
		if a.waiting > 0 {
			most = 0
		}
		if got := a.bucket.Give(now, share.Tokens(min(amount, most)), transferTime); got > 0 {
			given[customer] = float64(got)
			q.given.Add(float64(got))
		}
		a.mu.Unlock()
	}
	return given
}

// keep renews the part before its lease lapses and whenever membership changes.
func (q *Quota) keep() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	check := time.NewTicker(time.Second)
	defer check.Stop()
	for {
		pause := time.Duration(0)
		select {
		case <-q.tomb.Dying():
			return nil
		case <-check.C:
			q.measure()
			continue
		case <-q.renew:
			pause = q.jitter(100 * time.Millisecond)
		case <-timer.C:
		}
		if !q.pause(pause) {
			return nil
		}
		timer.Reset(q.renewal())
	}
}

func (q *Quota) pause(d time.Duration) bool {
	select {
	case <-q.tomb.Dying():
		return false
	case <-time.After(d):
		return true
	}
}

const (
	// notReadyPause is how long an instance without configuration waits before it asks for its part.
	notReadyPause = 100 * time.Millisecond
	// shortPause is how soon an instance asks again that got less than an equal part.
	shortPause = 2 * time.Second
	// failedPause is how long it waits after the platform did not answer.
	failedPause = 500 * time.Millisecond
)

// renewal asks for the part once and returns how long to wait for the next time.
func (q *Quota) renewal() time.Duration {
	if q.conf.Snapshot().Version == 0 {
		return notReadyPause
	}
	center, terms := q.terms()
	want := center / share.Part(max(q.conf.Members(), 1))
	q.mu.Lock()
	ask := q.holder.Ask(time.Now(), want, terms)
	q.mu.Unlock()
	q.measure()
	grant, err := q.submit(q.tomb.Context(context.Background()), ask)
	if err != nil {
		return failedPause + q.jitter(failedPause)
	}
	q.mu.Lock()
	q.holder.Granted(grant)
	q.mu.Unlock()
	q.measure()
	interval := terms.Lease / renewalsPerLease
	if grant.Part < want {
		interval = min(interval, shortPause)
	}
	return inStep(time.Now(), interval) + q.jitter(gatherTime/2)
}

// inStep returns the time to the next multiple of the interval, so that the
// requests of a data centre come together and share a write.
func inStep(now time.Time, interval time.Duration) time.Duration {
	return now.Truncate(interval).Add(interval).Sub(now)
}

// measure brings the part that may be spent up to date.
func (q *Quota) measure() {
	q.mu.Lock()
	usable := q.holder.Usable(time.Now())
	q.mu.Unlock()
	old := q.part.Swap(int64(usable))
	if old == int64(usable) {
		return
	}
	q.sizes.Add(1)
	q.conf.Journal.Add(jrnl.Event{Kind: jrnl.ShareChanged, Evidence: evidence(share.Part(old), usable)})
}

func evidence(old, now share.Part) string {
	if now == 0 {
		return "the lease lapsed: nothing may be spent"
	}
	if now < old {
		return "the part of all rates fell from " + percent(old) + " to " + percent(now)
	}
	return "the part of all rates rose from " + percent(old) + " to " + percent(now)
}

func (q *Quota) jitter(most time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.random.Int64N(int64(most) + 1))
}

func percent(p share.Part) string {
	return strconv.FormatFloat(float64(p)*100/float64(share.Whole), 'f', 1, 64) + "%"
}
