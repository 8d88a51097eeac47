package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// Config configures a run.
type Config struct {
	Fleet  *fleet.Fleet
	Config conf.Config
	// Mix is the relative frequency of each kind of request.
	Mix map[string]int
	// Worth is the weight of a request of each kind in Report.ServedByWorth; the default is 1.
	Worth    map[string]int
	Duration time.Duration
	// Load is each customer's demand as a fraction of its rate.
	Load float64
	// Greedy is a customer whose demand is five times its rate; empty means none.
	Greedy ident.CustomerID
	// Faults lists the names of the faults to inject.
	Faults []string
	Seed   uint64
	// Progress receives a line a second; nil turns progress off.
	Progress io.Writer
}

const (
	// greedyLoad is the greedy customer's demand as a multiple of its rate.
	greedyLoad         = 5.0
	callersPerCustomer = 6
	// greedyCallers is the number of sessions needed to keep up that demand while requests are refused.
	greedyCallers = 24
	// queueLength bounds the requests that are due and wait for a free session; further ones are not offered.
	queueLength = 1 << 14
	// probeCustomer writes continuously, to measure how long a failover interrupts writes.
	probeCustomer = ident.CustomerID("bench-probe")
	probeInterval = 5 * time.Millisecond
	// settleTime is how long the groups get to recover before the final check.
	settleTime = 3 * time.Second
)

// AddProbe adds the customer whose writes measure failover gaps.
func AddProbe(c *conf.Config) {
	c.Customers = maps.Clone(c.Customers)
	c.Customers[probeCustomer] = conf.Customer{Rate: 4000, Burst: 1000, Weight: 1}
}

// run is the state of a run in progress.
type run struct {
	conf    Config
	fleet   *fleet.Fleet
	checker *Checker
	began   time.Time
	tallies map[ident.CustomerID]*tally
	probes  []*probe

	mu sync.Mutex
	// rows are the rows that sessions have inserted, by group.
	rows map[ident.GroupID][]*row
}

// Run applies the load, injects the faults and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	r := &run{
		conf: c, fleet: c.Fleet, checker: NewChecker(), tallies: map[ident.CustomerID]*tally{},
		rows: map[ident.GroupID][]*row{}, began: time.Now(),
	}
	callers, err := r.prepareCallers(ctx)
	if err != nil {
		return nil, err
	}
	before := r.usage()
	r.began = time.Now()
	for _, t := range r.tallies {
		t.began = r.began
	}
	loadCtx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	r.startProbes(loadCtx, &wg)
	for id, own := range callers {
		r.startCustomer(ctx, loadCtx, &wg, id, own)
	}
	injected := r.inject(loadCtx)
	r.progress(loadCtx)
	wg.Wait()
	after := r.usage()
	injections := <-injected
	r.verifyFinalState(ctx)
	return r.report(before, after, injections), nil
}

// prepareCallers creates every customer's sessions and inserts the rows that each session owns.
func (r *run) prepareCallers(ctx context.Context) (map[ident.CustomerID][]*caller, error) {
	random := rand.New(rand.NewPCG(r.conf.Seed, 7))
	services := slices.Sorted(maps.Keys(r.conf.Config.Services))
	var mix []string
	for _, kind := range slices.Sorted(maps.Keys(r.conf.Mix)) {
		mix = append(mix, slices.Repeat([]string{kind}, r.conf.Mix[kind])...)
	}
	all := map[ident.CustomerID][]*caller{}
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	for _, id := range slices.Sorted(maps.Keys(r.conf.Config.Customers)) {
		if id == probeCustomer {
			continue
		}
		r.tallies[id] = newTally(r.began)
		count := callersPerCustomer
		if id == r.conf.Greedy {
			count = greedyCallers
		}
		for at := range count {
			service := services[at%len(services)]
			c := &caller{
				run: r, name: fmt.Sprintf("%s-%d", id, at), customer: id, database: string(service),
				group: r.conf.Config.Services[service].Group, random: rand.New(rand.NewPCG(random.Uint64(), 5)), mix: mix, tally: r.tallies[id],
			}
			all[id] = append(all[id], c)
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := c.insertRows(ctx); err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}()
		}
	}
	wg.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return all, nil
	}
}

// insertRows inserts the session's rows, with retries.
func (c *caller) insertRows(ctx context.Context) error {
	for at := range c.rows {
		c.rows[at] = c.run.checker.newRow(c.group, fmt.Sprintf("%s-own%d", c.name, at))
		if err := c.insertRow(ctx, c.rows[at]); err != nil {
			return err
		}
		c.run.mu.Lock()
		c.run.rows[c.group] = append(c.run.rows[c.group], c.rows[at])
		c.run.mu.Unlock()
	}
	return nil
}

func (c *caller) insertRow(ctx context.Context, r *row) error {
	const attempts = 50
	var err error
	for range attempts {
		if err = c.connect(ctx); err == nil {
			n := c.run.checker.nextValue(r)
			_, err = c.conn.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)", r.id, formatValue(r.id, n))
			outcome := c.outcomeOf(err, true)
			c.run.checker.recordWrite(r, n, outcome)
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// randomRow returns a random row of a group, or nil if it has none.
func (r *run) randomRow(g ident.GroupID, random *rand.Rand) *row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rows[g]) == 0 {
		return nil
	}
	return r.rows[g][random.IntN(len(r.rows[g]))]
}

// startCustomer schedules requests at the customer's rate, regardless of the outcome of earlier
// ones (open loop), and starts the sessions that run them.
func (r *run) startCustomer(ctx, loadCtx context.Context, wg *sync.WaitGroup, id ident.CustomerID, callers []*caller) {
	load := r.conf.Load
	if id == r.conf.Greedy {
		load = greedyLoad
	}
	rate := r.conf.Config.Customers[id].Rate * load / r.tokensPerRequest()
	due := make(chan time.Time, queueLength)
	t := r.tallies[id]
	wg.Add(1)
	go func() {
		defer wg.Done()
		defer close(due)
		scheduleRequests(loadCtx, due, rate, t)
	}()
	for _, c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for at := range due {
				if loadCtx.Err() != nil {
					break
				}
				c.runRequest(ctx, at)
			}
			c.close()
		}()
	}
}

// tokensPerRequest returns how many rate tokens a request of the mix spends on average.
func (r *run) tokensPerRequest() float64 {
	// A move spends a token for BEGIN and for each of its two updates, and none for COMMIT.
	const tokensOfMove = 3
	const tokensOfBoard = 1
	total, tokens := 0, 0
	for kind, frequency := range r.conf.Mix {
		cost := 1
		switch kind {
		case kindMove:
			cost = tokensOfMove
		case kindBoard:
			cost = tokensOfBoard
		}
		total += frequency
		tokens += frequency * cost
	}
	if total == 0 {
		return 1
	}
	return float64(tokens) / float64(total)
}

// scheduleRequests sends the due times of requests at an even rate, in requests a second; a
// request that finds the queue full is dropped and not counted as offered.
func scheduleRequests(ctx context.Context, due chan<- time.Time, rate float64, t *tally) {
	interval := time.Duration(float64(time.Second) / max(rate, 0.01))
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for now := time.Now(); !next.After(now); next = next.Add(interval) {
			select {
			case due <- next:
				t.countOffered()
			default:
			}
		}
		timer.Reset(time.Until(next))
	}
}

// progress writes a line a second to Config.Progress until the load ends.
func (r *run) progress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.conf.Progress == nil {
			continue
		}
		acked, refused, unknown := int64(0), int64(0), int64(0)
		for _, t := range r.tallies {
			t.mu.Lock()
			acked += t.outcomes[Acked]
			refused += t.outcomes[NotRun]
			unknown += t.outcomes[Unknown]
			t.mu.Unlock()
		}
		fmt.Fprintf(r.conf.Progress, "%4.0fs  done %d  not run %d  unknown %d\n", time.Since(r.began).Seconds(), acked, refused, unknown)
	}
}

// verifyFinalState gives the groups time to recover, then checks the rows that their primaries
// hold and the rates that the customers used.
func (r *run) verifyFinalState(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
	}
	rows := map[ident.GroupID]map[string]string{}
	for id, g := range r.fleet.Groups {
		if p := g.Primary(); p != nil {
			rows[id] = p.Rows()
		}
	}
	r.checker.checkFinalRows(rows)
	for id, c := range r.conf.Config.Customers {
		if excess := r.checker.overshoot(id, c.Rate, c.Burst); excess > 0 {
			r.checker.Violate(AboveRateAndBurst, "%s exceeded rate and burst by %.1f requests", id, excess)
		}
	}
}

// usage is a snapshot of cumulative resource use: CPU time of the process, calls to the platform
// and traffic between instances in bytes.
type usage struct {
	cpu             time.Duration
	platformReads   int64
	platformWrites  int64
	platformWatches int64
	readCounts      readCounts
	peerTraffic     float64
}

func (r *run) usage() usage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	calls := r.fleet.Platform.Calls()
	return usage{
		cpu:           time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		platformReads: calls.Reads, platformWrites: calls.Writes, platformWatches: calls.Watches, readCounts: countReads(r.fleet), peerTraffic: peerBytes(r.fleet),
	}
}

// journal returns the events of all instances since the load began.
func (r *run) journal() []jrnl.Event {
	var events []jrnl.Event
	for _, m := range r.fleet.Members() {
		events = append(events, m.Instance.Journal().Since(r.began)...)
	}
	jrnl.SortEvents(events)
	return events
}
