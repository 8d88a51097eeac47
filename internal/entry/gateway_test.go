package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/pkg/ident"
)

// fleetOf returns the view of a fleet in three data centres, a, b and c.
func fleetOf(instances int) *fleetView {
	c := &fleetView{all: map[ident.InstanceID]membr.Member{}, reachable: map[ident.InstanceID]bool{}}
	for idx := range instances {
		center := ident.CenterID([]string{"a", "b", "c"}[idx%3])
		member := membr.Member{ID: ident.InstanceID(fmt.Sprintf("%s-%03d", center, idx)), Center: center}
		c.all[member.ID] = member
		c.available = append(c.available, member)
	}
	slices.SortFunc(c.available, func(a, b membr.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	c.eligible = membr.ByCenter(c.available)
	c.gateways = firstPerCenter(relaySubject, c.eligible)
	return c
}

// ordinary returns an instance of a data centre that is not its gateway.
func (c *fleetView) ordinary(center ident.CenterID) ident.InstanceID {
	idx := slices.IndexFunc(c.available, func(m membr.Member) bool { return m.Center == center && !c.isGateway(m.ID) })
	return c.available[idx].ID
}

func TestLinkTargets(t *testing.T) {
	small, large := fleetOf(9), fleetOf(90)
	observed := []ident.InstanceID{"n1", "n2"}
	for _, c := range []struct {
		name string
		view *fleetView
		self ident.InstanceID
		want int
	}{
		{"all instances in a small fleet", small, small.ordinary("a"), len(observed) + 8},
		{"observed instances and the gateway in a large fleet", large, large.ordinary("a"), len(observed) + 1},
		{"observed instances and the other gateways for a gateway", large, large.gatewayOf("a"), len(observed) + 2},
	} {
		if got := linkTargets(c.self, observed, c.view); len(got) != c.want || slices.Contains(got, c.self) {
			t.Errorf("%s: got links to %v", c.name, got)
		}
	}
}

// membersOf returns the members of an instance of the fleet.
func (c *fleetView) membersOf(self ident.InstanceID) *members {
	i := &Instance{conf: Config{Instance: self, Center: c.all[self].Center}}
	i.configCache = confs.NewCache(jrnl.New(jrnl.Config{Instance: self, Capacity: 8, Now: time.Now}), time.Now)
	m := newMembers(i)
	m.current.Store(c)
	return m
}

// TestNextUpdateWaitsForGateway: an update that came from another data centre, as the gateway was late, let
// the instance fetch the updates of the next seconds from there at once too.
func TestNextUpdateWaitsForGateway(t *testing.T) {
	view := fleetOf(90)
	member, remote := view.membersOf(view.ordinary("a")), view.ordinary("b")
	for version := range uint64(3) {
		if member.mayFetch(remote, serversUpdate) {
			t.Fatalf("update %d was fetched from another data centre at once", version+1)
		}
		time.Sleep(startupGatewayWait + 20*time.Millisecond)
		if !member.mayFetch(remote, serversUpdate) {
			t.Fatalf("update %d was not fetched from another data centre although the gateway was late", version+1)
		}
		member.instance.configCache.OfferServers(conf.Listing{Version: ident.VersionOf(version + 1)}, "instance "+string(remote))
	}
}

// TestBothEndsWishForTheSameLinks: otherwise one end asks again and again to close what the other keeps.
func TestBothEndsWishForTheSameLinks(t *testing.T) {
	view := fleetOf(90)
	wishes := map[ident.InstanceID]func(ident.InstanceID) bool{}
	for _, member := range view.available {
		i := &Instance{conf: Config{Instance: member.ID, Center: member.Center}}
		i.configCache = confs.NewCache(jrnl.New(jrnl.Config{Instance: member.ID, Capacity: 8, Now: time.Now}), time.Now)
		i.host = owner.NewHost(owner.HostConfig{Self: member.ID, Center: member.Center, Now: time.Now, Random: rand.New(rand.NewPCG(1, 1))})
		m := newMembers(i)
		m.view.SetList(time.Now(), view.available)
		m.current.Store(view)
		wishes[member.ID] = m.linkWishes()
	}
	wanted := map[ident.InstanceID]int{}
	for a, wantsOf := range wishes {
		for b, wantsBack := range wishes {
			if a != b && wantsOf(b) != wantsBack(a) {
				t.Errorf("%s wants the link to %s: %t; the other way: %t", a, b, wantsOf(b), wantsBack(a))
			}
			if a != b && wantsOf(b) {
				wanted[a]++
			}
		}
	}
	const neighboursAndGateway = 9
	for id, count := range wanted {
		if !view.isGateway(id) && count > neighboursAndGateway {
			t.Errorf("%s wants %d links, want at most %d", id, count, neighboursAndGateway)
		}
	}
	if gateway := view.gatewayOf("a"); wanted[gateway] < 29+2 {
		t.Errorf("the gateway wants %d links, want those to its data centre and to the other gateways", wanted[gateway])
	}
	if !wishes["a-000"]("stranger") {
		t.Error("the link to an instance that is not in the view is not wanted")
	}
}

// TestUpdatesCrossCentersOnce guards against an update being fetched from another data centre
// by more than the gateway: an ordinary instance may do so only when its gateway is late.
func TestUpdatesCrossCentersOnce(t *testing.T) {
	view := fleetOf(90)
	member := view.membersOf(view.ordinary("a"))
	if !member.mayFetch(view.gatewayOf("a"), membersUpdate) {
		t.Error("an update from the same data centre was not fetched at once")
	}
	if member.mayFetch(view.gatewayOf("b"), membersUpdate) {
		t.Error("an instance that is not a gateway fetched from another data centre at once")
	}
	if !view.membersOf(view.gatewayOf("a")).mayFetch(view.gatewayOf("b"), membersUpdate) {
		t.Error("a gateway did not fetch from another gateway at once")
	}
	time.Sleep(startupGatewayWait + 20*time.Millisecond)
	if !member.mayFetch(view.ordinary("b"), membersUpdate) {
		t.Error("a late update was not fetched from an instance of another data centre")
	}
}
