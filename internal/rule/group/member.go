package group

import (
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Member identifies one incarnation of a server; a server that starts again is another member.
type Member struct {
	Server      ident.ServerID `json:"server"`
	Incarnation int64          `json:"born,omitempty"`
}

// FormerMember is a member that is being removed.
type FormerMember struct {
	Member
	// Since is the version of the record that still had the server as a member.
	Since ident.Version `json:"since"`
}

func (r Record) isMember(s Member) bool { return slices.Contains(r.Members, s) }

// sealedByClaims returns the servers that a claim has to seal, but for the primary.
func (r Record) sealedByClaims() []Member {
	all := slices.Clone(r.Members)
	for _, f := range r.Former {
		all = append(all, f.Member)
	}
	return all
}

const (
	// memberRemovalDelay is how long a member must have been missing from this instance's list
	// before it is removed, so that the lists of other instances lack it as well.
	memberRemovalDelay = time.Second
	// orderLifetime is how long after a claim was first seen its order may still take effect.
	orderLifetime = claimValidity + takeoverTimeout + time.Second
)

func (m *Machine) member(id ident.ServerID) Member {
	return Member{Server: id, Incarnation: m.incarnations[id]}
}

// learnRecord applies the platform's record, unless a later version is known.
func (m *Machine) learnRecord(now time.Time, r Record, v ident.Version) {
	if v.Before(m.recordVersion) {
		return
	}
	if r.Claim != m.record.Claim {
		m.claimSeenAt = now
	}
	if r.Ordering && (!m.record.Ordering || r.Claim != m.record.Claim) {
		m.orderingSeenAt = now
	}
	if !m.recordVersion.IsZero() && v.Epoch() > m.recordVersion.Epoch() {
		m.restoredAt = now
	}
	m.record, m.recordVersion = r, v
	m.memberSince = firstSeen(m.memberSince, r.Members, now)
	m.formerSince = firstSeen(m.formerSince, r.Former, now)
}

// firstSeen returns when those that are present now were first seen, given when earlier ones were.
func firstSeen[K comparable](earlier map[K]time.Time, present []K, now time.Time) map[K]time.Time {
	seen := make(map[K]time.Time, len(present))
	for _, k := range present {
		since, known := earlier[k]
		if !known {
			since = now
		}
		seen[k] = since
	}
	return seen
}

// absentMember returns a member that this instance's list lacks and that may be the only one, besides the
// primary, that holds an acknowledged write. The only one that is absent while no primary is known is the
// primary, or the primary is among the others.
func (m *Machine) absentMember() (Member, bool) {
	var absent []Member
	for _, member := range m.record.sealedByClaims() {
		if member.Server != m.primary && !m.lists(member) {
			absent = append(absent, member)
		}
	}
	if len(absent) == 0 || m.primary == "" && len(absent) == 1 {
		return Member{}, false
	}
	return absent[0], true
}

// unsealedMember returns a member that the attempt had to seal and has not sealed, or not in its present
// incarnation.
func (m *Machine) unsealedMember() (Member, bool) {
	if absent, found := m.absentMember(); found {
		return absent, true
	}
	for _, member := range m.record.sealedByClaims() {
		if _, sealed := m.sealed[member.Server]; !sealed && member.Server != m.primary && m.lists(member) {
			return member, true
		}
	}
	return Member{}, false
}

// lists reports whether a member is among the servers.
func (m *Machine) lists(member Member) bool {
	return m.servers[member.Server] != nil && m.member(member.Server) == member
}

// changeMembers adds servers that follow the primary to the members, and removes those that have gone: at once
// if they have started again, otherwise in two steps, since an instance may go on with them that does not reach
// the platform's store.
func (m *Machine) changeMembers(now time.Time) []Action {
	if !m.conf.Fenced || m.primary == "" && m.missingPrimarySince.IsZero() {
		return nil
	}
	change := ChangeMembers{Term: m.term, Claim: m.record.Claim, ClaimExpired: m.claimExpired(now), Epoch: m.epoch}
	left, leaving, restarted := m.goneMembers(now)
	if m.primary != "" && m.requiredUnknown && !m.isPrimaryLost(now) {
		// The primary has not reported yet what they may have held alone.
		restarted = nil
	}
	change.Added = m.newMembers(now)
	if m.isLeaderless(now) {
		change.Added, change.Term, change.ClaimExpired = m.newReplicas(), m.latestTerm(), true
	}
	switch gone := slices.Concat(left, restarted); {
	case len(leaving) > 0 && m.isReplicated(now, change.Added, slices.Concat(gone, leaving)):
		change.Retired, change.Removed = slices.Concat(left, leaving), restarted
	case len(gone) > 0 && m.isReplicated(now, change.Added, gone):
		change.Retired, change.Removed = left, restarted
	case !m.isPrimaryAnswering(now):
		// Claims still seal them; the time until they are forgotten begins.
		change.Retired = left
	}
	change.Forgotten = m.forgettableMembers(now)
	if change.isEmpty() {
		m.changeSince = time.Time{}
		return nil
	}
	if m.changeSince.IsZero() {
		m.changeSince = now
	}
	if now.Before(m.changeSince.Add(time.Duration(m.conf.Rank)*m.conf.Timing.Stagger)) || now.Before(m.changeNotBefore) {
		return nil
	}
	m.changeNotBefore = now.Add(m.conf.Timing.StepTime)
	return []Action{change}
}

func (c ChangeMembers) isEmpty() bool {
	return len(c.Added)+len(c.Retired)+len(c.Removed)+len(c.Forgotten) == 0
}

// requireReport makes a successor's required position unknown at the times from which instances rely less on
// former members, or on members that the store has lost with a restore: the primary's next report is at or after
// the last write that was acknowledged with them alone.
func (m *Machine) requireReport(now time.Time) {
	var expiries []time.Time
	for _, f := range m.record.Former {
		expiries = append(expiries, m.formerSince[f].Add(RecordLifetime), m.formerSince[f].Add(SharedRecordLifetime))
	}
	if m.epochKnown && m.isPrimaryAnswering(now) {
		expiries = append(expiries, m.epochSince.Add(RecordLifetime))
	}
	for _, expiry := range expiries {
		if m.expiriesChecked.Before(expiry) && !now.Before(expiry) {
			m.requiredUnknown, m.reportAfter = true, now
		}
	}
	m.expiriesChecked = now
}

// forgettableMembers returns the former members on which no instance relies any more, and which hold nothing
// that the others lack.
func (m *Machine) forgettableMembers(now time.Time) []FormerMember {
	lifetime := SharedRecordLifetime
	for _, member := range m.record.Members {
		if member.Server != m.primary && now.Sub(m.memberSince[member]) >= SharedRecordLifetime {
			lifetime = RecordLifetime
		}
	}
	var forgettable []FormerMember
	for _, f := range m.record.Former {
		if !m.expiriesChecked.Before(m.formerSince[f].Add(lifetime)) && !m.lists(f.Member) {
			forgettable = append(forgettable, f)
		}
	}
	unreported := m.requiredUnknown || m.primary == ""
	if len(forgettable) == 0 || unreported && !m.isPrimaryLost(now) || !m.isReplicated(now, nil, nil) {
		return nil
	}
	return forgettable
}

func (m *Machine) isPrimaryAnswering(now time.Time) bool {
	p := m.servers[m.primary]
	return p != nil && m.isAnswering(now, p)
}

// isPrimaryLost reports whether the primary has been away for so long that its log is given up: one that has left
// as it had said does not come back with it.
func (m *Machine) isPrimaryLost(now time.Time) bool {
	since, patience := m.primaryGoneAt, lostPrimaryPatience
	if m.primary != "" && m.primaryLeft && !since.IsZero() {
		patience = RecordLifetime
	}
	if p := m.servers[m.primary]; since.IsZero() && p != nil {
		since = p.missingSince
	}
	if m.primary == "" {
		since = m.missingPrimarySince
	}
	return !since.IsZero() && now.Sub(since) > patience
}

// isLeaderless reports whether no server leads, so that members have to change without a primary: each member
// answers, or has been missing for so long that a live one would have registered again, and no claim, also one
// that a restore of the platform's store has lost, can have an effect any more.
func (m *Machine) isLeaderless(now time.Time) bool {
	if len(m.record.sealedByClaims()) == 0 || m.listedPrimary != "" || now.Before(m.claimSeenAt.Add(orderLifetime)) || now.Before(m.epochSince.Add(orderLifetime)) {
		return false
	}
	for _, since := range m.missing {
		if now.Before(since.Add(orderLifetime)) {
			return false
		}
	}
	for f, since := range m.formerSince {
		if !m.lists(f.Member) && now.Before(since.Add(orderLifetime)) {
			return false
		}
	}
	for _, s := range m.servers {
		if !m.isAnswering(now, s) || s.status.Role == Primary {
			return false
		}
	}
	return true
}

// newReplicas returns the servers of the latest term that stay and are no members yet, of a group that no
// server leads. A server without a log has no term.
func (m *Machine) newReplicas() []Member {
	latest := max(m.latestTerm(), m.record.ReplacedTerm, 1)
	var found []Member
	for _, id := range m.conf.Servers {
		if s := m.member(id); !m.leaving[id] && m.servers[id].status.Term >= latest && !m.record.isMember(s) {
			found = append(found, s)
		}
	}
	return found
}

// newMembers returns the servers that follow the primary, or are the primary, and are no members yet. It returns
// none while a claim, also one that a restore of the platform's store has lost, may have an effect that
// they do not count in.
func (m *Machine) newMembers(now time.Time) []Member {
	claimPossible := m.record.ReplacedTerm >= m.latestTerm() && !m.claimExpired(now)
	claimLost := !m.restoredAt.IsZero() && now.Before(m.restoredAt.Add(orderLifetime))
	if m.primary == "" || claimPossible || claimLost {
		return nil
	}
	var added []Member
	replicas := 0
	for _, id := range m.conf.Servers {
		s := m.servers[id]
		if m.leaving[id] || !m.isAnswering(now, s) || s.status.Term != m.term || s.status.Sealed > m.term || (s.status.Role == Primary) != (id == m.primary) {
			continue
		}
		if id != m.primary {
			replicas++
		}
		if !m.record.isMember(m.member(id)) {
			added = append(added, m.member(id))
		}
	}
	if len(m.record.Members) == 0 && replicas == 0 {
		return nil
	}
	return added
}

// goneMembers returns the members that have been missing from the list for a while, those that have been about
// to leave for a while, and those that have started again.
func (m *Machine) goneMembers(now time.Time) (left, leaving, restarted []Member) {
	gone := slices.DeleteFunc(slices.Clone(m.record.Members), func(member Member) bool {
		return m.lists(member) && (!m.leaving[member.Server] || member.Server == m.primary)
	})
	m.missing = firstSeen(m.missing, gone, now)
	for _, member := range gone {
		switch {
		case !m.lists(member) && m.servers[member.Server] != nil:
			restarted = append(restarted, member)
		case now.Sub(m.missing[member]) < memberRemovalDelay:
		case m.lists(member):
			leaving = append(leaving, member)
		default:
			left = append(left, member)
		}
	}
	for _, f := range m.record.Former {
		if m.servers[f.Server] != nil && !m.lists(f.Member) {
			restarted = append(restarted, f.Member)
		}
	}
	return left, leaving, restarted
}

// isReplicated reports whether a server other than the primary that is a member after the change holds all
// that may have been acknowledged.
func (m *Machine) isReplicated(now time.Time, added, removed []Member) bool {
	for _, member := range append(slices.Clone(m.record.Members), added...) {
		s := m.servers[member.Server]
		if slices.Contains(removed, member) || s == nil || !m.isAnswering(now, s) || s.status.Role == Primary {
			continue
		}
		if s.status.Received >= m.requiredPosition() {
			return true
		}
	}
	return false
}

// claimExpired reports whether the last claim in the record can have no effect any more: its order has
// lapsed, and every server has been seen unsealed in the current term since.
func (m *Machine) claimExpired(now time.Time) bool {
	if now.Before(m.claimSeenAt.Add(orderLifetime)) {
		return false
	}
	for id, s := range m.servers {
		if !m.isAnswering(now, s) || s.status.Term > m.term || s.status.Sealed > m.term || s.status.Role == Primary && id != m.primary && s.status.Term >= m.term {
			return false
		}
	}
	return true
}

// Evaluate checks a change of members against the record kept on the platform and its version, that of the
// epoch's beginning if there is none. It returns the record to write, or false if there is nothing to change.
func (c ChangeMembers) Evaluate(kept Record, v ident.Version) (Record, bool) {
	r := kept
	r.Members = slices.DeleteFunc(slices.Clone(kept.Members), func(s Member) bool {
		return slices.Contains(c.Removed, s) || slices.Contains(c.Retired, s)
	})
	r.Former = slices.DeleteFunc(slices.Clone(kept.Former), func(f FormerMember) bool {
		return slices.Contains(c.Removed, f.Member) || slices.Contains(c.Forgotten, f)
	})
	for _, s := range c.Retired {
		if kept.isMember(s) {
			r.Former = append(r.Former, FormerMember{Member: s, Since: v})
		}
	}
	noClaim := kept.ReplacedTerm < c.Term || c.ClaimExpired && kept.Claim == c.Claim
	if noClaim && v.Epoch() == c.Epoch {
		for _, s := range c.Added {
			if !r.isMember(s) {
				r.Members = append(r.Members, s)
			}
			r.Former = slices.DeleteFunc(r.Former, func(f FormerMember) bool { return f.Member == s })
		}
	}
	return r, !slices.Equal(r.Members, kept.Members) || !slices.Equal(r.Former, kept.Former)
}
