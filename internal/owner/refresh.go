package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

const (
	// recordHedgeDelay is how long an owner waits for one source of the record before it asks the next one as well: less
	// than is left of RecordLifetime after the renewal for three sources in a row.
	recordHedgeDelay = 150 * time.Millisecond
	// linkedReaders is how many linked instances that don't own the group are asked for the record.
	linkedReaders = 3
	// singleOwners is how many other owners are asked one by one for a fresh record before the rest: each of those asked
	// may read the store, which may only be slow.
	singleOwners = 2
)

// How an owner learns the record; each step begins when the one before has failed, or after recordHedgeDelay:
//
//	renewal by another owner ──▶ first owner ──┐
//	any other need ────────────────────────────┴──▶ store ──▶ other owners ──▶ other linked instances
//
// For a fresh record two other owners are asked one by one before the rest.
// The first answer counts; a read of the store goes on and is applied as well.

// ask asks one source for the record and reports whether the record was applied.
type ask func(ctx context.Context) bool

// refreshRecord obtains a copy of the group's record, at most maxAge old, for the term lease and the state machine.
func (g *Group) refreshRecord(maxAge time.Duration) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), recordTimeout)
	defer cancel()
	steps := g.recordSteps(maxAge)
	sources := 0
	for _, step := range steps {
		sources += len(step)
	}
	answers, running := make(chan bool, sources), 0
	for at, step := range steps {
		for _, source := range step {
			running++
			g.tomb.Go(func() error {
				answers <- source(ctx)
				return nil
			})
		}
		next := (<-chan time.Time)(nil)
		if at+1 < len(steps) {
			next = time.After(recordHedgeDelay)
		}
		for waiting := true; waiting && running > 0; {
			select {
			case applied := <-answers:
				if applied {
					return
				}
				running--
			case <-next:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
	}
}

// recordSteps returns the sources of the record in the order in which they are asked.
func (g *Group) recordSteps(maxAge time.Duration) [][]ask {
	owners := g.place.Load().Owners
	others := slices.DeleteFunc(slices.Clone(owners), func(id ident.InstanceID) bool { return id == g.conf.Self })
	if g.conf.ReadRecord == nil {
		return [][]ask{{g.askStore(maxAge)}}
	}
	var steps [][]ask
	if maxAge >= group.SharedRecordAge && len(others) > 0 && owners[0] == others[0] {
		steps, others = append(steps, g.askPeers(others[:1], maxAge)), others[1:]
	}
	steps = append(steps, []ask{g.askStore(maxAge)})
	if maxAge < group.SharedRecordAge {
		for range min(singleOwners, max(len(others)-1, 0)) {
			steps, others = append(steps, g.askPeers(others[:1], maxAge)), others[1:]
		}
	}
	if len(others) > 0 {
		steps = append(steps, g.askPeers(others, maxAge))
	}
	if g.conf.LinkedPeers == nil {
		return steps
	}
	linked := slices.DeleteFunc(g.conf.LinkedPeers(), func(id ident.InstanceID) bool { return slices.Contains(owners, id) })
	if len(linked) > 0 {
		steps = append(steps, g.askPeers(linked[:min(linkedReaders, len(linked))], maxAge))
	}
	return steps
}

// askStore reads the record from the store. Whoever needs a fresh one joins no read that has begun.
func (g *Group) askStore(maxAge time.Duration) ask {
	join := maxAge >= group.SharedRecordAge
	return func(context.Context) bool {
		// It is applied even if a peer has answered before.
		ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), recordTimeout)
		defer cancel()
		c, err := g.conf.copies.read(ctx, g.conf.ID, join)
		if err != nil {
			g.conf.copies.count(fromStore, "failed")
			return false
		}
		g.applyRecord(c, fromStore)
		return true
	}
}

// askPeers returns the questions to some instances.
func (g *Group) askPeers(ids []ident.InstanceID, maxAge time.Duration) []ask {
	var asks []ask
	for _, id := range ids {
		asks = append(asks, func(ctx context.Context) bool {
			sent := clock.Now()
			c, ok := g.conf.ReadRecord(ctx, id, g.conf.ID, maxAge)
			if !ok {
				result := "failed"
				if errors.Is(ctx.Err(), context.Canceled) {
					result = "late"
				}
				g.conf.copies.count(fromPeer, result)
				return false
			}
			// A copy that tells nothing new, or is from a slow read that was begun too early, is no answer.
			return g.applyRecord(c, fromPeer) && !c.Asked.Before(group.PeerReadTime(sent, maxAge))
		})
	}
	return asks
}

// applyRecord passes a copy of the group's record to the term lease, to the state machine, and to peers that ask. It
// reports whether the copy is of a later version, or was read later, than the one before.
func (g *Group) applyRecord(c group.RecordCopy, from recordSource) bool {
	g.conf.copies.countApplied(g.conf.ID, c, from)
	isNew := g.conf.copies.note(g.conf.ID, c)
	g.tracker.applyRecord(c, clock.Now())
	g.postEvent(group.Recorded{Record: c.Record, Version: c.Version})
	return isNew
}
