package admit

import "time"

// queueTenths is how many tenths of its target latency a request may spend in the queue;
// the rest is left for its execution and the response.
const queueTenths = 7

// Patience returns the longest time that a request may wait in the queue. A request with a
// target latency waits only as long as it can still be answered within the target.
func Patience(target, limit time.Duration) time.Duration {
	if target <= 0 {
		return limit
	}
	return min(limit, target*queueTenths/10)
}

// Line is the state of a server's queue at the owner when a request arrives.
type Line struct {
	// Ahead is the number of queued requests that are served before the new one.
	Ahead int
	// Running is the number of statements in flight, Width the most that may be.
	Running int
	Width   int
	// Service is the average time that one statement takes.
	Service time.Duration
	// Bias corrects the estimated wait; nil leaves it as it is.
	Bias *Bias
}

// Wait estimates how long a request that joins the queue now waits, without the correction.
func (l Line) Wait() time.Duration {
	width := max(l.Width, 1)
	before := l.Ahead + 1 - (width - l.Running)
	if before <= 0 {
		return 0
	}
	return time.Duration(before) * l.Service / time.Duration(width)
}

// Refuse reports whether a request is refused at once because its expected wait exceeds
// maxWait, and after how long the queue is expected to be short enough for a retry.
func (l Line) Refuse(maxWait time.Duration) (retryAfter time.Duration, refused bool) {
	wait := l.Wait()
	if l.Bias != nil {
		wait = l.Bias.Apply(wait)
	}
	if wait <= maxWait {
		return 0, false
	}
	return max(wait-maxWait, l.Service), true
}

const (
	// minEstimate is the shortest estimated wait that is compared with the actual one.
	minEstimate = 20 * time.Millisecond
	// minCorrection and maxCorrection bound the correction factor.
	minCorrection = 0.5
	maxCorrection = 6
)

// Bias corrects estimated waits by the average ratio of actual to estimated waits. The
// estimate leaves out later arrivals that are served first, connection handshakes and open
// transactions. The zero value corrects nothing.
type Bias struct{ factor float64 }

// Apply returns the corrected estimate.
func (b *Bias) Apply(wait time.Duration) time.Duration {
	if b.factor == 0 {
		return wait
	}
	return time.Duration(float64(wait) * b.factor)
}

// Learn records the time that a request actually waited against its uncorrected estimate.
func (b *Bias) Learn(estimate, waited time.Duration) {
	if estimate < minEstimate {
		return
	}
	if b.factor == 0 {
		b.factor = 1
	}
	b.factor += (float64(waited)/float64(estimate) - b.factor) / averageSamples
	b.factor = max(minCorrection, min(b.factor, maxCorrection))
}

// Spread adds up to a half to a retry delay, so that callers refused at the same time don't
// retry at the same time; random is drawn from 0 to 1.
func Spread(retryAfter time.Duration, random float64) time.Duration {
	return retryAfter + time.Duration(float64(retryAfter)*random/2)
}
