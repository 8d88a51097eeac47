package group

import (
	"testing"

	"geraniumseam.dev/pkg/ident"
)

// pollEvacuated reports the primary and a at one position and b at another.
func (h *harness) pollEvacuated(position, ofB ident.Position) {
	h.poll("p", Primary, position)
	h.poll("a", Replica, position)
	h.poll("b", Replica, ofB)
}

// promoteEvacuated answers the claim and seals all servers at one position; it returns the server ordered to lead.
func (h *harness) promoteEvacuated(c Claim, position ident.Position) ident.ServerID {
	h.step(Claimed{Term: c.Record.Term, Granted: true, Record: c.Record})
	var actions []Action
	for _, id := range []ident.ServerID{"a", "b", "p"} {
		actions = append(actions, h.step(Sealed{Term: c.Record.Term, OK: true, Status: Status{Server: id, Term: 1, LogTerm: 1, Received: position, Sealed: c.Record.ReplacedTerm + 1}})...)
	}
	order, _ := find[Promote](actions)
	return order.Server
}

// TestEvacuatedPrimaryIsReplacedElsewhere guards against a primary that stays in an evacuated data centre, is replaced
// by a server there although one elsewhere has its log, or is replaced while none elsewhere has it.
func TestEvacuatedPrimaryIsReplacedElsewhere(t *testing.T) {
	for _, synchronous := range []bool{true, false} {
		h := newHarness(t)
		if !synchronous {
			h = newFencedHarness(t, "p", "a", "b")
		}
		h.m.SetEvacuated(map[ident.ServerID]bool{"p": true, "a": true})
		if c, claims := find[Claim](h.advance(synchTiming.StepTime, func() { h.pollEvacuated(9, 8) })); claims {
			t.Fatalf("synchronous %t: %+v although no server elsewhere has the primary's log", synchronous, c)
		}
		h.m.SetEvacuated(nil)
		if c, claims := find[Claim](h.advance(synchTiming.StepTime, func() { h.pollEvacuated(9, 9) })); claims {
			t.Fatalf("synchronous %t: %+v after the end of the evacuation", synchronous, c)
		}
		h.m.SetEvacuated(map[ident.ServerID]bool{"p": true, "a": true})
		h.pollEvacuated(9, 9)
		claim, claims := find[Claim](h.step(Tick{}))
		if !claims {
			t.Fatalf("synchronous %t: no claim to replace an evacuated primary", synchronous)
		}
		if !synchronous {
			h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: claim.Record})
			h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: "p", Term: 1, LogTerm: 1, Received: 9, Sealed: claim.Record.Term}})
			h.step(Tick{})
			h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: "b", Term: 1, LogTerm: 1, Received: 9, Sealed: claim.Record.Term}})
			order, _ := find[Promote](h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: "a", Term: 1, LogTerm: 1, Received: 9, Sealed: claim.Record.Term}}))
			if order.Server != "b" {
				t.Errorf("ordered %q to lead an asynchronous group, want b", order.Server)
			}
			continue
		}
		if got := h.promoteEvacuated(claim, 9); got != "b" {
			t.Errorf("ordered %q to lead, want b", got)
		}
	}
}

// TestSuccessorIsNotEvacuated guards against the promotion of a server in an evacuated data centre after the loss of the
// primary, although one elsewhere has an equal log.
func TestSuccessorIsNotEvacuated(t *testing.T) {
	for evacuated, want := range map[ident.ServerID]ident.ServerID{"a": "b", "b": "a"} {
		h := newHarness(t)
		h.m.SetEvacuated(map[ident.ServerID]bool{evacuated: true})
		claim := h.claim()
		h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: claim.Record})
		var actions []Action
		for _, id := range []ident.ServerID{"a", "b"} {
			actions = append(actions, h.step(Sealed{Term: claim.Record.Term, OK: true, Status: Status{Server: id, Term: 1, LogTerm: 1, Received: 7, Sealed: 2}})...)
		}
		if order, _ := find[Promote](actions); order.Server != want {
			t.Errorf("%s evacuated: ordered %q to lead, want %s", evacuated, order.Server, want)
		}
	}
}

// TestEvacuatedPrimaryCountsTowardsMajority guards against an evacuated primary that is never replaced because the others
// alone are no majority, and against a claim that no majority can answer.
func TestEvacuatedPrimaryCountsTowardsMajority(t *testing.T) {
	for name, c := range map[string]struct {
		servers []ident.ServerID
		polled  []ident.ServerID
		want    bool
	}{
		"two servers":                   {[]ident.ServerID{"p", "a"}, []ident.ServerID{"p", "a"}, true},
		"three servers, one silent":     {[]ident.ServerID{"p", "a", "b"}, []ident.ServerID{"p", "a"}, true},
		"four servers, two silent":      {[]ident.ServerID{"p", "a", "b", "c"}, []ident.ServerID{"p", "a"}, false},
		"two servers, one of them gone": {[]ident.ServerID{"p", "a"}, []ident.ServerID{"p"}, false},
	} {
		h := newFencedHarness(t, c.servers...)
		poll := func() {
			for _, id := range c.polled {
				h.poll(id, map[bool]Role{true: Primary, false: Replica}[id == "p"], 7)
			}
		}
		h.advance(2*synchTiming.Silence, poll)
		h.m.SetEvacuated(map[ident.ServerID]bool{"p": true})
		claim, claims := find[Claim](h.advance(synchTiming.StepTime, poll))
		if claims != c.want {
			t.Errorf("%s: claim %t, want %t", name, claims, c.want)
		}
		if !claims {
			continue
		}
		h.step(Claimed{Term: claim.Record.Term, Granted: true, Record: claim.Record})
		h.sealed(claim.Record.Term, "p")
		actions := h.step(Tick{})
		for _, id := range c.polled {
			actions = append(actions, h.sealed(claim.Record.Term, id)...)
		}
		if order, _ := find[Promote](actions); order.Server != "a" {
			t.Errorf("%s: ordered %q to lead, want a", name, order.Server)
		}
	}
}
