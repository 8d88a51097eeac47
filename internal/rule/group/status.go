package group

import (
	"time"

	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=Role -linecomment -output=role_string.go

// Role is the role that a server reports for itself.
type Role uint8

// The roles of a server.
const (
	Replica Role = iota // replica
	Primary             // primary
)

// Status is the state that a server reported about itself.
type Status struct {
	Server ident.ServerID
	Role   Role
	// Term is the server's current term, Sealed the term that it is sealed for, and LogTerm
	// the term of the last entry in its log.
	Term    ident.Term
	Sealed  ident.Term
	LogTerm ident.Term
	// Received and Applied are the ends of the log that it has received and applied.
	Received ident.Position
	Applied  ident.Position
	// AppliedTerm is the term of the last applied position; 0 if the server does not report it.
	AppliedTerm ident.Term
	// UpstreamSilence is the time between a replica's last contact with its primary and the report.
	UpstreamSilence time.Duration
	Load            Load
}

// Load is what a server reports of its load; the zero value means that it reports none.
type Load struct {
	Known bool
	// Busy is the number of statements that it runs, Connections the number of its open connections,
	// each for all instances together.
	Busy        int
	Connections int
}

// Majority returns the smallest number of servers that is a majority of size.
func Majority(size int) int { return size/2 + 1 }

// QuorumPosition returns the highest position that a majority of size servers has received in
// the term; false if no majority is in that term.
func QuorumPosition(statuses []Status, size int, term ident.Term) (ident.Position, bool) {
	var positions []ident.Position
	for _, s := range statuses {
		if s.Term == term && s.LogTerm == term {
			positions = insertDescending(positions, s.Received)
		}
	}
	quorum := Majority(size)
	if len(positions) < quorum {
		return 0, false
	}
	return positions[quorum-1], true
}

// insertDescending inserts p into a slice that is sorted from high to low.
func insertDescending(sorted []ident.Position, p ident.Position) []ident.Position {
	at := len(sorted)
	for at > 0 && sorted[at-1] < p {
		at--
	}
	sorted = append(sorted, 0)
	copy(sorted[at+1:], sorted[at:])
	sorted[at] = p
	return sorted
}

// MostAdvanced returns the status with the most advanced log: the highest log term, then the
// highest received position.
func MostAdvanced(statuses []Status) Status {
	best := statuses[0]
	for _, s := range statuses[1:] {
		if s.LogTerm > best.LogTerm || s.LogTerm == best.LogTerm && s.Received > best.Received {
			best = s
		}
	}
	return best
}
