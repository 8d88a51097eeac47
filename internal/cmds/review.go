package cmds

import (
	"context"
	"encoding/json"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/oper"
	"geraniumseam.dev/internal/review"
	"geraniumseam.dev/pkg/ident"
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
	case c.String("file") != "":
		found, err = readJournal(c.String("file"))
	default:
		err = &UsageError{Want: "review: want --instance or --file"}
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

func readJournal(name string) (oper.Review, error) {
	var found oper.Review
	content, err := os.ReadFile(name)
	if err != nil {
		return found, errors.Trace(err)
	}
	return found, errors.Annotatef(json.Unmarshal(content, &found), "%s", name)
}
