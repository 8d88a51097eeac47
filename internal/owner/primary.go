package owner

import (
	"context"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// primaryFor returns the primary to run the work on. A replaced primary may still
// answer the reads of a transaction, so a transaction needs one that is known to have
// still been the primary when the request arrived.
func (g *Group) primaryFor(ctx context.Context, w *Work, arrived time.Time) (*server, Result) {
	if w.Kind == stmt.Begin && g.conf.Driver.Fenced() {
		return g.awaitLeasedPrimary(ctx, w, arrived)
	}
	return g.awaitPrimary(ctx, w)
}

// awaitPrimary returns the primary, waiting for one during a failover.
func (g *Group) awaitPrimary(ctx context.Context, w *Work) (*server, Result) {
	return g.awaitUsablePrimary(ctx, w, func(v *view) bool { return true })
}

// awaitUsablePrimary waits for a usable primary and a view that accept reports true for. If no
// primary is to be expected within the maximum queue wait, the work is refused early,
// with the time after which to retry. It is refused at once if another owner may be able to run it.
func (g *Group) awaitUsablePrimary(ctx context.Context, w *Work, accept func(*view) bool) (*server, Result) {
	var found *server
	usable := func(v *view) bool {
		found = nil
		if g.hasUsablePrimary(v) {
			g.noPrimarySince.Store(0)
			if s := g.allServers()[v.primary]; g.mayRunAt(w, s) && accept(v) {
				found = s
			}
		}
		return found != nil
	}
	if g.foreignPrimary(w) {
		g.conf.evacuees.foreign.Inc()
		return nil, notSent(fault.NoHomeServer)
	}
	if usable(g.tracker.current.Load()) {
		return found, Result{}
	}
	if after, evacuated := g.refuseEvacuated(); evacuated {
		refusal := notSent(fault.Evacuated)
		refusal.RetryAfter = admit.Jitter(after, g.random())
		return nil, refusal
	}
	since := g.primaryAbsence()
	wait, after := admit.PrimaryWait(since, g.maxQueueWait(ctx, w))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if g.await(ctx, func(v *view) bool { return usable(v) || g.isUnproven(v) }) && found != nil {
		return found, Result{}
	}
	if usable(g.tracker.current.Load()) {
		// It has become usable as the wait ended.
		return found, Result{}
	}
	refusal := notSent(fault.NoPrimary)
	switch {
	case g.isUnproven(g.tracker.current.Load()):
		refusal.Unproven, after = true, admit.UnprovenRetryDelay
	case admit.IsImmediate(since, wait):
		refusal.PrimaryExpected = after
	}
	refusal.RetryAfter = admit.Jitter(after, g.random())
	return nil, refusal
}

// isUnproven reports whether the primary might get new work but for the term lease, which has ended because this
// instance has not read the group's record.
func (g *Group) isUnproven(v *view) bool {
	return v.lease != nil && v.primary != noPrimary && v.lease.Unproven(clock.Now(), g.firstNeeded()) &&
		g.isAnswering(v, &v.servers[v.primary]) && !g.isRetired(g.allServers()[v.primary])
}

// firstNeeded returns when work first needed a primary that was not usable, now if none did.
func (g *Group) firstNeeded() time.Time {
	if since := g.noPrimarySince.Load(); since != 0 {
		return time.Unix(0, since)
	}
	return clock.Now()
}

// primaryAbsence returns how long there has been no usable primary, 0 if there is one.
func (g *Group) primaryAbsence() time.Duration {
	v := g.tracker.current.Load()
	if g.hasUsablePrimary(v) {
		g.noPrimarySince.Store(0)
		return 0
	}
	now := clock.Now()
	if g.noPrimarySince.CompareAndSwap(0, now.UnixNano()) {
		return 0
	}
	since := g.noPrimarySince.Load()
	if since == 0 {
		// A usable primary has been seen in the meantime.
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// endPrimaryAbsence ends the absence of a primary when a view shows a usable one, whether or not work needs it: a
// later absence is counted from its own beginning.
func (g *Group) endPrimaryAbsence(v *view) {
	if g.noPrimarySince.Load() != 0 && g.hasUsablePrimary(v) {
		g.noPrimarySince.Store(0)
	}
}

// hasUsablePrimary reports whether the group has a primary that may get new work.
func (g *Group) hasUsablePrimary(v *view) bool {
	return v.primary != noPrimary && g.canWrite(v, &v.servers[v.primary]) && !g.isRetired(g.allServers()[v.primary])
}

// isRetired reports whether a server gets no new work: its data centre is evacuated, or it has been leaving for
// too long.
func (g *Group) isRetired(s *server) bool { return g.isEvacuated(s) || g.conf.leavers.done(s.ID) }

// canWrite reports whether a primary is answering. In a fenced group its term must also be leased, since its
// writes could not be acknowledged otherwise.
func (g *Group) canWrite(v *view, r *report) bool {
	if v.lease != nil && (v.lease.Term != v.term || !v.lease.Valid(clock.Now())) {
		return false
	}
	return g.isAnswering(v, r)
}

// isAnswering reports whether a primary answered its last poll, within the silence limit, and is not sealed for a
// later term.
func (g *Group) isAnswering(v *view, r *report) bool {
	return !r.missed && r.status.Sealed <= v.term && clock.Since(r.answered) < g.defaults.Load().Silence
}

// confirmPrimary waits until the primary is confirmed by polls that began after this call, and returns its
// position.
func (g *Group) confirmPrimary(ctx context.Context) (ident.Floor, bool) {
	started := clock.Now()
	var floor ident.Floor
	ok := g.await(ctx, func(v *view) bool {
		asked, found, confirmed := v.confirmed()
		if !confirmed || asked.Before(started) {
			return false
		}
		floor = found
		return true
	})
	return floor, ok
}
