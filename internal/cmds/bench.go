package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/bench"
	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/pkg/ident"
)

// baselines are the simple policies that can be measured in place of the product's own.
var baselines = map[string]func(*entry.Baseline){
	"":              func(*entry.Baseline) {},
	"primary-only":  func(b *entry.Baseline) { b.PrimaryOnly = true },
	"first-replica": func(b *entry.Baseline) { b.FirstReplica = true },
	"ack-at-once":   func(b *entry.Baseline) { b.AckAtOnce = true },
	"static-rates":  func(b *entry.Baseline) { b.StaticRates = true },
}

// bench runs one measurement; a run with violations fails, unless a baseline was asked for.
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

func (p *program) prepareBench(ctx context.Context, c *cli.Command) (bench.Config, *fleet.Fleet, error) {
	for _, name := range c.StringSlice("fault") {
		if _, known := bench.FaultNamed(name); !known {
			return bench.Config{}, nil, &UsageError{Want: "bench: no fault " + name + "; see bench --faults"}
		}
	}
	choose, known := baselines[c.String("baseline")]
	if !known {
		return bench.Config{}, nil, &UsageError{Want: "bench: want a baseline named in 'bench --help'"}
	}
	var baseline entry.Baseline
	choose(&baseline)
	p.quietLogs()
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
		return &UsageError{Want: "bench compare: want two files with reports"}
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
