package quota

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// submit sends requests to the first table writer in order of preference that writes them to the
// table. If none does, this instance writes them itself; if the store does not answer it either,
// up to maxLinkedWriters other linked instances are tried, which it may answer.
func (q *Quota) submit(ctx context.Context, all []share.Request) ([]share.Grant, error) {
	writers := q.conf.TableWriters()
	for _, id := range writers {
		if id == q.conf.Self {
			break
		}
		if !q.awaitLink(id) {
			continue
		}
		if grants, err := q.submitTo(ctx, id, all); err == nil {
			return grants, nil
		}
	}
	ownCtx, cancel := context.WithTimeout(ctx, ownSubmitTimeout)
	grants, err := q.tableWriter.submit(ownCtx, all)
	cancel()
	if err == nil || plat.HasCause(err, plat.Conflict) {
		return grants, err
	}
	for _, id := range q.linkedWriters(writers) {
		if grants, linkedErr := q.submitTo(ctx, id, all); linkedErr == nil {
			return grants, nil
		}
	}
	return nil, err
}

// submitTo sends requests to one other instance, which writes them to the table.
func (q *Quota) submitTo(ctx context.Context, id ident.InstanceID, all []share.Request) ([]share.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return q.conf.Submit(ctx, id, all)
}

// linkedWriters returns up to maxLinkedWriters random linked instances that are not among the tried ones.
func (q *Quota) linkedWriters(tried []ident.InstanceID) []ident.InstanceID {
	if q.conf.Linked == nil {
		return nil
	}
	others := slices.DeleteFunc(q.conf.Linked(), func(id ident.InstanceID) bool { return slices.Contains(tried, id) })
	q.mu.Lock()
	q.random.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	q.mu.Unlock()
	return firstN(others, maxLinkedWriters)
}

// awaitLink waits up to linkTimeout for a link to another instance and reports whether it is
// open: an instance that has not started yet cannot be dialled.
func (q *Quota) awaitLink(id ident.InstanceID) bool {
	for deadline := clock.Now().Add(linkTimeout); !q.conf.Connected(id); {
		if clock.Now().After(deadline) || !q.sleep(linkPollInterval) {
			return false
		}
	}
	return true
}

// params returns the lease parameters of the configuration in force.
func (q *Quota) params() share.LeaseParams {
	d := q.conf.Snapshot().Defaults
	return share.LeaseParams{
		Lease: d.ShareLease, Grace: d.ShareGrace, Reserve: share.Part(d.ShareReserve * float64(share.Whole)), Drift: clockDrift,
	}
}

// renewLoop renews leases before they expire, and when a change of membership moves shards.
func (q *Quota) renewLoop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	check := time.NewTicker(time.Second)
	defer check.Stop()
	links := time.NewTicker(handoverPollInterval)
	defer links.Stop()
	restored := q.conf.Epochs.Changed()
	for {
		select {
		case <-q.tomb.Dying():
			return nil
		case <-check.C:
			q.updateParts()
			continue
		case <-links.C:
			if !q.canHandOver() {
				continue
			}
		case <-q.renew:
			if !q.misplaced() {
				continue
			}
			if !q.sleep(q.jitter(100 * time.Millisecond)) {
				return nil
			}
		case <-restored:
			restored = q.conf.Epochs.Changed()
			if !q.sleep(q.jitter(100 * time.Millisecond)) {
				return nil
			}
		case <-timer.C:
		}
		timer.Reset(q.renewOnce())
	}
}

// isHolder reports whether this instance holds a shard in its data centre or is to hold it.
func (q *Quota) isHolder(shard share.Shard) bool { return q.Part(shard) > 0 || q.shouldHold(shard) }

// shouldHold reports whether this instance is the preferred holder of a shard.
func (q *Quota) shouldHold(shard share.Shard) bool {
	holders := q.conf.Holders(shard)
	return len(holders) > 0 && holders[0] == q.conf.Self
}

// misplaced reports whether this instance holds a shard that it should not hold, lacks one that
// it should, or must release one.
func (q *Quota) misplaced() bool {
	for shard := range share.Shard(share.Shards) {
		if q.shouldHold(shard) != (q.Part(shard) > 0) || q.mustRelease(shard) {
			return true
		}
	}
	return false
}

// mustRelease reports whether the table may list this instance for a shard that it neither holds
// nor should hold. What an earlier run was granted is released only if another instance misses
// it, so that an instance that starts sends the table's writer nothing.
func (q *Quota) mustRelease(shard share.Shard) bool {
	holders := q.conf.Holders(shard)
	if q.Part(shard) > 0 || len(holders) == 0 || holders[0] == q.conf.Self {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.holders[shard]
	return q.takeovers[shard] == 0 && (h.Requested() || h.MayBeListed() && q.asked[shard].Load())
}

// sleep waits for d; false means that the Quota is stopping.
func (q *Quota) sleep(d time.Duration) bool {
	select {
	case <-q.tomb.Dying():
		return false
	case <-time.After(d):
		return true
	}
}

// requests returns the lease requests for the shards that this instance should hold, for those
// that it holds because no successor has taken them over yet, and for those that it must release.
func (q *Quota) requests(params share.LeaseParams) []share.Request {
	var all []share.Request
	epoch, _, _ := q.conf.Epochs.Current()
	now := clock.Now()
	for shard := range share.Shard(share.Shards) {
		isHolder, mustRelease := q.isHolder(shard), q.mustRelease(shard)
		q.mu.Lock()
		switch {
		case q.takeovers[shard] > 0:
			// A later request would make the table ignore that of the takeover.
		case isHolder:
			all = append(all, q.holders[shard].Request(now, share.Whole, params, epoch))
		case mustRelease:
			all = append(all, q.release(q.holders[shard])...)
		}
		q.mu.Unlock()
	}
	return all
}

// submitAndApply submits requests and applies the grants for this instance. It returns all grants, and the
// new tenures of shards that were not held before.
func (q *Quota) submitAndApply(ctx context.Context, requests []share.Request) ([]share.Grant, map[share.Shard]uint64, error) {
	grants, err := q.submit(ctx, requests)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	begun := map[share.Shard]uint64{}
	q.mu.Lock()
	for _, g := range grants {
		if g.Instance != q.conf.Self {
			continue
		}
		shard := g.Shard % share.Shards
		if q.holders[shard].ApplyGrant(g) {
			begun[shard] = q.holders[shard].Holding().Tenure
		}
	}
	q.mu.Unlock()
	q.updateParts()
	q.askBlocking(grants)
	return grants, begun, nil
}

// renewOnce hands over and renews shards once and returns the time until the next renewal.
func (q *Quota) renewOnce() time.Duration {
	if q.conf.Snapshot().Version.IsZero() {
		return unconfiguredRetryDelay
	}
	params := q.params()
	if q.conf.Static {
		q.setStaticParts()
		return recheckInterval
	}
	q.handOver()
	requests := q.requests(params)
	if len(requests) == 0 {
		return recheckInterval
	}
	grants, _, err := q.submitAndApply(q.tomb.Context(context.Background()), requests)
	if plat.HasCause(err, plat.Conflict) {
		// Others without a link to a table writer write at the same time, as after a restart of all.
		return batchWindow + q.jitter(batchWindow)
	}
	if err != nil {
		return failureBackoff + q.jitter(failureBackoff)
	}
	if slices.ContainsFunc(grants, func(g share.Grant) bool { return g.Instance == q.conf.Self && g.Listed != 0 }) {
		// The table had the request already, through a writer whose answer got lost.
		return q.jitter(batchWindow)
	}
	interval := params.Lease / renewalsPerLease
	if q.misplaced() {
		interval = min(interval, recheckInterval)
	}
	return untilNext(clock.TimeOfDay(), interval) + q.jitter(batchWindow/2)
}

// setStaticParts gives this instance an equal part of every shard, for the static baseline.
func (q *Quota) setStaticParts() {
	center := q.conf.Snapshot().CenterParts()[q.conf.Center]
	part := share.Part(center*float64(share.Whole)) / share.Part(max(q.conf.MemberCount(), 1))
	for shard := range q.parts {
		end := clock.Now().Add(time.Hour)
		q.parts[shard].Store(&share.Holding{Part: part, LeaseEnd: end, GraceEnd: end, Tenure: 1})
	}
	q.generation.Add(1)
	q.resizeAccounts()
}

// untilNext returns the time until the next multiple of the interval: instances that renew
// at the same time share one write of the table.
func untilNext(now time.Time, interval time.Duration) time.Duration {
	return now.Truncate(interval).Add(interval).Sub(now)
}

// updateParts updates the parts that may be spent, and records changes in the journal.
func (q *Quota) updateParts() {
	if q.conf.Static {
		return
	}
	changed := false
	for shard := range share.Shard(share.Shards) {
		q.mu.Lock()
		held := q.holders[shard].Holding()
		old := q.parts[shard].Swap(&held)
		usable := held.Usable(clock.Now())
		noted := q.noted[shard]
		q.noted[shard] = usable
		q.mu.Unlock()
		changed = changed || *old != held
		if noted != usable {
			q.conf.Journal.Add(jrnl.Event{Kind: jrnl.ShareChanged, Evidence: partChange(shard, noted, usable)})
		}
	}
	if changed {
		q.generation.Add(1)
		q.resizeAccounts()
	}
}

// resizeAccounts resizes the buckets of all customers, so that tokens accrue from now on and
// not from a customer's first request.
func (q *Quota) resizeAccounts() {
	now := clock.Now()
	for customer := range q.conf.Snapshot().Customers {
		a := q.account(customer)
		a.mu.Lock()
		q.resize(a, now, customer)
		a.mu.Unlock()
	}
}

func partChange(shard share.Shard, old, now share.Part) string {
	return fmt.Sprintf("shard %d: part of the data centre's rates held here changed from %s to %s", shard, percent(old), percent(now))
}

func percent(p share.Part) string {
	return strconv.FormatFloat(float64(p)*100/float64(share.Whole), 'f', 1, 64) + "%"
}

const (
	// submitTimeout bounds one submission to another instance, a slow platform included.
	submitTimeout = 1200 * time.Millisecond
	// maxLinkedWriters is how many linked instances are tried after the table writers. All attempts
	// together end before the lease that they are to renew.
	maxLinkedWriters = 2
	// linkTimeout is how long to wait for a link to another instance, and linkPollInterval how
	// often to check for it.
	linkTimeout      = 200 * time.Millisecond
	linkPollInterval = 20 * time.Millisecond
	// ownSubmitTimeout bounds a submission to the writer of this instance, all attempts included.
	ownSubmitTimeout = 3 * time.Second
)

const (
	// renewalsPerLease is how often a lease is renewed within its duration: three quarters of a
	// lease are left when the store becomes unavailable.
	renewalsPerLease = 4
	// clockDrift is the greatest difference in speed between two clocks, in millionths.
	clockDrift = 10_000
	// unconfiguredRetryDelay is the interval at which an instance checks whether it has a
	// configuration, before it requests leases.
	unconfiguredRetryDelay = 100 * time.Millisecond
	// recheckInterval is how soon an instance renews again while it lacks a shard or holds one
	// too many, and how often it checks for shards to hold while it has none.
	recheckInterval = time.Second
	// handoverPollInterval is how often a holder checks whether a link to the next holder is open.
	handoverPollInterval = 100 * time.Millisecond
	// failureBackoff is the shortest delay after a failed submission; jitter adds up to as much.
	failureBackoff = 500 * time.Millisecond
)

// jitter returns a random duration of at most limit.
func (q *Quota) jitter(limit time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.random.Int64N(int64(limit) + 1))
}
