package plat

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// Epochs tracks the epoch of the platform's store. It is safe for concurrent use.
type Epochs struct {
	mu      sync.Mutex
	current ident.Epoch
	known   bool
	// restored is set once an epoch has followed another.
	restored bool
	// since is a time by which the current epoch had begun.
	since   time.Time
	changed chan struct{}
}

// NewEpochs returns an Epochs that knows of no epoch yet.
func NewEpochs() *Epochs { return &Epochs{changed: make(chan struct{})} }

// Observe records that an epoch had begun some time ago.
func (e *Epochs) Observe(epoch ident.Epoch, ago time.Duration) {
	began := clock.Now().Add(-ago)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.known && epoch < e.current:
	case e.known && epoch == e.current:
		if began.Before(e.since) {
			e.since = began
		}
	default:
		e.restored = e.known
		e.current, e.known, e.since = epoch, true, began
		if e.restored {
			close(e.changed)
			e.changed = make(chan struct{})
		}
	}
}

// Current returns the current epoch and a time by which it had begun; false if none is known.
func (e *Epochs) Current() (ident.Epoch, time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.since, e.known
}

// Restored reports whether the store has come back from an older copy while it was observed.
func (e *Epochs) Restored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restored
}

// Changed returns a channel that is closed when the store comes back from an older copy.
func (e *Epochs) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// observed is a Store whose answers are observed for the epoch.
type observed struct {
	Store
	epochs *Epochs
}

// Observe returns a Store that records the epoch of each answer, except that of a single
// configuration, whose version need not be the store's.
func Observe(s Store, e *Epochs) Store { return &observed{Store: s, epochs: e} }

func (s *observed) observe(v ident.Version, err error) {
	epoch := v.Epoch()
	var failed *Error
	if errors.As(err, &failed) {
		epoch = failed.Epoch
	}
	if err == nil || epoch > 0 {
		s.epochs.Observe(epoch, 0)
	}
}

// Get implements Store.
func (s *observed) Get(ctx context.Context, kind objs.Kind, name string) (objs.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	if kind != objs.Configurations {
		s.observe(o.Version(), err)
	}
	return o, err
}

// List implements Store.
func (s *observed) List(ctx context.Context, kind objs.Kind) (objs.List, error) {
	list, err := s.Store.List(ctx, kind)
	s.observe(list.Version(), err)
	return list, err
}

// Put implements Store.
func (s *observed) Put(ctx context.Context, o objs.Object) (objs.Object, error) {
	stored, err := s.Store.Put(ctx, o)
	if o.Kind != objs.Configurations {
		s.observe(stored.Version(), err)
	}
	return stored, err
}

// Watch implements Store.
func (s *observed) Watch(ctx context.Context, kind objs.Kind, after ident.Version, wait time.Duration, f func(objs.Event)) (ident.Version, error) {
	reached, err := s.Store.Watch(ctx, kind, after, wait, f)
	s.observe(reached, err)
	return reached, err
}
