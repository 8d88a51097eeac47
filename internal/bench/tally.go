package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency  = int64(60 * time.Second / time.Microsecond)
	latencyDigits   = 3
	sampleBucket    = 100 * time.Millisecond
	microsPerMillis = 1000.0
)

// tally counts one customer's requests.
type tally struct {
	mu       sync.Mutex
	began    time.Time
	offered  int64
	moved    int64
	outcomes map[Outcome]int64
	reasons  map[string]int64
	latency  *hdrhistogram.Histogram
	kinds    map[string]*KindCount
	// worst is the longest latency of each moment, for the plot.
	worst map[int64]time.Duration
}

// KindCount counts the requests of one kind.
type KindCount struct {
	Asked int64 `json:"asked"`
	Done  int64 `json:"done"`
}

func newTally(began time.Time) *tally {
	return &tally{
		began: began, outcomes: map[Outcome]int64{}, reasons: map[string]int64{},
		kinds:   map[string]*KindCount{},
		latency: hdrhistogram.New(1, longestLatency, latencyDigits), worst: map[int64]time.Duration{},
	}
}

func (t *tally) offer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
}

// reconnect counts a caller that its instance sent away before it ran the request, and that went to another.
func (t *tally) reconnect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved++
}

// note takes in a request that was due and has ended after the given time.
func (t *tally) note(kind string, o Outcome, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[o]++
	if t.kinds[kind] == nil {
		t.kinds[kind] = &KindCount{}
	}
	t.kinds[kind].Asked++
	if o == Acked {
		t.kinds[kind].Done++
	}
	if err != nil {
		t.reasons[reasonOf(err)]++
	}
	if o == Acked {
		_ = t.latency.RecordValue(min(max(took.Microseconds(), 1), longestLatency))
	}
	bucket := int64(time.Since(t.began) / sampleBucket)
	t.worst[bucket] = max(t.worst[bucket], took)
}
