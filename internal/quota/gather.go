package quota

import (
	"context"
	"sync"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

const (
	// loanTTL is how long lent tokens are valid, counted from the request for them.
	loanTTL = 200 * time.Millisecond
	// responseMargin is how long a holder in this data centre may take to respond beyond the
	// time that the requests wait; returnMargin is the part of that time that is left for the
	// response to arrive.
	responseMargin = 100 * time.Millisecond
	returnMargin   = 10 * time.Millisecond
	// remoteTimeout is how long a holder in another data centre may take to respond.
	remoteTimeout = 150 * time.Millisecond
	// failureCooldown is how long no tokens are requested from an instance after a failed request.
	failureCooldown = 500 * time.Millisecond
	// roundInterval is the delay between two rounds of requests while callers wait.
	roundInterval = 5 * time.Millisecond
	// maxLocalHolders is how many instances of this data centre are asked for a shard's
	// tokens: its holder and the one that stands in for it.
	maxLocalHolders = 2
	// remoteAttempts is how often a round asks the holders of other data centres for what is
	// still missing.
	remoteAttempts = 2
	// roundingMargin is requested in addition to what is missing, so that rounding never
	// leaves less than a whole token.
	roundingMargin = 1e-3
)

// gather requests a customer's tokens from other instances while callers wait for some.
func (q *Quota) gather(a *account, customer ident.CustomerID) {
	for {
		missing, left, more := q.missing(a, customer)
		if !more {
			return
		}
		if missing > 0 {
			q.gatherOnce(a, customer, missing, left)
		}
		q.sleep(roundInterval)
	}
}

// missing returns how many tokens are missing and how much longer callers wait for them;
// false ends gather.
func (q *Quota) missing(a *account, customer ident.CustomerID) (share.Tokens, time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == 0 || !q.tomb.Alive() {
		a.gathering = false
		return 0, 0, false
	}
	now := clock.Now()
	q.resize(a, now, customer)
	if now.Before(a.emptyUntil) {
		return 0, 0, true
	}
	return share.Tokens(a.waiting) + a.demand.Prefetch(now) - a.bucket.Available(now), a.waitUntil.Sub(now), true
}

// gatherOnce runs one round of requests: first to the holder in this data centre or its
// stand-in, then, if this instance holds the shard itself or none of them responds, to the
// holders in the others.
func (q *Quota) gatherOnce(a *account, customer ident.CustomerID, missing share.Tokens, left time.Duration) {
	shard := share.ShardOf(customer)
	if q.Part(shard) == 0 {
		for rank, id := range firstN(q.conf.Holders(shard), maxLocalHolders) {
			if id == q.conf.Self && rank > 0 {
				break
			}
			if id == q.conf.Self {
				// Until this instance is granted the shard, the next in rank may still hold it.
				continue
			}
			w := TokenRequest{Customer: customer, Amount: missing, SameCenter: true, Wait: max(0, left-returnMargin)}
			if lent, requested, ok := q.requestFrom(id, w, w.Wait+responseMargin); ok {
				q.addBorrowed(a, requested, lent)
				a.noteRenewal(requested, lent.Renewed)
				q.finishRound(a, lent.Inconclusive, lent.Amount, lent.RetryAfter)
				return
			}
		}
	}
	q.gatherRemote(a, customer, missing)
}

// noteRenewal records when the holder in this data centre last renewed its lease.
func (a *account) noteRenewal(requested time.Time, ago time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holderRenewed = time.Time{}
	if ago > 0 {
		a.holderRenewed = requested.Add(-ago)
	}
}

func firstN(ids []ident.InstanceID, count int) []ident.InstanceID {
	return ids[:min(count, len(ids))]
}

// gatherRemote requests tokens from the holders in the other data centres, in the order of
// byDistance, and finishes the round.
func (q *Quota) gatherRemote(a *account, customer ident.CustomerID, missing share.Tokens) {
	missing += roundingMargin
	shard := share.ShardOf(customer)
	byDistance, home := q.byDistance(a, customer)
	// Only a holder that has its part gives an answer that counts.
	got, answered, pending := share.Tokens(0), home == q.conf.Center && q.Part(shard) > 0, false
	for distance, ids := range byDistance {
		if distance > 0 && !share.AskOtherCenters(home != "", answered) {
			break
		}
		for range remoteAttempts {
			if missing-got <= 0 || len(ids) == 0 {
				break
			}
			r := q.requestFromAll(a, customer, ids, missing-got)
			got, answered, pending, ids = got+r.amount, answered || r.conclusive, pending || r.inconclusive, r.mayHaveMore
		}
	}
	rate := share.Rate(q.conf.Snapshot().Customers[customer].Rate)
	a.mu.Lock()
	now := clock.Now()
	q.resize(a, now, customer)
	retryAfter := time.Duration(0)
	lacking := q.Part(shard) == 0 && (q.shouldHold(shard) || !answered)
	inconclusive := got < 1 && (lacking || pending && !answered || a.bucket.Waits(now))
	if a.bucket.Available(now) < 1 {
		q.counts.emptyRounds.Inc()
		retryAfter = share.RetryDelay(rate, a.waiting)
	}
	a.mu.Unlock()
	q.finishRound(a, inconclusive, got, retryAfter)
}

// byDistance returns the holders in other data centres in the order in which to ask them: the
// one in the customer's home data centre, if there is one, those in the same region, the rest.
// It also returns the home data centre.
func (q *Quota) byDistance(a *account, customer ident.CustomerID) ([3][]ident.InstanceID, ident.CenterID) {
	a.mu.Lock()
	home := a.home
	a.mu.Unlock()
	var all [3][]ident.InstanceID
	for _, h := range q.conf.RemoteHolders(share.ShardOf(customer)) {
		distance := 2
		switch {
		case h.Center == home:
			distance = 0
		case h.Nearby:
			distance = 1
		}
		all[distance] = append(all[distance], h.Instance)
	}
	return all, home
}

// responses sums up the responses of several holders.
type responses struct {
	amount share.Tokens
	// mayHaveMore are the holders that lent all that was requested.
	mayHaveMore []ident.InstanceID
	// conclusive and inconclusive are set if any response was.
	conclusive, inconclusive bool
}

// requestFromAll requests an equal part of the missing tokens from each of several holders at
// the same time.
func (q *Quota) requestFromAll(a *account, customer ident.CustomerID, ids []ident.InstanceID, missing share.Tokens) responses {
	w := TokenRequest{Customer: customer, Amount: share.Split(missing, len(ids))}
	var mu sync.Mutex
	var sum responses
	var all sync.WaitGroup
	for _, id := range ids {
		all.Go(func() {
			lent, requested, ok := q.requestFrom(id, w, remoteTimeout)
			if !ok {
				return
			}
			q.addBorrowed(a, requested, lent)
			mu.Lock()
			defer mu.Unlock()
			sum.amount += lent.Amount
			sum.conclusive = sum.conclusive || !lent.Inconclusive
			sum.inconclusive = sum.inconclusive || lent.Inconclusive
			if lent.Amount >= w.Amount {
				sum.mayHaveMore = append(sum.mayHaveMore, id)
			}
		})
	}
	all.Wait()
	return sum
}

// requestFrom requests tokens from one instance, unless a request to it failed within
// failureCooldown. It returns the response and when the request was sent.
func (q *Quota) requestFrom(id ident.InstanceID, w TokenRequest, timeout time.Duration) (TokenResponse, time.Time, bool) {
	requested := clock.Now()
	if since, known := q.failed.Load(id); known && requested.Sub(since.(time.Time)) < failureCooldown {
		return TokenResponse{}, requested, false
	}
	ctx, cancel := context.WithTimeout(q.tomb.Context(context.Background()), timeout)
	defer cancel()
	lent, err := q.conf.Request(ctx, id, w)
	if err != nil {
		q.counts.failed.Inc()
		q.failed.Store(id, clock.Now())
		return TokenResponse{}, requested, false
	}
	if lent.Amount = share.Amount(lent.Amount); lent.Amount > w.Amount {
		lent.Amount = 0
	}
	return lent, requested, true
}

// addBorrowed adds the tokens of a response to the account's bucket.
func (q *Quota) addBorrowed(a *account, requested time.Time, g TokenResponse) {
	if g.Amount <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Accept(clock.Now(), requested, g.Amount, min(g.TTL, loanTTL))
	q.counts.borrowed.Add(float64(g.Amount))
}

// finishRound records the result of a round and wakes all waiting requests.
func (q *Quota) finishRound(a *account, inconclusive bool, got share.Tokens, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inconclusive = inconclusive
	a.rounds++
	if !inconclusive && got < 1 {
		a.emptyUntil = clock.Now().Add(retryAfter)
	}
	close(a.wake)
	a.wake = make(chan struct{})
}
