package dbase

import (
	"net"
	"time"

	"gopkg.in/tomb.v2"

	"geraniumseam.dev/pkg/ident"
)

// Config describes one database group.
type Config struct {
	Group       ident.GroupID
	Servers     []ident.ServerID
	Slots       int
	Connections int
	// ConnectTime is how long a new connection takes.
	ConnectTime time.Duration
	// ServiceTime is how long a statement holds a slot.
	ServiceTime time.Duration
	// ReplicationTime is how long an entry travels to a replica.
	ReplicationTime time.Duration
	User            string
	Password        string
}

// Group is a running database group.
type Group struct {
	conf    Config
	servers []*Server
	byID    map[ident.ServerID]*Server
	tomb    tomb.Tomb
}

// replicationPause bounds how long a replica waits for news before it looks again.
const replicationPause = 5 * time.Millisecond

// Start runs a group on loopback; its first server is the primary of term 1.
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

// Stop ends the group and all its connections.
func (g *Group) Stop() {
	g.tomb.Kill(nil)
	for _, s := range g.servers {
		s.Kill()
	}
	if len(g.servers) > 0 {
		_ = g.tomb.Wait()
	}
}

// Servers returns the group's servers in the order they were configured.
func (g *Group) Servers() []*Server { return g.servers }

// Server returns the named server, or nil.
func (g *Group) Server(id ident.ServerID) *Server { return g.byID[id] }

// Primary returns the server that leads the highest term.
func (g *Group) Primary() *Server {
	var found *Server
	var highest ident.Term
	for _, s := range g.servers {
		report := s.Status()
		if report.Role == Primary && report.Term >= highest {
			found, highest = s, report.Term
		}
	}
	return found
}

// replicate pulls the log of whichever server s follows, for as long as the group runs.
func (g *Group) replicate(s *Server) error {
	timer := time.NewTimer(replicationPause)
	defer timer.Stop()
	for {
		changed := g.pull(s)
		timer.Reset(replicationPause)
		select {
		case <-g.tomb.Dying():
			return nil
		case <-changed:
			if !g.travel() {
				return nil
			}
		case <-timer.C:
		}
	}
}

func (g *Group) travel() bool {
	if g.conf.ReplicationTime == 0 {
		return true
	}
	select {
	case <-g.tomb.Dying():
		return false
	case <-time.After(g.conf.ReplicationTime):
		return true
	}
}

// pull copies once and returns what to wait on for the next change.
func (g *Group) pull(s *Server) <-chan struct{} {
	s.store.mu.Lock()
	role, upstream, own := s.store.role, s.store.upstream, s.store.changed
	s.store.mu.Unlock()
	from := g.byID[upstream]
	if role != Replica || from == nil || s.down() {
		return own
	}
	if from.down() || from.faults.Freeze.Load() || s.faults.isCut(from.store.id) || from.faults.isCut(s.store.id) {
		s.store.applyDue(time.Now(), s.faults.lag())
		return nil
	}
	from.store.mu.Lock()
	leads, term := from.store.role == Primary, from.store.term
	log, changed := from.store.log[:len(from.store.log):len(from.store.log)], from.store.changed
	from.store.mu.Unlock()
	now := time.Now()
	if leads {
		s.store.receive(term, log, now)
	}
	s.store.applyDue(now, s.faults.lag())
	return changed
}

// Server is one backend server of a group.
type Server struct {
	group  *Group
	store  *store
	faults Faults
	listen
}

// Faults returns what the server is told to do wrong.
func (s *Server) Faults() *Faults { return &s.faults }

// ID returns the server's name.
func (s *Server) ID() ident.ServerID { return s.store.id }

// Addr returns the server's address on loopback.
func (s *Server) Addr() string { return s.addr }

// Status returns the server's true state.
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
