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

// Review is a summary of a fleet's journal events.
type Review struct {
	// From and To are the times of the first and the last event.
	From            time.Time          `json:"from"`
	To              time.Time          `json:"to"`
	Incidents       []Incident         `json:"incidents"`
	OtherEvents     []jrnl.Event       `json:"others"`
	Impacts         []Impact           `json:"costs"`
	UnknownOutcomes []jrnl.Event       `json:"unknown"`
	Missing         []ident.InstanceID `json:"missing,omitempty"`
}

// Incident is one failover, completed or not, with its events from all instances.
type Incident struct {
	Name   string        `json:"name"`
	Group  ident.GroupID `json:"group"`
	Began  time.Time     `json:"began"`
	Ended  time.Time     `json:"ended"`
	Events []jrnl.Event  `json:"events"`
}

// Impact counts a customer's events of one kind for one reason: refused requests,
// retried ones, or ones with an unknown outcome.
type Impact struct {
	Customer ident.CustomerID `json:"customer"`
	Kind     jrnl.Kind        `json:"kind"`
	Reason   string           `json:"reason"`
	Count    int64            `json:"count"`
	First    time.Time        `json:"first"`
	Last     time.Time        `json:"last"`
	// Trace identifies the first of these requests.
	Trace ident.TraceID `json:"trace,omitempty"`
}

// Summarize summarizes events, or only those with the given trace if it is not empty. It sorts
// events in place. The missing instances are those whose events could not be read.
func Summarize(events []jrnl.Event, missing []ident.InstanceID, trace ident.TraceID) Review {
	r := Review{Missing: missing}
	jrnl.SortEvents(events)
	incidents := map[string]*Incident{}
	impacts := map[string]*Impact{}
	for _, e := range events {
		if trace != "" && e.Trace != trace {
			continue
		}
		r.extendSpan(e)
		switch {
		case e.Incident != "":
			addIncident(incidents, e)
		case e.Kind == jrnl.Refused || e.Kind == jrnl.Retried || e.Kind == jrnl.OutcomeUnknown:
			addImpact(impacts, e)
			if e.Kind == jrnl.OutcomeUnknown {
				r.UnknownOutcomes = append(r.UnknownOutcomes, e)
			}
		default:
			r.OtherEvents = append(r.OtherEvents, e)
		}
	}
	for _, i := range incidents {
		r.Incidents = append(r.Incidents, *i)
	}
	slices.SortFunc(r.Incidents, func(a, b Incident) int { return a.Began.Compare(b.Began) })
	for _, key := range slices.Sorted(maps.Keys(impacts)) {
		r.Impacts = append(r.Impacts, *impacts[key])
	}
	slices.SortStableFunc(r.Impacts, func(a, b Impact) int { return cmp.Compare(b.Count, a.Count) })
	return r
}

func (r *Review) extendSpan(e jrnl.Event) {
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

func addImpact(all map[string]*Impact, e jrnl.Event) {
	key := fmt.Sprintf("%s/%s/%s", e.Customer, e.Kind, e.Reason)
	i := all[key]
	if i == nil {
		i = &Impact{Customer: e.Customer, Kind: e.Kind, Reason: e.Reason, First: e.At, Trace: e.Trace}
		all[key] = i
	}
	i.Count += max(e.Count, 1)
	i.Last = e.At
}

// timeLayout formats the times of events in texts.
const timeLayout = "15:04:05.000"

// WriteText writes the review as text.
func (r Review) WriteText(w io.Writer) {
	fmt.Fprintf(w, "Review from %s to %s\n", r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "No answer from %s: events recorded only there are missing.\n", joinIDs(r.Missing))
	}
	r.writeIncidents(w)
	if len(r.OtherEvents) > 0 {
		fmt.Fprintf(w, "\nAlso\n")
	}
	for _, e := range r.OtherEvents {
		fmt.Fprintf(w, "  %s  %-14s %s\n", e.At.UTC().Format(timeLayout), e.Instance, Describe(e))
	}
	r.writeImpacts(w)
	if len(r.UnknownOutcomes) > 0 {
		fmt.Fprintf(w, "\nRequests with unknown outcome\n")
	}
	for _, e := range r.UnknownOutcomes {
		fmt.Fprintf(w, "  %s  customer %s, group %s, trace %s: %s\n", e.At.UTC().Format(timeLayout), e.Customer, e.Group, e.Trace, e.Reason)
	}
}

func (r Review) writeIncidents(w io.Writer) {
	for _, i := range r.Incidents {
		fmt.Fprintf(w, "\nIncident %s, group %s, %s from first to last event\n", i.Name, i.Group, i.Ended.Sub(i.Began).Round(time.Millisecond))
		for _, e := range i.Events {
			fmt.Fprintf(w, "  %s  %-14s %s\n", e.At.UTC().Format(timeLayout), e.Instance, Describe(e))
		}
	}
}

func (r Review) writeImpacts(w io.Writer) {
	if len(r.Impacts) > 0 {
		fmt.Fprintf(w, "\nImpact on customers\n")
	}
	for _, i := range r.Impacts {
		fmt.Fprintf(w, "  customer %s: %d × %s, %s, between %s and %s, for example trace %s\n",
			i.Customer, i.Count, i.Kind, i.Reason, i.First.UTC().Format(timeLayout), i.Last.UTC().Format(timeLayout), i.Trace)
	}
}

func joinIDs(ids []ident.InstanceID) string {
	parts := make([]string, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, string(id))
	}
	return strings.Join(parts, ", ")
}

// descriptions gives the text for each kind of event.
var descriptions = map[jrnl.Kind]string{
	jrnl.Started: "started", jrnl.Stopping: "began to shut down",
	jrnl.PrimarySuspected: "suspected the primary", jrnl.PrimaryRecovered: "stopped suspecting the primary",
	jrnl.TermClaimed: "started to claim the next term", jrnl.ClaimLost: "lost the claim to another instance",
	jrnl.ClaimUnrecorded: "could not record the claim in the platform", jrnl.MajoritySealed: "sealed a majority: the old primary can acknowledge no more writes",
	jrnl.SealFailed: "abandoned this failover attempt", jrnl.ServerPromoted: "promoted a server", jrnl.PrimaryConfirmed: "confirmed the new primary",
	jrnl.ServerRepointed: "repointed a server to the new primary", jrnl.TailDiscarded: "made a server discard writes that no majority had received",
	jrnl.ConfigInForce: "put a configuration in force", jrnl.ConfigRefused: "rejected a configuration and kept the old one",
	jrnl.EntryOmitted: "left an entry of the configuration out, which it can't serve",
	jrnl.CallersEnded: "closed callers' connections", jrnl.PlatformLost: "lost contact with the platform", jrnl.PlatformBack: "reached the platform again",
	jrnl.PlatformRestored: "found the platform restored from an older copy",
	jrnl.ShareChanged:     "changed its share of the rate limits", jrnl.PeerJoined: "connected to an instance", jrnl.PeerLost: "lost the connection to an instance",
	jrnl.EvacuationBegun: "stopped sending requests to the servers of a data centre", jrnl.EvacuationEnded: "sends requests to the servers of a data centre again",
	jrnl.OwnerChanged: "ownership changed", jrnl.ServerLeaving: "stopped sending new requests to a leaving server",
	jrnl.Refused: "refused a request", jrnl.Retried: "retried a request", jrnl.OutcomeUnknown: "could not determine the outcome of a request",
	jrnl.AnswerLost:   "lost the server connection of a request",
	jrnl.ServerSealed: "sealed a server", jrnl.ServerNotSealed: "could not seal a server", jrnl.SealReleased: "released a server's seal",
	jrnl.OrderSent: "ordered a server to lead", jrnl.SupersededAnswer: "got an answer of a primary that is being replaced",
}

// Describe returns a one-line description of an event.
func Describe(e jrnl.Event) string {
	var text strings.Builder
	description := descriptions[e.Kind]
	if description == "" {
		description = e.Kind.String()
	}
	text.WriteString(description)
	if e.Server != "" {
		fmt.Fprintf(&text, " (%s)", e.Server)
	}
	if e.Term > 0 {
		fmt.Fprintf(&text, " [term %d]", e.Term)
	}
	if !e.Version.IsZero() {
		fmt.Fprintf(&text, " [configuration %s]", e.Version)
	}
	if e.Outcome != "" {
		fmt.Fprintf(&text, " [outcome %s]", e.Outcome)
	}
	if e.Count > 1 {
		fmt.Fprintf(&text, " ×%d", e.Count)
	}
	if e.Evidence != "" {
		fmt.Fprintf(&text, ": %s", e.Evidence)
	}
	return text.String()
}
