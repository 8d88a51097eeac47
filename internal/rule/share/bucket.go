package share

import (
	"math"
	"slices"
	"time"
)

// Amount returns n if it is a positive, finite number, else 0: what peers send is not trusted.
func Amount(n Tokens) Tokens {
	if n > 0 && !math.IsInf(float64(n), 0) {
		return n
	}
	return 0
}

// Rate is a number of tokens per second; Tokens is a number of requests.
type (
	Rate   float64
	Tokens float64
)

// reservation is an amount of tokens that counts until it expires.
type reservation struct {
	amount  Tokens
	expires time.Time
}

// Bucket is a token bucket with one customer's tokens at one instance; it is not safe for
// concurrent use.
type Bucket struct {
	rate    Rate
	burst   Tokens
	tokens  Tokens
	updated time.Time
	// lent reserves room in the bucket for tokens that other instances may still spend.
	lent     []reservation
	borrowed []reservation
	// tenure is that of the holding that the bucket was last sized for, 0 if it has ended.
	tenure uint64
	// accruesFrom is from when tokens accrue in this tenure.
	accruesFrom time.Time
	// falls are the coming reductions of rate and burst, in order of time.
	falls []fall
	// charges counts the charges, and resized how often the bucket was resized or drained.
	charges, resized uint64
	// peaks are the levels from which the bucket has fallen, for Refund.
	peaks []peak
}

// fall is a reduction of a bucket's rate and burst.
type fall struct {
	at    time.Time
	rate  Rate
	burst Tokens
}

// NewBucket returns an empty bucket: a new holder gets tokens only as time passes.
func NewBucket(now time.Time, rate Rate, burst Tokens) *Bucket {
	return &Bucket{rate: rate, burst: burst, updated: now}
}

// Add puts tokens into the bucket as far as there is room.
func (b *Bucket) Add(now time.Time, amount Tokens) {
	b.refill(now)
	b.tokens += amount
	b.clip()
}

// refill brings the bucket up to date. Each fall takes effect at its time, however late the
// process notices it.
func (b *Bucket) refill(now time.Time) {
	for len(b.falls) > 0 && !now.Before(b.falls[0].at) {
		b.refillOwn(b.falls[0].at)
		b.rate, b.burst = b.falls[0].rate, b.falls[0].burst
		b.forgetCharges()
		if b.burst == 0 {
			b.tenure = 0
		}
		b.falls = b.falls[1:]
	}
	b.refillOwn(now)
	b.borrowed = unexpired(b.borrowed, now)
}

// refillOwn accrues and clips tokens up to each expiry of a reservation before it frees the
// room, so that no tokens from before the expiry fill it.
func (b *Bucket) refillOwn(now time.Time) {
	for len(b.lent) > 0 && !now.Before(b.lent[0].expires) {
		b.accrue(b.lent[0].expires)
		b.recordPeak()
		b.lent = b.lent[1:]
	}
	b.accrue(now)
}

// accrue adds the tokens that the rate yields until now.
func (b *Bucket) accrue(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens += Tokens(float64(b.rate) * elapsed.Seconds())
		b.updated = now
	}
	b.clip()
}

// clip keeps the tokens in the bucket and the reserved room within the burst.
func (b *Bucket) clip() {
	b.tokens = max(0, min(b.tokens, b.burst-total(b.lent)))
}

// Take spends n tokens if the bucket has them; borrowed ones are spent first because they expire.
func (b *Bucket) Take(now time.Time, n Tokens) bool {
	_, ok := b.Charge(now, n)
	return ok
}

// Available returns how many tokens can be taken now.
func (b *Bucket) Available(now time.Time) Tokens {
	b.refill(now)
	return b.tokens + total(b.borrowed)
}

// LendOwn takes out up to want tokens for another instance, none of them borrowed, and
// reserves their room for ttl.
func (b *Bucket) LendOwn(now time.Time, want Tokens, ttl time.Duration) Tokens {
	b.refill(now)
	lent := min(want, b.tokens)
	if lent <= 0 {
		return 0
	}
	b.tokens -= lent
	b.reserve(now, lent, ttl)
	return lent
}

// Lend takes out up to want tokens for another instance, borrowed ones included. It returns
// how many and for how long they are valid: no longer than any of them was borrowed for.
func (b *Bucket) Lend(now time.Time, want Tokens, ttl time.Duration) (Tokens, time.Duration) {
	b.refill(now)
	lent := b.LendOwn(now, want, ttl)
	for at := range b.borrowed {
		spent := min(want-lent, b.borrowed[at].amount)
		if spent <= 0 {
			continue
		}
		b.borrowed[at].amount -= spent
		lent += spent
		ttl = min(ttl, b.borrowed[at].expires.Sub(now))
	}
	return lent, ttl
}

// Waits reports whether no tokens accrue yet, because the previous holder may have lent some.
func (b *Bucket) Waits(now time.Time) bool {
	b.refill(now)
	return b.burst > 0 && now.Before(b.updated)
}

// BucketState is what the holder of a part hands over to its successor.
type BucketState struct {
	Tokens Tokens `cbor:"1,keyasint"`
	// Lent is the number of tokens that other instances may still spend; their room stays reserved.
	Lent Tokens `cbor:"2,keyasint,omitempty"`
}

// Drain ends the tenure and returns the bucket's state for the next holder of the part.
func (b *Bucket) Drain(now time.Time) BucketState {
	b.refill(now)
	state := BucketState{Tokens: b.tokens, Lent: total(b.lent)}
	b.end()
	return state
}

// end empties the bucket until it is sized for a new tenure.
func (b *Bucket) end() {
	b.rate, b.burst, b.tokens, b.tenure, b.falls = 0, 0, 0, 0, nil
	b.forgetCharges()
}

// TakeOver adds the state that the previous holder handed over for a tenure, unless that has
// ended; the tokens that it lent expire after ttl at the latest. Tokens for which one
// continuous bucket would have no room beside those accrued since then are lost.
func (b *Bucket) TakeOver(now time.Time, tenure uint64, s BucketState, ttl time.Duration) {
	b.refill(now)
	if b.tenure == 0 || b.tenure != tenure {
		return
	}
	if now.Before(b.accruesFrom) {
		b.updated, b.accruesFrom = now, now
	}
	accrued := Tokens(float64(b.rate) * now.Sub(b.accruesFrom).Seconds())
	b.tokens += max(0, min(Amount(s.Tokens), b.burst-accrued))
	b.reserve(now, Amount(s.Lent), ttl)
	b.clip()
}

// reserve keeps room for tokens that other instances may spend until ttl has passed.
func (b *Bucket) reserve(now time.Time, amount Tokens, ttl time.Duration) {
	if amount <= 0 {
		return
	}
	b.lent = append(b.lent, reservation{amount: amount, expires: now.Add(ttl)})
	slices.SortFunc(b.lent, func(x, y reservation) int { return x.expires.Compare(y.expires) })
}

// Accept adds tokens borrowed from another instance; they expire ttl after the request
// for them was sent.
func (b *Bucket) Accept(now, requested time.Time, amount Tokens, ttl time.Duration) {
	b.refill(now)
	expires := requested.Add(ttl)
	if !now.Before(expires) || amount <= 0 {
		return
	}
	b.borrowed = append(b.borrowed, reservation{amount: amount, expires: expires})
}

// TimeUntil returns how long the bucket's own rate takes until n tokens are available.
func (b *Bucket) TimeUntil(now time.Time, n Tokens) time.Duration {
	missing := n - b.Available(now)
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return max(0, b.updated.Sub(now)) + time.Duration(float64(missing)/float64(b.rate)*float64(time.Second))
}

func unexpired(list []reservation, now time.Time) []reservation {
	kept := list[:0]
	for _, r := range list {
		if now.Before(r.expires) && r.amount > 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

func total(list []reservation) Tokens {
	sum := Tokens(0)
	for _, r := range list {
		sum += r.amount
	}
	return sum
}

// Own returns how many tokens the bucket has without borrowed ones.
func (b *Bucket) Own(now time.Time) Tokens {
	b.refill(now)
	return b.tokens
}
