package owner

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// TestIdleConnectionsGiveWay guards against a request that is refused, or opens a connection over
// the server's limit, while idle connections of other customers could be closed for it.
func TestIdleConnectionsGiveWay(t *testing.T) {
	p := newPool(poolConfig{driver: newDriver(), slots: 8, queue: 8, now: clock.Now, counters: newRoomCounters(nil)}, 10)
	p.setRoom(20, 2)
	get := func(customer ident.CustomerID) grant {
		return p.acquire(context.Background(), fair.Flow{Customer: customer}, 1, time.Second)
	}
	report := func(connections int) {
		now := clock.Now()
		p.recordReport(now, now, group.Load{Known: true, Connections: connections})
	}
	report(2)
	held, idle := get("a"), get("b")
	p.release(idle.conn)
	p.release(held.conn)
	report(20)
	third := get("c")
	if third.conn == nil {
		t.Fatalf("a request was refused with %s beside idle connections of other customers", third.reason)
	}
	if !idle.conn.Conn.(*fakeConn).closed || held.conn.Conn.(*fakeConn).closed || p.open != 2 {
		t.Fatalf("%d connections, want 2 without the least recently used one", p.open)
	}
	p.release(third.conn)
	p.closeIdle()
	report(20)
	if got := get("a"); got.reason != fault.ServerFull || got.evidence == "" {
		t.Fatalf("got %s, evidence %q from a full server without own connections, want server-full at once", got.reason, got.evidence)
	}
}
