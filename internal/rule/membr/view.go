package membr

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumseam.dev/pkg/ident"
)

// Member is one instance as the platform lists it.
type Member struct {
	ID      ident.InstanceID `cbor:"1,keyasint"`
	Center  ident.CenterID   `cbor:"2,keyasint"`
	Address string           `cbor:"3,keyasint"`
	Leaving bool             `cbor:"4,keyasint,omitempty"`
	// Weight is the processor capacity of the instance; 0 means unknown.
	Weight ident.Millicores `cbor:"5,keyasint,omitempty"`
}

// Config configures a View.
type Config struct {
	Self ident.InstanceID
	// SuspectTimeout is how long an observed instance may send nothing before it is suspected.
	SuspectTimeout time.Duration
	// RefreshInterval is how often a lasting suspicion is sent again; it expires three intervals
	// after the last report.
	RefreshInterval time.Duration
}

const (
	// localObservers is how many instances of its own data centre observe each instance.
	localObservers = 4
	// minObservers is the minimum number of observers; where the own data centre has too
	// few, instances of other data centres make up the number.
	minObservers = 3
	// expiryRefreshes is the number of refresh intervals without a report after which a
	// suspicion expires.
	expiryRefreshes = 3
)

// Suspicion reports that an instance no longer hears from an instance that it observes,
// or hears from it again.
type Suspicion struct {
	Observer ident.InstanceID `cbor:"1,keyasint"`
	Target   ident.InstanceID `cbor:"2,keyasint"`
	// Sequence increases with each report of Observer about Target, in one run of Observer.
	Sequence uint64 `cbor:"3,keyasint"`
	Silent   bool   `cbor:"4,keyasint,omitempty"`
}

// vote is the latest report of an observer about an instance.
type vote struct {
	sequence   uint64
	silent     bool
	receivedAt time.Time
}

// state is what a View knows about one listed instance.
type state struct {
	listedAt  time.Time
	lastHeard time.Time
	// linkLostAt is when the link to the instance ended; zero once it was heard from again.
	linkLostAt time.Time
	leaving    bool
	// lastReport and silent are the time and the content of this instance's own
	// last report.
	lastReport time.Time
	silent     bool
	votes      map[ident.InstanceID]vote
	observers  []ident.InstanceID
}

// View combines the platform's list of instances, which lags behind, with failure
// detection between the instances.
//
// Each instance is observed by a few others. A listed instance counts as alive until more
// than half of its observers suspect it, so a single broken network path excludes no
// instance, and no report is sent while all is well. A View is not safe for concurrent use.
type View struct {
	conf     Config
	members  map[ident.InstanceID]Member
	state    map[ident.InstanceID]*state
	targets  []ident.InstanceID
	sequence uint64
}

// NewView returns an empty view; its suspicions are numbered from lastSequence+1.
func NewView(c Config, lastSequence uint64) *View {
	return &View{conf: c, members: map[ident.InstanceID]Member{}, state: map[ident.InstanceID]*state{}, sequence: lastSequence}
}

// SetList replaces the member list by the platform's current one.
func (v *View) SetList(now time.Time, list []Member) {
	listed := map[ident.InstanceID]Member{}
	for _, m := range list {
		listed[m.ID] = m
		if v.state[m.ID] == nil {
			v.state[m.ID] = &state{listedAt: now, votes: map[ident.InstanceID]vote{}}
		}
	}
	for id := range v.state {
		if _, still := listed[id]; !still {
			delete(v.state, id)
		}
	}
	v.members = listed
	v.assignObservers()
}

// assignObservers determines which instances observe which. The result depends only on the
// list, so instances with the same list agree.
func (v *View) assignObservers() {
	ring := Ring(v.All())
	v.targets = nil
	for i, m := range ring {
		s := v.state[m.ID]
		s.observers = observersOf(ring, i)
		if slices.Contains(s.observers, v.conf.Self) {
			v.targets = append(v.targets, m.ID)
		}
	}
}

// observersOf returns the observers of the member at an index of the ring: the nearest
// members before it.
func observersOf(ring []Member, index int) []ident.InstanceID {
	var local, remote []ident.InstanceID
	for distance := 1; distance < len(ring); distance++ {
		m := ring[(index-distance+len(ring))%len(ring)]
		switch {
		case m.Center == ring[index].Center && len(local) < localObservers:
			local = append(local, m.ID)
		case m.Center != ring[index].Center && len(remote) < minObservers:
			remote = append(remote, m.ID)
		}
		if len(local) == localObservers {
			break
		}
	}
	missing := max(0, min(minObservers-len(local), len(remote)))
	return append(local, remote[:missing]...)
}

// IsNeighbour reports whether this instance observes another one or is observed by it.
func (v *View) IsNeighbour(id ident.InstanceID) bool {
	self := v.state[v.conf.Self]
	return slices.Contains(v.targets, id) || self != nil && slices.Contains(self.observers, id)
}

// Targets returns the instances that this one observes.
func (v *View) Targets() []ident.InstanceID { return v.targets }

// RecordContact records that a message arrived directly from an instance. It reports whether the
// instance was unreachable before.
func (v *View) RecordContact(now time.Time, id ident.InstanceID) bool {
	s := v.state[id]
	if s == nil {
		return false
	}
	reachable := v.Reachable(now, id)
	s.lastHeard, s.linkLostAt = now, time.Time{}
	return !reachable
}

// IsListed reports whether an instance is listed.
func (v *View) IsListed(id ident.InstanceID) bool { return v.state[id] != nil }

// RecordDisconnect records that the link to an instance ended.
func (v *View) RecordDisconnect(now time.Time, id ident.InstanceID) {
	if s := v.state[id]; s != nil {
		s.linkLostAt = now
	}
}

// SetLeaving records whether an instance has announced that it shuts down, before the list
// shows it; an instance restarted under the same name withdraws the announcement. It
// reports whether this is a change.
func (v *View) SetLeaving(id ident.InstanceID, leaving bool) bool {
	s := v.state[id]
	if s == nil || s.leaving == leaving {
		return false
	}
	s.leaving = leaving
	return true
}

// Tick returns the suspicions that are due to be sent to the other instances.
func (v *View) Tick(now time.Time) []Suspicion {
	var due []Suspicion
	for _, id := range v.targets {
		s := v.state[id]
		silent := v.silent(now, s)
		if silent == s.silent && (!silent || now.Sub(s.lastReport) < v.conf.RefreshInterval) {
			continue
		}
		s.silent, s.lastReport = silent, now
		v.sequence++
		s.votes[v.conf.Self] = vote{sequence: v.sequence, silent: silent, receivedAt: now}
		due = append(due, Suspicion{Observer: v.conf.Self, Target: id, Sequence: v.sequence, Silent: silent})
	}
	return due
}

// silent reports whether nothing arrived from an instance for the silence time, counted
// from when it was listed at the earliest.
func (v *View) silent(now time.Time, s *state) bool {
	last := s.lastHeard
	if last.Before(s.listedAt) {
		last = s.listedAt
	}
	return now.Sub(last) >= v.conf.SuspectTimeout
}

// ApplySuspicion applies a suspicion from another instance and reports whether it is new and has to
// be passed on.
func (v *View) ApplySuspicion(now time.Time, n Suspicion) bool {
	s := v.state[n.Target]
	if s == nil || n.Observer == v.conf.Self || !slices.Contains(s.observers, n.Observer) {
		return false
	}
	// An observer that has restarted may number its reports from an earlier time of day; an expired
	// one no longer holds against it.
	if held := s.votes[n.Observer]; n.Sequence <= held.sequence && !v.expired(now, held) {
		return false
	}
	s.votes[n.Observer] = vote{sequence: n.Sequence, silent: n.Silent, receivedAt: now}
	return true
}

// Alive reports whether a listed instance counts as alive. Observers that this instance
// itself suspects have no vote; if none is left, this instance's own observation decides.
func (v *View) Alive(now time.Time, id ident.InstanceID) bool {
	s := v.state[id]
	if id == v.conf.Self {
		return true
	}
	if s == nil {
		return false
	}
	voters, suspecting := 0, 0
	for _, by := range s.observers {
		if v.suspects(now, by) {
			continue
		}
		voters++
		if vote := s.votes[by]; vote.silent && !v.expired(now, vote) {
			suspecting++
		}
	}
	return suspecting*2 <= voters || voters == 0 && !v.suspects(now, id)
}

// expired reports whether a report is too old to count.
func (v *View) expired(now time.Time, held vote) bool {
	return now.Sub(held.receivedAt) >= expiryRefreshes*v.conf.RefreshInterval
}

// suspects reports whether this instance itself observes another one and suspects it.
func (v *View) suspects(now time.Time, id ident.InstanceID) bool {
	s := v.state[id]
	return s != nil && id != v.conf.Self && s.silent && slices.Contains(s.observers, v.conf.Self) && v.silent(now, s)
}

// Reachable reports whether an instance is presumed reachable directly: an observed instance
// if it was heard from within the silence time, or was never heard from and is not
// suspected; any other one unless the link to it ended within that time.
func (v *View) Reachable(now time.Time, id ident.InstanceID) bool {
	s := v.state[id]
	if s == nil || id == v.conf.Self {
		return id == v.conf.Self
	}
	if slices.Contains(v.targets, id) {
		return now.Sub(s.lastHeard) < v.conf.SuspectTimeout || s.lastHeard.IsZero() && !v.suspects(now, id)
	}
	return s.linkLostAt.IsZero() || now.Sub(s.linkLostAt) >= v.conf.SuspectTimeout
}

// leaving reports whether an announcement to shut down holds. Once the link has ended it holds
// only until all observers would have reported the loss: the list may never show that an instance
// was restarted under the same name, and nobody opens a link to one that is taken to be leaving.
func (v *View) leaving(now time.Time, s *state) bool {
	return s.leaving && (s.linkLostAt.IsZero() || now.Sub(s.linkLostAt) < v.conf.RefreshInterval)
}

// Available returns the members that work may be assigned to, sorted by name: those alive
// and not shutting down.
func (v *View) Available(now time.Time) []Member {
	var available []Member
	for id, m := range v.members {
		if !m.Leaving && !v.leaving(now, v.state[id]) && v.Alive(now, id) {
			available = append(available, m)
		}
	}
	slices.SortFunc(available, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return available
}

// All returns every listed member, sorted by name.
func (v *View) All() []Member {
	var all []Member
	for _, m := range v.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return all
}

func compareIDs(a, b ident.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Rank orders members for a key by rendezvous hashing: a membership change moves only the
// keys of the members that joined or left.
func Rank(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{m, hashScore(key, m.ID)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return compareIDs(a.member.ID, b.member.ID)
	})
	ranked := make([]Member, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// hashScore returns the score of a member for a key in rendezvous hashing.
func hashScore(key string, id ident.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Owners returns the instances that hold a group's connections: the highest-ranked one of
// each data centre that hosts a server of the group, or the highest-ranked one of all
// where none of those data centres has an instance.
func Owners(group ident.GroupID, centers []ident.CenterID, members Centers) []Member {
	var owners []Member
	for _, center := range centers {
		if first, ok := First(string(group), members[center]); ok {
			owners = append(owners, first)
		}
	}
	if len(owners) > 0 {
		return owners
	}
	var candidates []Member
	for _, local := range members {
		if first, ok := First(string(group), local); ok {
			candidates = append(candidates, first)
		}
	}
	if first, ok := First(string(group), candidates); ok {
		owners = append(owners, first)
	}
	return owners
}

// Centers holds members by data centre.
type Centers map[ident.CenterID][]Member

// ByCenter groups members by data centre.
func ByCenter(members []Member) Centers {
	sorted := Centers{}
	for _, m := range members {
		sorted[m.Center] = append(sorted[m.Center], m)
	}
	return sorted
}

// First returns the member that Rank puts first, without sorting; false if there are no
// members.
func First(key string, members []Member) (Member, bool) {
	best, highest := -1, uint64(0)
	for i := range members {
		s := hashScore(key, members[i].ID)
		if best < 0 || s > highest || s == highest && members[i].ID < members[best].ID {
			best, highest = i, s
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return members[best], true
}

// Ring returns the members in the order of their hashes. The order is the same on every
// instance with the same list.
func Ring(members []Member) []Member {
	type hashed struct {
		member Member
		hash   uint64
	}
	all := make([]hashed, 0, len(members))
	for _, m := range members {
		all = append(all, hashed{m, hashScore("ring", m.ID)})
	}
	slices.SortFunc(all, func(a, b hashed) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return compareIDs(a.member.ID, b.member.ID)
	})
	ring := make([]Member, 0, len(all))
	for _, p := range all {
		ring = append(ring, p.member)
	}
	return ring
}
