package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/route"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// runRead runs a read on the cheapest server that satisfies its consistency.
func (g *Group) runRead(ctx context.Context, w *Work, sink proto.Sink) Result {
	if w.ReadConsistency == conf.LatestReads {
		return g.runLatest(ctx, w, sink)
	}
	floor, refusal, ok := g.readFloor(ctx, w)
	if !ok {
		return refusal
	}
	lagging := ident.ServerID("")
	return g.withRetries(ctx, w, func() attempt {
		a := g.readOnce(ctx, w, floor, lagging, sink)
		if a.result.Reason == fault.FloorUnreached {
			// The first refusal for lag is not charged to the retry budget: the read goes to another server.
			a.uncharged = lagging == ""
			lagging = a.result.LastRead.Server
		}
		return a
	})
}

// runLatest runs a read on the primary, once it is known not to have been replaced
// before the read arrived.
func (g *Group) runLatest(ctx context.Context, w *Work, sink proto.Sink) Result {
	arrived := clock.Now()
	return g.withRetries(ctx, w, func() attempt {
		s, refusal := g.awaitLeasedPrimary(ctx, w, arrived)
		if s == nil {
			return attempt{result: refusal}
		}
		return g.readOnServer(ctx, w, s, false, ident.Floor{}, sink)
	})
}

// awaitLeasedPrimary returns the primary once it is known to have still been the primary at
// the given time: confirmed by servers asked since, or by a lease that lasts longer.
func (g *Group) awaitLeasedPrimary(ctx context.Context, w *Work, arrived time.Time) (*server, Result) {
	return g.awaitUsablePrimary(ctx, w, func(v *view) bool {
		asked, _, confirmed := v.confirmed()
		return confirmed && !asked.Before(arrived) || v.leaseExpiry().After(arrived)
	})
}

// maxAgeFloor returns the floor of a read with a maximum age, raised to the session's
// own floor for session reads. The server itself checks that its log holds the floor.
func (g *Group) maxAgeFloor(ctx context.Context, w *Work) (ident.Floor, Result, bool) {
	arrived := clock.Now()
	var floor ident.Floor
	known := false
	floorKnown := func(*view) bool {
		floor, known = g.tracker.floorForAge(arrived, w.MaxAge)
		return known
	}
	after := time.Duration(0)
	if !floorKnown(nil) {
		var wait time.Duration
		wait, after = admit.PrimaryWait(g.primaryAbsence(), g.maxQueueWait(ctx, w))
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		g.await(ctx, floorKnown)
	}
	if w.ReadConsistency == conf.SessionReads {
		floor = floor.Raise(w.Floor)
	}
	refusal := notSent(fault.NoPrimary)
	refusal.RetryAfter = after
	return g.tracker.rebaseFloor(floor), refusal, known
}

// serverChecksFloor reports whether the server itself checks the work's floor.
func (g *Group) serverChecksFloor(w *Work) bool { return w.MaxAge > 0 && g.conf.Driver.ChecksFloor() }

// lastReadServer returns the server of the session's last read and whether it is a replica if
// it is still the best choice; otherwise nil.
func (g *Group) lastReadServer(w *Work, floor ident.Floor) (*server, bool) {
	if w.LastRead.Server == "" || w.LastRead.Owner != g.conf.Self {
		return nil, false
	}
	c, ok := g.routeChoice(g.routeRequest(w, floor, ident.Floor{}), g.tracker.current.Load()).(route.Serve)
	if !ok || c.Server != w.LastRead.Server {
		return nil, false
	}
	return g.at(c.Server), !c.Primary
}

// routeRequest describes the read to the routing decision.
func (g *Group) routeRequest(w *Work, floor, switchFloor ident.Floor) route.Request {
	age := w.MaxAge
	if g.serverChecksFloor(w) {
		age = 0
	}
	return route.Request{
		Floor: floor, SwitchFloor: switchFloor, MaxAge: age, MaxWait: w.Limits.ReadWait,
		PrimaryCost: w.Limits.PrimaryCost, LastServer: w.LastRead.Server, Home: w.Home, Spread: route.Spread(w.Customer, g.conf.Self),
	}
}

// readFloor returns the floor of a read. A session whose floor is not known yet takes the
// confirmed primary's position.
func (g *Group) readFloor(ctx context.Context, w *Work) (ident.Floor, Result, bool) {
	if g.serverChecksFloor(w) {
		return g.maxAgeFloor(ctx, w)
	}
	if w.FloorKnown || w.MaxAge > 0 || w.Kind == stmt.Set || g.conf.Baseline.FirstReplica {
		return w.Floor, Result{}, true
	}
	floor, ok := g.confirmPrimary(ctx)
	return w.Floor.Raise(floor), notSent(fault.NoPrimary), ok
}

// switchFloor returns the floor of any server but that of the session's last read, so
// that the session does not read an earlier state than before: a state known to include that read.
func (g *Group) switchFloor(ctx context.Context, w *Work) (ident.Floor, bool) {
	if w.LastRead.Server == "" || w.MaxAge > 0 || w.Kind == stmt.Set || g.conf.Baseline.FirstReplica {
		return ident.Floor{}, true
	}
	if w.LastRead.Owner == g.conf.Self {
		if floor, ok := g.floorSince(w.LastRead); ok {
			return floor, true
		}
	}
	return g.confirmPrimary(ctx)
}

// floorSince returns a state known to include the session's last read: one that its
// server, or else the confirmed primary, reported after the read had ended.
func (g *Group) floorSince(seen LastRead) (ident.Floor, bool) {
	v := g.tracker.current.Load()
	ended := time.Unix(0, seen.EndedAt)
	if r := v.reportOf(g.at(seen.Server)); r != nil && r.asked.After(ended) {
		return ident.Floor{Term: r.status.Term, Position: r.status.Applied}, true
	}
	if asked, floor, ok := v.confirmed(); ok && asked.After(ended) {
		return floor, true
	}
	return ident.Floor{}, false
}

// readOnce tries a read on the best server; the one that has just refused it for lag
// (lagging) is the last choice.
func (g *Group) readOnce(ctx context.Context, w *Work, floor ident.Floor, lagging ident.ServerID, sink proto.Sink) attempt {
	s, replica := g.lastReadServer(w, floor)
	if s == nil || s.ID == lagging {
		switchFloor, ok := g.switchFloor(ctx, w)
		if !ok {
			return attempt{result: notSent(fault.NoPrimary)}
		}
		var reason fault.Reason
		r := g.routeRequest(w, floor, switchFloor)
		r.LaggingServer = lagging
		if s, replica, reason = g.chooseServer(ctx, w, r); s == nil {
			return attempt{result: notSent(reason)}
		}
	}
	return g.readOnServer(ctx, w, s, replica, floor, sink)
}

// readOnServer gets a connection to the chosen server and runs a read on it.
func (g *Group) readOnServer(ctx context.Context, w *Work, s *server, replica bool, floor ident.Floor, sink proto.Sink) attempt {
	if redirect, ok := g.redirectIfRemote(w, s); ok {
		return attempt{result: redirect}
	}
	got := s.pool.acquire(ctx, flowOf(w), w.Weight, g.maxQueueWait(ctx, w))
	if got.conn == nil {
		retryable := got.reason == fault.ConnectFailed || got.reason == fault.ServerFull
		if retryable {
			g.tracker.recordMiss(s.at)
		}
		return attempt{result: Result{Outcome: fault.NotSent, Reason: got.reason, RetryAfter: got.retryAfter, Evidence: got.evidence}, retryable: retryable}
	}
	if refusal, admitted := g.admit(ctx, w, s, fault.NoServer); !admitted {
		s.pool.release(got.conn)
		return refusal
	}
	return g.readOnConn(ctx, w, s, got.conn, replica, floor, sink)
}

// readOnConn runs a read on a connection and decides whether it may be retried.
func (g *Group) readOnConn(ctx context.Context, w *Work, s *server, c *pooledConn, replica bool, floor ident.Floor, sink proto.Sink) attempt {
	buffer := &delayedSink{sink: sink, bufferAll: g.mayReadUnreplicated(replica)}
	request := w.Request
	request.WantStatus = buffer.bufferAll
	if g.serverChecksFloor(w) && w.ReadConsistency != conf.LatestReads && (replica || floor.Term >= g.tracker.current.Load().term) {
		request.RequiredFloor = floor
	}
	term := g.leasedTerm(s)
	answer, err := s.pool.run(ctx, w, c, &request, buffer, true)
	if err != nil {
		s.pool.release(c)
		lost := g.failedRead(ctx, w, err, buffer)
		if ctx.Err() == nil && endedByServer(err) {
			s.pool.recordRead(true)
		}
		g.recordLost(w, s, c, err, lost.result)
		return lost
	}
	failed := answer.Refusal == proto.ServerError && w.HasNoEffect() && answer.TxStatus == 'I'
	ended := answer.TxStatus == 'I' || c.Condition() != proto.Usable
	if (w.refused(answer) && ended || failed) && !buffer.forwarded {
		s.pool.release(c)
		g.handleRefusal(s, answer.Refusal)
		if failed {
			s.pool.recordRead(true)
		}
		result := refused(answer)
		if failed {
			result.Outcome = fault.NoEffect
		}
		result.LastRead.Server = s.ID
		return attempt{result: result, retryable: true}
	}
	s.pool.recordRead(false)
	g.conf.room.countRead(replica)
	if g.serverChecksFloor(w) || w.ReadConsistency == conf.LatestReads {
		floor = w.Floor
	}
	result := Result{
		Floor: floor, TxStatus: answer.TxStatus, Replica: replica, ErrorCode: answer.ErrorCode,
		LastRead: LastRead{Owner: g.conf.Self, Server: s.ID, EndedAt: clock.Now().UnixNano()},
	}
	if answer.TxStatus != 'I' {
		return attempt{result: g.openReadTx(w, s, c, result, replica, buffer)}
	}
	if w.Kind == stmt.Set {
		c.InvalidateSettings()
	}
	s.pool.release(c)
	if buffer.bufferAll && answer.HasStatus && !g.awaitReadReplicated(ctx, w, answer.Status, term) {
		// Some servers sign by the request's id: a second run there could look like a copy of the first one's answer.
		s.pool.retire(c)
		return attempt{result: w.lost(fault.AnswerUnconfirmed), retryable: true}
	}
	if err := buffer.flush(); err != nil {
		return attempt{result: w.lost(fault.PeerLost)}
	}
	return attempt{result: result}
}

// mayReadUnreplicated reports whether a read may see writes that no majority holds yet and
// that a change of primary could therefore discard. In a group of up to three servers
// a replica and the primary are a majority, so a read from a replica cannot.
func (g *Group) mayReadUnreplicated(replica bool) bool {
	const twoServerMajority = 3
	return !replica || g.tracker.current.Load().serverCount() > twoServerMajority
}

// awaitReadReplicated waits until no change of primary can discard what a read at the primary of the given
// term may have seen; it reports false if the wait times out or the term is superseded.
func (g *Group) awaitReadReplicated(ctx context.Context, w *Work, s group.Status, term ident.Term) bool {
	if g.conf.Baseline.AckAtOnce || g.conf.Baseline.FirstReplica || w.MaxAge > 0 {
		return true
	}
	s.Received = s.Applied
	return g.awaitReplicated(ctx, w, s, term) == fault.None
}

// failedRead handles a read whose connection failed: it may be retried unless a part
// of its answer has been passed on. Then it is unknown, whether or not its context has ended.
func (g *Group) failedRead(ctx context.Context, w *Work, err error, buffer *delayedSink) attempt {
	result := w.lost
	if unsent(err) {
		result = notSent
	}
	var failed *proto.RunError
	switch {
	case buffer.forwarded:
		return attempt{result: unknown(lostAnswerReason(ctx, err))}
	case ctx.Err() != nil:
		return attempt{result: result(contextReason(ctx))}
	case !errors.As(err, &failed):
		return attempt{result: unknown(fault.AnswerLost)}
	case isSilent(err):
		return attempt{result: result(fault.ConnectionSilent), retryable: true}
	}
	return attempt{result: result(fault.ConnectionLost), retryable: true, uncharged: isDoubtful(err)}
}
