package group

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// brokenAcks is an acknowledger with one mechanism switched off.
type brokenAcks struct {
	proven
	name string
}

func (b *brokenAcks) polled(p modelPoll) {
	l := b.lease
	switch b.name {
	case "connections-not-compared":
		p.connection = 0
	case "lease-begins-without-record":
		if !l.until.IsZero() && l.recordKnown {
			l.restartFrom, l.claimPossible = p.answered.Add(-PromotionTime/2), false
		}
	case "restarted-member-counts":
		for _, w := range l.states {
			w.trusted = w.trusted || !p.answered.Before(l.until)
		}
	case "lease-begins-with-one-member":
		if !p.answered.Before(l.until) && l.isMember(p.status.Server) && p.status.Role == Replica && p.status.Sealed <= l.term && p.status.Term <= l.term {
			l.until = p.asked.Add(PromotionTime)
		}
	}
	b.proven.polled(p)
	s, held := p.status, p.answered.Before(l.until)
	follows := s.Role == Replica && s.Term == l.term && s.Server != l.primary
	switch b.name {
	case "any-server-counts":
		if held && follows && s.LogTerm == l.term && l.staysLongEnough(s.Server, p.answered) {
			l.proven[l.term] = max(l.proven[l.term], s.Received)
		}
	case "sealed-member-extends-lease":
		if held && follows && l.isMember(s.Server) {
			l.extend(p.asked, p.answered)
		}
	case "any-server-extends-lease":
		if held && follows && s.Sealed <= l.term {
			l.extend(p.asked, p.answered)
		}
	case "lease-never-ends":
		if held {
			l.until = p.answered.Add(time.Hour)
		}
	case "counts-without-lease":
		if follows && s.LogTerm == l.term && l.isMember(s.Server) && l.staysLongEnough(s.Server, p.answered) {
			l.proven[l.term] = max(l.proven[l.term], s.Received)
		}
	}
}

func (b *brokenAcks) recorded(r Record, v ident.Version, asked, answered time.Time) {
	if b.name == "claim-in-record-ignored" {
		r.ReplacedTerm, r.Claim = 0, 0
	}
	b.proven.recorded(r, v, asked, answered)
	if b.name == "record-never-expires" {
		b.lease.recordAsked = asked.Add(time.Hour)
	}
}

// newBrokenListsModel returns a model with one mechanism switched off.
func newBrokenListsModel(seed uint64, plan listsPlan, name string) *listsModel {
	m := newListsModel(seed, plan, func(*listsModel, *listsInstance) acknowledger {
		if name == "answers-passed-on-at-once" {
			return passOnAtOnce{}
		}
		return &brokenAcks{proven: proven{lease: NewTermLease(LeaseConfig{})}, name: name}
	})
	m.ageNotCounted = name == "age-not-counted"
	m.alter = func(_ int, e Event) Event { return breakEvent(name, e) }
	if name == "lost-seal-not-seen" {
		m.synchModel.mayOrder = nil
	}
	intercept := m.synchModel.intercept
	m.synchModel.intercept = func(at int, action Action) bool {
		if a, ok := action.(Promote); ok && name == "order-does-not-wait" {
			a.NotBefore = time.Time{}
			m.execute(at, a)
			return true
		}
		return intercept(at, action)
	}
	return m
}

// breakEvent changes what an instance's Machine learns.
func breakEvent(name string, e Event) Event {
	change := func(*Record) {}
	switch name {
	case "only-listed-servers-sealed":
		change = func(r *Record) { r.Members, r.Former = nil, nil }
	case "former-members-not-sealed":
		change = func(r *Record) { r.Former = nil }
	}
	switch e := e.(type) {
	case Recorded:
		change(&e.Record)
		return e
	case Claimed:
		change(&e.Record)
		return e
	}
	return e
}

// listsPlans are the plans by the names in the list of broken mechanisms.
var listsPlans = map[string]listsPlan{"A": planA, "B": planB, "C": planC, "D": planD, "E": planE, "F": planF, "G": planG, "R": planR, "S": planS, "T": planT, "U": planU, "V": planV, "W": planW}

// listsDetectionSchedules is the most schedules of a plan that may pass before a broken mechanism shows.
const listsDetectionSchedules = 600

// TestModelOfListsDetectsBrokenMechanisms switches off one mechanism at a time and checks that the schedules
// of each named plan show a violation, which the same schedule does not show with the mechanism.
func TestModelOfListsDetectsBrokenMechanisms(t *testing.T) {
	list, err := os.Open("testdata/broken-lists.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	for lines := bufio.NewScanner(list); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		for _, plan := range words[1] {
			t.Run(words[0]+"/"+string(plan), func(t *testing.T) {
				t.Parallel()
				detectBroken(t, listsPlans[string(plan)], words[0])
			})
		}
	}
}

func detectBroken(t *testing.T, plan listsPlan, name string) {
	t.Helper()
	for seed := range uint64(listsDetectionSchedules) {
		v := newBrokenListsModel(seed, plan, name).run(synchSteps)
		if v == "" || newBrokenListsModel(seed, plan, "").run(synchSteps) != "" {
			continue
		}
		t.Logf("seed %d: %s", seed, v)
		return
	}
	t.Fatalf("no violation in %d schedules with the mechanism switched off", listsDetectionSchedules)
}
