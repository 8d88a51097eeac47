package entry

import (
	"context"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
)

// How an instance stops. Whatever it has read is answered before its connections end, be it a caller's
// statement or what it runs for another instance's caller.
//
//	Shutdown ── LameDuck ──▶ no new callers, idle ones end
//	         ── Transactions ──▶ open transactions are rolled back, and their callers told so
//	         ── Requests ──▶ running requests are cancelled and answered
//	         ──▶ the links close
//
// A stage ends early once nothing is left that it waits for.

// StopTimes are the times of a shutdown, counted from its beginning.
type StopTimes struct {
	// LameDuck is how long callers are still accepted after the instance reports that it is not
	// ready, because load balancers notice that late.
	LameDuck time.Duration
	// Transactions is how long open transactions may go on, and Requests how long running requests
	// may; 0 means the default drain-time.
	Transactions time.Duration
	Requests     time.Duration
}

const (
	// answerTime is how long requests that were cancelled at the end of a shutdown may take to be
	// answered; another instance may have to tell their outcome.
	answerTime = 400 * time.Millisecond
	// stopPollInterval is how often a shutdown checks whether something is left to wait for.
	stopPollInterval = 10 * time.Millisecond
)

// Shutdown stops accepting callers, waits for open transactions and running requests as long as the
// stop times allow, returns this instance's part of the rates and ends.
func (i *Instance) Shutdown(ctx context.Context) {
	if i.draining.Swap(true) {
		return
	}
	began := clock.Now()
	i.journal.Add(jrnl.Event{Kind: jrnl.Stopping})
	i.hub.SendHeartbeats(ctx, func(ident.InstanceID) bool { return true })
	i.members.changed()
	select {
	case <-time.After(i.conf.Stop.LameDuck):
	case <-ctx.Done():
	}
	drainTime := i.configCache.Current().Defaults.DrainTime
	limit := func(configured time.Duration) time.Time {
		if configured == 0 {
			configured = i.conf.Stop.LameDuck + drainTime
		}
		return began.Add(configured)
	}
	i.callers.drain()
	i.awaitWork(ctx, limit(i.conf.Stop.Transactions))
	i.txEnded.Store(true)
	i.host.EndTransactions()
	i.awaitWork(ctx, limit(i.conf.Stop.Requests))
	i.workEnded.Store(true)
	i.callers.cancelRunning()
	i.hub.CancelServed()
	i.awaitWork(ctx, clock.Now().Add(answerTime))
	i.callers.closeAll()
	i.awaitWork(ctx, clock.Now().Add(answerTime))
	i.quota.Stop(ctx)
	i.members.awaitLeaveNotice(ctx)
	i.end()
}

// awaitWork waits until no caller is connected and nothing runs or is open here for those of other
// instances, but not beyond limit.
func (i *Instance) awaitWork(ctx context.Context, limit time.Time) {
	for i.callers.count() > 0 || i.peerWork.Load() > 0 || i.host.OpenTransactions() > 0 {
		if !clock.Now().Before(limit) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(stopPollInterval):
		}
	}
}

// runForPeer runs a request of another instance, unless a shutdown has come too far for it. The other
// instance asks another owner for what was refused outside a transaction.
func (i *Instance) runForPeer(ctx context.Context, w *owner.Work, sink proto.Sink) owner.Result {
	i.peerWork.Add(1)
	defer i.peerWork.Add(-1)
	switch {
	case w.Tx != 0 && i.txEnded.Load():
		i.host.End(w.Group, w.Tx)
		return owner.Result{Outcome: fault.NotSent, Reason: fault.TransactionLost, Evidence: "the owner is shutting down"}
	case i.workEnded.Load() || i.txEnded.Load() && w.OpensTx():
		return owner.Result{Outcome: fault.NotSent, Reason: fault.NoOwner, Evidence: "the owner is shutting down"}
	}
	return i.host.Run(ctx, w, sink)
}

// drain stops accepting callers and ends the sessions: idle ones at once, the others after
// their request or transaction.
func (c *callers) drain() {
	c.stopAccepting()
	for _, s := range c.all() {
		s.closeWhenIdle()
	}
}

// cancelRunning cancels the running request of each caller.
func (c *callers) cancelRunning() {
	for _, s := range c.all() {
		s.cancelRunning()
	}
}

// closeAll ends every session that runs no request.
func (c *callers) closeAll() {
	for _, s := range c.all() {
		s.closeIdle()
	}
}

// TxEnded reports whether the caller has a transaction open that a shutdown does not let go on.
func (s *Session) TxEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.txOpen && s.instance.txEnded.Load()
}

// closeIdle ends the session if no request runs, also in an open transaction.
func (s *Session) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage == idle {
		s.stage = closing
		s.interrupt()
	}
}
