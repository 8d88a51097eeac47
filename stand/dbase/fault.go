package dbase

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/trip"
)

// Faults is what a server has been told to do wrong; the zero value does nothing wrong.
type Faults struct {
	// Lag delays the application of received entries, in nanoseconds.
	Lag atomic.Int64
	// Slow delays each statement, in nanoseconds.
	Slow atomic.Int64
	// Lie reports received entries as applied.
	Lie atomic.Bool
	// Freeze answers nothing on any connection.
	Freeze atomic.Bool
	// LoseCommits closes the connection after that many further commits, unanswered.
	LoseCommits trip.Count
	// CutBefore closes the connection before that many further writes run.
	CutBefore trip.Count
	// Surplus sends one unasked answer after that many further statements.
	Surplus trip.Count
	// Split sends answers a few bytes at a time.
	Split atomic.Bool

	mu     sync.Mutex
	cut    map[ident.ServerID]bool
	silent uint64
}

// Cut separates the server from a peer for replication, or joins them again.
func (f *Faults) Cut(peer ident.ServerID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut == nil {
		f.cut = map[ident.ServerID]bool{}
	}
	f.cut[peer] = cut
}

func (f *Faults) isCut(peer ident.ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[peer]
}

// Silence makes all connections opened so far go silent for good; new ones work.
func (s *Server) Silence() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.silent = s.opened.Load()
}

func (s *Server) isSilent(conn uint64) bool {
	if s.faults.Freeze.Load() {
		return true
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return conn <= s.faults.silent
}

func (f *Faults) lag() time.Duration { return time.Duration(f.Lag.Load()) }
