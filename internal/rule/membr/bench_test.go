package membr

import (
	"fmt"
	"testing"

	"geraniumseam.dev/pkg/ident"
)

// BenchmarkPlacement measures the choice of all groups' owners, as after each change of membership.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ members, centers, groups int }{{7, 3, 3}, {170, 18, 180}, {1700, 18, 1800}} {
		b.Run(fmt.Sprintf("%d-members-%d-groups", size.members, size.groups), func(b *testing.B) {
			var all []Member
			for at := range size.members {
				all = append(all, Member{ID: ident.InstanceID(fmt.Sprintf("instance-%04d", at)), Center: ident.CenterID(fmt.Sprintf("c%d", at%size.centers))})
			}
			for b.Loop() {
				sorted := ByCenter(all)
				for g := range size.groups {
					Owners(ident.GroupID(fmt.Sprintf("group-%d", g)), []ident.CenterID{"c0", "c1", "c2"}, sorted)
				}
			}
		})
	}
}

// BenchmarkRank measures the order of members for one subject: of the whole
// fleet, and of one data centre as relays and clerks are chosen.
func BenchmarkRank(b *testing.B) {
	for _, size := range []int{94, 1700} {
		b.Run(fmt.Sprintf("%d-members", size), func(b *testing.B) {
			all := make([]Member, 0, size)
			for at := range size {
				all = append(all, Member{ID: ident.InstanceID(fmt.Sprintf("instance-%04d", at))})
			}
			for b.Loop() {
				Rank("configuration", all)
			}
		})
	}
}
