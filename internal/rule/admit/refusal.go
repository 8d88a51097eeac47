package admit

import "time"

// refusalLifetime is how long an instance repeats an owner's refusal without asking again.
const refusalLifetime = 100 * time.Millisecond

// IsImmediate reports whether an owner that has had no usable primary for the time since, and lets work wait as
// PrimaryWait says, refuses it at once because no primary is expected in time.
func IsImmediate(since, wait time.Duration) bool { return since >= outageTolerance && wait <= 0 }

// PrimaryRefusal is an owner's immediate refusal of work that needs a group's primary.
type PrimaryRefusal struct {
	// Arrived is when the refusal arrived.
	Arrived time.Time
	// Expected is when a primary is expected at the earliest.
	Expected time.Time
}

// Repeats reports whether the owner would refuse further work too that may wait up to maxWait, and if so in how
// long a primary is expected. Work that may wait until then is for the owner to decide on.
func (r PrimaryRefusal) Repeats(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	left := r.Expected.Sub(now)
	return left, now.Sub(r.Arrived) < refusalLifetime && left > maxWait
}
