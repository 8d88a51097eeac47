package admit

import "time"

const (
	// outageTolerance is how long the primary may be unusable before requests are refused
	// for it: a lost poll is repeated within that time.
	outageTolerance = 300 * time.Millisecond
	// failoverTime is how long a failover usually takes, from the first failed request to
	// the first response of the new primary.
	failoverTime = 2500 * time.Millisecond
	// minFailoverLeft is the remaining time that is assumed for a failover that already
	// takes longer than usual.
	minFailoverLeft = 500 * time.Millisecond
)

// PrimaryWait returns how long a request may wait for a primary that has been unusable for the
// time since, and after how long its caller should retry.
func PrimaryWait(since, maxWait time.Duration) (wait, retryAfter time.Duration) {
	retryAfter = max(failoverTime-since, minFailoverLeft)
	if retryAfter <= maxWait {
		return maxWait, retryAfter
	}
	return min(maxWait, max(outageTolerance-since, 0)), retryAfter
}
