package owner

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// openOn opens a transaction on a connection to a server.
func openOn(t *testing.T, g *Group, s *server, replica bool) *transaction {
	t.Helper()
	got := s.pool.acquire(context.Background(), fair.Flow{Customer: "c"}, 1, 5*time.Second)
	if got.conn == nil {
		t.Fatalf("no connection to %s: %s", s.ID, got.reason)
	}
	got.conn.txStatus = 'T'
	tx := &transaction{server: s, conn: got.conn, replica: replica}
	g.registerTx(tx)
	return tx
}

// TestSessionThatPinsItselfInATransactionKeepsItsConnection: what such a request leaves on the
// connection belongs to the session, also after the COMMIT. The session is pinned on the primary
// only, so that a replica's connection is closed.
func TestSessionThatPinsItselfInATransactionKeepsItsConnection(t *testing.T) {
	for name, replica := range map[string]bool{"primary": false, "replica": true} {
		t.Run(name, func(t *testing.T) {
			d := &scriptedDriver{fakeDriver: newDriver()}
			g := startGroup(t, d, &claimStore{})
			eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
			s := g.allServers()[0]
			if replica {
				s = g.allServers()[1]
			}
			tx := openOn(t, g, s, replica)
			conn := tx.conn
			run := func(end string, kind stmt.Kind, pin bool) Result {
				d.setEnds([]string{end})
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				w := Work{
					Customer: "c", Group: "g", Kind: kind, Pin: pin, Tx: tx.id, Limits: Limits{Run: 5 * time.Second},
					Request: proto.Request{NeverCommits: kind != stmt.Commit},
				}
				return g.Run(ctx, &w, &bufferSink{})
			}
			if r := run("done T", stmt.Pin, true); r.Outcome != fault.Done || r.Tx != tx.id {
				t.Fatalf("a request that pins: %+v", r)
			}
			r := run("done I", stmt.Commit, false)
			if r.Outcome != fault.Done || (r.Tx == tx.id) == replica || (conn.Condition() == proto.Usable) == replica {
				t.Errorf("COMMIT: %+v, connection %s", r, conn.Condition())
			}
		})
	}
}

// TestRefusedRequestThatPinsGivesItsConnectionUp: the server has undone such a request, but not what it
// left on the connection, so that the next try gets another one. Others keep theirs.
func TestRefusedRequestThatPinsGivesItsConnectionUp(t *testing.T) {
	for name, pin := range map[string]bool{"pins": true, "does not pin": false} {
		t.Run(name, func(t *testing.T) {
			d := &scriptedDriver{fakeDriver: newDriver()}
			g := startGroup(t, d, &claimStore{})
			eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
			dialed := func() int {
				d.fakeDriver.mu.Lock()
				defer d.fakeDriver.mu.Unlock()
				return d.dials["c"]
			}
			d.setEnds([]string{"refused-read-only I", "done I"})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			w := Work{
				Customer: "c", Group: "g", Kind: stmt.Pin, Pin: pin, Limits: Limits{Run: 5 * time.Second, QueueWait: 5 * time.Second},
				Request: proto.Request{NeverCommits: true},
			}
			want := 1
			if pin {
				want = 2
			}
			if r := g.Run(ctx, &w, &bufferSink{}); r.Outcome != fault.Done || dialed() != want {
				t.Errorf("%+v after %d connections, want %d", r, dialed(), want)
			}
		})
	}
}

// TestIdleTransactionOfPinnedSessionIsRolledBack: the limit of idle transactions holds for those of
// pinned sessions too, while their connections may be idle outside a transaction.
func TestIdleTransactionOfPinnedSessionIsRolledBack(t *testing.T) {
	g := startGroup(t, newDriver(), &claimStore{})
	eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
	inside, outside := openOn(t, g, g.allServers()[0], false), openOn(t, g, g.allServers()[0], false)
	inside.pinned, outside.pinned, outside.conn.txStatus = true, true, 'I'
	ids := g.idleTxs(clock.Now().Add(2 * g.defaults.Load().IdleTransaction))
	if len(ids) != 1 || ids[0] != inside.id {
		t.Errorf("idle: %x, want %x only", ids, uint64(inside.id))
	}
}

// TestPinnedSessionFollowsItsHomeRegions guards against a pinned session that goes on outside its home regions after these
// have changed, and against an open transaction that ends because of that.
func TestPinnedSessionFollowsItsHomeRegions(t *testing.T) {
	for _, c := range []struct {
		status, region string
		want           fault.Reason
	}{{"I", "elsewhere", fault.TransactionLost}, {"I", "here", fault.None}, {"T", "elsewhere", fault.None}} {
		d := &scriptedDriver{fakeDriver: newDriver()}
		g := startGroup(t, d, &claimStore{})
		eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
		s := g.at("a")
		g.conf.Regions = map[ident.CenterID]string{s.Center: "here"}
		tx := openOn(t, g, s, false)
		tx.pinned, tx.conn.txStatus = true, c.status[0]
		d.setEnds([]string{"done " + c.status})
		r := runKind(g, Work{Kind: stmt.Set, Tx: tx.id, Home: conf.HomeRegions{}.And([]string{c.region}), Request: proto.Request{NeverCommits: true}})
		if r.Reason != c.want || (r.Outcome == fault.NotSent) != (c.want != fault.None) || g.Holds(tx.id) != (c.want == fault.None) {
			t.Errorf("status %s, home region %s: %s %s, held %t, want %s", c.status, c.region, r.Outcome, r.Reason, g.Holds(tx.id), c.want)
		}
	}
}
