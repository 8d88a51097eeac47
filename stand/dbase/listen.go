package dbase

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// listen is the server's door: its address, its open connections and its limits.
type listen struct {
	addr   string
	opened atomic.Uint64
	// statements counts what the server ran.
	statements atomic.Int64

	mu       sync.Mutex
	heard    []string
	listener net.Listener
	conns    map[uint64]net.Conn
	slots    chan struct{}
}

func (s *Server) serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.conns = map[uint64]net.Conn{}
	if s.slots == nil {
		s.slots = make(chan struct{}, max(s.group.conf.Slots, 1))
	}
	s.mu.Unlock()
	go s.accept(l)
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		id := s.opened.Add(1)
		go s.handle(id, c)
	}
}

func (s *Server) handle(id uint64, c net.Conn) {
	defer c.Close()
	time.Sleep(s.group.conf.ConnectTime)
	within := s.admit(id, c)
	defer s.forget(id)
	newSession(s, id, c).run(within)
}

// admit registers a connection and reports whether it is within the limit.
func (s *Server) admit(id uint64, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		c.Close()
	}
	s.conns[id] = c
	return len(s.conns) <= s.group.conf.Connections
}

func (s *Server) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
}

// Kill closes the door and every connection, as a crash does; the log is kept.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for _, c := range s.conns {
		c.Close()
	}
}

// disconnect closes every connection, as the demotion of a primary does.
func (s *Server) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// Restart opens the door again at the same address.
func (s *Server) Restart() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// heardMost bounds what a server remembers of what it was told.
const heardMost = 1000

// hear remembers a start-up or a statement.
func (s *Server) hear(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.heard) < heardMost {
		s.heard = append(s.heard, text)
	}
}

// Heard returns the start-ups and statements that the server was told, the first few of them.
func (s *Server) Heard() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.heard)
}

// Statements returns how many statements the server has run.
func (s *Server) Statements() int64 { return s.statements.Load() }

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == nil
}
