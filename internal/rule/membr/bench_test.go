package membr

import (
	"fmt"
	"testing"

	"geraniumseam.dev/pkg/ident"
)

// BenchmarkPlacement measures the assignment of owners to all groups, as done after each
// membership change.
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

// BenchmarkRank measures the ranking of members for one key: in one data centre, as when
// relays and the writers of the share table are chosen, and in the whole fleet.
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
