package group

import (
	"fmt"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// mustReplacePrimary reports whether the primary must be replaced.
func (m *Machine) mustReplacePrimary(now time.Time) bool {
	_, failed := m.checkPrimary(now)
	return failed
}

// checkPrimary reports whether the primary must be replaced, with the evidence.
func (m *Machine) checkPrimary(now time.Time) (string, bool) {
	if m.primary == "" {
		return m.checkUnknownPrimary(now)
	}
	p := m.servers[m.primary]
	if p == nil {
		return "the primary is no longer a server of the group", true
	}
	if !p.missingSince.IsZero() {
		return m.checkUnreachablePrimary(now, p)
	}
	if m.leaving[m.primary] && m.canHandOver(now) {
		return "it is about to be removed from the group", true
	}
	if m.evacuated[m.primary] && m.canHandOver(now) && m.canSucceedEvacuated(now) {
		return "its data centre is evacuated", true
	}
	if p.status.Role != Primary {
		return fmt.Sprintf("it reports that it is a replica in term %d", p.status.Term), m.countAnswering(now) >= Majority(len(m.servers))
	}
	if m.conf.Fenced && !m.unreplicatedSince.IsZero() && now.Sub(m.unreplicatedSince) > m.conf.Timing.Silence && m.countAnswering(now) >= Majority(len(m.servers)) {
		return fmt.Sprintf("no replica has received its position %s, which it reached %v ago", m.unreplicated, now.Sub(m.unreplicatedSince).Round(time.Millisecond)), true
	}
	return m.checkAbandonedSeal(now, p)
}

// canHandOver reports whether the servers that stay and answer are a majority, so that a
// leaving or evacuated primary can be replaced. An evacuated primary stays a member and can be sealed, so it counts
// itself, except in a fenced group, where only the replicas hold every acknowledged write.
func (m *Machine) canHandOver(now time.Time) bool {
	staying := 0
	if m.conf.Fenced {
		staying++ // the replicas alone hold every acknowledged write, so one server fewer must answer
	}
	for id, s := range m.servers {
		if (id != m.primary || !m.conf.Fenced) && !m.leaving[id] && m.isAnswering(now, s) {
			staying++
		}
	}
	return staying >= Majority(len(m.servers))
}

// canSucceedEvacuated reports whether a server outside the evacuated data centres has received what the primary
// last reported. As the primary gets no new work, one that follows it soon has.
func (m *Machine) canSucceedEvacuated(now time.Time) bool {
	wanted := m.servers[m.primary].status
	for id, s := range m.servers {
		if id != m.primary && !m.avoids(id) && m.isAnswering(now, s) && s.status.Term == wanted.Term && s.status.Received >= wanted.Received {
			return true
		}
	}
	return false
}

// checkAbandonedSeal reports whether the primary, or so many servers that no majority follows
// it, have been sealed for at least a step's time for a term that has no primary, because a
// claimant died between seal and promotion.
func (m *Machine) checkAbandonedSeal(now time.Time, p *server) (string, bool) {
	term := max(p.status.Sealed, m.majoritySeal())
	if term <= m.term || !m.noLaterPrimary() {
		m.abandonedSealSince = time.Time{}
		return "", false
	}
	if m.abandonedSealSince.IsZero() {
		m.abandonedSealSince = now
	}
	if now.Sub(m.abandonedSealSince) < m.conf.Timing.StepTime || m.countAnswering(now) < Majority(len(m.servers)) {
		return "", false
	}
	if p.status.Sealed < term {
		return fmt.Sprintf("no majority follows it: replicas were sealed for term %d, which has no primary", term), true
	}
	return fmt.Sprintf("it was sealed for term %d, which has no primary", term), true
}

// majoritySeal returns the highest term for which servers are sealed, if those that are not sealed
// above the current term are no majority; otherwise 0. Sealed replicas of a fenced group are
// released instead.
func (m *Machine) majoritySeal() ident.Term {
	following, highest := 0, ident.Term(0)
	for _, s := range m.servers {
		if s.status.Sealed <= m.term {
			following++
		}
		highest = max(highest, s.status.Sealed)
	}
	if m.conf.Fenced || following >= Majority(len(m.servers)) {
		return 0
	}
	return highest
}

// checkUnknownPrimary reports whether a server must be promoted while no primary is known.
func (m *Machine) checkUnknownPrimary(now time.Time) (string, bool) {
	if m.conf.Fenced {
		if evidence, lost := m.checkListedPrimary(now); lost {
			return evidence, true
		}
		return m.checkMissingPrimary(now)
	}
	if now.Sub(m.started) < 2*m.conf.Timing.Silence {
		return "", false
	}
	return "no server reports that it is the primary", m.countAnswering(now) >= Majority(len(m.servers))
}

// checkListedPrimary treats the listed primary as lost if it is unreachable and all other
// servers answer as replicas. An instance that has just become an owner of the group may
// never have got an answer from the primary.
func (m *Machine) checkListedPrimary(now time.Time) (string, bool) {
	lost := m.servers[m.listedPrimary]
	if lost == nil || lost.missingSince.IsZero() || !lost.newConnFailed || now.Sub(lost.missingSince) < m.suspicionDelay(lost) {
		return "", false
	}
	term := ident.Term(0)
	for id, s := range m.servers {
		if id == m.listedPrimary {
			continue
		}
		if !m.isAnswering(now, s) || s.status.Role != Replica {
			return "", false
		}
		term = max(term, s.status.Term)
	}
	m.primary, m.term = m.listedPrimary, term
	return "the server that is listed as the primary accepts no connection and all others are replicas", true
}

// missingPrimaryDelay is how long all servers must have been replicas, and none listed as the primary, before
// one is promoted: longer than an order takes to have effect.
const missingPrimaryDelay = takeoverTimeout

// checkMissingPrimary reports whether the group has no primary: it died, and its entry expired, before this
// instance reached it. Its membership ends before a claim, or the claim fails.
func (m *Machine) checkMissingPrimary(now time.Time) (string, bool) {
	replicas := 0
	for _, s := range m.servers {
		if m.listedPrimary != "" || !m.isAnswering(now, s) || s.status.Role != Replica {
			m.missingPrimarySince = time.Time{}
			return "", false
		}
		replicas++
	}
	if replicas == 0 {
		return "", false
	}
	if m.missingPrimarySince.IsZero() {
		m.missingPrimarySince = now
	}
	return "all servers are replicas, and none is listed as the primary", now.Sub(m.missingPrimarySince) >= missingPrimaryDelay
}

// refusedSilenceDivisor divides the silence after which a primary is suspected if its host
// refuses connections: a refusal shows that the process has ended, silence alone does not.
const refusedSilenceDivisor = 3

// suspicionDelay returns how long a primary may be unreachable before it is suspected.
func (m *Machine) suspicionDelay(p *server) time.Duration {
	if p.refused && m.conf.Fenced {
		return m.conf.Timing.Silence / refusedSilenceDivisor
	}
	return m.conf.Timing.Silence
}

// checkUnreachablePrimary reports whether a primary that does not answer this instance must
// be replaced.
func (m *Machine) checkUnreachablePrimary(now time.Time, p *server) (string, bool) {
	silence := now.Sub(p.missingSince)
	if silence < m.suspicionDelay(p) || !p.newConnFailed {
		return "", false
	}
	if m.conf.Fenced {
		return m.checkUnreachableFenced(now, silence)
	}
	hearing, answering := m.countHearingPrimary(now)
	if answering < Majority(len(m.servers)) {
		return "", false
	}
	if hearing+1 < Majority(len(m.servers)) {
		return fmt.Sprintf("no answer for %v, not even on a new connection; %d of %d other servers still hear from it, too few for a majority",
			silence.Round(time.Millisecond), hearing, answering), true
	}
	if silence >= m.conf.Timing.PathSilence && m.noPeerReachesPrimary(now) {
		return fmt.Sprintf("no instance has reached it for %v, although %d other servers still hear from it", silence.Round(time.Millisecond), hearing), true
	}
	return "", false
}

// checkUnreachableFenced decides for a fenced group, whose replicas do not report
// whether they hear from the primary: no other instance may reach it either, unless the
// silence has lasted for pathSilenceFactor times PathSilence.
func (m *Machine) checkUnreachableFenced(now time.Time, silence time.Duration) (string, bool) {
	if !m.noPeerReachesPrimary(now) && silence < pathSilenceFactor*m.conf.Timing.PathSilence {
		return "", false
	}
	return fmt.Sprintf("it has accepted no connection for %v, and either no other instance reports that it answers or the limit for relying on such reports has passed", silence.Round(time.Millisecond)), true
}

// pathSilenceFactor times PathSilence is how long a primary is kept that only other
// instances reach.
const pathSilenceFactor = 4

// countHearingPrimary counts the other servers that answer, and those among them that still
// hear from the primary.
func (m *Machine) countHearingPrimary(now time.Time) (hearing, answering int) {
	for id, s := range m.servers {
		if id == m.primary || !m.isAnswering(now, s) {
			continue
		}
		answering++
		if s.status.UpstreamSilence < m.conf.Timing.Silence/2 && s.status.Term == m.term && s.status.Sealed <= m.term {
			hearing++
		}
	}
	return hearing, answering
}

// noPeerReachesPrimary reports whether no other instance has recently reported that the
// primary answers.
func (m *Machine) noPeerReachesPrimary(now time.Time) bool {
	for _, view := range m.peerViews[m.primary] {
		if now.Sub(view.at) < peerViewLifetime && view.answers {
			return false
		}
	}
	return true
}

// isAnswering reports whether a server answered its last poll, and did so recently.
func (m *Machine) isAnswering(now time.Time, s *server) bool {
	return s.known && s.missingSince.IsZero() && now.Sub(s.answeredAt) < 2*m.conf.Timing.Silence
}

// countAnswering counts the servers that answer.
func (m *Machine) countAnswering(now time.Time) int {
	count := 0
	for _, s := range m.servers {
		if m.isAnswering(now, s) {
			count++
		}
	}
	return count
}

// noLaterPrimary reports whether no server is known to be the primary of a later term.
func (m *Machine) noLaterPrimary() bool {
	for _, s := range m.servers {
		if s.known && s.status.Role == Primary && s.status.Term > m.term {
			return false
		}
	}
	return true
}
