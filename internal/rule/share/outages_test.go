package share

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// outage is what happens during a load, each time counted from its beginning.
type outage struct {
	lease, grace time.Duration
	// The store is unavailable from awayFrom until awayUntil.
	awayFrom, awayUntil time.Duration
	// All processes are killed and back; their parts are granted grantedFrom to grantedUntil later.
	killed, back, grantedFrom, grantedUntil time.Duration
	// allowance is the restart allowance.
	allowance float64
	// from and until bound the time that is counted.
	from, until time.Duration
}

func (o *outage) addTo(durations map[string]*time.Duration) {
	for name, d := range map[string]*time.Duration{
		"lease": &o.lease, "grace": &o.grace, "away-from": &o.awayFrom, "away-until": &o.awayUntil, "killed": &o.killed, "back": &o.back,
		"granted-from": &o.grantedFrom, "granted-until": &o.grantedUntil, "from": &o.from, "until": &o.until,
	} {
		durations[name] = d
	}
}

func within(at, from, until time.Duration) bool { return from <= at && at < until }

const (
	outageTick = 5 * time.Millisecond
	// grantedWait is how long a request waits for a token from a holder that has its part, and
	// pendingWait from one that has not.
	grantedWait = 60 * time.Millisecond
	pendingWait = 500 * time.Millisecond
)

// outageRun is one customer's holders through an outage, one in each data centre.
type outageRun struct {
	fleetLoad
	random    *rand.Rand
	params    LeaseParams
	allocator *Allocator
	table     Table
	holders   []*Holder
	buckets   []*Bucket
	// due is when each holder renews next, granted when its process was first granted its part.
	due, granted []time.Duration
}

// start starts the process of a data centre's holder, which gets its part at a time.
func (r *outageRun) start(center int, at, granted time.Duration) {
	now := time.Unix(100, 0).Add(at)
	r.holders[center] = NewHolder(ident.InstanceID(fmt.Sprintf("i%d", center)), centerName(center), 0, uint64(at)+1, now)
	r.buckets[center], r.due[center] = NewBucket(now, 0, 0), granted
	r.granted[center] = 0
}

// renew renews a holder's lease if that is due and the store is available.
func (r *outageRun) renew(center int, at time.Duration) {
	if at < r.due[center] || within(at, r.awayFrom, r.awayUntil) {
		return
	}
	now, h := time.Unix(100, 0).Add(at), r.holders[center]
	next, grants := r.allocator.Renew(now, r.table, r.params, []Request{h.Request(now, Whole, r.params, 0)})
	r.table = next
	h.ApplyGrant(grantTo(grants, h.self))
	count := float64(r.centers)
	r.buckets[center].Hold(now, Rate(r.rate/count), Tokens(r.burst/count), h.Holding(), simulationTTL)
	r.due[center] += r.params.Lease / 4
	if r.granted[center] == 0 {
		r.granted[center] = at
		r.buckets[center].Add(now, Tokens(r.allowance/count))
	}
}

// take has a holder borrow what it lacks from the others and spend a token.
func (r *outageRun) take(center int, now time.Time) bool {
	own := r.buckets[center]
	if missing := 1.001 - own.Available(now); missing > 0 {
		for at, lender := range r.buckets {
			if at != center {
				lent := lender.LendOwn(now, min(lender.Own(now), Split(missing, r.centers-1)), simulationTTL)
				own.Accept(now, now, lent, simulationTTL)
			}
		}
	}
	return own.Take(now, 1)
}

// deadline returns until when a request that arrived at a time waits for a token.
func (r *outageRun) deadline(center int, arrived time.Duration, now time.Time) time.Duration {
	if r.holders[center].Usable(now) == 0 {
		return arrived + pendingWait
	}
	return min(arrived+pendingWait, max(arrived, r.granted[center])+grantedWait)
}

// play returns how many requests get a token in the time that is counted, and how many a single bucket that
// continues through all would admit.
func (r *outageRun) play() (float64, float64) {
	began := time.Unix(100, 0)
	whole := NewBucket(began, Rate(r.rate), Tokens(r.burst))
	for center := range r.centers {
		r.start(center, 0, 0)
	}
	arrivals, waiting := r.arrivals(r.random), make([][]time.Duration, r.centers)
	served, allowed := 0.0, 0.0
	for at := time.Duration(0); at < r.length; at += outageTick {
		now := began.Add(at)
		if within(at, r.back, r.back+outageTick) && r.back > 0 {
			r.allocator = NewAllocator()
			for center := range r.centers {
				r.start(center, at, at+r.grantedFrom+time.Duration(r.random.Int64N(int64(r.grantedUntil-r.grantedFrom))))
			}
		}
		for center := range r.centers {
			r.renew(center, at)
		}
		for ; len(arrivals) > 0 && arrivals[0].at <= at; arrivals = arrivals[1:] {
			if a := arrivals[0]; !within(a.at, r.killed, r.back) {
				waiting[a.center] = append(waiting[a.center], a.at)
				if whole.Take(began.Add(a.at), 1) && within(a.at, r.from, r.until) {
					allowed++
				}
			}
		}
		for center, queue := range waiting {
			for len(queue) > 0 && (at > r.deadline(center, queue[0], now) || r.take(center, now)) {
				if at <= r.deadline(center, queue[0], now) && within(queue[0], r.from, r.until) {
					served++
				}
				queue = queue[1:]
			}
			waiting[center] = queue
		}
	}
	return served, allowed
}

// TestRatesThroughOutages guards against rates that are not passed on while the store is unavailable and
// after a restart of all processes.
func TestRatesThroughOutages(t *testing.T) {
	names, err := filepath.Glob("testdata/outages/*.load")
	if err != nil || len(names) == 0 {
		t.Fatalf("no load files: %v", err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			l := readFleetLoad(t, name)
			served, allowed := 0.0, 0.0
			for customer := range l.customers {
				r := &outageRun{
					fleetLoad: l, random: rand.New(rand.NewPCG(uint64(customer+1), 1)), allocator: NewAllocator(),
					params:  LeaseParams{Lease: l.lease, Grace: l.grace, Reserve: Whole / 2, Drift: 10_000},
					holders: make([]*Holder, l.centers), buckets: make([]*Bucket, l.centers), due: make([]time.Duration, l.centers), granted: make([]time.Duration, l.centers),
				}
				s, a := r.play()
				served, allowed = served+s, allowed+a
			}
			t.Logf("admitted %.3f of what a single bucket would admit", served/allowed)
			if served/allowed < l.want {
				t.Errorf("admitted %.3f of what a single bucket would admit, want at least %.3f", served/allowed, l.want)
			}
		})
	}
}
