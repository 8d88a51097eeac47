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

// prepared is a caller's prepared statement.
type prepared struct {
	statement proto.Statement
	class     stmt.Class
}

// maxPrepared bounds a caller's prepared statements.
const maxPrepared = 1024

// batch gathers a caller's messages until they can be run.
type batch struct {
	messages []byte
	// answered counts the messages that the server will answer.
	answered int
	needs    []proto.Statement
	inserts  []proto.Insert
	kind     stmt.Kind
	executes int
	class    stmt.Class
	// keeps is set if a statement leaves state on its connection.
	keeps bool
	// parsedHere is set if the unnamed statement was parsed in this batch.
	parsedHere bool
	// simple marks a batch that a Query message makes on its own.
	simple bool
}

func (b *batch) reset() {
	*b = batch{messages: b.messages[:0]}
}

// need makes sure that the connection knows the statement before the batch runs.
func (b *batch) need(p *prepared) {
	for _, known := range b.needs {
		if known.Name == p.statement.Name {
			return
		}
	}
	b.needs = append(b.needs, p.statement)
}

// add counts in one more statement that the batch executes.
func (b *batch) add(c stmt.Class) {
	b.executes++
	b.keeps = b.keeps || c.Keeps
	if b.executes == 1 {
		b.kind, b.class = c.Kind, c
		return
	}
	b.class = stmt.Class{}
	if controls(b.kind) || controls(c.Kind) {
		b.kind = stmt.Pin
		return
	}
	b.kind = max(b.kind, c.Kind)
}

// charged reports whether the batch costs a token: ending a transaction does not, nor does preparing.
func (b *batch) charged() bool {
	return b.executes > 0 && b.kind != stmt.Commit && b.kind != stmt.Rollback
}

// controls reports whether a statement changes the state that later ones run in.
func controls(k stmt.Kind) bool {
	switch k {
	case stmt.Begin, stmt.Commit, stmt.Rollback, stmt.Set, stmt.Pin:
		return true
	}
	return false
}

// nameOf gives a statement the same name on every connection, whoever prepares it.
func nameOf(query string, oids []uint32) string {
	h := sha256.New()
	h.Write([]byte(query))
	var number [4]byte
	for _, oid := range oids {
		binary.BigEndian.PutUint32(number[:], oid)
		h.Write(number[:])
	}
	return "g" + hex.EncodeToString(h.Sum(nil)[:16])
}

// gather takes in one message of the extended protocol; a fault refuses it.
func (s *pgSession) gather(message pgproto3.FrontendMessage) fault.Reason {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.gatherParse(m)
	case *pgproto3.Bind:
		return s.gatherBind(m)
	case *pgproto3.Describe:
		return s.gatherDescribe(m)
	case *pgproto3.Execute:
		return s.gatherExecute(m)
	case *pgproto3.Close:
		return s.gatherClose(m)
	}
	return fault.BadMessage
}

func (s *pgSession) gatherParse(m *pgproto3.Parse) fault.Reason {
	class := stmt.Classify(m.Query)
	if class.Kind == stmt.Refused || class.Kind == stmt.Show && isOwn(class.Setting) {
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
		s.batch.parsedHere = true
		s.batch.messages, _ = m.Encode(s.batch.messages)
		s.batch.answered++
		return fault.None
	}
	p.statement.Name = nameOf(m.Query, m.ParameterOIDs)
	s.batch.need(p)
	s.batch.inserts = append(s.batch.inserts, proto.Insert{After: s.batch.answered, Kind: '1'})
	return fault.None
}

// lookUp finds a statement and makes sure that the connection will know it.
func (s *pgSession) lookUp(name string) *prepared {
	p := s.statements[name]
	if p != nil && (name != "" || !s.batch.parsedHere) {
		s.batch.need(p)
	}
	return p
}

func (s *pgSession) gatherBind(m *pgproto3.Bind) fault.Reason {
	p := s.lookUp(m.PreparedStatement)
	bound := *m
	if p != nil {
		bound.PreparedStatement = p.statement.Name
		if s.portals == nil {
			s.portals = map[string]*prepared{}
		}
		s.portals[m.DestinationPortal] = p
	}
	s.batch.messages, _ = bound.Encode(s.batch.messages)
	s.batch.answered++
	return fault.None
}

func (s *pgSession) gatherDescribe(m *pgproto3.Describe) fault.Reason {
	described := *m
	if m.ObjectType == 'S' {
		if p := s.lookUp(m.Name); p != nil {
			described.Name = p.statement.Name
		}
	}
	s.batch.messages, _ = described.Encode(s.batch.messages)
	s.batch.answered++
	return fault.None
}

func (s *pgSession) gatherExecute(m *pgproto3.Execute) fault.Reason {
	class := stmt.Class{Kind: stmt.Pin}
	if p := s.portals[m.Portal]; p != nil {
		class = p.class
	}
	s.batch.add(class)
	s.batch.messages, _ = m.Encode(s.batch.messages)
	s.batch.answered++
	return fault.None
}

// gatherClose forgets a statement; the connections keep it for others.
func (s *pgSession) gatherClose(m *pgproto3.Close) fault.Reason {
	if m.ObjectType == 'S' && m.Name != "" {
		delete(s.statements, m.Name)
		s.batch.inserts = append(s.batch.inserts, proto.Insert{After: s.batch.answered, Kind: '3'})
		return fault.None
	}
	delete(s.portals, m.Name)
	s.batch.messages, _ = m.Encode(s.batch.messages)
	s.batch.answered++
	return fault.None
}
