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

// TestConflictIsRetriedSoon guards against holders that get their parts a second late after a restart of all
// because they wrote the table themselves, before a link to its writer was open, and lost against others.
func TestConflictIsRetriedSoon(t *testing.T) {
	c := newTestCenter(t)
	c.ranking, c.closed, c.store = []ident.InstanceID{"a"}, true, contendedStore{}
	if delay := c.start("a", true, 100).renewOnce(); delay > 2*batchWindow {
		t.Errorf("next request %v after a conflict, want at most %v", delay, 2*batchWindow)
	}
}

// TestRestartedHolderHasTokensSinceItsStart guards against rates that are lost after a restart while the holder
// waits for its grant: its entry in the table has kept the part for it all the time.
func TestRestartedHolderHasTokensSinceItsStart(t *testing.T) {
	const rate = 100
	c := newTestCenter(t)
	c.ranking, c.lease = []ident.InstanceID{"a"}, 2*time.Second
	killed := c.start("a", true, rate)
	shard := share.ShardOf("house")
	c.await("a has renewed its lease", func() bool {
		return c.met(func() bool { return c.table.Centers["a"][shard]["a"].Proven == share.Whole })
	})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	killed.Stop(ended)
	c.set(func() { c.closed = true })
	restarted := c.start("a", true, rate)
	const away = 700 * time.Millisecond
	time.Sleep(away)
	c.set(func() { c.closed = false })
	restarted.CheckShards()
	c.await("a holds its shards again", func() bool { return restarted.Held() == share.Shards })
	spent := 0.0
	for took(restarted) {
		spent++
	}
	if least := rate * ((away - loanTTL) / 2).Seconds(); spent < least {
		t.Errorf("%v tokens at once, want at least %v that accrued since the start", spent, least)
	}
	if most := rate * (clock.Since(restarted.started) - loanTTL).Seconds(); spent > most {
		t.Errorf("%v tokens at once, want at most %v", spent, most)
	}
}
