package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget lets a fraction of requests be retried; it is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	ceiling float64
	credit  float64
}

// NewBudget returns a full budget that earns ratio retries per request, up to ceiling.
func NewBudget(ratio, ceiling float64) *Budget {
	return &Budget{ratio: ratio, ceiling: ceiling, credit: ceiling}
}

// Earn adds what one request earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.ceiling, b.credit+b.ratio)
}

// Spend takes one retry out of the budget, or reports that there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Backoff spaces attempts.
type Backoff struct {
	First time.Duration
	Most  time.Duration
}

// After returns the pause before the given retry, counted from 0: it doubles, with full jitter on its second half.
func (b Backoff) After(attempt int, random *rand.Rand) time.Duration {
	pause := b.First << min(attempt, 20)
	if pause <= 0 || pause > b.Most {
		pause = b.Most
	}
	return pause/2 + time.Duration(random.Int64N(int64(pause/2)+1))
}
