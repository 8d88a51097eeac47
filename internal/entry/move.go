package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/pkg/ident"
)

// preferProven puts the owner that could last prove the group's term first for work that only the primary can run.
// That work is not to be redirected, since the owner in the primary's data centre may be the one that could not.
func (i *Instance) preferProven(w *owner.Work, owners []ident.InstanceID) ([]ident.InstanceID, *owner.Work) {
	found, known := i.provenOwners.Load(w.Group)
	if !known || !w.NeedsPrimary() {
		return owners, w
	}
	proven := found.(admit.ProvenOwner)
	order, preferred := proven.Order(clock.Now(), owners)
	if !preferred || !i.canAsk(proven.Owner) {
		return owners, w
	}
	undirected := *w
	undirected.Redirected = true
	return order, &undirected
}

// canAsk reports whether an owner is this instance or reachable.
func (i *Instance) canAsk(id ident.InstanceID) bool {
	return id == i.conf.Instance || i.members.current.Load().reachable[id]
}

// move runs work of which nothing has been sent at the other owners of its group after the last of those asked could
// not prove the term: first at the preferred one, then at the nearest. Once all reachable owners have been unable to prove it, no
// work of the group is moved for a while. It returns the result, the owner that gave it and all that were asked.
func (i *Instance) move(ctx context.Context, w *owner.Work, refused owner.Result, nearest, asked []ident.InstanceID, sink proto.Sink) (owner.Result, ident.InstanceID, []ident.InstanceID) {
	refusedBy := asked[len(asked)-1]
	moved := *w
	moved.Redirected = true
	order, _ := i.preferProven(w, nearest)
	reachable := slices.DeleteFunc(slices.Clone(order), func(id ident.InstanceID) bool { return !i.canAsk(id) })
	tried, allUnproven := "", true
	for ctx.Err() == nil {
		if ago, known := i.noneProven(w.Group); known {
			i.metrics.notMoved.Inc()
			tried += fmt.Sprintf("; no owner that could be reached proved the term %v ago", ago.Round(time.Millisecond))
			break
		}
		id, more := admit.NextOwner(reachable, asked)
		if !more {
			if allUnproven {
				i.unprovenGroups.Store(w.Group, clock.Now())
			}
			break
		}
		i.journal.RecordRetry(refused.Reason, w.Trace, w.Customer, w.Group)
		asked = append(asked, id)
		r := i.runAt(ctx, id, &moved, sink)
		i.metrics.moved.WithLabelValues(r.Outcome.Label()).Inc()
		if isMovable(r) {
			allUnproven = allUnproven && r.Unproven
			tried += fmt.Sprintf("; owner %s after that: %s, unproven %t", id, r.Reason, r.Unproven)
			continue
		}
		if r.Outcome == fault.Done {
			i.provenOwners.Store(w.Group, admit.ProvenOwner{Owner: id, Since: clock.Now()})
		} else {
			r.Evidence += fmt.Sprintf("; owner %s before that could not prove the term", refusedBy) + tried
		}
		return r.After(refused), id, asked
	}
	refused.Evidence += tried
	return refused, refusedBy, asked
}

// noneProven reports how long ago all reachable owners of a group were asked and none could prove its term, if that
// was so recently that no work of the group is to be moved.
func (i *Instance) noneProven(group ident.GroupID) (time.Duration, bool) {
	found, known := i.unprovenGroups.Load(group)
	if !known {
		return 0, false
	}
	now, at := clock.Now(), found.(time.Time)
	return now.Sub(at), !admit.MayMove(now, at)
}

// isMovable reports whether work may go on to the next owner: nothing of it was sent, and this owner could not be
// asked, could not prove the term or expects no primary.
func isMovable(r owner.Result) bool {
	cannot := r.Unproven || r.PrimaryExpected > 0 || r.Reason == fault.NoOwner || r.Reason == fault.PeerLost
	return r.Outcome == fault.NotSent && cannot
}
