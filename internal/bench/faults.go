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

// injection describes a fault that was injected.
type injection struct {
	Name string `json:"name"`
	// What is the target of the fault, such as a server or a data centre.
	What  string        `json:"what"`
	Group ident.GroupID `json:"group,omitempty"`
	At    time.Time     `json:"at"`
	// Took is the measured duration, for faults that measure one.
	Took time.Duration `json:"took,omitempty"`
	// Expect lists the kinds of event that the journal must contain.
	Expect []string `json:"expect,omitempty"`
}

// Fault is a fault that can be injected. Inject returns its target and a function that heals it.
type Fault struct {
	Name   string
	Help   string
	Expect []jrnl.Kind
	Inject func(ctx context.Context, s *injector) (what string, heal func())
}

// injector is the context of a fault's injection: the fleet and the group to inject it into.
type injector struct {
	run    *run
	fleet  *fleet.Fleet
	random *rand.Rand
	group  ident.GroupID
	// took is set by faults that measure a duration.
	took time.Duration
}

func (s *injector) primary() *dbase.Server { return s.fleet.Groups[s.group].Primary() }

// replica returns a server of the group that is not the primary.
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

// noHeal is for faults that end by themselves.
func noHeal() {}

// failoverEvents are the kinds of event that a failover records.
var failoverEvents = []jrnl.Kind{jrnl.PrimarySuspected, jrnl.MajoritySealed, jrnl.ServerPromoted}

// Faults lists every fault by name.
var Faults = []Fault{
	{"kill-primary", "the primary's process crashes and restarts later", failoverEvents, func(_ context.Context, s *injector) (string, func()) {
		p := s.primary()
		p.Kill()
		return string(p.ID()), func() { _ = p.Restart() }
	}},
	{"freeze-primary", "the primary stops answering on all connections", failoverEvents, func(_ context.Context, s *injector) (string, func()) {
		p := s.primary()
		p.Faults().Freeze.Store(true)
		return string(p.ID()), func() { p.Faults().Freeze.Store(false) }
	}},
	{"cut-primary", "the primary's data centre is cut off from the others", failoverEvents, func(_ context.Context, s *injector) (string, func()) {
		center := s.centerOf(s.primary().ID())
		s.fleet.PartitionCenter(center, false, true)
		return string(center), func() { s.fleet.PartitionCenter(center, false, false) }
	}},
	{"cut-center", "a data centre is cut off from the others and from the platform", nil, func(_ context.Context, s *injector) (string, func()) {
		center := s.centerOf(s.replica().ID())
		s.fleet.PartitionCenter(center, true, true)
		return string(center), func() { s.fleet.PartitionCenter(center, true, false) }
	}},
	{"silence-connections", "all open connections to a group stop answering; new ones work", nil, func(_ context.Context, s *injector) (string, func()) {
		for _, server := range s.fleet.Groups[s.group].Servers() {
			server.SilenceConnections()
		}
		return string(s.group), noHeal
	}},
	{"lag-replica", "one replica applies entries 3 s late", nil, func(_ context.Context, s *injector) (string, func()) {
		r := s.replica()
		r.Faults().ApplyLag.Store(int64(3 * time.Second))
		return string(r.ID()), func() { r.Faults().ApplyLag.Store(0) }
	}},
	{"lag-all", "all replicas apply entries 3 s late", nil, func(_ context.Context, s *injector) (string, func()) {
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
		return string(s.primary().ID()), noHeal
	}},
	{"cut-before-writes", "the primary closes the connection before it runs each of 5 writes", nil, func(_ context.Context, s *injector) (string, func()) {
		s.primary().Faults().CloseBeforeWrites.Store(5)
		return string(s.primary().ID()), noHeal
	}},
	{"surplus-answers", "a replica sends an extra answer after each of 5 statements", nil, func(_ context.Context, s *injector) (string, func()) {
		s.replica().Faults().SurplusAnswers.Store(5)
		return string(s.replica().ID()), noHeal
	}},
	{"split-answers", "the primary sends its answers a few bytes at a time", nil, func(_ context.Context, s *injector) (string, func()) {
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
		return "platform", noHeal
	}},
	{"platform-restored", "the platform comes back from a copy that is 3 s old", []jrnl.Kind{jrnl.PlatformRestored}, func(_ context.Context, s *injector) (string, func()) {
		s.fleet.Platform.Restore(3 * time.Second)
		return "platform", noHeal
	}},
	{"kill-instance", "an entry instance crashes", []jrnl.Kind{jrnl.PeerLost}, func(_ context.Context, s *injector) (string, func()) {
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
			ready, cancel := context.WithTimeout(ctx, connectTimeout)
			_ = s.fleet.AwaitReady(ready)
			cancel()
			s.fleet.Retire(context.WithoutCancel(ctx), m)
			count++
		}
		return fmt.Sprintf("%d instances", count), noHeal
	}},
	{"change-config", "an operator changes the configuration; measures the time until it is in force on every instance", []jrnl.Kind{jrnl.ConfigInForce}, changeConfig},
	{"withdraw-key", "a customer's key is withdrawn; measures the time until its callers' last success", []jrnl.Kind{jrnl.CallersEnded}, withdrawKey},
	{"leave-server", "the configuration marks the primary as leaving", []jrnl.Kind{jrnl.ServerLeaving, jrnl.ServerPromoted}, leaveServer},
}

func changeConfig(ctx context.Context, s *injector) (string, func()) {
	began := time.Now()
	version, err := s.fleet.Change(ctx, "bench: measure how long a change takes", func(c *conf.Config) { c.Defaults.QueueLength++ })
	if err != nil {
		return err.Error(), noHeal
	}
	for _, m := range s.fleet.Members() {
		for m.Instance.Snapshot().Version.Before(version) && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	s.took = time.Since(began)
	return fmt.Sprintf("version %s", version), noHeal
}

// withdrawKey withdraws a random customer's key and measures how long its requests keep succeeding.
func withdrawKey(ctx context.Context, s *injector) (string, func()) {
	customers := slices.Sorted(maps.Keys(s.run.tallies))
	customer := customers[s.random.IntN(len(customers))]
	began := time.Now()
	_, err := s.fleet.Change(ctx, "bench: withdraw a key", func(c *conf.Config) { delete(c.Keys, ident.KeyID(customer)+"-first") })
	if err != nil {
		return err.Error(), noHeal
	}
	const maxDelay = 3 * time.Second
	last := s.lastSuccess(ctx, customer, began.Add(maxDelay+time.Second))
	s.took = last.Sub(began)
	if s.took > maxDelay {
		s.run.checker.Violate(WithdrawnKeyAlive, "the key of %s still worked %v after it was withdrawn", customer, s.took)
	}
	return string(customer), noHeal
}

// lastSuccess returns the time of a customer's last successful request before the deadline.
func (s *injector) lastSuccess(ctx context.Context, id ident.CustomerID, deadline time.Time) time.Time {
	t := s.run.tallies[id]
	last, count := time.Now(), int64(-1)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		t.mu.Lock()
		current := t.outcomes[Acked]
		t.mu.Unlock()
		if current != count {
			last, count = time.Now(), current
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
		return err.Error(), noHeal
	}
	return string(id), noHeal
}

// FaultNamed returns the fault with the given name.
func FaultNamed(name string) (Fault, bool) {
	for _, f := range Faults {
		if f.Name == name {
			return f, true
		}
	}
	return Fault{}, false
}

// The times of injection and healing, as fractions of the run's duration.
const (
	injectAt = 0.3
	healAt   = 0.65
)

// inject injects all faults into one group at a seeded random time and heals them later. It returns
// at once; the channel receives the injections.
func (r *run) inject(ctx context.Context) <-chan []injection {
	done := make(chan []injection, 1)
	random := rand.New(rand.NewPCG(r.conf.Seed, 11))
	groups := slices.Sorted(maps.Keys(r.conf.Config.Groups))
	group := groups[random.IntN(len(groups))]
	go func() {
		var injected []injection
		var heals []func()
		r.sleepUntil(ctx, injectAt+0.1*random.Float64())
		for _, name := range r.conf.Faults {
			f, ok := FaultNamed(name)
			if !ok {
				continue
			}
			s := &injector{run: r, fleet: r.fleet, random: random, group: group}
			at := time.Now()
			target, heal := f.Inject(ctx, s)
			heals = append(heals, heal)
			record := injection{Name: name, What: target, Group: group, At: at, Took: s.took}
			for _, k := range f.Expect {
				record.Expect = append(record.Expect, k.String())
			}
			injected = append(injected, record)
		}
		r.sleepUntil(ctx, healAt)
		for _, heal := range heals {
			heal()
		}
		done <- injected
	}()
	return done
}

// sleepUntil waits until the given fraction of the run's duration has passed.
func (r *run) sleepUntil(ctx context.Context, fraction float64) {
	wait := time.Until(r.began.Add(time.Duration(fraction * float64(r.conf.Duration))))
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
