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

func sentence(e jrnl.Event) string { return review.Sentence(e) }

// review gathers the fleet's journal and explains it.
func (p *program) review(ctx context.Context, c *cli.Command) error {
	var found oper.Review
	var err error
	switch {
	case c.String("instance") != "":
		since := time.Now().Add(-c.Duration("since")).UTC().Format(time.RFC3339Nano)
		err = getJSON(ctx, "http://"+c.String("instance")+"/journal?fleet=1&since="+url.QueryEscape(since), &found)
	case c.String("platform") != "":
		found, err = keptIncidents(ctx, c)
	case c.String("file") != "":
		found, err = readJournal(c.String("file"))
	default:
		err = &UsageError{Want: "review: want --instance, --platform or --file"}
	}
	if err != nil {
		return err
	}
	made := review.Make(found.Events, found.Missing, ident.TraceID(c.String("trace")))
	if name := c.String("plot"); name != "" {
		if err := made.Plot(name); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return json.NewEncoder(p.out).Encode(made)
	}
	made.Text(p.out)
	return nil
}

// keptIncidents reads the summaries that the platform keeps.
func keptIncidents(ctx context.Context, c *cli.Command) (oper.Review, error) {
	var found oper.Review
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

func readJournal(name string) (oper.Review, error) {
	var found oper.Review
	content, err := os.ReadFile(name)
	if err != nil {
		return found, errors.Trace(err)
	}
	return found, errors.Annotatef(json.Unmarshal(content, &found), "%s", name)
}
