package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/bench"
	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/pkg/ident"
)

// baselines maps the values of --baseline to simpler policies that replace the product's
// own, for comparison.
var baselines = map[string]func(*entry.Baseline){
	"":              func(*entry.Baseline) {},
	"primary-only":  func(b *entry.Baseline) { b.PrimaryOnly = true },
	"first-replica": func(b *entry.Baseline) { b.FirstReplica = true },
	"ack-at-once":   func(b *entry.Baseline) { b.AckAtOnce = true },
	"static-rates":  func(b *entry.Baseline) { b.StaticRates = true },
}

// bench runs one measurement. A run that violates a guarantee is an error, except with
// --baseline.
func (p *program) bench(ctx context.Context, c *cli.Command) error {
	if c.Bool("faults") {
		for _, f := range bench.Faults {
			p.print("%-24s %s\n", f.Name, f.Help)
		}
		return nil
	}
	conf, f, err := p.prepareBench(ctx, c)
	if err != nil {
		return err
	}
	defer f.Stop()
	report, err := bench.Run(ctx, conf)
	if err != nil {
		return err
	}
	if name := c.String("plot"); name != "" {
		if err := report.Plot(name); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		err = report.Write(p.out)
	} else {
		report.Text(p.out)
	}
	if n := report.Broken(); err == nil && n > 0 && c.String("baseline") == "" {
		return &ViolationError{Count: n}
	}
	return err
}

// prepareBench checks the flags and starts the fleet; the caller stops it.
func (p *program) prepareBench(ctx context.Context, c *cli.Command) (bench.Config, *fleet.Fleet, error) {
	for _, name := range c.StringSlice("fault") {
		if _, known := bench.FaultNamed(name); !known {
			return bench.Config{}, nil, &UsageError{Message: "bench: unknown fault " + name + "; see bench --faults"}
		}
	}
	apply, known := baselines[c.String("baseline")]
	if !known {
		return bench.Config{}, nil, &UsageError{Message: "bench: unknown baseline; see bench --help"}
	}
	var baseline entry.Baseline
	apply(&baseline)
	p.logWarningsOnly()
	f, err := startFleet(ctx, c, fleet.Config{Baseline: baseline})
	if err != nil {
		return bench.Config{}, nil, err
	}
	conf := benchConfig(c, f)
	conf.Load, conf.Faults, conf.Greedy = c.Float("load"), c.StringSlice("fault"), ident.CustomerID(c.String("greedy"))
	if !c.Bool("json") {
		conf.Progress = p.errs
	}
	return conf, f, nil
}

func (p *program) benchCompare(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return &UsageError{Message: "bench compare: want exactly two report files"}
	}
	before, err := bench.ReadReports(c.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := bench.ReadReports(c.Args().Get(1))
	if err != nil {
		return err
	}
	bench.Compare(p.out, before, after)
	return nil
}
