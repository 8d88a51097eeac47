package main

import (
	"fmt"
	"strings"
	"time"
)

type tenant struct {
	name  string
	rate  float64
	burst float64
	keys  []string
}

// configuration returns the spec of config/main.
func configuration(version uint64, service string, routes []string, tenants []tenant) map[string]any {
	var rs, ts []map[string]any
	for _, host := range routes {
		rs = append(rs, map[string]any{
			"name": "r-" + host, "host": host, "path_prefix": "/", "route_kind": "primary", "timeout_ms": 800, "target_latency_ms": 300,
			"priority": 1, "service": service, "max_attempts": 2, "public": false,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "api_keys": append([]string{}, t.keys...), "priority": 1, "requests_per_s": t.rate, "burst": t.burst})
	}
	return map[string]any{
		"version": version, "routes": rs, "tenants": ts,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "transaction_idle_ms": 3000},
		"services": []map[string]any{{"name": service, "health_path": "/health", "connection_limit": 22, "protocol": "h1", "tls": false, "synchronous_replicas": 1}},
	}
}

// withoutSynchronous returns the configuration for a service that has no synchronous replicas.
func withoutSynchronous(c map[string]any) map[string]any {
	for _, s := range c["services"].([]map[string]any) {
		s["synchronous_replicas"] = 0
	}
	return c
}

// change is a case in which the operator replaces one configuration by a second one, which adds a route and takes a
// key away. It reports whether every instance handles requests by the second one after the bound.
func change(dir string, first, second func() (uint64, []tenant)) bool {
	const service = "ledger"
	s := newSystem(dir, service)
	defer s.stop()
	v1, t1 := first()
	s.store.set("config", "main", configuration(v1, service, []string{"stock"}, t1))
	note("operator: version %d accepted: route stock, tenants %v", v1, t1)
	s.addNodes(3)
	for _, k := range s.nodes {
		k.start()
	}
	if !s.awaitReady(20 * time.Second) {
		fatal("the instances did not become ready")
	}
	ask := func(k *node, when, database, key string) (code string, ran int) {
		id := fmt.Sprintf("%x", time.Now().UnixNano())
		c, line, err := dial(k.front, database, key)
		answer := ""
		if err == nil && strings.HasPrefix(line, "READY") {
			answer, err = c.query(id, "READ 1a4", 3*time.Second)
			c.conn.Close()
		}
		ran = len(s.group.ran(id))
		note("client: %s at %s: START %s %s -> %q; QUERY %s READ 1a4 -> %q %v; run %d times by a backend", when, k.name, database, key, line, id, answer, err, ran)
		return line, ran
	}
	for _, k := range s.nodes {
		if _, ran := ask(k, "before the change", "stock", "key-a"); ran != 1 {
			fatal("the first configuration isn't served")
		}
	}
	v2, t2 := second()
	s.store.set("config", "main", configuration(v2, service, []string{"stock", "stock2"}, t2))
	note("operator: version %d accepted: routes stock, stock2; key-b taken away; tenants %v", v2, t2)
	time.Sleep(time.Duration(s.applyMS)*time.Millisecond + 7*time.Second)
	held := true
	for _, k := range s.nodes {
		if _, ran := ask(k, "10 s after the change, new route", "stock2", "key-a"); ran != 1 {
			held = false
		}
		if _, ran := ask(k, "10 s after the change, key that was taken away", "stock", "key-b"); ran != 0 {
			held = false
		}
	}
	return held
}

func tenants(extra ...tenant) []tenant {
	return append([]tenant{{"hanoi", 100, 100, []string{"key-a"}}}, extra...)
}

func init() {
	withB := tenant{"hue", 100, 100, []string{"key-b"}}
	cases["names"] = func(dir string, trouble bool) bool {
		name := "moto-saigon"
		if trouble {
			name = "Moto-Saigon"
		}
		return change(dir,
			func() (uint64, []tenant) { return 7, tenants(withB) },
			func() (uint64, []tenant) {
				return 12, tenants(tenant{"hue", 100, 100, nil}, tenant{name, 50, 50, []string{"key-c"}})
			})
	}
	cases["versions"] = func(dir string, trouble bool) bool {
		// Both are Unix times in nanoseconds, 20 s apart.
		v1, v2 := uint64(1796621000000000000), uint64(1796621020000000000)
		if trouble {
			v1 = (v1>>40|1)<<40 - 10_000_000_000
			v2 = v1 + 20_000_000_000
		}
		return change(dir,
			func() (uint64, []tenant) { return v1, tenants(withB) },
			func() (uint64, []tenant) { return v2, tenants(tenant{"hue", 100, 100, nil}) })
	}
}
