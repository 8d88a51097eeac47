package dbase

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	textOID = 25
	// lockWait is how long a statement waits for a row lock before it fails with a deadlock error.
	lockWait            = 2 * time.Second
	lockPollInterval    = time.Millisecond
	silencePollInterval = 20 * time.Millisecond
	// splitInterval is the pause between the pieces of a split answer.
	splitInterval  = 200 * time.Microsecond
	backendVersion = "16.0 (stand-in)"
)

// prepared is a prepared statement with the parameter types that its Parse gave.
type prepared struct {
	command command
	types   []uint32
}

// portal is a prepared statement bound to parameter values.
type portal struct {
	command command
	values  []string
}

// session is the state of one connection to a server.
type session struct {
	server  *Server
	id      uint64
	conn    net.Conn
	backend *pgproto3.Backend
	out     *answerWriter
	inTx    bool
	// readOnly means that the transaction refuses writes, defaultReadOnly that later ones do.
	readOnly, defaultReadOnly bool
	// failed means that the transaction is aborted.
	failed bool
	// skipToSync means that messages are ignored until Sync, after an error in the extended protocol.
	skipToSync bool
	// implicitBlock means that several statements of a simple query run, and lastOfQuery that the last
	// statement of one runs.
	implicitBlock, lastOfQuery bool
	// committed means that the current request has committed changes.
	committed bool
	// changes are the transaction's uncommitted changes, and locked the rows that it has locked.
	changes []change
	locked  []string
	// savepoints are the transaction's open savepoints, oldest first.
	savepoints []savepoint
	// loss is the fault of the message that runs.
	loss *Loss
	// ranStatement and ranControl are set once the message that runs has run a statement or a control function.
	ranStatement, ranControl bool
	statements               map[string]*prepared
	portals                  map[string]*portal
}

func newSession(s *Server, id uint64, c net.Conn) *session {
	out := &answerWriter{Conn: c, faults: &s.faults}
	return &session{
		server: s, id: id, conn: c, backend: pgproto3.NewBackend(c, out), out: out,
		statements: map[string]*prepared{}, portals: map[string]*portal{},
	}
}

// answerWriter writes a few bytes at a time while the fault SplitAnswers is on, and a part of an
// answer that is cut.
type answerWriter struct {
	net.Conn
	faults *Faults
	cut    Point
	// repeat sends the next answer twice.
	repeat bool
	// mu keeps an answer and the copy of another apart.
	mu sync.Mutex
}

// Write implements io.Writer.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.repeat {
		w.repeat = false
		copied := bytes.Clone(p)
		// The copy waits for the mutex, and so follows the answer.
		time.AfterFunc(time.Duration(w.faults.RepeatDelay.Load()), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_, _ = w.send(copied)
		})
	}
	if w.cut != "" {
		_, err := w.Conn.Write(cutAnswer(p, w.cut))
		return len(p), err
	}
	return w.send(p)
}

func (w *answerWriter) send(p []byte) (int, error) {
	if !w.faults.SplitAnswers.Load() {
		return w.Conn.Write(p)
	}
	const piece = 7
	for at := 0; at < len(p); at += piece {
		if _, err := w.Conn.Write(p[at:min(at+piece, len(p))]); err != nil {
			return at, err
		}
		time.Sleep(splitInterval)
	}
	return len(p), nil
}

// run serves the connection until it ends; withinLimit tells whether the connection is within the
// server's limit.
func (s *session) run(withinLimit bool) {
	if !s.start(withinLimit) {
		return
	}
	defer s.releaseAdvisoryLocks()
	defer s.endTx()
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.waitWhileSilent()
		if !s.handle(message) {
			return
		}
	}
}

// waitWhileSilent blocks while a fault keeps the connection silent and the server is up.
func (s *session) waitWhileSilent() {
	for s.server.isSilent(s.id) {
		if s.server.isDown() {
			return
		}
		time.Sleep(silencePollInterval)
	}
}

// start handles the startup messages and reports whether the session is authenticated.
func (s *session) start(withinLimit bool) bool {
	message, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte("N")); err != nil {
			return false
		}
		return s.start(withinLimit)
	case *pgproto3.CancelRequest:
		return false
	case *pgproto3.StartupMessage:
		s.waitWhileSilent()
		return s.authenticate(m, withinLimit)
	}
	return false
}

func (s *session) authenticate(m *pgproto3.StartupMessage, withinLimit bool) bool {
	if !withinLimit {
		return s.fatal(errTooMany)
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if s.backend.Flush() != nil {
		return false
	}
	_ = s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	message, err := s.backend.Receive()
	if err != nil {
		return false
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	s.server.recordInput(fmt.Sprint(m.Parameters, password))
	c := s.server.group.conf
	if !ok || password.Password != c.Password || m.Parameters["user"] != c.User {
		return s.fatal(errPassword)
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{{"server_version", backendVersion}, {"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: []byte{1, 2, 3, 4}})
	return s.ready()
}

func (s *session) fatal(e *sqlError) bool {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: e.code, Message: e.message})
	_ = s.backend.Flush()
	return false
}

// ready ends a request with ReadyForQuery. Changes made outside a transaction block are committed
// here, as one transaction. It returns false if the connection is to be closed.
func (s *session) ready() bool {
	if !s.inTx {
		if err := s.commitTx(); err != nil {
			s.sendError(err)
		}
		s.endTx()
	}
	if s.committed && s.server.faults.LoseCommitAnswers.Take() {
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
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	s.out.repeat = s.takeRepeat()
	return s.flushAnswer()
}

// takeRepeat reports whether the answer to the message that has run is to come twice.
func (s *session) takeRepeat() bool {
	ranStatement, ranControl := s.ranStatement, s.ranControl
	s.ranStatement, s.ranControl = false, false
	if ranStatement {
		return s.server.faults.RepeatedAnswers.Take()
	}
	return ranControl && s.server.faults.RepeatedStatus.Take()
}

// sendError sends an error and aborts the transaction.
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
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: known.code, Message: known.message})
}

// handle processes one message; false ends the connection.
func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		s.skipToSync = false
		return s.ready()
	case *pgproto3.Flush:
		return s.backend.Flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	if s.skipToSync {
		return true
	}
	alive, err := s.extended(message)
	if err != nil {
		s.sendError(err)
		s.skipToSync = true
	}
	return alive
}

// query runs the statements of a simple query.
func (s *session) query(text string) bool {
	type statement struct {
		command command
		err     error
	}
	var statements []statement
	for _, part := range splitStatements(text) {
		if c, err := parseStatement(part); err != nil || c.run != nil {
			statements = append(statements, statement{c, err})
		}
	}
	s.implicitBlock = len(statements) > 1
	defer func() { s.implicitBlock, s.lastOfQuery = false, false }()
	for at, parsed := range statements {
		s.lastOfQuery = at == len(statements)-1
		err := parsed.err
		if err == nil {
			var alive bool
			if alive, err = s.execute(parsed.command, nil, true); !alive {
				return false
			}
		}
		if err != nil {
			s.sendError(err)
			break
		}
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	return s.ready()
}

// extended processes a message of the extended query protocol; false ends the connection.
func (s *session) extended(message pgproto3.FrontendMessage) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Parse:
		if m.Query != "" {
			s.server.recordInput(m.Query)
		}
		c, err := parseStatement(m.Query)
		if err != nil {
			return true, err
		}
		if s.failed && c.run != nil && !c.control {
			return true, errAborted
		}
		s.statements[m.Name] = &prepared{command: c, types: slices.Clone(m.ParameterOIDs)}
		s.backend.Send(&pgproto3.ParseComplete{})
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
		s.backend.Send(&pgproto3.CloseComplete{})
	}
	return true, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return errNoStmt
	}
	bound := &portal{command: p.command}
	for _, value := range m.Parameters {
		bound.values = append(bound.values, string(value))
	}
	s.portals[m.DestinationPortal] = bound
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p := s.statements[m.Name]
		if p == nil {
			return errNoStmt
		}
		if s.failed && len(p.command.columns) > 0 {
			return errAborted
		}
		oids := slices.Clone(p.types)
		for at := len(oids); at < p.command.params(); at++ {
			oids = append(oids, textOID)
		}
		for at, oid := range oids {
			if oid == 0 {
				oids[at] = textOID
			}
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
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
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(c.columns))
	for at, name := range c.columns {
		fields[at] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

// execute runs one statement and sends its result; false ends the connection without an answer.
func (s *session) execute(c command, values []string, describe bool) (bool, error) {
	if c.run == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return true, nil
	}
	if s.failed && !c.control {
		return true, errAborted
	}
	writes := len(c.columns) == 0
	if writes && s.server.faults.CloseBeforeWrites.Take() {
		return false, nil
	}
	if alive, err := s.beginLoss(c); !alive || err != nil {
		return alive, err
	}
	res, err := s.runInSlot(c, values)
	if s.loss != nil && s.loss.At == Halfway {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	// A simple query commits before it completes its last statement, the extended protocol at the Sync.
	if s.lastOfQuery && !s.inTx {
		err := s.commitTx()
		s.endTx()
		if err != nil {
			return true, err
		}
	}
	s.waitWhileSilent()
	if describe && len(c.columns) > 0 {
		s.sendColumns(c)
	}
	s.sendResult(res)
	if s.server.faults.SurplusAnswers.Take() {
		s.sendResult(result{rows: [][]string{{"surplus"}}, tag: "SELECT 1"})
		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	return true, nil
}

// runInSlot runs a statement in one of the server's slots; control functions need no slot.
func (s *session) runInSlot(c command, values []string) (result, error) {
	control := len(c.columns) > 0 && strings.HasPrefix(c.columns[0], "group_") || len(c.columns) == len(statusColumns)
	s.ranStatement, s.ranControl = s.ranStatement || !control, s.ranControl || control
	if !control {
		s.server.statements.Add(1)
		s.server.slots <- struct{}{}
		defer func() { <-s.server.slots }()
		if d := s.server.group.conf.ServiceTime + time.Duration(s.server.faults.StatementDelay.Load()); d > 0 {
			time.Sleep(d)
		}
	}
	return c.run(s, c.bind(values))
}

func (s *session) sendResult(a result) {
	for _, row := range a.rows {
		values := make([][]byte, len(row))
		for at, text := range row {
			values[at] = []byte(text)
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
}
