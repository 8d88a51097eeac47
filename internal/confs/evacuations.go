package confs

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// EvacuationWatcher watches the platform's list of evacuated data centres on behalf of the instances of a
// data centre.
type EvacuationWatcher struct {
	Store plat.Store
	Cache *Cache
	// centers has the version of each entry in force.
	centers  map[ident.CenterID]ident.Version
	position position
	// undecidedSince is when a list with a malformed entry was first read while none was known; zero if that is over.
	undecidedSince time.Time
}

// malformedListWait is how long a list with a malformed entry is not published while none is known: the entry may be a
// change of a valid one, which stays in force, and only peers know that. It is shorter than the time for
// which an instance without a list owns no groups.
const malformedListWait = 1500 * time.Millisecond

// Step reads the list if that is due, otherwise runs one watch. It returns the error of the platform call.
func (w *EvacuationWatcher) Step(ctx context.Context) error {
	if !w.position.mayContinue() {
		return w.load(ctx)
	}
	delivered := false
	seen := eventFilter{after: w.position.after, newest: map[string]ident.Version{}}
	after, err := w.Store.Watch(ctx, objs.Evacuations, w.position.after, serverWatchTime, func(e objs.Event) {
		if seen.isNew(e) {
			delivered = true
			w.apply(e)
		}
	})
	w.position.update(after, delivered, err)
	if delivered {
		w.publish()
	}
	return err
}

func (w *EvacuationWatcher) load(ctx context.Context) error {
	list, err := w.Store.List(ctx, objs.Evacuations)
	if err != nil {
		return err
	}
	// Peers may have delivered a newer list since this instance last watched the platform.
	current := w.Cache.Current().Evacuations
	known := map[ident.CenterID]bool{}
	for _, id := range current.Centers {
		known[id] = true
	}
	w.centers = map[ident.CenterID]ident.Version{}
	malformed := false
	for _, o := range list.Items {
		id := ident.CenterID(o.Metadata.Name)
		if known[id] {
			w.centers[id] = o.Version()
		}
		malformed = !w.apply(objs.Event{Type: objs.Modified, Object: o}) || malformed
	}
	if malformed && current.Version.IsZero() {
		now := w.Cache.now()
		if w.undecidedSince.IsZero() {
			w.undecidedSince = now
		}
		if now.Sub(w.undecidedSince) < malformedListWait {
			return &MalformedListError{Waited: now.Sub(w.undecidedSince)}
		}
	}
	w.undecidedSince = time.Time{}
	w.position.listed(list.Version())
	w.publish()
	return nil
}

// MalformedListError reports that the platform's list of evacuated data centres has a malformed entry while no peer has
// delivered a list.
type MalformedListError struct {
	// Waited is how long a peer has been waited for.
	Waited time.Duration
}

// Error implements error.
func (e *MalformedListError) Error() string {
	return fmt.Sprintf("the list of evacuated data centres has a malformed entry, and no peer has delivered the list in %v", e.Waited.Round(time.Millisecond))
}

// apply applies one entry. It reports false for one that is malformed, which is logged and changes nothing. A removal of
// before the entry in force, which a watch may deliver again, changes nothing either; a removal may carry the version
// of the last change.
func (w *EvacuationWatcher) apply(e objs.Event) bool {
	id, v := ident.CenterID(e.Object.Metadata.Name), e.Object.Version()
	if e.Type == objs.Deleted {
		if v.IsZero() || !v.Before(w.centers[id]) {
			delete(w.centers, id)
		}
		return true
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(e.Object.Spec, &fields); err != nil || fields == nil || id == "" {
		klog.ErrorS(err, "malformed entry in the list of evacuated data centres", "name", id, "spec", string(e.Object.Spec))
		return false
	}
	w.centers[id] = v
	return true
}

// publish passes the list to the cache.
func (w *EvacuationWatcher) publish() {
	e := conf.Evacuations{Version: w.position.after}
	for id := range w.centers {
		e.Centers = append(e.Centers, id)
	}
	slices.Sort(e.Centers)
	w.Cache.OfferEvacuations(e, "the platform")
}

// OfferEvacuations puts a list of evacuated data centres to use if it is newer. It reports whether it did.
func (c *Cache) OfferEvacuations(e conf.Evacuations, source string) bool {
	c.mu.Lock()
	old := c.evacuations
	if !old.Version.Before(e.Version) {
		c.mu.Unlock()
		return false
	}
	c.evacuations = e
	snapshot := c.Current().WithEvacuations(e)
	c.current.Store(snapshot)
	callbacks := c.callbacks
	c.mu.Unlock()
	if !old.Version.IsZero() && slices.Equal(old.Centers, e.Centers) {
		return true
	}
	evidence := "learnt from " + source + "; evacuated: " + joinCenters(e.Centers) + "; before: " + joinCenters(old.Centers)
	for _, id := range e.Centers {
		switch {
		case slices.Contains(old.Centers, id):
		case !snapshot.Version.IsZero() && !snapshot.KnowsCenter(id):
			klog.ErrorS(nil, "the list of evacuated data centres names an unknown one", "center", id, "version", e.Version.String())
		default:
			c.journal.Add(jrnl.Event{Kind: jrnl.EvacuationBegun, Version: e.Version, Reason: string(id), Evidence: evidence})
		}
	}
	for _, id := range old.Centers {
		if !slices.Contains(e.Centers, id) {
			c.journal.Add(jrnl.Event{Kind: jrnl.EvacuationEnded, Version: e.Version, Reason: string(id), Evidence: evidence})
		}
	}
	for _, f := range callbacks {
		f(snapshot)
	}
	return true
}

func joinCenters(all []ident.CenterID) string {
	if len(all) == 0 {
		return "none"
	}
	names := make([]string, 0, len(all))
	for _, id := range all {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}
