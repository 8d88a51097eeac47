package owner

import (
	"context"
	"net"
	"testing"
	"time"

	"geraniumseam.dev/internal/pgcon"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

// TestSilenceStopsOnlyTheRequestThatWaited lets a write be answered within the
// grace; the next write on the same connection must not be stopped in its place.
func TestSilenceStopsOnlyTheRequestThatWaited(t *testing.T) {
	g, err := dbase.Start(dbase.Config{Group: "g", Servers: []ident.ServerID{"s"}, Slots: 1, Connections: 4, User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Stop()
	conf := pgcon.Config{Server: "s", Address: g.Servers()[0].Addr(), Dialer: &net.Dialer{}, User: "u", Password: "p"}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	waited, err := pgcon.Dial(ctx, conf)
	if err != nil {
		t.Fatal(err)
	}
	answered, err := pgcon.Dial(ctx, conf)
	if err != nil {
		t.Fatal(err)
	}
	p := newPool(conf, 4, 4, time.Now)
	p.begin(waited, false)
	p.begin(answered, false)
	p.silent()
	p.end(answered)
	p.begin(answered, false)
	for end := time.Now().Add(10 * time.Second); waited.Clean(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the write that went on waiting was not stopped")
		}
	}
	time.Sleep(silentGrace / 5)
	if !answered.Clean() {
		t.Fatal("a later write was stopped for an earlier one")
	}
}
