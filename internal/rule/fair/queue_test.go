package fair

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

func item(customer string, weight float64) *Item {
	return &Item{Flow: Flow{Customer: ident.CustomerID(customer)}, Weight: weight, Deadline: time.Unix(100, 0)}
}

// TestNobodyStarves keeps several flows backlogged, one of them with many more items than the
// others, and checks that each flow gets its weighted share.
func TestNobodyStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(64)
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 5).Draw(t, "weights")
		greedy := rapid.IntRange(0, len(weights)-1).Draw(t, "greedy")
		served := make([]int, len(weights))
		total := 0
		for _, w := range weights {
			total += w
		}
		rounds := 40 * total
		for range rounds {
			for at, w := range weights {
				pushes := 1
				if at == greedy {
					pushes = 5
				}
				for range pushes {
					q.Push(item(fmt.Sprint(at), float64(w)))
				}
			}
			next, _ := q.Pop(time.Unix(0, 0))
			var at int
			fmt.Sscan(string(next.Flow.Customer), &at)
			served[at]++
		}
		for at, w := range weights {
			want := rounds * w / total
			if served[at] < want*9/10-2 {
				t.Fatalf("flow %d of weights %v was served %d items, its weighted share is %d", at, weights, served[at], want)
			}
		}
	})
}

// TestBoundAndOwnership checks that the queue stays bounded and that every item comes out at
// most once: popped, dropped, expired or removed.
func TestBoundAndOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(8)
		in, out := map[*Item]bool{}, map[*Item]bool{}
		takeOut := func(it *Item) {
			if it == nil {
				return
			}
			if !in[it] || out[it] {
				t.Fatalf("item came out twice or was never pushed")
			}
			out[it] = true
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), 1)
				it.Deadline = time.Unix(int64(rapid.IntRange(0, 10).Draw(t, "deadline")), 0)
				in[it] = true
				takeOut(q.Push(it))
			case 2:
				next, expired := q.Pop(time.Unix(5, 0))
				takeOut(next)
				for _, it := range expired {
					takeOut(it)
				}
			case 3:
				for it := range in {
					if !out[it] && q.Remove(it) {
						takeOut(it)
						break
					}
				}
			}
			if q.Len() > 8 || q.Len() != len(in)-len(out) {
				t.Fatalf("queue has %d items after %d were pushed and %d came out, capacity 8", q.Len(), len(in), len(out))
			}
		}
	})
}

// TestDropsItemOfGreedyCustomer fills the queue with items of one customer and checks that an
// item of another one still gets in.
func TestDropsItemOfGreedyCustomer(t *testing.T) {
	q := NewQueue(4)
	for range 4 {
		q.Push(item("greedy", 1))
	}
	dropped := q.Push(item("modest", 1))
	if dropped == nil || dropped.Flow.Customer != "greedy" {
		t.Fatalf("dropped %+v, want an item of the greedy customer", dropped)
	}
}
