package quota

import (
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// releaseTime is how long an instance usually takes to have a release written to the table.
const releaseTime = 3 * batchWindow

// askBlocking asks the instances that keep this one from shards that it is to hold to release what an earlier
// run of theirs was granted. After a restart of the whole fleet the table lists the holders of before, each of which
// knows nothing of that; without the question their parts would lie idle until the leases end.
func (q *Quota) askBlocking(grants []share.Grant) {
	for _, g := range grants {
		shard := g.Shard % share.Shards
		if g.Instance != q.conf.Self || g.Blocking == "" || !q.shouldHold(shard) {
			continue
		}
		customer, found := q.customerOf(shard)
		if !found {
			continue
		}
		// Not q.tomb.Go, which panics once the tomb is dead; the request then fails by itself.
		go func() {
			_, _, answered := q.requestFrom(g.Blocking, TokenRequest{Customer: customer, SameCenter: true, Release: true}, remoteTimeout)
			if answered && q.sleep(releaseTime) {
				q.CheckShards()
			}
		}()
	}
}

// customerOf returns a customer of a shard, if it has any.
func (q *Quota) customerOf(shard share.Shard) (ident.CustomerID, bool) {
	for customer := range q.conf.Snapshot().Customers {
		if share.ShardOf(customer) == shard {
			return customer, true
		}
	}
	return "", false
}

// releaseEarlier makes this instance release a shard that an earlier run of it may have been granted, unless it
// holds the shard or is to hold it.
func (q *Quota) releaseEarlier(shard share.Shard) {
	if !q.isHolder(shard) && !q.asked[shard].Swap(true) {
		q.CheckShards()
	}
}
