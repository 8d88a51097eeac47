package plat

import (
	"context"
	"fmt"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

// Cause says why a call failed.
type Cause uint8

// The causes.
const (
	// Unreachable: no answer came; a write may have taken effect.
	Unreachable Cause = iota // unreachable
	// NotFound: there is no such object.
	NotFound // not-found
	// Conflict: the object has another version.
	Conflict // conflict
	// Gone: the watch starts from a version that is no longer kept.
	Gone // gone
	// Refused: the platform does not accept the call.
	Refused // refused
	// BudgetSpent: this instance has used up its calls for now.
	BudgetSpent // budget-spent
)

// Error is a failed call.
type Error struct {
	Cause Cause
	Kind  objs.Kind
	Name  string
	// Kept is the object that stood in the way of a Conflict.
	Kept objs.Object
	// Status is the HTTP status, 0 where no answer came.
	Status int
	// Detail says what broke the call off, where something did.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s %s/%s (status %d)", e.Cause, e.Kind, e.Name, e.Status)
}

// Store is all that geraniumseam asks of the platform.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind objs.Kind, name string) (objs.Object, error)
	// List reads every object of a kind.
	List(ctx context.Context, kind objs.Kind) (objs.List, error)
	// Put writes an object if its version is still the kept one; version 0 creates it.
	Put(ctx context.Context, o objs.Object) (objs.Object, error)
	// Delete removes an object if its version is still the kept one.
	Delete(ctx context.Context, kind objs.Kind, name string, version ident.Version) error
	// Watch hands on a kind's changes after a version until the platform ends the watch,
	// and returns the version up to which nothing was missed.
	Watch(ctx context.Context, kind objs.Kind, after ident.Version, f func(objs.Event)) (ident.Version, error)
}
