package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/route"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// runRead runs a request on whichever server may serve it at the least cost.
func (g *Group) runRead(ctx context.Context, w *Work, sink proto.Sink) Result {
	floor, ok := g.floorOf(ctx, w)
	if !ok {
		return notRun(fault.NoPrimary)
	}
	return g.try(ctx, w, func() attempt { return g.readOnce(ctx, w, floor, sink) })
}

// stay returns the server that the session read last if it is still the best
// choice, and whether it is a replica; otherwise nil.
func (g *Group) stay(w *Work, floor ident.Floor) (*server, bool) {
	if w.Seen.Server == "" || w.Seen.Owner != g.conf.Self {
		return nil, false
	}
	c, ok := g.pick(requestOf(w, floor, ident.Floor{}), g.board.current.Load()).(route.Serve)
	if !ok || c.Server != w.Seen.Server {
		return nil, false
	}
	return g.servers[g.index[c.Server]], !c.Primary
}

func requestOf(w *Work, floor, elsewhere ident.Floor) route.Request {
	return route.Request{
		Floor: floor, Elsewhere: elsewhere, MaxAge: w.MaxAge, Wait: w.Limits.ReadWait,
		PrimaryCost: w.Limits.PrimaryCost, Last: w.Seen.Server,
	}
}

// floorOf returns the session's floor; one without takes the confirmed primary's position.
func (g *Group) floorOf(ctx context.Context, w *Work) (ident.Floor, bool) {
	if w.Settled || w.MaxAge > 0 || w.Kind == stmt.Set || g.conf.Baseline.FirstReplica {
		return w.Floor, true
	}
	floor, ok := g.confirm(ctx)
	return w.Floor.Raise(floor), ok
}

// elsewhere returns what a server other than the one last read must have
// reached: as much as the primary had at some time after that read.
func (g *Group) elsewhere(ctx context.Context, w *Work) (ident.Floor, bool) {
	if w.Seen.Server == "" || w.MaxAge > 0 || w.Kind == stmt.Set || g.conf.Baseline.FirstReplica {
		return ident.Floor{}, true
	}
	if w.Seen.Owner == g.conf.Self {
		if bound, ok := g.boundSince(w.Seen); ok {
			return bound, true
		}
	}
	return g.confirm(ctx)
}

// boundSince returns the least state known to include a read that ended at the session's mark.
func (g *Group) boundSince(seen Seen) (ident.Floor, bool) {
	v := g.board.current.Load()
	ended := time.Unix(0, seen.Mark)
	if at, ok := g.index[seen.Server]; ok {
		if r := &v.servers[at]; r.known && r.asked.After(ended) {
			return ident.Floor{Term: r.status.Term, Position: r.status.Applied}, true
		}
	}
	if asked, floor, ok := v.confirmed(); ok && asked.After(ended) {
		return floor, true
	}
	return ident.Floor{}, false
}

func (g *Group) readOnce(ctx context.Context, w *Work, floor ident.Floor, sink proto.Sink) attempt {
	s, replica := g.stay(w, floor)
	if s == nil {
		elsewhere, ok := g.elsewhere(ctx, w)
		if !ok {
			return attempt{result: notRun(fault.NoPrimary)}
		}
		var reason fault.Reason
		if s, replica, reason = g.choose(ctx, w, floor, elsewhere); s == nil {
			return attempt{result: notRun(reason)}
		}
	}
	got := s.pool.acquire(ctx, flowOf(w), w.Weight, min(w.Limits.Queue, untilDeadline(ctx)))
	if got.conn == nil {
		again := got.reason == fault.ConnectFailed || got.reason == fault.ServerFull
		if again {
			g.board.miss(s.at)
		}
		return attempt{result: Result{Outcome: fault.NotRun, Reason: got.reason, RetryAfter: got.wait}, again: again}
	}
	return g.readOn(ctx, w, s, got.conn, replica, floor, sink)
}

func (g *Group) readOn(ctx context.Context, w *Work, s *server, c *pooled, replica bool, floor ident.Floor, sink proto.Sink) attempt {
	held := &bufferedSink{sink: sink, whole: g.mayReadUnheld(replica)}
	request := w.Request
	request.Position = held.whole
	began := time.Now()
	answer, err := s.pool.run(ctx, c, &request, held, true)
	if err != nil {
		s.pool.release(c, 0)
		return g.brokenRead(ctx, err, held)
	}
	result := Result{
		Floor: floor, TxStatus: answer.TxStatus, Replica: replica, ErrorCode: answer.ErrorCode,
		Seen: Seen{Owner: g.conf.Self, Server: s.ID, Mark: time.Now().UnixNano()},
	}
	if answer.TxStatus != 'I' {
		return attempt{result: g.openReading(s, c, result, replica, held)}
	}
	if w.Kind == stmt.Set {
		c.Taint()
	}
	s.pool.release(c, time.Since(began))
	if held.whole && answer.HasStatus && !g.seenHeld(ctx, w, answer.Status) {
		return attempt{result: notRun(fault.AnswerUnconfirmed), again: true}
	}
	if err := held.flush(); err != nil {
		return attempt{result: notRun(fault.PeerLost)}
	}
	return attempt{result: result}
}

// mayReadUnheld reports whether a read there may see what no majority holds yet,
// and what a change of primary could therefore take back. A replica of a group of
// three makes a majority with its primary.
func (g *Group) mayReadUnheld(replica bool) bool {
	const heldByTwo = 3
	return !replica || len(g.servers) > heldByTwo
}

// seenHeld waits until a majority holds all that a read may have seen.
func (g *Group) seenHeld(ctx context.Context, w *Work, s group.Status) bool {
	if g.conf.Baseline.AckAtOnce || g.conf.Baseline.FirstReplica || w.MaxAge > 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, w.Limits.Ack)
	defer cancel()
	held := false
	g.await(ctx, func(v *view) bool {
		position, ok := v.held(s)
		held = ok && position >= s.Applied
		return held || v.superseded(s.Term)
	})
	return held
}

// brokenRead retries a read of which nothing has been handed on.
func (g *Group) brokenRead(ctx context.Context, err error, held *bufferedSink) attempt {
	var failed *proto.RunError
	if ctx.Err() != nil {
		return attempt{result: notRun(reasonOf(ctx))}
	}
	if held.passed || !errors.As(err, &failed) {
		return attempt{result: unknown(fault.AnswerLost)}
	}
	if isSilent(err) {
		return attempt{result: notRun(fault.ConnectionSilent), again: true}
	}
	return attempt{result: notRun(fault.ConnectionLost), again: true}
}

// awaitSlack is how much longer than estimated a read waits for a replica before it chooses anew.
const awaitSlack = 2 * time.Millisecond

// choose returns a server that may serve the read, waiting where that is the cheapest.
func (g *Group) choose(ctx context.Context, w *Work, floor, elsewhere ident.Floor) (*server, bool, fault.Reason) {
	r := requestOf(w, floor, elsewhere)
	began := time.Now()
	for {
		v := g.board.current.Load()
		switch c := g.pick(r, v).(type) {
		case route.Serve:
			return g.servers[g.index[c.Server]], !c.Primary, fault.None
		case route.Await:
			g.awaitReplica(ctx, c, floor.Raise(elsewhere))
			r.Wait = max(0, w.Limits.ReadWait-time.Since(began))
		case route.None:
			if !g.awaitAny(ctx, r) {
				return nil, false, fault.NoServer
			}
		}
		if ctx.Err() != nil {
			return nil, false, fault.NoServer
		}
	}
}

// awaitReplica waits until the replica has arrived or the estimate has passed.
func (g *Group) awaitReplica(ctx context.Context, c route.Await, floor ident.Floor) {
	ctx, cancel := context.WithTimeout(ctx, c.For+awaitSlack)
	defer cancel()
	at := g.index[c.Server]
	g.await(ctx, func(v *view) bool {
		s := &v.servers[at].status
		return floor.ReachedBy(s.Term, s.Applied)
	})
}

// awaitAny waits until some server may serve the read.
func (g *Group) awaitAny(ctx context.Context, r route.Request) bool {
	return g.await(ctx, func(v *view) bool {
		_, none := g.pick(r, v).(route.None)
		return !none
	})
}

func (g *Group) pick(r route.Request, v *view) route.Choice {
	switch {
	case g.conf.Baseline.PrimaryOnly && v.primary != noPrimary:
		return route.Serve{Server: g.servers[v.primary].ID, Primary: true}
	case g.conf.Baseline.FirstReplica:
		r.Floor, r.Elsewhere = ident.Floor{}, ident.Floor{}
	}
	return route.Choose(r, g.candidates(r, v))
}

// candidates describes every server to the decision.
func (g *Group) candidates(r route.Request, v *view) []route.Server {
	list := make([]route.Server, len(g.servers))
	leaving := *g.leaving.Load()
	now := time.Now()
	for at, s := range g.servers {
		report := &v.servers[at]
		load, service := s.pool.load()
		c := &list[at]
		c.ID, c.Primary = s.ID, at == v.primary
		c.Term, c.Applied = report.status.Term, report.status.Applied
		c.Usable = g.usable(report, now)
		c.Leaving = leaving[s.ID]
		c.Latency, c.Load, c.Service, c.Slots = report.latency, load, service, g.conf.Group.Slots
		if r.MaxAge > 0 {
			c.Age, c.Aged = g.board.age(now, c.Term, c.Applied)
		}
		if wanted := r.Floor.Raise(r.Elsewhere); !c.Primary && c.Applied < wanted.Position {
			c.Arrival = g.board.arrival(report)
		}
	}
	return list
}

// usable reports whether a server answers and its report can be believed.
func (g *Group) usable(r *report, now time.Time) bool {
	if !r.known || r.missed || r.status.Applied > r.status.Received {
		return false
	}
	return now.Sub(r.got) < 2*g.limits.Load().Silence
}
