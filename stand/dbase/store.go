package dbase

import (
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Role says what a server takes itself to be.
type Role string

// The roles a server reports.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

const (
	firstPosition ident.Position = 0x1000000
	bytesPerEntry ident.Position = 0x40
)

// change is one row set or removed.
type change struct {
	id     string
	value  string
	delete bool
}

// entry is one committed transaction in the log.
type entry struct {
	term    ident.Term
	end     ident.Position
	changes []change
	arrived time.Time
}

// Status is what a server reports about itself.
type Status struct {
	Server   ident.ServerID
	Role     Role
	Term     ident.Term
	Sealed   ident.Term
	LogTerm  ident.Term
	Received ident.Position
	Applied  ident.Position
	// Upstream is how long ago the server last heard from the primary it follows.
	Upstream time.Duration
}

// store is one server's log, rows and place in its group.
type store struct {
	mu       sync.Mutex
	id       ident.ServerID
	role     Role
	term     ident.Term
	sealed   ident.Term
	claimant string
	upstream ident.ServerID
	log      []entry
	applied  int
	rows     map[string]string
	locks    map[string]uint64
	heard    time.Time
	changed  chan struct{}
}

func newStore(id ident.ServerID) *store {
	return &store{
		id: id, role: Replica, term: 1, sealed: 1, rows: map[string]string{},
		locks: map[string]uint64{}, heard: time.Now(), changed: make(chan struct{}),
	}
}

// wake lets followers know that the log or the role changed; the caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) received() ident.Position {
	if len(s.log) == 0 {
		return firstPosition
	}
	return s.log[len(s.log)-1].end
}

func (s *store) appliedTo() ident.Position {
	if s.applied == 0 {
		return firstPosition
	}
	return s.log[s.applied-1].end
}

func (s *store) logTerm() ident.Term {
	if len(s.log) == 0 {
		return 1
	}
	return s.log[len(s.log)-1].term
}

func (s *store) status(lie bool) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Status{
		Server: s.id, Role: s.role, Term: s.term, Sealed: s.sealed,
		LogTerm: s.logTerm(), Received: s.received(), Applied: s.appliedTo(),
	}
	if lie {
		report.Applied = report.Received
	}
	if s.role == Replica {
		report.Upstream = time.Since(s.heard)
	}
	return report
}

// leads reports whether the server may take writes: a primary that no later term has sealed.
func (s *store) leads() bool { return s.role == Primary && s.sealed <= s.term }

// commit appends the changes and applies them at once.
func (s *store) commit(changes []change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return errReadOnly
	}
	s.append(changes)
	return nil
}

func (s *store) append(changes []change) {
	s.log = append(s.log, entry{term: s.term, end: s.received() + bytesPerEntry, changes: changes, arrived: time.Now()})
	s.applyThrough(len(s.log))
	s.wake()
}

func (s *store) applyThrough(count int) {
	for ; s.applied < count; s.applied++ {
		for _, c := range s.log[s.applied].changes {
			if c.delete {
				delete(s.rows, c.id)
				continue
			}
			s.rows[c.id] = c.value
		}
	}
}

// seal promises to follow no term below the given one; one claimant holds a term.
func (s *store) seal(term ident.Term, claimant string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.sealed || term <= s.term && s.claimant != claimant {
		return false
	}
	if term == s.sealed && s.claimant != claimant {
		return false
	}
	s.sealed, s.claimant = term, claimant
	s.wake()
	return true
}

// promote makes the server the primary of a term that it has sealed.
func (s *store) promote(term ident.Term, claimant string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == Primary && s.term == term && s.claimant == claimant {
		return true
	}
	if s.sealed != term || s.claimant != claimant || s.term >= term {
		return false
	}
	s.role, s.term, s.upstream = Primary, term, ""
	s.append(nil)
	return true
}

// follow makes the server a replica of the given primary in the given term.
func (s *store) follow(term ident.Term, upstream ident.ServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.sealed || term < s.term || term == s.term && s.role == Primary {
		return false
	}
	s.role, s.upstream = Replica, upstream
	s.sealed = term
	s.heard = time.Now()
	s.wake()
	return true
}

// receive copies what the primary has and discards a tail that the primary lacks.
func (s *store) receive(term ident.Term, log []entry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || term < s.sealed {
		return
	}
	s.heard = now
	same := sharedPrefix(s.log, log)
	if same < len(s.log) {
		s.truncate(same)
	}
	s.term = term
	for _, e := range log[same:] {
		e.arrived = now
		s.log = append(s.log, e)
	}
}

// sharedPrefix counts the entries that two logs have in common; logs that agree
// on an entry's term and end agree on all before it.
func sharedPrefix(a, b []entry) int {
	same := min(len(a), len(b))
	for same > 0 && (a[same-1].term != b[same-1].term || a[same-1].end != b[same-1].end) {
		same--
	}
	return same
}

func (s *store) truncate(count int) {
	s.log = slices.Clone(s.log[:count])
	if s.applied <= count {
		return
	}
	s.applied = 0
	s.rows = map[string]string{}
	s.applyThrough(count)
}

// applyDue applies what arrived at least lag ago.
func (s *store) applyDue(now time.Time, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.applied
	for due < len(s.log) && now.Sub(s.log[due].arrived) >= lag {
		due++
	}
	s.applyThrough(due)
}

// snapshot returns a copy of the rows.
func (s *store) snapshot() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}
