package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

const (
	simSlots  = 4
	simWork   = 8 * time.Millisecond
	simPoll   = 300 * time.Millisecond
	simLength = 20 * time.Second
)

// simRead is a read in the simulation; left is its remaining work.
type simRead struct {
	begun, sent, left time.Duration
	from              *simPool
}

// simPool is the pool of one owner for one server; limit bounds the reads in flight.
type simPool struct {
	waiting         []*simRead
	inFlight, limit int
	service         time.Duration
	others          OtherLoad
}

// simGroup is a group of a primary and two replicas, and its six owners: one near each server, and
// three in data centres without a server. Unless aware is set, owners ignore what servers report.
type simGroup struct {
	aware   bool
	now     time.Duration
	servers [3][]*simRead
	pools   [6][3]simPool
	reads   [3]int
	times   []time.Duration
}

func (g *simGroup) choose(owner int, customer ident.CustomerID) int {
	r := Request{PrimaryCost: 15 * time.Millisecond, Spread: Spread(customer, ident.InstanceID(fmt.Sprint(owner)))}
	servers := make([]Server, len(g.servers))
	for s := range servers {
		pool := &g.pools[owner][s]
		servers[s] = Server{
			ID: ident.ServerID(fmt.Sprint(s)), Primary: s == 0, Usable: true, Slots: simSlots, ServiceTime: pool.service,
			Latency: 2*time.Millisecond + time.Duration(s)*100*time.Microsecond, Load: len(pool.waiting) + pool.inFlight,
		}
		if owner == s {
			servers[s].Latency = 500 * time.Microsecond
		}
		if g.aware {
			servers[s].OtherLoad = pool.others.At(time.Unix(0, 0).Add(g.now))
		}
	}
	return slices.IndexFunc(servers, func(s Server) bool { return s.ID == Choose(r, servers).(Serve).Server })
}

// arrive places a read. The first owner passes it on to the one near the server, which chooses again.
func (g *simGroup) arrive(owner int, customer ident.CustomerID, work time.Duration) {
	s := g.choose(owner, customer)
	if s != owner {
		owner = s
		s = g.choose(owner, customer)
	}
	pool := &g.pools[owner][s]
	pool.waiting = append(pool.waiting, &simRead{begun: g.now, left: work, from: pool})
	g.reads[s]++
}

// step runs the servers for a millisecond.
func (g *simGroup) step() {
	for s := range g.servers {
		for o := range g.pools {
			pool := &g.pools[o][s]
			pool.limit = 2
			if o == s {
				pool.limit = 5
			}
			for ; len(pool.waiting) > 0 && pool.inFlight < pool.limit; pool.waiting = pool.waiting[1:] {
				pool.inFlight++
				pool.waiting[0].sent = g.now
				g.servers[s] = append(g.servers[s], pool.waiting[0])
			}
			if (g.now+time.Duration(o)*37*time.Millisecond)%simPoll == 0 {
				pool.others.Observe(time.Unix(0, 0).Add(g.now), min(len(g.servers[s]), simSlots), pool.inFlight)
			}
		}
		for i := range min(simSlots, len(g.servers[s])) {
			g.servers[s][i].left -= time.Millisecond
		}
		g.servers[s] = slices.DeleteFunc(g.servers[s], func(r *simRead) bool {
			if r.left > 0 {
				return false
			}
			r.from.inFlight--
			r.from.service += (g.now - r.sent - r.from.service) / 8
			g.times = append(g.times, g.now-r.begun)
			return true
		})
	}
	g.now += time.Millisecond
}

// play sends reads of customers of uneven size through the owners from the given one on. The load
// is a part of what both replicas can run. It returns the mean time of a read.
func (g *simGroup) play(load float64, firstOwner int) time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	for g.now < simLength {
		for due := load * 2 * simSlots * float64(time.Millisecond) / float64(simWork); random.Float64() < due; due-- {
			customer := ident.CustomerID(fmt.Sprint(int(13 * random.Float64() * random.Float64())))
			owner := firstOwner + random.IntN(len(g.pools)-firstOwner)
			g.arrive(owner, customer, time.Duration((0.5+random.Float64())*float64(simWork)))
		}
		g.step()
	}
	sum := time.Duration(0)
	for _, d := range g.times {
		sum += d
	}
	return sum / time.Duration(len(g.times))
}

// TestReadsSpreadOverServers guards against reads that pile up on one replica, because owners that
// pass reads on see no queue at any server, and overflow to the primary while the other replica has
// free slots.
func TestReadsSpreadOverServers(t *testing.T) {
	for _, test := range []struct {
		load       float64
		firstOwner int
		// most is the longest accepted mean time, in parts of that without reports.
		most float64
	}{{0.3, 0, 1.02}, {0.6, 0, 1}, {0.8, 0, 0.8}, {0.8, 3, 0.6}, {0.95, 3, 0.4}} {
		blind, aware := &simGroup{}, &simGroup{aware: true}
		before, mean := blind.play(test.load, test.firstOwner), aware.play(test.load, test.firstOwner)
		t.Logf("load %.2f from owner %d: reads %v, mean time %v; without reports %v, %v", test.load, test.firstOwner, aware.reads, mean, blind.reads, before)
		if float64(mean) > float64(before)*test.most {
			t.Errorf("load %.2f from owner %d: mean time %v, %v without reports, want at most %.2f of it", test.load, test.firstOwner, mean, before, test.most)
		}
		if a, b := aware.reads[1], aware.reads[2]; max(a, b)*10 > min(a, b)*12 {
			t.Errorf("load %.2f from owner %d: the replicas served %d and %d reads, want at most 1.2 times as many", test.load, test.firstOwner, a, b)
		}
	}
}

// TestOneReportMovesSomeReads guards against owners that all leave a server after one report.
func TestOneReportMovesSomeReads(t *testing.T) {
	moved := func(reports int) (count int) {
		var others OtherLoad
		now := time.Unix(0, 0)
		for range reports {
			others.Observe(now, simSlots, 0)
		}
		servers := []Server{{ID: "near", Usable: true, Slots: simSlots, ServiceTime: simWork, OtherLoad: others.At(now)}, {ID: "far", Usable: true, Slots: simSlots, ServiceTime: simWork, Latency: 100 * time.Microsecond}}
		for i := range 100 {
			r := Request{Spread: Spread(ident.CustomerID(fmt.Sprint(i)), "owner")}
			if Choose(r, servers).(Serve).Server == "far" {
				count++
			}
		}
		return count
	}
	if one, many := moved(1), moved(12); one > 60 || many < 75 {
		t.Errorf("%d of 100 customers moved after one report and %d after twelve, want at most 60 and at least 75", one, many)
	}
}

// TestFreeSlotsKeepReadsNear guards against reads that go to a server further away although a near one has free slots.
func TestFreeSlotsKeepReadsNear(t *testing.T) {
	servers := []Server{
		{ID: "near", Usable: true, Slots: simSlots, ServiceTime: 5 * simWork, OtherLoad: simSlots / 2},
		{ID: "far", Usable: true, Slots: simSlots, ServiceTime: 5 * simWork, Latency: 19 * time.Millisecond},
	}
	for i := range 100 {
		r := Request{Spread: Spread(ident.CustomerID(fmt.Sprint(i)), "owner")}
		if got := Choose(r, servers).(Serve).Server; got != "near" {
			t.Errorf("customer %d reads at %s, want near", i, got)
		}
	}
}

// TestEqualLoadsKeepChoice checks that equal loads by other owners leave the choice as it is.
func TestEqualLoadsKeepChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{drawServer(t, "a", true), drawServer(t, "b", false), drawServer(t, "c", false)}
		r := Request{Spread: rapid.Float64Range(0, 1).Draw(t, "spread"), PrimaryCost: 5 * time.Millisecond}
		want := Choose(r, servers)
		for i := range servers {
			servers[i].OtherLoad = 3
		}
		if got := Choose(r, servers); got != want {
			t.Fatalf("got %+v with equal loads, %+v without", got, want)
		}
	})
}

// TestFailingServerGetsFewerReads guards against a server that fails reads though it answers polls,
// and that goes on getting most of them; a single failure or an old one must not count.
func TestFailingServerGetsFewerReads(t *testing.T) {
	var failures FailureRate
	now, toFailing := time.Unix(0, 0), 0
	if failures.Observe(now, true); failureCost(failures.At(now)) != 0 {
		t.Error("a single failure counts")
	}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		servers := []Server{{ID: "failing", Usable: true, FailureRate: failures.At(now)}, {ID: "other", Usable: true, Latency: 2 * time.Millisecond}}
		if Choose(Request{}, servers).(Serve).Server == "failing" {
			failures.Observe(now, true)
			toFailing++
		}
	}
	if toFailing < 2 || toFailing > 50 {
		t.Errorf("the failing server got %d of 1000 reads, want 2 to 50", toFailing)
	}
	if failureCost(failures.At(now.Add(5*time.Second))) != 0 {
		t.Error("failures of 5 s ago count")
	}
}
