package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=stage -linecomment -output=stage_string.go

// stage is where a session stands between two requests.
type stage uint8

const (
	starting stage = iota // starting
	idle                  // idle
	running               // running
	closing               // closing
)

// TxStatus says how a session's transaction stands.
type TxStatus byte

// The transaction statuses, named as every dialect so far names them.
const (
	Outside TxStatus = 'I'
	Inside  TxStatus = 'T'
	Broken  TxStatus = 'E'
)

// Session is one caller's connection as the engine sees it, whatever its dialect.
type Session struct {
	instance *Instance
	process  uint32
	secret   uint32
	conn     net.Conn

	// mu guards what other goroutines look at.
	mu      sync.Mutex
	stage   stage
	access  conf.Access
	in      bool
	revoked fault.Reason
	retired bool
	cancels context.CancelFunc
	// open is set while the caller has a transaction open, also one that no server knows yet.
	open bool

	// The rest belongs to the session's goroutine.
	floor     ident.Floor
	floorOf   ident.GroupID
	settled   bool
	seen      owner.Seen
	maxAge    time.Duration
	hasMaxAge bool
	settings  []proto.Setting
	status    TxStatus
	tx        owner.TxID
	txOwner   ident.InstanceID
	pinned    bool
}

// Dialect speaks with callers on behalf of the engine.
type Dialect interface {
	// Serve speaks with one caller until it leaves or the session ends.
	Serve(s *Session)
}

func newSession(i *Instance, process uint32, conn net.Conn) *Session {
	return &Session{
		instance: i, process: process, secret: i.random.uint32(), conn: conn, status: Outside,
	}
}

func (s *Session) run() {
	defer s.instance.callers.remove(s)
	defer s.endTx()
	s.instance.conf.Dialect.Serve(s)
}

// Conn returns the caller's connection.
func (s *Session) Conn() net.Conn { return s.conn }

func (s *Session) endTx() {
	if s.tx == 0 {
		return
	}
	s.instance.endTx(s.txOwner, s.access.Group, s.tx)
	s.tx, s.status = 0, Outside
}

// admitted returns what the caller was let in to, if it was.
func (s *Session) admitted() (conf.Access, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.access, s.in
}

// become moves between idle and running; it reports false if the session is to end instead.
func (s *Session) become(next stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage == closing {
		return false
	}
	if next == idle && (s.revoked != fault.None || s.retired && !s.open) {
		s.stage = closing
		return false
	}
	s.stage = next
	return true
}

// revoke ends the session for a reason: at once when it is idle, soon when a request runs.
func (s *Session) revoke(r fault.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revoked != fault.None || s.stage == closing {
		return
	}
	s.revoked = r
	if s.stage == idle {
		s.stage = closing
		s.interrupt()
		return
	}
	time.AfterFunc(revokeGrace, s.cancelRunning)
}

// retire ends the session at its next boundary.
func (s *Session) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	if s.stage == idle && s.tx == 0 {
		s.stage = closing
		s.interrupt()
	}
}

// interrupt wakes the session's goroutine out of its wait for a request.
func (s *Session) interrupt() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }

// cancelRunning stops the request that runs, if one does.
func (s *Session) cancelRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels != nil {
		s.cancels()
	}
}

// endTx rolls back a transaction at its owner.
func (i *Instance) endTx(at ident.InstanceID, g ident.GroupID, tx owner.TxID) {
	if at == i.conf.Instance {
		i.host.End(g, tx)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.hub.Tell(ctx, at, txEnd(g, tx))
}
