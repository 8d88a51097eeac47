package trip

import "sync/atomic"

// Count is the number of times that a fault is still to happen; it is safe for concurrent use.
type Count struct{ remaining atomic.Int64 }

// Store sets the number of times that the fault is to happen.
func (c *Count) Store(times int64) { c.remaining.Store(times) }

// Take reports whether the fault is to happen now, and if so counts down.
func (c *Count) Take() bool {
	for {
		remaining := c.remaining.Load()
		if remaining <= 0 {
			return false
		}
		if c.remaining.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
}
