package share

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumseam.dev/pkg/ident"
)

const (
	// prefetchWindow is how much of an instance's own demand it requests in advance.
	prefetchWindow = 40 * time.Millisecond
	// demandWindow is the time over which demand is counted.
	demandWindow = 250 * time.Millisecond
	// minPrefetchDemand is the least number of requests within demandWindow for which tokens
	// are requested in advance: tokens that nobody uses in time are lost.
	minPrefetchDemand = 4
	// minRetryDelay and maxRetryDelay bound how soon tokens are requested again.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

const (
	// minBurstPerCenter is the smallest burst per data centre with which a customer's rate is
	// divided among them. With a smaller burst most of the rate is concentrated in one data
	// centre, because a bucket of so few tokens overflows while others are empty.
	minBurstPerCenter = 8
	// homePart is the fraction of a concentrated rate that its home data centre holds in
	// addition to its part of the rest.
	homePart = 0.75
)

// HomeCenter returns the data centre that holds most of a customer's rate. A customer whose
// burst is large enough to be divided has none.
func HomeCenter(customer ident.CustomerID, burst Tokens, centers map[ident.CenterID]float64) (ident.CenterID, bool) {
	if len(centers) == 0 || float64(burst)/float64(len(centers)) >= minBurstPerCenter {
		return "", false
	}
	var home ident.CenterID
	highest := uint64(0)
	for center := range centers {
		w := xxhash.Sum64String(string(customer) + "\x00" + string(center))
		if home == "" || w > highest || w == highest && center < home {
			home, highest = center, w
		}
	}
	return home, true
}

// CenterPart returns a data centre's fraction of a customer's rate, where centers holds the
// parts of all data centres. The fractions of all data centres have the same sum as the parts.
func CenterPart(customer ident.CustomerID, burst Tokens, center ident.CenterID, centers map[ident.CenterID]float64) float64 {
	home, concentrated := HomeCenter(customer, burst, centers)
	if !concentrated {
		return centers[center]
	}
	part := centers[center] * (1 - homePart)
	if center == home {
		part += homePart
	}
	return part
}

// Demand counts an instance's requests for one customer; the count decays linearly to zero
// over demandWindow.
type Demand struct {
	count   float64
	updated time.Time
}

// Add counts a request.
func (d *Demand) Add(now time.Time) {
	d.count = d.decayed(now) + 1
	d.updated = now
}

func (d *Demand) decayed(now time.Time) float64 {
	return d.count * max(0, 1-float64(now.Sub(d.updated))/float64(demandWindow))
}

// Prefetch returns how many tokens to request beyond those that callers wait for.
func (d *Demand) Prefetch(now time.Time) Tokens {
	count := d.decayed(now)
	if count < minPrefetchDemand {
		return 0
	}
	return Tokens(math.Floor(count * float64(prefetchWindow) / float64(demandWindow)))
}

// Spare returns how many of its own tokens a holder lends to another data centre that wants
// some: none while its own callers wait, up to half if they used any within demandWindow
// (sinceUse is the time since then), else up to all. Of a concentrated rate it lends the
// whole amount or nothing, because fractions that serve no request are lost.
func Spare(own, want Tokens, concentrated bool, waiting int, sinceUse time.Duration) Tokens {
	switch {
	case concentrated && own < want:
		return 0
	case concentrated:
		return want
	case waiting > 0:
		return 0
	case sinceUse < demandWindow:
		return min(want, own/2)
	}
	return min(want, own)
}

// AskOtherCenters reports whether tokens are requested from the data centres other than the
// home: always for a rate that is not concentrated, else only if the home does not answer.
func AskOtherCenters(concentrated, homeAnswered bool) bool { return !concentrated || !homeAnswered }

// Split returns the amount to request from each of several holders, so that together they
// lend no more than is missing: lent tokens that are not used in time are lost.
func Split(missing Tokens, holders int) Tokens {
	return missing / Tokens(max(holders, 1))
}

// RetryDelay returns when to expect a token that no holder has now, behind the requests
// that already wait for one.
func RetryDelay(rate Rate, waiting int) time.Duration {
	if rate <= 0 {
		return maxRetryDelay
	}
	wait := time.Duration(float64(max(waiting, 1)) / float64(rate) * float64(time.Second))
	return max(minRetryDelay, min(wait, maxRetryDelay))
}

// QueueExhaustsRate reports whether the requests that already wait use up all tokens that
// the rate yields within wait, so that one more request gets none in that time.
func QueueExhaustsRate(rate Rate, waiting int, wait time.Duration) bool {
	return waiting > 0 && float64(waiting) >= float64(rate)*wait.Seconds()
}
