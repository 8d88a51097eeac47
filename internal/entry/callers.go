package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/rule/conf"
)

const (
	// acceptPause spaces accepts after a failure, as when file descriptors run out.
	acceptPause = 5 * time.Millisecond
	// revokeGrace is how long a request that runs when its key is withdrawn may go on.
	revokeGrace = time.Second
	// sweepPause is how often callers are checked against the age of the configuration.
	sweepPause = time.Second
)

// callers keeps the instance's sessions.
type callers struct {
	instance *Instance
	mu       sync.Mutex
	sessions map[uint32]*Session
	next     uint32
	closed   bool
	wait     sync.WaitGroup
}

func newCallers(i *Instance) *callers {
	return &callers{instance: i, sessions: map[uint32]*Session{}}
}

func (c *callers) accept() error {
	for {
		conn, err := c.instance.conf.Callers.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s, ok := c.add(conn)
		if !ok {
			conn.Close()
			continue
		}
		go s.run()
	}
}

// instanceBits is how much of a process number tells the instance that gave it out.
const instanceBits = 12

func (c *callers) add(conn net.Conn) (*Session, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	for {
		c.next++
		id := c.instance.processMark() | c.next&(1<<(32-instanceBits)-1)
		if c.sessions[id] != nil {
			continue
		}
		s := newSession(c.instance, id, conn)
		c.sessions[id] = s
		c.wait.Add(1)
		c.instance.metrics.callers.Inc()
		return s, true
	}
}

func (c *callers) remove(s *Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s.process)
	c.wait.Done()
	c.instance.metrics.callers.Dec()
}

func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

func (c *callers) all() []*Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*Session, 0, len(c.sessions))
	for _, s := range c.sessions {
		all = append(all, s)
	}
	return all
}

// recheck ends the callers whose key, customer or route a new configuration has withdrawn.
func (c *callers) recheck(s *conf.Snapshot) {
	ended := int64(0)
	for _, caller := range c.all() {
		access, in := caller.admitted()
		if !in {
			continue
		}
		if _, still := s.Renew(access); !still {
			caller.revoke(fault.KeyWithdrawn)
			ended++
		}
	}
	if ended > 0 {
		c.instance.journal.Add(jrnl.Event{Kind: jrnl.CallersEnded, Version: s.Version, Count: ended, Evidence: "their key was withdrawn"})
	}
}

// sweep ends callers once keys have gone unchecked for longer than the grace.
func (i *Instance) sweep() error {
	ticker := time.NewTicker(sweepPause)
	defer ticker.Stop()
	for {
		select {
		case <-i.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		if !i.keysUnchecked() {
			continue
		}
		for _, caller := range i.callers.all() {
			if access, in := caller.admitted(); in && access.Key != "" {
				caller.revoke(fault.KeyUnchecked)
			}
		}
	}
}

// keysUnchecked reports whether nobody has confirmed the keys for longer than the grace.
func (i *Instance) keysUnchecked() bool {
	return i.keeper.CheckedAgo() > i.keeper.Current().Defaults.KeyGrace
}

// cancel stops the running request of the caller that a cancel request names.
func (c *callers) cancel(process, secret uint32) bool {
	c.mu.Lock()
	s := c.sessions[process]
	c.mu.Unlock()
	if s == nil || s.secret != secret {
		return false
	}
	s.cancelRunning()
	return true
}

// processMark is what the process numbers of this instance begin with.
func (i *Instance) processMark() uint32 { return markOf(string(i.conf.Instance)) }

// forwardCancel hands a cancel request to the instances whose process numbers begin like the one it names.
func (i *Instance) forwardCancel(process, secret uint32) {
	ctx, cancel := context.WithTimeout(i.tomb.Context(context.Background()), time.Second)
	defer cancel()
	for _, id := range i.members.others() {
		if markOf(string(id)) == process&^(1<<(32-instanceBits)-1) {
			_ = i.hub.Tell(ctx, id, peer.CancelAsk{Process: process, Secret: secret})
		}
	}
}

// drain closes callers at a boundary: idle ones at once, the others as their
// request or transaction ends, all that remain when the time is over.
func (c *callers) drain(ctx context.Context, most time.Duration) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.instance.conf.Callers.Close()
	for _, s := range c.all() {
		s.retire()
	}
	done := make(chan struct{})
	go func() {
		c.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(most):
	}
}

// kill cuts every caller.
func (c *callers) kill() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.instance.conf.Callers.Close()
	for _, s := range c.all() {
		s.conn.Close()
	}
}
