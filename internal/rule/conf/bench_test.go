package conf

import (
	"fmt"
	"testing"

	"geraniumseam.dev/pkg/ident"
)

// configWithGroups returns a configuration with the given number of groups, and one customer
// with two keys for each group.
func configWithGroups(groups int) Config {
	c := New()
	for at := range 18 {
		c.Centers[ident.CenterID(fmt.Sprintf("center-%02d", at))] = Center{Part: 1}
	}
	for at := range groups {
		name := fmt.Sprintf("group-%04d", at)
		g := Group{Connections: 100, Slots: 8}
		for n := range 3 {
			g.Servers = append(g.Servers, Server{
				ID: ident.ServerID(fmt.Sprintf("%s-%d", name, n)), Center: ident.CenterID(fmt.Sprintf("center-%02d", (at+n)%18)), Address: "10.20.30.40:5432",
			})
		}
		c.Groups[ident.GroupID(name)] = g
		c.Services[ident.ServiceID(name)] = Service{Group: ident.GroupID(name)}
		customer := ident.CustomerID(fmt.Sprintf("customer-%04d", at))
		c.Customers[customer] = Customer{Rate: 350, Burst: 100, Weight: 1}
		for n := range 2 {
			key := fmt.Sprintf("%s-%d", customer, n)
			c.Keys[ident.KeyID(key)] = Key{Customer: customer, Hash: HashKey(key)}
		}
	}
	return c
}

// BenchmarkChange measures the work of an instance for one configuration change, and the
// size of the pages in total and of the largest one.
func BenchmarkChange(b *testing.B) {
	for _, groups := range []int{18, 180, 1800} {
		b.Run(fmt.Sprintf("%d-groups", groups), func(b *testing.B) {
			head, pages, err := Split(configWithGroups(groups))
			if err != nil {
				b.Fatal(err)
			}
			total, largest := 0, 0
			for _, page := range pages {
				total += len(page)
				largest = max(largest, len(page))
			}
			for b.Loop() {
				c, err := Join(head, pages)
				if err != nil {
					b.Fatal(err)
				}
				if found := Check(&c); len(found) > 0 {
					b.Fatal(found)
				}
				NewSnapshot(c, ident.VersionOf(1))
			}
			b.ReportMetric(float64(total), "bytes")
			b.ReportMetric(float64(largest), "bytes/page")
		})
	}
}
