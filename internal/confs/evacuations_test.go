package confs

import (
	"slices"
	"testing"
	"time"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// evacuationEvent is an event of the list of evacuated data centres.
func evacuationEvent(kind objs.EventType, id, spec string, revision ident.Revision) objs.Event {
	return objs.Event{Type: kind, Object: evacuationObject(id, spec, revision)}
}

func evacuationObject(id, spec string, revision ident.Revision) objs.Object {
	version := ident.NewVersion(1, revision).ResourceVersion()
	return objs.Object{Kind: objs.Evacuations, Metadata: objs.Metadata{Name: id, ResourceVersion: version}, Spec: []byte(spec)}
}

// TestEvacuationsAreFollowed guards against an evacuation that is missed, outlives its end, or is changed by a malformed
// entry, a repeated event or a list of an earlier epoch.
func TestEvacuationsAreFollowed(t *testing.T) {
	event := evacuationEvent
	steps := []struct {
		events []objs.Event
		want   []ident.CenterID
	}{
		{[]objs.Event{event(objs.Added, "b", "{}", 11), event(objs.Added, "c", "{}", 12)}, []ident.CenterID{"b", "c"}},
		{[]objs.Event{event(objs.Modified, "b", `"x"`, 13), event(objs.Added, "d", "null", 14), event(objs.Added, "e", "", 15)}, []ident.CenterID{"b", "c"}},
		{[]objs.Event{event(objs.Deleted, "c", "{}", 16)}, []ident.CenterID{"b"}},
		{[]objs.Event{event(objs.Added, "c", "{}", 12), event(objs.Deleted, "b", "", 17)}, nil},
	}
	store := &eventStore{}
	store.show(ident.NewVersion(1, 10))
	cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
	w := &EvacuationWatcher{Store: store, Cache: cache}
	if err := w.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	for at, s := range steps {
		store.events = [][]objs.Event{s.events}
		if err := w.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := cache.Current().Evacuations.Centers; !slices.Equal(got, s.want) {
			t.Errorf("step %d: got %v, want %v", at, got, s.want)
		}
	}
	cache.OfferEvacuations(conf.Evacuations{Version: ident.NewVersion(2, 3), Centers: []ident.CenterID{"f"}}, "a peer")
	cache.OfferEvacuations(conf.Evacuations{Version: ident.NewVersion(1, 99)}, "a peer")
	cache.OfferServers(conf.Listing{Version: ident.VersionOf(1)}, "a peer")
	if got := cache.Current().Evacuations.Centers; !slices.Equal(got, []ident.CenterID{"f"}) {
		t.Errorf("got %v after a list of an earlier epoch, want f", got)
	}
	var kinds []jrnl.Kind
	for _, e := range cache.journal.Since(time.Time{}) {
		if e.Kind == jrnl.EvacuationBegun || e.Kind == jrnl.EvacuationEnded {
			kinds = append(kinds, e.Kind)
		}
	}
	if want := []jrnl.Kind{jrnl.EvacuationBegun, jrnl.EvacuationBegun, jrnl.EvacuationEnded, jrnl.EvacuationEnded, jrnl.EvacuationBegun}; !slices.Equal(kinds, want) {
		t.Errorf("journal: got %v, want %v", kinds, want)
	}
}

// TestRepeatedRemovalEndsNoEvacuation guards against an evacuation that ends everywhere because the event of an earlier
// removal comes again, and against one that does not end because its entry was malformed when it was removed.
func TestRepeatedRemovalEndsNoEvacuation(t *testing.T) {
	event := evacuationEvent
	for name, c := range map[string]struct {
		events [][]objs.Event
		want   []ident.CenterID
	}{
		"comes again": {[][]objs.Event{{event(objs.Added, "b", "{}", 11)}, {event(objs.Deleted, "b", "{}", 12)}, {event(objs.Added, "b", "{}", 13)}, {event(objs.Deleted, "b", "{}", 12), event(objs.Added, "c", "{}", 14)}}, []ident.CenterID{"b", "c"}},
		"comes again with the version of the change before": {[][]objs.Event{{event(objs.Added, "b", "{}", 11)}, {event(objs.Deleted, "b", "{}", 11)}, {event(objs.Added, "b", "{}", 13)}, {event(objs.Deleted, "b", "{}", 11), event(objs.Added, "c", "{}", 14)}}, []ident.CenterID{"b", "c"}},
		"removed":                 {[][]objs.Event{{event(objs.Added, "b", "{}", 11), event(objs.Added, "c", "{}", 12)}, {event(objs.Deleted, "b", "{}", 11), event(objs.Deleted, "c", "{}", 13)}}, nil},
		"removed while malformed": {[][]objs.Event{{event(objs.Added, "b", "{}", 11)}, {event(objs.Modified, "b", "null", 12)}, {event(objs.Deleted, "b", "null", 13)}}, nil},
	} {
		store := &eventStore{events: c.events}
		store.show(ident.NewVersion(1, 10))
		cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), time.Now)
		w := &EvacuationWatcher{Store: store, Cache: cache}
		for range len(c.events) + 1 {
			if err := w.Step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if got := cache.Current().Evacuations.Centers; !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestMalformedEntryWaitsForPeers guards against an evacuation that ends everywhere because an instance without a list
// reads a malformed change of its entry, and against a fleet that never gets a list because of one malformed entry.
func TestMalformedEntryWaitsForPeers(t *testing.T) {
	now := time.Now()
	start := func() (*Cache, *EvacuationWatcher) {
		store := &eventStore{}
		store.show(ident.NewVersion(1, 13))
		store.list.Items = []objs.Object{evacuationObject("b", `"x"`, 13), evacuationObject("c", "{}", 12)}
		cache := NewCache(jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now}), func() time.Time { return now })
		w := &EvacuationWatcher{Store: store, Cache: cache}
		if err := w.Step(t.Context()); err == nil || !cache.Current().Evacuations.Version.IsZero() {
			t.Fatalf("without a list: error %v, %+v, want an error and no list", err, cache.Current().Evacuations)
		}
		return cache, w
	}
	want := func(cache *Cache, w *EvacuationWatcher, centers ...ident.CenterID) {
		t.Helper()
		err := w.Step(t.Context())
		if got := cache.Current().Evacuations; err != nil || got.Version != ident.NewVersion(1, 13) || !slices.Equal(got.Centers, centers) {
			t.Errorf("got %+v, %v, want %v", got, err, centers)
		}
	}
	cache, w := start()
	cache.OfferEvacuations(conf.Evacuations{Version: ident.NewVersion(1, 12), Centers: []ident.CenterID{"b"}}, "a peer")
	want(cache, w, "b", "c")
	cache, w = start()
	now = now.Add(malformedListWait)
	want(cache, w, "c")
}
