package group

import (
	"fmt"
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

const (
	// claimValidity is how long a claim covers its holder's promotion orders, counted from
	// before the claim was sent.
	claimValidity = 2 * time.Second
	// claimBackoff is how long an instance that has learnt of another's claim waits before
	// it claims the same change of primary itself.
	claimBackoff = claimValidity + 1500*time.Millisecond
	// OrderSettleTime is how long after a holder has said that it orders another one waits if the first does
	// not say that its orders are settled: the platform may be slow with them, and the holder may be frozen
	// just before it sends one.
	OrderSettleTime = 12 * time.Second
)

// publishMissingRecord stores a primary that the platform's record lacks because the
// platform was down during the promotion or the claimant died before it could publish.
func (m *Machine) publishMissingRecord() []Action {
	if m.primary == "" || m.conf.Rank != 0 || m.conf.Fenced {
		return nil
	}
	if m.record.Term > m.term || m.record.Term == m.term && m.record.Settled {
		return nil
	}
	return []Action{Publish{Record{Term: m.term, Primary: m.primary, Claimant: m.conf.Claimant, Settled: true}}}
}

// nextTerm returns a term above every term seen so far.
func (m *Machine) nextTerm() ident.Term {
	highest := max(m.term, m.record.Term, m.attemptTerm)
	for _, s := range m.servers {
		highest = max(highest, s.status.Term, s.status.Sealed)
	}
	return highest + 1
}

// latestTerm returns the latest term that any server has reported.
func (m *Machine) latestTerm() ident.Term {
	latest := m.term
	for _, s := range m.servers {
		latest = max(latest, s.status.Term)
	}
	return latest
}

// startAttempt starts an attempt in a new term by claiming that term.
func (m *Machine) startAttempt(now time.Time, evidence string) []Action {
	m.attemptTerm = m.nextTerm()
	m.phase, m.stepDeadline = claiming, now.Add(m.conf.Timing.StepTime)
	m.sealed, m.candidate = map[ident.ServerID]Status{}, ""
	m.claimedAt, m.releasing = now, false
	m.claimed = m.claimRecord()
	claim := Claim{Record: m.claimed, LastClaim: m.record.Claim, Epoch: m.epoch}
	if m.othersOrder() {
		claim.Outwaited = m.record.Claim
	}
	return []Action{JournalEntry{Decision: Claiming, Server: m.primary, Term: m.attemptTerm, Evidence: evidence}, claim}
}

// claimRecord returns the record that claims the attempt's term.
func (m *Machine) claimRecord() Record {
	r := Record{Term: m.attemptTerm, Primary: m.primary, Claimant: m.conf.Claimant, Holder: m.conf.Holder, ReplacedTerm: m.latestTerm()}
	if m.conf.Fenced {
		for _, id := range m.conf.Servers {
			r.Candidates = append(r.Candidates, m.member(id))
		}
	}
	return r
}

func (m *Machine) handleClaimResult(now time.Time, e Claimed) []Action {
	if m.phase != claiming || e.Term != m.attemptTerm {
		return nil
	}
	if e.Restored {
		m.abandonAttempt(now)
		m.claimNotBefore = now.Add(claimBackoff)
		return []Action{m.journalEntry(ClaimNotRecorded, m.primary, "the platform's store has come back from an older copy; claims that it has lost may still be in use")}
	}
	if !e.Granted && !e.PlatformDown {
		if m.conf.Fenced {
			m.learnRecord(now, e.Record, e.Version)
		} else {
			m.record = e.Record
		}
		m.abandonAttempt(now)
		if m.conf.Fenced {
			m.claimNotBefore = now.Add(claimBackoff)
		}
		return []Action{m.journalEntry(ClaimLost, m.primary, fmt.Sprintf("the platform's record already names claimant %s for term %d", e.Record.Claimant, e.Record.Term))}
	}
	var actions []Action
	if e.PlatformDown && m.conf.Fenced {
		// The servers know no claimants, so without the platform's record two instances
		// could both order a promotion.
		m.abandonAttempt(now)
		return []Action{m.journalEntry(ClaimNotRecorded, m.primary, "the platform did not answer; no promotion may be ordered without a recorded claim")}
	}
	if e.PlatformDown {
		actions = append(actions, m.journalEntry(ClaimNotRecorded, m.primary, "the platform did not answer; going on without a recorded claim, since the servers' seals exclude a second promotion in the term"))
	} else {
		m.claimed.Claim, m.claimed.Members, m.claimed.Former = e.Record.Claim, e.Record.Members, e.Record.Former
		m.claimed.Fence, m.claimed.Ordering = e.Record.Fence, e.Record.Ordering
		m.learnRecord(now, m.claimed, ident.Latest(m.recordVersion, e.Version))
		m.claimSeenAt = now
	}
	if m.releasing {
		return append(actions, m.releaseAll(now)...)
	}
	if absent, found := m.absentMember(); found {
		m.abandonAttempt(now)
		return append(actions, m.journalEntry(SealFailed, absent.Server, "it is a member of the group and not on this instance's list of servers, so it cannot be sealed"))
	}
	if m.avoids(m.primary) && m.isPrimaryAnswering(now) && !m.conf.Fenced {
		m.phase, m.stepDeadline, m.drainTargetKnown = draining, now.Add(m.conf.Timing.StepTime), false
		return append(actions, m.seal(m.primary))
	}
	return append(actions, m.startSealing(now)...)
}

// seal returns the action that seals a server for the attempt.
func (m *Machine) seal(id ident.ServerID) Seal {
	held := m.attemptTerm
	if m.conf.Fenced {
		held = m.claimed.ReplacedTerm + 1
	}
	return Seal{Server: id, Term: m.attemptTerm, Held: held, Claimant: m.conf.Claimant}
}

// startSealing seals every server that stays or, in a fenced group, every replica. Servers in evacuated data
// centres are passed over where the others that answer are a majority.
func (m *Machine) startSealing(now time.Time) []Action {
	m.phase, m.stepDeadline, m.serverJoined = sealing, now.Add(m.conf.Timing.StepTime), false
	elsewhere := 0
	for id, s := range m.servers {
		if !m.avoids(id) && m.isAnswering(now, s) {
			elsewhere++
		}
	}
	passOver := func(id ident.ServerID) bool { return m.leaving[id] }
	if elsewhere >= Majority(len(m.servers)) {
		passOver = m.avoids
	}
	var actions []Action
	for _, id := range m.conf.Servers {
		if !passOver(id) && !m.conf.Fenced || m.conf.Fenced && id != m.primary {
			actions = append(actions, m.seal(id))
		}
	}
	return actions
}

// drainComplete reports whether the leaving primary is sealed and every server that stays
// and answers has received the primary's last position.
func (m *Machine) drainComplete(now time.Time) bool {
	if !m.drainTargetKnown {
		return false
	}
	for id, s := range m.servers {
		if !m.leaving[id] && m.isAnswering(now, s) && s.status.Received < m.drainTarget {
			return false
		}
	}
	return true
}

func (m *Machine) handleSealResult(now time.Time, e Sealed) []Action {
	if m.phase == draining && e.Term == m.attemptTerm && e.Status.Server == m.primary {
		return m.handleDrainSeal(now, e)
	}
	if m.phase != sealing || e.Term != m.attemptTerm || !e.OK {
		return nil
	}
	if m.conf.Fenced && e.Status.Term > m.claimed.ReplacedTerm {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, e.Status.Server, fmt.Sprintf("it is in term %d already, and the claim was to replace term %d", e.Status.Term, m.claimed.ReplacedTerm))}
	}
	if e.Status.Server != m.primary {
		m.lastSealAt = now
	}
	m.sealed[e.Status.Server] = e.Status
	if !m.hasSealQuorum() {
		return m.sealPrimary(now)
	}
	statuses := make([]Status, 0, len(m.sealed))
	for _, id := range m.conf.Servers {
		if s, ok := m.sealed[id]; ok {
			statuses = append(statuses, s)
		}
	}
	successor := m.successor(statuses)
	if successor.Server == "" {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, m.primary, "none of the sealed servers was known when the claim was made")}
	}
	if m.conf.Fenced && successor.Received < m.requiredPosition() {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, successor.Server, fmt.Sprintf("it has received up to position %s, but a successor must have received up to %s", successor.Received, m.requiredPosition()))}
	}
	if member, found := m.unsealedMember(); m.conf.Fenced && found {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, member.Server, "it is a member of the group, and has left this instance's list or started again since the claim")}
	}
	m.candidate = successor.Server
	m.phase, m.stepDeadline = promoting, now.Add(m.conf.Timing.StepTime)
	var until, notBefore time.Time
	var sealed Status
	if m.conf.Fenced {
		sealed = successor
		notBefore = m.lastSealAt.Add(LeaseWait)
		until = m.claimedAt.Add(claimValidity)
	}
	return []Action{
		JournalEntry{Decision: Sealing, Server: successor.Server, Term: m.attemptTerm, Evidence: describeSealed(statuses)},
		Promote{Server: successor.Server, Term: m.attemptTerm, Claimant: m.conf.Claimant, Claim: m.claimed.Claim, Fence: m.claimed.Fence, Sealed: sealed, NotBefore: notBefore, Until: until},
	}
}

// describeSealed lists the sealed servers and the ends of their logs, for a journal entry.
func describeSealed(statuses []Status) string {
	text := fmt.Sprintf("%d servers sealed:", len(statuses))
	slices.SortFunc(statuses, func(a, b Status) int { return int(b.LogTerm) - int(a.LogTerm) })
	for _, s := range statuses {
		text += fmt.Sprintf(" %s has log term %d up to position %s;", s.Server, s.LogTerm, s.Received)
	}
	return text
}

func (m *Machine) handlePromoteResult(now time.Time, e Promoted) []Action {
	if m.phase != promoting || e.Term != m.attemptTerm || e.Server != m.candidate {
		return nil
	}
	if !e.OK {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, e.Server, "it was not promoted: it is sealed for a later term, has left the group or has started again since it was sealed, or the platform refused the order, or the claim expired")}
	}
	if m.conf.Fenced {
		m.phase = idle
		return m.handleOrderAccepted(now, e)
	}
	promoted := m.servers[e.Server]
	if promoted == nil {
		m.abandonAttempt(now)
		return []Action{m.journalEntry(SealFailed, e.Server, "it left the group while it was promoted")}
	}
	m.phase = idle
	m.term, m.primary, m.suspected = e.Term, e.Server, false
	promoted.missingSince = time.Time{}
	promoted.answeredAt = now
	promoted.status.Role, promoted.status.Term, promoted.status.Sealed = Primary, e.Term, e.Term
	m.record = Record{Term: e.Term, Primary: e.Server, Claimant: m.conf.Claimant}
	actions := []Action{
		JournalEntry{Decision: Promoting, Server: e.Server, Term: e.Term, Evidence: "it had the most advanced log of a sealed majority"},
		Publish{Record{Term: e.Term, Primary: e.Server, Claimant: m.conf.Claimant, Settled: true}},
	}
	for _, id := range m.conf.Servers {
		if id != e.Server {
			m.servers[id].followedAt = now
			actions = append(actions, Follow{Server: id, Term: e.Term, Primary: e.Server})
		}
	}
	return actions
}

// handleDrainSeal sets the position that the other servers must reach before the leaving
// primary is replaced; if the primary refused the seal, nothing is waited for.
func (m *Machine) handleDrainSeal(now time.Time, e Sealed) []Action {
	if !e.OK {
		return m.startSealing(now)
	}
	m.drainTarget, m.drainTargetKnown = e.Status.Received, true
	return nil
}

// checkStepDeadline abandons the attempt if its current step has passed the deadline; the
// next attempt uses a higher term.
func (m *Machine) checkStepDeadline(now time.Time) []Action {
	if now.Before(m.stepDeadline) {
		return nil
	}
	step := m.phase
	m.abandonAttempt(now)
	return []Action{m.journalEntry(SealFailed, m.candidate, fmt.Sprintf("step %q did not finish within %v", step, m.conf.Timing.StepTime))}
}

// abandonAttempt ends the attempt and delays the next claim.
func (m *Machine) abandonAttempt(now time.Time) {
	m.phase = idle
	m.claimNotBefore = now.Add(m.conf.Timing.StepTime/2 + time.Duration(m.conf.Rank)*m.conf.Timing.Stagger)
}
