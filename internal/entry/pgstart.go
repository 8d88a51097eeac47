package entry

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

const (
	// startupTimeout bounds the time from the connection of a caller to the end of its startup.
	startupTimeout = 10 * time.Second
	// maxMessageBytes bounds one message of a caller, in bytes.
	maxMessageBytes = 64 << 20
	// maxPasswordBytes bounds the password message, in bytes.
	maxPasswordBytes = 1024
	// lingerTimeout is how long a caller may still read its last answer after the session ends.
	lingerTimeout = 500 * time.Millisecond
)

// postgres implements the PostgreSQL protocol.
type postgres struct{}

// Serve implements Dialect.
func (postgres) Serve(s *Session) { (&pgSession{Session: s}).run() }

// pgSession is a session whose caller uses the PostgreSQL protocol.
type pgSession struct {
	*Session
	secure bool
	// askedTLS and askedGSS are set once the caller has asked for that encryption.
	askedTLS, askedGSS bool
	wire               *pgproto3.Backend
	// txFailed is set from the loss of a transaction until the caller ends the transaction.
	txFailed   bool
	statements map[string]*prepared
	// portals are the portals that the server is known to have bound, or that the batch binds. Others
	// may do anything.
	portals map[string]*prepared
	batch   batch
	// skipToSync is set while messages are ignored up to the next Sync after an error.
	skipToSync bool
	// inDoubt is set while the caller's last message has an unknown outcome.
	inDoubt bool
}

// processPrefixOf returns the leading bits of an instance's process IDs, a hash of its name.
func processPrefixOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name)>>32) &^ (1<<(32-processPrefixBits) - 1)
}

func (s *pgSession) run() {
	defer s.closeConn()
	_ = s.conn.SetDeadline(clock.Deadline(startupTimeout))
	s.wire = pgproto3.NewBackend(s.conn, s.conn)
	if !s.startup() {
		return
	}
	_ = s.conn.SetDeadline(time.Time{})
	s.serve()
}

// closeConn rolls back the open transaction and closes the connection in a way that lets the
// caller read its last answer.
func (s *pgSession) closeConn() {
	s.EndTx()
	if halfCloser, ok := s.conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		_ = s.conn.SetReadDeadline(clock.Deadline(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(s.conn, maxMessageBytes))
	}
	s.conn.Close()
}

// startup handles the startup messages of the caller and admits it.
func (s *pgSession) startup() bool {
	message, err := s.wire.ReceiveStartupMessage()
	if err != nil {
		s.refuseStartup(fault.BadStartup)
		return false
	}
	if !s.mayAsk(message) {
		s.refuseStartup(fault.BadStartup)
		return false
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest:
		return s.startTLS()
	case *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return s.startup()
	case *pgproto3.CancelRequest:
		s.handleCancel(m)
		return false
	case *pgproto3.StartupMessage:
		return s.admit(m)
	}
	s.refuseStartup(fault.BadStartup)
	return false
}

// mayAsk reports whether a message is not another request for the same encryption.
func (s *pgSession) mayAsk(m pgproto3.FrontendMessage) bool {
	asked := false
	switch m.(type) {
	case *pgproto3.SSLRequest:
		asked, s.askedTLS = s.askedTLS, true
	case *pgproto3.GSSEncRequest:
		asked, s.askedGSS = s.askedGSS, true
	}
	return !asked
}

// handleCancel handles a cancel request, which may be for a session of another instance.
func (s *pgSession) handleCancel(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if !s.instance.callers.cancel(m.ProcessID, secret) {
		s.instance.forwardCancel(m.ProcessID, secret)
	}
}

func (s *pgSession) startTLS() bool {
	if s.instance.conf.CallerTLS == nil || s.secure {
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return s.startup()
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	secured := tls.Server(s.conn, s.instance.conf.CallerTLS)
	ctx, cancel := context.WithTimeout(s.instance.tomb.Context(context.Background()), startupTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return false
	}
	s.conn, s.secure = secured, true
	s.wire = pgproto3.NewBackend(secured, secured)
	return s.startup()
}

// refuseStartup refuses a caller that is not admitted.
func (s *pgSession) refuseStartup(r fault.Reason) {
	s.refuse(&fault.Fault{Reason: r, Outcome: fault.NotSent, Trace: s.instance.trace(), Fatal: true})
	_ = s.wire.Flush()
}

// refuse counts a fault and queues it for the caller; it does not flush.
func (s *pgSession) refuse(f *fault.Fault) {
	s.inDoubt = f.Outcome.Unknown()
	f.TxRolledBack = f.TxRolledBack || s.status != TxNone
	s.instance.journal.RecordRefusal(f, s.access.Customer, s.access.Group)
	s.wire.Send(f.Response())
}

// admit checks the caller's key and completes the startup. A refusal does not disclose whether
// the customer, the database or the key is wrong.
func (s *pgSession) admit(m *pgproto3.StartupMessage) bool {
	if s.instance.conf.RequireTLS && !s.secure {
		s.refuseStartup(fault.PlaintextKey)
		return false
	}
	database := ident.ServiceID(m.Parameters["database"])
	if !s.instance.awaitReady(database) {
		s.refuseStartup(fault.NotReady)
		return false
	}
	key := ""
	if !s.instance.configCache.Current().IsOpen(database) {
		var ok bool
		if key, ok = s.requestKey(); !ok {
			return false
		}
	}
	s.wire.SetMaxBodyLen(maxMessageBytes)
	access, ok := s.instance.configCache.Current().Authenticate(ident.CustomerID(m.Parameters["user"]), database, conf.HashKey(key))
	if !ok {
		s.refuseStartup(fault.KeyRefused)
		return false
	}
	if access.Key != "" && s.instance.keysUnchecked() {
		s.refuseStartup(fault.KeyUnchecked)
		return false
	}
	s.mu.Lock()
	s.access, s.hasAccess = access, true
	s.mu.Unlock()
	return s.completeStartup(m.Parameters)
}

// requestKey asks the caller for its key as a clear-text password.
func (s *pgSession) requestKey() (string, bool) {
	s.wire.Send(&pgproto3.AuthenticationCleartextPassword{})
	if s.wire.Flush() != nil {
		return "", false
	}
	_ = s.wire.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	s.wire.SetMaxBodyLen(maxPasswordBytes)
	message, err := s.wire.Receive()
	password, ok := message.(*pgproto3.PasswordMessage)
	if err != nil || !ok {
		s.refuseStartup(fault.BadStartup)
		return "", false
	}
	return password.Password, true
}

// serverParameters are the parameters that are reported to a caller at startup.
var serverParameters = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// connectionParameters are the startup parameters that are not settings of the database.
var connectionParameters = map[string]bool{
	"user": true, "database": true, "application_name": true, "client_encoding": true, "replication": true, "options": true,
}

// completeStartup applies the settings among the startup parameters and tells the caller that
// it is admitted.
func (s *pgSession) completeStartup(requested map[string]string) bool {
	s.floorGroup = s.access.Group
	for name, value := range requested {
		if connectionParameters[name] {
			continue
		}
		if isProxySetting(name) {
			if s.setProxySetting(name, value) != nil {
				s.refuseStartup(fault.BadStartup)
				return false
			}
			continue
		}
		if !validName(name) {
			s.refuseStartup(fault.BadStartup)
			return false
		}
		s.recordSetting(proto.Setting{Name: name, Value: value})
	}
	s.wire.Send(&pgproto3.AuthenticationOk{})
	for _, p := range serverParameters {
		s.wire.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.wire.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	return s.ready()
}

// sendTermination sends the caller the reason why the instance ends its session, if there is one.
// A caller may take it for the answer to its last message, so it promises no more than that did.
// txOpen is set if the caller had a transaction open, which has been rolled back.
func (s *pgSession) sendTermination(txOpen bool) {
	s.mu.Lock()
	reason := s.revoked
	if reason == fault.None && s.draining {
		reason = fault.ShuttingDown
	}
	s.mu.Unlock()
	if reason == fault.None {
		return
	}
	outcome := fault.NotSent
	if s.inDoubt {
		outcome = fault.Unknown
	}
	_ = s.conn.SetWriteDeadline(clock.Deadline(lingerTimeout))
	s.refuse(&fault.Fault{Reason: reason, Outcome: outcome, Trace: s.instance.trace(), TxRolledBack: txOpen, Fatal: true})
	_ = s.wire.Flush()
}

// ready sends ReadyForQuery and reports whether the caller could be reached.
func (s *pgSession) ready() bool {
	s.wire.Send(&pgproto3.ReadyForQuery{TxStatus: byte(s.status)})
	return s.wire.Flush() == nil
}
