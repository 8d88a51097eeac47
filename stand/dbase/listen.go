package dbase

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is the network side of a server: its address, connections and limits.
type endpoint struct {
	addr string
	// opened is the number of connections opened so far, which is the ID of the last one.
	opened atomic.Uint64
	// statements counts the statements that the server ran, without control functions.
	statements atomic.Int64

	mu sync.Mutex
	// recorded holds the first texts passed to recordInput.
	recorded []string
	// listener is nil while the server is down.
	listener net.Listener
	conns    map[uint64]net.Conn
	// slots bounds the statements that run at the same time.
	slots chan struct{}
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
	withinLimit := s.register(id, c)
	defer s.unregister(id)
	newSession(s, id, c).run(withinLimit)
}

// register adds a connection and reports whether it is within the limit.
func (s *Server) register(id uint64, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		c.Close()
	}
	s.conns[id] = c
	return len(s.conns) <= s.group.conf.Connections
}

func (s *Server) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
}

// Kill closes the listener and every connection, as a crash does; the log is kept.
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

// closeConns closes every connection, as happens when a primary is demoted.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// Restart listens again on the same address after Kill.
func (s *Server) Restart() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// maxRecorded bounds the texts that recordInput keeps.
const maxRecorded = 1000

// recordInput records a startup message with its password, or the text of a Parse message.
func (s *Server) recordInput(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recorded) < maxRecorded {
		s.recorded = append(s.recorded, text)
	}
}

// RecordedInput returns the first startup messages, passwords and Parse texts that the server received.
func (s *Server) RecordedInput() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.recorded)
}

// Statements returns the number of statements that the server has run, without control functions.
func (s *Server) Statements() int64 { return s.statements.Load() }

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == nil
}
