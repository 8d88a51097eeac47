package group

import (
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// modelPoll is a server's answer to an instance's status poll.
type modelPoll struct {
	status      Status
	incarnation int
	asked       time.Time
	answered    time.Time
	// connection changes when the server restarts or the link to it was cut.
	connection int
}

// modelAnswer is a primary's success for a write that an instance sent, at a position of the
// primary's term.
type modelAnswer struct {
	entry    modelEntry
	position ident.Position
	primary  ident.ServerID
	received time.Time
}

// acknowledger decides for one instance whether a success of the primary may be passed on to
// its caller.
type acknowledger interface {
	// polled takes the answer to a poll.
	polled(modelPoll)
	// missed takes that a server has not answered a poll.
	missed(now time.Time, id ident.ServerID)
	// recorded takes the group's record, read between asked and answered.
	recorded(r Record, v ident.Version, asked, answered time.Time)
	// listed takes the servers that the instance knows.
	listed(servers []Member, leaving map[ident.ServerID]bool)
	// mayWrite reports whether the primary of a term may get new work.
	mayWrite(now time.Time, primary ident.ServerID, term ident.Term) bool
	// proves reports whether no later primary can lack the write.
	proves(now time.Time, a modelAnswer) bool
}

// passOnAtOnce takes the primary's answer for proof.
type passOnAtOnce struct{}

func (passOnAtOnce) polled(modelPoll)                                     {}
func (passOnAtOnce) missed(time.Time, ident.ServerID)                     {}
func (passOnAtOnce) recorded(Record, ident.Version, time.Time, time.Time) {}
func (passOnAtOnce) listed([]Member, map[ident.ServerID]bool)             {}
func (passOnAtOnce) mayWrite(time.Time, ident.ServerID, ident.Term) bool  { return true }
func (passOnAtOnce) proves(time.Time, modelAnswer) bool                   { return true }

// proven passes a success on only if the instance's term lease proves it.
type proven struct{ lease *TermLease }

func (p *proven) polled(poll modelPoll) {
	p.lease.Observe(Poll{Status: poll.status, Asked: poll.asked, Answered: poll.answered, Conn: uint64(poll.connection)})
}

func (*proven) missed(time.Time, ident.ServerID) {}

func (p *proven) recorded(r Record, v ident.Version, asked, answered time.Time) {
	p.lease.Record(r, v, asked, answered)
}

func (p *proven) listed(servers []Member, leaving map[ident.ServerID]bool) {
	p.lease.SetServers(servers, leaving)
}

func (p *proven) mayWrite(now time.Time, _ ident.ServerID, term ident.Term) bool {
	s := p.lease.State()
	return s.Term == term && s.Valid(now)
}

func (p *proven) proves(_ time.Time, a modelAnswer) bool {
	return p.lease.State().Proves(ident.Floor{Term: a.entry.term, Position: a.position})
}

// The times of an instance's callers.
const (
	modelAckWait     = 5 * time.Second // longest time that a success is held back
	modelLeavingWork = 5 * time.Second // how long a leaving server gets new work
)

// listsInstance is one instance with its own copy of the list of servers.
type listsInstance struct {
	at       int
	claimant Claimant
	list     map[ident.ServerID]listEntry
	// known are the last entries of the servers that the instance polls.
	known map[ident.ServerID]listEntry
	// ids are the servers that the instance polls.
	ids          []ident.ServerID
	views        map[ident.ServerID]*serverView
	leavingSince map[ident.ServerID]time.Time
	// draining are the servers whose last entries say that they leave.
	draining  map[ident.ServerID]bool
	listRead  time.Time
	refreshAt time.Time
	acks      acknowledger
	// copy is the record that the instance answers others with.
	copy RecordCopy
	// waiting are successes that are not passed on yet.
	waiting []modelAnswer
}

// serverView is an instance's last poll of a server.
type serverView struct {
	status   Status
	known    bool
	answered time.Time
	missed   bool
	// polling is set while a poll is on its way.
	polling bool
}

func (i *listsInstance) name() string { return string(i.claimant) }

func (i *listsInstance) recentlyAnswered(id ident.ServerID, now time.Time) bool {
	v := i.views[id]
	return v != nil && v.known && !v.missed && now.Sub(v.answered) < synchTiming.Silence
}

// primary returns the primary that the instance sends writes to, if it may get new work.
func (i *listsInstance) primary(now time.Time) (ident.ServerID, bool) {
	found, term := ident.ServerID(""), ident.Term(0)
	for _, id := range i.ids {
		if v := i.views[id]; v != nil && v.known && v.status.Role == Primary && v.status.Term > term {
			found, term = id, v.status.Term
		}
	}
	if found == "" || !i.recentlyAnswered(found, now) || i.views[found].status.Sealed > term {
		return "", false
	}
	if since, leaving := i.leavingSince[found]; leaving && now.Sub(since) >= modelLeavingWork {
		return "", false
	}
	return found, i.acks.mayWrite(now, found, term)
}

// modelWrite is a write at a primary that has not answered it yet.
type modelWrite struct {
	entry    modelEntry
	position ident.Position
	server   *synchServer
	restarts int
	instance *listsInstance
}

// send sends a write to the primary that an instance believes in.
func (m *listsModel) send(i *listsInstance) {
	id, usable := i.primary(m.now)
	if !usable {
		return
	}
	m.writes++
	write := m.writes
	m.schedule(m.randomMillis(1, 30), func() {
		s := m.server(id)
		if s.down || s.role != Primary || !m.reaches(i.name(), string(id)) {
			return
		}
		entry := modelEntry{term: s.term, id: write}
		s.log = append(s.log, entry)
		m.requests = append(m.requests, modelWrite{entry: entry, position: ident.Position(len(s.log)), server: s, restarts: m.hosts[id].restarts, instance: i})
	})
}

// answerWrites answers the writes that a replica, listed or not, has received.
func (m *listsModel) answerWrites() {
	m.requests = slices.DeleteFunc(m.requests, func(w modelWrite) bool {
		s := w.server
		if s.down || s.role != Primary || s.term != w.entry.term || m.hosts[s.id].restarts != w.restarts {
			return true
		}
		for _, r := range m.servers {
			if r == s || r.down || r.role != Replica || r.term != s.term || !holds(r, w.entry, w.position) || !m.reaches(string(r.id), string(s.id)) {
				continue
			}
			if m.reaches(w.instance.name(), string(s.id)) {
				m.schedule(m.randomMillis(1, 30), func() { m.takeAnswer(w) })
			}
			return true
		}
		return false
	})
}

// holds reports whether a server's log has a write at its position.
func holds(s *synchServer, e modelEntry, position ident.Position) bool {
	return ident.Position(len(s.log)) >= position && s.log[position-1] == e
}

// takeAnswer delivers a primary's success to the instance that sent the write.
func (m *listsModel) takeAnswer(w modelWrite) {
	if until := m.pausedUntil[w.instance.at]; m.now.Before(until) {
		m.schedule(until.Sub(m.now), func() { m.takeAnswer(w) })
		return
	}
	w.instance.waiting = append(w.instance.waiting, modelAnswer{entry: w.entry, position: w.position, primary: w.server.id, received: m.now})
	m.passOn(w.instance)
}

// passOn passes on the successes that the instance has proof for. It checks that no primary of
// a later term lacks them.
func (m *listsModel) passOn(i *listsInstance) {
	i.waiting = slices.DeleteFunc(i.waiting, func(a modelAnswer) bool {
		if !i.acks.proves(m.now, a) {
			return m.now.Sub(a.received) > modelAckWait
		}
		for _, s := range m.servers {
			if s.role == Primary && s.term > a.entry.term && !holds(s, a.entry, a.position) {
				m.violate("%s passes on write %d of term %d, which %s, the primary of term %d, lacks", i.claimant, a.entry.id, a.entry.term, s.id, s.term)
			}
		}
		m.acked = append(m.acked, ackedWrite{id: a.entry.id, term: a.entry.term, at: int(a.position) - 1})
		return true
	})
}

// poll polls the servers that an instance knows.
func (m *listsModel) poll(i *listsInstance) {
	for _, id := range i.ids {
		v := i.views[id]
		if v == nil {
			v = &serverView{}
			i.views[id] = v
		}
		if v.polling {
			continue
		}
		v.polling = true
		asked := m.now
		m.schedule(m.randomMillis(1, 20), func() {
			s := m.server(id)
			if s.down || !m.reaches(i.name(), string(id)) {
				m.takeMiss(i, v, PollFailed{Server: id, NewConn: true, Refused: s.down && m.oneIn(2)})
				return
			}
			p := modelPoll{status: s.status(), incarnation: m.hosts[id].incarnation, asked: asked, connection: m.hosts[id].restarts + m.linkCuts[i.name()+string(id)]}
			m.schedule(m.randomMillis(1, 20), func() { m.takePoll(i, v, p) })
		})
	}
}

// whenRunning runs f at once, or when an instance is no longer paused.
func (m *listsModel) whenRunning(i *listsInstance, f func()) {
	if until := m.pausedUntil[i.at]; m.now.Before(until) {
		m.schedule(until.Sub(m.now), func() { m.whenRunning(i, f) })
		return
	}
	f()
}

func (m *listsModel) takeMiss(i *listsInstance, v *serverView, e PollFailed) {
	m.whenRunning(i, func() {
		v.polling = false
		if i.views[e.Server] != v {
			return
		}
		v.missed = true
		i.acks.missed(m.now, e.Server)
		m.step(i.at, e)
		m.reportServer(i, e.Server, false)
	})
}

func (m *listsModel) takePoll(i *listsInstance, v *serverView, p modelPoll) {
	m.whenRunning(i, func() {
		v.polling = false
		if i.views[p.status.Server] != v {
			return
		}
		p.answered = m.now
		v.status, v.known, v.answered, v.missed = p.status, true, m.now, false
		i.acks.polled(p)
		m.step(i.at, Polled{Status: p.status, Asked: p.asked})
		m.reportServer(i, p.status.Server, true)
		m.passOn(i)
	})
}

// reportServer tells the other instances now and then whether a server answers this one.
func (m *listsModel) reportServer(i *listsInstance, id ident.ServerID, answers bool) {
	if !m.oneIn(4) {
		return
	}
	for _, other := range m.instances {
		if other != i && m.reaches(i.name(), other.name()) {
			m.schedule(m.randomMillis(1, 50), func() {
				m.step(other.at, PeerView{Instance: ident.InstanceID(i.claimant), Server: id, Answers: answers})
			})
		}
	}
}
