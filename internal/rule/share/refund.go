package share

import (
	"slices"
	"time"
)

// Charge is what a request has taken out of a Bucket: its own tokens and borrowed ones with their expiries.
type Charge struct {
	own      Tokens
	borrowed []reservation
	// number counts the charges of the bucket, resized how often it had been resized or drained by then.
	number, resized uint64
}

// peak is the level that a bucket had reached when it fell, and the last charge before it fell.
type peak struct {
	number uint64
	level  Tokens
}

// maxPeaks bounds the memory of a bucket that falls in small steps.
const maxPeaks = 256

// Charge takes n tokens like Take and returns what to refund if they turn out not to be needed.
func (b *Bucket) Charge(now time.Time, n Tokens) (Charge, bool) {
	b.refill(now)
	if b.tokens+total(b.borrowed) < n {
		return Charge{}, false
	}
	b.recordPeak()
	b.charges++
	taken := Charge{number: b.charges, resized: b.resized}
	for at := range b.borrowed {
		spent := min(n, b.borrowed[at].amount)
		if spent <= 0 {
			continue
		}
		b.borrowed[at].amount -= spent
		n -= spent
		taken.borrowed = append(taken.borrowed, reservation{amount: spent, expires: b.borrowed[at].expires})
	}
	b.tokens -= n
	taken.own = n
	return taken, true
}

// Refund puts a charge back, which must be done at most once, and returns how many tokens were put back. The
// bucket then has no more than if the charge had not been made: own tokens are put back only as far as they
// would have had room since, for those that have accrued in their place may be spent already. Borrowed tokens
// keep their expiry, because the lender reserves their room only until then. A bucket that has been resized or drained
// since takes nothing back: another holder may have its part.
func (b *Bucket) Refund(now time.Time, c Charge) Tokens {
	b.refill(now)
	if c.resized != b.resized {
		return 0
	}
	highest := b.level()
	later := slices.IndexFunc(b.peaks, func(p peak) bool { return p.number >= c.number })
	if later >= 0 {
		highest = max(highest, b.peaks[later].level)
	}
	refunded := max(0, min(c.own, b.burst-highest))
	b.tokens += refunded
	if later >= 0 {
		b.raisePeaks(later, refunded)
	}
	for _, r := range c.borrowed {
		if now.Before(r.expires) {
			b.borrowed = append(b.borrowed, r)
			refunded += r.amount
		}
	}
	return refunded
}

// level returns how much of the burst is in use, by tokens and by room that is reserved.
func (b *Bucket) level() Tokens { return b.tokens + total(b.lent) }

// recordPeak records the level before it falls. A peak that a later one reaches is dropped, so that the first
// peak since a charge is the highest one.
func (b *Bucket) recordPeak() {
	b.addPeak(peak{number: b.charges, level: b.level()})
	if len(b.peaks) > maxPeaks {
		b.peaks[1].level = b.peaks[0].level
		b.peaks = b.peaks[1:]
	}
}

func (b *Bucket) addPeak(p peak) {
	for len(b.peaks) > 0 && b.peaks[len(b.peaks)-1].level <= p.level {
		b.peaks = b.peaks[:len(b.peaks)-1]
	}
	b.peaks = append(b.peaks, p)
}

// raisePeaks raises the peaks from an index on by a refund: the level would have been higher by that much.
func (b *Bucket) raisePeaks(from int, by Tokens) {
	raised := slices.Clone(b.peaks[from:])
	b.peaks = b.peaks[:from]
	for _, p := range raised {
		b.addPeak(peak{number: p.number, level: p.level + by})
	}
}

// forgetCharges makes the charges so far not refundable.
func (b *Bucket) forgetCharges() {
	b.resized++
	b.peaks = nil
}
