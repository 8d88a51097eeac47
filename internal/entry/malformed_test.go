package entry

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/inifl"
	"geraniumseam.dev/internal/logs"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/pgcon"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/platf"
)

// messages are generators of the messages of peers, with any content that their types allow.
var messages = map[string]*rapid.Generator[peer.Message]{
	"heartbeat":    anyMessage[peer.Heartbeat](),
	"server":       anyMessage[peer.ServerReport](),
	"tokens":       anyMessage[peer.TokensRequest](),
	"config":       anyMessage[peer.ConfigRequest](),
	"servers":      anyMessage[peer.ServersRequest](),
	"shares":       anyMessage[peer.ShareRequest](),
	"handover":     anyMessage[peer.ShareHandover](),
	"members":      anyMessage[peer.MembersRequest](),
	"record":       anyMessage[peer.RecordRequest](),
	"suspicion":    anyMessage[peer.SuspicionReport](),
	"cancel":       anyMessage[peer.RemoteCancel](),
	"rollback":     anyMessage[peer.TxRollback](),
	"config-reply": anyMessage[peer.ConfigResponse](),
	"hello":        anyMessage[peer.Hello](),
}

func anyMessage[M peer.Message]() *rapid.Generator[peer.Message] {
	return rapid.Map(rapid.Make[M](), func(m M) peer.Message { return m })
}

type discard struct{}

func (discard) Emit([]byte) error { return nil }

// TestMalformedPeerMessagesEndNoInstance guards against a message of a peer that takes the whole process down.
func TestMalformedPeerMessagesEndNoInstance(t *testing.T) {
	logs.Start(io.Discard, slog.LevelInfo)
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	store := plat.New(plat.Config{URL: p.URL(), CallTimeout: time.Second, Attempts: 1, Random: rand.New(rand.NewPCG(1, 1))})
	f, err := inifl.Parse("test.ini", []byte("[center here]\npart = 1\n[customer c]\nrate = 10/s\nburst = 10\n"+
		"[group g]\nservers = s1@here/127.0.0.1:1, s2@here/127.0.0.1:2\nconnections = 2\nslots = 2\n[service s]\ngroup = g\n"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := inifl.ReadConfig(f)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := confs.Apply(t.Context(), store, c, ident.Version{}, "ops", "test"); err != nil {
		t.Fatal(err)
	}
	i, err := Start(Config{
		Instance: "started", Center: "here", Callers: listenLocally(t), Peers: listenLocally(t), PeerSecret: "secret", PeerDialer: &net.Dialer{}, Seed: 1,
		Store: store, Backends: &pgcon.Driver{Dialer: &net.Dialer{}}, Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer i.Kill()
	for _, known := i.configCache.Current().Customers["c"]; !known; _, known = i.configCache.Current().Customers["c"] {
		time.Sleep(time.Millisecond)
	}
	h := (*handler)(i)
	for name, generator := range messages {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := generator.Draw(t, "message")
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
				defer cancel()
				h.HandleNotification("other", m)
				_ = h.HandleQuery(ctx, "other", m)
			})
		})
	}
	t.Run("work", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			w := rapid.Make[owner.Work]().Draw(t, "work")
			if rapid.Bool().Draw(t, "known") {
				w.Group, w.Route, w.Customer = "g", "s", "c"
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			defer cancel()
			_ = h.Work(ctx, ident.InstanceID("other"), &w, proto.Sink(discard{}))
		})
	})
}
