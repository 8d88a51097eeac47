package membr

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

func membersOfWeights(weights ...ident.Millicores) []Member {
	var members []Member
	for i, w := range weights {
		members = append(members, Member{ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Weight: w})
	}
	return members
}

func TestHighCapacity(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights []ident.Millicores
		want    int
	}{
		{"equal weights", []ident.Millicores{400, 400, 400}, 3},
		{"three high-capacity members among weak ones", append([]ident.Millicores{800, 800, 800}, weightsOf192(30)...), 3},
		{"a single high-capacity member is not enough", append([]ident.Millicores{800}, weightsOf192(3)...), 4},
		{"two high-capacity members have too little of the total", append([]ident.Millicores{800, 800}, weightsOf192(100)...), 102},
		{"unknown weights", []ident.Millicores{0, 0}, 2},
		{"a single member", []ident.Millicores{192}, 1},
	} {
		if got := highCapacityMembers(membersOfWeights(c.weights...)); len(got) != c.want {
			t.Errorf("%s: %d high-capacity members, want %d", c.name, len(got), c.want)
		}
	}
}

func weightsOf192(count int) []ident.Millicores {
	weights := make([]ident.Millicores, count)
	for i := range weights {
		weights[i] = 192
	}
	return weights
}

// TestHighCapacityKeepsEnoughMembers checks that no choice leaves a data centre without a member,
// or with only one where it has several.
func TestHighCapacityKeepsEnoughMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := membersOfWeights(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ident.Millicores {
			return ident.Millicores(rapid.SampledFrom([]int{0, 1, 100, 192, 400, 800, 4000}).Draw(t, "weight"))
		}), 1, 40).Draw(t, "weights")...)
		pool := highCapacityMembers(members)
		if len(pool) == 0 || len(pool) == 1 && len(members) > 1 {
			t.Fatalf("selected %d of %d members, want at least 2, or the only one", len(pool), len(members))
		}
	})
}
