package main

import (
	"fmt"
	"os"
	"time"
)

// awaitPrimary waits until another server than the given one leads.
func (g *group) awaitPrimary(not *server, limit time.Duration) *server {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s := g.primaryServer(); s != nil && s != not {
			return s
		}
	}
	return nil
}

func init() {
	cases["tokens"] = func(dir string, trouble bool) bool {
		s := newSystem(dir, "ledger")
		defer s.stop()
		c := configuration(7, "ledger", []string{"stock"}, tenants())
		if os.Getenv("SYNC") != "1" {
			c = withoutSynchronous(c)
		}
		s.store.set("config", "main", c)
		s.addNodes(3)
		for _, k := range s.nodes {
			k.start()
		}
		if !s.awaitReady(20 * time.Second) {
			fatal("the instances did not become ready")
		}
		write := func(when string) {
			for i, k := range s.nodes {
				if k.ended() {
					continue
				}
				conn, line, err := dial(k.front, "stock", "key-a")
				answer := ""
				if err == nil && conn != nil {
					answer, err = conn.query(fmt.Sprintf("%x", time.Now().UnixNano()+int64(i)), "WRITE 1a4 abc", 3*time.Second)
					conn.conn.Close()
				}
				note("client: %s at %s: START -> %q; WRITE -> %q %v", when, k.name, line, answer, err)
			}
		}
		time.Sleep(3 * time.Second)
		write("at the beginning")
		const heartbeat = 1200 * time.Millisecond
		if trouble {
			for crash := 1; crash <= 2; crash++ {
				old := s.group.primaryServer()
				old.crash(s.store, heartbeat)
				if s.group.awaitPrimary(old, 30*time.Second) == nil {
					fatal("no server was promoted after crash %d", crash)
				}
				time.Sleep(6 * time.Second)
				write("after the promotion")
				if crash == 2 {
					break
				}
				holder := s.group.lastLeader().holder
				for _, k := range s.nodes {
					if k.name == holder {
						note("platform: SIGKILL to %s, which has ordered the promotion", k.name)
						_ = k.cmd.Process.Kill()
						<-k.done
					}
				}
				time.Sleep(3 * time.Second)
			}
		} else {
			time.Sleep(10 * time.Second)
		}
		write("at the end")
		s.group.mu.Lock()
		defer s.group.mu.Unlock()
		held := true
		var last order
		for _, o := range s.group.leaders {
			note("promotion of %s: holder %s, token %d", o.server, o.holder, o.token)
			if last.holder != "" && o.holder != last.holder && o.token <= last.token {
				note("the holder has changed, and the token has not increased")
				held = false
			}
			last = o
		}
		return held
	}
}

// lastLeader returns the order that made the present primary lead.
func (g *group) lastLeader() order {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaders[len(g.leaders)-1]
}
