package quota

import (
	"context"
	"math"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// maxUnansweredWait is how long a request waits at most while no holder gives a conclusive
// response, as after the loss of a holder. A request that exceeds its rate waits less.
const maxUnansweredWait = 500 * time.Millisecond

// TryTake spends one token if this instance has one; it reports false if not.
func (q *Quota) TryTake(customer ident.CustomerID) (Charge, bool) {
	a := q.account(customer)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	q.resize(a, now, customer)
	a.demand.Add(now)
	a.lastUsed = now
	taken, ok := a.bucket.Charge(now, 1)
	return Charge{account: a, customer: customer, taken: taken}, ok
}

// Take waits up to wait for a token and spends it. It returns None if it spent one, otherwise
// the reason and after how long to retry.
func (q *Quota) Take(ctx context.Context, customer ident.CustomerID, wait time.Duration) (Charge, fault.Reason, time.Duration) {
	charge := Charge{customer: customer}
	reason, retryAfter := q.obtain(ctx, customer, wait, max(wait, maxUnansweredWait), func(a *account, now time.Time) bool {
		var ok bool
		charge.account = a
		charge.taken, ok = a.bucket.Charge(now, 1)
		return ok
	})
	return charge, reason, retryAfter
}

// Lend responds to another instance's request for tokens.
func (q *Quota) Lend(ctx context.Context, w TokenRequest) TokenResponse {
	s := q.conf.Snapshot()
	if _, known := s.Customers[w.Customer]; !known || share.Amount(w.Amount) == 0 && !w.Release || q.conf.Static {
		return TokenResponse{Inconclusive: true}
	}
	if w.Release {
		q.releaseEarlier(share.ShardOf(w.Customer))
		return TokenResponse{Inconclusive: true}
	}
	a := q.account(w.Customer)
	if !w.SameCenter {
		return q.spare(a, w)
	}
	shard := share.ShardOf(w.Customer)
	lent := TokenResponse{Renewed: age(*q.parts[shard].Load())}
	lend := func(a *account, now time.Time) bool {
		whole := share.Tokens(math.Floor(float64(min(w.Amount, a.bucket.Available(now)))))
		if whole < 1 {
			return false
		}
		a.lastUsed = now
		lent.Amount, lent.TTL = a.bucket.Lend(now, whole, loanTTL)
		return true
	}
	if q.now(a, w.Customer, lend) {
		q.counts.lent.Add(float64(lent.Amount))
		return lent
	}
	if q.isHolder(shard) {
		wait := min(w.Wait, maxLendWait)
		_, lent.RetryAfter = q.obtain(ctx, w.Customer, wait, wait, lend)
	} else {
		// The holder does not respond or has no grant, so this instance stands in for it without a
		// part of its own.
		q.releaseEarlier(shard)
		q.gatherRemote(a, w.Customer, w.Amount)
		q.now(a, w.Customer, lend)
		lent.RetryAfter = q.emptyFor(a)
	}
	lent.Inconclusive = lent.Amount == 0 && (q.isInconclusive(a) || q.shouldHold(shard) && q.Part(shard) == 0)
	q.counts.lent.Add(float64(lent.Amount))
	return lent
}

func (q *Quota) isInconclusive(a *account) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inconclusive
}

// maxLendWait is how long a holder may wait for tokens before it responds to another instance.
const maxLendWait = 500 * time.Millisecond

// spare lends another data centre those tokens that this one can spare. Without a granted part, or
// while its room is reserved, that there are none does not mean that the rate is exceeded.
func (q *Quota) spare(a *account, w TokenRequest) TokenResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	q.resize(a, now, w.Customer)
	spare := share.Spare(a.bucket.Own(now), w.Amount, a.home != "", a.waiting, now.Sub(a.lastUsed))
	amount := a.bucket.LendOwn(now, spare, loanTTL)
	q.counts.lent.Add(float64(amount))
	pending := q.Part(share.ShardOf(w.Customer)) == 0 || a.bucket.Waits(now)
	return TokenResponse{Amount: amount, TTL: loanTTL, Inconclusive: amount == 0 && pending}
}

// now runs take on the account once, without waiting, after resizing its bucket.
func (q *Quota) now(a *account, customer ident.CustomerID, take func(*account, time.Time) bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	q.resize(a, now, customer)
	return take(a, now)
}

// emptyFor returns for how long no instance is expected to have a token.
func (q *Quota) emptyFor(a *account) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, a.emptyUntil.Sub(clock.Now()))
}

// obtain waits for tokens until take succeeds. It waits up to wait, not counting the time in
// which no holder gives a conclusive response, and up to maxWait in all.
func (q *Quota) obtain(ctx context.Context, customer ident.CustomerID, wait, maxWait time.Duration, take func(*account, time.Time) bool) (fault.Reason, time.Duration) {
	a := q.account(customer)
	started := clock.Now()
	rounds, retryAfter, refused := q.join(a, customer, started, wait)
	if refused {
		return fault.RateExceeded, retryAfter
	}
	defer a.leave()
	waitingSince := started
	for {
		wake, delay := q.nextWake(a, customer, waitingSince.Add(wait))
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
		if q.now(a, customer, take) {
			return fault.None, 0
		}
		now := clock.Now()
		refusal, conclusive := a.verdict(now, rounds)
		if !conclusive {
			waitingSince = now
		}
		if now.Sub(waitingSince) >= wait || now.Sub(started) >= maxWait || refusal.retryAfter > wait || ctx.Err() != nil {
			return refusal.reason, refusal.retryAfter
		}
	}
}

// join adds a request to those that wait, unless it cannot get a token in time. It returns the
// number of rounds finished so far or, if the request is refused, after how long to retry.
func (q *Quota) join(a *account, customer ident.CustomerID, now time.Time, wait time.Duration) (uint64, time.Duration, bool) {
	rate := share.Rate(q.conf.Snapshot().Customers[customer].Rate)
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.emptyUntil) && (a.emptyUntil.After(now.Add(wait)) || share.QueueExhaustsRate(rate, a.waiting, wait)) {
		return a.rounds, max(a.emptyUntil.Sub(now), share.RetryDelay(rate, a.waiting)), true
	}
	a.waiting++
	if end := now.Add(wait); a.waiting == 1 || end.After(a.waitUntil) {
		a.waitUntil = end
	}
	if !a.gathering && !q.conf.Static {
		a.gathering = true
		// Not q.tomb.Go, which panics once the tomb is dead; gather then returns by itself.
		go q.gather(a, customer)
	}
	return a.rounds, 0, false
}

func (a *account) leave() {
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
}

// nextWake returns a channel that is closed at the end of the current round, and the time
// until the instance's own rate yields a token or the wait ends.
func (q *Quota) nextWake(a *account, customer ident.CustomerID, end time.Time) (<-chan struct{}, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	q.resize(a, now, customer)
	own := a.bucket.TimeUntil(now, 1)
	if left := end.Sub(now); left > 0 {
		own = min(own, left)
	}
	return a.wake, max(own, time.Millisecond)
}

// refusal is the result of a request that got no token.
type refusal struct {
	reason     fault.Reason
	retryAfter time.Duration
}

// verdict returns the refusal of a waiting request as of now, and whether it is conclusive. It
// is if holders respond and either a round has finished since the request joined, or an earlier
// round found that no token is expected until a time after now.
func (a *account) verdict(now time.Time, rounds uint64) (refusal, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inconclusive || a.rounds == rounds && !now.Before(a.emptyUntil) {
		return refusal{reason: fault.RateUnavailable}, false
	}
	return refusal{reason: fault.RateExceeded, retryAfter: max(a.emptyUntil.Sub(now), 0)}, true
}
