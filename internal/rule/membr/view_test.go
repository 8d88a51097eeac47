package membr

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

func members(n int) []Member {
	list := make([]Member, 0, n)
	for at := range n {
		list = append(list, Member{ID: ident.InstanceID(fmt.Sprintf("i%03d", at)), Center: ident.CenterID(fmt.Sprintf("c%d", at%3))})
	}
	return list
}

// TestRendezvousMovesLittle removes one member: only its subjects get another first.
func TestRendezvousMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 20).Draw(t, "members"))
		gone := rapid.SampledFrom(all).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.ID == gone.ID })
		for subject := range 50 {
			name := fmt.Sprint(subject)
			before, after := Rank(name, all)[0], Rank(name, rest)[0]
			if before.ID != gone.ID && before.ID != after.ID {
				t.Fatalf("subject %s moved from %s to %s when %s left", name, before.ID, after.ID, gone.ID)
			}
		}
	})
}

func TestFirstIsRanksFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 30).Draw(t, "members"))
		subject := rapid.String().Draw(t, "subject")
		if first, _ := First(subject, all); first != Rank(subject, all)[0] {
			t.Fatalf("First and Rank differ for %q", subject)
		}
	})
}

func TestOwnersSpread(t *testing.T) {
	counts := map[ident.InstanceID]int{}
	const groups = 1800
	all := members(170)
	sorted := ByCenter(all)
	for g := range groups {
		for _, m := range Owners(ident.GroupID(fmt.Sprint(g)), []ident.CenterID{"c0", "c1", "c2"}, sorted) {
			counts[m.ID]++
		}
	}
	mean := float64(groups*3) / float64(len(all))
	for id, count := range counts {
		if float64(count) > 2*mean {
			t.Errorf("%s owns %d groups, the mean is %.0f", id, count, mean)
		}
	}
}

// TestOneBadPathRemovesNobody hears a member only through a peer.
func TestOneBadPathRemovesNobody(t *testing.T) {
	now := time.Unix(0, 0)
	v := NewView(Config{Self: "i000", Silence: time.Second})
	v.Listed(now, members(3))
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		v.Heard(now, "i001")
		v.Told(now, "i001", "i002", 100*time.Millisecond)
	}
	if !v.Alive(now, "i002") || v.Reaches(now, "i002") {
		t.Fatal("a member that a peer hears must count as alive, and as out of this instance's reach")
	}
	now = now.Add(2 * time.Second)
	v.Heard(now, "i001")
	if v.Alive(now, "i002") {
		t.Fatal("a member that nobody hears must not be given work")
	}
}
