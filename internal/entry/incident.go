package entry

import (
	"context"
	"encoding/json"
	"time"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/pkg/objs"
)

const (
	// incidentDelay is the time from a promotion to the write of its incident, so that the
	// last steps of the change of primary are included.
	incidentDelay = 5 * time.Second
	// incidentTimeout bounds the collection of the events and the write together.
	incidentTimeout = 10 * time.Second
	// incidentLookback is how long before the promotion events of the incident are searched.
	incidentLookback = 2 * time.Minute
	// maxIncidentEvents bounds the events of one summary.
	maxIncidentEvents = 200
)

// Incident is the summary of a change of primary. It is stored in the platform, so that it
// outlives the instances that took part.
type Incident struct {
	Name   string       `json:"name"`
	By     string       `json:"by"`
	Events []jrnl.Event `json:"events"`
}

// watchIncidents writes a summary of each change of primary that this instance carries out.
func (i *Instance) watchIncidents() {
	i.journal.Subscribe(func(e jrnl.Event) {
		if e.Kind != jrnl.ServerPromoted || e.Incident == "" {
			return
		}
		time.AfterFunc(incidentDelay, func() { i.writeIncident(e) })
	})
}

// writeIncident collects the events of the incident from the fleet and writes the summary.
// A summary that another instance wrote first is kept.
func (i *Instance) writeIncident(e jrnl.Event) {
	if i.draining.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), incidentTimeout)
	defer cancel()
	all, _ := i.Gather(ctx, e.At.Add(-incidentLookback))
	summary := Incident{Name: e.Incident, By: string(i.conf.Instance)}
	for _, event := range all {
		if event.Incident == e.Incident && len(summary.Events) < maxIncidentEvents {
			summary.Events = append(summary.Events, event)
		}
	}
	spec, err := json.Marshal(summary)
	if err != nil {
		return
	}
	o := objs.Object{Kind: objs.Incidents, Metadata: objs.Metadata{Name: e.Incident}, Spec: spec}
	i.keep(o)
	if _, err := i.conf.Store.Put(ctx, o); err != nil && !plat.HasCause(err, plat.Conflict) {
		i.journal.Add(jrnl.Event{Kind: jrnl.IncidentUnwritten, Incident: e.Incident, Group: e.Group, Evidence: err.Error()})
	}
}
