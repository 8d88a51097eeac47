package fleet

import (
	"context"
	"runtime"
	"slices"
	"testing"
	"time"
)

// metricOf returns the value of a gauge or counter of an instance.
func metricOf(t testing.TB, m *Member, name string) float64 {
	t.Helper()
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue() + family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

const (
	// maxNeighbours bounds the instances that observe an instance or are observed by it.
	maxNeighbours = 8
	// maxTokenHolders bounds the instances of its own data centre that an instance requests rate tokens from.
	maxTokenHolders = 8
	// gatewayAndTableWriters is the number of links to the data centre's gateway and to the
	// instances that write the table of rate shares.
	gatewayAndTableWriters = 3
)

// TestPeerLinksStayBounded counts the links between instances in an idle fleet and in one
// three times as large. Only the gateways, one in each data centre, may have more links than
// those to neighbours, to holders of rate tokens, to the gateway and to the table writers.
func TestPeerLinksStayBounded(t *testing.T) {
	for _, size := range []int{18, 54} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		f, err := Start(ctx, Config{Deployment: idleDeployment(size, 3), Seed: 1, DirectDial: true, PlaintextPeers: true})
		if err != nil {
			t.Fatal(err)
		}
		goroutines := runtime.NumGoroutine()
		time.Sleep(2 * time.Second)
		var links []float64
		for _, m := range f.Members() {
			links = append(links, metricOf(t, m, "geraniumseam_peer_links"))
		}
		slices.Sort(links)
		t.Logf("%d instances: links %v, %d goroutines", size, links, goroutines)
		const gateways = 3
		if highest := links[len(links)-1-gateways]; highest > maxNeighbours+maxTokenHolders+gatewayAndTableWriters {
			t.Errorf("%d instances: an instance that is not a gateway has %v links, want at most %d", size, highest, maxNeighbours+maxTokenHolders+gatewayAndTableWriters)
		}
		f.Stop()
		cancel()
	}
}
