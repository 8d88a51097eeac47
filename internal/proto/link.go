package proto

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/pkg/ident"
)

// Link is the network connection to a server, with the state that every dialect has to
// track. Except for Interrupt it is not safe for concurrent use.
type Link struct {
	net.Conn
	server ident.ServerID
	// broken is set once the link must not be reused.
	broken bool
	// silent is set once the link was interrupted as dead.
	silent atomic.Bool
	// report receives findings; it may be nil.
	report func(Finding)
}

// NewLink returns a Link over an established connection to the target's server.
func NewLink(t Target, c net.Conn) *Link { return &Link{Conn: c, server: t.Server, report: t.Report} }

// Server returns the server's ID.
func (l *Link) Server() ident.ServerID { return l.server }

// MarkBroken marks the link as unusable without closing it.
func (l *Link) MarkBroken() { l.broken = true }

// Close ends the link at once.
func (l *Link) Close() error {
	l.broken = true
	return l.Conn.Close()
}

// Interrupt aborts the running request because the link seems dead; it may be called
// from another goroutine.
func (l *Link) Interrupt() {
	l.silent.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0))
}

// BindContext applies the deadline and the cancellation of ctx to the link until the returned
// function is called. If ctx ends before that, the link becomes unusable.
func (l *Link) BindContext(ctx context.Context) func() {
	deadline, _ := ctx.Deadline()
	_ = l.SetDeadline(deadline)
	if ctx.Done() == nil {
		return func() {}
	}
	stop := context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Unix(1, 0)) })
	return func() {
		if !stop() {
			l.broken = true
		}
	}
}

// Fail closes the link and returns a *RunError with the stage that the request reached
// and its cause: the error of ctx if that has ended, otherwise err.
func (l *Link) Fail(ctx context.Context, stage Stage, err error) error {
	_ = l.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &RunError{Server: l.server, Stage: stage, Unresponsive: l.silent.Load(), Cause: err}
}

// Find reports a finding.
func (l *Link) Find(v Violation, evidence string) {
	if l.report != nil {
		l.report(Finding{Violation: v, Evidence: evidence})
	}
}

// FindError reports an error that is a violation of the protocol.
func (l *Link) FindError(err error) {
	var violation *ProtocolError
	if errors.As(err, &violation) {
		l.Find(violation.Violation, violation.Error())
	}
}

// Abort is Fail for an error in what the server has sent, which it reports if it is a violation of the protocol.
func (l *Link) Abort(ctx context.Context, stage Stage, err error) error {
	l.FindError(err)
	return l.Fail(ctx, stage, err)
}

// InsideAnswer returns the error of a read that has failed inside an answer, where no connection may end.
func InsideAnswer(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return &ProtocolError{Violation: Cut, What: "the connection ended inside an answer", Cause: err}
	}
	return err
}

// Condition returns whether the link is open and no unsolicited data has arrived on it. It
// peeks at the socket without blocking.
func (l *Link) Condition() Condition {
	if l.broken || l.silent.Load() {
		return Broken
	}
	if wrapped, ok := l.Conn.(interface{ Unread() (int, bool) }); ok {
		return condition(wrapped.Unread())
	}
	raw, ok := l.Conn.(syscall.Conn)
	if !ok {
		return Usable
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Broken
	}
	// Past the deadline of the last request, nothing could be read.
	_ = l.SetReadDeadline(time.Time{})
	var unread int
	var open bool
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		var e error
		unread, _, e = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN)
		return true
	})
	if err != nil {
		return Broken
	}
	return condition(unread, open)
}

// condition returns the condition of a link on which bytes are unread, or that is open without any.
func condition(unread int, open bool) Condition {
	switch {
	case unread > 0:
		return Surplus
	case open:
		return Usable
	}
	return Ended
}
