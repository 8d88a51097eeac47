package admit

import "time"

// queueTenths is how many tenths of its target latency a request may spend in the queue;
// the rest is left for its execution and the response.
const queueTenths = 7

// MaxQueueWait returns the longest time that a request may wait in the queue. A request with a
// target latency waits only as long as it can still be answered within the target.
func MaxQueueWait(target, limit time.Duration) time.Duration {
	if target <= 0 {
		return limit
	}
	return min(limit, target*queueTenths/10)
}

// QueueState is the state of a server's queue at the owner when a request arrives.
type QueueState struct {
	// Ahead is the number of queued requests that are served before the new one.
	Ahead int
	// Running is the number of statements in flight, Limit the most that may be.
	Running int
	Limit   int
	// ServiceTime is the average time that one statement takes.
	ServiceTime time.Duration
	// Correction corrects the estimated wait; nil leaves it as it is.
	Correction *Correction
}

// EstimatedWait estimates how long a request that joins the queue now waits, without the
// correction.
func (s QueueState) EstimatedWait() time.Duration {
	limit := max(s.Limit, 1)
	before := s.Ahead + 1 - (limit - s.Running)
	if before <= 0 {
		return 0
	}
	return time.Duration(before) * s.ServiceTime / time.Duration(limit)
}

// Refuse reports whether a request is refused at once because its expected wait exceeds
// maxWait, and after how long the queue is expected to be short enough for a retry.
func (s QueueState) Refuse(maxWait time.Duration) (retryAfter time.Duration, refused bool) {
	wait := s.EstimatedWait()
	if s.Correction != nil {
		wait = s.Correction.Apply(wait)
	}
	if wait <= maxWait {
		return 0, false
	}
	return max(wait-maxWait, s.ServiceTime), true
}

const (
	// minEstimate is the shortest estimated wait that is compared with the actual one.
	minEstimate = 20 * time.Millisecond
	// minCorrection and maxCorrection bound the correction factor.
	minCorrection = 0.5
	maxCorrection = 6
)

// Correction corrects estimated waits by the average ratio of actual to estimated waits. The
// estimate leaves out later arrivals that are served first, connection handshakes and open
// transactions. The zero value corrects nothing.
type Correction struct{ factor float64 }

// Apply returns the corrected estimate.
func (c *Correction) Apply(wait time.Duration) time.Duration {
	if c.factor == 0 {
		return wait
	}
	return time.Duration(float64(wait) * c.factor)
}

// Add records the time that a request actually waited against its uncorrected estimate.
func (c *Correction) Add(estimate, waited time.Duration) {
	if estimate < minEstimate {
		return
	}
	if c.factor == 0 {
		c.factor = 1
	}
	c.factor += (float64(waited)/float64(estimate) - c.factor) / averageSamples
	c.factor = max(minCorrection, min(c.factor, maxCorrection))
}

// Jitter adds up to a half to a retry delay, so that callers refused at the same time don't
// retry at the same time; random is drawn from 0 to 1.
func Jitter(retryAfter time.Duration, random float64) time.Duration {
	return retryAfter + time.Duration(float64(retryAfter)*random/2)
}
