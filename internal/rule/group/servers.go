package group

import (
	"slices"

	"geraniumseam.dev/pkg/ident"
)

// SetServers replaces the list of servers in the group.
func (m *Machine) SetServers(ids []ident.ServerID) {
	m.conf.Servers = ids
	for _, id := range ids {
		if m.servers[id] == nil {
			m.servers[id] = &server{}
			m.serverJoined = true
		}
	}
	for id, s := range m.servers {
		if slices.Contains(ids, id) {
			continue
		}
		if id == m.primary {
			m.primaryGoneAt, m.primaryLeft = m.steppedAt, m.draining[id]
		}
		delete(m.servers, id)
		// What a server had received may have been acknowledged with it alone.
		m.required, m.requiredUnknown = max(m.required, s.status.Received), true
	}
}

// SetIncarnations sets the incarnations of the servers in the list. A server that has started again has
// lost its log and its seal.
func (m *Machine) SetIncarnations(known map[ident.ServerID]int64) {
	for id, incarnation := range known {
		if old, listed := m.incarnations[id]; listed && old != incarnation && m.servers[id] != nil {
			m.servers[id] = &server{}
			delete(m.sealed, id)
			if id == m.primary {
				m.primaryGoneAt, m.primaryLeft = m.steppedAt, false
			}
			m.serverJoined, m.requiredUnknown, m.reportAfter = true, true, m.steppedAt
		}
	}
	m.incarnations = known
}

// SetListed sets the server that the platform lists as the primary; empty means none.
func (m *Machine) SetListed(id ident.ServerID) { m.listedPrimary = id }

// SetLeaving sets the servers that are about to be removed from the group. A primary
// among them is replaced. They are not promoted themselves, except in a fenced
// group if one is more advanced than every server that stays.
func (m *Machine) SetLeaving(leaving map[ident.ServerID]bool) { m.leaving = leaving }

// SetEvacuated sets the servers in evacuated data centres. A primary among them is replaced by a server that is
// not, once one has what the primary had last reported. They stay members and are sealed like the others.
func (m *Machine) SetEvacuated(evacuated map[ident.ServerID]bool) { m.evacuated = evacuated }

// avoids reports whether a server should not become primary.
func (m *Machine) avoids(id ident.ServerID) bool { return m.leaving[id] || m.evacuated[id] }

// reluctance orders the servers that have equal logs: the lowest is promoted.
func (m *Machine) reluctance(id ident.ServerID) int {
	switch {
	case m.evacuated[id]:
		return 2
	case m.leaving[id]:
		return 1
	}
	return 0
}

// mostAdvanced returns the status with the most advanced log and, among equals, the least reluctance.
func (m *Machine) mostAdvanced(statuses []Status) Status {
	best := MostAdvanced(statuses)
	for _, s := range statuses {
		if s.LogTerm == best.LogTerm && s.Received == best.Received && m.reluctance(s.Server) < m.reluctance(best.Server) {
			best = s
		}
	}
	return best
}

// SetDraining sets the servers whose last entries in the list say that they leave.
func (m *Machine) SetDraining(draining map[ident.ServerID]bool) { m.draining = draining }
