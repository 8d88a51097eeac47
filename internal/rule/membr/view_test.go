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
	for i := range n {
		list = append(list, Member{ID: ident.InstanceID(fmt.Sprintf("i%03d", i)), Center: ident.CenterID(fmt.Sprintf("c%d", i%3))})
	}
	return list
}

// TestRankMovesOnlyKeysOfRemovedMember removes one member: only the keys that it was ranked
// first for may move.
func TestRankMovesOnlyKeysOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 20).Draw(t, "members"))
		removed := rapid.SampledFrom(all).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.ID == removed.ID })
		for key := range 50 {
			name := fmt.Sprint(key)
			before, after := Rank(name, all)[0], Rank(name, rest)[0]
			if before.ID != removed.ID && before.ID != after.ID {
				t.Fatalf("key %s moved from %s to %s when %s was removed", name, before.ID, after.ID, removed.ID)
			}
		}
	})
}

func TestFirstMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 30).Draw(t, "members"))
		key := rapid.String().Draw(t, "subject")
		if first, _ := First(key, all); first != Rank(key, all)[0] {
			t.Fatalf("First and Rank differ for %q", key)
		}
	})
}

func TestOwnersAreBalanced(t *testing.T) {
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

// fleetModel simulates instances that exchange heartbeats and suspicions over network paths
// that can be cut.
type fleetModel struct {
	now   time.Time
	all   []Member
	views map[ident.InstanceID]*View
	dead  map[ident.InstanceID]bool
	cut   map[[2]ident.InstanceID]bool
}

var testConfig = Config{SuspectTimeout: time.Second, RefreshInterval: 2 * time.Second}

func newFleetModel(n int) *fleetModel {
	f := &fleetModel{now: time.Unix(0, 0), all: members(n), views: map[ident.InstanceID]*View{}, dead: map[ident.InstanceID]bool{}, cut: map[[2]ident.InstanceID]bool{}}
	for _, m := range f.all {
		c := testConfig
		c.Self = m.ID
		f.views[m.ID] = NewView(c, 0)
		f.views[m.ID].SetList(f.now, f.all)
	}
	return f
}

func (f *fleetModel) reaches(a, b ident.InstanceID) bool {
	return !f.dead[a] && !f.dead[b] && !f.cut[[2]ident.InstanceID{a, b}] && !f.cut[[2]ident.InstanceID{b, a}]
}

// run advances the time: heartbeats arrive where the path is open, and suspicions are
// flooded.
func (f *fleetModel) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(250 * time.Millisecond)
		for _, m := range f.all {
			v := f.views[m.ID]
			if f.dead[m.ID] {
				continue
			}
			for _, id := range v.Targets() {
				if f.reaches(m.ID, id) {
					v.RecordContact(f.now, id)
				}
			}
			for _, n := range v.Tick(f.now) {
				f.flood(m.ID, n)
			}
		}
	}
}

func (f *fleetModel) flood(from ident.InstanceID, n Suspicion) {
	for _, m := range f.all {
		if f.reaches(from, m.ID) && f.views[m.ID].ApplySuspicion(f.now, n) {
			f.flood(m.ID, n)
		}
	}
}

// TestOneCutPathExcludesNoInstance cuts one network path: all other instances must still
// see every instance as available.
func TestOneCutPathExcludesNoInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(rapid.IntRange(3, 20).Draw(t, "size"))
		a, b := rapid.SampledFrom(f.all).Draw(t, "a").ID, rapid.SampledFrom(f.all).Draw(t, "b").ID
		f.cut[[2]ident.InstanceID{a, b}] = true
		f.run(8 * time.Second)
		for id, v := range f.views {
			if available := v.Available(f.now); len(available) != len(f.all) && id != a && id != b {
				t.Fatalf("%s sees %d of %d as available", id, len(available), len(f.all))
			}
		}
	})
}

// TestDeadInstanceIsDetected kills one instance: within 2 s no other instance assigns work
// to it and all others are still assigned work; once it is back, it is assigned work again.
func TestDeadInstanceIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(rapid.IntRange(3, 40).Draw(t, "size"))
		f.run(time.Second)
		dead := rapid.SampledFrom(f.all).Draw(t, "dead").ID
		f.dead[dead] = true
		f.run(2 * time.Second)
		f.expectAvailable(t, len(f.all)-1, dead)
		f.dead[dead] = false
		f.run(2 * time.Second)
		f.expectAvailable(t, len(f.all), dead)
	})
}

func (f *fleetModel) expectAvailable(t *rapid.T, want int, except ident.InstanceID) {
	for id, v := range f.views {
		if available := v.Available(f.now); len(available) != want && id != except {
			t.Fatalf("%s sees %d as available, want %d", id, len(available), want)
		}
	}
}

// TestIsolatedCenterDetectsDeadInstance cuts a data centre off and kills one of its
// instances: the rest of the data centre must detect this without votes from outside.
func TestIsolatedCenterDetectsDeadInstance(t *testing.T) {
	f := newFleetModel(7)
	for _, a := range f.all {
		for _, b := range f.all {
			if (a.Center == "c0") != (b.Center == "c0") {
				f.cut[[2]ident.InstanceID{a.ID, b.ID}] = true
			}
		}
	}
	f.dead["i003"] = true
	f.run(4 * time.Second)
	if f.views["i000"].Alive(f.now, "i003") {
		t.Fatal("the isolated data centre still sees its dead instance as alive")
	}
	if !f.views["i000"].Alive(f.now, "i006") {
		t.Fatal("the isolated data centre sees its live instance as dead")
	}
}

// TestRestartedInstanceIsAvailable guards against departure announcements that outlive a
// restart: after a rolling restart under the same names, each instance excluded all others.
func TestRestartedInstanceIsAvailable(t *testing.T) {
	v := NewView(Config{Self: "i000", SuspectTimeout: time.Second, RefreshInterval: time.Second}, 0)
	now := time.Unix(1000, 0)
	v.SetList(now, members(3))
	v.SetLeaving("i001", true)
	if len(v.Available(now)) != 2 {
		t.Fatalf("a leaving instance is assigned work: %v", v.Available(now))
	}
	v.SetLeaving("i001", false)
	if len(v.Available(now)) != 3 {
		t.Fatalf("a restarted instance is not assigned work: %v", v.Available(now))
	}
}

// TestRestartIsNoticedWithoutALink guards against departure announcements that outlive a restart
// at instances that have no link to the new process: they chose other owners and holders than the
// rest of the fleet for good.
func TestRestartIsNoticedWithoutALink(t *testing.T) {
	c := Config{Self: "i000", SuspectTimeout: time.Second, RefreshInterval: 2 * time.Second}
	v := NewView(c, 0)
	now := time.Unix(1000, 0)
	v.SetList(now, members(3))
	v.SetLeaving("i001", true)
	if later := now.Add(time.Hour); len(v.Available(later)) != 2 {
		t.Fatalf("an instance that leaves for an hour is assigned work: %v", v.Available(later))
	}
	v.RecordDisconnect(now, "i001")
	if just := now.Add(c.RefreshInterval - time.Millisecond); len(v.Available(just)) != 2 {
		t.Fatalf("an instance that has just left is assigned work: %v", v.Available(just))
	}
	now = now.Add(c.RefreshInterval)
	if len(v.Available(now)) != 3 {
		t.Fatalf("a restarted instance is not assigned work: %v", v.Available(now))
	}
	v.RecordContact(now, "i001")
	if len(v.Available(now)) != 2 {
		t.Fatalf("an instance that is still leaving is assigned work: %v", v.Available(now))
	}
}

// TestVotesCountAfterARestartWithAnEarlierClock guards against observers whose votes are ignored for
// good: their reports are numbered from the time of day, which may be earlier after a restart.
func TestVotesCountAfterARestartWithAnEarlierClock(t *testing.T) {
	c := Config{Self: "i000", SuspectTimeout: time.Second, RefreshInterval: 4 * time.Second}
	v := NewView(c, 0)
	now := time.Unix(1000, 0)
	v.SetList(now, members(8))
	observers := v.state["i007"].observers
	vote := func(sequence uint64, silent bool) {
		for _, id := range observers {
			if id != c.Self {
				v.ApplySuspicion(now, Suspicion{Observer: id, Target: "i007", Sequence: sequence, Silent: silent})
			}
		}
	}
	vote(2400, false)
	now = now.Add(time.Second)
	vote(10, true)
	if !v.Alive(now, "i007") {
		t.Fatal("an earlier report that came late counts")
	}
	now = now.Add(expiryRefreshes * c.RefreshInterval)
	vote(11, true)
	if v.Alive(now, "i007") {
		t.Fatal("the reports of restarted observers are ignored")
	}
}

// TestUnreachableAfterLostLink checks that an instance that is not observed counts as
// unreachable after its link ended, until it is heard from or the silence time has passed.
func TestUnreachableAfterLostLink(t *testing.T) {
	now := time.Unix(0, 0)
	v := NewView(Config{Self: "i00", SuspectTimeout: time.Second, RefreshInterval: 4 * time.Second}, 0)
	var all []Member
	for at := range 30 {
		all = append(all, Member{ID: ident.InstanceID(fmt.Sprintf("i%02d", at)), Center: "a"})
	}
	v.SetList(now, all)
	at := slices.IndexFunc(all, func(m Member) bool { return m.ID != "i00" && !v.IsNeighbour(m.ID) })
	unobserved := all[at].ID
	if !v.Reachable(now, unobserved) {
		t.Fatal("an instance that never lost its link is unreachable")
	}
	v.RecordDisconnect(now, unobserved)
	if v.Reachable(now.Add(500*time.Millisecond), unobserved) {
		t.Error("reachable although its link has just ended")
	}
	if !v.RecordContact(now.Add(600*time.Millisecond), unobserved) || !v.Reachable(now.Add(600*time.Millisecond), unobserved) {
		t.Error("unreachable although it was heard from")
	}
	v.RecordDisconnect(now.Add(time.Second), unobserved)
	if !v.Reachable(now.Add(2*time.Second), unobserved) {
		t.Error("still unreachable once the silence time has passed")
	}
}
