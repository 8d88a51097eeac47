package platf

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// historyLength is the number of recent events that a watch can always resume from.
const historyLength = 4096

// maxObjectBytes bounds the spec of an object, in bytes.
const maxObjectBytes = 1 << 20

type key struct {
	kind objs.Kind
	name string
}

// outcome is the result of a conditional update.
type outcome uint8

const (
	stored outcome = iota
	conflict
	missing
	tooLarge
)

// store holds the objects, with versions that increase over all of them, and the recent events.
type store struct {
	mu      sync.Mutex
	version ident.Version
	objects map[key]objs.Object
	history []objs.Event
	// changed is closed and replaced on each change.
	changed chan struct{}
	// undo holds what each recent change replaced, for restores.
	undo []replaced
}

// replaced is an object before a change, and whether it existed.
type replaced struct {
	at      time.Time
	version ident.Version
	key     key
	object  objs.Object
	existed bool
}

func newStore() *store {
	return &store{objects: map[key]objs.Object{}, changed: make(chan struct{})}
}

// restore takes the store back to its content of some time ago, except the list of instances, which
// the platform keeps itself. Later revisions are given out again, in a new epoch.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-age)
	revision := s.version.Revision()
	for len(s.undo) > 0 && s.undo[len(s.undo)-1].at.After(cutoff) {
		last := s.undo[len(s.undo)-1]
		s.undo = s.undo[:len(s.undo)-1]
		revision = last.version.Revision()
		if last.key.kind == objs.Instances {
			continue
		}
		delete(s.objects, last.key)
		if last.existed {
			s.objects[last.key] = last.object
		}
	}
	s.version = ident.NewVersion(s.version.Epoch()+1, revision)
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(kind objs.Kind, name string) (objs.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[key{kind, name}]
	return found, ok
}

func (s *store) list(kind objs.Kind) objs.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := objs.List{Metadata: objs.ListMetadata{ResourceVersion: s.version.ResourceVersion()}}
	for k, o := range s.objects {
		if k.kind == kind {
			all.Items = append(all.Items, o)
		}
	}
	slices.SortFunc(all.Items, func(a, b objs.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return all
}

// put stores an object if its version is that of the stored one; version 0 creates it. On a conflict
// it returns the stored object.
func (s *store) put(o objs.Object) (objs.Object, outcome) {
	if len(o.Spec) > maxObjectBytes {
		return o, tooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Metadata.Name}
	current := s.objects[k]
	if current.Version() != o.Version() {
		return current, conflict
	}
	kind := objs.Modified
	if current.Version().IsZero() {
		kind = objs.Added
	}
	s.remember(k)
	s.version = s.version.Next()
	o.Metadata.ResourceVersion = s.version.ResourceVersion()
	s.objects[k] = o
	s.record(objs.Event{Type: kind, Object: o})
	return o, stored
}

// remove deletes an object if it has the given version; version 0 deletes any.
func (s *store) remove(kind objs.Kind, name string, version ident.Version) (objs.Object, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	current, ok := s.objects[k]
	if !ok {
		return current, missing
	}
	if !version.IsZero() && current.Version() != version {
		return current, conflict
	}
	s.remember(k)
	delete(s.objects, k)
	s.version = s.version.Next()
	current.Metadata.ResourceVersion = s.version.ResourceVersion()
	s.record(objs.Event{Type: objs.Deleted, Object: current})
	return current, stored
}

// remember notes an object that is about to change.
func (s *store) remember(k key) {
	if len(s.undo) > 2*historyLength {
		s.undo = slices.Clone(s.undo[len(s.undo)-historyLength:])
	}
	object, existed := s.objects[k]
	s.undo = append(s.undo, replaced{at: time.Now(), version: s.version, key: k, object: object, existed: existed})
}

// record adds an event to the history and wakes up the watches.
func (s *store) record(e objs.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyLength {
		s.history = slices.Clone(s.history[len(s.history)-historyLength:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the events of a kind after a version, the version of the store, a channel that is
// closed on the next change, and false if the history does not reach back to the version.
func (s *store) since(kind objs.Kind, after ident.Version) ([]objs.Event, ident.Version, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !after.IsZero() && after.Epoch() != s.version.Epoch() {
		return nil, s.version, s.changed, false
	}
	if len(s.history) > 0 && after.Next().Before(s.history[0].Object.Version()) && len(s.history) >= historyLength {
		return nil, s.version, s.changed, false
	}
	var found []objs.Event
	for _, e := range s.history {
		if e.Object.Kind == kind && after.Before(e.Object.Version()) {
			found = append(found, e)
		}
	}
	return found, s.version, s.changed, true
}

// setInstance adds an instance to the list, or updates it, after the list's lag.
func (s *Platform) setInstance(id ident.InstanceID, m objs.ListedInstance) {
	spec, err := json.Marshal(m)
	if err != nil {
		return
	}
	s.afterListLag(func() {
		current, _ := s.store.get(objs.Instances, string(id))
		o := objs.Object{Kind: objs.Instances, Metadata: objs.Metadata{Name: string(id), ResourceVersion: current.Metadata.ResourceVersion}, Spec: spec}
		s.store.put(o)
	})
}

// afterListLag runs a change of the list after the lag, or at once if there is none.
func (s *Platform) afterListLag(change func()) {
	lag := time.Duration(s.faults.ListLag.Load())
	if lag == 0 {
		change()
		return
	}
	time.AfterFunc(lag, change)
}
