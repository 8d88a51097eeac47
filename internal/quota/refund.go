package quota

import (
	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// Charge is a token that a request has spent.
type Charge struct {
	account  *account
	customer ident.CustomerID
	taken    share.Charge
}

// Return puts back the token of a request of which nothing was sent to a server, and wakes the requests that
// wait for one. It must be called at most once for a charge.
func (q *Quota) Return(c Charge) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	// A change of the part that the bucket has not seen yet is applied first, so that it takes nothing back.
	q.resize(a, now, c.customer)
	returned := a.bucket.Refund(now, c.taken)
	if returned <= 0 {
		return
	}
	q.counts.returned.Add(float64(returned))
	if a.waiting > 0 {
		close(a.wake)
		a.wake = make(chan struct{})
	}
}
