package share

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// fleetLoad describes customers' requests to all instances, read from a file.
type fleetLoad struct {
	centers, instances, customers int
	// usual is a customer's usual request rate per second, greedy multiplies it.
	rate, burst, usual, greedy float64
	// onlyCenter is the data centre that all callers are in; -1 spreads them over all.
	onlyCenter int
	// localDelay and remoteDelay are the round trips to a holder in the same and in another
	// data centre.
	localDelay, remoteDelay time.Duration
	length                  time.Duration
	// unsent is the fraction of requests of which nothing is sent, which is known refusedAfter after the charge.
	unsent       float64
	refusedAfter time.Duration
	// want is the smallest accepted ratio of admitted requests to those that a single bucket
	// for all instances would admit.
	want float64
	outage
}

func readFleetLoad(t *testing.T, name string) fleetLoad {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	l := fleetLoad{onlyCenter: -1}
	numbers := map[string]any{
		"centers": &l.centers, "instances": &l.instances, "customers": &l.customers, "only": &l.onlyCenter,
		"rate": &l.rate, "burst": &l.burst, "usual": &l.usual, "greedy": &l.greedy, "unsent": &l.unsent, "want": &l.want, "allowance": &l.allowance,
	}
	durations := map[string]*time.Duration{"near": &l.localDelay, "far": &l.remoteDelay, "length": &l.length, "refused-after": &l.refusedAfter}
	l.outage.addTo(durations)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		if d := durations[f[0]]; d != nil {
			if *d, err = time.ParseDuration(f[1]); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			continue
		}
		if _, err := fmt.Sscan(f[1], numbers[f[0]]); err != nil {
			t.Fatalf("%s: %s: %v", name, f[0], err)
		}
	}
	return l
}

// simulationTTL is how long lent tokens are valid.
const simulationTTL = 200 * time.Millisecond

// outcome counts one customer's requests and those admitted.
type outcome struct {
	requested, served int
	admissions        []admission
}

// arrivals returns when and in which data centre requests arrive, in order of time.
func (l fleetLoad) arrivals(random *rand.Rand) []struct {
	at     time.Duration
	center int
} {
	var all []struct {
		at     time.Duration
		center int
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (l.usual * l.greedy) * float64(time.Second))
		if at > l.length {
			return all
		}
		center := l.onlyCenter
		if center < 0 {
			center = random.IntN(l.centers)
		}
		all = append(all, struct {
			at     time.Duration
			center int
		}{at, center})
	}
}

// sharded simulates a customer whose rate is held by one instance of each data centre. It
// spends its own tokens and borrows missing ones from the others, the home data centre first.
func (l fleetLoad) sharded(customer ident.CustomerID, random *rand.Rand) outcome {
	start := time.Unix(0, 0)
	centers := map[ident.CenterID]float64{}
	for at := range l.centers {
		centers[centerName(at)] = 1 / float64(l.centers)
	}
	home, concentrated := HomeCenter(customer, Tokens(l.burst), centers)
	var holders []*Bucket
	for at := range l.centers {
		part := CenterPart(customer, Tokens(l.burst), centerName(at), centers)
		holders = append(holders, NewBucket(start, Rate(l.rate*part), Tokens(l.burst*part)))
		holders[at].Add(start, Tokens(l.burst))
	}
	lastUsed := make([]time.Time, l.centers)
	var r outcome
	var refunds []refund
	for index, a := range l.arrivals(random) {
		now := start.Add(a.at + l.localDelay)
		for len(refunds) > 0 && !now.Before(refunds[0].at) {
			refunds[0].bucket.Refund(now, refunds[0].charge)
			refunds = refunds[1:]
		}
		r.requested++
		own := holders[a.center]
		borrow := func(requested func(at int) bool) {
			var lenders []int
			for at := range holders {
				if at != a.center && requested(at) {
					lenders = append(lenders, at)
				}
			}
			missing := 1 - own.Available(now)
			if missing <= 0 || len(lenders) == 0 {
				return
			}
			for _, at := range lenders {
				spare := Spare(holders[at].Own(now.Add(l.remoteDelay/2)), Split(missing+0.001, len(lenders)), concentrated, 0, now.Sub(lastUsed[at]))
				lent := holders[at].LendOwn(now.Add(l.remoteDelay/2), spare, simulationTTL)
				own.Accept(now.Add(l.remoteDelay), now, lent, simulationTTL)
			}
			now = now.Add(l.remoteDelay)
		}
		borrow(func(at int) bool { return centerName(at) == home })
		if AskOtherCenters(concentrated, concentrated) {
			borrow(func(int) bool { return true })
		}
		lastUsed[a.center] = now
		switch charge, ok := own.Charge(now, 1); {
		case ok && l.isUnsent(index):
			refunds = append(refunds, refund{now.Add(l.refusedAfter), own, charge})
		case ok:
			r.served++
			r.admissions = append(r.admissions, admission{now, 1})
		}
	}
	return r
}

// refund is a charge that is to be refunded at a time.
type refund struct {
	at     time.Time
	bucket *Bucket
	charge Charge
}

// isUnsent reports whether nothing of a request is sent; such requests are spread evenly.
func (l fleetLoad) isUnsent(index int) bool {
	return math.Floor(float64(index+1)*l.unsent) > math.Floor(float64(index)*l.unsent)
}

// singleBucket returns how many requests one bucket for all instances would admit if it knew which are not sent.
func (l fleetLoad) singleBucket(random *rand.Rand) int {
	b := NewBucket(time.Unix(0, 0), Rate(l.rate), Tokens(l.burst))
	b.Add(time.Unix(0, 0), Tokens(l.burst))
	served := 0
	for index, a := range l.arrivals(random) {
		if !l.isUnsent(index) && b.Take(time.Unix(0, 0).Add(a.at), 1) {
			served++
		}
	}
	return served
}

func centerName(at int) ident.CenterID { return ident.CenterID(fmt.Sprintf("c%d", at)) }

// equalParts simulates a customer whose rate is divided equally among all instances, each of
// which borrows missing tokens from six others.
func (l fleetLoad) equalParts(random *rand.Rand) outcome {
	start := time.Unix(0, 0)
	all := l.buckets(start, l.centers*l.instances)
	var r outcome
	for _, a := range l.arrivals(random) {
		now := start.Add(a.at)
		r.requested++
		own := all[a.center*l.instances+random.IntN(l.instances)]
		for range 6 {
			if other := all[random.IntN(len(all))]; other != own {
				own.Accept(now.Add(l.remoteDelay), now, other.LendOwn(now.Add(l.remoteDelay/2), 1, simulationTTL), modelTTL)
			}
		}
		if own.Take(now.Add(l.remoteDelay), 1) {
			r.served++
		}
	}
	return r
}

func (l fleetLoad) buckets(start time.Time, count int) []*Bucket {
	var all []*Bucket
	for range count {
		b := NewBucket(start, Rate(l.rate/float64(count)), Tokens(l.burst/float64(count)))
		b.Add(start, Tokens(l.burst))
		all = append(all, b)
	}
	return all
}

// TestFleetLoads simulates the loads of testdata. The instances together must admit nearly as
// many requests as a single bucket would, wherever they arrive, and never more than rate
// and burst allow.
func TestFleetLoads(t *testing.T) {
	names, err := filepath.Glob("testdata/*.load")
	if err != nil || len(names) == 0 {
		t.Fatalf("no load files in testdata: %v", err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".load"), func(t *testing.T) {
			l := readFleetLoad(t, name)
			served, allowed, equal := 0.0, 0.0, 0.0
			for customer := range l.customers {
				seed := uint64(customer + 1)
				r := l.sharded(ident.CustomerID(fmt.Sprintf("customer-%d", customer)), rand.New(rand.NewPCG(seed, 1)))
				if over := overshootOf(r.admissions, l.rate, l.burst); over > 1e-6 {
					t.Errorf("customer %d: admitted %.3f requests more than rate and burst allow", customer, over)
				}
				served += float64(r.served)
				allowed += float64(l.singleBucket(rand.New(rand.NewPCG(seed, 1))))
				equal += float64(l.equalParts(rand.New(rand.NewPCG(seed, 1))).served)
			}
			t.Logf("admitted %.3f of what a single bucket would admit, %.3f with equal parts for all instances", served/allowed, equal/allowed)
			if served/allowed < l.want {
				t.Errorf("admitted %.3f of what a single bucket would admit, want at least %.3f", served/allowed, l.want)
			}
		})
	}
}
