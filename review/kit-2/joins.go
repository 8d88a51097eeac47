package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// openSessions is how many sessions stand open on the site's sheet.
	openSessions = 296
	// joinTime is how long servers are replaced.
	joinTime = 80 * time.Second
)

func init() {
	cases["joins"] = func(dir string, trouble bool) bool {
		pause := 1000 * time.Millisecond
		if text := os.Getenv("PAUSE"); text != "" {
			ms, _ := strconv.Atoi(text)
			pause = time.Duration(ms) * time.Millisecond
		}
		s := newSystem(dir, "ledger-a")
		defer s.stop()
		groups := []*group{s.group}
		for _, name := range []string{"ledger-b", "ledger-c"} {
			g := newGroup(name, s.zones)
			go g.register(s.store, 1200*time.Millisecond)
			groups = append(groups, g)
		}
		c := configuration(7, "ledger-a", nil, []tenant{{"hanoi", 5000, 5000, []string{"key-a"}}})
		var routes, services []map[string]any
		for _, g := range groups {
			g.keepsNone, g.lag = true, 8*time.Millisecond
			routes = append(routes, map[string]any{
				"name": "r-" + g.service, "host": "own-" + g.service, "path_prefix": "/", "route_kind": "read_your_writes", "timeout_ms": 800,
				"target_latency_ms": 500, "priority": 2, "service": g.service, "max_attempts": 2, "max_staleness_ms": 2500, "public": false,
			})
			services = append(services, map[string]any{"name": g.service, "health_path": "/health", "connection_limit": 22, "protocol": "h1", "tls": false, "synchronous_replicas": 1})
		}
		c["routes"], c["services"] = routes, services
		s.store.set("config", "main", c)
		s.addNodes(6)
		for _, k := range s.nodes {
			k.start()
		}
		if !s.awaitReady(20 * time.Second) {
			fatal("the instances did not become ready")
		}
		time.Sleep(3 * time.Second)
		var ok, other atomic.Int64
		var wait sync.WaitGroup
		stop := make(chan struct{})
		for i := range openSessions {
			k := s.nodes[i%len(s.nodes)]
			wait.Go(func() { arrivals(k, "own-"+groups[i/len(s.nodes)%3].service, i, pause, stop, &ok, &other) })
		}
		joins, oldest := 0, 1
		var dead *node
		for end := time.Now().Add(joinTime); time.Now().Before(end) && dead == nil; time.Sleep(time.Second) {
			for _, k := range s.nodes {
				if k.ended() {
					dead = k
				}
			}
			if !trouble {
				continue
			}
			for _, g := range groups {
				old := g.servers[oldest]
				fresh := g.join(old.zone)
				fresh.list(s.store, 0)
				joins++
				time.AfterFunc(time.Second, func() {
					g.mu.Lock()
					old.state = "draining"
					g.mu.Unlock()
					old.list(s.store, 1<<20)
					time.AfterFunc(9*time.Second, func() { old.leave(s.store) })
				})
			}
			oldest++
		}
		close(stop)
		note("%d servers joined, %d operations were answered with success, %d otherwise", joins, ok.Load(), other.Load())
		if dead != nil {
			text, _ := os.ReadFile(filepath.Join(dir, dead.name+".log"))
			if at := strings.Index(string(text), "panic:"); at >= 0 {
				lines := strings.Split(string(text)[at:], "\n")
				for _, line := range lines[:min(len(lines), 16)] {
					if !strings.Contains(line, "/") {
						note("log of %s: %s", dead.name, line)
					}
				}
			}
		}
		wait.Wait()
		return dead == nil
	}
}

// arrivals is a session that writes and reads what it has written, with a pause after that.
func arrivals(k *node, database string, at int, pause time.Duration, stop chan struct{}, ok, other *atomic.Int64) {
	var c *client
	time.Sleep(pause * time.Duration(at%97) / 97)
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.conn.Close()
			}
			return
		default:
		}
		if c == nil {
			var line string
			var err error
			if c, line, err = dial(k.front, database, "key-a"); err != nil || !strings.HasPrefix(line, "READY") {
				if c != nil {
					c.conn.Close()
				}
				c = nil
				time.Sleep(300 * time.Millisecond)
				continue
			}
		}
		for step, text := range []string{fmt.Sprintf("WRITE item%d v%d", at, n), fmt.Sprintf("READ item%d", at)} {
			answer, err := c.query(fmt.Sprintf("%x", (at*100000+n)*2+step+1), text, 3*time.Second)
			if strings.Contains(answer, "COMPLETE") {
				ok.Add(1)
			} else {
				other.Add(1)
			}
			if err != nil {
				c.conn.Close()
				c = nil
				break
			}
		}
		time.Sleep(pause)
	}
}
