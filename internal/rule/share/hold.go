package share

import (
	"slices"
	"time"
)

// Holding is what an instance holds of a shard.
type Holding struct {
	// Part may be spent until LeaseEnd, Reserve from then until GraceEnd.
	Part, Reserve      Part
	LeaseEnd, GraceEnd time.Time
	// Requested is when the lease was requested.
	Requested time.Time
	// Tenure is the same as long as no other instance can have held the part in between.
	Tenure uint64
	// Since is the start of this process if its earlier run held the part until its end, else zero.
	Since time.Time
}

// Usable returns the part that may be spent now.
func (h *Holding) Usable(now time.Time) Part {
	switch {
	case now.Before(h.LeaseEnd):
		return h.Part
	case now.Before(h.GraceEnd):
		return h.Reserve
	default:
		return 0
	}
}

// Hold sizes the bucket for a holding of the given rate and burst, and lets it fall when the lease and the
// grace period end. A new tenure begins empty; its tokens accrue once those that its previous holder may have
// lent have expired, ttl from now or, if that was an earlier run of this instance, from the start of this one.
func (b *Bucket) Hold(now time.Time, rate Rate, burst Tokens, h Holding, ttl time.Duration) {
	b.refill(now)
	usable := h.Usable(now)
	if usable == 0 {
		b.end()
		return
	}
	sized := func(part Part) (Rate, Tokens) {
		fraction := float64(part) / float64(Whole)
		return Rate(float64(rate) * fraction), Tokens(float64(burst) * fraction)
	}
	grown := -b.burst
	b.rate, b.burst = sized(usable)
	grown += b.burst
	if grown != 0 || h.Tenure != b.tenure {
		b.forgetCharges()
	}
	b.falls = nil
	reserveRate, reserveBurst := sized(h.Reserve)
	if now.Before(h.LeaseEnd) {
		b.falls = append(b.falls, fall{at: h.LeaseEnd, rate: reserveRate, burst: reserveBurst})
	}
	b.falls = append(b.falls, fall{at: h.GraceEnd})
	if h.Tenure == b.tenure {
		// Another instance may have held and lent what this one has in addition now.
		b.reserve(now, grown, ttl)
		b.clip()
		return
	}
	b.tenure, b.tokens, b.accruesFrom = h.Tenure, 0, now.Add(ttl)
	if !h.Since.IsZero() {
		b.accruesFrom = h.Since.Add(ttl)
	}
	b.updated = b.accruesFrom
	b.accrue(now)
}

// ReleasedPart returns which part of a shard some releases have freed that no other instance can have held
// since they were made. A release that arrives after a later request of its instance, or after its entry has
// expired, frees nothing.
func ReleasedPart(requests []Request, grants []Grant, shard Shard) Part {
	for _, r := range requests {
		at := slices.IndexFunc(grants, func(g Grant) bool {
			return g.Instance == r.Instance && g.Shard == r.Shard && g.Renewal == r.Renewal
		})
		if r.Release && r.Shard == shard && at >= 0 {
			return grants[at].Proven
		}
	}
	return 0
}
