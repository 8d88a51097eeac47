package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/stmt"
)

// prepared is a prepared statement of a caller.
type prepared struct {
	statement proto.Statement
	class     stmt.Class
}

// maxPrepared bounds the number of prepared statements of a caller.
const maxPrepared = 1024

// batch collects the messages of a caller until they can be run together.
type batch struct {
	messages []byte
	// expectedReplies is the number of messages in the batch that the server replies to.
	expectedReplies int
	// required are the prepared statements that the batch uses. injected are the replies that
	// the instance adds on behalf of the server.
	required []proto.Statement
	injected []proto.InjectedMessage
	kind     stmt.Kind
	executes int
	class    stmt.Class
	// leavesState is set if a statement leaves state on the server connection.
	leavesState bool
	// parsedUnnamed is set if the unnamed statement is parsed in this batch.
	parsedUnnamed bool
	// simple is set if the batch consists of a Query message.
	simple bool
	// mayCommit is set if a statement may commit the open transaction or one of its own, mayWrite
	// if one may write.
	mayCommit bool
	mayWrite  bool
	// endsTx is set if a statement ends the open transaction, so that what follows is outside of it.
	endsTx bool
}

func (b *batch) reset() {
	*b = batch{messages: b.messages[:0]}
}

// needsServer reports whether a server has to answer a message of the batch.
func (b *batch) needsServer() bool { return len(b.messages) > 0 || len(b.required) > 0 }

// require has the statement prepared on the server connection before the batch runs.
func (b *batch) require(p *prepared) {
	for _, known := range b.required {
		if known.Name == p.statement.Name {
			return
		}
	}
	b.required = append(b.required, p.statement)
}

// add adds the class of a statement that the batch executes. Several statements are run as
// the most demanding of their kinds, or pinned if one of them alters the session.
func (b *batch) add(c stmt.Class) {
	b.executes++
	b.leavesState = b.leavesState || c.LeavesState
	// The Sync commits what the batch runs after a ROLLBACK.
	b.mayCommit = b.mayCommit || !c.NeverCommits || b.endsTx
	b.endsTx = b.endsTx || c.Kind == stmt.Rollback
	b.mayWrite = b.mayWrite || !c.WritesNothing
	if b.executes == 1 {
		b.kind, b.class = c.Kind, c
		return
	}
	b.class = stmt.Class{}
	if altersSession(b.kind) || altersSession(c.Kind) {
		b.kind = stmt.Pin
		return
	}
	b.kind = max(b.kind, c.Kind)
}

// charged reports whether the batch takes a token from the rate. Preparing a statement and
// ending a transaction do not.
func (b *batch) charged() bool {
	return b.executes > 0 && b.kind != stmt.Commit && b.kind != stmt.Rollback
}

// altersSession reports whether a statement changes the session state for later statements.
func altersSession(k stmt.Kind) bool {
	switch k {
	case stmt.Begin, stmt.Commit, stmt.Rollback, stmt.Set, stmt.Pin:
		return true
	}
	return false
}

// statementName returns the name of a statement on server connections. It depends only on the
// text and the parameter types, so that callers share prepared statements.
func statementName(query string, oids []uint32) string {
	h := sha256.New()
	// The length tells where the text ends and the types begin.
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(query)))
	h.Write(length[:])
	h.Write([]byte(query))
	var number [4]byte
	for _, oid := range oids {
		binary.BigEndian.PutUint32(number[:], oid)
		h.Write(number[:])
	}
	return "g" + hex.EncodeToString(h.Sum(nil)[:16])
}

// appendMessage adds a message of the extended query protocol to the batch; a reason other
// than None refuses it.
func (s *pgSession) appendMessage(message pgproto3.FrontendMessage) fault.Reason {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.appendParse(m)
	case *pgproto3.Bind:
		return s.appendBind(m)
	case *pgproto3.Describe:
		return s.appendDescribe(m)
	case *pgproto3.Execute:
		return s.appendExecute(m)
	case *pgproto3.Close:
		return s.appendClose(m)
	}
	return fault.BadMessage
}

func (s *pgSession) appendParse(m *pgproto3.Parse) fault.Reason {
	class := stmt.Classify(m.Query)
	if class.Kind == stmt.Refused || class.Kind == stmt.Show && isProxySetting(class.Setting) {
		return fault.NotSupported
	}
	if s.statements == nil {
		s.statements = map[string]*prepared{}
	}
	if len(s.statements) >= maxPrepared && s.statements[m.Name] == nil {
		return fault.NotSupported
	}
	p := &prepared{class: class, statement: proto.Statement{Query: m.Query, OIDs: append([]uint32(nil), m.ParameterOIDs...)}}
	s.statements[m.Name] = p
	if m.Name == "" {
		s.batch.parsedUnnamed = true
		s.batch.messages, _ = m.Encode(s.batch.messages)
		s.batch.expectedReplies++
		return fault.None
	}
	p.statement.Name = statementName(m.Query, m.ParameterOIDs)
	s.batch.require(p)
	s.batch.injected = append(s.batch.injected, proto.InjectedMessage{After: s.batch.expectedReplies, Kind: '1'})
	return fault.None
}

// lookUp returns the caller's statement, or nil, and adds it to the required ones unless this
// batch parses it.
func (s *pgSession) lookUp(name string) *prepared {
	p := s.statements[name]
	if p != nil && (name != "" || !s.batch.parsedUnnamed) {
		s.batch.require(p)
	}
	return p
}

func (s *pgSession) appendBind(m *pgproto3.Bind) fault.Reason {
	p := s.lookUp(m.PreparedStatement)
	bound := *m
	if p != nil {
		bound.PreparedStatement = p.statement.Name
		if s.portals == nil {
			s.portals = map[string]*prepared{}
		}
		s.portals[m.DestinationPortal] = p
	} else {
		delete(s.portals, m.DestinationPortal)
	}
	// A Bind runs functions: those of the parameters' types, and those that are folded.
	s.batch.mayWrite = s.batch.mayWrite || p == nil || !p.class.WritesNothing
	s.batch.messages, _ = bound.Encode(s.batch.messages)
	s.batch.expectedReplies++
	return fault.None
}

func (s *pgSession) appendDescribe(m *pgproto3.Describe) fault.Reason {
	described := *m
	if m.ObjectType == 'S' {
		if p := s.lookUp(m.Name); p != nil {
			described.Name = p.statement.Name
		}
	}
	s.batch.messages, _ = described.Encode(s.batch.messages)
	s.batch.expectedReplies++
	return fault.None
}

func (s *pgSession) appendExecute(m *pgproto3.Execute) fault.Reason {
	class := stmt.Class{Kind: stmt.Pin}
	if p := s.portals[m.Portal]; p != nil {
		class = p.class
	}
	s.batch.add(class)
	s.batch.messages, _ = m.Encode(s.batch.messages)
	s.batch.expectedReplies++
	return fault.None
}

// appendClose removes a statement of the caller; server connections keep it for other callers.
func (s *pgSession) appendClose(m *pgproto3.Close) fault.Reason {
	if m.ObjectType == 'S' && m.Name != "" {
		delete(s.statements, m.Name)
		s.batch.injected = append(s.batch.injected, proto.InjectedMessage{After: s.batch.expectedReplies, Kind: '3'})
		return fault.None
	}
	delete(s.portals, m.Name)
	s.batch.messages, _ = m.Encode(s.batch.messages)
	s.batch.expectedReplies++
	return fault.None
}
