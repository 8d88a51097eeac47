package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

var dispatchBackoff = retry.Backoff{Initial: 5 * time.Millisecond, Max: 250 * time.Millisecond}

// dispatch runs work at one of the owners of its group. It retries at the other owners as
// long as that is safe, and returns the owner that gave the result.
func (i *Instance) dispatch(ctx context.Context, s *conf.Snapshot, w *owner.Work, sink proto.Sink) (owner.Result, ident.InstanceID) {
	serverCenters := s.Groups[w.Group].ServerCenters()
	var last owner.Result
	var asked []ident.InstanceID
	for attempt := 0; ; attempt++ {
		nearest := i.homeOwners(w, i.members.owners(w.Group, serverCenters))
		owners, sent := i.preferProven(w, i.preferPrimaryCenter(w, nearest))
		if len(owners) == 0 {
			last = owner.Result{Outcome: fault.NotSent, Reason: fault.NoOwner}.After(last)
			if w.Home.Restricted {
				return last, ""
			}
		} else {
			id := owners[attempt%len(owners)]
			tracker := &trackingSink{sink: sink}
			began := clock.Now()
			result := i.runAt(ctx, id, sent, tracker)
			if result.PrimaryCenter != "" {
				i.primaryCenters.Store(w.Group, result.PrimaryCenter)
			}
			if result.Reason == fault.OtherOwnerPreferred {
				var redirected owner.Result
				if redirected, id = i.redirect(ctx, w, result.PreferredCenter, owners, id, tracker); redirected.PrimaryCenter != "" {
					i.primaryCenters.Store(w.Group, redirected.PrimaryCenter)
				}
				result = redirected.After(result)
			}
			i.rememberRefusal(w, result, id, began)
			asked = append(asked, id)
			if result.Unproven && result.After(last).Outcome == fault.NotSent {
				result, id, asked = i.move(ctx, w, result, nearest, asked, tracker)
			}
			last = result.After(last)
			if !retriable(w, last, tracker.emitted) {
				return last, id
			}
		}
		if ctx.Err() != nil || !i.waitRetry(ctx, attempt, len(owners)) {
			return last, ""
		}
		i.journal.RecordRetry(last.Reason, w.Trace, w.Customer, w.Group)
	}
}

// preferPrimaryCenter puts the owner in the primary's data centre first for work that only
// the primary can run. It applies where each server connection serves a single customer,
// because connections to other data centres are then scarce.
func (i *Instance) preferPrimaryCenter(w *owner.Work, owners []ident.InstanceID) []ident.InstanceID {
	primaryCenter, known := i.primaryCenters.Load(w.Group)
	if !known || !w.NeedsPrimary() || len(owners) < 2 || !i.conf.Backends.PerCustomer() {
		return owners
	}
	view := i.members.current.Load()
	for idx, id := range owners {
		if view.all[id].Center != primaryCenter || !view.reachable[id] && id != i.conf.Instance {
			continue
		}
		return append([]ident.InstanceID{id}, slices.Delete(slices.Clone(owners), idx, idx+1)...)
	}
	return owners
}

// redirect runs work at the owner in the data centre that the first owner preferred for it.
// If that owner cannot be reached, it runs the work at the first one.
func (i *Instance) redirect(ctx context.Context, w *owner.Work, preferredCenter ident.CenterID, owners []ident.InstanceID, refusedBy ident.InstanceID, sink proto.Sink) (owner.Result, ident.InstanceID) {
	redirected := *w
	redirected.Redirected = true
	var failed owner.Result
	view := i.members.current.Load()
	for _, id := range owners {
		if id != refusedBy && view.all[id].Center == preferredCenter && view.reachable[id] {
			r := i.runAt(ctx, id, &redirected, sink)
			if !r.Outcome.NotRun() || r.Reason != fault.NoOwner && r.Reason != fault.PeerLost {
				return r.After(failed), id
			}
			failed = r.After(failed)
		}
	}
	return i.runAt(ctx, refusedBy, &redirected, sink).After(failed), refusedBy
}

// trackingSink records whether any part of an answer has been passed on.
type trackingSink struct {
	sink    proto.Sink
	emitted bool
}

// Emit implements proto.Sink.
func (t *trackingSink) Emit(messages []byte) error {
	t.emitted = true
	return t.sink.Emit(messages)
}

// retriable reports whether the work may be tried at another owner: it has not run, or it
// is a read, which has no effect when it runs twice.
func retriable(w *owner.Work, r owner.Result, emitted bool) bool {
	if r.Reason != fault.PeerLost && r.Reason != fault.NoOwner || w.Tx != 0 || emitted {
		return false
	}
	if r.Outcome.NotRun() {
		return true
	}
	return r.Outcome.Unknown() && w.Kind == stmt.Read
}

// waitRetry waits for the backoff before the next attempt; there is no wait until every
// owner has been tried once. It reports false if the caller or the instance is done.
func (i *Instance) waitRetry(ctx context.Context, attempt, owners int) bool {
	if attempt+1 < owners {
		return true
	}
	pause := dispatchBackoff.Delay(attempt, rand.New(rand.NewPCG(uint64(attempt), i.traceCount.Load())))
	select {
	case <-ctx.Done():
		return false
	case <-i.tomb.Dying():
		return false
	case <-time.After(pause):
		return true
	}
}

func (i *Instance) runAt(ctx context.Context, id ident.InstanceID, w *owner.Work, sink proto.Sink) owner.Result {
	if id == i.conf.Instance {
		return i.host.Run(ctx, w, sink)
	}
	return i.hub.Run(ctx, id, w, sink)
}
