package dbase

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	textOID        = 25
	lockWait       = 2 * time.Second
	lockPause      = time.Millisecond
	silencePause   = 20 * time.Millisecond
	splitPause     = 200 * time.Microsecond
	backendVersion = "16.0 (stand-in)"
)

// prepared is a statement kept by name.
type prepared struct{ command command }

// portal is a statement with its parameters.
type portal struct {
	command command
	values  []string
}

// session is one connection to a server.
type session struct {
	server     *Server
	id         uint64
	conn       net.Conn
	wire       *pgproto3.Backend
	inTx       bool
	failed     bool
	skipping   bool
	committed  bool
	changes    []change
	locked     []string
	statements map[string]*prepared
	portals    map[string]*portal
}

func newSession(s *Server, id uint64, c net.Conn) *session {
	return &session{
		server: s, id: id, conn: c, wire: pgproto3.NewBackend(c, splitter{c, &s.faults}),
		statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
}

// splitter writes a few bytes at a time while the fault is on.
type splitter struct {
	net.Conn
	faults *Faults
}

// Write implements io.Writer.
func (w splitter) Write(p []byte) (int, error) {
	if !w.faults.Split.Load() {
		return w.Conn.Write(p)
	}
	const piece = 7
	for at := 0; at < len(p); at += piece {
		if _, err := w.Conn.Write(p[at:min(at+piece, len(p))]); err != nil {
			return at, err
		}
		time.Sleep(splitPause)
	}
	return len(p), nil
}

func (s *session) run(within bool) {
	if !s.start(within) {
		return
	}
	defer s.endTx()
	for {
		message, err := s.wire.Receive()
		if err != nil {
			return
		}
		s.waitWhileSilent()
		if !s.handle(message) {
			return
		}
	}
}

// waitWhileSilent waits for as long as the connection is told to be silent.
func (s *session) waitWhileSilent() {
	for s.server.isSilent(s.id) {
		if s.server.down() {
			return
		}
		time.Sleep(silencePause)
	}
}

func (s *session) start(within bool) bool {
	message, err := s.wire.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte("N")); err != nil {
			return false
		}
		return s.start(within)
	case *pgproto3.CancelRequest:
		return false
	case *pgproto3.StartupMessage:
		s.waitWhileSilent()
		return s.authenticate(m, within)
	}
	return false
}

func (s *session) authenticate(m *pgproto3.StartupMessage, within bool) bool {
	if !within {
		return s.fatal(errTooMany)
	}
	s.wire.Send(&pgproto3.AuthenticationCleartextPassword{})
	if s.wire.Flush() != nil {
		return false
	}
	_ = s.wire.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	message, err := s.wire.Receive()
	if err != nil {
		return false
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	s.server.hear(fmt.Sprint(m.Parameters, password))
	c := s.server.group.conf
	if !ok || password.Password != c.Password || m.Parameters["user"] != c.User {
		return s.fatal(errPassword)
	}
	s.wire.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{{"server_version", backendVersion}, {"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		s.wire.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.wire.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: []byte{1, 2, 3, 4}})
	return s.ready()
}

func (s *session) fatal(e *sqlError) bool {
	s.wire.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: e.code, Message: e.message})
	_ = s.wire.Flush()
	return false
}

// ready ends a request: work outside a transaction block commits here, as one.
func (s *session) ready() bool {
	if !s.inTx {
		if err := s.commitTx(); err != nil {
			s.sendError(err)
		}
		s.endTx()
	}
	if s.committed && s.server.faults.LoseCommits.Take() {
		return false
	}
	s.committed = false
	status := byte('I')
	if s.inTx {
		status = 'T'
	}
	if s.failed {
		status = 'E'
	}
	s.wire.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.wire.Flush() == nil
}

func (s *session) sendError(err error) {
	var known *sqlError
	if !errors.As(err, &known) {
		known = &sqlError{"XX000", err.Error()}
	}
	if s.inTx {
		s.failed = true
	} else {
		s.endTx()
	}
	s.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: known.code, Message: known.message})
}

// handle answers one message; false ends the connection.
func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		s.skipping = false
		return s.ready()
	case *pgproto3.Flush:
		return s.wire.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	if s.skipping {
		return true
	}
	alive, err := s.extended(message)
	if err != nil {
		s.sendError(err)
		s.skipping = true
	}
	return alive
}

func (s *session) query(text string) bool {
	parts := strings.Split(text, ";")
	ran := false
	for _, part := range parts {
		c, err := lookUp(part)
		if err == nil && c.run == nil {
			continue
		}
		ran = true
		if err == nil {
			var alive bool
			if alive, err = s.execute(c, nil, true); !alive {
				return false
			}
		}
		if err != nil {
			s.sendError(err)
			break
		}
	}
	if !ran {
		s.wire.Send(&pgproto3.EmptyQueryResponse{})
	}
	return s.ready()
}

func (s *session) extended(message pgproto3.FrontendMessage) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Parse:
		s.server.hear(m.Query)
		c, err := lookUp(m.Query)
		if err != nil {
			return true, err
		}
		s.statements[m.Name] = &prepared{command: c}
		s.wire.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return true, s.bind(m)
	case *pgproto3.Describe:
		return true, s.describe(m)
	case *pgproto3.Execute:
		p := s.portals[m.Portal]
		if p == nil {
			return true, errNoPortal
		}
		return s.execute(p.command, p.values, false)
	case *pgproto3.Close:
		delete(s.statements, m.Name)
		s.wire.Send(&pgproto3.CloseComplete{})
	}
	return true, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return errNoStmt
	}
	made := &portal{command: p.command}
	for _, value := range m.Parameters {
		made.values = append(made.values, string(value))
	}
	s.portals[m.DestinationPortal] = made
	s.wire.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p := s.statements[m.Name]
		if p == nil {
			return errNoStmt
		}
		oids := make([]uint32, p.command.params())
		for at := range oids {
			oids[at] = textOID
		}
		s.wire.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		s.sendColumns(p.command)
		return nil
	}
	p := s.portals[m.Name]
	if p == nil {
		return errNoPortal
	}
	s.sendColumns(p.command)
	return nil
}

func (s *session) sendColumns(c command) {
	if len(c.columns) == 0 {
		s.wire.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(c.columns))
	for at, name := range c.columns {
		fields[at] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	s.wire.Send(&pgproto3.RowDescription{Fields: fields})
}

// execute runs one statement in a slot; false ends the connection without an answer.
func (s *session) execute(c command, values []string, describe bool) (bool, error) {
	if c.run == nil {
		s.wire.Send(&pgproto3.EmptyQueryResponse{})
		return true, nil
	}
	if s.failed && !c.control {
		return true, errAborted
	}
	writes := len(c.columns) == 0
	if writes && s.server.faults.CutBefore.Take() {
		return false, nil
	}
	made, err := s.inSlot(c, values)
	if err != nil {
		return true, err
	}
	s.waitWhileSilent()
	if describe && len(c.columns) > 0 {
		s.sendColumns(c)
	}
	s.sendAnswer(made)
	if s.server.faults.Surplus.Take() {
		s.sendAnswer(answer{rows: [][]string{{"surplus"}}, tag: "SELECT 1"})
		s.wire.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	return true, nil
}

func (s *session) inSlot(c command, values []string) (answer, error) {
	control := len(c.columns) > 0 && strings.HasPrefix(c.columns[0], "group_") || len(c.columns) == len(statusColumns)
	if !control {
		s.server.statements.Add(1)
		s.server.slots <- struct{}{}
		defer func() { <-s.server.slots }()
		if d := s.server.group.conf.ServiceTime + time.Duration(s.server.faults.Slow.Load()); d > 0 {
			time.Sleep(d)
		}
	}
	return c.run(s, c.bind(values))
}

func (s *session) sendAnswer(a answer) {
	for _, row := range a.rows {
		values := make([][]byte, len(row))
		for at, text := range row {
			values[at] = []byte(text)
		}
		s.wire.Send(&pgproto3.DataRow{Values: values})
	}
	s.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
}
