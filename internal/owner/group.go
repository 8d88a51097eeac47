package owner

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
)

// GroupConfig configures a Group.
type GroupConfig struct {
	ID       ident.GroupID
	Group    conf.Group
	Defaults conf.Defaults
	Self     ident.InstanceID
	Center   ident.CenterID
	// Regions gives the region of each data centre; one without an entry is in a region of its own.
	Regions  map[ident.CenterID]string
	Claimant group.Claimant
	Place    Place
	Driver   proto.Driver
	Store    plat.Store
	// Epochs tracks the epoch of Store; nil means that Store is never restored.
	Epochs  *plat.Epochs
	Journal *jrnl.Journal
	Budget  *retry.Budget
	Random  *rand.Rand
	Now     func() time.Time
	// ReportServer tells the peers whether a server answers this instance; it may be nil.
	ReportServer func(g ident.GroupID, s ident.ServerID, answers bool)
	// ReadRecord asks a peer for a group's record, LinkedPeers returns those with an open link; both may be nil.
	ReadRecord  ReadRecord
	LinkedPeers func() []ident.InstanceID
	// Baseline switches mechanisms off for comparative measurements.
	Baseline Baseline
	// lost counts lost answers; nil counts none.
	lost *lostAnswers
	// faults counts what was wrong with connections; nil counts none.
	faults *connFaults
	// leavers knows since when servers are leaving; nil means that none is.
	leavers *leavers
	// evacuees knows which data centres are evacuated; nil means that none is.
	evacuees *evacuees
	// changes counts answers of superseded primaries; nil counts none.
	changes *changes
	// copies holds the copies of groups' records; nil keeps one for this group alone.
	copies *recordCopies
	// room counts what the headroom of servers has led to; nil counts nothing.
	room *roomCounters
}

// ReadRecord asks an instance for a group's record that is at most maxAge old; false if it does not answer.
type ReadRecord func(ctx context.Context, from ident.InstanceID, g ident.GroupID, maxAge time.Duration) (group.RecordCopy, bool)

// Place is an owner's position among the owners of its group.
type Place struct {
	// Rank is the owner's index in the order of owners, from 0; negative if this instance is not one of them.
	Rank int
	// Centers lists the data centre of each owner, Owners the owners, in an order that all instances share.
	Centers []ident.CenterID
	Owners  []ident.InstanceID
}

// Baseline selects simple policies to measure against; the zero value selects none.
type Baseline struct {
	// PrimaryOnly sends every read to the primary.
	PrimaryOnly bool
	// AckAtOnce acknowledges a write as soon as the primary does.
	AckAtOnce bool
	// FirstReplica reads from any replica that answers, however far behind it is.
	FirstReplica bool
}

// server is one backend server of a group.
type server struct {
	conf.Server
	// at is the server's index in the roster and in every view.
	at     int
	pool   *pool
	target proto.Target
	// pollRequests makes the watcher poll at once.
	pollRequests chan struct{}
	controlCalls chan *controlCall
	// conns counts the control connections opened so far.
	conns atomic.Uint64
	// removed is closed once the server has left the group.
	removed  chan struct{}
	distrust distrust
	coldness coldness
}

// roster lists all servers that a group has had. An index is never reused; the map
// holds only the servers that the group has now.
type roster struct {
	servers []*server
	index   map[ident.ServerID]int
}

// Group serves one database group as one of its owners.
type Group struct {
	conf    GroupConfig
	roster  atomic.Pointer[roster]
	tracker *tracker
	events  chan group.Event
	// viewWaiters counts the requests that wait for a newer view.
	viewWaiters atomic.Int64
	// lastUsed is when the group last received a request, in Unix nanoseconds.
	lastUsed atomic.Int64
	// noPrimarySince is since when there has been no usable primary, in Unix nanoseconds; 0 while there is one.
	noPrimarySince atomic.Int64
	defaults       atomic.Pointer[conf.Defaults]
	leaving        atomic.Pointer[map[ident.ServerID]bool]
	// draining are the leaving servers whose entries in the list say so, or said so before they were removed.
	draining atomic.Pointer[map[ident.ServerID]bool]
	// listed is the server that the platform's list names as the primary, empty unless it names exactly one.
	listed atomic.Pointer[ident.ServerID]
	place  atomic.Pointer[Place]
	// coldLimits are the limits for cold servers.
	coldLimits atomic.Pointer[coldLimits]
	// relinquished is set while another instance owns the group: only owners replace a primary.
	relinquished atomic.Bool
	// change is the latest sign that the primary is being replaced; nil means none.
	change  atomic.Pointer[change]
	records recordReads
	orders  orders
	// publishing is the term whose primary is being published; 0 means none.
	publishing atomic.Uint64
	tomb       tomb.Tomb

	mu       sync.Mutex
	txs      map[TxID]*transaction
	incident string

	// jitterMu guards only jitterRand. Pools use jitterRand while they hold their own
	// mutex, so that taking mu there could deadlock.
	jitterMu   sync.Mutex
	jitterRand *rand.Rand
}

// eventQueueSize is how many events may wait for the state machine.
const eventQueueSize = 1024

// NewGroup starts serving a group.
func NewGroup(c GroupConfig) *Group {
	if c.Epochs == nil {
		c.Epochs = plat.NewEpochs()
	}
	if c.leavers == nil {
		c.leavers = &leavers{}
	}
	if c.copies == nil {
		c.copies = newRecordCopies(c.Store, c.Epochs, nil)
	}
	if c.evacuees == nil {
		c.evacuees = newEvacuees(c.Now, nil)
	}
	var lease *group.TermLease
	if c.Driver.Fenced() {
		lease = group.NewTermLease(group.LeaseConfig{Asynchronous: c.Group.Synchronous == 0})
	}
	g := &Group{
		conf: c, tracker: newTracker(lease),
		events: make(chan group.Event, eventQueueSize), txs: map[TxID]*transaction{},
		jitterRand: rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64())),
	}
	g.tracker.published = g.endPrimaryAbsence
	g.defaults.Store(&c.Defaults)
	g.place.Store(&c.Place)
	g.roster.Store(&roster{index: map[ident.ServerID]int{}})
	g.updateServers(c.Group)
	g.resize(c.Group)
	g.updateLeaving(c.Group)
	g.updateCold(c.Group)
	g.tomb.Go(g.coordinate)
	g.tomb.Go(g.reapIdle)
	return g
}

// poolLimit returns each owner's share of a server's connections, after setting one
// control connection per owner aside.
func poolLimit(connections, owners int) int {
	owners = max(owners, 1)
	return max((connections-owners)/owners, 1)
}

// remoteIdleTimeout is how long an unused connection to a server in another data centre is kept.
const remoteIdleTimeout = 2 * time.Second

// updateServers updates the roster: it starts watching new servers and removes those that
// have left the group.
func (g *Group) updateServers(c conf.Group) {
	var primaries []ident.ServerID
	for _, s := range c.Servers {
		if s.IsPrimary {
			primaries = append(primaries, s.ID)
		}
	}
	listed := ident.ServerID("")
	if len(primaries) == 1 {
		listed = primaries[0]
	}
	g.listed.Store(&listed)
	old := g.roster.Load()
	next := &roster{servers: slices.Clone(old.servers), index: map[ident.ServerID]int{}}
	var newServers []*server
	for _, s := range c.Servers {
		if at, known := old.index[s.ID]; known && old.servers[at].Address == s.Address && old.servers[at].Incarnation == s.Incarnation {
			next.index[s.ID] = at
			continue
		}
		target := proto.Target{Server: s.ID, Address: s.Address, Group: g.conf.ID}
		added := &server{
			Server: s, at: len(next.servers), target: target, pollRequests: make(chan struct{}, 1), controlCalls: make(chan *controlCall, 8),
			removed: make(chan struct{}),
		}
		added.pool = newPool(poolConfig{
			target: target, driver: g.conf.Driver, slots: cmp.Or(s.Slots, c.Slots), queue: g.defaults.Load().QueueLength, now: g.conf.Now, random: g.random,
			found:    func(last connUse, c proto.Condition) { g.recordCondition(added, last, c) },
			report:   func(last connUse, f proto.Finding) { g.recordFinding(added, last, f) },
			distrust: &added.distrust, counters: g.conf.room,
		}, 1)
		next.index[s.ID] = added.at
		next.servers = append(next.servers, added)
		newServers = append(newServers, added)
	}
	for id, at := range old.index {
		// An unlisted server that still answers is kept, since it may go on acknowledging writes.
		if _, listed := next.index[id]; !listed && c.Listed && g.recentlyAnswered(old.servers[at]) {
			next.index[id] = at
		}
	}
	g.tracker.grow(len(next.servers))
	g.roster.Store(next)
	g.updateLease()
	for id, at := range old.index {
		if now, kept := next.index[id]; !kept || now != at {
			g.removeServer(old.servers[at])
		}
	}
	for _, s := range newServers {
		g.tomb.Go(func() error { return g.watch(s) })
	}
}

// removeServer stops using a server that has left the group.
func (g *Group) removeServer(s *server) {
	close(s.removed)
	g.tracker.removeServer(s.at)
	s.pool.close()
	g.recordEvent(jrnl.Event{Kind: jrnl.ServerLeaving, Server: s.ID, Evidence: "the server is no longer listed and does not answer, or is listed with another address or start time"})
}

// allServers returns all servers in the order of their index, including those that have left the group.
func (g *Group) allServers() []*server { return g.roster.Load().servers }

// at returns a server of the group by ID, nil if the group does not have it now.
func (g *Group) at(id ident.ServerID) *server {
	r := g.roster.Load()
	if at, ok := r.index[id]; ok {
		return r.servers[at]
	}
	return nil
}

// serverIDs returns the sorted IDs of the servers that the group has now.
func (g *Group) serverIDs() []ident.ServerID {
	return slices.Sorted(maps.Keys(g.roster.Load().index))
}

// Update applies a new configuration and this instance's place among the owners; it
// reports false if the change requires a new Group.
func (g *Group) Update(c conf.Group, d conf.Defaults, p Place) bool {
	if c.Synchronous != g.conf.Group.Synchronous || c.Slots != g.conf.Group.Slots {
		return false
	}
	g.defaults.Store(&d)
	g.place.Store(&p)
	g.relinquished.Store(false)
	g.updateServers(c)
	g.resize(c)
	g.updateLeaving(c)
	g.updateCold(c)
	g.closeEvacuated()
	return true
}

// resize sets the limit of each server's pool to this owner's share of the connections.
func (g *Group) resize(c conf.Group) {
	place := g.place.Load()
	for _, s := range g.allServers() {
		s.pool.setRoom(c.Connections, len(place.Centers))
		if !g.conf.Driver.PerCustomer() {
			s.pool.resize(poolLimit(c.Connections, len(place.Centers)))
			continue
		}
		s.pool.resize(admit.ConnectionShare{
			Connections: c.Connections, Owners: len(place.Centers),
			Local: s.Center == g.conf.Center, LocalOwned: slices.Contains(place.Centers, s.Center),
		}.Limit())
	}
}

// random returns a random number in [0, 1).
func (g *Group) random() float64 {
	g.jitterMu.Lock()
	defer g.jitterMu.Unlock()
	return g.jitterRand.Float64()
}

// updateUnowned applies a new configuration to a group that this instance no longer owns.
func (g *Group) updateUnowned(c conf.Group, d conf.Defaults) {
	g.defaults.Store(&d)
	g.updateServers(c)
	g.updateLeaving(c)
	g.updateCold(c)
	g.closeEvacuated()
	g.relinquish()
}

// relinquish gives up ownership: it frees all connections but one per server for the
// group's new owner.
func (g *Group) relinquish() {
	g.relinquished.Store(true)
	for _, s := range g.allServers() {
		s.pool.relinquish()
	}
}

// updateLeaving updates the set of servers that are leaving the group, including those that
// are kept although no longer listed.
func (g *Group) updateLeaving(c conf.Group) {
	leaving, draining := map[ident.ServerID]bool{}, map[ident.ServerID]bool{}
	for _, id := range g.serverIDs() {
		leaving[id] = true
	}
	if earlier := g.draining.Load(); earlier != nil {
		for id := range *earlier {
			if g.at(id) != nil {
				draining[id] = true
			}
		}
	}
	for _, s := range c.Servers {
		if s.Leaving {
			draining[s.ID] = true
			continue
		}
		delete(leaving, s.ID)
		delete(draining, s.ID)
	}
	g.draining.Store(&draining)
	old := g.leaving.Swap(&leaving)
	g.updateLease()
	for id := range leaving {
		if old == nil || !(*old)[id] {
			g.recordEvent(jrnl.Event{Kind: jrnl.ServerLeaving, Server: id, Evidence: "the server is marked as leaving or is no longer listed"})
			if s := g.at(id); s != nil {
				s.pool.closeIdle()
			}
		}
	}
}

// PeerView records whether a server answers another instance. If it does not but has
// recently answered this one, the peers are told so.
func (g *Group) PeerView(from ident.InstanceID, s ident.ServerID, answers bool) {
	if known := g.at(s); known != nil && !answers && g.conf.ReportServer != nil && g.recentlyAnswered(known) {
		g.conf.ReportServer(g.conf.ID, s, true)
	}
	g.postEvent(group.PeerView{Instance: from, Server: s, Answers: answers})
}

// recentlyAnswered reports whether a server has answered this instance within the silence limit.
func (g *Group) recentlyAnswered(s *server) bool {
	r := g.tracker.current.Load().reportOf(s)
	return r != nil && !r.missed && g.conf.Now().Sub(r.answered) < g.defaults.Load().Silence
}

// Primary returns the primary and its term as this owner knows them; the ID is empty
// if none is known.
func (g *Group) Primary() (ident.ServerID, ident.Term) {
	v := g.tracker.current.Load()
	if v.primary == noPrimary {
		return "", 0
	}
	return g.allServers()[v.primary].ID, v.term
}

// Stop stops polling, refuses waiting requests and rolls open transactions back.
func (g *Group) Stop() {
	g.tomb.Kill(nil)
	for _, s := range g.allServers() {
		s.pool.close()
	}
	g.mu.Lock()
	open := g.txs
	g.txs = map[TxID]*transaction{}
	g.mu.Unlock()
	for _, t := range open {
		t.closeConn()
	}
	_ = g.tomb.Wait()
}

// Idle reports whether the group has no open transaction on this instance.
func (g *Group) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.txs) == 0
}

// postEvent queues an event for the state machine. If the queue is full, what polls and peers report is dropped:
// it is reported again soon, and neither watchers nor peers wait. All other events are results, which come
// once and wait for a place. There is one for each action: one change of members a step, one publication a term
// at a time, and in each attempt a claim, a seal for each server and an order, which end within a step; the
// next attempt begins at least half a step after one that failed.
func (g *Group) postEvent(e group.Event) {
	switch e.(type) {
	case group.Polled, group.PollFailed, group.PeerView:
		select {
		case g.events <- e:
		default:
		}
	default:
		select {
		case g.events <- e:
		case <-g.tomb.Dying():
		}
	}
}

// pollNow makes every watcher poll its server at once.
func (g *Group) pollNow() {
	for _, s := range g.allServers() {
		s.pollNow()
	}
}

// pollNow makes the server's watcher poll it at once.
func (s *server) pollNow() {
	select {
	case s.pollRequests <- struct{}{}:
	default:
	}
}

// recordEvent adds an event of this group to the journal.
func (g *Group) recordEvent(e jrnl.Event) {
	e.Group = g.conf.ID
	g.conf.Journal.Add(e)
}
