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
	// acceptRetryDelay is the pause after a failed accept, for example when file descriptors run out.
	acceptRetryDelay = 5 * time.Millisecond
	// revokeGrace is how long a running request may continue after its key is withdrawn.
	revokeGrace = time.Second
	// keyCheckInterval is how often the age of the last key check is compared with the key grace.
	keyCheckInterval = time.Second
)

// callers holds the open sessions of the instance.
type callers struct {
	instance *Instance
	mu       sync.Mutex
	sessions map[uint32]*Session
	lastID   uint32
	closed   bool
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
			time.Sleep(acceptRetryDelay)
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

// processPrefixBits is the number of leading bits of a process ID that identify the instance that issued it.
const processPrefixBits = 12

func (c *callers) add(conn net.Conn) (*Session, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	for {
		c.lastID++
		id := c.instance.processPrefix() | c.lastID&(1<<(32-processPrefixBits)-1)
		if c.sessions[id] != nil {
			continue
		}
		s := newSession(c.instance, id, conn)
		c.sessions[id] = s
		c.instance.metrics.callers.Inc()
		return s, true
	}
}

func (c *callers) remove(s *Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s.processID)
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

// recheck ends the sessions whose key, customer or route is missing from a new configuration.
func (c *callers) recheck(s *conf.Snapshot) {
	ended := int64(0)
	for _, caller := range c.all() {
		access, ok := caller.admitted()
		if !ok {
			continue
		}
		if _, reason := revalidate(s, access); reason != fault.None {
			caller.revoke(reason)
			ended++
		}
	}
	if ended > 0 {
		c.instance.journal.Add(jrnl.Event{Kind: jrnl.CallersEnded, Version: s.Version, Count: ended, Evidence: "their key, customer or route is no longer valid"})
	}
}

// sweepUncheckedKeys ends the sessions that were admitted with a key once no check of the
// keys has succeeded for longer than the key grace.
func (i *Instance) sweepUncheckedKeys() error {
	ticker := time.NewTicker(keyCheckInterval)
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
			if access, ok := caller.admitted(); ok && access.Key != "" {
				caller.revoke(fault.KeyUnchecked)
			}
		}
	}
}

// keysUnchecked reports whether the last confirmation of the configuration, and so of the
// keys in it, is older than the key grace.
func (i *Instance) keysUnchecked() bool {
	return i.configCache.SinceConfirmed() > i.configCache.Current().Defaults.KeyGrace
}

// cancel stops the running request of the session that a cancel request identifies. It
// reports whether there is such a session.
func (c *callers) cancel(processID, secret uint32) bool {
	c.mu.Lock()
	s := c.sessions[processID]
	c.mu.Unlock()
	if s == nil || s.secret != secret {
		return false
	}
	s.cancelRunning()
	return true
}

// processPrefix returns the leading bits of the process IDs that this instance issues.
func (i *Instance) processPrefix() uint32 { return processPrefixOf(string(i.conf.Instance)) }

// forwardCancel forwards a cancel request to the instances whose process ID prefix matches.
func (i *Instance) forwardCancel(processID, secret uint32) {
	ctx, cancel := context.WithTimeout(i.tomb.Context(context.Background()), time.Second)
	defer cancel()
	for _, id := range i.members.others() {
		if processPrefixOf(string(id)) == processID&^(1<<(32-processPrefixBits)-1) {
			_ = i.hub.Notify(ctx, id, peer.RemoteCancel{Process: processID, Secret: secret})
		}
	}
}

// stopAccepting closes the listener; callers that it has accepted already are turned away.
func (c *callers) stopAccepting() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.instance.conf.Callers.Close()
}

// kill closes the connection of every caller at once.
func (c *callers) kill() {
	c.stopAccepting()
	for _, s := range c.all() {
		s.conn.Close()
	}
}
