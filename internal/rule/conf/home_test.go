package conf

import (
	"slices"
	"testing"

	"geraniumseam.dev/pkg/ident"
)

// TestHomeRegionsOfRouteAndCustomerBothApply guards against a request that runs where only its route or only its customer
// allows it, or where neither does because they have no region in common.
func TestHomeRegionsOfRouteAndCustomerBothApply(t *testing.T) {
	for _, c := range []struct{ route, customer, want []string }{
		{nil, nil, []string{"n", "s", "w"}},
		{[]string{"n", "s"}, nil, []string{"n", "s"}},
		{nil, []string{"s"}, []string{"s"}},
		{[]string{"n", "s"}, []string{"s", "w"}, []string{"s"}},
		{[]string{"n"}, []string{"w"}, nil},
	} {
		config := New()
		config.Customers["house"] = Customer{Regions: c.customer}
		config.Keys["k"] = Key{Customer: "house", Hash: HashKey("secret")}
		config.Routes["r"] = Route{Service: "s", Regions: c.route}
		s := NewSnapshot(config, ident.VersionOf(1))
		a, ok := s.Authenticate("house", ident.ServiceID("r"), HashKey("secret"))
		again, valid := s.Revalidate(Access{Customer: "house", Key: "k", Hash: HashKey("secret"), Route: "r"})
		if !ok || !valid {
			t.Fatal("no access")
		}
		for _, home := range []HomeRegions{a.Home, again.Home} {
			var got []string
			for _, region := range []string{"n", "s", "w"} {
				if home.Allows(region) {
					got = append(got, region)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("route %v, customer %v: allowed in %v, want %v", c.route, c.customer, got, c.want)
			}
		}
	}
}
