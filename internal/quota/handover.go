package quota

import (
	"context"
	"maps"
	"slices"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// Handover is what an instance hands over to the next holder of shards: the requests that
// release its leases, and the state of its buckets.
type Handover struct {
	Requests    []share.Request                        `cbor:"1,keyasint"`
	BucketState map[ident.CustomerID]share.BucketState `cbor:"2,keyasint"`
}

// handOver hands the shards that this instance should no longer hold, with their tokens, over
// to their next holders, so that one write moves each shard. The shards that no successor took
// over remain to be released.
func (q *Quota) handOver() {
	handovers := map[ident.InstanceID]*Handover{}
	for shard := range share.Shard(share.Shards) {
		successor, found := q.successor(shard)
		if !found {
			continue
		}
		// The part is given up first: after a pause in between, no bucket may be handed over and go on.
		q.mu.Lock()
		release := q.release(q.holders[shard])
		q.parts[shard].Store(&share.Holding{})
		q.mu.Unlock()
		states := q.drain(shard)
		e := handovers[successor]
		if e == nil {
			e = &Handover{BucketState: map[ident.CustomerID]share.BucketState{}}
			handovers[successor] = e
		}
		e.Requests = append(e.Requests, release...)
		maps.Copy(e.BucketState, states)
	}
	q.updateParts()
	for successor, e := range handovers {
		ctx, cancel := context.WithTimeout(q.tomb.Context(context.Background()), submitTimeout)
		if q.conf.HandOver(ctx, successor, *e) == nil {
			q.confirmReleases(e.Requests)
		}
		cancel()
	}
}

// confirmReleases records that the table has the releases among some requests.
func (q *Quota) confirmReleases(requests []share.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range requests {
		if r.Release {
			q.holders[r.Shard].ApplyGrant(share.Grant{Instance: r.Instance, Shard: r.Shard, Renewal: r.Renewal})
		}
	}
}

// release gives up a part and returns the requests that free it; the caller holds mu.
func (q *Quota) release(h *share.Holder) []share.Request {
	epoch, _, _ := q.conf.Epochs.Current()
	return h.Release(clock.Now(), q.params(), epoch)
}

// successor returns the instance that should take over a shard that this one holds. While no
// link to the successor is open, there is none and this instance keeps the shard.
func (q *Quota) successor(shard share.Shard) (ident.InstanceID, bool) {
	holders := q.conf.Holders(shard)
	if q.Part(shard) == 0 || len(holders) == 0 || holders[0] == q.conf.Self {
		return "", false
	}
	return holders[0], q.conf.Connected(holders[0])
}

// canHandOver reports whether a shard that another instance is to hold can be handed over now.
func (q *Quota) canHandOver() bool {
	if q.conf.Static || q.conf.Snapshot().Version.IsZero() {
		return false
	}
	for shard := range share.Shard(share.Shards) {
		if _, found := q.successor(shard); found && clock.Since(time.Unix(0, q.tookOver[shard].Load())) > recentTakeover {
			return true
		}
	}
	return false
}

// recentTakeover is how long a shard that was just taken over is not handed on as soon as a link is open: two
// instances that disagree on its holder would hand it to and fro.
const recentTakeover = time.Second

// drain empties the buckets of a shard's customers and returns their states.
func (q *Quota) drain(shard share.Shard) map[ident.CustomerID]share.BucketState {
	all := map[ident.CustomerID]share.BucketState{}
	now := clock.Now()
	for customer := range q.conf.Snapshot().Customers {
		if share.ShardOf(customer) != shard {
			continue
		}
		a := q.account(customer)
		a.mu.Lock()
		if s := a.bucket.Drain(now); s.Tokens > 0 || s.Lent > 0 {
			all[customer] = s
		}
		a.mu.Unlock()
	}
	return all
}

// TakeOver takes over shards from their holder: one write releases the holder's leases and
// grants them to this instance. Tokens of a release that arrives too late are lost: another
// instance may have held the shard since.
func (q *Quota) TakeOver(ctx context.Context, e Handover) error {
	requests, params := slices.Clone(e.Requests), q.params()
	epoch, _, _ := q.conf.Epochs.Current()
	for _, a := range e.Requests {
		if !a.Release {
			continue
		}
		shard := a.Shard % share.Shards
		q.mu.Lock()
		q.takeovers[shard]++
		requests = append(requests, q.holders[shard].Request(clock.Now(), share.Whole, params, epoch))
		q.mu.Unlock()
		defer q.endTakeover(shard)
	}
	grants, begun, err := q.submitAndApply(ctx, requests)
	if err != nil {
		return err
	}
	for customer, s := range e.BucketState {
		shard := share.ShardOf(customer)
		if begun[shard] == 0 || share.ReleasedPart(e.Requests, grants, shard) < q.parts[shard].Load().Part {
			continue
		}
		a := q.account(customer)
		a.mu.Lock()
		now := clock.Now()
		q.resize(a, now, customer)
		a.bucket.TakeOver(now, begun[shard], s, loanTTL)
		a.mu.Unlock()
	}
	return nil
}

// endTakeover ends a takeover. If it brought no part, the shard is requested again at once.
func (q *Quota) endTakeover(shard share.Shard) {
	q.mu.Lock()
	q.takeovers[shard]--
	q.mu.Unlock()
	if q.Part(shard) == 0 {
		q.CheckShards()
		return
	}
	q.tookOver[shard].Store(clock.Now().UnixNano())
}
