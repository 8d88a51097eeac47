package dbase

import (
	"net"
	"time"

	"gopkg.in/tomb.v2"

	"geraniumseam.dev/pkg/ident"
)

// Config configures a database group.
type Config struct {
	Group   ident.GroupID
	Servers []ident.ServerID
	// Slots is how many statements a server runs at the same time.
	Slots int
	// Connections is the limit of connections to a server.
	Connections int
	// ConnectTime is how long a server takes to accept a connection.
	ConnectTime time.Duration
	// ServiceTime is how long a statement holds a slot.
	ServiceTime time.Duration
	// ReplicationDelay is the one-way delay from the primary to a replica.
	ReplicationDelay time.Duration
	User             string
	Password         string
}

// Group is a running database group.
type Group struct {
	conf    Config
	servers []*Server
	byID    map[ident.ServerID]*Server
	tomb    tomb.Tomb
}

// replicationPollInterval is how often a replica checks for new entries when it is not notified.
const replicationPollInterval = 5 * time.Millisecond

// Start starts a group on loopback; its first server is the primary of term 1.
func Start(c Config) (*Group, error) {
	g := &Group{conf: c, byID: map[ident.ServerID]*Server{}}
	for _, id := range c.Servers {
		s, err := newServer(g, id)
		if err != nil {
			g.Stop()
			return nil, err
		}
		g.servers = append(g.servers, s)
		g.byID[id] = s
	}
	first := g.servers[0].store
	first.role = Primary
	for _, s := range g.servers[1:] {
		s.store.upstream = first.id
	}
	for _, s := range g.servers {
		g.tomb.Go(func() error { return g.replicate(s) })
	}
	return g, nil
}

// Stop stops the group and closes all its connections.
func (g *Group) Stop() {
	g.tomb.Kill(nil)
	for _, s := range g.servers {
		s.Kill()
	}
	if len(g.servers) > 0 {
		_ = g.tomb.Wait()
	}
}

// Servers returns the group's servers in the configured order.
func (g *Group) Servers() []*Server { return g.servers }

// Server returns the named server, or nil.
func (g *Group) Server(id ident.ServerID) *Server { return g.byID[id] }

// Primary returns the primary of the highest term, or nil.
func (g *Group) Primary() *Server {
	var primary *Server
	var highest ident.Term
	for _, s := range g.servers {
		status := s.Status()
		if status.Role == Primary && status.Term >= highest {
			primary, highest = s, status.Term
		}
	}
	return primary
}

// replicate keeps s up to date with the primary that it follows, until the group stops.
func (g *Group) replicate(s *Server) error {
	timer := time.NewTimer(replicationPollInterval)
	defer timer.Stop()
	for {
		changed := g.pull(s)
		timer.Reset(replicationPollInterval)
		select {
		case <-g.tomb.Dying():
			return nil
		case <-changed:
			if !g.waitReplicationDelay() {
				return nil
			}
		case <-timer.C:
		}
	}
}

// waitReplicationDelay waits for the replication delay; false means that the group stops.
func (g *Group) waitReplicationDelay() bool {
	if g.conf.ReplicationDelay == 0 {
		return true
	}
	select {
	case <-g.tomb.Dying():
		return false
	case <-time.After(g.conf.ReplicationDelay):
		return true
	}
}

// pull copies new entries from the primary once, applies those that are due and returns a channel
// that is closed on the next change, or nil if only polling can tell.
func (g *Group) pull(s *Server) <-chan struct{} {
	s.store.mu.Lock()
	role, upstream, ownChanged := s.store.role, s.store.upstream, s.store.changed
	s.store.mu.Unlock()
	source := g.byID[upstream]
	if role != Replica || source == nil || s.isDown() {
		return ownChanged
	}
	if source.isDown() || source.faults.Freeze.Load() || s.faults.isPartitioned(source.store.id) || source.faults.isPartitioned(s.store.id) {
		s.store.applyDue(time.Now(), s.faults.applyLag())
		return nil
	}
	source.store.mu.Lock()
	isPrimary, term := source.store.role == Primary, source.store.term
	log, changed := source.store.log[:len(source.store.log):len(source.store.log)], source.store.changed
	source.store.mu.Unlock()
	now := time.Now()
	if isPrimary {
		s.store.receive(term, log, now)
	}
	s.store.applyDue(now, s.faults.applyLag())
	return changed
}

// Server is one backend server of a group.
type Server struct {
	group  *Group
	store  *store
	faults Faults
	endpoint
}

// Faults returns the server's faults, to be switched on and off.
func (s *Server) Faults() *Faults { return &s.faults }

// ID returns the server's name.
func (s *Server) ID() ident.ServerID { return s.store.id }

// Addr returns the server's address on loopback.
func (s *Server) Addr() string { return s.addr }

// Status returns the server's true status, regardless of faults.
func (s *Server) Status() Status { return s.store.status(false) }

// Rows returns a copy of the server's applied rows.
func (s *Server) Rows() map[string]string { return s.store.snapshot() }

func newServer(g *Group, id ident.ServerID) (*Server, error) {
	s := &Server{group: g, store: newStore(id)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.serve(l)
	return s, nil
}
