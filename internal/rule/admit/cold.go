package admit

import "time"

// ColdPart returns the requests a second that one owner may send to a cold server: an equal part for each owner
// that may exist, whether it exists or not.
func ColdPart(perSecond float64, owners int) float64 { return perSecond / float64(max(owners, 1)) }

// ColdLimiter spaces the requests of one owner to a cold server. What it doesn't use is lost, so that as many owners
// as ColdPart counts exceed the rate by at most one request each in any second.
type ColdLimiter struct {
	// next is the time of the next request.
	next time.Time
}

// Wait returns how long a request would have to wait at the given rate.
func (l *ColdLimiter) Wait(now time.Time) time.Duration { return max(l.next.Sub(now), 0) }

// Reserve assigns the next place to a request that may wait for the given time, and returns how long it must wait. If
// that is too long, it assigns none and returns the delay after which to retry.
func (l *ColdLimiter) Reserve(now time.Time, perSecond float64, maxWait time.Duration) (time.Duration, bool) {
	wait := l.Wait(now)
	if wait > maxWait {
		return wait - maxWait, false
	}
	// A very small rate must not overflow the time of the next request.
	l.next = now.Add(wait + time.Duration(min(float64(time.Second)/perSecond, float64(time.Hour))))
	return wait, true
}
