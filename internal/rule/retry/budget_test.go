package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.1, 10)
		requests, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				requests++
				b.Earn()
				continue
			}
			if b.Spend() {
				retries++
			}
		}
		if float64(retries) > 10+0.1*float64(requests)+1e-9 {
			t.Fatalf("%d retries were granted for %d requests", retries, requests)
		}
	})
}

func TestBackoffStaysWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := Backoff{Initial: 10 * time.Millisecond, Max: time.Second}
	for attempt := range 80 {
		pause := b.Delay(attempt, random)
		if pause < b.Initial/2 || pause > b.Max {
			t.Fatalf("retry %d: pause %v is out of bounds", attempt, pause)
		}
	}
}
