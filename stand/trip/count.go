package trip

import "sync/atomic"

// Count is how many times a fault is still to happen; it is safe for concurrent use.
type Count struct{ left atomic.Int64 }

// Store makes the fault happen so many times from now on.
func (c *Count) Store(times int64) { c.left.Store(times) }

// Take reports whether the fault happens now, and counts it down.
func (c *Count) Take() bool {
	for {
		left := c.left.Load()
		if left <= 0 {
			return false
		}
		if c.left.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
