package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

func txEnd(g ident.GroupID, tx owner.TxID) peer.Message { return peer.TxEnd{Group: g, Tx: tx} }

// serve takes the caller's requests one after the other.
func (s *session) serve() {
	for s.become(idle) {
		message, err := s.wire.Receive()
		if !s.become(running) {
			break
		}
		if err != nil {
			s.malformed(err)
			return
		}
		if !s.take(message) {
			return
		}
	}
	s.endTx()
	s.sendTermination()
}

// malformed answers a message that cannot be read; a caller that left gets nothing.
func (s *session) malformed(err error) {
	if isDeparture(err) {
		return
	}
	s.refuse(&fault.Fault{Reason: fault.BadMessage, Outcome: fault.NotRun, Trace: s.instance.trace(), Fatal: true})
	_ = s.wire.Flush()
}

// take handles one message; false ends the session.
func (s *session) take(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		return s.query(m)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return true
	case *pgproto3.FunctionCall:
		return s.refuseOne(fault.NotSupported, true)
	}
	if s.skipping {
		return true
	}
	if reason := s.gather(message); reason != fault.None {
		s.skipping = true
		s.batch.reset()
		return s.refuseOne(reason, false)
	}
	return true
}

// refuseOne refuses a request that has not reached a server; done also ends its cycle.
func (s *session) refuseOne(r fault.Reason, done bool) bool {
	s.refuse(&fault.Fault{Reason: r, Outcome: fault.NotRun, Trace: s.instance.trace()})
	if s.status == 'T' {
		s.loseTx()
	}
	if done {
		return s.ready()
	}
	return s.wire.Flush() == nil
}

// loseTx rolls the open transaction back and leaves the caller in a failed one until it ends it.
func (s *session) loseTx() {
	s.endTx()
	s.lostTx, s.status = true, 'E'
}

func (s *session) query(m *pgproto3.Query) bool {
	class := stmt.Classify(m.String)
	s.batch.reset()
	if class.Kind == stmt.Refused {
		return s.refuseOne(fault.NotSupported, true)
	}
	if handled, alive := s.queryOwn(class); handled {
		return alive
	}
	s.batch.simple = true
	s.batch.add(class)
	s.batch.messages, _ = m.Encode(s.batch.messages)
	return s.execute()
}

func (s *session) sync() bool {
	if s.skipping {
		s.skipping = false
		s.batch.reset()
		return s.ready()
	}
	if len(s.batch.messages) == 0 && len(s.batch.needs) == 0 {
		for _, in := range s.batch.inserts {
			s.sendInsert(in)
		}
		s.batch.reset()
		return s.ready()
	}
	var end pgproto3.Sync
	s.batch.messages, _ = end.Encode(s.batch.messages)
	return s.execute()
}

func (s *session) sendInsert(in proto.Insert) {
	if in.Kind == '3' {
		s.wire.Send(&pgproto3.CloseComplete{})
		return
	}
	s.wire.Send(&pgproto3.ParseComplete{})
}

// flush runs what was gathered if that executes nothing: its effect is then the
// same as after a Sync. Executing before the Sync would commit too early.
func (s *session) flush() bool {
	if s.skipping || len(s.batch.messages) == 0 && len(s.batch.needs) == 0 {
		return s.wire.Flush() == nil
	}
	if s.batch.executes > 0 {
		s.skipping = true
		s.batch.reset()
		return s.refuseOne(fault.NotSupported, false)
	}
	var end pgproto3.Sync
	s.batch.messages, _ = end.Encode(s.batch.messages)
	return s.executeQuietly()
}

// outcome is a request's result with what the caller is to be sent.
type outcome struct {
	result owner.Result
	at     ident.InstanceID
	sink   *callerSink
}

// execute runs the gathered batch and answers it whole.
func (s *session) execute() bool { return s.runBatch(false) }

// executeQuietly runs the batch and leaves out the final ReadyForQuery.
func (s *session) executeQuietly() bool { return s.runBatch(true) }

func (s *session) runBatch(quiet bool) bool {
	defer s.batch.reset()
	if s.lostTx {
		return s.answerLostTx(quiet)
	}
	trace := s.instance.trace()
	began := time.Now()
	access, reason := s.mayRun()
	if reason != fault.None {
		s.revokeNow(reason)
		return true
	}
	limits := s.instance.keeper.Current().For(began, access.Customer, access.Service)
	if s.batch.charged() {
		if refusal := s.spendRate(access, limits, trace); refusal != nil {
			return s.fail(refusal, quiet)
		}
	}
	w := s.work(access, limits, trace)
	o := s.dispatch(w, quiet)
	s.instance.metrics.observe(w, o.result, time.Since(began))
	return s.conclude(w, o, quiet)
}

// mayRun checks the key anew against the configuration in force.
func (s *session) mayRun() (conf.Access, fault.Reason) {
	snapshot := s.instance.keeper.Current()
	access, ok := snapshot.Renew(s.access)
	if !ok {
		return access, fault.KeyWithdrawn
	}
	if access.Key != "" && s.instance.keysUnchecked() {
		return access, fault.KeyUnchecked
	}
	if access.Group != s.floorOf {
		s.floorOf, s.floor, s.settled = access.Group, ident.Floor{}, false
	}
	s.mu.Lock()
	s.access = access
	s.mu.Unlock()
	return access, fault.None
}

func (s *session) revokeNow(r fault.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = r
}

// spendRate takes a token; inside a transaction it waits as long as a statement may.
func (s *session) spendRate(a conf.Access, d conf.Defaults, trace ident.TraceID) *fault.Fault {
	if s.instance.quota.TakeNow(a.Customer) {
		return nil
	}
	wait := d.RateWait
	if s.tx != 0 {
		wait = d.StatementDeadline
	}
	ctx, done := s.cancellable(wait + time.Second)
	defer done()
	reason, after := s.instance.quota.Take(ctx, a.Customer, wait)
	if reason == fault.None {
		return nil
	}
	return &fault.Fault{Reason: reason, Outcome: fault.NotRun, Trace: trace, RetryAfter: after}
}

// cancellable returns a context that a cancel request ends.
func (s *session) cancellable(most time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	s.mu.Lock()
	s.cancels = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancels = nil
		s.mu.Unlock()
		cancel()
	}
}

// work describes the batch to the group's owner.
func (s *session) work(a conf.Access, d conf.Defaults, trace ident.TraceID) *owner.Work {
	b := &s.batch
	kind := b.kind
	if b.executes == 0 {
		kind = stmt.Read
	}
	maxAge := a.MaxAge
	if s.hasMaxAge {
		maxAge = s.maxAge
	}
	weight := a.Worth
	if c, ok := s.instance.keeper.Current().Customers[a.Customer]; ok {
		weight *= c.Weight
	}
	return &owner.Work{
		Trace: trace, Customer: a.Customer, Route: a.Route, Group: a.Group, Kind: kind, ReadOnly: b.class.ReadOnly,
		Weight: weight, Floor: s.floor, Settled: s.settled, MaxAge: maxAge, Seen: s.seen,
		Limits: owner.Limits{
			Run: d.StatementDeadline, Queue: d.QueueDeadline, Ack: d.AckDeadline, ReadWait: d.ReadWait, PrimaryCost: d.PrimaryCost,
		},
		Tx: s.tx, Pin: s.pinned || b.keeps,
		Request: proto.Request{Messages: b.messages, Statements: b.needs, Settings: s.settings, Inserts: b.inserts},
	}
}

func (s *session) dispatch(w *owner.Work, quiet bool) outcome {
	ctx, done := s.cancellable(w.Limits.Run)
	defer done()
	sink := &callerSink{session: s, stream: w.Kind == stmt.Read && !quiet}
	if w.Tx != 0 {
		return outcome{result: s.instance.runAt(ctx, s.txOwner, w, sink), at: s.txOwner, sink: sink}
	}
	result, at := s.instance.dispatch(ctx, s.instance.keeper.Current(), w, sink)
	return outcome{result: result, at: at, sink: sink}
}

// conclude brings the session up to date and sends the answer or the fault.
func (s *session) conclude(w *owner.Work, o outcome, quiet bool) bool {
	r := o.result
	if r.Outcome != fault.Done {
		return s.concludeFault(w, o, quiet)
	}
	s.status, s.tx = r.TxStatus, r.Tx
	if s.tx != 0 {
		s.txOwner = o.at
		s.pinned = s.pinned || w.Pin
	}
	if r.Seen.Server != "" {
		s.seen = r.Seen
	}
	s.noteSettings(w, r)
	raised := w.Kind > stmt.Begin && !r.Floor.IsZero() && r.Floor != s.floor
	if !r.Floor.IsZero() {
		s.floor, s.settled = r.Floor, true
	}
	if raised {
		token := ident.Token{Group: w.Group, Floor: s.floor}
		o.sink.before(&pgproto3.ParameterStatus{Name: tokenName, Value: token.String()})
	}
	return o.sink.finish(quiet)
}

func (s *session) concludeFault(w *owner.Work, o outcome, quiet bool) bool {
	r := o.result
	f := &fault.Fault{Reason: r.Reason, Outcome: r.Outcome, Trace: w.Trace, RetryAfter: r.RetryAfter}
	if f.Outcome == fault.Unknown && s.tx == 0 && w.Kind <= stmt.Show {
		f.Outcome = fault.NotRun
	}
	if o.sink.passed {
		f.Fatal = true
		s.refuse(f)
		_ = s.wire.Flush()
		return false
	}
	if s.pinned {
		f.Fatal = true
		s.endTx()
		s.refuse(f)
		_ = s.wire.Flush()
		return false
	}
	if s.tx != 0 {
		if w.Kind == stmt.Commit || w.Kind == stmt.Rollback {
			s.endTx()
		} else {
			s.loseTx()
		}
	}
	return s.fail(f, quiet)
}

// fail answers the batch with a fault.
func (s *session) fail(f *fault.Fault, quiet bool) bool {
	s.refuse(f)
	if s.status == 'T' {
		s.loseTx()
	}
	if quiet {
		s.skipping = true
		return s.wire.Flush() == nil
	}
	return s.ready()
}

// answerLostTx answers like PostgreSQL in a failed transaction: everything is refused until the caller ends it.
func (s *session) answerLostTx(quiet bool) bool {
	kind := s.batch.kind
	if s.batch.executes == 1 && (kind == stmt.Commit || kind == stmt.Rollback) {
		s.lostTx, s.status = false, 'I'
		for range s.batch.inserts {
			s.wire.Send(&pgproto3.ParseComplete{})
		}
		if !s.batch.simple {
			s.answerShape()
		}
		s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		return s.ready()
	}
	s.wire.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	})
	if quiet {
		s.skipping = true
		return s.wire.Flush() == nil
	}
	return s.ready()
}

// answerShape answers the messages around an Execute as a server would.
func (s *session) answerShape() {
	data := s.batch.messages
	for len(data) >= 5 {
		size := int(uint32(data[1])<<24 | uint32(data[2])<<16 | uint32(data[3])<<8 | uint32(data[4]))
		switch data[0] {
		case 'P':
			s.wire.Send(&pgproto3.ParseComplete{})
		case 'B':
			s.wire.Send(&pgproto3.BindComplete{})
		case 'D':
			if data[5] == 'S' {
				s.wire.Send(&pgproto3.ParameterDescription{})
			}
			s.wire.Send(&pgproto3.NoData{})
		}
		data = data[1+size:]
	}
}
