package entry

import (
	"slices"
	"testing"

	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/pkg/ident"
)

// TestBodiesAreSentOnlyToHomeRegions guards against a request's body that is sent to an owner in another region that is no
// home region.
func TestBodiesAreSentOnlyToHomeRegions(t *testing.T) {
	i := &Instance{conf: Config{Instance: "a-0", Center: "a", Regions: map[ident.CenterID]string{"a": "north", "b": "north", "c": "south"}}}
	i.members = &members{instance: i}
	view := &fleetView{all: map[ident.InstanceID]membr.Member{}}
	all := []ident.InstanceID{"a-0", "b-0", "c-0", "d-0"}
	for _, id := range all {
		view.all[id] = membr.Member{ID: id, Center: ident.CenterID(id[:1])}
	}
	i.members.current.Store(view)
	for _, c := range []struct{ home, want []string }{
		{nil, []string{"a-0", "b-0", "c-0", "d-0"}},
		{[]string{"south"}, []string{"a-0", "b-0", "c-0"}},
		{[]string{"north"}, []string{"a-0", "b-0"}},
		{[]string{"d"}, []string{"a-0", "b-0", "d-0"}},
	} {
		var got []string
		for _, id := range i.homeOwners(&owner.Work{Home: conf.HomeRegions{}.And(c.home)}, all) {
			got = append(got, string(id))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("home %v: owners %v, want %v", c.home, got, c.want)
		}
	}
}
