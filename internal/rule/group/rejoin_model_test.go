package group

import (
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// modelReconnect is how long a primary that was cut off answers the instances before a replica
// receives from it.
const modelReconnect = 600 * time.Millisecond

// maxJoins is the most servers that join in one schedule.
const maxJoins = 3

// rejoin models a primary that is cut off from everybody and comes back while an order to replace
// it is out. Meanwhile a server joins, and the promotion ends the seals of all replicas.
type rejoin struct {
	// reconnect is the least time between the end of the cut and what lets a replica receive.
	reconnect time.Duration
	isolated  *synchServer
	// busyUntil is when the last order has taken effect.
	busyUntil time.Time
	joins     int
}

// isReplaced reports whether another server is the primary of a later term.
func (m *synchModel) isReplaced(s *synchServer) bool {
	for _, other := range m.servers {
		if other.role == Primary && other.term > s.term {
			return true
		}
	}
	return false
}

// isolatePrimary cuts off a primary now and then; without an order the cut ends by itself.
func (m *synchModel) isolatePrimary() {
	if m.rejoin.isolated != nil || m.now.Before(m.rejoin.busyUntil) || !m.oneIn(20) {
		return
	}
	for _, s := range m.servers {
		if s.role != Primary || m.isReplaced(s) {
			continue
		}
		m.rejoin.isolated = s
		m.setCut(s, true)
		m.schedule(m.randomMillis(8000, 12000), func() {
			if m.rejoin.isolated == s && m.now.After(m.rejoin.busyUntil) {
				m.heal()
			}
		})
		return
	}
}

func (m *synchModel) setCut(s *synchServer, cut bool) {
	for _, other := range m.servers {
		m.cut[string(s.id)+string(other.id)] = cut
	}
	for _, claimant := range m.claimants {
		m.cut[string(claimant)+string(s.id)] = cut
	}
}

func (m *synchModel) heal() {
	if s := m.rejoin.isolated; s != nil {
		m.rejoin.isolated = nil
		m.setCut(s, false)
	}
}

// reconnectPrimary lets the old primary come back and a server join before an order takes effect,
// and returns when it does.
func (m *synchModel) reconnectPrimary(takeover time.Duration) time.Duration {
	back := m.randomMillis(0, int(takeover.Milliseconds()))
	m.schedule(back, m.heal)
	if m.oneIn(2) {
		m.schedule(back+m.rejoin.reconnect+m.randomMillis(0, 300), m.join)
	}
	takeover = back + m.rejoin.reconnect + m.randomMillis(0, 600)
	m.rejoin.busyUntil = m.now.Add(takeover)
	return takeover
}

// join adds an empty replica, which all instances know at once.
func (m *synchModel) join() {
	if m.rejoin.joins == maxJoins {
		return
	}
	m.servers = append(m.servers, &synchServer{id: ident.ServerID(rune('d' + m.rejoin.joins))})
	m.rejoin.joins++
	m.listServers()
}

// listServers gives all instances the list of servers.
func (m *synchModel) listServers() {
	var ids []ident.ServerID
	var members []Member
	for _, s := range m.servers {
		ids = append(ids, s.id)
		members = append(members, Member{Server: s.id})
	}
	for at, machine := range m.machines {
		machine.SetServers(ids)
		m.leases[at].SetServers(members, nil)
	}
}

// changeMembers changes the members in the record for an instance.
func (m *synchModel) changeMembers(at int, a ChangeMembers) {
	r, changed := a.Evaluate(m.record, ident.NewVersion(m.epoch, m.revision))
	if m.storeDown || !changed || !m.reaches(string(m.claimants[at]), "store") {
		return
	}
	m.writeRecord(m.revision, r, func(writeResult) { m.readRecord(at) })
}

// readRecord reads the record for an instance.
func (m *synchModel) readRecord(at int) {
	asked := m.now
	if m.storeDown || !m.reaches(string(m.claimants[at]), "store") {
		return
	}
	r, v := m.record, ident.NewVersion(m.epoch, m.revision)
	m.schedule(m.randomMillis(1, 60), func() {
		m.leases[at].Record(r, v, asked, m.now)
		m.step(at, Recorded{Record: r, Version: v})
	})
}

// unseal ends the seals of all replicas, as a promotion does.
func (m *synchModel) unseal() {
	for _, s := range m.servers {
		if s.role == Replica && !s.down {
			s.sealed = 0
		}
	}
}

// TestRejoiningPrimaryLosesNothing plays schedules in which the old primary answers the instances
// for a while before its successor leads or a server joins.
func TestRejoiningPrimaryLosesNothing(t *testing.T) { checkRejoining(t, modelReconnect) }

// TestPrimaryRejoinsAtOnce is the same without that time: a replica may receive from the old
// primary as soon as the instances reach it.
func TestPrimaryRejoinsAtOnce(t *testing.T) { checkRejoining(t, 0) }

func checkRejoining(t *testing.T, reconnect time.Duration) {
	promotions, writes := 0, 0
	for seed := range uint64(synchSchedules) {
		m := newSynchModel(seed, "", false)
		m.rejoin = &rejoin{reconnect: reconnect}
		m.leases = []*TermLease{NewTermLease(LeaseConfig{}), NewTermLease(LeaseConfig{}), NewTermLease(LeaseConfig{})}
		m.intercept = func(at int, a Action) bool {
			change, ok := a.(ChangeMembers)
			if ok {
				m.changeMembers(at, change)
			}
			return ok
		}
		m.listServers()
		if v := m.run(synchSteps); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
		promotions += len(m.claimHolders)
		writes += len(m.acked)
	}
	if promotions < synchSchedules/4 || writes < 10*synchSchedules {
		t.Fatalf("only %d promotions and %d writes in %d schedules", promotions, writes, synchSchedules)
	}
}
