package share

import (
	"testing"
	"time"
)

// TestRefund guards against a refund that makes more tokens than were there: above the burst, from borrowed
// tokens that have expired or get a new lifetime, and in a bucket whose part has gone elsewhere meanwhile.
func TestRefund(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		// own and borrowed are the tokens before five of them are charged; borrowed ones expire at 200 ms.
		own, borrowed Tokens
		between       func(b *Bucket)
		refundAt      int
		// refunded are put back, and left remain at 250 ms.
		refunded, left Tokens
	}{
		{"own tokens", 5, 0, nil, 100, 5, 5},
		{"own tokens up to the burst", 10, 0, func(b *Bucket) { b.Add(at(50), 3) }, 100, 2, 10},
		{"own tokens in whose place others were spent", 10, 0, func(b *Bucket) { b.Add(at(50), 5); b.Take(at(60), 5) }, 100, 0, 5},
		{"own tokens in whose place some accrued", 7, 0, func(b *Bucket) { b.Add(at(50), 6); b.Take(at(60), 5) }, 100, 2, 5},
		{"room of lent tokens stays reserved", 10, 0, func(b *Bucket) { b.LendOwn(at(100), 5, 200*time.Millisecond) }, 100, 5, 5},
		{"borrowed tokens", 0, 5, nil, 100, 5, 0},
		{"borrowed tokens that have expired", 2, 3, nil, 200, 2, 2},
		{"drained", 5, 0, func(b *Bucket) { b.Drain(at(50)) }, 100, 0, 0},
		{"the lease has ended", 5, 0, func(b *Bucket) { b.Hold(at(50), 0, 10, Holding{}, 0) }, 100, 0, 0},
		{"the lease has ended and another has begun", 5, 0, func(b *Bucket) {
			b.Hold(at(50), 0, 10, Holding{}, 0)
			b.Hold(at(60), 0, 10, Holding{Part: Whole, LeaseEnd: at(1000), GraceEnd: at(1000), Tenure: 2}, 0)
		}, 100, 0, 0},
		{"a part of the rate is left", 5, 0, func(b *Bucket) {
			b.Hold(at(50), 0, 10, Holding{Part: Whole / 2, LeaseEnd: at(1000), GraceEnd: at(1000), Tenure: 2}, 0)
		}, 100, 0, 0},
	} {
		b := NewBucket(start, 0, 10)
		b.Add(start, c.own)
		b.Accept(start, start, c.borrowed, 200*time.Millisecond)
		charge, ok := b.Charge(start, 5)
		if !ok {
			t.Fatalf("%s: not charged", c.name)
		}
		if c.between != nil {
			c.between(b)
		}
		before := b.Available(at(c.refundAt))
		if got := b.Refund(at(c.refundAt), charge); got != c.refunded || b.Available(at(c.refundAt)) != before+got {
			t.Errorf("%s: refunded %v, want %v", c.name, got, c.refunded)
		}
		if left := b.Available(at(250)); left != c.left {
			t.Errorf("%s: %v tokens remain, want %v", c.name, left, c.left)
		}
	}
}
