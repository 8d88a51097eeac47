package owner

import (
	"context"
	"fmt"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// tickInterval is the time between two ticks of the group's state machine.
const tickInterval = 40 * time.Millisecond

// coordinate feeds events to the group's state machine and starts the actions it returns.
func (g *Group) coordinate() error {
	machine := group.New(group.Config{
		Servers: g.serverIDs(), Claimant: g.conf.Claimant, Holder: g.conf.Self, Rank: g.place.Load().Rank, Timing: timing(g.defaults.Load()),
		Fenced: g.conf.Driver.Fenced(),
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event group.Event
		select {
		case <-g.tomb.Dying():
			return nil
		case event = <-g.events:
		case <-ticker.C:
			event = group.Tick{}
			machine.SetRank(g.place.Load().Rank)
			machine.SetServers(g.serverIDs())
			machine.SetIncarnations(g.incarnations())
			machine.SetListed(*g.listed.Load())
			machine.SetLeaving(*g.leaving.Load())
			machine.SetDraining(*g.draining.Load())
			machine.SetEvacuated(g.evacuatedServers())
			if epoch, since, known := g.conf.Epochs.Current(); known {
				machine.SetEpoch(epoch, since)
			}
			if g.relinquished.Load() {
				continue
			}
			g.readRecordIfNeeded()
		}
		for _, a := range machine.Step(g.conf.Now(), event) {
			g.execute(a)
		}
	}
}

func timing(d *conf.Defaults) group.Timing {
	return group.Timing{Silence: d.Silence, PathSilence: d.PathSilence, Stagger: d.Stagger, StepTime: d.StepTime}
}

// execute starts an action of the state machine; its result comes back as an event.
func (g *Group) execute(action group.Action) {
	switch a := action.(type) {
	case group.JournalEntry:
		g.recordDecision(a)
	case group.Claim:
		if g.relinquished.Load() {
			return
		}
		g.tomb.Go(func() error { g.claim(a); return nil })
	case group.ChangeMembers:
		g.tomb.Go(func() error { g.changeMembers(a); return nil })
	case group.Publish:
		// The machine repeats the action with each tick until the record has the primary.
		term := uint64(a.Record.Term)
		if g.publishing.Swap(term) == term {
			return
		}
		g.tomb.Go(func() error {
			defer g.publishing.CompareAndSwap(term, 0)
			g.publish(a.Record)
			return nil
		})
	case group.Seal:
		g.tomb.Go(func() error { g.seal(a); return nil })
	case group.Promote:
		g.tomb.Go(func() error { g.promote(a); return nil })
	case group.Release:
		g.tomb.Go(func() error { g.releaseSeal(a.Server); return nil })
	case group.Follow:
		g.tomb.Go(func() error { g.repoint(a); return nil })
	}
}

func (g *Group) stepContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.tomb.Context(context.Background()), g.defaults.Load().StepTime)
}

// claimTimeDivisor divides the step time to give the timeout for recording a claim on the
// platform. After it, an attempt goes on without a recorded claim; in a fenced group
// it is abandoned.
const claimTimeDivisor = 2

func (g *Group) claim(a group.Claim) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), g.defaults.Load().StepTime/claimTimeDivisor)
	defer cancel()
	result := group.Claimed{Term: a.Record.Term}
	fenced := g.conf.Driver.Fenced()
	restored := func() bool {
		epoch, _, _ := g.conf.Epochs.Current()
		return fenced && epoch != a.Epoch
	}
	evaluate := func(stored group.Record, v ident.Version) (group.Record, bool) {
		r, granted := a.Evaluate(stored, ident.Latest(v, ident.NewVersion(a.Epoch, 0)), fenced)
		return r, granted && !restored()
	}
	asked := clock.Now()
	r, v, written, err := g.updateRecord(ctx, evaluate)
	switch {
	case restored():
		result.Restored = true
	case err != nil:
		result.PlatformDown = true
	default:
		result.Granted, result.Record, result.Version = written, r, v
		if written && r.Ordering {
			// An earlier order of this instance has not been answered, perhaps in another run.
			g.orders.markUnsettled()
		}
	}
	if err == nil {
		g.tracker.applyRecord(group.RecordCopy{Record: r, Version: v, Asked: asked}, clock.Now())
		g.conf.copies.note(g.conf.ID, group.RecordCopy{Record: r, Version: v, Asked: asked})
	}
	g.postEvent(result)
}

// publishInterval is the time between attempts to record a primary while the platform is down.
const publishInterval = 2 * time.Second

// publish records a promoted primary on the platform unless the record is as recent already.
func (g *Group) publish(r group.Record) {
	ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), publishInterval)
	defer cancel()
	kept, err := readRecord(ctx, g.conf.Store, g.conf.Epochs, g.conf.ID)
	stored := kept.Record
	if err == nil && (stored.Term > r.Term || stored.Term == r.Term && stored.Settled) {
		g.postEvent(group.Recorded{Record: stored})
		return
	}
	if err == nil {
		if _, err = g.writeRecord(ctx, kept.object, r); err == nil {
			g.postEvent(group.Recorded{Record: r})
			return
		}
	}
	<-ctx.Done()
	g.postEvent(group.Recorded{})
}

func (g *Group) seal(a group.Seal) {
	ctx, cancel := g.stepContext()
	defer cancel()
	failed := group.Sealed{Term: a.Term, Status: group.Status{Server: a.Server}}
	s := g.at(a.Server)
	if s == nil {
		g.postEvent(failed)
		return
	}
	g.noteChange(claimSeen)
	sealed, asked := false, clock.Now()
	err := s.run(ctx, func(ctx context.Context, c proto.Conn) (err error) {
		sealed, err = c.Seal(ctx, a.Held, a.Claimant)
		return err
	})
	if err != nil || !sealed {
		g.recordSeal(a, asked, group.Status{}, err)
		g.postEvent(failed)
		return
	}
	wasReplica := g.wasReplica(s)
	status, err := g.refreshStatus(ctx, s)
	g.recordSeal(a, asked, status, err)
	if err != nil {
		g.postEvent(failed)
		return
	}
	g.postEvent(sealResult(a, status, wasReplica))
}

// sealResult returns the result of sealing a server that has reported its status since. A replica that has
// started again in between has lost the seal.
func sealResult(a group.Seal, s group.Status, wasReplica bool) group.Sealed {
	if wasReplica && s.Sealed < a.Held {
		return group.Sealed{Term: a.Term, Status: group.Status{Server: a.Server}}
	}
	return group.Sealed{Term: a.Term, OK: true, Status: s}
}

// wasReplica reports whether a server was a replica when it last answered a poll. The seal of a primary, which it
// demotes, does not show in its status.
func (g *Group) wasReplica(s *server) bool {
	r := g.tracker.current.Load().reportOf(s)
	return r != nil && r.status.Role == group.Replica
}

// refreshStatus queries and records a server's status after a control function has changed it.
func (g *Group) refreshStatus(ctx context.Context, s *server) (group.Status, error) {
	var status group.Status
	var conn uint64
	var asked time.Time
	err := s.run(ctx, func(ctx context.Context, c proto.Conn) (err error) {
		// The connection may be newer than this call.
		conn, asked = s.conns.Load(), clock.Now()
		status, err = c.Status(ctx)
		return err
	})
	if err == nil {
		g.tracker.observe(s.at, group.Poll{Status: status, Asked: asked, Answered: clock.Now(), Conn: conn})
	}
	return status, err
}

func (g *Group) promote(a group.Promote) {
	ctx, cancel := g.stepContext()
	defer cancel()
	s := g.at(a.Server)
	if s == nil {
		g.postEvent(group.Promoted{Term: a.Term, Server: a.Server})
		return
	}
	if !a.NotBefore.IsZero() {
		time.Sleep(a.NotBefore.Sub(g.conf.Now()))
	}
	if !g.startOrdering(ctx, a) {
		g.postEvent(group.Promoted{Term: a.Term, Server: a.Server})
		return
	}
	g.recordOrder(a)
	promoted, err := g.sendOrders(ctx, s, a)
	if err != nil {
		return
	}
	if promoted && !g.conf.Driver.Fenced() {
		_, _ = g.refreshStatus(ctx, s)
	}
	g.postEvent(group.Promoted{Term: a.Term, Server: a.Server, OK: promoted})
}

// mayOrder reports whether an order may be sent, again perhaps: its claim is valid, and the server as it was sealed.
func (g *Group) mayOrder(ctx context.Context, c proto.Conn, a group.Promote) bool {
	if a.Sealed.Server != "" {
		status, err := c.Status(ctx)
		if s := g.at(a.Server); s != nil && isDoubtful(err) {
			status, err = g.freshStatus(ctx, s)
		}
		if err != nil || !a.Allows(status) {
			return false
		}
	}
	return a.Until.IsZero() || g.conf.Now().Before(a.Until)
}

// freshStatus queries a server's status on a connection of its own.
func (g *Group) freshStatus(ctx context.Context, s *server) (group.Status, error) {
	c, err := g.dialControl(ctx, s)
	if err != nil {
		return group.Status{}, err
	}
	defer c.Close()
	return c.Status(ctx)
}

func (g *Group) releaseSeal(id ident.ServerID) {
	ctx, cancel := g.stepContext()
	defer cancel()
	if s := g.at(id); s != nil {
		g.recordRelease(id, s.run(ctx, func(ctx context.Context, c proto.Conn) error { return c.Release(ctx) }))
	}
}

func (g *Group) repoint(a group.Follow) {
	ctx, cancel := g.stepContext()
	defer cancel()
	s := g.at(a.Server)
	if s == nil {
		return
	}
	_ = s.run(ctx, func(ctx context.Context, c proto.Conn) error { return c.Follow(ctx, a.Term, a.Primary) })
}

var journalKinds = map[group.NoteKind]jrnl.Kind{
	group.Suspected: jrnl.PrimarySuspected, group.Recovered: jrnl.PrimaryRecovered, group.Claiming: jrnl.TermClaimed,
	group.ClaimLost: jrnl.ClaimLost, group.ClaimNotRecorded: jrnl.ClaimUnrecorded, group.Sealing: jrnl.MajoritySealed,
	group.SealFailed: jrnl.SealFailed, group.Promoting: jrnl.ServerPromoted, group.Confirmed: jrnl.PrimaryConfirmed,
	group.Repointed: jrnl.ServerRepointed, group.TailDropped: jrnl.TailDiscarded,
}

// recordMembers writes a change of members to the journal.
func (g *Group) recordMembers(a group.ChangeMembers, r group.Record) {
	g.recordEvent(jrnl.Event{Kind: jrnl.MembersChanged, Term: a.Term, Evidence: fmt.Sprintf("added %v, retired %v, removed %v, forgotten %v: the members are %v, former ones %v", a.Added, a.Retired, a.Removed, a.Forgotten, r.Members, r.Former)})
}

// recordDecision writes a decision of the state machine to the journal, under the incident
// that it belongs to.
func (g *Group) recordDecision(n group.JournalEntry) {
	n.Evidence += g.evidenceOfClaim(n)
	g.mu.Lock()
	incidentOpen := g.incident != ""
	g.incident = fmt.Sprintf("%s-term-%d", g.conf.ID, n.Term)
	if n.Decision == group.Suspected {
		g.incident = fmt.Sprintf("%s-term-%d", g.conf.ID, n.Term+1)
	}
	incident := g.incident
	if n.Decision == group.Confirmed && !incidentOpen {
		incident, g.incident = "", ""
	}
	g.mu.Unlock()
	g.recordEvent(jrnl.Event{Kind: journalKinds[n.Decision], Server: n.Server, Term: n.Term, Evidence: n.Evidence, Incident: incident})
}
