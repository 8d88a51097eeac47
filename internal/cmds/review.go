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

func sentence(e jrnl.Event) string { return review.Describe(e) }

// review gathers the fleet's journal and explains it.
func (p *program) review(ctx context.Context, c *cli.Command) error {
	var found oper.JournalResponse
	var err error
	switch {
	case c.String("instance") != "":
		since := time.Now().Add(-c.Duration("since")).UTC().Format(time.RFC3339Nano)
		err = getJSON(ctx, "http://"+c.String("instance")+"/journal?fleet=1&since="+url.QueryEscape(since), &found)
	case c.String("platform") != "":
		found, err = keptIncidents(ctx, c)
	case c.String("file") != "":
		found, err = readJournal(c.String("file"))
	case len(c.StringSlice("log")) > 0:
		found.Events, err = p.readLogs(c.StringSlice("log"))
	default:
		err = &UsageError{Want: "review: want --instance, --platform, --file or --log"}
	}
	if err != nil {
		return err
	}
	if trace := ident.TraceID(c.String("trace")); c.Bool("chain") {
		return p.chain(found.Events, trace, c.Bool("json"))
	}
	made := review.Summarize(found.Events, found.Missing, ident.TraceID(c.String("trace")))
	if name := c.String("plot"); name != "" {
		if err := made.Plot(name); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return json.NewEncoder(p.out).Encode(made)
	}
	made.WriteText(p.out)
	return nil
}

// chain prints what led to the end of one request.
func (p *program) chain(events []jrnl.Event, trace ident.TraceID, asJSON bool) error {
	found := review.Chain(events, trace)
	if len(found) == 0 {
		return &UsageError{Want: "review: no event names the trace " + string(trace)}
	}
	for _, e := range found {
		if asJSON {
			if err := json.NewEncoder(p.out).Encode(e); err != nil {
				return errors.Trace(err)
			}
			continue
		}
		p.print("%s  %-18s %s%s\n", e.At.UTC().Format("15:04:05.000"), e.Instance, reasonOf(e), sentence(e))
	}
	return nil
}

func reasonOf(e jrnl.Event) string {
	if e.Reason == "" {
		return ""
	}
	return e.Reason + ": "
}

// readLogs reads the logs of instances from files; - is standard input.
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

// keptIncidents reads the summaries that the platform keeps.
func keptIncidents(ctx context.Context, c *cli.Command) (oper.JournalResponse, error) {
	var found oper.JournalResponse
	list, err := store(c).List(ctx, objs.Incidents)
	if err != nil {
		return found, err
	}
	since := time.Now().Add(-c.Duration("since"))
	for _, o := range list.Items {
		var incident entry.Incident
		if err := json.Unmarshal(o.Spec, &incident); err != nil {
			return found, errors.Annotatef(err, "incident %s", o.Metadata.Name)
		}
		for _, e := range incident.Events {
			if e.At.After(since) {
				found.Events = append(found.Events, e)
			}
		}
	}
	return found, nil
}

func readJournal(name string) (oper.JournalResponse, error) {
	var found oper.JournalResponse
	content, err := os.ReadFile(name)
	if err != nil {
		return found, errors.Trace(err)
	}
	return found, errors.Annotatef(json.Unmarshal(content, &found), "%s", name)
}
