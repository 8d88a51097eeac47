package owner

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// positionDriver connects to fake servers that answer requests with a position of term 1, and those
// with the text "fail" with an error.
type positionDriver struct{ *fakeDriver }

func (d *positionDriver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	c, err := d.fakeDriver.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	return &positionConn{fakeConn: c.(*fakeConn)}, nil
}

type positionConn struct {
	*fakeConn
	open bool
}

func (c *positionConn) Run(_ context.Context, r *proto.Request, _ proto.Sink) (proto.Answer, error) {
	a := proto.Answer{TxStatus: 'I', HasStatus: true, Status: group.Status{Server: c.server, Term: 1, LogTerm: 1, Received: 7}}
	if c.open = string(r.Messages) != "commit" && (c.open || r.TxOpening != proto.OpenNone); c.open {
		a.TxStatus = 'T'
	}
	if string(r.Messages) == "fail" {
		a.ErrorCode = "FAILED"
	}
	return a, nil
}

// reached makes all servers report the position with which requests are answered.
func reached(s *group.Status) { s.Received, s.Applied = 7, 7 }

func (d *fakeDriver) setStatus(change func(*group.Status)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.change = change
}

// TestSupersededAnswerIsCounted lets the instance learn of a change of primary in each way, runs
// requests at the primary and expects each answer to a write to be counted and logged.
func TestSupersededAnswerIsCounted(t *testing.T) {
	seal := func(t *testing.T, g *Group, _ *fakeDriver) { g.seal(group.Seal{Server: "b", Term: 2}) }
	tests := []struct {
		name  string
		learn func(t *testing.T, g *Group, d *fakeDriver)
		run   string
		seen  sign
		want  int
	}{
		{"nothing", func(*testing.T, *Group, *fakeDriver) {}, "write", sealSeen, 0},
		{"another's claim", func(_ *testing.T, g *Group, _ *fakeDriver) {
			g.recordDecision(group.JournalEntry{Decision: group.ClaimLost, Term: 2})
		}, "write", claimSeen, 1},
		{"own seal", seal, "write", sealSeen, 1},
		{"own seal, commit", seal, "commit", sealSeen, 1},
		{"own seal, read", seal, "read", sealSeen, 0},
		{"own seal, failed write", seal, "fail", sealSeen, 0},
		{"seal of the last change", func(t *testing.T, g *Group, d *fakeDriver) {
			d.setStatus(func(s *group.Status) {
				switch s.Server {
				case "a":
					s.Term = 2
				case "b":
					s.Sealed = 3
				}
			})
			eventually(t, "the next term is seen", func() bool { _, term := g.Primary(); return term == 2 })
			began := clock.Now()
			eventually(t, "the seal is polled", func() bool { return g.tracker.current.Load().servers[1].asked.After(began.Add(50 * time.Millisecond)) })
			g.recordSuperseded(&Work{Kind: stmt.Write}, proto.Answer{HasStatus: true, Status: group.Status{Server: "a", Term: 2}})
		}, "", sealSeen, 0},
		{"own seal, answer of the next term", func(t *testing.T, g *Group, d *fakeDriver) {
			seal(t, g, d)
			g.recordSuperseded(&Work{Kind: stmt.Write}, proto.Answer{HasStatus: true, Status: group.Status{Server: "a", Term: 2}})
		}, "", sealSeen, 0},
		{"own seal, answer of a replica", func(t *testing.T, g *Group, d *fakeDriver) {
			seal(t, g, d)
			g.recordSuperseded(&Work{Kind: stmt.Commit}, proto.Answer{HasStatus: true, Status: group.Status{Server: "b", Term: 1}})
		}, "", sealSeen, 0},
		{"another's seal", func(t *testing.T, g *Group, d *fakeDriver) {
			d.setStatus(func(s *group.Status) {
				reached(s)
				if s.Server == "b" {
					s.Sealed = 2
				}
			})
			eventually(t, "the seal is seen", func() bool { return g.change.Load() != nil })
		}, "write", sealSeen, 1},
		{"own order", func(t *testing.T, g *Group, d *fakeDriver) {
			seal(t, g, d)
			g.promote(group.Promote{Server: "b", Term: 2})
			seal(t, g, d)
		}, "write", orderSeen, 1},
		{"successor", func(t *testing.T, g *Group, d *fakeDriver) {
			d.setStatus(func(s *group.Status) {
				if s.Server == "b" {
					s.Role, s.Term = group.Primary, 2
				}
			})
			eventually(t, "the successor is seen", func() bool { id, _ := g.Primary(); return id == "b" })
		}, "write", successorSeen, 1},
		{"released seal", func(t *testing.T, g *Group, d *fakeDriver) {
			seal(t, g, d)
			g.releaseSeal("b")
		}, "write", sealSeen, 0},
		{"old seal", func(t *testing.T, g *Group, d *fakeDriver) {
			seal(t, g, d)
			g.change.Load().at = clock.Now().Add(-signLifetime)
		}, "write", sealSeen, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &positionDriver{newDriver()}
			d.setStatus(reached)
			g := startGroup(t, d, &claimStore{})
			eventually(t, "all servers answer", func() bool {
				v := g.tracker.current.Load()
				return len(v.servers) == 3 && v.servers[0].known && v.servers[1].known && v.servers[2].known
			})
			test.learn(t, g, d.fakeDriver)
			if test.run != "" {
				runNamed(t, g, test.run)
			}
			checkSuperseded(t, g, test.seen, test.want)
		})
	}
}

// runNamed runs a write, a failing write, a read, or a transaction that ends with its commit.
func runNamed(t *testing.T, g *Group, name string) {
	t.Helper()
	run := func(w Work) Result {
		w.Customer, w.Group, w.ReadConsistency, w.Limits = "c", "g", conf.LatestReads, Limits{Run: 5 * time.Second, QueueWait: 5 * time.Second, AckWait: 5 * time.Second}
		ctx, cancel := context.WithTimeout(context.Background(), w.Limits.Run)
		defer cancel()
		r := g.Run(ctx, &w, &bufferSink{})
		if r.Outcome != fault.Done {
			t.Fatalf("%s: %+v", name, r)
		}
		return r
	}
	kinds := map[string]stmt.Kind{"write": stmt.Write, "fail": stmt.Write, "read": stmt.Read, "commit": stmt.Commit}
	w := Work{Trace: "late", Kind: kinds[name], Request: proto.Request{Messages: []byte(name)}}
	if w.Kind == stmt.Commit {
		w.Tx = run(Work{Trace: "opened", Kind: stmt.Begin, Request: proto.Request{TxOpening: proto.OpenReadWrite}}).Tx
	}
	run(w)
}

func checkSuperseded(t *testing.T, g *Group, seen sign, want int) {
	t.Helper()
	var events []jrnl.Event
	for _, e := range g.conf.Journal.Since(time.Time{}) {
		if e.Kind == jrnl.SupersededAnswer {
			events = append(events, e)
		}
	}
	total := 0
	for _, c := range g.conf.changes.superseded {
		var metric dto.Metric
		if err := c.Write(&metric); err != nil {
			t.Fatal(err)
		}
		total += int(metric.GetCounter().GetValue())
	}
	if total != want || len(events) != want {
		t.Fatalf("%d counted, recorded %+v, want %d", total, events, want)
	}
	if want == 0 {
		return
	}
	e := events[0]
	if e.Trace != "late" || e.Customer != "c" || e.Group != "g" || e.Term != ident.Term(1) || e.Reason != seen.String() || !strings.Contains(e.Evidence, " answered at position 0/7; ") {
		t.Errorf("recorded %+v, want reason %s", e, seen)
	}
}

// TestStepsOfChangeAreRecorded seals servers and orders one to lead, and expects a line for each step with what the servers
// had last reported.
func TestStepsOfChangeAreRecorded(t *testing.T) {
	d := &positionDriver{newDriver()}
	store := &claimStore{accepts: true}
	g := startGroup(t, d, store)
	eventually(t, "the primary is confirmed", func() bool {
		return slices.ContainsFunc(g.conf.Journal.Since(time.Time{}), func(e jrnl.Event) bool { return e.Kind == jrnl.PrimaryConfirmed })
	})
	listed := ident.VersionOf(7)
	g.conf.changes.listed.Store(&listed)
	g.recordDecision(group.JournalEntry{Decision: group.Claiming, Server: "a", Term: 2, Evidence: "why"})
	g.seal(group.Seal{Server: "b", Term: 2})
	d.setDown("c", true)
	g.seal(group.Seal{Server: "c", Term: 2})
	claimed := func(kept group.Record, _ ident.Version) (group.Record, bool) {
		kept.Claim = 5
		return kept, true
	}
	if _, _, written, err := g.updateRecord(t.Context(), claimed); err != nil || !written {
		t.Fatalf("written: %t, error: %v", written, err)
	}
	g.promote(group.Promote{Server: "b", Term: 2, Claim: 5})
	g.releaseSeal("b")
	servers := "list 7 of servers: a primary of term 1 at position 1.0/0, sealed for term 0, asked "
	for kind, want := range map[jrnl.Kind]string{
		jrnl.TermClaimed: "why; " + servers, jrnl.ServerSealed: "replica of term 1 at position 1.0/0, sealed for term 0, in ",
		jrnl.ServerNotSealed: "it refused or did not answer within ", jrnl.OrderSent: "claim 5; " + servers, jrnl.SealReleased: "error: <nil>",
	} {
		found := ""
		for _, e := range g.conf.Journal.Since(time.Time{}) {
			if e.Kind == kind && e.Incident == "g-term-2" && e.Group == "g" {
				found = e.Evidence
			}
		}
		if !strings.Contains(found, want) {
			t.Errorf("%s: recorded %q, want %q in it", kind, found, want)
		}
	}
}

// TestOrderIsNotSentToServerThatHasStartedAgain lets a server start again between its seal and the order.
func TestOrderIsNotSentToServerThatHasStartedAgain(t *testing.T) {
	sealed := group.Status{Server: "b", Term: 1, Sealed: 2, LogTerm: 1, Received: 7}
	demoted := group.Status{Server: "b", Term: 1, LogTerm: 1, Received: 7}
	for name, c := range map[string]struct {
		sealed, now group.Status
		down, want  bool
	}{
		"as it was sealed":      {sealed: sealed, now: sealed, want: true},
		"has lost its seal":     {sealed: sealed, now: demoted},
		"has lost its log":      {sealed: sealed, now: group.Status{Server: "b", Sealed: 2}},
		"does not answer":       {sealed: sealed, now: sealed, down: true},
		"demoted":               {sealed: demoted, now: demoted, want: true},
		"demoted, started anew": {sealed: demoted, now: group.Status{Server: "b"}},
		"not fenced":            {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver()
			g := startGroup(t, d, &claimStore{})
			d.setStatus(func(s *group.Status) { *s = c.now })
			d.setDown("b", c.down)
			conn := &fakeConn{driver: d, server: "b"}
			if may := g.mayOrder(context.Background(), conn, group.Promote{Server: "b", Term: 2, Sealed: c.sealed}); may != c.want {
				t.Errorf("the order may be sent: %v, want %v", may, c.want)
			}
		})
	}
}
