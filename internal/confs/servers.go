package confs

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

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
}

// Step reads the list if that is due, otherwise runs one watch. It returns the error of the
// platform call.
func (w *ServerWatcher) Step(ctx context.Context) error {
	if !w.position.valid {
		return w.load(ctx)
	}
	watchCtx := ctx
	if wait, pendingRemoval := w.pendingRemoval(); pendingRemoval {
		var cancel context.CancelFunc
		watchCtx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	delivered := false
	after, err := w.Store.Watch(watchCtx, objs.Servers, w.position.after, func(e objs.Event) { delivered = true; w.apply(e) })
	if watchCtx.Err() != nil && ctx.Err() == nil {
		err = nil
	}
	w.position.update(after, delivered, err)
	w.publish()
	return err
}

func (w *ServerWatcher) load(ctx context.Context) error {
	list, err := w.Store.List(ctx, objs.Servers)
	if err != nil {
		return err
	}
	if w.entries == nil {
		w.entries = map[ident.ServerID]*entry{}
	}
	listed := map[ident.ServerID]bool{}
	for _, o := range list.Items {
		listed[ident.ServerID(o.Metadata.Name)] = true
		w.apply(objs.Event{Type: objs.Modified, Object: o})
	}
	for id := range w.entries {
		if !listed[id] {
			w.markMissing(id)
		}
	}
	w.position.listed(list.Version())
	w.publish()
	return nil
}

// apply applies one watch event.
func (w *ServerWatcher) apply(e objs.Event) {
	id := ident.ServerID(e.Object.Metadata.Name)
	var s objs.Server
	if e.Type == objs.Deleted || len(e.Object.Spec) == 0 || json.Unmarshal(e.Object.Spec, &s) != nil {
		w.markMissing(id)
		return
	}
	w.entries[id] = &entry{group: s.Group, server: conf.Server{
		ID: id, Center: s.Center, Address: s.Address, Leaving: s.State == objs.Leaving, Incarnation: s.Incarnation, Slots: s.Slots, IsPrimary: s.IsPrimary,
	}}
}

// markMissing records that an entry disappeared; a server marked as leaving is removed at
// once.
func (w *ServerWatcher) markMissing(id ident.ServerID) {
	e := w.entries[id]
	switch {
	case e == nil:
	case e.server.Leaving:
		delete(w.entries, id)
	case e.missingSince.IsZero():
		e.missingSince = clock.Now()
	}
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
