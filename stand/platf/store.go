package platf

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// historyLength is how many events a watch can look back on.
const historyLength = 4096

// maxValue is the largest object the platform keeps, in bytes.
const maxValue = 1 << 20

type key struct {
	kind objs.Kind
	name string
}

// outcome says how a conditional update ended.
type outcome uint8

const (
	stored outcome = iota
	conflict
	missing
	tooLarge
)

// store keeps objects under rising versions and the recent events.
type store struct {
	mu      sync.Mutex
	version ident.Version
	objects map[key]objs.Object
	history []objs.Event
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[key]objs.Object{}, changed: make(chan struct{})}
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
	made := objs.List{Metadata: objs.ListMetadata{ResourceVersion: format(s.version)}}
	for k, o := range s.objects {
		if k.kind == kind {
			made.Items = append(made.Items, o)
		}
	}
	slices.SortFunc(made.Items, func(a, b objs.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return made
}

// put stores an object if its version is the one kept; version 0 creates it.
func (s *store) put(o objs.Object) (objs.Object, outcome) {
	if len(o.Spec) > maxValue {
		return o, tooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Metadata.Name}
	kept := s.objects[k]
	if kept.Version() != o.Version() {
		return kept, conflict
	}
	kind := objs.Modified
	if kept.Version() == 0 {
		kind = objs.Added
	}
	s.version++
	o.Metadata.ResourceVersion = format(s.version)
	s.objects[k] = o
	s.record(objs.Event{Type: kind, Object: o})
	return o, stored
}

func (s *store) remove(kind objs.Kind, name string, version ident.Version) (objs.Object, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	kept, ok := s.objects[k]
	if !ok {
		return kept, missing
	}
	if version != 0 && kept.Version() != version {
		return kept, conflict
	}
	delete(s.objects, k)
	s.version++
	kept.Metadata.ResourceVersion = format(s.version)
	s.record(objs.Event{Type: objs.Deleted, Object: kept})
	return kept, stored
}

func (s *store) record(e objs.Event) {
	s.history = append(s.history, e)
	if len(s.history) > 2*historyLength {
		s.history = slices.Clone(s.history[len(s.history)-historyLength:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns a kind's events after a version, what to wait on for more, and
// false where the history no longer reaches back so far.
func (s *store) since(kind objs.Kind, after ident.Version) ([]objs.Event, ident.Version, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) > 0 && s.history[0].Object.Version() > after+1 && len(s.history) >= historyLength {
		return nil, s.version, s.changed, false
	}
	var found []objs.Event
	for _, e := range s.history {
		if e.Object.Kind == kind && e.Object.Version() > after {
			found = append(found, e)
		}
	}
	return found, s.version, s.changed, true
}

// setMachine changes the list of instances once the platform's lag has passed.
func (s *Platform) setMachine(id ident.InstanceID, m objs.Machine) {
	spec, err := json.Marshal(m)
	if err != nil {
		return
	}
	s.later(func() {
		kept, _ := s.store.get(objs.Machines, string(id))
		o := objs.Object{Kind: objs.Machines, Metadata: objs.Metadata{Name: string(id), ResourceVersion: kept.Metadata.ResourceVersion}, Spec: spec}
		s.store.put(o)
	})
}

// later runs a change of the list after the lag, or at once where there is none.
func (s *Platform) later(change func()) {
	lag := time.Duration(s.faults.ListLag.Load())
	if lag == 0 {
		change()
		return
	}
	time.AfterFunc(lag, change)
}

func format(v ident.Version) string { return strconv.FormatUint(uint64(v), 10) }
