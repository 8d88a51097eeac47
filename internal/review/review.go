package review

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/pkg/ident"
)

// Review is an explanation of what a fleet did.
type Review struct {
	From      time.Time          `json:"from"`
	To        time.Time          `json:"to"`
	Incidents []Incident         `json:"incidents"`
	Others    []jrnl.Event       `json:"others"`
	Costs     []Cost             `json:"costs"`
	Unknown   []jrnl.Event       `json:"unknown"`
	Missing   []ident.InstanceID `json:"missing,omitempty"`
}

// Incident is one change of primary, or an attempt at one, as all instances saw it.
type Incident struct {
	Name   string        `json:"name"`
	Group  ident.GroupID `json:"group"`
	Began  time.Time     `json:"began"`
	Ended  time.Time     `json:"ended"`
	Events []jrnl.Event  `json:"events"`
}

// Cost is what one customer was refused for one reason.
type Cost struct {
	Customer ident.CustomerID `json:"customer"`
	Kind     jrnl.Kind        `json:"kind"`
	Reason   string           `json:"reason"`
	Count    int64            `json:"count"`
	First    time.Time        `json:"first"`
	Last     time.Time        `json:"last"`
	// Trace is one of the requests.
	Trace ident.TraceID `json:"trace,omitempty"`
}

// Make explains events; a trace keeps only what belongs to it.
func Make(events []jrnl.Event, missing []ident.InstanceID, trace ident.TraceID) Review {
	r := Review{Missing: missing}
	jrnl.Order(events)
	incidents := map[string]*Incident{}
	costs := map[string]*Cost{}
	for _, e := range events {
		if trace != "" && e.Trace != trace {
			continue
		}
		r.span(e)
		switch {
		case e.Incident != "":
			addIncident(incidents, e)
		case e.Kind == jrnl.Refused || e.Kind == jrnl.Retried || e.Kind == jrnl.Lost:
			addCost(costs, e)
			if e.Kind == jrnl.Lost {
				r.Unknown = append(r.Unknown, e)
			}
		default:
			r.Others = append(r.Others, e)
		}
	}
	for _, i := range incidents {
		r.Incidents = append(r.Incidents, *i)
	}
	slices.SortFunc(r.Incidents, func(a, b Incident) int { return a.Began.Compare(b.Began) })
	for _, name := range slices.Sorted(maps.Keys(costs)) {
		r.Costs = append(r.Costs, *costs[name])
	}
	slices.SortStableFunc(r.Costs, func(a, b Cost) int { return cmp.Compare(b.Count, a.Count) })
	return r
}

func (r *Review) span(e jrnl.Event) {
	if r.From.IsZero() || e.At.Before(r.From) {
		r.From = e.At
	}
	if e.At.After(r.To) {
		r.To = e.At
	}
}

func addIncident(all map[string]*Incident, e jrnl.Event) {
	i := all[e.Incident]
	if i == nil {
		i = &Incident{Name: e.Incident, Group: e.Group, Began: e.At}
		all[e.Incident] = i
	}
	i.Ended = e.At
	i.Events = append(i.Events, e)
}

func addCost(all map[string]*Cost, e jrnl.Event) {
	name := fmt.Sprintf("%s/%s/%s", e.Customer, e.Kind, e.Reason)
	c := all[name]
	if c == nil {
		c = &Cost{Customer: e.Customer, Kind: e.Kind, Reason: e.Reason, First: e.At, Trace: e.Trace}
		all[name] = c
	}
	c.Count += max(e.Count, 1)
	c.Last = e.At
}

const clock = "15:04:05.000"

// Text prints the review for people.
func (r Review) Text(w io.Writer) {
	fmt.Fprintf(w, "Review from %s to %s\n", r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "No answer from %s: what only they saw is missing here.\n", join(r.Missing))
	}
	r.incidentText(w)
	if len(r.Others) > 0 {
		fmt.Fprintf(w, "\nAlso\n")
	}
	for _, e := range r.Others {
		fmt.Fprintf(w, "  %s  %-14s %s\n", e.At.UTC().Format(clock), e.Instance, Sentence(e))
	}
	r.costText(w)
	if len(r.Unknown) > 0 {
		fmt.Fprintf(w, "\nUnknown to this day: whether these requests took effect\n")
	}
	for _, e := range r.Unknown {
		fmt.Fprintf(w, "  %s  customer %s, group %s, trace %s: %s\n", e.At.UTC().Format(clock), e.Customer, e.Group, e.Trace, e.Reason)
	}
}

func (r Review) incidentText(w io.Writer) {
	for _, i := range r.Incidents {
		fmt.Fprintf(w, "\nIncident %s, group %s, %s from the first sign to the last step\n", i.Name, i.Group, i.Ended.Sub(i.Began).Round(time.Millisecond))
		for _, e := range i.Events {
			fmt.Fprintf(w, "  %s  %-14s %s\n", e.At.UTC().Format(clock), e.Instance, Sentence(e))
		}
	}
}

func (r Review) costText(w io.Writer) {
	if len(r.Costs) > 0 {
		fmt.Fprintf(w, "\nWhat it cost\n")
	}
	for _, c := range r.Costs {
		fmt.Fprintf(w, "  customer %s: %d × %s, %s, between %s and %s, for example trace %s\n",
			c.Customer, c.Count, c.Kind, c.Reason, c.First.UTC().Format(clock), c.Last.UTC().Format(clock), c.Trace)
	}
}

func join(ids []ident.InstanceID) string {
	parts := make([]string, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, string(id))
	}
	return strings.Join(parts, ", ")
}

// sentences say what an event means.
var sentences = map[jrnl.Kind]string{
	jrnl.Started: "started", jrnl.Stopping: "began to shut down",
	jrnl.PrimarySuspect: "suspects the primary", jrnl.PrimaryBack: "found the primary well again",
	jrnl.TermClaimed: "claims the next term", jrnl.ClaimLost: "leaves the claim to another instance",
	jrnl.ClaimUnrecorded: "goes on without the platform", jrnl.MajoritySealed: "sealed a majority: the old primary can acknowledge nothing more",
	jrnl.SealFailed: "gave up this attempt", jrnl.ServerPromoted: "promoted a server", jrnl.PrimaryChanged: "sees a new primary",
	jrnl.ServerRepointed: "pointed a server at the new primary", jrnl.TailDiscarded: "had a server discard what no majority held",
	jrnl.ConfigInForce: "put a configuration in force", jrnl.ConfigRefused: "refused a configuration and kept the old one",
	jrnl.CallersEnded: "ended callers", jrnl.PlatformLost: "lost the platform", jrnl.PlatformBack: "reached the platform again",
	jrnl.ShareChanged: "changed its part of the rates", jrnl.PeerJoined: "linked with an instance", jrnl.PeerLost: "lost the link to an instance",
	jrnl.OwnerChanged: "ownership changed", jrnl.ServerLeaving: "gives a leaving server no new work",
	jrnl.Refused: "refused a request", jrnl.Retried: "tried a request again", jrnl.Lost: "lost sight of a request",
}

// Sentence says in words what an event means.
func Sentence(e jrnl.Event) string {
	var text strings.Builder
	said := sentences[e.Kind]
	if said == "" {
		said = e.Kind.String()
	}
	text.WriteString(said)
	if e.Server != "" {
		fmt.Fprintf(&text, " (%s)", e.Server)
	}
	if e.Term > 0 {
		fmt.Fprintf(&text, " [term %d]", e.Term)
	}
	if e.Version > 0 {
		fmt.Fprintf(&text, " [configuration %d]", e.Version)
	}
	if e.Count > 1 {
		fmt.Fprintf(&text, " ×%d", e.Count)
	}
	if e.Evidence != "" {
		fmt.Fprintf(&text, ": %s", e.Evidence)
	}
	return text.String()
}
