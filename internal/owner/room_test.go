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

// TestIdleConnectionsServeWithoutRoom guards against requests that wait beside idle connections because the customer
// whose turn it is may not open one: an idle connection is exchanged, or serves its own customer.
func TestIdleConnectionsServeWithoutRoom(t *testing.T) {
	for _, c := range []struct {
		reported int
		refusing bool
	}{{66, false}, {71, false}, {66, true}, {71, true}} {
		p := newPool(poolConfig{driver: newDriver(), slots: 2, queue: 4 * maxOutOfTurn, now: clock.Now}, 10)
		p.setRoom(70, 6)
		asked := clock.Now()
		get := func(customer ident.CustomerID, maxWait time.Duration) grant {
			return p.acquire(context.Background(), fair.Flow{Customer: customer}, 1, maxWait)
		}
		p.recordReport(asked, clock.Now(), group.Load{Known: true, Connections: 2})
		held := []grant{get("a", time.Second), get("a", time.Second)}
		p.recordReport(asked, clock.Now(), group.Load{Known: true, Connections: c.reported})
		if c.refusing {
			p.fullUntil = clock.Now().Add(time.Hour)
		}
		const requests = 2 * maxOutOfTurn
		served := make(chan bool, requests+1)
		start := func(customer ident.CustomerID) {
			go func() {
				g := get(customer, 10*time.Second)
				served <- g.conn != nil
				if g.conn != nil {
					p.release(g.conn)
				}
			}()
		}
		waiting := func(n int) func() bool {
			return func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.queue.Len() == n }
		}
		start("b")
		eventually(t, "b waits", waiting(1))
		for range requests {
			start("a")
		}
		eventually(t, "all wait", waiting(requests+1))
		for _, g := range held {
			p.release(g.conn)
		}
		want := requests + 1
		if c.refusing {
			want = requests
		}
		for n := range want {
			select {
			case ok := <-served:
				if !ok {
					t.Fatalf("%+v: a request was refused", c)
				}
			case <-time.After(5 * time.Second):
				t.Fatalf("%+v: %d of %d requests were served", c, n, want)
			}
		}
		p.close()
	}
}

// TestClosedConnectionLeavesRoom guards against a connection that this owner has closed, because it could not be
// reused, but that counts against the owner's next one until the server's next report.
func TestClosedConnectionLeavesRoom(t *testing.T) {
	for _, idle := range []bool{false, true} {
		p := newPool(poolConfig{driver: newDriver(), slots: 2, queue: 8, now: clock.Now}, 10)
		p.setRoom(70, 6)
		get := func() grant {
			return p.acquire(context.Background(), fair.Flow{Customer: "a"}, 1, time.Second)
		}
		asked := clock.Now()
		p.recordReport(asked, clock.Now(), group.Load{Known: true, Connections: 2})
		first := get()
		p.recordReport(clock.Now(), clock.Now(), group.Load{Known: true, Connections: 66})
		if !idle {
			first.conn.retired = true
		}
		p.release(first.conn)
		first.conn.retired = true
		if second := get(); second.conn == nil || second.conn == first.conn {
			t.Errorf("after a connection that ended, idle %t: got %s, want another connection", idle, second.reason)
		}
	}
}
