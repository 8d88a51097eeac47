package confs

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// bundleOf returns a bundle of the configuration.
func bundleOf(t *testing.T, c conf.Config, accepted bool) Bundle {
	t.Helper()
	head, pages, err := conf.Split(c)
	if err != nil {
		t.Fatal(err)
	}
	head.Accepted = accepted
	return Bundle{Version: ident.VersionOf(1), Head: head, Pages: pages}
}

// eventCounts returns the values of geraniumseam_events_total by kind.
func eventCounts(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "geraniumseam_events_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			counts[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return counts
}

// TestOnlyOwnConfigurationIsRefusedForAnEntry guards against one entry that keeps a version out of force that the platform has
// accepted, and against one of our own that comes into force with a mistake.
func TestOnlyOwnConfigurationIsRefusedForAnEntry(t *testing.T) {
	c := configWithCustomers(1)
	c.Customers["Moto-Saigon"] = conf.Customer{Rate: 0, Burst: 1, Weight: 1}
	c.Customers["lightweight"] = conf.Customer{Rate: 1, Burst: 1}
	for _, test := range []struct {
		accepted  bool
		customers int
		events    map[string]float64
		evidence  string
	}{
		{true, 2, map[string]float64{"configuration-in-force": 1, "configuration-entry-omitted": 1}, "[customer lightweight] weight"},
		{false, 0, map[string]float64{"configuration-refused": 1}, "[customer Moto-Saigon] name"},
	} {
		registry := prometheus.NewRegistry()
		journal := jrnl.New(jrnl.Config{Capacity: 10, Now: time.Now, Registry: registry})
		var evidence []string
		journal.Subscribe(func(e jrnl.Event) { evidence = append(evidence, e.Evidence) })
		cache := NewCache(journal, time.Now)
		cache.Offer(bundleOf(t, c, test.accepted), "test")
		if got := len(cache.Current().Customers); got != test.customers {
			t.Errorf("accepted %t: %d customers are in force, want %d", test.accepted, got, test.customers)
		}
		if got := eventCounts(t, registry); !maps.Equal(got, test.events) {
			t.Errorf("accepted %t: counted events %v, want %v", test.accepted, got, test.events)
		}
		if text := strings.Join(evidence, "\n"); !strings.Contains(text, test.evidence) {
			t.Errorf("accepted %t: evidence %q, want %q in it", test.accepted, text, test.evidence)
		}
	}
}
