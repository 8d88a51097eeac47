package group

import (
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// trackReplication records since when the primary has had a position that no replica has
// received.
func (m *Machine) trackReplication(now time.Time) {
	leader := m.servers[m.primary]
	if leader == nil || leader.status.Role != Primary {
		m.unreplicatedSince = time.Time{}
		return
	}
	var received ident.Position
	for id, s := range m.servers {
		if id != m.primary && s.known && s.status.LogTerm == leader.status.LogTerm {
			received = max(received, s.status.Received)
		}
	}
	switch {
	case !m.unreplicatedSince.IsZero() && received < m.unreplicated:
	case received < leader.status.Received:
		m.unreplicated, m.unreplicatedSince = leader.status.Received, now
	default:
		m.unreplicatedSince = time.Time{}
	}
}

// updateRequired sets the position that a successor must have received: the highest that a replica has
// reported, which may since have started again empty, and the primary's first report after a server
// has left the group or its last use as a member, since it may have been the only replica that held the
// primary's last writes.
func (m *Machine) updateRequired(e Polled) {
	s := e.Status
	if s.Role == Replica && (s.LogTerm > m.reported.Term || s.LogTerm == m.reported.Term && s.Received > m.reported.Position) {
		m.reported = ident.Floor{Term: s.LogTerm, Position: s.Received}
	}
	if s.Server != m.primary {
		return
	}
	if s.Role == Primary && s.Term == m.term {
		m.primaryGoneAt = time.Time{}
	}
	// A primary that a claim has demoted still holds all that was acknowledged in its term.
	holds := s.Role == Primary || s.LogTerm == m.term && s.Received >= m.requiredPosition()
	if !m.requiredUnknown || !holds || !e.Asked.IsZero() && e.Asked.Before(m.reportAfter) {
		return
	}
	m.required, m.requiredUnknown = s.Received, false
}

// lostPrimaryPatience is how long after the primary has left the list a successor is still required to have
// what the primary and the replicas had reported; they may come back with their logs. Nothing is known to
// be required of a successor of an unknown primary.
const lostPrimaryPatience = 10 * time.Second

// requiredPosition returns the position that a successor must have received. If the primary
// was lost before it could report again, this is at least its last reported position.
func (m *Machine) requiredPosition() ident.Position {
	if m.primary == "" || !m.primaryGoneAt.IsZero() && m.steppedAt.Sub(m.primaryGoneAt) > lostPrimaryPatience {
		return 0
	}
	required := m.required
	if m.reported.Term == m.latestTerm() {
		required = max(required, m.reported.Position)
	}
	if leader := m.servers[m.primary]; m.requiredUnknown && leader != nil {
		required = max(required, leader.status.Received)
	}
	return required
}

// canPromote reports whether a promotion can be completed: every member and every other replica
// answers, since any of them may hold an acknowledged write, and one has received the required
// position. A primary that was demoted counts, too.
func (m *Machine) canPromote(now time.Time) bool {
	if _, absent := m.absentMember(); absent {
		return false
	}
	found := false
	for id, s := range m.servers {
		if id == m.primary && (!m.isAnswering(now, s) || s.status.Role == Primary) {
			continue
		}
		if !m.isAnswering(now, s) {
			return false
		}
		found = found || s.status.Received >= m.requiredPosition()
	}
	return found
}

// releaseStaleSeal starts the release of a replica that stays sealed after an abandoned
// promotion while its primary is still active.
func (m *Machine) releaseStaleSeal(now time.Time, known *server) []Action {
	s := known.status
	if !m.conf.Fenced || s.Role != Replica || s.Sealed <= m.term {
		known.sealedSince = time.Time{}
		return nil
	}
	if known.sealedSince.IsZero() {
		known.sealedSince = now
	}
	if !m.mayClaim(now) {
		return nil
	}
	stalled := now.Sub(known.sealedSince) > 2*takeoverTimeout+time.Duration(m.conf.Rank)*m.conf.Timing.Stagger
	if !stalled || m.phase != idle || !m.isPrimaryAnswering(now) || m.servers[m.primary].status.Role != Primary || !m.releasable(now, s) {
		return nil
	}
	known.sealedSince = now
	// Only a claim ensures that no other instance relies on the seal.
	actions := m.startAttempt(now, "a replica is still sealed although the primary is active")
	m.releasing = true
	return actions
}

// releasable reports whether a sealed replica, once released, can only follow the newest
// primary. A server that does not answer may have become primary by an order sent in the
// meantime, and a replica of an earlier term may follow a server that is still primary there.
func (m *Machine) releasable(now time.Time, s Status) bool {
	for id, other := range m.servers {
		switch {
		case id == m.primary || id == s.Server:
		case !m.isAnswering(now, other):
			return false
		case s.Term < m.term && other.status.Role == Primary:
			return false
		}
	}
	return true
}

// releaseAll releases every sealed replica that is releasable.
func (m *Machine) releaseAll(now time.Time) []Action {
	m.phase = idle
	var actions []Action
	for _, id := range m.conf.Servers {
		s := m.servers[id]
		if s.known && s.status.Role == Replica && s.status.Sealed > m.term && m.releasable(now, s.status) {
			actions = append(actions, Release{Server: id})
		}
	}
	return actions
}

// hasSealQuorum reports whether the sealed servers are certain to hold every
// acknowledged write and to prevent new acknowledgements in the old term.
func (m *Machine) hasSealQuorum() bool {
	if !m.conf.Fenced {
		sealed := 0
		for id := range m.servers {
			if _, ok := m.sealed[id]; ok {
				sealed++
			}
		}
		return sealed >= Majority(len(m.servers))
	}
	// Any replica may be the only one that holds an acknowledged write besides the primary.
	replicas := 0
	for id := range m.servers {
		_, sealed := m.sealed[id]
		switch {
		case id == m.primary && !sealed && m.answeredLastPoll(id):
			// It could still acknowledge writes with a replica that has just joined.
			return false
		case id == m.primary:
		case !sealed:
			return false
		default:
			replicas++
		}
	}
	return replicas > 0
}

// sealPrimary seals a primary that still answers, once all its replicas are sealed and
// one of them can succeed it. The attempt is abandoned if none can, or if a server has
// joined in the meantime.
func (m *Machine) sealPrimary(now time.Time) []Action {
	if !m.conf.Fenced || m.primary == "" || !m.answeredLastPoll(m.primary) {
		return nil
	}
	old := m.servers[m.primary].status
	found := old.Role == Replica && old.Received >= m.requiredPosition()
	for id := range m.servers {
		if id == m.primary {
			continue
		}
		s, sealed := m.sealed[id]
		if !sealed {
			return nil
		}
		found = found || s.Received >= m.requiredPosition()
	}
	if !found || m.serverJoined {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, m.primary, "no sealed replica can succeed the primary, or a server has joined since the attempt began")}
	}
	return []Action{m.seal(m.primary)}
}

// answeredLastPoll reports whether a server answered its last poll.
func (m *Machine) answeredLastPoll(id ident.ServerID) bool {
	s := m.servers[id]
	return s != nil && s.known && s.missingSince.IsZero()
}

// successor chooses the server to promote: the most advanced one. In a fenced group it is a
// candidate of the claim, and among equals a server that stays is preferred to one that leaves, and both to one in
// an evacuated data centre. The
// primary, which has been demoted by then, succeeds itself only if no other is in its term and has the
// required position.
func (m *Machine) successor(statuses []Status) Status {
	if !m.conf.Fenced {
		return m.mostAdvanced(statuses)
	}
	successor, demoted := Status{}, Status{}
	for _, s := range statuses {
		if s.Server == m.primary {
			demoted = s
			continue
		}
		if !slices.Contains(m.claimed.Candidates, m.member(s.Server)) {
			continue
		}
		ahead := s.LogTerm > successor.LogTerm || s.LogTerm == successor.LogTerm && s.Received > successor.Received
		equal := s.LogTerm == successor.LogTerm && s.Received == successor.Received
		if successor.Server == "" || ahead || equal && m.reluctance(s.Server) < m.reluctance(successor.Server) {
			successor = s
		}
	}
	if demoted.Server != "" && (successor.Server == "" || successor.Received < m.requiredPosition() || successor.Term < m.claimed.ReplacedTerm) {
		return demoted
	}
	return successor
}

// postPromotionHold is how long after a change of primary no claim is made, because the order
// that caused the change, or a repetition of it, may still be in flight.
const postPromotionHold = claimValidity + 500*time.Millisecond

// takeoverTimeout is how long a server that was ordered to become primary has to do so
// before a new claim may be made.
const takeoverTimeout = 3 * time.Second

// handleOrderAccepted ends an attempt whose promotion order was accepted. The server becomes
// primary a little later and reports that itself.
func (m *Machine) handleOrderAccepted(now time.Time, e Promoted) []Action {
	m.claimNotBefore = now.Add(takeoverTimeout)
	return []Action{
		JournalEntry{Decision: Promoting, Server: e.Server, Term: e.Term, Evidence: "it had the most advanced log of the sealed replicas"},
	}
}

// LeaseWait is how long after the first seal of an attempt the promotion order is held
// back, so that the read leases at the old primary expire first.
const LeaseWait = 200 * time.Millisecond

// Evaluate checks a claim against the record kept on the platform and its version, which is at
// least that of the beginning of the store's epoch. It returns the record to write, or false if
// another claimant was first, or if orders of another holder may be under way. Claim numbers follow the
// versions, so that no number is used again after a restore has lost the record of a claim. A holder keeps its
// fence in one epoch, so that an order of its own that comes late carries no lower one.
func (c Claim) Evaluate(kept Record, version ident.Version, fenced bool) (Record, bool) {
	r := c.Record
	if !fenced {
		return r, kept.Term < r.Term || kept.Claimant == r.Claimant
	}
	if kept.Claimant != r.Claimant && kept.ReplacedTerm >= r.ReplacedTerm && kept.Claim > c.LastClaim {
		return r, false
	}
	if kept.Ordering && kept.Holder != r.Holder && kept.Claim != c.Outwaited {
		return r, false
	}
	r.Claim, r.Epoch, r.Members, r.Former = kept.nextClaim(version), version.Epoch(), kept.Members, kept.Former
	r.Fence = r.Claim
	if kept.Holder == r.Holder && kept.Fence != 0 {
		r.Ordering = kept.Ordering
		if kept.claimEpoch() == version.Epoch() {
			r.Fence = kept.Fence
		}
	}
	if kept.Claim > 0 && kept.ReplacedTerm == r.ReplacedTerm {
		r.Earlier = kept.Earlier + 1
	}
	return r, true
}

// lostClaims is more claims than can be made in the time that a restore of the store takes back.
const lostClaims = 1 << 20

// nextClaim returns the number of the next claim, which is above all that have been given, even if a restore
// of the store has lost some of them.
func (r Record) nextClaim(version ident.Version) uint64 {
	if floor := version.Floor(); floor > r.Claim {
		return floor + 1
	}
	if r.Claim != 0 && r.claimEpoch() < version.Epoch() {
		return r.Claim + lostClaims
	}
	return r.Claim + 1
}

// claimEpoch returns the epoch of the platform's store at the last claim.
func (r Record) claimEpoch() ident.Epoch {
	if r.Epoch != 0 {
		return r.Epoch
	}
	return ident.VersionOf(r.Fence).Epoch()
}

// StartOrdering returns the record to write before the first order of a claim; false if another claim has
// been made since.
func (r Record) StartOrdering(claim uint64) (Record, bool) {
	if r.Claim != claim {
		return r, false
	}
	r.Ordering = true
	return r, true
}

// SettleOrders returns the record to write once all orders of a claim's holder are settled; false if
// there is nothing to write.
func (r Record) SettleOrders(claim uint64) (Record, bool) {
	if r.Claim != claim || !r.Ordering {
		return r, false
	}
	r.Ordering = false
	return r, true
}
