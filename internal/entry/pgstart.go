package entry

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

const (
	// startupTime bounds the time from a connection to its first request.
	startupTime = 10 * time.Second
	// maxMessage bounds one message of a caller, in bytes.
	maxMessage = 64 << 20
	// maxPassword bounds the password message, in bytes.
	maxPassword = 1024
	// lingerClose is how long a closed caller may still read its last answer.
	lingerClose = 500 * time.Millisecond
)

// postgres speaks PostgreSQL's protocol with callers.
type postgres struct{}

// Serve implements Dialect.
func (postgres) Serve(s *Session) { (&pgSession{Session: s}).run() }

// pgSession is a session whose caller speaks PostgreSQL's protocol.
type pgSession struct {
	*Session
	secure bool
	wire   *pgproto3.Backend
	// lostTx is set while the caller has not yet acknowledged that its transaction is gone.
	lostTx     bool
	statements map[string]*prepared
	portals    map[string]*prepared
	batch      batch
	skipping   bool
}

// markOf hashes an instance's name into the leading bits of its process numbers.
func markOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name)>>32) &^ (1<<(32-instanceBits) - 1)
}

func (s *pgSession) run() {
	defer s.finish()
	_ = s.conn.SetDeadline(time.Now().Add(startupTime))
	s.wire = pgproto3.NewBackend(s.conn, s.conn)
	if !s.start() {
		return
	}
	_ = s.conn.SetDeadline(time.Time{})
	s.serve()
}

// finish frees what the session held and closes its connection so that the caller can still read.
func (s *pgSession) finish() {
	s.endTx()
	if half, ok := s.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(lingerClose))
		_, _ = io.Copy(io.Discard, io.LimitReader(s.conn, maxMessage))
	}
	s.conn.Close()
}

// start greets the caller and lets it in.
func (s *pgSession) start() bool {
	message, err := s.wire.ReceiveStartupMessage()
	if err != nil {
		s.refuseStart(fault.BadStartup)
		return false
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest:
		return s.startTLS()
	case *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return s.start()
	case *pgproto3.CancelRequest:
		s.cancelOther(m)
		return false
	case *pgproto3.StartupMessage:
		return s.admit(m)
	}
	s.refuseStart(fault.BadStartup)
	return false
}

func (s *pgSession) cancelOther(m *pgproto3.CancelRequest) {
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
		return s.start()
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return false
	}
	secured := tls.Server(s.conn, s.instance.conf.CallerTLS)
	ctx, cancel := context.WithTimeout(s.instance.tomb.Context(context.Background()), startupTime)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return false
	}
	s.conn, s.secure = secured, true
	s.wire = pgproto3.NewBackend(secured, secured)
	return s.start()
}

// refuseStart ends a caller that was not let in.
func (s *pgSession) refuseStart(r fault.Reason) {
	s.refuse(&fault.Fault{Reason: r, Outcome: fault.NotRun, Trace: s.instance.trace(), Fatal: true})
	_ = s.wire.Flush()
}

// refuse counts and sends a fault; the caller flushes.
func (s *pgSession) refuse(f *fault.Fault) {
	s.instance.journal.Refuse(f, s.access.Customer, s.access.Group)
	s.wire.Send(f.Response())
}

// admit checks the caller's key; what was wrong is not told.
func (s *pgSession) admit(m *pgproto3.StartupMessage) bool {
	if s.instance.conf.RequireTLS && !s.secure {
		s.refuseStart(fault.PlaintextKey)
		return false
	}
	snapshot := s.instance.keeper.Current()
	database := ident.ServiceID(m.Parameters["database"])
	key := ""
	if !snapshot.IsOpen(database) {
		var ok bool
		if key, ok = s.askKey(); !ok {
			return false
		}
	}
	access, ok := s.instance.keeper.Current().Admit(ident.CustomerID(m.Parameters["user"]), database, conf.HashKey(key))
	if !ok {
		s.refuseStart(fault.KeyRefused)
		return false
	}
	if access.Key != "" && s.instance.keysUnchecked() {
		s.refuseStart(fault.KeyUnchecked)
		return false
	}
	s.mu.Lock()
	s.access, s.in = access, true
	s.mu.Unlock()
	return s.welcome(m.Parameters)
}

func (s *pgSession) askKey() (string, bool) {
	s.wire.Send(&pgproto3.AuthenticationCleartextPassword{})
	if s.wire.Flush() != nil {
		return "", false
	}
	_ = s.wire.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	s.wire.SetMaxBodyLen(maxPassword)
	message, err := s.wire.Receive()
	password, ok := message.(*pgproto3.PasswordMessage)
	if err != nil || !ok {
		s.refuseStart(fault.BadStartup)
		return "", false
	}
	s.wire.SetMaxBodyLen(maxMessage)
	return password.Password, true
}

// parameters are what a caller is told about the server at the start.
var parameters = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// ownStartup are start-up parameters that are not settings of the database.
var ownStartup = map[string]bool{
	"user": true, "database": true, "application_name": true, "client_encoding": true, "replication": true, "options": true,
}

func (s *pgSession) welcome(given map[string]string) bool {
	s.floorOf = s.access.Group
	for name, value := range given {
		if ownStartup[name] {
			continue
		}
		if isOwn(name) {
			if s.setOwn(name, value) != nil {
				s.refuseStart(fault.BadStartup)
				return false
			}
			continue
		}
		if !validName(name) {
			s.refuseStart(fault.BadStartup)
			return false
		}
		s.remember(name, value)
	}
	s.wire.Send(&pgproto3.AuthenticationOk{})
	for _, p := range parameters {
		s.wire.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.wire.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	return s.ready()
}

// sendTermination tells a caller why its session ends.
func (s *pgSession) sendTermination() {
	s.mu.Lock()
	reason := s.revoked
	if reason == fault.None && s.retired {
		reason = fault.ShuttingDown
	}
	s.mu.Unlock()
	if reason == fault.None {
		return
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(lingerClose))
	s.refuse(&fault.Fault{Reason: reason, Outcome: fault.NotRun, Trace: s.instance.trace(), Fatal: true})
	_ = s.wire.Flush()
}

func (s *pgSession) ready() bool {
	s.wire.Send(&pgproto3.ReadyForQuery{TxStatus: byte(s.status)})
	return s.wire.Flush() == nil
}
