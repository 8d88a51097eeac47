package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// slowStore counts the reads of a group's record and answers them after a delay.
type slowStore struct {
	claimStore
	reads atomic.Int64
	delay time.Duration
	// slow makes reads take slowReadTime instead.
	slow atomic.Bool
}

// slowReadTime is longer than two other sources of a record are waited for.
const slowReadTime = 320 * time.Millisecond

func (s *slowStore) Get(ctx context.Context, kind objs.Kind, name string) (objs.Object, error) {
	s.reads.Add(1)
	delay := s.delay
	if s.slow.Load() {
		delay = slowReadTime
	}
	select {
	case <-ctx.Done():
		return objs.Object{}, ctx.Err()
	case <-time.After(delay):
	}
	return s.claimStore.Get(ctx, kind, name)
}

// recordAsker is a group that reads its record when it is told to, from the store and from the peer that answers.
func recordAsker(t *testing.T, s plat.Store, answering ident.InstanceID) *Group {
	d := newDriver()
	d.unfenced = true
	c := testGroupConfig(d, s)
	c.Group = conf.Group{Connections: 20, Slots: 3}
	c.Place = Place{Rank: 1, Owners: []ident.InstanceID{"first", "i", "third"}}
	c.LinkedPeers = func() []ident.InstanceID { return []ident.InstanceID{"first", "linked"} }
	c.ReadRecord = func(ctx context.Context, from ident.InstanceID, _ ident.GroupID, maxAge time.Duration) (group.RecordCopy, bool) {
		if from != answering {
			<-ctx.Done()
			return group.RecordCopy{}, false
		}
		return group.RecordCopy{Version: ident.VersionOf(7), Asked: clock.Now().Add(-maxAge)}, true
	}
	return startGroupWith(t, c)
}

// TestRecordIsAskedForWithoutWaiting guards against reads of the store beside a first owner that answers, and against
// waits for a source that does not answer.
func TestRecordIsAskedForWithoutWaiting(t *testing.T) {
	for _, c := range []struct {
		name      string
		answering ident.InstanceID
		store     time.Duration
		maxAge    time.Duration
		// steps is how many sources are waited for in vain; reads is how often the store is read.
		steps int
		reads int64
	}{
		{"first owner", "first", time.Hour, group.SharedRecordAge, 0, 0},
		{"store after first owner", "", 0, group.SharedRecordAge, 1, 1},
		{"other owner", "third", time.Hour, group.SharedRecordAge, 2, 1},
		{"linked instance", "linked", time.Hour, group.SharedRecordAge, 3, 1},
		{"fresh record", "first", 0, group.FreshRecordAge, 0, 1},
		{"fresh record of first owner", "first", time.Hour, group.FreshRecordAge, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &slowStore{delay: c.store}
			g := recordAsker(t, s, c.answering)
			began := time.Now()
			g.refreshRecord(c.maxAge)
			took, earliest := time.Since(began), time.Duration(c.steps)*recordHedgeDelay
			if took < earliest || took >= recordTimeout || !g.conf.copies.known("g").IsKnown() {
				t.Errorf("took %v, want %v to %v, when a source that does not answer has failed, and a copy", took, earliest, recordTimeout)
			}
			if reads := s.reads.Load(); reads != c.reads {
				t.Errorf("%d reads of the store, want %d", reads, c.reads)
			}
		})
	}
}

// TestReadIsSharedByPeers guards against a read of the store for each peer that asks, and against a copy, or a read that
// had been begun before, in answer to a question without an age.
func TestReadIsSharedByPeers(t *testing.T) {
	s := &slowStore{delay: 50 * time.Millisecond}
	h := NewHost(HostConfig{Store: s, Now: clock.Now})
	ask := func(questions int, maxAge time.Duration) int64 {
		before := s.reads.Load()
		var asked sync.WaitGroup
		for range questions {
			asked.Go(func() {
				arrival := clock.Now()
				c, ok := h.ReadRecord(t.Context(), "g", maxAge)
				if !ok || maxAge == 0 && c.Asked.Before(arrival) {
					t.Errorf("answered %t with a record that was read %v before the question", ok, c.AgeOn(arrival))
				}
			})
		}
		asked.Wait()
		return s.reads.Load() - before
	}
	if reads := ask(5, group.SharedRecordAge); reads != 1 {
		t.Errorf("%d reads for five peers at once, want 1", reads)
	}
	if reads := ask(1, group.SharedRecordAge); reads != 0 {
		t.Errorf("%d reads for a peer that takes the copy, want none", reads)
	}
	if reads := ask(5, 0); reads == 0 {
		t.Error("no read for peers that don't say how old the record may be")
	}
	time.Sleep(group.FreshRecordAge)
	if reads := ask(5, group.FreshRecordAge); reads != 1 {
		t.Errorf("%d reads for five peers that take no older copy, want 1", reads)
	}
}

// TestOwnersShareReadsOfRecord guards against reads of the store by each of a group's owners while one could tell the
// others what it has read.
func TestOwnersShareReadsOfRecord(t *testing.T) {
	s := &slowStore{}
	hosts := startOwners(t, s, "x", "y", "z")
	const window = 6 * time.Second
	before := s.reads.Load()
	time.Sleep(window)
	reads, most := s.reads.Load()-before, int64(window/group.SharedRecordAge)
	if reads > most || reads == 0 {
		t.Errorf("%d reads in %v, want 1 to %d", reads, window, most)
	}
	t.Logf("%d reads in %v by %d owners", reads, window, len(hosts))
	eventually(t, "all owners hold a lease", func() bool { return holdLeases(hosts) })
}

// TestSlowStoreIsReadOnceByEachOwner guards against reads that multiply when the store is slow, because each owner asks
// instances that read the store as well.
func TestSlowStoreIsReadOnceByEachOwner(t *testing.T) {
	s := &slowStore{}
	hosts := startOwners(t, s, "u", "v", "w", "x", "y", "z")
	s.slow.Store(true)
	before := s.reads.Load()
	var refreshed sync.WaitGroup
	for _, h := range hosts {
		refreshed.Go(func() { h.Group("g").refreshRecord(group.FreshRecordAge) })
	}
	refreshed.Wait()
	reads := s.reads.Load() - before
	t.Logf("%d reads by %d owners", reads, len(hosts))
	if reads > 12 || reads < int64(len(hosts)) {
		t.Errorf("%d reads by %d owners, want at least one each and 12 at most", reads, len(hosts))
	}
}

// holdLeases reports whether no owner needs the record.
func holdLeases(hosts map[ident.InstanceID]*Host) bool {
	for _, h := range hosts {
		if _, needed := h.Group("g").tracker.needsRecord(clock.Now()); needed {
			return false
		}
	}
	return true
}

// startOwners starts an owner of a group in each of the data centres, with linked instances of its own, and waits until
// all hold a lease.
func startOwners(t *testing.T, s plat.Store, ids ...ident.CenterID) map[ident.InstanceID]*Host {
	t.Helper()
	c, centers := groupOf(), membr.Centers{}
	hosts, all, d := map[ident.InstanceID]*Host{}, map[ident.InstanceID]*Host{}, newProofDriver()
	for at, center := range ids {
		server := groupOf(ident.ServerID("abcdef"[at : at+1])).Servers[0]
		server.Center = center
		c.Servers = append(c.Servers, server)
		if d.states[server.ID] == nil {
			d.states[server.ID] = &group.Status{Server: server.ID, Term: 1, LogTerm: 1, Received: 1, Applied: 1}
		}
		centers[center] = []membr.Member{{ID: ident.InstanceID("i" + center), Center: center}}
	}
	for center, members := range centers {
		config := testGroupConfig(d, s)
		var linked []ident.InstanceID
		for n := range linkedReaders {
			linked = append(linked, ident.InstanceID(fmt.Sprintf("linked-%s-%d", center, n)))
			all[linked[n]] = NewHost(HostConfig{Store: s, Now: clock.Now})
		}
		hosts[members[0].ID] = NewHost(HostConfig{
			LinkedPeers: func() []ident.InstanceID { return linked },
			Self:        members[0].ID, Center: center, Claimant: group.Claimant(members[0].ID), Driver: d, Store: s, Journal: config.Journal, Random: config.Random, Now: config.Now,
			ReadRecord: func(ctx context.Context, from ident.InstanceID, g ident.GroupID, maxAge time.Duration) (group.RecordCopy, bool) {
				sent := clock.Now()
				c, ok := all[from].ReadRecord(ctx, g, maxAge)
				c.Asked = group.PeerReadTime(sent, c.AgeOn(sent))
				return c, ok
			},
		})
		all[members[0].ID] = hosts[members[0].ID]
	}
	snapshot := conf.NewSnapshot(conf.Config{Defaults: testGroupConfig(d, s).Defaults, Groups: map[ident.GroupID]conf.Group{"g": c}}, ident.VersionOf(1))
	for _, h := range hosts {
		h.Reconcile(snapshot, centers)
		t.Cleanup(h.Stop)
	}
	eventually(t, "all owners hold a lease", func() bool { return holdLeases(hosts) })
	return hosts
}
