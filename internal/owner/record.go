package owner

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

const (
	// recordTimeout bounds one read of the group's record, or one change of its members.
	recordTimeout = time.Second
	// minRecordInterval and maxRecordInterval bound the time between two reads while the term lease
	// goes on needing the record; it doubles with each read.
	minRecordInterval = 100 * time.Millisecond
	maxRecordInterval = 2 * time.Second
)

// recordReads schedules the reads of the group's record; but for running, only the goroutine that
// coordinates the group uses it.
type recordReads struct {
	running  atomic.Bool
	next     time.Time
	interval time.Duration
	// term is the term of the lease for which the record was last needed.
	term ident.Term
}

// readRecordIfNeeded starts a read of the group's record if the term lease needs it.
func (g *Group) readRecordIfNeeded() {
	now := clock.Now()
	r := &g.records
	if !g.conf.Driver.Fenced() || r.running.Load() {
		return
	}
	if term := g.tracker.current.Load().lease.Term; term != r.term {
		r.term, r.next, r.interval = term, time.Time{}, 0
	}
	maxAge, needed := g.tracker.needsRecord(now)
	switch {
	case !needed:
		r.interval = 0
		return
	case now.Before(r.next):
		return
	}
	r.interval = min(max(2*r.interval, minRecordInterval), maxRecordInterval)
	r.next = now.Add(r.interval)
	r.running.Store(true)
	g.tomb.Go(func() error {
		defer r.running.Store(false)
		g.refreshRecord(maxAge)
		return nil
	})
}

// changeMembers changes the members in the group's record.
func (g *Group) changeMembers(a group.ChangeMembers) {
	if g.relinquished.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), recordTimeout)
	defer cancel()
	asked := clock.Now()
	r, v, written, err := g.updateRecord(ctx, a.Evaluate)
	if err != nil {
		return
	}
	g.applyRecord(group.RecordCopy{Record: r, Version: v, Asked: asked}, fromStore)
	if written {
		g.recordMembers(a, r)
	}
}

// updateRecord changes the group's record by a conditional update, again if another instance has changed it
// meanwhile. It returns the record and its version, and whether evaluate had it written.
func (g *Group) updateRecord(ctx context.Context, evaluate func(group.Record, ident.Version) (group.Record, bool)) (group.Record, ident.Version, bool, error) {
	for {
		kept, err := readRecord(ctx, g.conf.Store, g.conf.Epochs, g.conf.ID)
		if err != nil {
			return kept.Record, ident.Version{}, false, err
		}
		r, change := evaluate(kept.Record, kept.version)
		if !change {
			return kept.Record, kept.version, false, nil
		}
		v, err := g.writeRecord(ctx, kept.object, r)
		if !plat.HasCause(err, plat.Conflict) {
			return r, v, err == nil, err
		}
	}
}

// keptRecord is the group's record as it was read from the store.
type keptRecord struct {
	group.Record
	object objs.Object
	// version is that of the object or, if there is none, of the beginning of the epoch.
	version ident.Version
}

func readRecord(ctx context.Context, store plat.Store, epochs *plat.Epochs, id ident.GroupID) (keptRecord, error) {
	epoch, _, _ := epochs.Current()
	object, err := store.Get(ctx, objs.Groups, string(id))
	if plat.HasCause(err, plat.NotFound) {
		var failed *plat.Error
		if errors.As(err, &failed) {
			// A version of an earlier epoch would make a record that was read before the restore the later one.
			epoch = max(epoch, failed.Epoch)
		}
		missing := objs.Object{Kind: objs.Groups, Metadata: objs.Metadata{Name: string(id)}}
		return keptRecord{object: missing, version: ident.NewVersion(epoch, 0)}, nil
	}
	kept := keptRecord{object: object, version: object.Version()}
	if err != nil {
		return kept, err
	}
	if err := json.Unmarshal(object.Spec, &kept.Record); err != nil {
		kept.Record = group.Record{}
	}
	return kept, nil
}

// writeRecord writes the record and returns its new version.
func (g *Group) writeRecord(ctx context.Context, object objs.Object, r group.Record) (ident.Version, error) {
	spec, err := json.Marshal(r)
	if err != nil {
		return ident.Version{}, err
	}
	object.Spec = spec
	written, err := g.conf.Store.Put(ctx, object)
	return written.Version(), err
}

// members returns the servers that the group has now.
func (g *Group) members() []group.Member {
	r := g.roster.Load()
	members := make([]group.Member, 0, len(r.index))
	for id, at := range r.index {
		members = append(members, group.Member{Server: id, Incarnation: r.servers[at].Incarnation})
	}
	return members
}

// incarnations returns the incarnations of the servers that the group has now.
func (g *Group) incarnations() map[ident.ServerID]int64 {
	known := map[ident.ServerID]int64{}
	for _, s := range g.members() {
		known[s.Server] = s.Incarnation
	}
	return known
}

// updateLease passes the list of servers to the term lease.
func (g *Group) updateLease() {
	leaving := map[ident.ServerID]bool{}
	if known := g.leaving.Load(); known != nil {
		leaving = *known
	}
	g.tracker.updateLease(func(l *group.TermLease) { l.SetServers(g.members(), leaving) })
}

// updateLease changes the term lease, if there is one, and publishes a new view.
func (t *tracker) updateLease(change func(*group.TermLease)) {
	if t.lease == nil {
		return
	}
	t.change(func(servers []report) []report {
		change(t.lease)
		return servers
	})
}

func (t *tracker) applyRecord(c group.RecordCopy, answered time.Time) {
	t.updateLease(func(l *group.TermLease) { l.Record(c.Record, c.Version, c.Asked, answered) })
}

// needsRecord reports whether the term lease needs the group's record, and how old a copy may be.
func (t *tracker) needsRecord(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == nil {
		return 0, false
	}
	return t.lease.NeedsRecord(now)
}
