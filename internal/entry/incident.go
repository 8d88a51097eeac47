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
	// incidentPause is how long after a promotion its incident is written, so that its last steps are in it.
	incidentPause = 5 * time.Second
	// incidentTime bounds the gathering and the write.
	incidentTime = 10 * time.Second
	// incidentSpan is how far back an incident's events are looked for.
	incidentSpan = 2 * time.Minute
	// incidentMost bounds the events of one summary.
	incidentMost = 200
)

// Incident is the summary of a change of primary that outlives the instances that saw it.
type Incident struct {
	Name   string       `json:"name"`
	By     string       `json:"by"`
	Events []jrnl.Event `json:"events"`
}

// watchIncidents writes a summary of each change of primary that this instance made.
func (i *Instance) watchIncidents() {
	i.journal.Subscribe(func(e jrnl.Event) {
		if e.Kind != jrnl.ServerPromoted || e.Incident == "" {
			return
		}
		time.AfterFunc(incidentPause, func() { i.writeIncident(e) })
	})
}

// writeIncident gathers what the fleet saw and writes it once; somebody else's summary stays.
func (i *Instance) writeIncident(e jrnl.Event) {
	if i.draining.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), incidentTime)
	defer cancel()
	all, _ := i.Gather(ctx, e.At.Add(-incidentSpan))
	summary := Incident{Name: e.Incident, By: string(i.conf.Instance)}
	for _, seen := range all {
		if seen.Incident == e.Incident && len(summary.Events) < incidentMost {
			summary.Events = append(summary.Events, seen)
		}
	}
	spec, err := json.Marshal(summary)
	if err != nil {
		return
	}
	o := objs.Object{Kind: objs.Incidents, Metadata: objs.Metadata{Name: e.Incident}, Spec: spec}
	if _, err := i.conf.Store.Put(ctx, o); err != nil && !plat.Is(err, plat.Conflict) {
		i.journal.Add(jrnl.Event{Kind: jrnl.IncidentUnwritten, Incident: e.Incident, Group: e.Group, Evidence: err.Error()})
	}
}
