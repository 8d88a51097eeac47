package proto

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/pkg/ident"
)

// Link is the network's end of a connection to a server, with what every dialect needs
// to know of it; but for Interrupt it is not safe for concurrent use.
type Link struct {
	net.Conn
	server ident.ServerID
	broken bool
	silent atomic.Bool
}

// NewLink returns a link to a server.
func NewLink(server ident.ServerID, c net.Conn) *Link { return &Link{Conn: c, server: server} }

// Server returns the server's name.
func (l *Link) Server() ident.ServerID { return l.server }

// Break marks the link as of no more use.
func (l *Link) Break() { l.broken = true }

// Close ends the link at once.
func (l *Link) Close() error {
	l.broken = true
	return l.Conn.Close()
}

// Interrupt stops the request that runs because the link seems to have gone silent;
// it may be called by another goroutine.
func (l *Link) Interrupt() {
	l.silent.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0))
}

// Bound ties the link's deadline to ctx; what it returns unties it.
func (l *Link) Bound(ctx context.Context) func() {
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

// Fail closes the link and says how far a request got on it.
func (l *Link) Fail(ctx context.Context, stage Stage, err error) error {
	_ = l.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &RunError{Server: l.server, Stage: stage, Silent: l.silent.Load(), Cause: err}
}

// Quiet reports whether the link is open and nothing unasked has arrived on it.
func (l *Link) Quiet() bool {
	if l.broken || l.silent.Load() {
		return false
	}
	if wrapped, ok := l.Conn.(interface{ Quiet() bool }); ok {
		return wrapped.Quiet()
	}
	raw, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var quiet bool
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
