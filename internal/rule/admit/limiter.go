package admit

import (
	"math"
	"time"
)

const (
	// averageSamples sets the weight of a new sample in a moving average: 1/averageSamples.
	averageSamples = 8
	// maxInFlightPerSlot bounds the statements per slot in flight to a distant server.
	maxInFlightPerSlot = 8
	// decreaseFactor is the fraction of the limit that is kept after the server refused a
	// statement because of overload.
	decreaseFactor = 0.7
	// decreaseInterval is the shortest time between two decreases: refusals that arrive
	// together are one sign of overload.
	decreaseInterval = 100 * time.Millisecond
	// lossFactor is the multiple of the average service time after which a response
	// counts as lost.
	lossFactor = 8
	// minLossTimeout is the shortest time after which a response counts as lost.
	minLossTimeout = 250 * time.Millisecond
)

// Limiter limits how many statements are in flight to one server; the rest wait at the owner,
// which chooses their order. The limit covers the server's slots and the round trip, drops
// when the server refuses a statement and recovers with each response. It is not safe for
// concurrent use.
type Limiter struct {
	slots       float64
	serviceTime time.Duration
	roundTrip   time.Duration
	// limit is the limit after the server's refusals; infinite if it refuses nothing.
	limit        float64
	lastDecrease time.Time
}

// NewLimiter returns a limiter for a server that runs slots statements concurrently.
func NewLimiter(slots int) *Limiter {
	return &Limiter{slots: math.Max(float64(slots), 1), limit: math.Inf(1)}
}

// ObserveRoundTrip records a round trip to the server that needs almost no work there. The
// shortest one is kept, because a longer one has waited for a slot; it grows slowly to follow a
// slower path.
func (l *Limiter) ObserveRoundTrip(d time.Duration) {
	if l.roundTrip == 0 || d < l.roundTrip {
		l.roundTrip = d
		return
	}
	l.roundTrip += l.roundTrip / (averageSamples * averageSamples)
}

// ObserveServiceTime records how long a statement took as seen by the owner.
func (l *Limiter) ObserveServiceTime(d time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = d
	}
	l.serviceTime += (d - l.serviceTime) / averageSamples
	if l.limit += 1 / l.limit; l.limit >= l.maxInFlight() {
		l.limit = math.Inf(1)
	}
}

// ObserveOverload records that the server refused a statement because of overload.
func (l *Limiter) ObserveOverload(now time.Time) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = math.Max(math.Min(l.limit, l.maxInFlight())*decreaseFactor, 1)
}

// Limit returns how many statements may be in flight.
func (l *Limiter) Limit() int {
	if l.limit < l.maxInFlight() {
		return int(l.limit)
	}
	return int(math.Ceil(l.maxInFlight()))
}

// ServiceTime returns the average time that a statement takes, the round trip included; 0 if
// none has run yet.
func (l *Limiter) ServiceTime() time.Duration { return l.serviceTime }

// LossTimeout returns after how long a statement's response counts as lost, so that the
// statement no longer delays others.
func (l *Limiter) LossTimeout() time.Duration { return max(lossFactor*l.serviceTime, minLossTimeout) }

// maxInFlight returns how many statements keep all slots busy, those in transit included.
func (l *Limiter) maxInFlight() float64 {
	if l.serviceTime == 0 {
		return l.slots + 1
	}
	work := max(l.serviceTime-l.roundTrip, l.serviceTime/maxInFlightPerSlot)
	return l.slots * float64(l.serviceTime) / float64(work)
}
