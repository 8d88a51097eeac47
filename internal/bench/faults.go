package bench

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

// injection is one fault as it was injected.
type injection struct {
	Name  string        `json:"name"`
	What  string        `json:"what"`
	Group ident.GroupID `json:"group,omitempty"`
	At    time.Time     `json:"at"`
	// Took is how long the system needed, where the fault times something.
	Took time.Duration `json:"took,omitempty"`
	// Expect are the kinds of event that explain the fault.
	Expect []string `json:"expect,omitempty"`
}

// Fault is one thing that can go wrong; it returns what to undo.
type Fault struct {
	Name   string
	Help   string
	Expect []jrnl.Kind
	Inject func(ctx context.Context, s *injector) (what string, heal func())
}

// injector knows what faults are injected on.
type injector struct {
	run    *run
	fleet  *fleet.Fleet
	random *rand.Rand
	group  ident.GroupID
	took   time.Duration
}

func (s *injector) primary() *dbase.Server { return s.fleet.Groups[s.group].Primary() }

func (s *injector) replica() *dbase.Server {
	p := s.primary()
	for _, server := range s.fleet.Groups[s.group].Servers() {
		if server != p {
			return server
		}
	}
	return p
}

func (s *injector) member() *fleet.Member {
	all := s.fleet.Members()
	return all[s.random.IntN(len(all))]
}

func (s *injector) centerOf(id ident.ServerID) ident.CenterID {
	for _, server := range s.run.conf.Config.Groups[s.group].Servers {
		if server.ID == id {
			return server.Center
		}
	}
	return ""
}

func nothing() {}

var replaced = []jrnl.Kind{jrnl.PrimarySuspect, jrnl.MajoritySealed, jrnl.ServerPromoted}

// Faults lists every fault by name.
var Faults = []Fault{
	{"kill-primary", "the primary's process dies and comes back later", replaced, func(_ context.Context, s *injector) (string, func()) {
		p := s.primary()
		p.Kill()
		return string(p.ID()), func() { _ = p.Restart() }
	}},
	{"freeze-primary", "the primary answers nothing on any connection", replaced, func(_ context.Context, s *injector) (string, func()) {
		p := s.primary()
		p.Faults().Freeze.Store(true)
		return string(p.ID()), func() { p.Faults().Freeze.Store(false) }
	}},
	{"cut-primary", "the primary's data centre is cut off from the others", replaced, func(_ context.Context, s *injector) (string, func()) {
		center := s.centerOf(s.primary().ID())
		s.fleet.PartitionCenter(center, false, true)
		return string(center), func() { s.fleet.PartitionCenter(center, false, false) }
	}},
	{"cut-center", "a data centre is cut off from the others and from the platform", nil, func(_ context.Context, s *injector) (string, func()) {
		center := s.centerOf(s.replica().ID())
		s.fleet.PartitionCenter(center, true, true)
		return string(center), func() { s.fleet.PartitionCenter(center, true, false) }
	}},
	{"silence-connections", "all open connections to a group go silent; new ones work", nil, func(_ context.Context, s *injector) (string, func()) {
		for _, server := range s.fleet.Groups[s.group].Servers() {
			server.SilenceConnections()
		}
		return string(s.group), nothing
	}},
	{"lag-replica", "one replica applies 3 s late", nil, func(_ context.Context, s *injector) (string, func()) {
		r := s.replica()
		r.Faults().ApplyLag.Store(int64(3 * time.Second))
		return string(r.ID()), func() { r.Faults().ApplyLag.Store(0) }
	}},
	{"lag-all", "all replicas apply 3 s late", nil, func(_ context.Context, s *injector) (string, func()) {
		for _, g := range s.fleet.Groups {
			for _, server := range g.Servers() {
				server.Faults().ApplyLag.Store(int64(3 * time.Second))
			}
		}
		return "every group", func() {
			for _, g := range s.fleet.Groups {
				for _, server := range g.Servers() {
					server.Faults().ApplyLag.Store(0)
				}
			}
		}
	}},
	{"slow-server", "a replica takes 50 ms longer for each statement", nil, func(_ context.Context, s *injector) (string, func()) {
		r := s.replica()
		r.Faults().StatementDelay.Store(int64(50 * time.Millisecond))
		return string(r.ID()), func() { r.Faults().StatementDelay.Store(0) }
	}},
	{"lose-commits", "the answers of 5 commits are lost", nil, func(_ context.Context, s *injector) (string, func()) {
		s.primary().Faults().LoseCommitAnswers.Store(5)
		return string(s.primary().ID()), nothing
	}},
	{"cut-before-writes", "the primary cuts the connection before it runs 5 writes", nil, func(_ context.Context, s *injector) (string, func()) {
		s.primary().Faults().CloseBeforeWrites.Store(5)
		return string(s.primary().ID()), nothing
	}},
	{"surplus-answers", "5 answers come with one too many", nil, func(_ context.Context, s *injector) (string, func()) {
		s.replica().Faults().SurplusAnswers.Store(5)
		return string(s.replica().ID()), nothing
	}},
	{"split-answers", "a primary's answers come a few bytes at a time", nil, func(_ context.Context, s *injector) (string, func()) {
		p := s.primary()
		p.Faults().SplitAnswers.Store(true)
		return string(p.ID()), func() { p.Faults().SplitAnswers.Store(false) }
	}},
	{"platform-down", "the platform answers every call with 503", []jrnl.Kind{jrnl.PlatformLost}, func(_ context.Context, s *injector) (string, func()) {
		s.fleet.Platform.Faults().Outage.Store(true)
		return "platform", func() { s.fleet.Platform.Faults().Outage.Store(false) }
	}},
	{"platform-loses-answers", "the answers of 10 writes to the platform are lost", nil, func(_ context.Context, s *injector) (string, func()) {
		s.fleet.Platform.Faults().LoseAnswers.Store(10)
		return "platform", nothing
	}},
	{"kill-instance", "an entry instance dies", []jrnl.Kind{jrnl.PeerLost}, func(_ context.Context, s *injector) (string, func()) {
		m := s.member()
		s.fleet.Kill(m)
		return string(m.ID), func() { _, _ = s.fleet.Add(m.Center) }
	}},
	{"replace-all", "every instance is replaced, one after the other", nil, func(ctx context.Context, s *injector) (string, func()) {
		count := 0
		for _, m := range s.fleet.Members() {
			if ctx.Err() != nil {
				break
			}
			if _, err := s.fleet.Add(m.Center); err != nil {
				break
			}
			ready, cancel := context.WithTimeout(ctx, connectTime)
			_ = s.fleet.AwaitReady(ready)
			cancel()
			s.fleet.Retire(context.WithoutCancel(ctx), m)
			count++
		}
		return fmt.Sprintf("%d instances", count), nothing
	}},
	{"change-config", "an operator changes the configuration; timed until it is in force everywhere", []jrnl.Kind{jrnl.ConfigInForce}, changeConfig},
	{"withdraw-key", "a customer's second key is withdrawn; timed until its connected caller is out", []jrnl.Kind{jrnl.CallersEnded}, withdrawKey},
	{"leave-server", "the configuration says that the primary is about to be taken away", []jrnl.Kind{jrnl.ServerLeaving, jrnl.ServerPromoted}, leaveServer},
}

func changeConfig(ctx context.Context, s *injector) (string, func()) {
	began := time.Now()
	version, err := s.fleet.Change(ctx, "bench: measure how long a change takes", func(c *conf.Config) { c.Defaults.QueueLength++ })
	if err != nil {
		return err.Error(), nothing
	}
	for _, m := range s.fleet.Members() {
		for m.Instance.Snapshot().Version < version && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	s.took = time.Since(began)
	return fmt.Sprintf("version %d", version), nothing
}

// withdrawKey connects with the probe's key through every instance and times how long it goes on working.
func withdrawKey(ctx context.Context, s *injector) (string, func()) {
	customers := slices.Sorted(maps.Keys(s.run.tallies))
	victim := customers[s.random.IntN(len(customers))]
	began := time.Now()
	_, err := s.fleet.Change(ctx, "bench: withdraw a key", func(c *conf.Config) { delete(c.Keys, ident.KeyID(victim)+"-first") })
	if err != nil {
		return err.Error(), nothing
	}
	const bound = 3 * time.Second
	last := s.lastSuccess(ctx, victim, began.Add(bound+time.Second))
	s.took = last.Sub(began)
	if s.took > bound {
		s.run.checker.Violate(LateKey, "the key of %s worked %v after it was withdrawn", victim, s.took)
	}
	return string(victim), nothing
}

// lastSuccess watches a customer's counted successes until the deadline.
func (s *injector) lastSuccess(ctx context.Context, id ident.CustomerID, until time.Time) time.Time {
	t := s.run.tallies[id]
	last, count := time.Now(), int64(-1)
	for time.Now().Before(until) && ctx.Err() == nil {
		t.mu.Lock()
		now := t.outcomes[Acked]
		t.mu.Unlock()
		if now != count {
			last, count = time.Now(), now
		}
		time.Sleep(5 * time.Millisecond)
	}
	return last
}

func leaveServer(ctx context.Context, s *injector) (string, func()) {
	id := s.primary().ID()
	_, err := s.fleet.Change(ctx, "bench: a server is about to leave", func(c *conf.Config) {
		g := c.Groups[s.group]
		g.Servers = slices.Clone(g.Servers)
		for at := range g.Servers {
			g.Servers[at].Leaving = g.Servers[at].ID == id
		}
		c.Groups[s.group] = g
	})
	if err != nil {
		return err.Error(), nothing
	}
	return string(id), nothing
}

// FaultNamed finds a fault.
func FaultNamed(name string) (Fault, bool) {
	for _, f := range Faults {
		if f.Name == name {
			return f, true
		}
	}
	return Fault{}, false
}

const (
	injectAt = 0.3
	healAt   = 0.65
)

// injection injections with every fault at seeded moments and heals them later.
func (r *run) inject(ctx context.Context) <-chan []injection {
	done := make(chan []injection, 1)
	random := rand.New(rand.NewPCG(r.conf.Seed, 11))
	groups := slices.Sorted(maps.Keys(r.conf.Config.Groups))
	group := groups[random.IntN(len(groups))]
	go func() {
		var injected []injection
		var heals []func()
		r.until(ctx, injectAt+0.1*random.Float64())
		for _, name := range r.conf.Faults {
			f, ok := FaultNamed(name)
			if !ok {
				continue
			}
			s := &injector{run: r, fleet: r.fleet, random: random, group: group}
			at := time.Now()
			what, heal := f.Inject(ctx, s)
			heals = append(heals, heal)
			one := injection{Name: name, What: what, Group: group, At: at, Took: s.took}
			for _, k := range f.Expect {
				one.Expect = append(one.Expect, k.String())
			}
			injected = append(injected, one)
		}
		r.until(ctx, healAt)
		for _, heal := range heals {
			heal()
		}
		done <- injected
	}()
	return done
}

// until waits for a moment of the run, given as a part of it.
func (r *run) until(ctx context.Context, part float64) {
	wait := time.Until(r.began.Add(time.Duration(part * float64(r.conf.Duration))))
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
