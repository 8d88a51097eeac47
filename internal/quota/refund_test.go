package quota

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// TestReturnedTokenServesWaitingRequest guards against a returned token that waiting requests don't notice, and
// against one that comes back to an instance that has released its part since.
func TestReturnedTokenServesWaitingRequest(t *testing.T) {
	c := newTestCenter(t)
	c.ranking = []ident.InstanceID{"a"}
	q := c.start("a", true, 0.1)
	c.await("all shards are held", func() bool { return q.Held() == share.Shards })
	a := q.account("house")
	a.mu.Lock()
	a.bucket.Accept(clock.Now(), clock.Now(), 1, time.Hour)
	a.mu.Unlock()
	charge, ok := q.TryTake("house")
	if !ok || took(q) {
		t.Fatal("want exactly one token")
	}
	reasons := make(chan fault.Reason)
	go func() {
		_, reason, _ := q.Take(context.Background(), "house", 20*time.Second)
		reasons <- reason
	}()
	c.await("the request waits", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.waiting == 1 })
	q.Return(charge)
	if reason := <-reasons; reason != fault.None {
		t.Errorf("refused with %v, want the returned token", reason)
	}
	a.mu.Lock()
	a.bucket.Accept(clock.Now(), clock.Now(), 1, time.Hour)
	a.mu.Unlock()
	if charge, ok = q.TryTake("house"); !ok {
		t.Fatal("want one token")
	}
	q.Stop(context.Background())
	if q.Return(charge); took(q) {
		t.Error("a token was returned to a released part")
	}
}
