package group

import (
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// minTakeover is a lower bound of the time between the order to promote a server and its
// promotion; the platform states some hundred milliseconds.
const minTakeover = 200 * time.Millisecond

// PromotionTime is a lower bound of the time between the seal of a member and the promotion that
// relies on it.
const PromotionTime = LeaseWait + minTakeover

// unsealedQuiet is how long a replica on a new connection, or the only one, must have been seen unsealed
// before it counts while a claim may be valid: a replica that restarts is sealed no more, and by then
// the order of every earlier claim has taken effect.
const unsealedQuiet = orderLifetime

// RecordLifetime is how long after a read of the record a member of it proves something by itself. Members are
// removed, and claims made in a new epoch of the platform's store, only later than that.
const RecordLifetime = 3 * time.Second

// SharedRecordLifetime is how long after a read of the record all its members together prove something. A member
// is removed only if one that stays has been a member for that long, or has itself been a former one for so long.
// It covers an outage of the platform's store of 9 s that begins just before the record would be read again.
const SharedRecordLifetime = 12 * time.Second

// recordRenewal is the age at which the record is to be read again.
const recordRenewal = RecordLifetime * 3 / 4

// Poll is a server's status with the times of the poll that returned it.
type Poll struct {
	Status Status
	Asked  time.Time
	// Answered is when the answer had arrived.
	Answered time.Time
	// Conn numbers the connection; a server that has restarted answers on another one.
	Conn uint64
}

// witness is what a TermLease knows of one server.
type witness struct {
	poll  Poll
	known bool
	// connSince is when the first poll on the current connection was sent.
	connSince time.Time
	// unsealedSince is when the first poll was sent since which every poll has shown the server unsealed.
	unsealedSince time.Time
	// trusted is set while the server cannot have lost a seal unnoticed.
	trusted bool
}

// TermLease is an instance's proof that a fenced group's term has not ended. It relies on two
// facts: a claim orders no promotion before it has sealed every member but the primary, and no
// promotion takes effect within PromotionTime of any of these seals. So while the lease is
// valid, a member that is seen unsealed extends it, and what a member has received is in the
// log of every later primary. A record that is not read again expires, since its members may be removed: first
// for one member by itself, then for all together. A TermLease is not safe for concurrent use.
type TermLease struct {
	conf    LeaseConfig
	servers map[ident.ServerID]Member
	leaving map[ident.ServerID]bool
	states  map[ident.ServerID]*witness
	record  Record
	version ident.Version
	// recordKnown is set once the record has been read, recordAsked when the last read was begun.
	recordKnown bool
	recordAsked time.Time
	// restartFrom is the earliest time of the polls that may begin the lease anew; zero if the record
	// has to be read first. claimPossible is set if a claim may have been valid then.
	restartFrom   time.Time
	claimPossible bool
	// claimSeenAt is when the record's claim was seen to follow another, restoredAt when a record of another
	// epoch was first seen.
	claimSeenAt, restoredAt time.Time

	term    ident.Term
	primary ident.ServerID
	until   time.Time
	// confirmed is the primary's last status that was reported under the lease, confirmedAsked
	// when it was asked for.
	confirmed      Status
	confirmedAsked time.Time
	// proven is the highest position of the current and of the previous term that a member has received
	// under the lease.
	proven map[ident.Term]ident.Position
}

// LeaseConfig configures a TermLease.
type LeaseConfig struct {
	// Asynchronous is set if the primary acknowledges writes that no replica has received. What it has is then
	// proven while it is the only member.
	Asynchronous bool
}

// NewTermLease returns a TermLease that knows of no server.
func NewTermLease(c LeaseConfig) *TermLease {
	return &TermLease{conf: c, states: map[ident.ServerID]*witness{}, proven: map[ident.Term]ident.Position{}}
}

// SetServers replaces the list of servers, and the set of those that are about to leave.
func (l *TermLease) SetServers(servers []Member, leaving map[ident.ServerID]bool) {
	old := l.servers
	l.servers, l.leaving = make(map[ident.ServerID]Member, len(servers)), leaving
	for _, s := range servers {
		l.servers[s.Server] = s
	}
	for id := range l.states {
		if s, listed := l.servers[id]; !listed || s != old[id] {
			delete(l.states, id)
		}
	}
}

// Record applies the group's record, read between asked and answered.
func (l *TermLease) Record(r Record, v ident.Version, asked, answered time.Time) {
	if l.recordKnown && v.Before(l.version) {
		return
	}
	if asked.Before(l.recordAsked) {
		// It is not older than the one that is known, so it was current after that had been read.
		asked = l.recordAsked
	}
	if !l.recordKnown || r.Claim != l.record.Claim {
		l.claimSeenAt = answered
	}
	if l.recordKnown && v.Epoch() != l.version.Epoch() {
		l.restoredAt = answered
	}
	l.record, l.version, l.recordKnown, l.recordAsked = r, v, true, asked
	l.restartFrom, l.claimPossible = asked, r.ReplacedTerm >= l.term || l.mayHaveOutdatedClaim(asked)
	if l.claimPossible || l.term == 0 {
		return
	}
	// No claim on the term was recorded by then, so none has sealed a member.
	l.extend(asked, answered)
	for id, w := range l.states {
		w.trusted = w.trusted || w.known && l.isMember(id) && w.connSince.Before(asked)
	}
}

// mayHaveOutdatedClaim reports whether a claim may be valid that the record does not show as one on the term: a
// second one on an earlier term, by an instance that does not know the present one, or one that a restore has lost.
func (l *TermLease) mayHaveOutdatedClaim(at time.Time) bool {
	return l.record.Earlier > 0 && at.Before(l.claimSeenAt.Add(orderLifetime)) || !l.restoredAt.IsZero() && at.Before(l.restoredAt.Add(orderLifetime))
}

// Observe applies a poll.
func (l *TermLease) Observe(p Poll) {
	id := p.Status.Server
	w := l.states[id]
	if w == nil {
		w = &witness{}
		l.states[id] = w
	}
	if w.known && p.Asked.Before(w.poll.Asked) {
		return
	}
	previous, known := w.poll, w.known
	if !known || previous.Conn != p.Conn {
		w.connSince, w.trusted, w.unsealedSince = p.Asked, false, p.Asked
	}
	w.poll, w.known = p, true
	if p.Status.Role == Primary && p.Status.Term > l.term {
		l.beginTerm(p, previous, known)
	}
	if p.Status.Sealed > l.term || p.Status.Term > l.term {
		w.unsealedSince = p.Answered
	}
	l.restart(p.Answered)
	if !p.Answered.Before(l.until) {
		return
	}
	if id == l.primary {
		l.confirm(p)
		return
	}
	if !w.trusted || !l.isMember(id) {
		return
	}
	if p.Answered.Before(l.recordExpiry()) {
		l.observeMember(p)
	}
	if !p.Answered.Before(l.recordExpiry().Add(-PromotionTime)) {
		l.observeAll(p.Answered)
	}
}

// recordExpiry returns until when one member suffices to extend the lease and to prove a position.
func (l *TermLease) recordExpiry() time.Time { return l.recordAsked.Add(RecordLifetime) }

// observeAll applies the last polls of all members. Some may have been removed since the record was read, but a
// claim still has to seal one of the others.
func (l *TermLease) observeAll(now time.Time) {
	expiry := l.recordAsked.Add(SharedRecordLifetime)
	if !now.Before(expiry) {
		return
	}
	earliest, replicas, lasting, received := now, 0, false, ident.Position(0)
	for _, member := range l.record.Members {
		if member.Server == l.primary {
			continue
		}
		w := l.witnessOf(member)
		if w == nil || !w.trusted {
			return
		}
		s := w.poll.Status
		if s.Role != Replica || s.Term > l.term || s.Sealed > l.term {
			return
		}
		earliest = earlier(earliest, w.poll.Asked)
		position := s.Received
		if s.Term != l.term || s.LogTerm != l.term {
			position = 0
		}
		if replicas == 0 || position < received {
			received = position
		}
		replicas++
		lasting = lasting || l.staysLongEnough(member.Server, now)
	}
	if replicas == 0 || !now.Before(earliest.Add(PromotionTime)) {
		return
	}
	l.extend(earlier(earliest, expiry.Add(-PromotionTime)), now)
	if lasting && received > 0 {
		l.proven[l.term] = max(l.proven[l.term], received)
	}
}

// beginTerm begins a term with the status of its primary. A claim on the term is made by an instance
// that knows it, so after the primary's previous poll, which did not show it.
func (l *TermLease) beginTerm(p, previous Poll, known bool) {
	s := p.Status
	for term := range l.proven {
		if term < l.term {
			delete(l.proven, term)
		}
	}
	l.term, l.primary, l.until = s.Term, s.Server, time.Time{}
	l.claimPossible = l.record.ReplacedTerm >= l.term || l.mayHaveOutdatedClaim(p.Answered)
	l.restartFrom, l.confirmed, l.confirmedAsked = time.Time{}, Status{}, time.Time{}
	if known && !l.mayHaveOutdatedClaim(p.Answered) {
		l.until = previous.Asked.Add(PromotionTime)
	}
}

// observeMember applies a poll of a member that is not the primary and was answered under the lease.
func (l *TermLease) observeMember(p Poll) {
	s := p.Status
	if s.Role != Replica || s.Term > l.term {
		return
	}
	if s.Term == l.term && s.LogTerm == l.term && l.staysLongEnough(s.Server, p.Answered) {
		l.proven[l.term] = max(l.proven[l.term], s.Received)
	}
	if s.Sealed <= l.term {
		l.extend(earlier(p.Asked, l.recordExpiry().Add(-PromotionTime)), p.Answered)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// extend extends the lease with the knowledge that no claim had sealed every member at the given time.
func (l *TermLease) extend(at, answered time.Time) {
	if until := at.Add(PromotionTime); until.After(l.until) && answered.Before(until) {
		l.until = until
	}
}

// confirm applies a status of the primary that was reported under the lease.
func (l *TermLease) confirm(p Poll) {
	if p.Status.Role == Primary && p.Status.Term == l.term && p.Status.Sealed <= l.term {
		l.confirmed, l.confirmedAsked = p.Status, p.Asked
		if l.conf.Asynchronous && l.primaryIsAlone() {
			l.proven[l.term] = max(l.proven[l.term], p.Status.Received)
		}
	}
}

// primaryIsAlone reports whether no member could show by its seal that a claim has begun, so that only the record
// extends the lease.
func (l *TermLease) primaryIsAlone() bool {
	if !l.recordKnown {
		return false
	}
	return !slices.ContainsFunc(l.record.sealedByClaims(), func(s Member) bool { return s.Server != l.primary })
}

// witnessOf returns what is known of a member; nil if it is not listed or has never answered.
func (l *TermLease) witnessOf(member Member) *witness {
	w := l.states[member.Server]
	if l.servers[member.Server] != member || w == nil || !w.known {
		return nil
	}
	return w
}

// isMember reports whether the listed incarnation of a server is a member.
func (l *TermLease) isMember(id ident.ServerID) bool {
	s, listed := l.servers[id]
	return listed && l.record.isMember(s)
}

// staysLongEnough reports whether what a member has received outlives the members that are about to leave:
// the log of a server that leaves is gone with it.
func (l *TermLease) staysLongEnough(id ident.ServerID, now time.Time) bool {
	if !l.leaving[id] {
		return true
	}
	return !l.leaving[l.primary] && !slices.ContainsFunc(l.record.Members, func(s Member) bool { return l.follows(s, now) })
}

// followTimeout is how long after its last answer a member still counts as following the primary.
const followTimeout = time.Second

// follows reports whether a member that stays follows the primary.
func (l *TermLease) follows(s Member, now time.Time) bool {
	w := l.witnessOf(s)
	if s.Server == l.primary || l.leaving[s.Server] || w == nil {
		return false
	}
	return w.poll.Status.Term == l.term && w.poll.Status.Sealed <= l.term && now.Sub(w.poll.Answered) < followTimeout
}

// NeedsRecord reports whether the record should be read: the lease has ended, an answering member is not
// trusted, a server is not a member yet, or the record will expire. It also returns how old a copy of the record may be.
func (l *TermLease) NeedsRecord(now time.Time) (maxAge time.Duration, needed bool) {
	if l.term == 0 || !l.recordKnown || !now.Before(l.until) {
		return FreshRecordAge, true
	}
	if l.conf.Asynchronous && l.primaryIsAlone() && !now.Before(l.until.Add(-PromotionTime/2)) {
		return FreshRecordAge, true
	}
	for id, s := range l.servers {
		w := l.states[id]
		if w == nil || !w.known || id == l.primary {
			continue
		}
		if l.record.isMember(s) && !w.trusted || !l.record.isMember(s) && !l.leaving[id] && w.poll.Status.Term == l.term {
			return FreshRecordAge, true
		}
	}
	return SharedRecordAge, !now.Before(l.recordAsked.Add(recordRenewal))
}
