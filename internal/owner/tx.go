package owner

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// transaction is an open transaction, or a session's pinned connection.
type transaction struct {
	id      TxID
	server  *server
	replica bool

	mu sync.Mutex
	// conn is nil once the transaction has ended.
	conn *pooledConn
	// pinned is set if the session keeps the connection after a transaction.
	pinned bool
	// wrote is set if the transaction may have written.
	wrote bool
	// readsOnly is set as long as no request that may write was run on the connection.
	readsOnly bool
	// lastUsed is when the transaction last ran a request.
	lastUsed time.Time
}

// isOpen reports whether a transaction is open, not just a connection pinned; the caller holds mu.
func (t *transaction) isOpen() bool { return !t.pinned || t.conn != nil && t.conn.inOpenTx() }

// closeConn closes the connection, upon which the server rolls the transaction back.
func (t *transaction) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return
	}
	t.conn.Close()
	t.server.pool.release(t.conn)
	t.conn = nil
}

// openTx registers a transaction on the connection that the request opened it on, and passes the
// answer on, once no change of primary can lose what the request has committed before.
func (g *Group) openTx(ctx context.Context, w *Work, s *server, c *pooledConn, a proto.Answer, term ident.Term, buffer *bufferSink, sink proto.Sink) Result {
	result := Result{Floor: w.Floor, TxStatus: a.TxStatus, ErrorCode: a.ErrorCode}
	result.Tx = g.registerTx(&transaction{
		server: s, conn: c, pinned: w.Pin, wrote: w.Kind > stmt.Begin, readsOnly: w.Request.WritesNothing,
	})
	if w.mayHaveCommitted(a) {
		if reason := g.awaitCommitted(ctx, w, a, term); reason != fault.None {
			g.End(result.Tx)
			return unknown(reason)
		}
		if a.HasStatus {
			result.Floor = w.Floor.Raise(ident.Floor{Term: a.Status.Term, Position: a.Status.Received})
		}
	}
	delivered := g.deliver(result, buffer.bytes, sink)
	if delivered.Outcome != fault.Done {
		g.End(result.Tx)
	}
	return delivered
}

// mayHaveCommitted reports whether the request may have committed something, whatever state it
// has left its connection in.
func (w *Work) mayHaveCommitted(a proto.Answer) bool {
	return a.TxStatus == 'I' || w.Kind == stmt.Pin && !w.Request.NeverCommits
}

// awaitCommitted waits until no change of primary can lose what the request may have committed; it returns
// None then, and otherwise the reason why that is unconfirmed.
func (g *Group) awaitCommitted(ctx context.Context, w *Work, a proto.Answer, term ident.Term) fault.Reason {
	undone := a.ErrorCode != "" && (!a.Completed || w.Request.NeverCommits)
	if !undone {
		g.recordSuperseded(w, a)
	}
	switch {
	case undone || g.conf.Baseline.AckAtOnce:
		return fault.None
	case !a.HasStatus:
		return fault.AnswerUnconfirmed
	}
	return g.awaitReplicated(ctx, w, a.Status, term)
}

// openReadTx registers a read-only transaction and passes the answer on.
func (g *Group) openReadTx(w *Work, s *server, c *pooledConn, r Result, replica bool, buffer *delayedSink) Result {
	r.Tx = g.registerTx(&transaction{server: s, conn: c, replica: replica, readsOnly: w.Request.WritesNothing})
	if err := buffer.flush(); err != nil {
		g.End(r.Tx)
		if w.Request.NeverCommits {
			return rolledBack(fault.PeerLost)
		}
		return w.lost(fault.PeerLost)
	}
	return r
}

// registerTx assigns the transaction's connection and ID.
func (g *Group) registerTx(t *transaction) TxID {
	t.server.pool.holdForTx(t.conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	for t.id == 0 || g.txs[t.id] != nil {
		t.id = TxID(g.conf.Random.Uint64())
	}
	t.lastUsed = clock.Now()
	g.txs[t.id] = t
	return t.id
}

func (g *Group) findTx(id TxID) *transaction {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.txs[id]
}

// Holds reports whether the transaction is open on this instance.
func (g *Group) Holds(id TxID) bool { return g.findTx(id) != nil }

// End rolls a transaction back and frees its connection.
func (g *Group) End(id TxID) {
	g.mu.Lock()
	t := g.txs[id]
	delete(g.txs, id)
	g.mu.Unlock()
	if t != nil {
		t.closeConn()
	}
}

// runInTx runs a request on its transaction's connection; it is never redirected or retried.
func (g *Group) runInTx(ctx context.Context, w *Work, sink proto.Sink) Result {
	t := g.findTx(w.Tx)
	if t == nil {
		return notSent(fault.TransactionLost)
	}
	t.mu.Lock()
	if t.conn == nil {
		t.mu.Unlock()
		return notSent(fault.TransactionLost)
	}
	if refusal, admitted := g.admitInTx(ctx, w, t); !admitted {
		t.mu.Unlock()
		g.End(w.Tx)
		return refusal
	}
	buffer := &bufferSink{}
	t.pinned = t.pinned || w.Pin
	conn := t.conn
	wasOpen := conn.inOpenTx()
	request := w.Request
	// The end of the transaction confirms what its queries have read.
	request.WantStatus = !t.replica && (w.Kind != stmt.Read || !wasOpen)
	t.readsOnly = t.readsOnly && request.WritesNothing
	term := g.leasedTerm(t.server)
	answer, err := t.server.pool.run(ctx, w, conn, &request, buffer, false)
	t.lastUsed = clock.Now()
	if w.Kind > stmt.Rollback {
		t.wrote = true
	}
	if w.Kind == stmt.Set {
		t.conn.InvalidateSettings()
	}
	wrote, readsOnly := t.wrote, t.readsOnly
	t.mu.Unlock()
	if err != nil {
		g.End(w.Tx)
		result := failedInTx(ctx, w, wasOpen, readsOnly, err)
		g.recordLost(w, t.server, conn, err, result)
		return result
	}
	return g.finishInTx(ctx, w, t, answer, term, wrote, wasOpen, buffer, sink)
}

// admitInTx waits until a request may be sent to the server of its transaction or pinned connection. If that has to end
// instead, it returns the refusal; the caller holds t.mu.
func (g *Group) admitInTx(ctx context.Context, w *Work, t *transaction) (Result, bool) {
	// Outside a transaction, a pinned session follows a change of its home regions.
	if !t.isOpen() && !g.mayRunAt(w, t.server) {
		g.conf.evacuees.foreign.Inc()
		return notSent(fault.TransactionLost), false
	}
	ended := func() bool { return g.mustEnd(t) }
	_, admitted := g.awaitCold(ctx, t.server, untilDeadline(ctx), ended)
	switch {
	case ended():
		g.conf.evacuees.ended.Inc()
		return notSent(fault.TransactionLost), false
	case !admitted:
		return g.refuseCold(fault.TransactionLost, 0), false
	}
	return Result{}, true
}

// failedInTx returns the result of a request whose transaction lost its connection. The server
// rolls an open transaction back unless the request may have ended it.
func failedInTx(ctx context.Context, w *Work, wasOpen, readsOnly bool, err error) Result {
	switch {
	case unsent(err):
		return notSent(fault.TransactionLost)
	case wasOpen && w.Request.NeverCommits:
		return rolledBack(fault.TransactionLost)
	case readsOnly:
		return Result{Outcome: fault.NoEffect, Reason: fault.TransactionLost}
	}
	return unknown(lostAnswerReason(ctx, err))
}

// unsent reports whether the connection failed before any byte of the request was sent.
func unsent(err error) bool {
	var failed *proto.RunError
	return errors.As(err, &failed) && failed.Stage == proto.Unsent
}

// finishInTx passes on the answer to a request in a transaction. If the request ended a
// transaction that may have written, or ran outside one on a pinned connection, it first waits until no
// change of primary can lose what may have been written or read.
func (g *Group) finishInTx(ctx context.Context, w *Work, t *transaction, a proto.Answer, term ident.Term, wrote, wasOpen bool, buffer *bufferSink, sink proto.Sink) Result {
	result := Result{Floor: w.Floor, TxStatus: a.TxStatus, Tx: t.id, Replica: t.replica, ErrorCode: a.ErrorCode}
	if t.replica || !a.HasStatus {
		result.LastRead = LastRead{Owner: g.conf.Self, Server: t.server.ID, EndedAt: clock.Now().UnixNano()}
	}
	switch {
	case a.TxStatus != 'I':
	case t.pinned && t.replica:
		// A session is pinned on the primary only.
		g.End(t.id)
		result.Tx = 0
	case !t.pinned:
		g.returnConn(t)
		result.Tx = 0
	}
	needsConfirmation := wrote || w.Kind == stmt.Commit || !wasOpen && !w.Request.WritesNothing
	if !w.mayHaveCommitted(a) || !needsConfirmation || t.replica || w.Kind == stmt.Rollback {
		return g.deliver(result, buffer.bytes, sink)
	}
	t.mu.Lock()
	t.wrote = t.wrote && a.TxStatus != 'I'
	t.mu.Unlock()
	if w.refused(a) || wasOpen && a.Refusal.NotRun() && !a.Completed {
		return refused(a)
	}
	if reason := g.awaitCommitted(ctx, w, a, term); reason != fault.None {
		return unknown(reason)
	}
	if a.HasStatus {
		result.Floor = w.Floor.Raise(ident.Floor{Term: a.Status.Term, Position: a.Status.Received})
	}
	return g.deliver(result, buffer.bytes, sink)
}

// returnConn returns a finished transaction's connection to its pool.
func (g *Group) returnConn(t *transaction) {
	g.mu.Lock()
	delete(g.txs, t.id)
	g.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.server.pool.release(t.conn)
		t.conn = nil
	}
}

// reapInterval is the time between two checks for idle transactions.
const reapInterval = time.Second

// reapIdle rolls back transactions that have been idle for longer than the configured limit.
func (g *Group) reapIdle() error {
	ticker := time.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		for _, id := range g.idleTxs(clock.Now()) {
			g.End(id)
		}
		g.endEvacuated()
	}
}

// idleTxs returns the transactions that have been idle for longer than the configured limit.
func (g *Group) idleTxs(now time.Time) []TxID {
	return g.txsIdleFor(now, g.defaults.Load().IdleTransaction)
}

// txsIdleFor returns the transactions that have been idle for longer than a limit; pinned connections outside a
// transaction and transactions that run a request are left out.
func (g *Group) txsIdleFor(now time.Time, limit time.Duration) []TxID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []TxID
	for id, t := range g.txs {
		if !t.mu.TryLock() {
			continue
		}
		if t.isOpen() && now.Sub(t.lastUsed) > limit {
			ids = append(ids, id)
		}
		t.mu.Unlock()
	}
	return ids
}

// openTransactions returns how many transactions are open, without pinned connections outside one.
func (g *Group) openTransactions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, t := range g.txs {
		// One that runs a request is locked.
		if !t.mu.TryLock() {
			count++
			continue
		}
		if t.isOpen() {
			count++
		}
		t.mu.Unlock()
	}
	return count
}
