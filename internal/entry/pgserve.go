package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

func txEnd(g ident.GroupID, tx owner.TxID) peer.Message { return peer.TxEnd{Group: g, Tx: tx} }

// serve takes the caller's requests one after the other.
func (s *pgSession) serve() {
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
func (s *pgSession) malformed(err error) {
	if isDeparture(err) {
		return
	}
	s.refuse(&fault.Fault{Reason: fault.BadMessage, Outcome: fault.NotRun, Trace: s.instance.trace(), Fatal: true})
	_ = s.wire.Flush()
}

// take handles one message; false ends the session.
func (s *pgSession) take(message pgproto3.FrontendMessage) bool {
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
func (s *pgSession) refuseOne(r fault.Reason, done bool) bool {
	s.refuse(&fault.Fault{Reason: r, Outcome: fault.NotRun, Trace: s.instance.trace()})
	if s.status == Inside {
		s.loseTx()
	}
	if done {
		return s.ready()
	}
	return s.wire.Flush() == nil
}

// loseTx rolls the open transaction back and leaves the caller in a failed one until it ends it.
func (s *pgSession) loseTx() {
	s.EndTx()
	s.lostTx, s.status = true, Broken
}

func (s *pgSession) query(m *pgproto3.Query) bool {
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

func (s *pgSession) sync() bool {
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

func (s *pgSession) sendInsert(in proto.Insert) {
	if in.Kind == '3' {
		s.wire.Send(&pgproto3.CloseComplete{})
		return
	}
	s.wire.Send(&pgproto3.ParseComplete{})
}

// flush runs what was gathered if that executes nothing: its effect is then the
// same as after a Sync. Executing before the Sync would commit too early.
func (s *pgSession) flush() bool {
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

// execute runs the gathered batch and answers it whole.
func (s *pgSession) execute() bool { return s.runBatch(false) }

// executeQuietly runs the batch and leaves out the final ReadyForQuery.
func (s *pgSession) executeQuietly() bool { return s.runBatch(true) }

func (s *pgSession) runBatch(quiet bool) bool {
	defer s.batch.reset()
	if s.lostTx {
		return s.answerLostTx(quiet)
	}
	b := &s.batch
	q := &Request{
		Kind: b.kind, ReadOnly: b.class.ReadOnly, Charged: b.charged(), Pin: b.keeps,
		Content: proto.Request{Messages: b.messages, Statements: b.needs, Inserts: b.inserts},
	}
	if b.executes == 0 {
		q.Kind = stmt.Read
	}
	sink := &callerSink{session: s, stream: q.Kind == stmt.Read && !quiet}
	reply := s.Run(q, sink)
	switch {
	case reply.Revoked:
		return true
	case reply.Fault != nil && reply.Work == nil:
		return s.fail(reply.Fault, quiet)
	case reply.Fault != nil:
		return s.concludeFault(reply, sink, quiet)
	}
	s.noteSettings(reply.Work, reply.Result)
	if reply.raised {
		token := ident.Token{Group: reply.Work.Group, Floor: s.floor}
		sink.before(&pgproto3.ParameterStatus{Name: tokenName, Value: token.String()})
	}
	return sink.finish(quiet)
}

func (s *pgSession) concludeFault(reply Reply, sink *callerSink, quiet bool) bool {
	w, f := reply.Work, reply.Fault
	if sink.passed {
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
func (s *pgSession) fail(f *fault.Fault, quiet bool) bool {
	s.refuse(f)
	if s.status == Inside {
		s.loseTx()
	}
	if quiet {
		s.skipping = true
		return s.wire.Flush() == nil
	}
	return s.ready()
}

// answerLostTx answers like PostgreSQL in a failed transaction: everything is refused until the caller ends it.
func (s *pgSession) answerLostTx(quiet bool) bool {
	kind := s.batch.kind
	if s.batch.executes == 1 && (kind == stmt.Commit || kind == stmt.Rollback) {
		s.lostTx, s.status = false, Outside
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
func (s *pgSession) answerShape() {
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
