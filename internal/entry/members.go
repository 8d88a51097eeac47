package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

const (
	// viewInterval is how often the view of the fleet is refreshed.
	viewInterval = 250 * time.Millisecond
	// reconcileInterval is how often ownership is reconciled even if nothing has changed.
	reconcileInterval = time.Second
	// reportInterval is the shortest time between two reports of a data centre's configuration.
	reportInterval = time.Second
	// listReadInterval is the mean time between reads of the platform's list of instances.
	listReadInterval = 2 * time.Second
	// unlistedReadInterval is the same for an instance that is not in the list yet.
	unlistedReadInterval = 500 * time.Millisecond
	// memberTimeout is how long an instance may go unheard before its observers suspect it. Its
	// work moves once most of them do.
	memberTimeout = 1500 * time.Millisecond
	// suspicionRefresh is how often a lasting suspicion is sent again.
	suspicionRefresh = 4 * time.Second
	// fullMeshLimit is the largest number of instances that are all linked with each other.
	fullMeshLimit = 12
	// leaveNoticeDelay is how long a leaving instance waits for the others to notice that.
	leaveNoticeDelay = 300 * time.Millisecond
)

// fleetView is a snapshot of the fleet for the other components of the instance. It is not
// modified after it is published, apart from its caches.
type fleetView struct {
	available []membr.Member
	// local are the available instances of this data centre.
	local []membr.Member
	// gateways are the gateways of the data centres; the fleet's relays are chosen among them.
	gateways []membr.Member
	// eligible are the instances that may own groups and hold shares of the rates.
	eligible membr.Centers
	// owners caches the owners of each group, holders those of each shard of the rates, in
	// order of preference.
	owners    sync.Map
	holders   [share.Shards]atomic.Pointer[shardHolders]
	all       map[ident.InstanceID]membr.Member
	reachable map[ident.InstanceID]bool
}

// members maintains the view of the fleet and propagates changes of it to the peers.
type members struct {
	instance *Instance
	current  atomic.Pointer[fleetView]
	wake     chan struct{}

	// lastReconcile, appliedConfig and lastRebuild are used by the goroutine of run only.
	lastReconcile time.Time
	appliedConfig *conf.Snapshot
	// lastRebuild is when the whole view was last built. dirty is set when it has to be built
	// again; the view is not built on every refresh because the cost grows with the fleet.
	lastRebuild time.Time
	dirty       atomic.Bool

	mu      sync.Mutex
	view    *membr.View
	targets []ident.InstanceID
	// listVersion and listHash are the version and the content hash of the list in use.
	listVersion ident.Version
	listHash    uint64
	// registered is the version of this instance's own entry, 0 before it is written.
	registered ident.Version
	// peerVersions are the versions of the configurations that the peers have in force.
	peerVersions map[ident.InstanceID]ident.Version
	// behind is since when this instance has known that it lacks an update of each kind.
	behind [updateKinds]lag
	// lastReport is the last status reported to the platform, reportedAt when that was.
	lastReport confs.CenterStatus
	reportedAt time.Time
	// unlistedSeen is set when a heartbeat arrives from an instance that is not in the list.
	unlistedSeen bool
}

func newMembers(i *Instance) *members {
	m := &members{
		instance: i, wake: make(chan struct{}, 1), peerVersions: map[ident.InstanceID]ident.Version{},
		view: membr.NewView(membr.Config{Self: i.conf.Instance, SuspectTimeout: memberTimeout, RefreshInterval: suspicionRefresh}, uint64(clock.TimeOfDay().UnixNano())),
	}
	m.current.Store(&fleetView{all: map[ident.InstanceID]membr.Member{}})
	return m
}

// run reads the list of instances, keeps the view and the links up to date and sends reports,
// until the instance ends.
func (m *members) run() error {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	ctx := m.instance.tomb.Context(context.Background())
	var read time.Time
	restored := m.instance.epochs.Changed()
	for {
		if clock.Since(read) > m.listReadDelay() {
			m.readList(ctx)
			read = clock.Now()
		}
		m.refresh(ctx)
		m.instance.hub.CloseSurplus(m.linkWishes())
		m.report(ctx)
		select {
		case <-m.instance.tomb.Dying():
			return nil
		case <-m.wake:
		case <-ticker.C:
		case <-restored:
			restored, m.lastReport, m.reportedAt = m.instance.epochs.Changed(), confs.CenterStatus{}, time.Time{}
			if m.isRelay() {
				read = time.Time{}
			}
		}
	}
}

// tableWriters returns the instances that write the table of rate shares: one for the whole
// fleet, and one of this data centre for the time when the data centre is cut off.
func (m *members) tableWriters() []ident.InstanceID {
	const subject = "shares"
	eligible := m.current.Load().eligible
	return slices.Compact(append(topRanked(subject, firstPerCenter(subject, eligible), 1), topRanked(subject, eligible[m.instance.conf.Center], 1)...))
}

// report writes to the platform which configuration is in force in this data centre: the
// lowest version among the instances that this one hears. The first relay of the data centre
// reports, and only when the version or the number of instances has changed.
func (m *members) report(ctx context.Context) {
	if m.instance.conf.SkipReports || clock.Since(m.reportedAt) < reportInterval || !m.reportsForCenter() {
		return
	}
	status := confs.CenterStatus{
		Center: m.instance.conf.Center, Least: m.instance.configCache.Current().Version, Instances: 1, By: m.instance.conf.Instance, At: clock.TimeOfDay(),
	}
	m.mu.Lock()
	for _, member := range m.current.Load().local {
		version, heard := m.peerVersions[member.ID]
		if member.ID == status.By || !heard {
			continue
		}
		status.Instances++
		if version.Before(status.Least) {
			status.Least = version
		}
	}
	m.mu.Unlock()
	same := status.Least == m.lastReport.Least && status.Instances == m.lastReport.Instances
	if same || status.Least.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	if confs.Report(ctx, m.instance.conf.Store, status) == nil {
		m.lastReport, m.reportedAt = status, clock.Now()
	}
}

// reportsForCenter reports whether this instance writes the reports of its data centre.
func (m *members) reportsForCenter() bool {
	first := topRanked(relaySubject, m.current.Load().local, 1)
	return len(first) == 0 || first[0] == m.instance.conf.Instance
}

// refresh rebuilds and publishes the view if it may have changed, propagates suspicions, and
// updates the owned groups and the shares of the rates.
func (m *members) refresh(ctx context.Context) {
	now := clock.Now()
	m.mu.Lock()
	targets := linkTargets(m.instance.conf.Instance, m.targets, m.current.Load())
	suspicions := m.view.Tick(now)
	snapshot := m.instance.configCache.Current()
	if !m.dirty.Swap(false) && len(suspicions) == 0 && snapshot == m.appliedConfig && now.Sub(m.lastRebuild) < reconcileInterval {
		m.mu.Unlock()
		m.openLinks(ctx, targets)
		return
	}
	m.lastRebuild = now
	available := m.view.Available(now)
	next := &fleetView{available: available, all: map[ident.InstanceID]membr.Member{}, reachable: map[ident.InstanceID]bool{}}
	for _, member := range m.view.All() {
		next.all[member.ID] = member
		next.reachable[member.ID] = m.view.Reachable(now, member.ID)
	}
	m.mu.Unlock()
	m.openLinks(ctx, targets)
	for _, n := range suspicions {
		m.instance.hub.NotifySome(ctx, peer.SuspicionReport{Suspicion: n}, m.propagatesTo)
	}
	centers := membr.ByCenter(available)
	next.local, next.gateways = centers[m.instance.conf.Center], firstPerCenter(relaySubject, membr.HighCapacity(centers))
	next.eligible = membr.HighCapacity(membr.ByCenter(m.eligible(available)))
	old := m.current.Load()
	changed := !old.same(next) || snapshot != m.appliedConfig
	if !changed && now.Sub(m.lastReconcile) < reconcileInterval {
		return
	}
	m.lastReconcile, m.appliedConfig = now, snapshot
	if changed {
		m.current.Store(next)
	}
	if m.instance.mayOwn(snapshot) {
		m.instance.host.Reconcile(snapshot, next.eligible)
	}
	if changed {
		m.instance.quota.CheckShards()
	}
}

// openLinks opens the missing links to targets in the background.
func (m *members) openLinks(ctx context.Context, targets []ident.InstanceID) {
	for _, id := range targets {
		if !m.instance.hub.Connected(id) {
			go func() { _ = m.instance.hub.Connect(ctx, id) }()
		}
	}
}

// same reports whether two views lead to the same choice of owners, holders and routes.
func (c *fleetView) same(other *fleetView) bool {
	return slices.Equal(c.available, other.available) && maps.Equal(c.reachable, other.reachable) && maps.Equal(c.all, other.all) &&
		maps.EqualFunc(c.eligible, other.eligible, slices.Equal)
}

// eligible returns the available instances that may own groups; it excludes this instance
// while it drains.
func (m *members) eligible(available []membr.Member) []membr.Member {
	if !m.instance.draining.Load() {
		return available
	}
	var others []membr.Member
	for _, member := range available {
		if member.ID != m.instance.conf.Instance {
			others = append(others, member)
		}
	}
	return others
}

// changed triggers an immediate rebuild of the view.
func (m *members) changed() {
	m.dirty.Store(true)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// onHeartbeat handles the heartbeat of a peer.
func (m *members) onHeartbeat(id ident.InstanceID, version ident.Version, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerVersions[id] = version
	m.unlistedSeen = m.unlistedSeen || !m.view.IsListed(id)
	back := m.view.RecordContact(clock.Now(), id)
	if m.view.SetLeaving(id, leaving) || back {
		m.changed()
	}
}

// onSuspicion applies a suspicion that a peer sent, and propagates it if it is new.
func (m *members) onSuspicion(from ident.InstanceID, n membr.Suspicion) {
	m.mu.Lock()
	isNew := m.view.ApplySuspicion(clock.Now(), n)
	m.mu.Unlock()
	if isNew {
		m.instance.hub.NotifySome(m.instance.tomb.Context(context.Background()), peer.SuspicionReport{Suspicion: n}, func(id ident.InstanceID) bool {
			return id != from && m.propagatesTo(id)
		})
		m.changed()
	}
}

// isRelay reports whether this instance watches the platform permanently on behalf of the
// others: it is one of the top-ranked instances of its data centre or, with fleet-wide
// relays, one of the top-ranked gateways.
func (m *members) isRelay() bool {
	view, count := m.current.Load(), m.instance.conf.Relays
	candidates := view.local
	if fleet := m.instance.conf.FleetRelays; fleet > 0 {
		count, candidates = fleet, view.gateways
	}
	first := topRanked(relaySubject, candidates, count)
	return len(view.local) == 0 || slices.Contains(first, m.instance.conf.Instance)
}

// relaySubject is the rendezvous hashing subject by which relays and gateways are chosen.
const relaySubject = "configuration"

// backupRank returns the rank of this instance among those of its data centre that take over
// from an unresponsive relay, starting at 0.
func (m *members) backupRank() int {
	return max(0, slices.IndexFunc(membr.Rank(relaySubject, m.current.Load().local), func(o membr.Member) bool { return o.ID == m.instance.conf.Instance }))
}

// firstPerCenter returns the top-ranked instance of each data centre for a subject.
func firstPerCenter(subject string, centers membr.Centers) []membr.Member {
	var firsts []membr.Member
	for _, local := range centers {
		if first, ok := membr.First(subject, local); ok {
			firsts = append(firsts, first)
		}
	}
	return firsts
}

// sameRegion reports whether a data centre is in this instance's region.
func (m *members) sameRegion(center ident.CenterID) bool {
	regions := m.instance.conf.Regions
	own, known := regions[m.instance.conf.Center]
	return known && regions[center] == own
}

// topRanked returns the count members that rank highest for a subject by rendezvous hashing.
func topRanked(subject string, all []membr.Member, count int) []ident.InstanceID {
	var ids []ident.InstanceID
	for _, member := range membr.Rank(subject, all) {
		if len(ids) == count {
			break
		}
		ids = append(ids, member.ID)
	}
	return ids
}

// others returns all known instances but this one.
func (m *members) others() []ident.InstanceID {
	var ids []ident.InstanceID
	for id := range m.current.Load().all {
		if id != m.instance.conf.Instance {
			ids = append(ids, id)
		}
	}
	return ids
}

// centerSize returns the number of available instances in this data centre, this one included.
func (m *members) centerSize() int {
	count := 0
	self := false
	for _, member := range m.current.Load().available {
		if member.Center == m.instance.conf.Center {
			count++
			self = self || member.ID == m.instance.conf.Instance
		}
	}
	if !self && !m.instance.draining.Load() {
		count++
	}
	return count
}

func (m *members) addressOf(id ident.InstanceID) (string, bool) {
	member, ok := m.current.Load().all[id]
	return member.Address, ok
}

// owners returns the owners of a group in order of preference: this instance, those of the
// same data centre, of the same region, the other reachable ones, the unreachable ones.
func (m *members) owners(id ident.GroupID, serverCenters []ident.CenterID) []ident.InstanceID {
	c := m.current.Load()
	if known, ok := c.owners.Load(id); ok {
		return known.([]ident.InstanceID)
	}
	chosen := membr.Owners(id, serverCenters, c.eligible)
	ids := make([]ident.InstanceID, 0, len(chosen))
	for proximity := range proximityUnreachable + 1 {
		for _, member := range chosen {
			if m.proximity(c, member) == proximity {
				ids = append(ids, member.ID)
			}
		}
	}
	c.owners.Store(id, ids)
	return ids
}

// proximityClass orders the owners of a group by their distance from this instance.
type proximityClass int

const (
	proximitySelf proximityClass = iota
	proximityCenter
	proximityRegion
	proximityRemote
	proximityUnreachable
)

func (m *members) proximity(c *fleetView, member membr.Member) proximityClass {
	switch {
	case member.ID == m.instance.conf.Instance:
		return proximitySelf
	case !c.reachable[member.ID]:
		return proximityUnreachable
	case member.Center == m.instance.conf.Center:
		return proximityCenter
	case m.sameRegion(member.Center):
		return proximityRegion
	default:
		return proximityRemote
	}
}

// awaitLeaveNotice waits until the others have had time to notice that this instance leaves;
// it keeps the groups that it owns until then.
func (m *members) awaitLeaveNotice(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(leaveNoticeDelay):
	}
}
