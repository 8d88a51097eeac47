package owner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// backoff spaces the retries of a request.
var backoff = retry.Backoff{Initial: 4 * time.Millisecond, Max: 200 * time.Millisecond}

// Run runs the work and passes its answer to sink. Sink receives nothing unless the
// outcome is Done, or a read failed in the middle of its answer.
func (g *Group) Run(ctx context.Context, w *Work, sink proto.Sink) Result {
	result := g.run(ctx, w, sink)
	result.PrimaryCenter = g.primaryCenter()
	if result.Outcome != fault.Done {
		own := result.Evidence
		result.Evidence = g.evidence()
		if own != "" {
			result.Evidence += "; " + own
		}
		if w.Home.Restricted {
			result.Evidence += fmt.Sprintf("; it may run only in the regions %q", w.Home.Names)
		}
	}
	return result
}

// evidence describes what is known of the group's primary and how old that is.
func (g *Group) evidence() string {
	v := g.tracker.current.Load()
	if v.primary == noPrimary {
		return fmt.Sprintf("no primary is known among %d servers", v.serverCount())
	}
	s, r := g.allServers()[v.primary], &v.servers[v.primary]
	load, service := s.pool.load()
	text := fmt.Sprintf("primary %s of term %d last answered %v ago, last poll missed %t, sealed for term %d; %d requests run or wait there, %v each",
		s.ID, v.term, clock.Since(r.answered).Round(time.Millisecond), r.missed, r.status.Sealed, load, service.Round(time.Millisecond))
	if v.lease != nil {
		text += "; " + describeLease(v.lease)
	}
	if g.isEvacuated(s) {
		text += fmt.Sprintf("; it gets no new work, as its data centre %s has been evacuated for %v", s.Center, g.conf.evacuees.age(s.Center).Round(time.Millisecond))
	} else if g.isRetired(s) {
		text += fmt.Sprintf("; it gets no new work, as it has been leaving for more than %v", leavingWork)
	}
	return text
}

// describeLease describes what the term lease of a fenced group rests on.
func describeLease(l *group.LeaseState) string {
	now := clock.Now()
	state := "ended"
	if l.Valid(now) {
		state = "is valid"
	}
	if l.RecordAsked.IsZero() {
		return fmt.Sprintf("the lease of term %d %s, its record was never read", l.Term, state)
	}
	return fmt.Sprintf("the lease of term %d %s, its record was read %v ago", l.Term, state, now.Sub(l.RecordAsked).Round(time.Millisecond))
}

// primaryCenter returns the data centre of the primary, empty if no primary is known.
func (g *Group) primaryCenter() ident.CenterID {
	v := g.tracker.current.Load()
	if v.primary == noPrimary {
		return ""
	}
	return g.allServers()[v.primary].Center
}

func (g *Group) run(ctx context.Context, w *Work, sink proto.Sink) Result {
	if untilDeadline(ctx) > w.Limits.Run {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.Limits.Run)
		defer cancel()
	}
	g.conf.Budget.Earn()
	g.lastUsed.Store(clock.Now().UnixNano())
	if w.Tx != 0 {
		return g.runInTx(ctx, w, sink)
	}
	if w.Pin {
		return g.runWrite(ctx, w, sink)
	}
	switch w.Kind {
	case stmt.Empty, stmt.Read, stmt.Show, stmt.Set:
		return g.runRead(ctx, w, sink)
	case stmt.Begin:
		if w.ReadOnly {
			return g.runRead(ctx, w, sink)
		}
	}
	return g.runWrite(ctx, w, sink)
}

// attempt is the end of one attempt at a request: its result, and whether the request
// may be retried.
type attempt struct {
	result    Result
	retryable bool
	// uncharged is set if the retry is not charged to the retry budget.
	uncharged bool
}

// withRetries retries a request that has not run, within the retry budget and the deadline.
func (g *Group) withRetries(ctx context.Context, w *Work, attemptOnce func() attempt) Result {
	var last Result
	for count := 0; ; count++ {
		a := attemptOnce()
		last = a.result.After(last)
		if !a.retryable {
			return last
		}
		if ctx.Err() != nil || !a.uncharged && !g.conf.Budget.Spend() {
			return last
		}
		g.conf.Journal.RecordRetry(last.Reason, w.Trace, w.Customer, w.Group)
		g.pollNow()
		if !g.waitBackoff(ctx, count) {
			return last
		}
	}
}

// waitBackoff waits for the backoff before retry number count; it reports false if the
// deadline leaves no time for it or the group stops.
func (g *Group) waitBackoff(ctx context.Context, count int) bool {
	g.mu.Lock()
	d := backoff.Delay(count, g.conf.Random)
	g.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-g.tomb.Dying():
		return false
	case <-timer.C:
		return true
	}
}

// runWrite runs a request on the primary and withholds its answer until a majority of
// servers holds what it wrote.
func (g *Group) runWrite(ctx context.Context, w *Work, sink proto.Sink) Result {
	arrived := clock.Now()
	return g.withRetries(ctx, w, func() attempt { return g.writeOnce(ctx, w, arrived, sink) })
}

// maxQueueWait returns how long the work may wait in the queue.
func (g *Group) maxQueueWait(ctx context.Context, w *Work) time.Duration {
	return min(admit.MaxQueueWait(w.Target, w.Limits.QueueWait), untilDeadline(ctx))
}

// redirectIfRemote redirects work for a server in another data centre to the owner there,
// which has most of the connections to that server.
func (g *Group) redirectIfRemote(w *Work, s *server) (Result, bool) {
	if w.Redirected || s.Center == g.conf.Center || !g.conf.Driver.PerCustomer() || !slices.Contains(g.place.Load().Centers, s.Center) {
		return Result{}, false
	}
	return Result{Outcome: fault.NotSent, Reason: fault.OtherOwnerPreferred, PreferredCenter: s.Center}, true
}

// writeOnce makes one attempt at a request on the primary.
func (g *Group) writeOnce(ctx context.Context, w *Work, arrived time.Time, sink proto.Sink) attempt {
	s, refusal := g.primaryFor(ctx, w, arrived)
	if s == nil {
		return attempt{result: refusal}
	}
	if redirect, ok := g.redirectIfRemote(w, s); ok {
		return attempt{result: redirect}
	}
	got := s.pool.acquire(ctx, flowOf(w), w.Weight, g.maxQueueWait(ctx, w))
	if got.conn == nil {
		retryable := got.reason == fault.ConnectFailed || got.reason == fault.ServerFull
		return attempt{result: Result{Outcome: fault.NotSent, Reason: got.reason, RetryAfter: got.retryAfter, Evidence: got.evidence}, retryable: retryable, uncharged: true}
	}
	if refusal, admitted := g.admit(ctx, w, s, fault.NoPrimary); !admitted {
		s.pool.release(got.conn)
		return refusal
	}
	buffer := &bufferSink{}
	request := w.Request
	request.WantStatus = true
	term := g.leasedTerm(s)
	answer, err := s.pool.run(ctx, w, got.conn, &request, buffer, false)
	if err != nil {
		s.pool.release(got.conn)
		failed := g.failedWrite(ctx, err)
		g.recordLost(w, s, got.conn, err, failed.result)
		return failed
	}
	if w.refused(answer) && (answer.TxStatus == 'I' || got.conn.Condition() != proto.Usable) {
		if w.Pin {
			// The server has undone the request, but not what it left on the connection.
			got.conn.Close()
		}
		s.pool.release(got.conn)
		g.handleRefusal(s, answer.Refusal)
		return attempt{result: refused(answer), retryable: true, uncharged: true}
	}
	if answer.TxStatus != 'I' || w.Pin {
		return attempt{result: g.openTx(ctx, w, s, got.conn, answer, term, buffer, sink)}
	}
	s.pool.release(got.conn)
	return attempt{result: g.finishWrite(ctx, w, answer, term, buffer, sink)}
}

func flowOf(w *Work) fair.Flow { return fair.Flow{Customer: w.Customer, Kind: string(w.Route)} }

// untilDeadline returns the time left in ctx, an hour if it has no deadline.
func untilDeadline(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

// refusalReasons gives the reason to report for each refusal by a server.
var refusalReasons = map[proto.Refusal]fault.Reason{
	proto.ReadOnly: fault.ServerReadOnly, proto.Busy: fault.ServerBusy, proto.Lagging: fault.FloorUnreached,
	proto.Unprepared: fault.ConnectionLost, proto.WrongServer: fault.ConnectFailed, proto.ServerError: fault.ServerFailed,
}

// handleRefusal reacts to a refusal by a server: overload lowers the concurrency limit, a
// read-only or lagging server makes all servers be polled at once, and idle connections
// to an address that turned out to be another server's are closed.
func (g *Group) handleRefusal(s *server, r proto.Refusal) {
	switch r {
	case proto.Busy:
		s.pool.recordBusy()
	case proto.ReadOnly, proto.Lagging:
		g.pollNow()
	case proto.WrongServer:
		s.pool.closeIdle()
	}
}

// failedWrite handles a write whose connection failed: it may be retried if nothing of
// it was sent; otherwise its outcome is unknown.
func (g *Group) failedWrite(ctx context.Context, err error) attempt {
	if unsent(err) {
		return attempt{result: notSent(fault.ConnectionLost), retryable: true, uncharged: isDoubtful(err)}
	}
	return attempt{result: unknown(lostAnswerReason(ctx, err))}
}

// lostAnswerReason returns why the answer to a request did not arrive.
func lostAnswerReason(ctx context.Context, err error) fault.Reason {
	if isSilent(err) {
		return fault.ConnectionSilent
	}
	if ctx.Err() != nil {
		return contextReason(ctx)
	}
	return fault.AnswerLost
}

// finishWrite waits until no change of primary can lose the write, then passes the answer on.
func (g *Group) finishWrite(ctx context.Context, w *Work, a proto.Answer, term ident.Term, buffer *bufferSink, sink proto.Sink) Result {
	result := Result{Floor: w.Floor, TxStatus: a.TxStatus, ErrorCode: a.ErrorCode}
	if reason := g.awaitCommitted(ctx, w, a, term); reason != fault.None {
		return unknown(reason)
	}
	if (a.ErrorCode == "" || a.Completed) && a.HasStatus {
		result.Floor = w.Floor.Raise(ident.Floor{Term: a.Status.Term, Position: a.Status.Received})
	}
	return g.deliver(result, buffer.bytes, sink)
}

// deliver passes an answer on; the outcome is unknown if the sink fails.
func (g *Group) deliver(r Result, bytes []byte, sink proto.Sink) Result {
	if err := sink.Emit(bytes); err != nil {
		return unknown(fault.PeerLost)
	}
	return r
}

// awaitReplicated waits until every later primary is certain to have all that the server had received right
// after the write; it returns None then, and otherwise the reason why the write is unconfirmed. The term
// is that of the lease under which the request was sent.
func (g *Group) awaitReplicated(ctx context.Context, w *Work, s group.Status, term ident.Term) fault.Reason {
	fenced := g.conf.Driver.Fenced()
	switch {
	case !fenced && s.Role != group.Primary:
		return fault.PrimaryReplaced
	case fenced && s.LogTerm < term:
		// Nothing has been written in the primary's term yet.
		return fault.None
	}
	ctx, cancel := context.WithTimeout(ctx, w.Limits.AckWait)
	defer cancel()
	done := false
	ended := g.awaitProof(ctx, func(v *view) bool {
		done = v.proves(s)
		return done || v.superseded(s.Term)
	})
	switch {
	case done:
		return fault.None
	case ended:
		return fault.PrimaryReplaced
	default:
		return fault.AnswerUnconfirmed
	}
}

// leasedTerm returns the term whose primary the server is under the term lease, 0 if it is not or the group
// is not fenced.
func (g *Group) leasedTerm(s *server) ident.Term {
	l := g.tracker.current.Load().lease
	if l == nil || l.Primary != s.ID {
		return 0
	}
	return l.Term
}

const (
	// witnessInterval is the time between two polls of the witness of a write, witnessPatience how long
	// it alone is polled.
	witnessInterval = 20 * time.Millisecond
	witnessPatience = 100 * time.Millisecond
)

// awaitProof is await for a view that proves that a write is replicated. In a fenced group whose record
// has been read lately one replica can, so the others are polled only if it does not.
func (g *Group) awaitProof(ctx context.Context, satisfied func(*view) bool) bool {
	v := g.tracker.current.Load()
	if satisfied(v) {
		return true
	}
	if v.lease == nil || v.lease.NeedsAll(clock.Now()) {
		return g.await(ctx, satisfied)
	}
	ticker := time.NewTicker(witnessInterval)
	defer ticker.Stop()
	for polls := witnessPatience / witnessInterval; polls > 0; polls-- {
		witness := g.witness()
		if witness == nil {
			break
		}
		witness.pollNow()
		if found, due := g.awaitView(ctx, satisfied, ticker.C); !due {
			return found
		}
	}
	return g.await(ctx, satisfied)
}

// witness returns the replica of the primary's term that answers polls fastest, preferably one that stays;
// nil if there is none.
func (g *Group) witness() *server {
	v, leaving := g.tracker.current.Load(), *g.leaving.Load()
	servers := g.allServers()
	var best *server
	for at := range v.servers {
		r, s := &v.servers[at], servers[at]
		if at == v.primary || !r.known || r.missed || r.status.Term != v.term {
			continue
		}
		stays := best == nil || leaving[best.ID] && !leaving[s.ID]
		if stays || leaving[best.ID] == leaving[s.ID] && r.latency < v.servers[best.at].latency {
			best = s
		}
	}
	return best
}

// await polls the servers until a view satisfies the condition; it reports false if ctx
// ends or the group stops first.
func (g *Group) await(ctx context.Context, satisfied func(*view) bool) bool {
	if satisfied(g.tracker.current.Load()) {
		return true
	}
	g.viewWaiters.Add(1)
	defer g.viewWaiters.Add(-1)
	g.pollNow()
	found, _ := g.awaitView(ctx, satisfied, nil)
	return found
}

// awaitView waits until a view satisfies the condition, ctx ends, the group stops or the timer, which may be
// nil, fires. It reports whether a view did, and whether the timer fired.
func (g *Group) awaitView(ctx context.Context, satisfied func(*view) bool, timer <-chan time.Time) (found, due bool) {
	for {
		v, changed := g.tracker.subscribe()
		if satisfied(v) {
			return true, false
		}
		select {
		case <-ctx.Done():
			return false, false
		case <-g.tomb.Dying():
			return false, false
		case <-timer:
			return false, true
		case <-changed:
		}
	}
}
