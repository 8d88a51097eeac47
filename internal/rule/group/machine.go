package group

import (
	"fmt"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Config configures a Machine.
type Config struct {
	Servers  []ident.ServerID
	Claimant Claimant
	// Holder is the instance, which is another claimant in each run.
	Holder ident.InstanceID
	Timing Timing
	// Rank orders the instances that watch the group: rank 0 acts first. SetRank changes it.
	Rank int
	// Fenced is set if the servers count terms themselves and know no claimants, so that a promotion needs a
	// recorded claim, whose number its orders carry.
	Fenced bool
}

// peerViewLifetime is how long another instance's view of a server stays valid.
const peerViewLifetime = 2 * time.Second

// followInterval is the minimum time between two Follow actions for one server.
const followInterval = 500 * time.Millisecond

//go:generate go tool stringer -type=phase -linecomment -output=phase_string.go

// phase is the current step of a promotion attempt.
type phase uint8

const (
	idle      phase = iota // idle
	claiming               // claiming
	draining               // draining
	sealing                // sealing
	promoting              // promoting
)

// server is what a Machine knows of one server.
type server struct {
	status Status
	// known is set once the server has answered a poll.
	known      bool
	answeredAt time.Time
	// missingSince is when the server last answered, or when its first poll failed if it
	// never answered; zero while it answers.
	missingSince time.Time
	// newConnFailed is set if a new connection has failed since the last answer.
	newConnFailed bool
	// refused is set if the host refused the connection at the last failed poll; an answer
	// clears it.
	refused bool
	// followedAt is when the last Follow was issued.
	followedAt time.Time
	// sealedSince is when a replica was first seen sealed for a term above the current one.
	sealedSince time.Time
}

// peerView is the last view of a server that another instance reported.
type peerView struct {
	answers bool
	at      time.Time
}

// Machine tracks one group and decides on promotions; it is not safe for concurrent use.
type Machine struct {
	conf      Config
	started   time.Time
	servers   map[ident.ServerID]*server
	peerViews map[ident.ServerID]map[ident.InstanceID]peerView

	leaving map[ident.ServerID]bool
	// evacuated are the servers that get no work, because their data centre is evacuated.
	evacuated map[ident.ServerID]bool
	// draining are the servers whose last entries in the list say that they leave.
	draining map[ident.ServerID]bool
	// incarnations tells the servers in the list from earlier ones of the same names.
	incarnations map[ident.ServerID]int64
	term         ident.Term
	primary      ident.ServerID
	record       Record
	// latestTermAt is when a server first reported the latest term.
	latestTermAt time.Time
	// recordVersion is the version of record, and claimSeenAt when its last claim was first seen.
	recordVersion ident.Version
	claimSeenAt   time.Time
	// orderingSeenAt is when the orders of the record's claim were first seen to be under way.
	orderingSeenAt time.Time
	suspected      bool
	// suspectedSince is when the primary became suspected.
	suspectedSince time.Time
	// abandonedSealSince is when the primary was first seen sealed for a term that has no
	// primary.
	abandonedSealSince time.Time

	phase phase
	// attemptTerm is the term of the current or last attempt.
	attemptTerm ident.Term
	// stepDeadline is the end of the current step.
	stepDeadline time.Time
	// claimed is the record that claims the attempt's term; its number and members are known once it is granted.
	claimed Record
	// sealed holds the statuses of the servers that were sealed in this attempt.
	sealed map[ident.ServerID]Status
	// candidate is the server that is being promoted.
	candidate ident.ServerID
	// drainTarget is the last position of a leaving primary, known once it was sealed.
	drainTarget      ident.Position
	drainTargetKnown bool
	// claimNotBefore is the earliest time of the next claim.
	claimNotBefore time.Time
	// epoch is the epoch of the platform's store, which had begun by epochSince.
	epoch      ident.Epoch
	epochSince time.Time
	epochKnown bool
	// restoredAt is when this instance saw an epoch follow another; zero if it has not.
	restoredAt time.Time
	// claimedAt is when the last claim was issued.
	claimedAt time.Time
	// missingPrimarySince is since when all servers have been replicas and none listed as the primary, while no
	// primary is known; zero if that is not so.
	missingPrimarySince time.Time
	// listedPrimary is the primary according to the platform's list of servers.
	listedPrimary ident.ServerID
	// required is the position that a successor must have received. After a server has left
	// the group it is unknown until the primary has answered a poll that was sent after reportAfter.
	required        ident.Position
	requiredUnknown bool
	reportAfter     time.Time
	// reported is the highest position that a replica has reported.
	reported ident.Floor
	// primaryGoneAt is when the primary left the list of servers or was listed with another start time; zero if it
	// has not, or has reported since that it leads.
	primaryGoneAt time.Time
	// primaryLeft is set if the primary had said that it leaves before it left the list.
	primaryLeft bool
	// steppedAt is the time of the last event.
	steppedAt time.Time
	// serverJoined is set when a server joins; a new attempt clears it.
	serverJoined bool
	// unreplicated is a position that the primary has reported since unreplicatedSince and
	// that no replica has received; unreplicatedSince is zero if there is none.
	unreplicated      ident.Position
	unreplicatedSince time.Time
	// lastSealAt is when the last replica of the attempt was sealed.
	lastSealAt time.Time
	// releasing is set if the attempt's claim is for releasing sealed replicas instead of a
	// promotion.
	releasing bool
	// missing is since when members have not been among the servers.
	missing map[Member]time.Time
	// memberSince and formerSince are when members and former members were first seen in the record.
	memberSince map[Member]time.Time
	formerSince map[FormerMember]time.Time
	// expiriesChecked is when requireReport last looked at the expiries of records.
	expiriesChecked time.Time
	// changeSince is since when the members differ from the servers, changeNotBefore the earliest time of
	// the next change of members.
	changeSince, changeNotBefore time.Time
}

// New returns a Machine that has not yet seen any server's status.
func New(c Config) *Machine {
	m := &Machine{
		conf: c, servers: map[ident.ServerID]*server{}, peerViews: map[ident.ServerID]map[ident.InstanceID]peerView{}, missing: map[Member]time.Time{},
	}
	for _, id := range c.Servers {
		m.servers[id] = &server{}
	}
	return m
}

// SetRank changes this instance's rank among those that watch the group.
func (m *Machine) SetRank(rank int) { m.conf.Rank = rank }

// SetEpoch sets the epoch of the platform's store, which had begun by the given time. In a later
// epoch the store has lost records: they are published again, and no claim is made until
// those that it may have lost have expired.
func (m *Machine) SetEpoch(e ident.Epoch, since time.Time) {
	if e > m.epoch && !m.conf.Fenced {
		m.record = Record{}
	}
	if e > m.epoch && m.epochKnown {
		m.restoredAt = m.steppedAt
	}
	m.epoch, m.epochSince, m.epochKnown = max(m.epoch, e), since, true
}

// mayClaim reports whether no earlier claim, order or restore forbids a claim.
func (m *Machine) mayClaim(now time.Time) bool {
	if !m.conf.Fenced {
		return !now.Before(m.claimNotBefore)
	}
	otherClaims := m.record.Claimant != m.conf.Claimant && m.record.ReplacedTerm >= m.latestTerm() && now.Before(m.claimSeenAt.Add(claimBackoff))
	// A server is in a term whose primary this instance has not reached yet.
	primaryUnknown := m.latestTerm() > m.term && now.Before(m.latestTermAt.Add(postPromotionHold))
	otherOrders := m.othersOrder() && now.Before(m.orderingSeenAt.Add(OrderSettleTime))
	return !now.Before(m.claimNotBefore) && !now.Before(m.epochSince.Add(claimBackoff)) && !otherClaims && !otherOrders && !primaryUnknown
}

// othersOrder reports whether orders of another holder may be under way.
func (m *Machine) othersOrder() bool { return m.record.Ordering && m.record.Holder != m.conf.Holder }

// Primary returns the current primary and its term; an empty name means that none is known.
func (m *Machine) Primary() (ident.ServerID, ident.Term) { return m.primary, m.term }

// Suspected reports whether the primary is due for replacement.
func (m *Machine) Suspected() bool { return m.suspected }

// Phase returns the name of the current step of this instance's promotion attempt.
func (m *Machine) Phase() string { return m.phase.String() }

// Step handles one event and returns the actions to carry out.
func (m *Machine) Step(now time.Time, event Event) []Action {
	if m.started.IsZero() {
		m.started = now
	}
	m.steppedAt = now
	switch e := event.(type) {
	case Tick:
		return m.handleTick(now)
	case Polled:
		return m.handlePoll(now, e)
	case PollFailed:
		m.handleMiss(now, e)
	case PeerView:
		m.handlePeerView(now, e)
	case Recorded:
		return m.handleRecord(now, e)
	case Claimed:
		return m.handleClaimResult(now, e)
	case Sealed:
		return m.handleSealResult(now, e)
	case Promoted:
		return m.handlePromoteResult(now, e)
	}
	return nil
}

func (m *Machine) handlePoll(now time.Time, e Polled) []Action {
	s := e.Status
	known := m.servers[s.Server]
	if known == nil {
		return nil
	}
	if s.Term > m.latestTerm() {
		m.latestTermAt = now
	}
	known.status, known.known = s, true
	known.answeredAt, known.missingSince, known.newConnFailed, known.refused = now, time.Time{}, false, false
	var actions []Action
	if m.conf.Fenced {
		m.trackReplication(now)
		m.updateRequired(e)
	}
	if m.phase == promoting && s.Role == Primary && s.Term == m.attemptTerm && s.Server == m.candidate {
		return m.handlePromoteResult(now, Promoted{Term: s.Term, Server: s.Server, OK: true})
	}
	if s.Role == Primary && s.Term > m.term {
		actions = append(actions, m.acceptPrimary(now, s)...)
	}
	if s.Server == m.primary && m.suspected && s.Role == Primary && s.Term == m.term && s.Sealed <= m.term && !m.mustReplacePrimary(now) {
		m.suspected = false
		actions = append(actions, m.journalEntry(Recovered, s.Server, "it answers polls again"))
	}
	actions = append(actions, m.releaseStaleSeal(now, known)...)
	return append(actions, m.repoint(now, s)...)
}

// acceptPrimary makes a server that reports a later term the group's primary.
func (m *Machine) acceptPrimary(now time.Time, s Status) []Action {
	if holdUntil := now.Add(postPromotionHold); m.conf.Fenced && m.claimNotBefore.Before(holdUntil) {
		m.claimNotBefore = holdUntil
	}
	m.term, m.primary, m.suspected = s.Term, s.Server, false
	m.required, m.requiredUnknown, m.primaryGoneAt = s.Received, false, time.Time{}
	m.unreplicatedSince, m.abandonedSealSince = time.Time{}, time.Time{}
	if m.phase != idle && (m.attemptTerm <= s.Term || m.conf.Fenced) {
		m.phase = idle
	}
	return []Action{m.journalEntry(Confirmed, s.Server, fmt.Sprintf("it reports that it is the primary of term %d at position %s", s.Term, s.Received))}
}

// repoint makes a server follow the primary if it is in an earlier term or has lost
// contact with its upstream; in a fenced group, only a primary of an earlier term.
func (m *Machine) repoint(now time.Time, s Status) []Action {
	stale := s.Term < m.term || s.Role == Replica && s.UpstreamSilence > m.conf.Timing.Silence
	if m.conf.Fenced {
		stale = s.Term < m.term && s.Role == Primary
	}
	if !stale || s.Server == m.primary || m.primary == "" || m.suspected || s.Sealed > m.term {
		return nil
	}
	known := m.servers[s.Server]
	if now.Sub(known.followedAt) < followInterval+time.Duration(m.conf.Rank)*m.conf.Timing.Stagger {
		return nil
	}
	known.followedAt = now
	actions := []Action{Follow{Server: s.Server, Term: m.term, Primary: m.primary}}
	if s.Role == Primary {
		actions = append(actions, m.journalEntry(TailDropped, s.Server,
			fmt.Sprintf("it was still the primary of term %d at position %s; writes that no majority holds are discarded", s.Term, s.Received)))
	}
	if s.Term < m.term {
		actions = append(actions, m.journalEntry(Repointed, s.Server, fmt.Sprintf("it was in term %d, the group is in term %d", s.Term, m.term)))
	}
	return actions
}

func (m *Machine) handleMiss(now time.Time, e PollFailed) {
	known := m.servers[e.Server]
	if known == nil {
		return
	}
	if known.missingSince.IsZero() {
		known.missingSince = now
		if !known.answeredAt.IsZero() {
			known.missingSince = known.answeredAt
		}
	}
	known.newConnFailed, known.refused = known.newConnFailed || e.NewConn, e.Refused
}

func (m *Machine) handlePeerView(now time.Time, e PeerView) {
	if m.peerViews[e.Server] == nil {
		m.peerViews[e.Server] = map[ident.InstanceID]peerView{}
	}
	m.peerViews[e.Server][e.Instance] = peerView{answers: e.Answers, at: now}
}

func (m *Machine) handleRecord(now time.Time, e Recorded) []Action {
	r := e.Record
	if m.conf.Fenced {
		m.learnRecord(now, r, e.Version)
		return nil
	}
	if r.Term < m.record.Term || r.Term == m.record.Term && m.record.Settled {
		return nil
	}
	m.record = r
	if !r.Settled && r.Claimant != m.conf.Claimant && r.Term > m.term {
		m.claimNotBefore = now.Add(m.conf.Timing.StepTime)
	}
	return nil
}

func (m *Machine) handleTick(now time.Time) []Action {
	m.requireReport(now)
	if m.phase == draining && (m.drainComplete(now) || !now.Before(m.stepDeadline)) {
		return m.startSealing(now)
	}
	if m.phase != idle {
		return m.checkStepDeadline(now)
	}
	actions := m.changeMembers(now)
	evidence, failed := m.checkPrimary(now)
	if !failed {
		return append(actions, m.publishMissingRecord()...)
	}
	if !m.suspected {
		m.suspected, m.suspectedSince = true, now
		actions = append(actions, m.journalEntry(Suspected, m.primary, evidence))
	}
	if m.conf.Fenced && !m.canPromote(now) {
		return actions
	}
	stagger := time.Duration(m.conf.Rank) * m.conf.Timing.Stagger
	if now.Before(m.suspectedSince.Add(stagger)) || !m.mayClaim(now) {
		return actions
	}
	return append(actions, m.startAttempt(now, evidence)...)
}

func (m *Machine) journalEntry(decision NoteKind, server ident.ServerID, evidence string) JournalEntry {
	return JournalEntry{Decision: decision, Server: server, Term: max(m.term, m.attemptTerm), Evidence: evidence}
}
