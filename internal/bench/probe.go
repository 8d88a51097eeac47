package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// probe writes to one group all the time and notes when its writes were acknowledged.
type probe struct {
	group ident.GroupID
	mu    sync.Mutex
	acks  []time.Time
}

// startProbes starts a few writers per group, so that one stuck request hides no gap.
func (r *run) startProbes(ctx context.Context, wait *sync.WaitGroup) {
	if _, wanted := r.conf.Config.Customers[probeCustomer]; !wanted {
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
			wait.Add(1)
			go func() {
				defer wait.Done()
				p.run(ctx, c)
			}()
		}
	}
}

const probeTime = 600 * time.Millisecond

func (p *probe) run(ctx context.Context, c *caller) {
	defer c.close()
	row := c.run.checker.newRow(c.group, c.name)
	if c.insertOwn(ctx, row) != nil {
		return
	}
	for ctx.Err() == nil {
		p.write(ctx, c, row)
		time.Sleep(probePause)
	}
}

// write gives each write little time, so that one that hangs is replaced by a fresh one.
func (p *probe) write(ctx context.Context, c *caller, r *row) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
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

// gap returns the longest time without an acknowledgement that began between two moments.
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
