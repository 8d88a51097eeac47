package cmds

import (
	"context"
	"encoding/json"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/oper"
	"geraniumseam.dev/internal/review"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

func describe(e jrnl.Event) string { return review.Describe(e) }

// review reads journal events from the source given by the flags and prints a summary.
func (p *program) review(ctx context.Context, c *cli.Command) error {
	var journal oper.JournalResponse
	var err error
	switch {
	case c.String("instance") != "":
		since := time.Now().Add(-c.Duration("since")).UTC().Format(time.RFC3339Nano)
		err = getJSON(ctx, "http://"+c.String("instance")+"/journal?fleet=1&since="+url.QueryEscape(since), &journal)
	case c.String("platform") != "":
		journal, err = loadIncidents(ctx, c)
	case c.String("file") != "":
		journal, err = readJournal(c.String("file"))
	case len(c.StringSlice("log")) > 0:
		journal.Events, err = p.readLogs(c.StringSlice("log"))
	default:
		err = &UsageError{Message: "review: want one of --instance, --platform, --file and --log"}
	}
	if err != nil {
		return err
	}
	if trace := ident.TraceID(c.String("trace")); c.Bool("chain") {
		return p.chain(journal.Events, trace, c.Bool("json"))
	}
	summary := review.Summarize(journal.Events, journal.Missing, ident.TraceID(c.String("trace")))
	if name := c.String("plot"); name != "" {
		if err := summary.Plot(name); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return json.NewEncoder(p.out).Encode(summary)
	}
	summary.WriteText(p.out)
	return nil
}

// chain prints the events that may explain the outcome of one request.
func (p *program) chain(events []jrnl.Event, trace ident.TraceID, asJSON bool) error {
	found := review.Chain(events, trace)
	if len(found) == 0 {
		return &UsageError{Message: "review: no event has the trace " + string(trace)}
	}
	for _, e := range found {
		if asJSON {
			if err := json.NewEncoder(p.out).Encode(e); err != nil {
				return errors.Trace(err)
			}
			continue
		}
		p.print("%s  %-18s %s%s\n", e.At.UTC().Format("15:04:05.000"), e.Instance, reasonPrefix(e), describe(e))
	}
	return nil
}

// reasonPrefix returns an event's reason as a prefix for its description.
func reasonPrefix(e jrnl.Event) string {
	if e.Reason == "" {
		return ""
	}
	return e.Reason + ": "
}

// readLogs reads journal events from log files; the name - is standard input.
func (p *program) readLogs(names []string) ([]jrnl.Event, error) {
	var events []jrnl.Event
	for _, name := range names {
		file := os.Stdin
		if name != "-" {
			opened, err := os.Open(name)
			if err != nil {
				return nil, errors.Trace(err)
			}
			defer opened.Close()
			file = opened
		}
		found, err := review.ParseLogs(file)
		if err != nil {
			return nil, errors.Annotatef(err, "%s", name)
		}
		events = append(events, found...)
	}
	return events, nil
}

// loadIncidents reads the events of the incidents that are stored in the platform.
func loadIncidents(ctx context.Context, c *cli.Command) (oper.JournalResponse, error) {
	var journal oper.JournalResponse
	list, err := platformClient(c).List(ctx, objs.Incidents)
	if err != nil {
		return journal, err
	}
	since := time.Now().Add(-c.Duration("since"))
	for _, o := range list.Items {
		var incident entry.Incident
		if err := json.Unmarshal(o.Spec, &incident); err != nil {
			return journal, errors.Annotatef(err, "incident %s", o.Metadata.Name)
		}
		for _, e := range incident.Events {
			if e.At.After(since) {
				journal.Events = append(journal.Events, e)
			}
		}
	}
	return journal, nil
}

func readJournal(name string) (oper.JournalResponse, error) {
	var journal oper.JournalResponse
	content, err := os.ReadFile(name)
	if err != nil {
		return journal, errors.Trace(err)
	}
	return journal, errors.Annotatef(json.Unmarshal(content, &journal), "%s", name)
}
