package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// How updates propagate: the top-ranked instance of each data centre is its gateway. It is
// linked with the gateways of the other data centres and with every instance of its own. An
// update crosses between two data centres once, from gateway to gateway. An instance that
// does not get an update from its gateway in time fetches it from any instance.
//
//	relay ──▶ gateway ──▶ remote gateway ──▶ instances of its data centre

// updateKind is a kind of state that instances fetch from each other.
type updateKind uint8

const (
	configUpdate updateKind = iota
	serversUpdate
	membersUpdate
	evacuationsUpdate
	updateKinds
)

const (
	// gatewayWait is how long an instance waits for its gateway to deliver an update before it
	// fetches the update from any instance. startupGatewayWait is the same for an instance that
	// cannot serve callers without the update.
	gatewayWait        = 600 * time.Millisecond
	startupGatewayWait = 100 * time.Millisecond
	// gatewayFactor and idleFactor multiply the heartbeat interval of the links between
	// a gateway and the instances of its data centre, and of the links that carry only requests.
	gatewayFactor = 2
	idleFactor    = 12
)

// isGateway reports whether an instance is the gateway of its data centre.
func (c *fleetView) isGateway(id ident.InstanceID) bool {
	return slices.ContainsFunc(c.gateways, func(m membr.Member) bool { return m.ID == id })
}

// gatewayOf returns the gateway of a data centre; empty if there is none.
func (c *fleetView) gatewayOf(center ident.CenterID) ident.InstanceID {
	for _, m := range c.gateways {
		if m.Center == center {
			return m.ID
		}
	}
	return ""
}

// linkTargets returns the instances to which an instance keeps links: all in a small fleet,
// otherwise those that it observes, its gateway and, for a gateway, all other gateways.
func linkTargets(self ident.InstanceID, observed []ident.InstanceID, c *fleetView) []ident.InstanceID {
	targets := slices.Clone(observed)
	add := func(id ident.InstanceID) {
		if id != "" && id != self && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	if len(c.all) <= fullMeshLimit {
		for id := range c.all {
			add(id)
		}
		return targets
	}
	if c.isGateway(self) {
		for _, m := range c.gateways {
			add(m.ID)
		}
	}
	add(c.gatewayOf(c.all[self].Center))
	return targets
}

// isGatewayLink reports whether a link connects a gateway with an instance of its own data centre.
func (c *fleetView) isGatewayLink(self, id ident.InstanceID) bool {
	center := c.all[self].Center
	return c.all[id].Center == center && (c.gatewayOf(center) == self || c.gatewayOf(center) == id)
}

// linkFactor returns the factor by which the heartbeat interval of the link to an
// instance is longer than the default; 1 is the default.
func (m *members) linkFactor(id ident.InstanceID) time.Duration {
	m.mu.Lock()
	near := m.view.IsNeighbour(id)
	m.mu.Unlock()
	c, self := m.current.Load(), m.instance.conf.Instance
	switch {
	case near || len(c.all) <= fullMeshLimit || c.isGateway(self) && c.isGateway(id):
		return 1
	case c.isGatewayLink(self, id):
		return gatewayFactor
	}
	return idleFactor
}

// propagatesTo reports whether updates are sent over the link to an instance.
func (m *members) propagatesTo(id ident.InstanceID) bool { return m.linkFactor(id) < idleFactor }

// maxKeptLease is the longest lease of shares of the rates for whose renewals links are kept; for a
// longer one, which is renewed less often than every 5 s, a link is opened for each renewal.
const maxKeptLease = 20 * time.Second

// linkWishes returns a function that reports whether this instance wants to keep the link to another
// one while nothing uses it. Both ends of a link come to the same result from the same view.
func (m *members) linkWishes() func(ident.InstanceID) bool {
	c, self := m.current.Load(), m.instance.conf.Instance
	related := sync.OnceValue(func() map[ident.InstanceID]bool { return m.related(self) })
	return func(id ident.InstanceID) bool {
		// What an instance that is not available will need is not known.
		_, available := slices.BinarySearchFunc(c.available, id, func(o membr.Member, id ident.InstanceID) int { return cmp.Compare(o.ID, id) })
		return !available || m.instance.draining.Load() || m.linkFactor(id) < idleFactor || related()[id]
	}
}

// related returns the instances with which this one owns groups, which tell each other which servers
// answer, or renews shares of the rates.
func (m *members) related(self ident.InstanceID) map[ident.InstanceID]bool {
	related := map[ident.InstanceID]bool{}
	s := m.instance.configCache.Current()
	for _, g := range m.instance.host.Groups() {
		for _, id := range m.owners(g, s.Groups[g].ServerCenters()) {
			related[id] = true
		}
	}
	writers := m.tableWriters()
	if len(writers) == 0 || s.Defaults.ShareLease > maxKeptLease {
		return related
	}
	for shard := range share.Shard(share.Shards) {
		holders := m.holders(shard)
		if len(holders) > 0 && holders[0] == self {
			related[writers[0]] = true
		}
		if writers[0] != self {
			continue
		}
		if len(holders) > 0 {
			related[holders[0]] = true
		}
		for _, h := range m.remoteHolders(shard) {
			related[h.Instance] = true
		}
	}
	return related
}

// forgetVersion forgets the configuration of an instance from which nothing is heard any more.
func (m *members) forgetVersion(id ident.InstanceID) {
	m.mu.Lock()
	delete(m.peerVersions, id)
	m.mu.Unlock()
}

// mayFetch reports whether an update may be fetched from an instance now: at once if that
// instance is in the same data centre or if this one is a gateway, otherwise only when the
// gateway has not delivered the update in time.
func (m *members) mayFetch(from ident.InstanceID, kind updateKind) bool {
	c, self := m.current.Load(), m.instance.conf.Instance
	member, known := c.all[from]
	sameCenter := known && member.Center == m.instance.conf.Center
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := m.instance.configCache.Current()
	wait := gatewayWait
	if snapshot.Version.IsZero() || m.instance.conf.Listed && snapshot.Listed.IsZero() || m.instance.conf.Evacuations && snapshot.Evacuations.Version.IsZero() {
		wait = startupGatewayWait
	}
	if sameCenter || c.isGateway(self) || len(c.gateways) == 0 {
		m.behind[kind] = lag{}
		return true
	}
	held := [updateKinds]ident.Version{configUpdate: snapshot.Version, serversUpdate: snapshot.Listed, membersUpdate: m.listVersion, evacuationsUpdate: snapshot.Evacuations.Version}[kind]
	behind, now := &m.behind[kind], clock.Now()
	if behind.since.IsZero() || behind.held != held || now.Sub(behind.since) > behindExpiry {
		*behind = lag{since: now, held: held}
		return false
	}
	return now.Sub(behind.since) > wait
}

// lag is when an instance first heard of an update that it lacks, and the version that it then held. An
// instance that holds another one by now lacks another update.
type lag struct {
	since time.Time
	held  ident.Version
}

// behindExpiry is the age from which a lag is ignored: it then belongs to an earlier update.
const behindExpiry = 5 * time.Second

// linkLost records that the link to an instance has ended.
func (m *members) linkLost(id ident.InstanceID) {
	m.mu.Lock()
	m.view.RecordDisconnect(clock.Now(), id)
	m.mu.Unlock()
	m.changed()
}
