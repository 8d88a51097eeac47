package group

import (
	"fmt"
	"testing"

	"geraniumseam.dev/pkg/ident"
)

// TestClaimNumbersRiseWhateverTheStoreCounts guards against a claim whose number is not above an earlier one: revisions of the
// store from 2^40 on counted as later epochs, and epochs from 2^24 on were cut off. A restore of the store loses up to 1,000 claims.
func TestClaimNumbersRiseWhateverTheStoreCounts(t *testing.T) {
	const lost = 1000
	for _, epoch := range []ident.Epoch{0, 1, 1<<24 - 2, 1<<24 - 1, 1 << 24, 1 << 40, 1 << 63} {
		for _, revision := range []ident.Revision{lost + 5, 1 << 32, 1<<40 - 1, 1 << 40, 1<<40 + 2*lost, 1 << 63} {
			t.Run(fmt.Sprintf("%d.%d", epoch, revision), func(t *testing.T) {
				epoch, revision := epoch, revision
				kept, highest := Record{}, uint64(0)
				claim := func(holder ident.InstanceID, v ident.Version) {
					t.Helper()
					r, granted := Claim{Record: Record{Holder: holder, ReplacedTerm: kept.ReplacedTerm + 1}}.Evaluate(kept, v, true)
					if !granted || r.Fence <= highest || r.Claim <= kept.Claim {
						t.Fatalf("%s at %v: claim %d, fence %d, granted %t; want a fence above %d", holder, v, r.Claim, r.Fence, granted, highest)
					}
					kept, highest = r, r.Fence
				}
				for range 3 {
					claim("a", ident.NewVersion(epoch, revision))
					copied := kept
					for n := range ident.Revision(lost) {
						claim(ident.InstanceID(fmt.Sprintf("b%d", n)), ident.NewVersion(epoch, revision+n))
					}
					// The copy is older than the claims.
					kept, epoch, revision = copied, epoch+1, revision-1
					claim("c", ident.NewVersion(epoch, revision))
					again, _ := Claim{Record: Record{Holder: "c", ReplacedTerm: kept.ReplacedTerm + 1}}.Evaluate(kept, ident.NewVersion(epoch, revision+1), true)
					if again.Fence != kept.Fence {
						t.Fatalf("a holder's second claim in an epoch has the fence %d, want the first one's, %d", again.Fence, kept.Fence)
					}
				}
			})
		}
	}
}
