package dbase

import (
	"maps"
	"slices"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Role is the role that a server reports; after a partition, two servers may both report Primary.
type Role string

// The roles a server reports.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

const (
	// firstPosition is the position of an empty log.
	firstPosition ident.Position = 0x1000000
	bytesPerEntry ident.Position = 0x40
)

// change sets or deletes one row.
type change struct {
	id     string
	value  string
	delete bool
	// deferred has the commit check that no row of that id exists.
	deferred bool
}

// entry is a log entry: one committed transaction.
type entry struct {
	term    ident.Term
	end     ident.Position
	changes []change
	// arrived is when the server received the entry, which ApplyLag counts from.
	arrived time.Time
}

// Status is the replication status of a server.
type Status struct {
	Server   ident.ServerID
	Role     Role
	Term     ident.Term
	Sealed   ident.Term
	LogTerm  ident.Term
	Received ident.Position
	Applied  ident.Position
	// UpstreamSilence is the time since a replica last heard from the primary that it follows.
	UpstreamSilence time.Duration
}

// store is the state of one server: its log, its rows, and its role and term in the group.
type store struct {
	mu   sync.Mutex
	id   ident.ServerID
	role Role
	term ident.Term
	// sealed is the lowest term that the server still accepts; claimant is the instance that it was
	// sealed for.
	sealed   ident.Term
	claimant string
	// upstream is the primary that a replica follows.
	upstream ident.ServerID
	log      []entry
	// applied is the number of log entries applied to rows.
	applied int
	rows    map[string]string
	// locks maps the ID of a locked row to the session that holds the lock.
	locks map[string]uint64
	// advisory maps the key of an advisory lock to the session that holds it.
	advisory    map[string]uint64
	lastContact time.Time
	// changed is closed and replaced when the log or the role changes.
	changed chan struct{}
}

func newStore(id ident.ServerID) *store {
	return &store{
		id: id, role: Replica, term: 1, sealed: 1, rows: map[string]string{},
		locks: map[string]uint64{}, advisory: map[string]uint64{}, lastContact: time.Now(), changed: make(chan struct{}),
	}
}

// notifyChanged wakes up those that wait for a change of the log or the role; the caller holds mu.
func (s *store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) receivedPosition() ident.Position {
	if len(s.log) == 0 {
		return firstPosition
	}
	return s.log[len(s.log)-1].end
}

func (s *store) appliedPosition() ident.Position {
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

func (s *store) status(reportUnapplied bool) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Status{
		Server: s.id, Role: s.role, Term: s.term, Sealed: s.sealed,
		LogTerm: s.logTerm(), Received: s.receivedPosition(), Applied: s.appliedPosition(),
	}
	if reportUnapplied {
		report.Applied = report.Received
	}
	if s.role == Replica {
		report.UpstreamSilence = time.Since(s.lastContact)
	}
	return report
}

// writable reports whether the server accepts writes: it is the primary and not sealed for a later term.
func (s *store) writable() bool { return s.role == Primary && s.sealed <= s.term }

// commit appends a transaction to the log and applies it; it fails on a server that is not writable.
func (s *store) commit(changes []change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writable() {
		return errReadOnly
	}
	s.append(changes)
	return nil
}

func (s *store) append(changes []change) {
	s.log = append(s.log, entry{term: s.term, end: s.receivedPosition() + bytesPerEntry, changes: changes, arrived: time.Now()})
	s.applyThrough(len(s.log))
	s.notifyChanged()
}

// applyThrough applies the log up to the given number of entries.
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

// seal promises the claimant not to follow any term below the given one, and reports success. A term
// can be sealed for one claimant only.
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
	s.notifyChanged()
	return true
}

// promote makes the server the primary of a term that it has sealed for the claimant, and reports success.
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

// follow makes the server a replica of the given primary in the given term, and reports success.
func (s *store) follow(term ident.Term, upstream ident.ServerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.sealed || term < s.term || term == s.term && s.role == Primary {
		return false
	}
	s.role, s.upstream = Replica, upstream
	s.sealed = term
	s.lastContact = time.Now()
	s.notifyChanged()
	return true
}

// receive copies new entries from the primary's log and discards a tail that the primary does not have.
func (s *store) receive(term ident.Term, log []entry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != Replica || term < s.sealed {
		return
	}
	s.lastContact = now
	common := commonPrefix(s.log, log)
	if common < len(s.log) {
		s.truncate(common)
	}
	s.term = term
	for _, e := range log[common:] {
		e.arrived = now
		s.log = append(s.log, e)
	}
}

// commonPrefix returns the number of entries that two logs have in common. Logs that agree on an
// entry's term and end position agree on all entries before it.
func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && (a[n-1].term != b[n-1].term || a[n-1].end != b[n-1].end) {
		n--
	}
	return n
}

// truncate shortens the log to the given number of entries and rebuilds the rows if some of the
// others were applied.
func (s *store) truncate(count int) {
	s.log = slices.Clone(s.log[:count])
	if s.applied <= count {
		return
	}
	s.applied = 0
	s.rows = map[string]string{}
	s.applyThrough(count)
}

// applyDue applies the entries that arrived at least lag ago.
func (s *store) applyDue(now time.Time, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.applied
	for due < len(s.log) && now.Sub(s.log[due].arrived) >= lag {
		due++
	}
	s.applyThrough(due)
}

func (s *store) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.rows[id]
	return found
}

// snapshot returns a copy of the rows.
func (s *store) snapshot() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}
