package entry

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/logs"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/platf"
)

// TestRecordIsToldWithItsAge guards against records that count as younger than they are: one that is told from a copy has
// its age on the wire, and instances of earlier releases, which send no age, get none from a copy.
func TestRecordIsToldWithItsAge(t *testing.T) {
	logs.Start(io.Discard, slog.LevelInfo)
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	callers, peers := listenLocally(t), listenLocally(t)
	others := &scriptedOwners{t: t, addresses: map[ident.InstanceID]string{"answering": peers.Addr().String()}}
	other := others.startHub("other", jrnl.New(jrnl.Config{Instance: "other", Capacity: 100, Now: time.Now}))
	i, err := Start(Config{
		Instance: "answering", Center: "here", Callers: callers, Peers: peers, PeerSecret: "secret", PeerDialer: &net.Dialer{}, Seed: 1, Registry: prometheus.NewRegistry(),
		Store: plat.New(plat.Config{URL: p.URL(), CallTimeout: time.Second, Attempts: 1, Random: rand.New(rand.NewPCG(1, 1))}),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer i.Kill()
	const pause = 200 * time.Millisecond
	for _, c := range []struct{ maxAge, least, most time.Duration }{
		{0, 0, 0},
		{group.SharedRecordAge, pause, group.SharedRecordAge},
		{pause / 2, 0, pause / 2},
		{0, 0, 0},
	} {
		reply, err := peer.QueryFor[peer.RecordResponse](t.Context(), other, "answering", peer.RecordRequest{Group: "g", MaxAge: c.maxAge})
		if err != nil || reply.Age < c.least || reply.Age > c.most {
			t.Errorf("record of at most %v: age %v, %v; want %v to %v", c.maxAge, reply.Age, err, c.least, c.most)
		}
		time.Sleep(pause)
	}
}
