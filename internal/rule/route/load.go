package route

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumseam.dev/pkg/ident"
)

const (
	// otherLoadSamples sets the weight of a new report in the average: 1/otherLoadSamples.
	otherLoadSamples = 4
	// otherLoadFresh is the age up to which a report counts in full, otherLoadStale the age from
	// which it counts for nothing.
	otherLoadFresh = time.Second
	otherLoadStale = 2 * time.Second
)

// OtherLoad estimates how many statements of other owners a server runs, from the number of
// running statements that it reports. It averages the reports, so that one of them doesn't make
// all owners leave a server. The zero value is that of a server that has reported nothing.
type OtherLoad struct {
	average    float64
	reportedAt time.Time
}

// Observe records a report: the server was running busy statements, own of them for this owner.
func (o *OtherLoad) Observe(now time.Time, busy, own int) {
	others := math.Max(float64(busy-own), 0)
	if now.Sub(o.reportedAt) >= otherLoadStale {
		o.average = 0
	}
	o.average += (others - o.average) / otherLoadSamples
	o.reportedAt = now
}

// At returns the estimate at the given time.
func (o OtherLoad) At(now time.Time) float64 {
	left := otherLoadStale - now.Sub(o.reportedAt)
	return o.average * math.Max(0, math.Min(1, float64(left)/float64(otherLoadStale-otherLoadFresh)))
}

// Spread returns how strongly an owner reacts to the load of other owners when it chooses a server
// for a customer's reads: a number from 0 to 1. It differs among customers and among owners, so
// that they don't all move at once, and stays the same, so that a session keeps its server and a
// customer its connections.
func Spread(c ident.CustomerID, self ident.InstanceID) float64 {
	return float64(xxhash.Sum64String(string(c)+"\x00"+string(self))>>11) / (1 << 53)
}

const (
	// assumedServiceTime is that of a server at which this owner has measured no statement.
	assumedServiceTime = 10 * time.Millisecond
	// equalLoads is the difference between the loads of two servers, in statements, up to which
	// they count as equal: reports are counts at one moment.
	equalLoads = 1
)

// leastOtherLoad returns the smallest load by other owners at any usable server.
func leastOtherLoad(servers []Server) float64 {
	least := math.Inf(1)
	for at := range servers {
		if s := &servers[at]; s.Usable && !s.Leaving {
			least = min(least, s.OtherLoad)
		}
	}
	return least
}

// otherCost returns the expected time in the queue behind the statements of other owners, compared
// with the server that has the fewest of them. A server with free slots would run a read at once,
// so that its load counts only from one statement below its slots on.
func (s *Server) otherCost(least, spread float64) time.Duration {
	more := min(2*spread*(s.OtherLoad-least)-equalLoads, 2*max(0, s.OtherLoad+1-float64(s.Slots)))
	if more <= 0 {
		return 0
	}
	return time.Duration(more * float64(cmp.Or(s.ServiceTime, assumedServiceTime)) / float64(max(s.Slots, 1)))
}

const (
	// failureSamples sets the weight of a new result in the average: 1/failureSamples.
	failureSamples = 8
	// failureHalfLife is the time in which the rate falls by half while a server gets no reads.
	failureHalfLife = time.Second
	// toleratedFailures is the rate up to which failures cost nothing: a single lost connection
	// says nothing of the server.
	toleratedFailures = 0.25
	// failurePenalty is added to the cost of a server at which every read fails; a server at
	// which a part of them fails gets a part of it.
	failurePenalty = 250 * time.Millisecond
)

// FailureRate is the rate at which a server has failed reads of late. The zero value is that of a
// server without any.
type FailureRate struct {
	rate float64
	at   time.Time
}

// Observe records the result of a read.
func (f *FailureRate) Observe(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	f.rate = f.At(now)
	f.rate += (result - f.rate) / failureSamples
	f.at = now
}

// At returns the rate at the given time, from 0 to 1.
func (f FailureRate) At(now time.Time) float64 {
	return f.rate * math.Exp2(-now.Sub(f.at).Seconds()/failureHalfLife.Seconds())
}

// failureCost returns what is added to a server's cost for its failures.
func failureCost(rate float64) time.Duration {
	return time.Duration(max(0, rate-toleratedFailures) / (1 - toleratedFailures) * float64(failurePenalty))
}
