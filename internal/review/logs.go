package review

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/pkg/ident"
)

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 1 << 20

// logLine is one line of an instance's JSON log.
type logLine struct {
	Time     time.Time        `json:"time"`
	Message  string           `json:"msg"`
	Instance ident.InstanceID `json:"instance"`
	Center   ident.CenterID   `json:"data-center"`
	Trace    ident.TraceID    `json:"trace"`
	Reason   string           `json:"reason"`
	Outcome  string           `json:"outcome"`
	Customer ident.CustomerID `json:"customer"`
	Group    ident.GroupID    `json:"group"`
	Server   ident.ServerID   `json:"server"`
	Term     ident.Term       `json:"term"`
	Version  ident.Revision   `json:"version"`
	Epoch    ident.Epoch      `json:"epoch"`
	Evidence string           `json:"evidence"`
	Count    int64            `json:"count"`
}

// ParseLogs converts the log lines of one or more instances to journal events. Any text
// before the JSON object of a line is ignored; lines without a JSON object are skipped.
func ParseLogs(r io.Reader) ([]jrnl.Event, error) {
	var events []jrnl.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		at := bytes.IndexByte(lines.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(lines.Bytes()[at:], &l) != nil || l.Message == "" {
			continue
		}
		e := jrnl.Event{
			At: l.Time, Instance: l.Instance, Center: l.Center, Sequence: uint64(len(events)), Trace: l.Trace, Reason: l.Reason, Outcome: l.Outcome, Customer: l.Customer,
			Group: l.Group, Server: l.Server, Term: l.Term, Version: ident.NewVersion(l.Epoch, l.Version), Evidence: l.Evidence, Count: l.Count,
		}
		if err := e.Kind.UnmarshalText([]byte(l.Message)); err != nil || e.Kind.String() != l.Message {
			e.Kind = jrnl.Other
			e.Evidence = l.Message + extraFields(lines.Bytes()[at:])
		}
		events = append(events, e)
	}
	return events, errors.Trace(lines.Err())
}

// extraFields formats the fields of a line that jrnl.Event has no field for.
func extraFields(text []byte) string {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return ""
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch name {
		case "time", "level", "msg", "instance", "data-center", "group", "server", "trace":
			continue
		}
		value, err := json.Marshal(fields[name])
		if err == nil {
			out.WriteString(" " + name + "=" + string(value))
		}
	}
	return out.String()
}

// The time window around a request in which Chain looks for causes.
const (
	chainBefore = 10 * time.Second
	chainAfter  = time.Second
)

// Chain returns the events that may explain a request's outcome, in order: the request's
// own events, events of its database group, and recent events of the instances that have events
// of its own about the configuration, their rate share, their peers and the platform. It returns
// nil if no event has the trace.
func Chain(events []jrnl.Event, trace ident.TraceID) []jrnl.Event {
	jrnl.SortEvents(events)
	first := slices.IndexFunc(events, func(e jrnl.Event) bool { return e.Trace == trace })
	if first < 0 {
		return nil
	}
	request := events[first]
	var end time.Time
	instances := map[ident.InstanceID]bool{}
	for _, e := range events {
		if e.Trace == trace {
			end = e.At
			instances[e.Instance] = true
			if request.Group == "" {
				request.Group = e.Group
			}
		}
	}
	var chain []jrnl.Event
	for _, e := range events {
		inWindow := e.At.After(request.At.Add(-chainBefore)) && e.At.Before(end.Add(chainAfter))
		if e.Trace == trace || inWindow && possibleCause(e, request.Group, instances) {
			chain = append(chain, e)
		}
	}
	return chain
}

// possibleCause reports whether e may have affected a request of the group that the given
// instances have events of.
func possibleCause(e jrnl.Event, group ident.GroupID, instances map[ident.InstanceID]bool) bool {
	switch e.Kind {
	case jrnl.Refused, jrnl.Retried, jrnl.OutcomeUnknown, jrnl.RequestSlow, jrnl.AnswerLost:
		return false
	case jrnl.ShareChanged, jrnl.ConfigInForce, jrnl.ConfigRefused, jrnl.EntryOmitted, jrnl.PlatformLost, jrnl.PlatformBack, jrnl.PlatformRestored, jrnl.Started, jrnl.Stopping, jrnl.CallersEnded:
		return instances[e.Instance]
	case jrnl.PeerJoined, jrnl.PeerLost:
		return instances[e.Instance]
	}
	return e.Group != "" && e.Group == group
}
