package owner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
)

// HostConfig configures a Host.
type HostConfig struct {
	Self   ident.InstanceID
	Center ident.CenterID
	// Regions gives the region of each data centre; one without an entry is in a region of its own.
	Regions  map[ident.CenterID]string
	Claimant group.Claimant
	Driver   proto.Driver
	Store    plat.Store
	Epochs   *plat.Epochs
	Journal  *jrnl.Journal
	Random   *rand.Rand
	Now      func() time.Time
	// ReportServer tells the peers whether a server answers this instance; it may be nil.
	ReportServer func(g ident.GroupID, s ident.ServerID, answers bool)
	// ReadRecord asks a peer for a group's record, LinkedPeers returns those with an open link; both may be nil.
	ReadRecord  ReadRecord
	LinkedPeers func() []ident.InstanceID
	Registry    prometheus.Registerer
	Baseline    Baseline
}

// lostGroupRetention is the shortest time for which a group is kept after this instance lost
// it, so that instances with outdated membership lists still find it here.
const lostGroupRetention = 5 * time.Second

// hostedGroup is a group that runs on this instance.
type hostedGroup struct {
	group *Group
	conf  conf.Group
	// lostAt is when this instance ceased to own the group, zero while it owns it.
	lostAt time.Time
}

// Host runs the groups that this instance owns; it is safe for concurrent use.
type Host struct {
	conf       HostConfig
	groups     atomic.Pointer[map[ident.GroupID]*hostedGroup]
	mu         sync.Mutex
	ownedGauge prometheus.Gauge
	budget     *retry.Budget
	lost       *lostAnswers
	faults     *connFaults
	leavers    *leavers
	evacuees   *evacuees
	// evacuations is the version of the list that evacuees has; mu guards it.
	evacuations ident.Version
	changes     *changes
	copies      *recordCopies
	room        *roomCounters
}

// retryBudgetCeiling is the largest number of retries that the retry budget accumulates.
const retryBudgetCeiling = 100

// NewHost returns a host without groups.
func NewHost(c HostConfig) *Host {
	if c.Epochs == nil {
		c.Epochs = plat.NewEpochs()
	}
	h := &Host{
		conf:       c,
		lost:       newLostAnswers(c.Registry),
		faults:     newConnFaults(c.Registry),
		leavers:    &leavers{now: c.Now},
		evacuees:   newEvacuees(c.Now, c.Registry),
		changes:    newChanges(c.Registry),
		copies:     newRecordCopies(c.Store, c.Epochs, c.Registry),
		room:       newRoomCounters(c.Registry),
		budget:     retry.NewBudget(conf.DefaultValues().RetryRatio, retryBudgetCeiling),
		ownedGauge: prometheus.NewGauge(prometheus.GaugeOpts{Name: "geraniumseam_groups_owned", Help: "Database groups owned by this instance."}),
	}
	if c.Registry != nil {
		c.Registry.MustRegister(h.ownedGauge)
	}
	h.groups.Store(&map[ident.GroupID]*hostedGroup{})
	return h
}

// Reconcile starts the groups that this instance owns under the given configuration
// and membership, and stops those it has lost once they are drained.
func (h *Host) Reconcile(s *conf.Snapshot, available membr.Centers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavers.update(s.Groups)
	h.applyEvacuations(s.Evacuations.Version, s.Evacuations.Centers)
	old := *h.groups.Load()
	next := map[ident.GroupID]*hostedGroup{}
	var ended []*Group
	for id, g := range s.Groups {
		// Owners are counted whether they exist or not: one in each data centre.
		g.ColdRate = admit.ColdPart(g.ColdRate, len(s.Centers))
		owners := membr.Owners(id, g.ServerCenters(), available)
		rank := slices.IndexFunc(owners, func(m membr.Member) bool { return m.ID == h.conf.Self })
		kept, stopped := h.reconcileGroup(id, g, s.Defaults, old[id], ownerPlace(owners, rank))
		if kept != nil {
			next[id] = kept
		}
		if stopped != nil {
			ended = append(ended, stopped)
		}
	}
	for id, lost := range old {
		if _, still := s.Groups[id]; !still {
			ended = append(ended, lost.group)
		}
	}
	h.groups.Store(&next)
	listed := s.Listed
	h.changes.listed.Store(&listed)
	h.ownedGauge.Set(float64(len(next)))
	for _, g := range ended {
		go g.Stop()
	}
}

// UpdateEvacuations applies the evacuations that have begun to the work that is sent from now on. The rest, such as the
// change of a primary, follows with the next Reconcile, which a store that does not answer may delay by seconds. So do
// evacuations that have ended, as servers count as cold from then on.
func (h *Host) UpdateEvacuations(e conf.Evacuations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	centers := slices.AppendSeq(slices.Clone(e.Centers), maps.Keys(*h.evacuees.since.Load()))
	h.applyEvacuations(e.Version, centers)
}

// applyEvacuations applies a list unless a newer one has been applied; the caller holds mu.
func (h *Host) applyEvacuations(v ident.Version, centers []ident.CenterID) {
	if v.Before(h.evacuations) {
		return
	}
	h.evacuations = v
	h.evacuees.update(centers)
}

func ownerPlace(owners []membr.Member, rank int) Place {
	p := Place{Rank: rank}
	for _, m := range owners {
		p.Centers, p.Owners = append(p.Centers, m.Center), append(p.Owners, m.ID)
	}
	return p
}

// reconcileGroup reconciles one group; it returns what runs from now on, nil for nothing, and
// the group to stop, nil for none.
func (h *Host) reconcileGroup(id ident.GroupID, g conf.Group, d conf.Defaults, current *hostedGroup, p Place) (*hostedGroup, *Group) {
	switch {
	case p.Rank < 0 && current == nil:
		return nil, nil
	case p.Rank < 0:
		current.group.updateUnowned(g, d)
		return h.retainLost(current)
	case current != nil && current.group.Update(g, d, p):
		return &hostedGroup{group: current.group, conf: g}, nil
	}
	started := NewGroup(GroupConfig{
		ID: id, Group: g, Defaults: d, Self: h.conf.Self, Center: h.conf.Center, Regions: h.conf.Regions, Claimant: h.conf.Claimant, Place: p,
		Driver: h.conf.Driver, Store: h.conf.Store, Epochs: h.conf.Epochs, Journal: h.conf.Journal,
		Budget: h.budget, Random: rand.New(rand.NewPCG(h.conf.Random.Uint64(), h.conf.Random.Uint64())),
		Now: h.conf.Now, ReportServer: h.conf.ReportServer, ReadRecord: h.conf.ReadRecord, LinkedPeers: h.conf.LinkedPeers, Baseline: h.conf.Baseline,
		lost: h.lost, faults: h.faults, leavers: h.leavers, evacuees: h.evacuees, changes: h.changes, copies: h.copies, room: h.room,
	})
	h.conf.Journal.Add(jrnl.Event{Kind: jrnl.OwnerChanged, Group: id, Evidence: "this instance now owns the group"})
	if current != nil {
		return &hostedGroup{group: started, conf: g}, current.group
	}
	return &hostedGroup{group: started, conf: g}, nil
}

// retainLost keeps a lost group until its open transactions have ended and
// lostGroupRetention has passed.
func (h *Host) retainLost(current *hostedGroup) (*hostedGroup, *Group) {
	now := h.conf.Now()
	if current.lostAt.IsZero() {
		h.conf.Journal.Add(jrnl.Event{Kind: jrnl.OwnerChanged, Group: current.group.conf.ID, Evidence: "another instance of the data centre now owns the group"})
		current.group.relinquish()
		return &hostedGroup{group: current.group, conf: current.conf, lostAt: now}, nil
	}
	if now.Sub(current.lostAt) < lostGroupRetention || !current.group.Idle() {
		return current, nil
	}
	return nil, current.group
}

// Group returns a group that runs on this instance, or nil.
func (h *Host) Group(id ident.GroupID) *Group {
	if found := (*h.groups.Load())[id]; found != nil {
		return found.group
	}
	return nil
}

// Groups returns the sorted IDs of the groups that run on this instance.
func (h *Host) Groups() []ident.GroupID {
	var ids []ident.GroupID
	for id := range *h.groups.Load() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ReadRecord returns a group's record for a peer: this instance's copy if that is at most maxAge old, otherwise a new
// one, which it reads once for all peers that ask at the same time.
func (h *Host) ReadRecord(ctx context.Context, id ident.GroupID, maxAge time.Duration) (group.RecordCopy, bool) {
	if c := h.copies.known(id); c.MayAnswer(clock.Now(), maxAge) {
		return c, true
	}
	c, err := h.copies.read(ctx, id, maxAge > 0)
	if err != nil {
		return group.RecordCopy{}, false
	}
	if g := h.Group(id); h.copies.note(id, c) && g != nil {
		g.applyRecord(c, fromStore)
	}
	return c, true
}

// Run runs work on its group, and refuses it if the group does not run on this instance.
func (h *Host) Run(ctx context.Context, w *Work, sink proto.Sink) Result {
	g := h.Group(w.Group)
	if g == nil {
		if w.Tx != 0 {
			return notSent(fault.TransactionLost)
		}
		return notSent(fault.NoOwner)
	}
	return g.Run(ctx, w, sink)
}

// End rolls a transaction back and frees its connection.
func (h *Host) End(id ident.GroupID, tx TxID) {
	if g := h.Group(id); g != nil {
		g.End(tx)
	}
}

// Stop stops every group.
func (h *Host) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range *h.groups.Load() {
		g.group.Stop()
	}
	h.groups.Store(&map[ident.GroupID]*hostedGroup{})
}

// OpenTransactions returns how many transactions are open on this instance.
func (h *Host) OpenTransactions() int {
	count := 0
	for _, g := range *h.groups.Load() {
		count += g.group.openTransactions()
	}
	return count
}

// EndTransactions rolls back the open transactions in which no request runs.
func (h *Host) EndTransactions() {
	for _, g := range *h.groups.Load() {
		for _, id := range g.group.txsIdleFor(h.conf.Now(), 0) {
			g.group.End(id)
		}
	}
}
