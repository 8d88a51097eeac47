package owner

import (
	"cmp"
	"context"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/route"
	"geraniumseam.dev/pkg/ident"
)

// catchUpSlack is how much longer than estimated a read waits for a replica to catch up
// before it chooses a server again.
const catchUpSlack = 2 * time.Millisecond

// chooseServer returns a server that may serve the read and whether it is a replica. It waits
// for a replica to catch up where that is the cheapest.
func (g *Group) chooseServer(ctx context.Context, w *Work, r route.Request) (*server, bool, fault.Reason) {
	started := clock.Now()
	for {
		v := g.tracker.current.Load()
		switch c := g.routeChoice(r, v).(type) {
		case route.Serve:
			if s := g.at(c.Server); s != nil {
				return s, !c.Primary, fault.None
			}
		case route.Await:
			g.awaitReplica(ctx, c, r.Floor.Raise(r.SwitchFloor))
			r.MaxWait = max(0, w.Limits.ReadWait-clock.Since(started))
		case route.None:
			if reason := g.hopeless(w); reason != fault.None {
				return nil, false, reason
			}
			if !g.awaitAny(ctx, r) {
				return nil, false, fault.NoServer
			}
		}
		if ctx.Err() != nil {
			return nil, false, fault.NoServer
		}
	}
}

// awaitReplica waits until the replica has reached the floor, up to the estimated time
// plus catchUpSlack.
func (g *Group) awaitReplica(ctx context.Context, c route.Await, floor ident.Floor) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+catchUpSlack)
	defer cancel()
	awaited := g.at(c.Server)
	if awaited == nil {
		return
	}
	g.await(ctx, func(v *view) bool {
		s := &v.servers[awaited.at].status
		return floor.ReachedBy(cmp.Or(s.AppliedTerm, s.Term), s.Applied)
	})
}

// awaitAny waits until some server may serve the read.
func (g *Group) awaitAny(ctx context.Context, r route.Request) bool {
	return g.await(ctx, func(v *view) bool {
		_, none := g.routeChoice(r, v).(route.None)
		return !none
	})
}

// routeChoice returns the routing decision on a read, as modified by the baseline.
func (g *Group) routeChoice(r route.Request, v *view) route.Choice {
	switch {
	case g.conf.Baseline.PrimaryOnly && v.primary != noPrimary:
		return route.Serve{Server: g.allServers()[v.primary].ID, Primary: true}
	case g.conf.Baseline.FirstReplica:
		r.Floor, r.SwitchFloor = ident.Floor{}, ident.Floor{}
	}
	return route.Choose(r, g.candidates(r, v))
}

// candidates describes the servers of the group to the routing decision.
func (g *Group) candidates(r route.Request, v *view) []route.Server {
	servers := g.allServers()[:len(v.servers)]
	list := make([]route.Server, 0, len(servers))
	leaving := *g.leaving.Load()
	now := clock.Now()
	for at, s := range servers {
		report := &v.servers[at]
		if report.removed {
			continue
		}
		load, service := s.pool.load()
		list = append(list, route.Server{})
		c := &list[len(list)-1]
		c.ID, c.Primary = s.ID, at == v.primary
		c.Term, c.Applied = cmp.Or(report.status.AppliedTerm, report.status.Term), report.status.Applied
		c.Usable = g.usable(report, now)
		c.Leaving, c.Region = leaving[s.ID] || g.isEvacuated(s), g.regionOf(s.Center)
		// A cold server is chosen for as long as its next place comes sooner than an answer elsewhere.
		c.Latency, c.Load, c.ServiceTime, c.Slots = report.latency+g.coldWait(s, now), load, service, s.pool.conf.slots
		c.OtherLoad, c.FailureRate = s.pool.others.Load().At(now), s.pool.failures.Load().At(now)
		if r.MaxAge > 0 {
			c.Age, c.AgeKnown = g.tracker.dataAge(now, c.Term, c.Applied)
		}
		if wanted := r.Floor.Raise(r.SwitchFloor); !c.Primary && c.Applied < wanted.Position {
			c.CatchUpTime = g.tracker.catchUpTime(report)
		}
	}
	return list
}

// usable reports whether a server answered its last poll, not too long ago, with a
// consistent status.
func (g *Group) usable(r *report, now time.Time) bool {
	if !r.known || r.missed || r.status.Applied > r.status.Received {
		return false
	}
	return now.Sub(r.answered) < 2*g.defaults.Load().Silence
}
