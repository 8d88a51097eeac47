//go:build ignore

package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"

	"geraniumseam.dev/platform/ptest"
)

const (
	cutTime = 5500 * time.Millisecond
	// maxLostNoted is how many lost commits are written to the record.
	maxLostNoted = 50
)

type acked struct {
	item, data string
	at         time.Time
}

// staleOrder has a holder's order held up until another holder has ordered, and the holder killed meanwhile.
func staleOrder() { heldUpOrder(false) }

// orderOfRestarted has a holder's order held up, and the server that it names started again meanwhile.
func orderOfRestarted() { heldUpOrder(true) }

func heldUpOrder(restart bool) {
	f := newFleet(fleetConfig{
		zones:       []string{"north-a", "north-a", "north-a", "central-a", "central-a", "south-a"},
		serverZones: []string{"north-a", "north-a", "central-a", "south-a"},
		tenants:     []tenant{{"house", "key-house", 500, 500}},
	})
	var mu sync.Mutex
	var acks []acked
	var wait sync.WaitGroup
	done := make(chan struct{})
	for at, n := range f.nodes {
		wait.Go(func() {
			for count := 0; ; count++ {
				s, err := open(n.front(), "latest", "key-house")
				for err == nil {
					select {
					case <-done:
						s.close()
						return
					default:
					}
					count++
					item, data := fmt.Sprintf("k%d", at), fmt.Sprintf("v%d-%d", at, count)
					r := s.query("WRITE "+item+" "+data, 3*time.Second)
					f.logf("client of %s: %s WRITE %s %s: %s %v", n.name, r.id, item, data, r.result, r.err)
					if r.ok() {
						mu.Lock()
						acks = append(acks, acked{item, data, time.Now()})
						mu.Unlock()
					}
					if r.err != nil {
						s.close()
						break
					}
					time.Sleep(60 * time.Millisecond)
				}
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	// Planned work: the primary is replaced; its successor starts first.
	if _, err := f.group.Join(); err != nil {
		fatal(f, "join: %v", err)
	}
	time.Sleep(8 * time.Second)
	first := f.group.Primary()
	first.Leave()
	if !f.await(15*time.Second, func() bool {
		p := f.group.Primary()
		return len(f.seenOrders()) > 0 && p != nil && p != first
	}) {
		fatal(f, "the primary that leaves is not replaced")
	}
	f.logf("the new primary is %s", f.group.Primary().ID)
	time.Sleep(9 * time.Second)
	first.Kill()
	time.Sleep(6 * time.Second)
	var holder *node
	for _, n := range f.nodes {
		if n.name == f.seenOrders()[0].holder {
			holder = n
		}
	}
	before := len(f.seenOrders())
	if f.trouble {
		f.logf("the path from %s to the promotion API is cut for %v", holder.name, cutTime)
		holder.cloud.cut(true)
		time.AfterFunc(cutTime, func() {
			holder.cloud.cut(false)
			f.logf("the cut of %s ends", holder.name)
		})
	}
	f.logf("primary %s crashes", f.group.Primary().ID)
	f.group.Primary().Kill()
	switch {
	case f.trouble && restart:
		time.Sleep(3 * time.Second)
		named := f.named(holder.cloud.heldUp())
		if named == nil {
			fatal(f, "no order is held up")
		}
		for _, s := range f.group.All() {
			f.logf("log of %s, which runs: %t: %d writes", s.ID, s.Running(), len(s.Writes()))
		}
		f.logf("%s, which the order names, crashes and starts again empty", named.ID)
		named.Restart(500 * time.Millisecond)
	case f.trouble:
		time.Sleep(2500 * time.Millisecond)
		holder.signal(syscall.SIGKILL)
		f.logf("%s is killed", holder.name)
		<-holder.exited
		time.Sleep(time.Second)
		f.launch(holder, false)
	}
	time.Sleep(14 * time.Second)
	close(done)
	wait.Wait()
	verdict := checkOrders(f, acks)
	f.logf("orders in the second change of primary: %d", len(f.seenOrders())-before)
	if verdict != "" {
		f.finish(broken, verdict)
	}
	f.finish(held, fmt.Sprintf("held: %d orders, %d acknowledged writes", len(f.seenOrders()), len(acks)))
}

// named returns the server that an order names, nil if there is none.
func (f *fleet) named(sent []byte) *ptest.Server {
	for _, s := range f.group.All() {
		if bytes.Contains(sent, []byte(`"`+s.ID+`"`)) {
			return s
		}
	}
	return nil
}

// checkOrders returns which rules the orders and the changes of primary broke.
func checkOrders(f *fleet, acks []acked) string {
	highest, verdict := order{}, ""
	for _, o := range f.seenOrders() {
		if o.token < highest.token && o.holder != highest.holder {
			verdict += fmt.Sprintf("ONE: %s sent token %d after %s had sent %d. ", o.holder, o.token, highest.holder, highest.token)
		}
		if o.token == highest.token && o.holder != highest.holder {
			verdict += fmt.Sprintf("ONE: %s and %s sent token %d. ", o.holder, highest.holder, o.token)
		}
		if o.token > highest.token {
			highest = o
		}
	}
	lost := 0
	for _, t := range f.group.Terms() {
		f.logf("term %d begins at %s", t.Number, t.Server)
		for _, a := range acks {
			if a.at.Before(t.Began) && !t.Writes[a.item][a.data] {
				if lost++; lost <= maxLostNoted {
					f.logf("LOST: %s %s, acknowledged %v before", a.item, a.data, t.Began.Sub(a.at))
				}
			}
		}
	}
	if lost > 0 {
		verdict += fmt.Sprintf("LOST: %d acknowledged commits are not in the log of a promoted backend. ", lost)
	}
	return verdict
}
