package membr

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumseam.dev/pkg/ident"
)

// Member is one instance as the platform lists it.
type Member struct {
	ID      ident.InstanceID
	Center  ident.CenterID
	Address string
	Leaving bool
}

// Config makes a View.
type Config struct {
	Self ident.InstanceID
	// Silence is how long an instance may go unheard by everyone before work moves away from it.
	Silence time.Duration
}

type seen struct {
	listedAt time.Time
	heard    time.Time
	opinions map[ident.InstanceID]time.Time
	leaving  bool
}

// View joins the platform's lagging list with what this instance and its peers
// have heard themselves; it is not safe for concurrent use.
type View struct {
	conf    Config
	members map[ident.InstanceID]Member
	seen    map[ident.InstanceID]*seen
}

// NewView returns an empty view.
func NewView(c Config) *View {
	return &View{conf: c, members: map[ident.InstanceID]Member{}, seen: map[ident.InstanceID]*seen{}}
}

// Listed takes in the platform's list.
func (v *View) Listed(now time.Time, list []Member) {
	listed := map[ident.InstanceID]Member{}
	for _, m := range list {
		listed[m.ID] = m
		if v.seen[m.ID] == nil {
			v.seen[m.ID] = &seen{listedAt: now, opinions: map[ident.InstanceID]time.Time{}}
		}
	}
	for id := range v.seen {
		if _, still := listed[id]; !still {
			delete(v.seen, id)
		}
	}
	v.members = listed
}

// Heard says that an instance answered this one directly.
func (v *View) Heard(now time.Time, id ident.InstanceID) {
	if s := v.seen[id]; s != nil {
		s.heard = now
	}
}

// Leaving says that an instance announced its own departure, ahead of the list.
func (v *View) Leaving(id ident.InstanceID) {
	if s := v.seen[id]; s != nil {
		s.leaving = true
	}
}

// Told takes in how long ago a peer heard an instance.
func (v *View) Told(now time.Time, by, about ident.InstanceID, ago time.Duration) {
	s := v.seen[about]
	if s == nil || by == about {
		return
	}
	s.opinions[by] = now.Add(-ago)
}

// Alive reports whether this instance or any peer has heard the instance of
// late; one bad path alone therefore removes nobody.
func (v *View) Alive(now time.Time, id ident.InstanceID) bool {
	s := v.seen[id]
	if id == v.conf.Self {
		return true
	}
	if s == nil {
		return false
	}
	if v.recent(now, s.heard) || v.recent(now, s.listedAt) {
		return true
	}
	for _, at := range s.opinions {
		if v.recent(now, at) {
			return true
		}
	}
	return false
}

// Reaches reports whether this instance itself has heard the other of late.
func (v *View) Reaches(now time.Time, id ident.InstanceID) bool {
	s := v.seen[id]
	return id == v.conf.Self || s != nil && v.recent(now, s.heard)
}

// HeardAgo returns how long ago this instance heard the other.
func (v *View) HeardAgo(now time.Time, id ident.InstanceID) time.Duration {
	s := v.seen[id]
	if s == nil {
		return time.Hour
	}
	return now.Sub(s.heard)
}

func (v *View) recent(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < v.conf.Silence
}

// Working returns the members that may be given work, in the order of their names.
func (v *View) Working(now time.Time) []Member {
	var working []Member
	for id, m := range v.members {
		if v.Alive(now, id) && !m.Leaving && !v.seen[id].leaving {
			working = append(working, m)
		}
	}
	slices.SortFunc(working, func(a, b Member) int { return compare(a.ID, b.ID) })
	return working
}

// All returns every listed member in the order of their names.
func (v *View) All() []Member {
	var all []Member
	for _, m := range v.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return compare(a.ID, b.ID) })
	return all
}

func compare(a, b ident.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Rank orders members for a subject by rendezvous hashing: each change of
// membership moves only the subjects of the members that changed.
func Rank(subject string, members []Member) []Member {
	type weighed struct {
		member Member
		weight uint64
	}
	all := make([]weighed, 0, len(members))
	for _, m := range members {
		all = append(all, weighed{m, weigh(subject, m.ID)})
	}
	slices.SortFunc(all, func(a, b weighed) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return compare(a.member.ID, b.member.ID)
	})
	ranked := make([]Member, 0, len(all))
	for _, w := range all {
		ranked = append(ranked, w.member)
	}
	return ranked
}

func weigh(subject string, id ident.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Owners returns the instances that hold a group's connections: the first of
// each data centre that hosts a server of the group, or the first of all where
// none of those has an instance left.
func Owners(group ident.GroupID, hosting []ident.CenterID, members Centers) []Member {
	var owners []Member
	for _, center := range hosting {
		if first, ok := First(string(group), members[center]); ok {
			owners = append(owners, first)
		}
	}
	if len(owners) > 0 {
		return owners
	}
	var firsts []Member
	for _, inside := range members {
		if first, ok := First(string(group), inside); ok {
			firsts = append(firsts, first)
		}
	}
	if first, ok := First(string(group), firsts); ok {
		owners = append(owners, first)
	}
	return owners
}

// Centers holds members by data centre.
type Centers map[ident.CenterID][]Member

// ByCenter sorts members by data centre.
func ByCenter(members []Member) Centers {
	sorted := Centers{}
	for _, m := range members {
		sorted[m.Center] = append(sorted[m.Center], m)
	}
	return sorted
}

// First returns the member that Rank would put first; false where there is none.
func First(subject string, members []Member) (Member, bool) {
	best, highest := -1, uint64(0)
	for at := range members {
		w := weigh(subject, members[at].ID)
		if best < 0 || w > highest || w == highest && members[at].ID < members[best].ID {
			best, highest = at, w
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return members[best], true
}

// After returns the members in a ring that begins behind self, so that everybody has others before and behind it.
func After(self ident.InstanceID, members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		wa, wb := weigh("ring", a.ID), weigh("ring", b.ID)
		switch {
		case wa < wb:
			return -1
		case wa > wb:
			return 1
		}
		return compare(a.ID, b.ID)
	})
	at := slices.IndexFunc(sorted, func(m Member) bool { return m.ID == self })
	return append(slices.Clone(sorted[at+1:]), sorted[:at+1]...)
}
