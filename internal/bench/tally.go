package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency is the highest latency that the histogram records, in microseconds; higher
	// ones are recorded as this.
	longestLatency = int64(60 * time.Second / time.Microsecond)
	// latencyDigits is the precision of the histogram, in significant decimal digits.
	latencyDigits = 3
	// sampleBucket is the resolution of the highest latency over time.
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
	// worst is the highest latency in each sampleBucket, for the plot.
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

func (t *tally) countOffered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
}

// countMoved counts a request that an instance refused because it was shutting down and that was
// sent to another instance.
func (t *tally) countMoved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved++
}

// record counts a request that has ended; took is the time since it was due.
func (t *tally) record(kind string, o Outcome, err error, took time.Duration) {
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
		t.reasons[refusalReason(err)]++
	}
	if o == Acked {
		_ = t.latency.RecordValue(min(max(took.Microseconds(), 1), longestLatency))
	}
	bucket := int64(time.Since(t.began) / sampleBucket)
	t.worst[bucket] = max(t.worst[bucket], took)
}
