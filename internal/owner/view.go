package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/route"
	"geraniumseam.dev/pkg/ident"
)

// report is a server's last reported status.
type report struct {
	status group.Status
	// known is false until the server has answered a poll.
	known bool
	// asked and answered are when the poll was sent and answered.
	asked    time.Time
	answered time.Time
	// latency is the average round trip of a poll.
	latency time.Duration
	// missed is set if the server did not answer the last poll.
	missed bool
	// removed is set once the server has left the group.
	removed bool
}

// view is an immutable snapshot of what an owner knows of a group.
type view struct {
	servers []report
	// primary is the index of the primary with the highest term, or noPrimary.
	primary int
	term    ident.Term
	// lease is what the term lease of a fenced group has proved; nil in other groups.
	lease *group.LeaseState
}

// noPrimary is the index of the primary while none is known.
const noPrimary = -1

// tracker collects the servers' reports, publishes a new view on each change and wakes
// those who wait for one.
type tracker struct {
	current atomic.Pointer[view]

	mu   sync.Mutex
	ages route.AgeTracker
	// lease is nil unless the group is fenced.
	lease *group.TermLease
	// published is called with each new view; it may be nil and must not block or use the tracker.
	published func(*view)
	// changed is closed and replaced at each change of current.
	changed chan struct{}
}

// newTracker returns a tracker with the term lease of a fenced group, or nil.
func newTracker(lease *group.TermLease) *tracker {
	t := &tracker{lease: lease, changed: make(chan struct{})}
	first := &view{primary: noPrimary}
	if lease != nil {
		first.lease = &group.LeaseState{}
	}
	t.current.Store(first)
	return t
}

// grow makes room for servers that have joined the group.
func (t *tracker) grow(size int) {
	t.change(func(servers []report) []report {
		for len(servers) < size {
			servers = append(servers, report{})
		}
		return servers
	})
}

// removeServer discards the report of a server that has left the group, for good.
func (t *tracker) removeServer(at int) {
	t.updateServer(at, func(r *report) { *r = report{removed: true} })
}

// updateServer changes one server's report and publishes a new view.
func (t *tracker) updateServer(at int, change func(*report)) {
	t.change(func(servers []report) []report {
		if at < len(servers) && !servers[at].removed {
			change(&servers[at])
		}
		return servers
	})
}

// change applies a change to a copy of the reports and publishes them as a new view.
func (t *tracker) change(change func([]report) []report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	next := &view{servers: change(append([]report(nil), old.servers...)), primary: noPrimary}
	for i := range next.servers {
		r := &next.servers[i]
		if r.known && r.status.Role == group.Primary && r.status.Term > next.term {
			next.term, next.primary = r.status.Term, i
		}
	}
	if t.lease != nil {
		state := t.lease.State()
		next.lease = &state
	}
	if asked, floor, ok := next.confirmed(); ok {
		t.ages.Record(asked, floor.Term, floor.Position)
	}
	t.current.Store(next)
	if t.published != nil {
		t.published(next)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// observe records the answer to a poll. A status that was requested before the recorded one only
// updates the latency.
func (t *tracker) observe(at int, p group.Poll) {
	s, asked, answered := p.Status, p.Asked, p.Answered
	t.updateServer(at, func(r *report) {
		if t.lease != nil {
			t.lease.Observe(p)
		}
		latency := answered.Sub(asked)
		if r.latency == 0 {
			r.latency = latency
		}
		r.latency += (latency - r.latency) / 8
		r.missed = false
		if r.known && asked.Before(r.asked) {
			return
		}
		r.status, r.known, r.asked, r.answered = s, true, asked, answered
	})
}

// recordMiss records that a server did not answer.
func (t *tracker) recordMiss(at int) {
	t.updateServer(at, func(r *report) { r.missed = true })
}

// subscribe returns the current view and a channel that is closed at the next change.
func (t *tracker) subscribe() (*view, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current.Load(), t.changed
}

// confirmed returns when the primary was last confirmed, and its last reported
// position: since that time a majority of servers, the primary included, has been polled
// and has reported the primary's term, not sealed for a later one.
//
// In a fenced group the term lease confirms it instead.
func (v *view) confirmed() (time.Time, ident.Floor, bool) {
	if v.primary == noPrimary {
		return time.Time{}, ident.Floor{}, false
	}
	if v.lease != nil {
		return v.lease.ConfirmedAsked, v.lease.Confirmed, v.lease.Term == v.term && !v.lease.ConfirmedAsked.IsZero()
	}
	p := &v.servers[v.primary]
	times := make([]time.Time, 0, len(v.servers))
	for at := range v.servers {
		r := &v.servers[at]
		if r.known && r.status.Term == v.term && r.status.Sealed <= v.term {
			times = append(times, r.asked)
		}
	}
	need := group.Majority(v.serverCount())
	if len(times) < need || p.status.Sealed > v.term {
		return time.Time{}, ident.Floor{}, false
	}
	asked := nthLatest(times, need)
	if p.asked.Before(asked) {
		asked = p.asked
	}
	return asked, ident.Floor{Term: v.term, Position: p.status.Received}, true
}

// nthLatest returns the earliest of the n latest times; it reorders times.
func nthLatest(times []time.Time, n int) time.Time {
	for i := range n {
		for j := i + 1; j < len(times); j++ {
			if times[j].After(times[i]) {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times[n-1]
}

// replicated returns the highest position that a majority holds in the primary's term,
// counting the given status for the primary; false if no majority is in that term.
func (v *view) replicated(primary group.Status) (ident.Position, bool) {
	statuses := make([]group.Status, 0, len(v.servers)+1)
	statuses = append(statuses, primary)
	for at := range v.servers {
		r := &v.servers[at]
		if r.known && r.status.Server != primary.Server {
			statuses = append(statuses, r.status)
		}
	}
	return group.QuorumPosition(statuses, v.serverCount(), primary.Term)
}

// proves reports whether every later primary is certain to have all that the primary with the given
// status had received.
func (v *view) proves(primary group.Status) bool {
	if v.lease != nil {
		return v.lease.Proves(ident.Floor{Term: primary.LogTerm, Position: primary.Received})
	}
	position, ok := v.replicated(primary)
	return ok && position >= primary.Received
}

// reportOf returns a server's last report; nil if the server is nil or has never answered.
func (v *view) reportOf(s *server) *report {
	if s == nil || s.at >= len(v.servers) || !v.servers[s.at].known {
		return nil
	}
	return &v.servers[s.at]
}

// serverCount returns how many servers the group has now.
func (v *view) serverCount() int {
	count := 0
	for at := range v.servers {
		if !v.servers[at].removed {
			count++
		}
	}
	return count
}

// leaseExpiry returns until when reads from the primary see every acknowledged write, the zero time if
// that is not known.
func (v *view) leaseExpiry() time.Time {
	if v.lease == nil || v.lease.Term != v.term {
		return time.Time{}
	}
	return v.lease.Until
}

// superseded reports whether a primary of a later term is known.
func (v *view) superseded(term ident.Term) bool { return v.term > term }

// dataAge returns an upper bound on the age of the data of a server that has applied the
// position in the term; false if none is known.
func (t *tracker) dataAge(now time.Time, term ident.Term, applied ident.Position) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ages.Age(now, term, applied)
}

// floorForAge returns a state that holds every write acknowledged before now minus age;
// false if none is known.
func (t *tracker) floorForAge(now time.Time, age time.Duration) (ident.Floor, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ages.Floor(now.Add(-age))
}

// rebaseFloor replaces a floor of an earlier term by the first known state of the current
// term. The earlier position may never have been acknowledged, so that after the change
// of primary no server's log may hold it.
func (t *tracker) rebaseFloor(f ident.Floor) ident.Floor {
	t.mu.Lock()
	defer t.mu.Unlock()
	term := t.current.Load().term
	if f.Term >= term || f.IsZero() {
		return f
	}
	if begin, ok := t.ages.TermStart(term); ok {
		return begin
	}
	return f
}

// catchUpTime estimates how long the replica with the given report needs to catch up.
func (t *tracker) catchUpTime(r *report) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ages.CatchUpTime(r.asked, r.status.Applied)
}
