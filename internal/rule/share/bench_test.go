package share

import (
	"testing"
	"time"
	"unsafe"
)

// BenchmarkTake measures taking one token, and reports the size of a customer's bucket.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(0, 0)
	bucket := NewBucket(now, 1e9, 1e9)
	for b.Loop() {
		now = now.Add(time.Microsecond)
		bucket.Take(now, 1)
	}
	b.ReportMetric(float64(unsafe.Sizeof(*bucket)), "bytes/customer")
}
