package group

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

// modelEntry is one write in a modelled server's log.
type modelEntry struct {
	term ident.Term
	id   int
}

// modelServer models a server of a group that is not synchronous: it enforces terms and seals.
type modelServer struct {
	id       ident.ServerID
	role     Role
	term     ident.Term
	sealed   ident.Term
	claimant Claimant
	upstream ident.ServerID
	log      []modelEntry
	down     bool
	// heardAt is when a replica last pulled from its primary.
	heardAt time.Time
}

func (s *modelServer) status(now time.Time) Status {
	r := Status{
		Server: s.id, Role: s.role, Term: s.term, Sealed: s.sealed, LogTerm: 1,
		Received: ident.Position(len(s.log)), Applied: ident.Position(len(s.log)),
	}
	if len(s.log) > 0 {
		r.LogTerm = s.log[len(s.log)-1].term
	}
	if s.role == Replica {
		r.UpstreamSilence = now.Sub(s.heardAt)
	}
	return r
}

func (s *modelServer) seal(term ident.Term, c Claimant) bool {
	if term < s.sealed || term <= s.term && s.claimant != c || term == s.sealed && s.claimant != c {
		return false
	}
	s.sealed, s.claimant = term, c
	return true
}

func (s *modelServer) promote(term ident.Term, c Claimant) bool {
	if s.role == Primary && s.term == term && s.claimant == c {
		return true
	}
	if s.sealed != term || s.claimant != c || s.term >= term {
		return false
	}
	s.role, s.term = Primary, term
	s.log = append(s.log, modelEntry{term: term})
	return true
}

func (s *modelServer) follow(now time.Time, term ident.Term, upstream ident.ServerID) {
	if term < s.sealed || term < s.term || term == s.term && s.role == Primary {
		return
	}
	s.role, s.upstream, s.sealed, s.heardAt = Replica, upstream, term, now
}

// pull replaces the replica's log by the primary's, keeping the common prefix.
func (s *modelServer) pull(now time.Time, from *modelServer) {
	if s.role != Replica || from.role != Primary || from.term < s.sealed {
		return
	}
	s.heardAt, s.term = now, from.term
	common := min(len(s.log), len(from.log))
	for common > 0 && s.log[common-1] != from.log[common-1] {
		common--
	}
	s.log = append(append([]modelEntry{}, s.log[:common]...), from.log[common:]...)
}

// ackedWrite is an acknowledged write and its index in the log.
type ackedWrite struct {
	id   int
	term ident.Term
	at   int
}

// cluster models several instances, each with its own Machine, that watch one group over an
// unreliable network.
type cluster struct {
	t         *rapid.T
	now       time.Time
	servers   []*modelServer
	machines  []*Machine
	claimants []Claimant
	record    Record
	storeDown bool
	// inFlight holds the messages that are in flight.
	inFlight []func()
	// cut holds the pairs of names whose connection is down.
	cut     map[string]bool
	nextID  int
	acked   []ackedWrite
	leaders map[ident.Term]ident.ServerID
	// ackRule is the acknowledgement rule under test; tests replace it by a faulty one.
	ackRule func([]Status, int, ident.Term) (ident.Position, bool)
}

func newCluster(t *rapid.T, size, machines int) *cluster {
	c := &cluster{t: t, now: time.Unix(1000, 0), cut: map[string]bool{}, leaders: map[ident.Term]ident.ServerID{}, ackRule: QuorumPosition}
	var ids []ident.ServerID
	for at := range size {
		id := ident.ServerID(fmt.Sprintf("s%d", at))
		ids = append(ids, id)
		c.servers = append(c.servers, &modelServer{id: id, term: 1, sealed: 1, upstream: "s0", heardAt: c.now})
	}
	c.servers[0].role = Primary
	c.servers[0].log = []modelEntry{{term: 1}}
	for at := range machines {
		name := Claimant(fmt.Sprintf("m%d", at))
		c.claimants = append(c.claimants, name)
		c.machines = append(c.machines, New(Config{Servers: ids, Claimant: name, Rank: at, Timing: testTiming}))
	}
	return c
}

var testTiming = Timing{Silence: 400 * time.Millisecond, PathSilence: 3 * time.Second, Stagger: 300 * time.Millisecond, StepTime: 600 * time.Millisecond}

func (c *cluster) server(id ident.ServerID) *modelServer {
	for _, s := range c.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (c *cluster) reaches(a, b string) bool { return !c.cut[a+b] && !c.cut[b+a] }

// step passes an event to an instance's Machine and puts the resulting actions in flight.
func (c *cluster) step(at int, e Event) {
	for _, a := range c.machines[at].Step(c.now, e) {
		c.execute(at, a)
	}
}

// execute puts the requests and answers of one action in flight.
func (c *cluster) execute(at int, action Action) {
	name := string(c.claimants[at])
	send := func(f func()) { c.inFlight = append(c.inFlight, f) }
	call := func(id ident.ServerID, f func(*modelServer) Event) {
		send(func() {
			s := c.server(id)
			if s.down || !c.reaches(name, string(id)) {
				return
			}
			answer := f(s)
			send(func() { c.step(at, answer) })
		})
	}
	switch a := action.(type) {
	case Claim:
		send(func() { c.claim(at, a.Record) })
	case Seal:
		call(a.Server, func(s *modelServer) Event {
			ok := s.seal(a.Term, a.Claimant)
			return Sealed{Term: a.Term, OK: ok, Status: s.status(c.now)}
		})
	case Promote:
		call(a.Server, func(s *modelServer) Event {
			ok := s.promote(a.Term, a.Claimant)
			if ok {
				c.checkPromotion(s)
			}
			return Promoted{Term: a.Term, Server: a.Server, OK: ok}
		})
	case Follow:
		call(a.Server, func(s *modelServer) Event {
			s.follow(c.now, a.Term, a.Primary)
			return Tick{}
		})
	case Publish:
		send(func() {
			if !c.storeDown && a.Record.Term >= c.record.Term {
				c.record = a.Record
			}
		})
	}
}

func (c *cluster) claim(at int, r Record) {
	answer := Claimed{Term: r.Term}
	switch {
	case c.storeDown:
		answer.PlatformDown = true
	case r.Term <= c.record.Term:
		answer.Record = c.record
	default:
		c.record, answer.Granted = r, true
	}
	c.inFlight = append(c.inFlight, func() { c.step(at, answer) })
}

// checkPromotion checks the two guarantees that a promotion can violate: one primary per term, and
// no acknowledged write lost.
func (c *cluster) checkPromotion(s *modelServer) {
	if other, taken := c.leaders[s.term]; taken && other != s.id {
		c.t.Fatalf("term %d has two primaries: %s and %s", s.term, other, s.id)
	}
	c.leaders[s.term] = s.id
	for _, w := range c.acked {
		if w.term < s.term && (len(s.log) <= w.at || s.log[w.at].id != w.id) {
			c.t.Fatalf("primary %s of term %d lacks write %d, acknowledged in term %d", s.id, s.term, w.id, w.term)
		}
	}
}

// write appends to the log of a primary that is not sealed for a later term.
func (c *cluster) write(s *modelServer) {
	if s.down || s.role != Primary || s.sealed > s.term {
		return
	}
	c.nextID++
	s.log = append(s.log, modelEntry{term: s.term, id: c.nextID})
}

// acknowledge records the writes of the primary's term that the rule under test lets it
// acknowledge.
func (c *cluster) acknowledge(s *modelServer) {
	if s.role != Primary {
		return
	}
	var statuses []Status
	for _, other := range c.servers {
		if !other.down {
			statuses = append(statuses, other.status(c.now))
		}
	}
	position, ok := c.ackRule(statuses, len(c.servers), s.term)
	if !ok {
		return
	}
	for at := 0; at < min(int(position), len(s.log)); at++ {
		if s.log[at].term == s.term && s.log[at].id != 0 {
			c.acked = append(c.acked, ackedWrite{id: s.log[at].id, term: s.term, at: at})
		}
	}
}

func (c *cluster) poll(at int, s *modelServer) {
	if s.down || !c.reaches(string(c.claimants[at]), string(s.id)) {
		c.step(at, PollFailed{Server: s.id, NewConn: true})
		return
	}
	c.step(at, Polled{Status: s.status(c.now)})
}

func (c *cluster) pullAll() {
	for _, s := range c.servers {
		from := c.server(s.upstream)
		if s.role == Replica && !s.down && !from.down && c.reaches(string(s.id), string(from.id)) {
			s.pull(c.now, from)
		}
	}
}

// randomStep performs one random write, fault, change of configuration or step in time.
func (c *cluster) randomStep(label string) {
	drawServer := func() *modelServer { return rapid.SampledFrom(c.servers).Draw(c.t, label+"-server") }
	switch rapid.IntRange(0, 12).Draw(c.t, label) {
	case 12:
		leaving := map[ident.ServerID]bool{drawServer().id: rapid.Bool().Draw(c.t, label+"-leaves")}
		for _, m := range c.machines {
			m.SetLeaving(leaving)
		}
	case 0, 1:
		c.write(drawServer())
	case 2:
		c.acknowledge(drawServer())
	case 3:
		s := drawServer()
		s.down = !s.down
	case 4:
		pair := string(drawServer().id) + string(drawServer().id)
		c.cut[pair] = !c.cut[pair]
	case 5:
		pair := string(rapid.SampledFrom(c.claimants).Draw(c.t, "machine")) + string(drawServer().id)
		c.cut[pair] = !c.cut[pair]
	case 6:
		c.storeDown = !c.storeDown
	case 7:
		c.pullAll()
	default:
		c.advance()
	}
	c.deliver(label)
}

// advance moves the time on, then lets the instances that are not paused poll and tick.
func (c *cluster) advance() {
	c.now = c.now.Add(time.Duration(rapid.IntRange(20, 500).Draw(c.t, "millis")) * time.Millisecond)
	for at := range c.machines {
		if rapid.IntRange(0, 3).Draw(c.t, "paused") == 0 {
			continue
		}
		for _, s := range c.servers {
			c.poll(at, s)
		}
		c.step(at, Tick{})
	}
}

// deliver handles some of the messages in flight: out of order, lost or duplicated.
func (c *cluster) deliver(label string) {
	for len(c.inFlight) > 0 && rapid.IntRange(0, 3).Draw(c.t, label+"-more") > 0 {
		at := rapid.IntRange(0, len(c.inFlight)-1).Draw(c.t, label+"-which")
		f := c.inFlight[at]
		switch rapid.IntRange(0, 9).Draw(c.t, label+"-fate") {
		case 0:
			c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
		case 1:
			f()
		default:
			c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
			f()
		}
	}
}

func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size"), 3)
		for at := range rapid.IntRange(20, 150).Draw(t, "steps") {
			c.randomStep(fmt.Sprintf("step%d", at))
		}
	})
}

// TestModelDetectsFaultyAckRule checks that the model detects a faulty rule: a write that is
// acknowledged by the primary alone is lost when another server is promoted.
func TestModelDetectsFaultyAckRule(t *testing.T) {
	primaryOnly := func(statuses []Status, _ int, term ident.Term) (ident.Position, bool) {
		return QuorumPosition(statuses, 1, term)
	}
	caught := false
	c := newCluster(nil, 3, 1)
	c.ackRule = primaryOnly
	c.servers[0].log = append(c.servers[0].log, modelEntry{term: 1, id: 1})
	c.acknowledge(c.servers[0])
	c.servers[0].down = true
	successor := c.servers[1]
	successor.seal(2, "m0")
	successor.promote(2, "m0")
	for _, w := range c.acked {
		caught = caught || len(successor.log) <= w.at || successor.log[w.at].id != w.id
	}
	if !caught {
		t.Fatal("the loss of a write acknowledged by the primary alone was not detected")
	}
	if _, ok := QuorumPosition([]Status{c.servers[0].status(c.now)}, 3, 1); ok {
		t.Fatal("one server of three was counted as a majority")
	}
}

// TestPromotesAfterPrimaryFailure checks that a promotion completes on a reliable network,
// with and without the platform.
func TestPromotesAfterPrimaryFailure(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("store-off-%v", storeDown), func(t *testing.T) {
			c := newCluster(nil, 3, 3)
			c.storeDown = storeDown
			c.run(t, 500*time.Millisecond)
			c.servers[0].down = true
			died := c.now
			c.run(t, 2*time.Second)
			leader := c.leader()
			if leader == nil || leader.term != 2 {
				t.Fatalf("no primary of term 2 within %v", c.now.Sub(died))
			}
			c.servers[0].down = false
			c.run(t, 2*time.Second)
			if c.servers[0].role != Replica || c.servers[0].term != 2 {
				t.Fatalf("the old primary did not rejoin as a replica of term 2: %+v", c.servers[0])
			}
		})
	}
}

// TestReplicasSealedByAFailedClaimAreTakenUp seals both replicas for a term that gets no primary,
// while the primary answers: no majority can follow it any more, so it is replaced.
func TestReplicasSealedByAFailedClaimAreTakenUp(t *testing.T) {
	c := newCluster(nil, 3, 3)
	c.run(t, 500*time.Millisecond)
	for _, s := range c.servers[1:] {
		s.sealed, s.claimant = 2, "lost"
	}
	c.run(t, 3*time.Second)
	leader := c.leader()
	if leader == nil || leader.term < 3 {
		t.Fatalf("the group still has no primary that a majority follows: %+v", leader)
	}
}

// leader returns the running primary of the highest term.
func (c *cluster) leader() *modelServer {
	var found *modelServer
	for _, s := range c.servers {
		if !s.down && s.role == Primary && (found == nil || s.term > found.term) {
			found = s
		}
	}
	return found
}

// run advances the time in steps of 20 ms and delivers every message.
func (c *cluster) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		c.pullAll()
		for at := range c.machines {
			for _, s := range c.servers {
				c.poll(at, s)
			}
			c.step(at, Tick{})
			for len(c.inFlight) > 0 {
				f := c.inFlight[0]
				c.inFlight = c.inFlight[1:]
				f()
			}
		}
	}
}

// TestOneBrokenPathKeepsPrimary checks that a primary is kept if only one instance cannot
// reach it while its replicas still hear from it.
func TestOneBrokenPathKeepsPrimary(t *testing.T) {
	c := newCluster(nil, 3, 3)
	c.run(t, 500*time.Millisecond)
	c.cut["m0s0"] = true
	for range 10 {
		c.step(0, PeerView{Instance: "m1", Server: "s0", Answers: true})
		c.run(t, time.Second)
	}
	if leader := c.leader(); leader.id != "s0" || leader.term != 1 {
		t.Fatalf("the primary was replaced because of one broken path: %+v", leader)
	}
}

// TestLeavingPrimaryHandsOverAllWrites checks that a healthy primary that leaves is
// replaced and that its successor has every write it had accepted when it was sealed.
func TestLeavingPrimaryHandsOverAllWrites(t *testing.T) {
	c := newCluster(nil, 3, 3)
	c.run(t, 500*time.Millisecond)
	for _, m := range c.machines {
		m.SetLeaving(map[ident.ServerID]bool{"s0": true})
	}
	for range 100 {
		c.write(c.servers[0])
		c.now = c.now.Add(10 * time.Millisecond)
		c.run(t, 20*time.Millisecond)
	}
	leader := c.leader()
	if leader.id == "s0" || leader.term < 2 {
		t.Fatalf("the leaving primary was not replaced: %+v", leader)
	}
	if kept, had := len(leader.log), len(c.servers[0].log); kept < had {
		t.Fatalf("the new primary has %d of %d log entries", kept, had)
	}
	if c.nextID == 0 {
		t.Fatal("no write was accepted")
	}
}
