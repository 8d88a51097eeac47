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

	"geraniumseam.dev/internal/logs"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/platf"
)

// hangingStore is a store that never answers a request for a list; asked has a value once it has got one for that of
// the instances.
type hangingStore struct {
	plat.Store
	asked chan struct{}
}

func (s *hangingStore) List(ctx context.Context, kind objs.Kind) (objs.List, error) {
	if kind == objs.Instances {
		select {
		case s.asked <- struct{}{}:
		default:
		}
	}
	<-ctx.Done()
	return objs.List{}, ctx.Err()
}

// TestEvacuationIsObeyedWhileStoreHangs guards against an evacuation that an instance knows and does not obey for as long
// as it waits for the list of instances.
func TestEvacuationIsObeyedWhileStoreHangs(t *testing.T) {
	logs.Start(io.Discard, slog.LevelInfo)
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	store := &hangingStore{asked: make(chan struct{}, 1), Store: plat.New(plat.Config{URL: p.URL(), CallTimeout: time.Second, Attempts: 1, Random: rand.New(rand.NewPCG(1, 1))})}
	registry := prometheus.NewRegistry()
	i, err := Start(Config{
		Instance: "only", Center: "here", Callers: listenLocally(t), Peers: listenLocally(t), PeerSecret: "secret", PeerDialer: &net.Dialer{}, Seed: 1,
		Registry: registry, Store: store,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer i.Kill()
	select {
	case <-store.asked:
	case <-time.After(10 * time.Second):
		t.Fatal("the list of instances was not asked for")
	}
	for at, centers := range [][]ident.CenterID{{"b"}, {"b", "c"}} {
		i.configCache.OfferEvacuations(conf.Evacuations{Version: ident.VersionOf(uint64(at + 1)), Centers: centers}, "a peer")
		if got := evacuatedCenters(t, registry); got != len(centers) {
			t.Errorf("%d data centres count as evacuated, want %d", got, len(centers))
		}
	}
}

// evacuatedCenters returns how many data centres an instance does not send work to.
func evacuatedCenters(t *testing.T, r *prometheus.Registry) int {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "geraniumseam_evacuated_centers" {
			return int(f.GetMetric()[0].GetGauge().GetValue())
		}
	}
	t.Fatal("no metric of the evacuated data centres")
	return 0
}
