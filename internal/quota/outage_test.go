package quota

import (
	"context"
	"testing"

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
