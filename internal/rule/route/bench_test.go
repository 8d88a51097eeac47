package route

import (
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// BenchmarkChoose measures the choice among three servers for one read.
func BenchmarkChoose(b *testing.B) {
	servers := []Server{
		{ID: "a", Primary: true, Term: 1, Applied: 10, Usable: true, Slots: 3, Latency: time.Millisecond},
		{ID: "b", Term: 1, Applied: 10, Usable: true, Slots: 3, Latency: 2 * time.Millisecond},
		{ID: "c", Term: 1, Applied: 9, Usable: true, Slots: 3, Latency: 3 * time.Millisecond, CatchUpTime: time.Millisecond},
	}
	r := Request{Floor: ident.Floor{Term: 1, Position: 10}, MaxWait: 20 * time.Millisecond, PrimaryCost: 5 * time.Millisecond}
	for b.Loop() {
		Choose(r, servers)
	}
}
