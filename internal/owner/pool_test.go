package owner

import (
	"context"
	"net"
	"testing"
	"time"

	"geraniumseam.dev/internal/pgcon"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

// TestSilentInterruptsOnlyUnansweredWrites: after a connection went silent, a write on
// another one is answered within the grace period. The next write on that connection
// must not be interrupted in place of the earlier one.
func TestSilentInterruptsOnlyUnansweredWrites(t *testing.T) {
	g, err := dbase.Start(dbase.Config{Group: "g", Servers: []ident.ServerID{"s"}, Slots: 1, Connections: 4, User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	driver := &pgcon.Driver{Dialer: &net.Dialer{}, User: "u", Password: "p"}
	target := proto.Target{Server: "s", Address: g.Servers()[0].Addr()}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	dial := func() *pooledConn {
		c, err := driver.Dial(ctx, target)
		if err != nil {
			t.Fatal(err)
		}
		return &pooledConn{Conn: c}
	}
	unanswered := dial()
	answered := dial()
	p := newPool(poolConfig{target: target, driver: driver, slots: 4, queue: 4, now: time.Now}, 4)
	p.begin(unanswered, false)
	p.begin(answered, false)
	p.silent()
	p.end(answered, true)
	p.begin(answered, false)
	for end := time.Now().Add(10 * time.Second); unanswered.Condition() == proto.Usable; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the write that was not answered was not interrupted within 10 s")
		}
	}
	time.Sleep(silentWriteGrace / 5)
	if answered.Condition() != proto.Usable {
		t.Fatal("a later write was interrupted in place of an earlier one that was answered")
	}
}
