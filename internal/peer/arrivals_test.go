package peer

import (
	"testing"

	"pgregory.net/rapid"
)

// TestNumberArrivesOnce: no number is new twice, whatever the order, and one is new the first time it comes unless it is
// far behind. What is remembered stays bounded.
func TestNumberArrivesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		seen := map[uint64]bool{}
		for _, number := range rapid.SliceOf(rapid.Uint64Range(1, 30)).Draw(t, "numbers") {
			if fresh := a.add(number); fresh == seen[number] {
				t.Fatalf("number %d: new is %t, want the opposite", number, fresh)
			}
			seen[number] = true
		}
	})
	var a arrivals
	for number := uint64(2); number < 20*maxGap; number += 2 {
		if !a.add(number) || a.add(number) || len(a.above) > maxGap {
			t.Fatalf("number %d is not new once; %d are remembered", number, len(a.above))
		}
	}
	if a.add(1) {
		t.Error("a number that is far behind counts as new")
	}
	if last := ^uint64(0); !a.add(last) || a.add(last) {
		t.Error("the highest number is not new once")
	}
}
