//go:build ignore

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sessionsPerNode is how many sessions stand open at each node.
const sessionsPerNode = 50

// crashOnJoin replaces the replicas of three services, each one after the other, while clients read and write. The
// new server starts first, the old one drains.
func crashOnJoin() {
	services := []string{"ledger-a", "ledger-b", "ledger-c"}
	config := configuration(1, []tenant{{"house", "key-house", 5000, 5000}})
	var routes, listed []map[string]any
	for _, name := range services {
		for _, route := range config["routes"].([]map[string]any) {
			next := map[string]any{}
			for key, value := range route {
				next[key] = value
			}
			next["host"], next["service"] = route["host"].(string)+"-"+name, name
			routes = append(routes, next)
		}
		listed = append(listed, map[string]any{"name": name, "connection_limit": 22, "synchronous_replicas": 1})
	}
	config["routes"], config["services"] = routes, listed
	f := newFleet(fleetConfig{
		zones:        []string{"north-a", "north-a", "north-a", "central-a", "central-a", "south-a"},
		tenants:      []tenant{{"house", "key-house", 5000, 5000}},
		withoutGroup: true,
		config:       config,
	})
	zones := []string{"north-a", "central-a", "south-a"}
	var groups []*strictGroup
	for _, name := range services {
		g := &strictGroup{name: name, data: map[string]string{}, store: f.store, keepsNone: true, delay: 3 * time.Millisecond}
		for _, zone := range zones {
			g.join(zone)
		}
		groups = append(groups, g)
	}
	time.Sleep(3 * time.Second)
	var ok, bad atomic.Int64
	var wait sync.WaitGroup
	var mu sync.Mutex
	reasons := map[string]int{}
	done := make(chan struct{})
	for _, n := range f.nodes {
		for at := range sessionsPerNode {
			wait.Go(func() {
				database := []string{"latest", "aged", "own", "own"}[at%4] + "-" + services[at/4%3]
				for count := 0; ; {
					s, err := open(n.front(), database, "key-house")
					for err == nil {
						select {
						case <-done:
							s.close()
							return
						default:
						}
						count++
						text := "READ item"
						if count%3 == 0 {
							text = fmt.Sprintf("WRITE item%d v%d", at, count)
						}
						r := s.query(text, 3*time.Second)
						if r.ok() {
							ok.Add(1)
						} else {
							bad.Add(1)
							mu.Lock()
							reasons[strings.Split(r.result+" -", " retry")[0]]++
							mu.Unlock()
						}
						if r.err != nil {
							s.close()
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					select {
					case <-done:
						return
					case <-time.After(100 * time.Millisecond):
					}
				}
			})
		}
	}
	end := time.Now().Add(95 * time.Second)
	joins, oldest := 0, 1
	dead := ""
	for time.Now().Before(end) && dead == "" {
		time.Sleep(time.Second)
		f.logf("%d operations were answered with success so far, %d were not", ok.Load(), bad.Load())
		for _, n := range f.nodes {
			if !n.running() {
				text, _ := os.ReadFile(n.dir + "/log")
				at := strings.Index(string(text), "panic:")
				dead = n.name
				if at >= 0 {
					root, _ := os.Getwd()
					f.logf("%s has ended by itself:\n%s", n.name, strings.ReplaceAll(string(text)[at:min(len(text), at+1500)], root+"/", ""))
				}
			}
		}
		if !f.trouble {
			continue
		}
		for _, g := range groups {
			old := g.servers[oldest]
			f.logf("%s starts", g.join(old.zone).id)
			joins++
			time.AfterFunc(time.Second, func() {
				f.logf("%s is draining", old.id)
				old.list("draining")
				time.AfterFunc(7*time.Second, old.leave)
			})
		}
		oldest++
	}
	close(done)
	wait.Wait()
	f.logf("%d joins, %d ok, %d not", joins, ok.Load(), bad.Load())
	f.logf("refused or failed: %v", reasons)
	if dead != "" {
		f.finish(broken, fmt.Sprintf("%s has ended by itself after %d joins, %d ok", dead, joins, ok.Load()))
	}
	f.finish(held, fmt.Sprintf("held: %d joins, %d ok, %d not", joins, ok.Load(), bad.Load()))
}
