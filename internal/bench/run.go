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

// Config makes a run.
type Config struct {
	Fleet  *fleet.Fleet
	Config conf.Config
	Mix    map[string]int
	// Worth says how much a request of each kind counts; a kind without counts 1.
	Worth    map[string]int
	Duration time.Duration
	// Load is each customer's demand as a part of its rate.
	Load float64
	// Greedy demands five times its rate.
	Greedy ident.CustomerID
	Faults []string
	Seed   uint64
	// Progress gets a line a second; nil gets none.
	Progress io.Writer
}

const (
	greedyTimes        = 5.0
	callersPerCustomer = 6
	// greedyCallers is how many sessions it takes to demand that much while being refused.
	greedyCallers = 24
	// queueLength bounds the requests that are due and wait for a session.
	queueLength = 1 << 14
	// probeCustomer writes all the time to time the changes of primary.
	probeCustomer = ident.CustomerID("bench-probe")
	probePause    = 5 * time.Millisecond
	settleTime    = 3 * time.Second
)

// AddProbe adds the customer that times the changes of primary.
func AddProbe(c *conf.Config) {
	c.Customers = maps.Clone(c.Customers)
	c.Customers[probeCustomer] = conf.Customer{Rate: 4000, Burst: 1000, Weight: 1}
}

// run is one run in progress.
type run struct {
	conf    Config
	fleet   *fleet.Fleet
	checker *Checker
	began   time.Time
	tallies map[ident.CustomerID]*tally
	probes  []*probe

	mu   sync.Mutex
	rows map[ident.GroupID][]*row
}

// Run offers the load, injections with the faults and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	r := &run{
		conf: c, fleet: c.Fleet, checker: NewChecker(), tallies: map[ident.CustomerID]*tally{},
		rows: map[ident.GroupID][]*row{}, began: time.Now(),
	}
	callers, err := r.prepare(ctx)
	if err != nil {
		return nil, err
	}
	before := r.usage()
	r.began = time.Now()
	for _, t := range r.tallies {
		t.began = r.began
	}
	loaded, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wait sync.WaitGroup
	r.startProbes(loaded, &wait)
	for id, own := range callers {
		r.startCustomer(ctx, loaded, &wait, id, own)
	}
	injected := r.inject(loaded)
	r.progress(loaded)
	wait.Wait()
	after := r.usage()
	injections := <-injected
	r.settle(ctx)
	return r.report(before, after, injections), nil
}

// prepare makes every session and the rows that it owns.
func (r *run) prepare(ctx context.Context) (map[ident.CustomerID][]*caller, error) {
	random := rand.New(rand.NewPCG(r.conf.Seed, 7))
	services := slices.Sorted(maps.Keys(r.conf.Config.Services))
	var mix []string
	for _, kind := range slices.Sorted(maps.Keys(r.conf.Mix)) {
		mix = append(mix, slices.Repeat([]string{kind}, r.conf.Mix[kind])...)
	}
	all := map[ident.CustomerID][]*caller{}
	var wait sync.WaitGroup
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
			wait.Add(1)
			go func() {
				defer wait.Done()
				if err := c.begin(ctx); err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}()
		}
	}
	wait.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return all, nil
	}
}

// begin inserts the session's rows, as often as it takes.
func (c *caller) begin(ctx context.Context) error {
	for at := range c.rows {
		c.rows[at] = c.run.checker.newRow(c.group, fmt.Sprintf("%s-own%d", c.name, at))
		if err := c.insertOwn(ctx, c.rows[at]); err != nil {
			return err
		}
		c.run.mu.Lock()
		c.run.rows[c.group] = append(c.run.rows[c.group], c.rows[at])
		c.run.mu.Unlock()
	}
	return nil
}

func (c *caller) insertOwn(ctx context.Context, r *row) error {
	const attempts = 50
	var err error
	for range attempts {
		if err = c.connect(ctx); err == nil {
			n := c.run.checker.propose(r)
			_, err = c.conn.Exec(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)", r.id, value(r.id, n))
			outcome := c.judge(err, true)
			c.run.checker.wrote(r, n, outcome)
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

func (r *run) anyRow(g ident.GroupID, random *rand.Rand) *row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rows[g]) == 0 {
		return nil
	}
	return r.rows[g][random.IntN(len(r.rows[g]))]
}

// startCustomer lets requests fall due at the customer's pace, whatever becomes of the earlier ones.
func (r *run) startCustomer(ctx, loaded context.Context, wait *sync.WaitGroup, id ident.CustomerID, callers []*caller) {
	load := r.conf.Load
	if id == r.conf.Greedy {
		load = greedyTimes
	}
	pace := r.conf.Config.Customers[id].Rate * load / r.tokensPerRequest()
	due := make(chan time.Time, queueLength)
	t := r.tallies[id]
	wait.Add(1)
	go func() {
		defer wait.Done()
		defer close(due)
		generate(loaded, due, pace, t)
	}()
	for _, c := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for at := range due {
				if loaded.Err() != nil {
					break
				}
				c.one(ctx, at)
			}
			c.close()
		}()
	}
}

// tokensPerRequest is how many statements of the rate a request of the mix costs on average.
func (r *run) tokensPerRequest() float64 {
	const tokensOfMove = 3
	const tokensOfBoard = 1
	total, tokens := 0, 0
	for kind, part := range r.conf.Mix {
		cost := 1
		switch kind {
		case kindMove:
			cost = tokensOfMove
		case kindBoard:
			cost = tokensOfBoard
		}
		total += part
		tokens += part * cost
	}
	if total == 0 {
		return 1
	}
	return float64(tokens) / float64(total)
}

// generate lets requests fall due evenly.
func generate(ctx context.Context, due chan<- time.Time, pace float64, t *tally) {
	gap := time.Duration(float64(time.Second) / max(pace, 0.01))
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for now := time.Now(); !next.After(now); next = next.Add(gap) {
			select {
			case due <- next:
				t.offer()
			default:
			}
		}
		timer.Reset(time.Until(next))
	}
}

// progress prints a line a second until the load ends.
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

// settle waits until every group has a primary that its servers follow, then compares what is kept.
func (r *run) settle(ctx context.Context) {
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
	r.checker.final(rows)
	for id, c := range r.conf.Config.Customers {
		if over := r.checker.overshoot(id, c.Rate, c.Burst); over > 0 {
			r.checker.Violate(AboveRate, "%s by %.1f requests", id, over)
		}
	}
}

// usage is what the process and the platform have been used so far.
type usage struct {
	cpu    time.Duration
	reads  int64
	writes int64
	waits  int64
	served served
	peers  float64
}

func (r *run) usage() usage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	calls := r.fleet.Platform.Calls()
	return usage{
		cpu:   time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		reads: calls.Reads, writes: calls.Writes, waits: calls.Watches, served: servedBy(r.fleet), peers: peerBytes(r.fleet),
	}
}

// journal returns the events of every instance since the run began.
func (r *run) journal() []jrnl.Event {
	var events []jrnl.Event
	for _, m := range r.fleet.Members() {
		events = append(events, m.Instance.Journal().Since(r.began)...)
	}
	jrnl.Order(events)
	return events
}
