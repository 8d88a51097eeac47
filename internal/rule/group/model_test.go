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

// modelServer keeps the rules that the platform's databases give.
type modelServer struct {
	id       ident.ServerID
	role     Role
	term     ident.Term
	sealed   ident.Term
	claimant Claimant
	upstream ident.ServerID
	log      []modelEntry
	down     bool
	heard    time.Time
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
		r.Upstream = now.Sub(s.heard)
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
	s.role, s.upstream, s.sealed, s.heard = Replica, upstream, term, now
}

func (s *modelServer) pull(now time.Time, from *modelServer) {
	if s.role != Replica || from.role != Primary || from.term < s.sealed {
		return
	}
	s.heard, s.term = now, from.term
	same := min(len(s.log), len(from.log))
	for same > 0 && s.log[same-1] != from.log[same-1] {
		same--
	}
	s.log = append(append([]modelEntry{}, s.log[:same]...), from.log[same:]...)
}

type ackedWrite struct {
	id   int
	term ident.Term
	at   int
}

// cluster is a few machines before one group, with everything between them unreliable.
type cluster struct {
	t        *rapid.T
	now      time.Time
	servers  []*modelServer
	machines []*Machine
	claims   []Claimant
	record   Record
	storeOff bool
	flight   []func()
	cut      map[string]bool
	nextID   int
	acked    []ackedWrite
	leaders  map[ident.Term]ident.ServerID
	// held is the acknowledgement rule under test.
	held func([]Status, int, ident.Term) (ident.Position, bool)
}

func newCluster(t *rapid.T, size, machines int) *cluster {
	c := &cluster{t: t, now: time.Unix(1000, 0), cut: map[string]bool{}, leaders: map[ident.Term]ident.ServerID{}, held: Held}
	var ids []ident.ServerID
	for at := range size {
		id := ident.ServerID(fmt.Sprintf("s%d", at))
		ids = append(ids, id)
		c.servers = append(c.servers, &modelServer{id: id, term: 1, sealed: 1, upstream: "s0", heard: c.now})
	}
	c.servers[0].role = Primary
	c.servers[0].log = []modelEntry{{term: 1}}
	for at := range machines {
		name := Claimant(fmt.Sprintf("m%d", at))
		c.claims = append(c.claims, name)
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

// step hands an event to a machine and puts what it wants done in flight.
func (c *cluster) step(at int, e Event) {
	for _, a := range c.machines[at].Step(c.now, e) {
		c.carry(at, a)
	}
}

func (c *cluster) carry(at int, action Action) {
	name := string(c.claims[at])
	send := func(f func()) { c.flight = append(c.flight, f) }
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
				c.lead(s)
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
			if !c.storeOff && a.Record.Term >= c.record.Term {
				c.record = a.Record
			}
		})
	}
}

func (c *cluster) claim(at int, r Record) {
	answer := Claimed{Term: r.Term}
	switch {
	case c.storeOff:
		answer.Down = true
	case r.Term <= c.record.Term:
		answer.Record = c.record
	default:
		c.record, answer.Won = r, true
	}
	c.flight = append(c.flight, func() { c.step(at, answer) })
}

// lead checks the two promises that a promotion can break.
func (c *cluster) lead(s *modelServer) {
	if other, taken := c.leaders[s.term]; taken && other != s.id {
		c.t.Fatalf("term %d has two primaries, %s and %s", s.term, other, s.id)
	}
	c.leaders[s.term] = s.id
	for _, w := range c.acked {
		if w.term < s.term && (len(s.log) <= w.at || s.log[w.at].id != w.id) {
			c.t.Fatalf("primary %s of term %d lacks write %d, acknowledged in term %d", s.id, s.term, w.id, w.term)
		}
	}
}

// write adds to some primary's log and acknowledges what the rule lets it.
func (c *cluster) write(s *modelServer) {
	if s.down || s.role != Primary || s.sealed > s.term {
		return
	}
	c.nextID++
	s.log = append(s.log, modelEntry{term: s.term, id: c.nextID})
}

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
	position, ok := c.held(statuses, len(c.servers), s.term)
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
	if s.down || !c.reaches(string(c.claims[at]), string(s.id)) {
		c.step(at, Missed{Server: s.id, Fresh: true})
		return
	}
	c.step(at, Polled{Status: s.status(c.now)})
}

func (c *cluster) pulls() {
	for _, s := range c.servers {
		from := c.server(s.upstream)
		if s.role == Replica && !s.down && !from.down && c.reaches(string(s.id), string(from.id)) {
			s.pull(c.now, from)
		}
	}
}

func (c *cluster) random(label string) {
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
		pair := string(rapid.SampledFrom(c.claims).Draw(c.t, "machine")) + string(drawServer().id)
		c.cut[pair] = !c.cut[pair]
	case 6:
		c.storeOff = !c.storeOff
	case 7:
		c.pulls()
	default:
		c.advance()
	}
	c.deliver(label)
}

// advance lets time pass for the machines that are not paused.
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

// deliver carries some of what is in flight: in any order, lost or twice.
func (c *cluster) deliver(label string) {
	for len(c.flight) > 0 && rapid.IntRange(0, 3).Draw(c.t, label+"-more") > 0 {
		at := rapid.IntRange(0, len(c.flight)-1).Draw(c.t, label+"-which")
		f := c.flight[at]
		switch rapid.IntRange(0, 9).Draw(c.t, label+"-fate") {
		case 0:
			c.flight = append(c.flight[:at], c.flight[at+1:]...)
		case 1:
			f()
		default:
			c.flight = append(c.flight[:at], c.flight[at+1:]...)
			f()
		}
	}
}

func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size"), 3)
		for at := range rapid.IntRange(20, 150).Draw(t, "steps") {
			c.random(fmt.Sprintf("step%d", at))
		}
	})
}

// TestBrokenRulesAreCaught proves that the property above can fail: an
// acknowledgement by the primary alone must lose a write on some schedule.
func TestBrokenRulesAreCaught(t *testing.T) {
	alone := func(statuses []Status, _ int, term ident.Term) (ident.Position, bool) {
		return Held(statuses, 1, term)
	}
	caught := false
	c := newCluster(nil, 3, 1)
	c.held = alone
	c.servers[0].log = append(c.servers[0].log, modelEntry{term: 1, id: 1})
	c.acknowledge(c.servers[0])
	c.servers[0].down = true
	next := c.servers[1]
	next.seal(2, "m0")
	next.promote(2, "m0")
	for _, w := range c.acked {
		caught = caught || len(next.log) <= w.at || next.log[w.at].id != w.id
	}
	if !caught {
		t.Fatal("acknowledging alone went unnoticed")
	}
	if _, ok := Held([]Status{c.servers[0].status(c.now)}, 3, 1); ok {
		t.Fatal("one server of three counted as a majority")
	}
}

// TestPromotesOnceThePrimaryIsGone checks liveness on the calm schedule.
func TestPromotesOnceThePrimaryIsGone(t *testing.T) {
	for _, storeOff := range []bool{false, true} {
		t.Run(fmt.Sprintf("store-off-%v", storeOff), func(t *testing.T) {
			c := newCluster(nil, 3, 3)
			c.storeOff = storeOff
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
				t.Fatalf("the old primary did not come back as a replica: %+v", c.servers[0])
			}
		})
	}
}

func (c *cluster) leader() *modelServer {
	var found *modelServer
	for _, s := range c.servers {
		if !s.down && s.role == Primary && (found == nil || s.term > found.term) {
			found = s
		}
	}
	return found
}

// run lets time pass in steps of 20 ms with nothing lost.
func (c *cluster) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		c.pulls()
		for at := range c.machines {
			for _, s := range c.servers {
				c.poll(at, s)
			}
			c.step(at, Tick{})
			for len(c.flight) > 0 {
				f := c.flight[0]
				c.flight = c.flight[1:]
				f()
			}
		}
	}
}

// TestOneBadPathDeposesNobody cuts one machine from the primary; its replicas still hear it.
func TestOneBadPathDeposesNobody(t *testing.T) {
	c := newCluster(nil, 3, 3)
	c.run(t, 500*time.Millisecond)
	c.cut["m0s0"] = true
	for range 10 {
		c.step(0, PeerView{Instance: "m1", Server: "s0", Answers: true})
		c.run(t, time.Second)
	}
	if leader := c.leader(); leader.id != "s0" || leader.term != 1 {
		t.Fatalf("a bad path deposed the primary: %+v", leader)
	}
}

// TestLeavingPrimaryHandsEverythingOver takes a healthy primary away: whatever it
// had accepted by the time that it was sealed is kept.
func TestLeavingPrimaryHandsEverythingOver(t *testing.T) {
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
		t.Fatalf("the leaving primary still leads: %+v", leader)
	}
	if kept, had := len(leader.log), len(c.servers[0].log); kept < had {
		t.Fatalf("the new primary has %d entries of %d", kept, had)
	}
	if c.nextID == 0 {
		t.Fatal("nothing was written")
	}
}
