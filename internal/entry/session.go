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

// stage is the state of a session in its life cycle.
type stage uint8

const (
	starting stage = iota // starting
	idle                  // idle
	running               // running
	closing               // closing
)

// TxStatus is the transaction status of a session.
type TxStatus byte

// The transaction statuses: no transaction, an open one, a failed one. The values are those
// that all present dialects send to callers.
const (
	TxNone   TxStatus = 'I'
	TxOpen   TxStatus = 'T'
	TxFailed TxStatus = 'E'
)

// Session is the state of one caller's connection that does not depend on the dialect.
type Session struct {
	instance  *Instance
	processID uint32
	secret    uint32
	conn      net.Conn

	// mu guards the following fields, which other goroutines access.
	mu            sync.Mutex
	stage         stage
	access        conf.Access
	hasAccess     bool
	revoked       fault.Reason
	draining      bool
	cancelRequest context.CancelFunc
	// txOpen is set while the caller has a transaction open, even if it has not started on a
	// server yet.
	txOpen bool

	// The following fields are used by the session's goroutine only.

	// floor is the minimum state that the session's reads must see, floorGroup the group to
	// which it applies. floorKnown is false until the first floor is set.
	floor      ident.Floor
	floorGroup ident.GroupID
	floorKnown bool
	lastRead   owner.LastRead
	maxAge     time.Duration
	hasMaxAge  bool
	settings   []proto.Setting
	status     TxStatus
	tx         owner.TxID
	txOwner    ident.InstanceID
	pinned     bool
}

// Dialect implements a protocol between callers and the instance.
type Dialect interface {
	// Serve serves one caller until the caller disconnects or the session ends.
	Serve(s *Session)
}

func newSession(i *Instance, processID uint32, conn net.Conn) *Session {
	return &Session{
		instance: i, processID: processID, secret: i.random.uint32(), conn: conn, status: TxNone,
	}
}

func (s *Session) run() {
	defer s.instance.callers.remove(s)
	defer s.EndTx()
	s.instance.conf.Dialect.Serve(s)
}

// Conn returns the caller's connection.
func (s *Session) Conn() net.Conn { return s.conn }

// EndTx rolls back the open transaction, if there is one.
func (s *Session) EndTx() {
	s.SetTxOpen(false)
	if s.tx == 0 {
		return
	}
	s.instance.endTx(s.txOwner, s.access.Group, s.tx)
	s.tx, s.status = 0, TxNone
}

// admitted returns the caller's access; false if it has not been admitted.
func (s *Session) admitted() (conf.Access, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.access, s.hasAccess
}

// enterStage sets the stage to idle or running; it reports false if the session has to end
// instead.
func (s *Session) enterStage(next stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage == closing {
		return false
	}
	if next == idle && (s.revoked != fault.None || s.draining && !s.txOpen) {
		s.stage = closing
		return false
	}
	s.stage = next
	return true
}

// revoke ends the session for a reason: at once if it is idle, otherwise after the running
// request, which is cancelled after revokeGrace.
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

// closeWhenIdle ends the session when no request runs and no transaction is open.
func (s *Session) closeWhenIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.stage == idle && !s.txOpen {
		s.stage = closing
		s.interrupt()
	}
}

// interrupt ends the wait of the session's goroutine for a request, by expiring the read
// deadline.
func (s *Session) interrupt() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }

// cancelRunning cancels the running request, if there is one.
func (s *Session) cancelRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRequest != nil {
		s.cancelRequest()
	}
}

// endTx rolls back a transaction at its owner.
func (i *Instance) endTx(ownerID ident.InstanceID, g ident.GroupID, tx owner.TxID) {
	if ownerID == i.conf.Instance {
		i.host.End(g, tx)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.hub.Notify(ctx, ownerID, txEnd(g, tx))
}
