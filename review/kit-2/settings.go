package main

import (
	"os"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["settings"] = func(dir string, trouble bool) bool {
		s := newSystem(dir, "ledger")
		defer s.stop()
		s.store.set("config", "main", configuration(7, "ledger", []string{"stock"}, tenants()))
		s.addNodes(3)
		for _, k := range s.nodes {
			k.start()
		}
		if !s.awaitReady(20 * time.Second) {
			fatal("the instances did not become ready")
		}
		note("all instances are ready")
		text, err := os.ReadFile(s.nodes[0].settings)
		if err != nil {
			fatal("%v", err)
		}
		figure := "2500"
		if trouble {
			figure = "2500.5"
		}
		changed := strings.Replace(string(text), `"configuration_apply_ms": 3000`, `"configuration_apply_ms": `+figure, 1)
		if changed == string(text) {
			fatal("the settings have no configuration_apply_ms")
		}
		k := s.nodes[0]
		if err := os.WriteFile(k.settings, []byte(changed), 0o644); err != nil {
			fatal("%v", err)
		}
		note("platform: the settings of %s change: configuration_apply_ms %s; SIGHUP", k.name, figure)
		_ = k.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(2 * time.Second)
		note("platform: SIGTERM to %s", k.name)
		_ = k.cmd.Process.Signal(syscall.SIGTERM)
		<-k.done
		// A process that ends is started again after a short delay.
		for starts := 1; starts <= 5; starts++ {
			k.start()
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !k.ended(); time.Sleep(50 * time.Millisecond) {
				if k.isReady() {
					note("%s is ready after %d starts", k.name, starts)
					return true
				}
			}
			if !k.ended() {
				note("%s runs and isn't ready after 10 s", k.name)
				return false
			}
			time.Sleep(time.Second)
		}
		note("%s has ended by itself at each of 5 starts", k.name)
		return false
	}
}
