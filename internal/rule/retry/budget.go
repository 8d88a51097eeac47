package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a fraction of requests; it is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	ceiling float64
	credit  float64
}

// NewBudget returns a full budget that earns ratio retries per request and holds at most
// ceiling retries.
func NewBudget(ratio, ceiling float64) *Budget {
	return &Budget{ratio: ratio, ceiling: ceiling, credit: ceiling}
}

// Earn credits the budget for one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.ceiling, b.credit+b.ratio)
}

// Spend takes one retry from the budget; false if less than one is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Backoff computes exponentially growing pauses between retries.
type Backoff struct {
	// Initial is the pause before the first retry, before jitter.
	Initial time.Duration
	// Max is the longest pause.
	Max time.Duration
}

// Delay returns the pause before the given retry, counted from 0. The pause doubles with
// each retry up to the longest pause, and its second half is random.
func (b Backoff) Delay(attempt int, random *rand.Rand) time.Duration {
	// The cap on the shift and the check for <= 0 guard against overflow.
	pause := b.Initial << min(attempt, 20)
	if pause <= 0 || pause > b.Max {
		pause = b.Max
	}
	return pause/2 + time.Duration(random.Int64N(int64(pause/2)+1))
}
