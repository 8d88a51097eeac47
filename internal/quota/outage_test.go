package quota

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// TestLinkedInstanceWritesTheTable guards against leases that expire although a linked instance reaches
// the store: neither the table writer nor the instance itself does.
func TestLinkedInstanceWritesTheTable(t *testing.T) {
	c := newTestCenter(t)
	c.ranking, c.closed, c.linked = []ident.InstanceID{"a"}, true, []ident.InstanceID{"clerk-2"}
	q := c.start("a", true, 100)
	c.await("a holds all shards", func() bool { return q.Held() == share.Shards })
}

// TestHolderWithoutPartIsInconclusive guards against refusals as rate-exceeded at startup: holders that
// have not been granted their parts, of this and of another data centre, say only that they have no tokens.
func TestHolderWithoutPartIsInconclusive(t *testing.T) {
	c := newTestCenter(t)
	c.ranking, c.closed = []ident.InstanceID{"a"}, true
	c.remote = []RemoteHolder{{Instance: "a", Center: "b"}}
	holder := c.start("a", true, 100)
	for _, sameCenter := range []bool{false, true} {
		w := TokenRequest{Customer: "house", Amount: 1, SameCenter: sameCenter}
		if lent := holder.Lend(context.Background(), w); !lent.Inconclusive {
			t.Errorf("same data centre %t: the answer %+v of a holder without a part is conclusive", sameCenter, lent)
		}
	}
	c.rank("dead")
	if reason := take(t, c.start("c", true, 100)); reason != fault.RateUnavailable {
		t.Errorf("refused with %v after a round of inconclusive answers, want rate-unavailable", reason)
	}
}

// beginOfSecond waits until just after a multiple of recheckInterval, when an instance that lacks a shard
// has just requested it again and would do so next after a whole interval.
func beginOfSecond() {
	time.Sleep(untilNext(time.Now(), recheckInterval) + recheckInterval/10)
}

// TestHandoverFollowsTheLink guards against shards that an earlier started instance keeps until its next
// renewal although its successor has been linked.
func TestHandoverFollowsTheLink(t *testing.T) {
	c := newTestCenter(t)
	c.ranking, c.silent["b"] = []ident.InstanceID{"a"}, true
	first, second := c.start("a", true, 100), c.start("b", true, 100)
	c.await("a holds all shards", func() bool { return first.Held() == share.Shards })
	c.rank("b", "a")
	beginOfSecond()
	began := time.Now()
	c.set(func() { c.silent["b"] = false })
	c.await("b holds all shards", func() bool { return second.Held() == share.Shards })
	if took := time.Since(began); took > recheckInterval*3/4 {
		t.Errorf("the handover took %v after the link was open, want less than until the next renewal", took)
	}
}

// TestEnteredRequestIsRepeatedAtOnce guards against a holder that waits for its next renewal when the table has
// entered its request, but the grant got lost and another writer finds the request entered.
func TestEnteredRequestIsRepeatedAtOnce(t *testing.T) {
	c := newTestCenter(t)
	c.ranking, c.losses, c.linked = []ident.InstanceID{"a"}, 1, []ident.InstanceID{"clerk-2"}
	beginOfSecond()
	began := time.Now()
	q := c.start("a", true, 100)
	c.await("a holds all shards", func() bool { return q.Held() == share.Shards })
	if took := time.Since(began); took > recheckInterval*3/4 {
		t.Errorf("the grant took %v, want less than until the next renewal", took)
	}
}
