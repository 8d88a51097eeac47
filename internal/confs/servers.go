package confs

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// removalDelay is how long a server stays in use after its entry disappeared without being
// marked as leaving first. Entries that expired while the platform was down are
// registered again within about two seconds.
const removalDelay = 2500 * time.Millisecond

// serverWatchTime is the length of a watch of the server list, which needs no regular
// confirmation.
const serverWatchTime = 4 * time.Second

// entry is a server of the platform's list; missingSince is when its entry disappeared, zero
// if it is present.
type entry struct {
	group        ident.GroupID
	server       conf.Server
	missingSince time.Time
}

// ServerWatcher watches the platform's list of backend servers on behalf of the instances of a
// data centre.
type ServerWatcher struct {
	Store    plat.Store
	Cache    *Cache
	entries  map[ident.ServerID]*entry
	position position
	// passedOver is set if the last list had entries that were taken for outdated ones of a copy.
	passedOver bool
}

// Step reads the list if that is due, otherwise runs one watch. It returns the error of the
// platform call.
func (w *ServerWatcher) Step(ctx context.Context) error {
	copyTime := w.Cache.copyTime(w.position.after.Epoch())
	if !w.position.mayContinue() || w.passedOver && copyTime == 0 {
		return w.load(ctx)
	}
	watchCtx := ctx
	wait, bounded := w.pendingRemoval()
	if w.passedOver {
		wait, bounded = min(wait, copyTime), true
	}
	if bounded {
		var cancel context.CancelFunc
		watchCtx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	delivered := false
	seen := eventFilter{after: w.position.after, newest: map[string]ident.Version{}}
	after, err := w.Store.Watch(watchCtx, objs.Servers, w.position.after, serverWatchTime, func(e objs.Event) {
		if !seen.isNew(e) {
			klog.InfoS("repeated event of a server ignored", "server", e.Object.Metadata.Name, "version", e.Object.Version().String(), "after", seen.after.String())
			return
		}
		delivered = true
		w.apply(e, false)
	})
	if watchCtx.Err() != nil && ctx.Err() == nil {
		err = nil
	}
	w.position.update(after, delivered, err)
	w.publish()
	return err
}

// eventFilter tells the events of a watch from those that come again.
type eventFilter struct {
	// after is the version that the watch starts after.
	after ident.Version
	// newest has the version of the last event of each object.
	newest map[string]ident.Version
}

// isNew reports whether an event is of a change that has not been delivered. The event of a removal may carry the version of
// the object's last change.
func (f *eventFilter) isNew(e objs.Event) bool {
	name, v := e.Object.Metadata.Name, e.Object.Version()
	known, seen := f.newest[name]
	if !seen {
		known = f.after
	}
	if e.Type == objs.Deleted && v.Before(known) && seen || e.Type != objs.Deleted && !known.Before(v) && !v.IsZero() {
		return false
	}
	f.newest[name] = v
	return true
}

func (w *ServerWatcher) load(ctx context.Context) error {
	list, err := w.Store.List(ctx, objs.Servers)
	if err != nil {
		return err
	}
	w.adoptListing()
	w.passedOver = false
	mayBeCopy := w.Cache.copyTime(list.Version().Epoch()) > 0
	listed := map[ident.ServerID]bool{}
	for _, o := range list.Items {
		listed[ident.ServerID(o.Metadata.Name)] = true
		w.apply(objs.Event{Type: objs.Modified, Object: o}, mayBeCopy)
	}
	for id := range w.entries {
		if !listed[id] {
			w.markMissing(id, mayBeCopy)
		}
	}
	w.position.listed(list.Version())
	w.publish()
	return nil
}

// adoptListing makes the list in use the starting point of a load, because peers may have
// delivered newer lists since this instance last watched the platform.
func (w *ServerWatcher) adoptListing() {
	old := w.entries
	w.entries = map[ident.ServerID]*entry{}
	for group, servers := range w.Cache.Listing().Servers {
		for _, s := range servers {
			e := &entry{group: group, server: s}
			if known := old[s.ID]; known != nil {
				e.missingSince = known.missingSince
			}
			w.entries[s.ID] = e
		}
	}
}

// apply applies an entry, which may be of the older copy after a restore.
func (w *ServerWatcher) apply(e objs.Event, mayBeCopy bool) {
	id := ident.ServerID(e.Object.Metadata.Name)
	var s objs.Server
	if e.Type == objs.Deleted || len(e.Object.Spec) == 0 || json.Unmarshal(e.Object.Spec, &s) != nil {
		w.markMissing(id, mayBeCopy)
		return
	}
	server := conf.Server{
		ID: id, Center: s.Center, Address: s.Address, Leaving: s.State == objs.Leaving, Incarnation: s.Incarnation, Slots: s.Slots, IsPrimary: s.IsPrimary, Cold: s.Cold,
	}
	if mayBeCopy && w.isOutdated(&server, e.Object.Version()) {
		w.passedOver = true
		return
	}
	w.entries[id] = &entry{group: s.Group, server: server}
}

// isOutdated reports whether an entry of a copy is of a server that has left or started again
// since. A server that was leaving still is.
func (w *ServerWatcher) isOutdated(s *conf.Server, v ident.Version) bool {
	known := w.entries[s.ID]
	switch {
	case known == nil:
		return w.Cache.hasLeft(s.ID, s.Incarnation, v)
	case known.server.Incarnation > s.Incarnation:
		known.missingSince = time.Time{}
		return true
	case known.server.Incarnation == s.Incarnation:
		s.Leaving = s.Leaving || known.server.Leaving
	}
	return false
}

// markMissing records that an entry disappeared. A server marked as leaving is removed at once,
// unless the list may be of an older copy than its entry.
func (w *ServerWatcher) markMissing(id ident.ServerID, mayBeCopy bool) {
	e := w.entries[id]
	switch {
	case e == nil:
	case e.server.Leaving && !mayBeCopy:
		delete(w.entries, id)
	case e.missingSince.IsZero():
		e.missingSince = clock.Now()
	}
}

// RemovalPending reports whether a server is still in use although its entry is missing.
func (w *ServerWatcher) RemovalPending() bool {
	_, pending := w.pendingRemoval()
	return pending
}

// pendingRemoval returns the time until the next missing entry is due for removal; false if
// none is missing.
func (w *ServerWatcher) pendingRemoval() (time.Duration, bool) {
	soonest, found := removalDelay, false
	for _, e := range w.entries {
		if !e.missingSince.IsZero() {
			soonest, found = min(soonest, max(removalDelay-clock.Since(e.missingSince), time.Millisecond)), true
		}
	}
	return soonest, found
}

// publish removes the entries that are due and passes the resulting list to the cache.
func (w *ServerWatcher) publish() {
	listing := conf.Listing{Version: w.position.after, Servers: map[ident.GroupID][]conf.Server{}}
	for id, e := range w.entries {
		if !e.missingSince.IsZero() && clock.Since(e.missingSince) >= removalDelay {
			delete(w.entries, id)
			continue
		}
		listing.Servers[e.group] = append(listing.Servers[e.group], e.server)
	}
	for _, servers := range listing.Servers {
		slices.SortFunc(servers, func(a, b conf.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	w.Cache.OfferServers(listing, "the platform")
}
