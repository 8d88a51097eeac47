package owner

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=sign -linecomment -output=sign_string.go

// sign is how an instance has learnt that a primary is being replaced.
type sign uint8

const (
	claimSeen     sign = iota // claim
	sealSeen                  // seal
	orderSeen                 // order
	successorSeen             // successor
)

// signLifetime is how long after the latest sign the primary's answers are counted as
// superseded: for as long as a claim is valid and its order may take to have effect.
const signLifetime = 5 * time.Second

// change is the latest sign of a change of primary; replaced is the term of the primary.
type change struct {
	replaced ident.Term
	sign     sign
	at       time.Time
}

// changes counts the answers of superseded primaries and holds the version of the list of servers
// that is in use.
type changes struct {
	listed     atomic.Pointer[ident.Version]
	superseded [int(successorSeen) + 1]prometheus.Counter
}

func newChanges(r prometheus.Registerer) *changes {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumseam_superseded_answers_total", Help: "Writes and commits that a primary answered after this instance had learnt of its replacement, by how it had.",
	}, []string{"seen"})
	c := &changes{}
	c.listed.Store(&ident.Version{})
	for s := range c.superseded {
		c.superseded[s] = vec.WithLabelValues(sign(s).String())
	}
	if r != nil {
		r.MustRegister(vec)
	}
	return c
}

// noteChange records a sign that the present primary is being replaced.
func (g *Group) noteChange(s sign) {
	next := &change{replaced: g.tracker.current.Load().term, sign: s, at: clock.Now()}
	old := g.change.Load()
	if old != nil && old.replaced == next.replaced && next.at.Sub(old.at) < signLifetime {
		next.sign = max(next.sign, old.sign)
	}
	g.change.Store(next)
}

// noteStatus records a seal that a poll has found. A server of an earlier term may still have the seal of
// the last change.
func (g *Group) noteStatus(s group.Status) {
	if term := g.tracker.current.Load().term; s.Sealed > term && s.Term >= term {
		g.noteChange(sealSeen)
	}
}

// recordSuperseded counts and logs a primary's answer to a write that came after a sign of its replacement.
func (g *Group) recordSuperseded(w *Work, a proto.Answer) {
	v, c := g.tracker.current.Load(), g.change.Load()
	var seen sign
	switch {
	case !a.HasStatus || g.isReplica(a.Status):
		return
	case v.superseded(a.Status.Term):
		seen = successorSeen
	case c != nil && a.Status.Term <= c.replaced && clock.Since(c.at) < signLifetime:
		seen = c.sign
	default:
		return
	}
	if g.conf.changes != nil {
		g.conf.changes.superseded[seen].Inc()
	}
	g.recordEvent(jrnl.Event{
		Kind: jrnl.SupersededAnswer, Trace: w.Trace, Customer: w.Customer, Server: a.Status.Server, Term: a.Status.Term, Reason: seen.String(),
		Evidence: fmt.Sprintf("%s answered at position %s; %s", w.Kind, a.Status.Received, g.describeServers()),
	})
}

// isReplica reports whether an answer came from a server whose last report is that of a replica of its term.
func (g *Group) isReplica(answered group.Status) bool {
	last := g.tracker.current.Load().reportOf(g.at(answered.Server))
	return last != nil && last.status.Role == group.Replica && last.status.Term <= answered.Term
}

// recordStep records a step of a change of primary under its incident.
func (g *Group) recordStep(e jrnl.Event) {
	g.mu.Lock()
	e.Incident = g.incident
	g.mu.Unlock()
	g.recordEvent(e)
}

// recordSeal records the result of sealing a server, asked at the given time.
func (g *Group) recordSeal(a group.Seal, asked time.Time, s group.Status, err error) {
	g.noteChange(sealSeen)
	took := clock.Since(asked).Round(time.Millisecond)
	e := jrnl.Event{Kind: jrnl.ServerSealed, Server: a.Server, Term: a.Term, Evidence: fmt.Sprintf("%s, in %v", describeStatus(s), took)}
	if s.Server == "" || err != nil {
		e.Kind, e.Evidence = jrnl.ServerNotSealed, fmt.Sprintf("it refused or did not answer within %v: %v", took, err)
	}
	g.recordStep(e)
}

// recordRelease records the result of releasing a server's seal.
func (g *Group) recordRelease(id ident.ServerID, err error) {
	if err == nil {
		g.change.Store(nil)
	}
	g.recordStep(jrnl.Event{Kind: jrnl.SealReleased, Server: id, Evidence: fmt.Sprintf("error: %v", err)})
}

// evidenceOfClaim returns what the group knew of its servers when it claimed, or lost a claim to another instance.
func (g *Group) evidenceOfClaim(n group.JournalEntry) string {
	switch n.Decision {
	case group.ClaimLost:
		g.noteChange(claimSeen)
	case group.Claiming:
		return "; " + g.describeServers()
	}
	return ""
}

// recordOrder records that a promotion order is about to be sent.
func (g *Group) recordOrder(a group.Promote) {
	g.noteChange(orderSeen)
	g.recordStep(jrnl.Event{Kind: jrnl.OrderSent, Server: a.Server, Term: a.Term, Evidence: fmt.Sprintf("fence %d of claim %d; %s", a.Fence, a.Claim, g.describeServers())})
}

// describeServers lists the group's servers with their last reports, and the version of the list that names them.
func (g *Group) describeServers() string {
	var text strings.Builder
	if g.conf.changes != nil {
		fmt.Fprintf(&text, "list %s of servers: ", g.conf.changes.listed.Load())
	}
	v := g.tracker.current.Load()
	for i, id := range g.serverIDs() {
		if i > 0 {
			text.WriteString(", ")
		}
		r := v.reportOf(g.at(id))
		if r == nil {
			fmt.Fprintf(&text, "%s never answered", id)
			continue
		}
		fmt.Fprintf(&text, "%s %s, asked %v ago", id, describeStatus(r.status), clock.Since(r.asked).Round(time.Millisecond))
	}
	return text.String()
}

func describeStatus(s group.Status) string {
	return fmt.Sprintf("%s of term %d at position %d.%s, sealed for term %d", s.Role, s.Term, s.LogTerm, s.Received, s.Sealed)
}
