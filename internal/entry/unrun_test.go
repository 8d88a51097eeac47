package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// chargedBurst is the burst of the customer of chargedSession; its rate yields no token during a test.
const chargedBurst = 3

// chargedSession returns a session of a customer with a rate, and the owners of its group. The owners are in
// data centres of their own.
func chargedSession(t *testing.T, ids ...ident.InstanceID) (*Session, *scriptedOwners) {
	t.Helper()
	journal := jrnl.New(jrnl.Config{Instance: "self", Capacity: 100, Now: time.Now})
	owners := &scriptedOwners{t: t, addresses: map[ident.InstanceID]string{}}
	i := &Instance{conf: Config{Instance: "self"}, journal: journal, hub: owners.startHub("self", journal), metrics: newMetrics(nil), random: newSource(1)}
	i.members = newMembers(i)
	view := &fleetView{all: map[ident.InstanceID]membr.Member{}, reachable: map[ident.InstanceID]bool{}}
	for _, id := range ids {
		owners.startHub(id, journal)
		view.all[id], view.reachable[id] = membr.Member{ID: id, Center: ident.CenterID(id)}, true
	}
	view.owners.Store(ident.GroupID("g"), ids)
	i.members.current.Store(view)
	config := conf.New()
	config.Centers["center"] = conf.Center{Part: 1}
	config.Customers["house"] = conf.Customer{Rate: 0.001, Burst: chargedBurst, RestartAllowance: chargedBurst, Weight: 1}
	config.Groups["g"] = conf.Group{Connections: 10, Slots: 1, Servers: []conf.Server{{ID: "s", Center: "center", Address: "s:1"}}}
	config.Services["s"] = conf.Service{Group: "g"}
	config.Routes["r"] = conf.Route{Service: "s", Open: "house", Worth: 1}
	head, pages, err := conf.Split(config)
	if err != nil {
		t.Fatal(err)
	}
	i.configCache = confs.NewCache(journal, clock.Now)
	if !i.configCache.Offer(confs.Bundle{Version: ident.VersionOf(1), Head: head, Pages: pages}, "test") {
		t.Fatal(conf.Check(&config))
	}
	i.quota = quota.New(quota.Config{
		Self: "self", Center: "center", Journal: journal, Snapshot: i.configCache.Current, Static: true,
		MemberCount: func() int { return 1 }, Random: rand.New(rand.NewPCG(1, 1)),
	})
	t.Cleanup(func() { i.quota.Stop(t.Context()) })
	s := newSession(i, 1, nil)
	if reason := s.Authenticate("", "r", ""); reason != fault.None {
		t.Fatal(reason)
	}
	for i.quota.Held() < share.Shards {
		time.Sleep(time.Millisecond)
	}
	// The buckets are resized right after the last part is there.
	time.Sleep(10 * time.Millisecond)
	return s, owners
}

// tokensLeft takes all tokens and returns their number.
func tokensLeft(s *Session) int {
	for left := 0; ; left++ {
		if _, ok := s.instance.quota.TryTake("house"); !ok {
			return left
		}
	}
}

// TestUnsentRequestGetsItsTokenBack guards against a token that is kept although nothing of its request was
// sent, against one that is returned although something was, and against one that is returned twice.
func TestUnsentRequestGetsItsTokenBack(t *testing.T) {
	for end, returned := range map[string]int{
		"not-sent no-primary": 1, "not-sent queue-full": 1, "server-refused server-busy": 0, "no-effect answer-lost": 0,
		"rolled-back transaction-lost": 0, "unknown answer-lost": 0, "done": 0,
	} {
		s, owners := chargedSession(t, "a")
		owners.ends = map[ident.InstanceID][]string{"a": {end}}
		s.Run(&Request{Kind: stmt.Write, Charged: true}, anySink{})
		if left := tokensLeft(s); left != chargedBurst-1+returned {
			t.Errorf("%s: %d of %d tokens are left, want %d", end, left, chargedBurst, chargedBurst-1+returned)
		}
	}
}

// TestRefusalIsRepeatedBeforeTheCharge guards against writes that are charged and sent to an owner that has just
// refused the like, and against a repeated refusal of a read that a replica can serve, of a transaction's later
// statement, or of a write after 100 ms.
func TestRefusalIsRepeatedBeforeTheCharge(t *testing.T) {
	s, owners := chargedSession(t, "a")
	owners.ends = map[ident.InstanceID][]string{"a": {"not-sent no-primary none-expected", "done"}}
	write, read := &Request{Kind: stmt.Write, Charged: true}, &Request{Kind: stmt.Read}
	step := func(what string, q *Request, want fault.Reason, asked int) {
		t.Helper()
		got := fault.None
		if reply := s.Run(q, anySink{}); reply.Fault != nil {
			got = reply.Fault.Reason
			if reply.Fault.Outcome != fault.NotSent || !strings.Contains(reply.Fault.Evidence, "owner a") {
				t.Errorf("%s: %s, evidence %q", what, reply.Fault.Outcome, reply.Fault.Evidence)
			}
		}
		if got != want || len(owners.asked) != asked {
			t.Errorf("%s: refused with %s after %d requests to the owner, want %s after %d", what, got, len(owners.asked), want, asked)
		}
	}
	step("write", write, fault.NoPrimary, 1)
	for range 2 * chargedBurst {
		step("next write", write, fault.NoPrimary, 1)
	}
	step("read", read, fault.None, 2)
	s.tx, s.txOwner = 7, "a"
	step("statement of a transaction", &Request{Kind: stmt.Write}, fault.None, 3)
	time.Sleep(100 * time.Millisecond)
	step("write after 100 ms", write, fault.None, 4)
	if left := tokensLeft(s); left != chargedBurst-1 {
		t.Errorf("%d of %d tokens are left, want all but one", left, chargedBurst)
	}
}
