package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// probe writes to one group continuously and records when each write was acknowledged.
type probe struct {
	group ident.GroupID
	mu    sync.Mutex
	acks  []time.Time
}

// startProbes starts several writers per service, so that a single stuck request does not count
// as a gap of the whole group.
func (r *run) startProbes(ctx context.Context, wg *sync.WaitGroup) {
	if _, enabled := r.conf.Config.Customers[probeCustomer]; !enabled {
		return
	}
	const writers = 3
	for service, s := range r.conf.Config.Services {
		p := &probe{group: s.Group}
		r.probes = append(r.probes, p)
		for at := range writers {
			c := &caller{
				run: r, name: fmt.Sprintf("probe-%s-%d", service, at), customer: probeCustomer, database: string(service), group: s.Group,
				random: rand.New(rand.NewPCG(r.conf.Seed, uint64(at))), tally: newTally(r.began),
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.run(ctx, c)
			}()
		}
	}
}

// probeTimeout bounds one write of a probe, with connecting.
const probeTimeout = 600 * time.Millisecond

func (p *probe) run(ctx context.Context, c *caller) {
	defer c.close()
	row := c.run.checker.newRow(c.group, c.name)
	if c.insertRow(ctx, row) != nil {
		return
	}
	for ctx.Err() == nil {
		p.write(ctx, c, row)
		time.Sleep(probeInterval)
	}
}

// write sends one write with a short timeout, so that a hanging write soon gives way to a new one.
func (p *probe) write(ctx context.Context, c *caller, r *row) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if c.connect(ctx) != nil {
		return
	}
	outcome, _, _ := c.update(ctx, r)
	if outcome != Acked {
		return
	}
	p.mu.Lock()
	p.acks = append(p.acks, time.Now())
	p.mu.Unlock()
}

// gap returns the longest time between two successive acknowledgements, among those pairs that
// overlap the period from..to.
func (p *probe) gap(from, to time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for at := 1; at < len(p.acks); at++ {
		before, after := p.acks[at-1], p.acks[at]
		if after.Before(from) || before.After(to) {
			continue
		}
		longest = max(longest, after.Sub(before))
	}
	return longest
}
