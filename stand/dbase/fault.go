package dbase

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/trip"
)

// Faults are the faults of a server; the zero value injects none.
type Faults struct {
	// ApplyLag delays applying received log entries, in nanoseconds.
	ApplyLag atomic.Int64
	// StatementDelay delays each statement, in nanoseconds.
	StatementDelay atomic.Int64
	// ReportUnapplied makes the status report received entries as applied.
	ReportUnapplied atomic.Bool
	// Freeze stops all answers on all connections.
	Freeze atomic.Bool
	// LoseCommitAnswers closes the connection without an answer after each of that many further commits.
	LoseCommitAnswers trip.Count
	// CloseBeforeWrites closes the connection before it runs each of that many further writes.
	CloseBeforeWrites trip.Count
	// SurplusAnswers sends an extra answer after each of that many further statements.
	SurplusAnswers trip.Count
	// RepeatedAnswers sends an exact copy of the answer to each of that many further messages that run a
	// statement, RepeatedStatus to each that runs only control functions. RepeatDelay is the time from an
	// answer to its copy, in nanoseconds; a connection that is closed meanwhile gets none.
	RepeatedAnswers trip.Count
	RepeatedStatus  trip.Count
	RepeatDelay     atomic.Int64
	// SplitAnswers sends answers a few bytes at a time.
	SplitAnswers atomic.Bool

	mu          sync.Mutex
	partitioned map[ident.ServerID]bool
	losses      []*Loss
	// silentThrough is the number of the last connection that is silent.
	silentThrough uint64
}

// Partition stops replication between the server and a peer, or resumes it.
func (f *Faults) Partition(peer ident.ServerID, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned == nil {
		f.partitioned = map[ident.ServerID]bool{}
	}
	f.partitioned[peer] = partitioned
}

func (f *Faults) isPartitioned(peer ident.ServerID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[peer]
}

// SilenceConnections stops all answers, for good, on the connections opened so far; new ones work.
func (s *Server) SilenceConnections() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.silentThrough = s.opened.Load()
}

func (s *Server) isSilent(conn uint64) bool {
	if s.faults.Freeze.Load() {
		return true
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return conn <= s.faults.silentThrough
}

func (f *Faults) applyLag() time.Duration { return time.Duration(f.ApplyLag.Load()) }
