package entry

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

func txEnd(g ident.GroupID, tx owner.TxID) peer.Message { return peer.TxRollback{Group: g, Tx: tx} }

// serve handles the caller's messages one after the other until the session ends.
func (s *pgSession) serve() {
	for s.enterStage(idle) {
		message, err := s.wire.Receive()
		if !s.enterStage(running) || err == nil && s.endForStop() {
			break
		}
		if err != nil {
			s.refuseMalformed(err)
			return
		}
		s.inDoubt = false
		if !s.handle(message) {
			return
		}
	}
	txOpen := s.status != TxNone
	s.EndTx()
	s.sendTermination(txOpen)
}

// endForStop begins to close the session if a shutdown has ended its transaction.
func (s *pgSession) endForStop() bool {
	if !s.TxEnded() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = closing
	return true
}

// refuseMalformed answers a message that cannot be decoded. If the caller has disconnected, it
// does nothing.
func (s *pgSession) refuseMalformed(err error) {
	if isDisconnect(err) {
		return
	}
	s.refuse(&fault.Fault{Reason: fault.BadMessage, Outcome: fault.NotSent, Trace: s.instance.trace(), Fatal: true})
	_ = s.wire.Flush()
}

// handle handles one message; false ends the session.
func (s *pgSession) handle(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skipToSync {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.query(m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return true
	case *pgproto3.FunctionCall:
		s.dropBatch()
		return s.refuseRequest(fault.NotSupported, true)
	}
	if reason := s.appendMessage(message); reason != fault.None {
		s.dropBatch()
		return s.refuseRequest(reason, false)
	}
	return true
}

// refuseRequest refuses a request that has not reached a server; done also sends ReadyForQuery.
func (s *pgSession) refuseRequest(r fault.Reason, done bool) bool {
	return s.answerFault(&fault.Fault{Reason: r, Outcome: fault.NotSent, Trace: s.instance.trace()}, !done)
}

// dropBatch drops the batch. Its portals were not bound, so that their names may stand for others.
func (s *pgSession) dropBatch() {
	s.batch.reset()
	clear(s.portals)
}

// failTx rolls back the open transaction by closing its connection. For the caller it counts as
// failed until the caller ends it.
func (s *pgSession) failTx() {
	s.EndTx()
	s.txFailed, s.status = true, TxFailed
}

// query runs a Query message. What the caller sent before it without a Sync is answered first; if
// that fails, the Query is skipped.
func (s *pgSession) query(m *pgproto3.Query) bool {
	if !s.flush() {
		return false
	}
	if s.skipToSync {
		return true
	}
	class := stmt.Classify(m.String)
	if class.Kind == stmt.Refused {
		return s.refuseRequest(fault.NotSupported, true)
	}
	if handled, alive := s.queryProxySetting(class); handled {
		return alive
	}
	s.batch.simple = true
	s.batch.add(class)
	s.batch.messages, _ = m.Encode(s.batch.messages)
	return s.execute()
}

func (s *pgSession) sync() bool {
	if s.skipToSync {
		s.skipToSync = false
		s.batch.reset()
		return s.ready()
	}
	if !s.batch.needsServer() {
		s.sendInjected()
		return s.ready()
	}
	var end pgproto3.Sync
	s.batch.messages, _ = end.Encode(s.batch.messages)
	return s.execute()
}

// sendInjected sends the replies that the instance gives on behalf of a server, and empties the batch.
func (s *pgSession) sendInjected() {
	for _, m := range s.batch.injected {
		s.sendInjectedReply(m)
	}
	s.batch.reset()
}

func (s *pgSession) sendInjectedReply(m proto.InjectedMessage) {
	if m.Kind == '3' {
		s.wire.Send(&pgproto3.CloseComplete{})
		return
	}
	s.wire.Send(&pgproto3.ParseComplete{})
}

// flush runs the batch if it executes no statement; the result is then the same as after a
// Sync. A batch that executes statements is refused, because running it before the Sync would
// commit too early.
func (s *pgSession) flush() bool {
	if s.skipToSync {
		return s.wire.Flush() == nil
	}
	if !s.batch.needsServer() {
		s.sendInjected()
		return s.wire.Flush() == nil
	}
	if s.batch.executes > 0 {
		s.dropBatch()
		return s.refuseRequest(fault.NotSupported, false)
	}
	var end pgproto3.Sync
	s.batch.messages, _ = end.Encode(s.batch.messages)
	return s.executeWithoutReady()
}

// execute runs the batch and sends the complete answer.
func (s *pgSession) execute() bool { return s.runBatch(false) }

// executeWithoutReady runs the batch and omits the final ReadyForQuery from the answer.
func (s *pgSession) executeWithoutReady() bool { return s.runBatch(true) }

// runBatch runs the batch and answers it; false ends the session.
func (s *pgSession) runBatch(omitReady bool) bool {
	defer s.batch.reset()
	if s.txFailed {
		clear(s.portals)
		return s.answerFailedTx(omitReady)
	}
	b := &s.batch
	q := &Request{
		Kind: b.kind, ReadOnly: b.class.ReadOnly, Charged: b.charged(), Pin: b.leavesState,
		Content: proto.Request{
			Messages: b.messages, Statements: b.required, Injected: b.injected, NeverCommits: !b.mayCommit, WritesNothing: !b.mayWrite,
		},
	}
	if b.executes == 0 {
		q.Kind = stmt.Read
	}
	sink := &callerSink{session: s, stream: q.Kind == stmt.Read && !omitReady}
	reply := s.Run(q, sink)
	if reply.Fault != nil || reply.Result.ErrorCode != "" {
		clear(s.portals)
		s.skipToSync = s.skipToSync || omitReady
	}
	switch {
	case reply.Revoked:
		return true
	case reply.Fault != nil && reply.Work == nil:
		return s.answerFault(reply.Fault, omitReady)
	case reply.Fault != nil:
		return s.handleFault(reply, sink, omitReady)
	}
	s.recordSet(reply.Work, reply.Result)
	if reply.floorRaised {
		token := ident.Token{Group: reply.Work.Group, Floor: s.floor}
		sink.addBeforeReady(&pgproto3.ParameterStatus{Name: tokenSetting, Value: token.String()})
	}
	return sink.finish(omitReady)
}

// handleFault answers a batch that failed after it was sent to an owner. The session ends if a
// part of the answer has been sent, if its pinned connection is lost, or if nobody can tell
// whether the batch has ended the caller's transaction.
func (s *pgSession) handleFault(reply Reply, sink *callerSink, omitReady bool) bool {
	w, f := reply.Work, reply.Fault
	f.TxRolledBack = s.status != TxNone
	if sink.emitted {
		f.Fatal = true
		s.refuse(f)
		_ = s.wire.Flush()
		return false
	}
	endsTx := w.Kind == stmt.Commit || w.Kind == stmt.Rollback
	if s.pinned || s.tx != 0 && !endsTx && !w.Request.NeverCommits && f.Outcome.Unknown() {
		return s.endWith(f)
	}
	if s.tx != 0 {
		if endsTx {
			s.EndTx()
		} else {
			s.failTx()
		}
	}
	return s.answerFault(f, omitReady)
}

// endWith ends the session, with its pinned connection or its transaction.
func (s *pgSession) endWith(f *fault.Fault) bool {
	f.Fatal = true
	s.EndTx()
	s.refuse(f)
	_ = s.wire.Flush()
	return false
}

// answerFault answers the batch with a fault and fails the open transaction.
func (s *pgSession) answerFault(f *fault.Fault, omitReady bool) bool {
	if s.pinned && s.status == TxOpen {
		return s.endWith(f)
	}
	s.refuse(f)
	if s.status == TxOpen {
		s.failTx()
	}
	if omitReady {
		s.skipToSync = true
		return s.wire.Flush() == nil
	}
	return s.ready()
}

// answerFailedTx answers like PostgreSQL in a failed transaction: everything is refused until
// the caller ends the transaction.
func (s *pgSession) answerFailedTx(omitReady bool) bool {
	kind := s.batch.kind
	if s.batch.executes == 1 && (kind == stmt.Commit || kind == stmt.Rollback) {
		s.txFailed, s.status = false, TxNone
		if s.batch.simple {
			s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		} else {
			s.answerRollback()
		}
		return s.ready()
	}
	s.wire.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	})
	if omitReady {
		s.skipToSync = true
		return s.wire.Flush() == nil
	}
	return s.ready()
}

// answerRollback sends the replies to the messages of a batch that ends the transaction, as a server would send them.
func (s *pgSession) answerRollback() {
	injected, answered := s.batch.injected, 0
	for data := s.batch.messages; len(data) >= 5; answered++ {
		for len(injected) > 0 && injected[0].After <= answered {
			s.sendInjectedReply(injected[0])
			injected = injected[1:]
		}
		size := int(binary.BigEndian.Uint32(data[1:]))
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
		case 'E':
			s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		case 'C':
			s.wire.Send(&pgproto3.CloseComplete{})
		}
		data = data[1+size:]
	}
}
