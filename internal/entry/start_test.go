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

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/logs"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/platf"
)

// slowCollector is refused by a registry, which takes its time for that.
type slowCollector struct{}

// Describe implements prometheus.Collector.
func (slowCollector) Describe(descs chan<- *prometheus.Desc) {
	// More than the registry reads before it excludes other registrations.
	for range 20 {
		descs <- prometheus.NewInvalidDesc(io.EOF)
	}
	time.Sleep(3 * time.Millisecond)
}

// Collect implements prometheus.Collector.
func (slowCollector) Collect(chan<- prometheus.Metric) {}

// slowRegistry returns a registry in which each registration takes some milliseconds.
func slowRegistry(t *testing.T) *prometheus.Registry {
	r, done := prometheus.NewRegistry(), make(chan struct{})
	t.Cleanup(func() { close(done) })
	for range 2 {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = r.Register(slowCollector{})
				}
			}
		}()
	}
	return r
}

// TestPeerRequestsDuringStartAreAnswered: other instances send each kind of query, and heartbeats with a
// newer configuration, from before an instance starts, which takes long. Requests for tokens once met a
// quota that was not set yet.
func TestPeerRequestsDuringStartAreAnswered(t *testing.T) {
	logs.Start(io.Discard, slog.LevelInfo)
	for name, query := range map[string]peer.Message{
		"tokens":   peer.TokensRequest{TokenRequest: quota.TokenRequest{Customer: "c", Amount: 1}},
		"config":   peer.ConfigRequest{},
		"servers":  peer.ServersRequest{},
		"shares":   peer.ShareRequest{},
		"handover": peer.ShareHandover{},
		"members":  peer.MembersRequest{},
		"journal":  peer.JournalRequest{},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := platf.Start("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer p.Stop()
			callers, peers := listenLocally(t), listenLocally(t)
			others := &scriptedOwners{t: t, addresses: map[ident.InstanceID]string{"started": peers.Addr().String()}}
			other := others.startHub("other", jrnl.New(jrnl.Config{Instance: "other", Capacity: 100, Now: time.Now}))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			answered := make(chan bool)
			go func() {
				for ctx.Err() == nil {
					once, cancel := context.WithTimeout(ctx, time.Second)
					reply, err := other.Query(once, "started", query)
					cancel()
					if err == nil && reply != nil {
						answered <- true
						return
					}
				}
				answered <- false
			}()
			i, err := Start(Config{
				Instance: "started", Center: "here", Callers: callers, Peers: peers, PeerSecret: "secret", PeerDialer: &net.Dialer{}, Seed: 1, Registry: slowRegistry(t),
				Store: plat.New(plat.Config{URL: p.URL(), CallTimeout: time.Second, Attempts: 1, Random: rand.New(rand.NewPCG(1, 1))}),
			})
			if err != nil {
				t.Fatal(err)
			}
			defer i.Kill()
			if !<-answered {
				t.Error("the query was not answered")
			}
		})
	}
}

func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
