//go:build ignore

package main

import (
	"fmt"
	"strings"
	"time"
)

// serviceAsDatabase opens sessions on databases that never existed. One of the names is that of a service to which
// no route leads.
func serviceAsDatabase() {
	tenants := []tenant{{"house", "key-house", 500, 500}}
	config := configuration(1, tenants)
	config["services"] = append(config["services"].([]map[string]any), map[string]any{"name": "archive", "connection_limit": 22, "synchronous_replicas": 1})
	f := newFleet(fleetConfig{
		zones:        []string{"north-a", "north-a", "north-a", "central-a", "central-a", "south-a"},
		tenants:      tenants,
		withoutGroup: true,
		config:       config,
	})
	zones := []string{"north-a", "central-a", "south-a"}
	ledger, archive := newStrictGroup(f, "ledger", zones), newStrictGroup(f, "archive", zones)
	routes := map[string]bool{"latest": true, "aged": true, "own": true}
	databases := []string{"latest", "aged", "own", "never-existed"}
	if f.trouble {
		databases = append(databases, "archive")
	}
	time.Sleep(4 * time.Second)
	for _, n := range f.nodes {
		for _, database := range databases {
			s, err := open(n.front(), database, "key-house")
			if err != nil {
				f.logf("%s: START %s: %v", n.name, database, err)
				if routes[database] {
					fatal(f, "the route %s is refused", database)
				}
				continue
			}
			f.logf("%s: START %s is answered with READY", n.name, database)
			item := "item-" + n.name
			for _, text := range []string{"WRITE " + item + " by-" + database, "READ " + item} {
				r := s.query(text, 3*time.Second)
				f.logf("%s: QUERY %s %s: rows %q, %s %v", n.name, r.id, text, r.rows, r.result, r.err)
			}
			s.close()
		}
	}
	for _, s := range ledger.statements() {
		f.logf("backend %s of ledger runs QUERY %s %s", s.server, s.id, s.text)
	}
	ran := archive.statements()
	for _, s := range ran {
		f.logf("backend %s of archive runs QUERY %s %s", s.server, s.id, s.text)
	}
	if len(ran) > 0 {
		verb, _, _ := strings.Cut(ran[0].text, " ")
		f.finish(broken, fmt.Sprintf("ROUTE: backends of the service archive, to which no configuration has a route, ran %d statements of clients, the first a %s", len(ran), verb))
	}
	f.finish(held, fmt.Sprintf("held: %d statements ran, all of them on routes", len(ledger.statements())))
}
