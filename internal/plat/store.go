package plat

import (
	"context"
	"fmt"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

// Cause is the reason why a call failed.
type Cause uint8

// Causes.
const (
	// Unreachable: no usable response, or a temporary server error; a write may have taken
	// effect.
	Unreachable Cause = iota // unreachable
	// NotFound: the object does not exist.
	NotFound // not-found
	// Conflict: the object has a different version.
	Conflict // conflict
	// Gone: the watch starts from a version that the platform no longer has in its history.
	Gone // gone
	// Rejected: the platform rejected the call.
	Rejected // refused
	// RateLimited: this instance has exceeded its call rate limit.
	RateLimited // budget-spent
	// Restored: the platform has come back from an older copy since the version in the call was
	// read; a write may have taken effect.
	Restored // restored
)

// Error is a failed call.
type Error struct {
	Cause Cause
	Kind  objs.Kind
	Name  string
	// Stored is the stored object that caused a Conflict.
	Stored objs.Object
	// EarlierLost is set if an earlier attempt of the write had no response: it may have been stored,
	// and replaced since.
	EarlierLost bool
	// Epoch is the epoch of the platform's store, 0 if there was no response.
	Epoch ident.Epoch
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// Detail is the text of the underlying error, if there is one.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s %s/%s (status %d)", e.Cause, e.Kind, e.Name, e.Status)
}

// Store is the part of the platform's API that geraniumseam uses.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind objs.Kind, name string) (objs.Object, error)
	// List reads every object of a kind.
	List(ctx context.Context, kind objs.Kind) (objs.List, error)
	// Put writes an object if its version is the stored one; without a version it creates
	// the object.
	Put(ctx context.Context, o objs.Object) (objs.Object, error)
	// Delete removes an object if version is the stored one, or 0.
	Delete(ctx context.Context, kind objs.Kind, name string, version ident.Version) error
	// Watch calls f for each change of a kind after a version until the platform ends the
	// watch, and returns the version up to which all changes were delivered. The platform ends a
	// watch without a change after wait.
	Watch(ctx context.Context, kind objs.Kind, after ident.Version, wait time.Duration, f func(objs.Event)) (ident.Version, error)
}
