package cmds

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/bench"
	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/internal/jrnl"
)

const (
	// demoLoad is each customer's demand in the demonstration, as a fraction of its rate.
	demoLoad     = 0.3
	startTimeout = 30 * time.Second
)

// readyLine is the first line of a demonstration's JSON output.
type readyLine struct {
	Event    string   `json:"event"`
	Entries  []string `json:"entries"`
	Service  string   `json:"service"`
	Customer string   `json:"customer"`
	Key      string   `json:"key"`
}

// summaryLine is the last line of a demonstration's JSON output.
type summaryLine struct {
	Event        string  `json:"event"`
	Statements   int64   `json:"statements"`
	ReplicaReads int64   `json:"reads-by-replicas"`
	ReplicaShare float64 `json:"replica-share"`
	Failovers    int     `json:"failovers"`
	GapMillis    float64 `json:"failover-gap-millis"`
	Violations   int64   `json:"violations"`
	// Broken counts the violations of each guarantee.
	Broken map[string]int64 `json:"violations-by-promise"`
}

// eventLine is a line of JSON output with one journal event.
type eventLine struct {
	Event string     `json:"event"`
	What  jrnl.Event `json:"what"`
}

// startFleet starts the fleet of the deployment given by the flags; it must be up within
// startTimeout.
func startFleet(ctx context.Context, c *cli.Command, f fleet.Config) (*fleet.Fleet, error) {
	deployment, err := fleet.Load(c.String("deployment"))
	if err != nil {
		return nil, err
	}
	bench.AddProbe(&deployment.Config)
	f.Deployment, f.Seed = deployment, c.Uint64("seed")
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return fleet.Start(startCtx, f)
}

func benchConfig(c *cli.Command, f *fleet.Fleet) bench.Config {
	d := f.Deployment()
	return bench.Config{Fleet: f, Config: d.Config, Mix: d.Mix, Worth: d.Worth, Duration: c.Duration("for"), Load: demoLoad, Seed: c.Uint64("seed")}
}

// demo runs a deployment with a short workload and a failover, and prints the journal
// events of the failover and a summary.
func (p *program) demo(ctx context.Context, c *cli.Command) error {
	p.logWarningsOnly()
	f, err := startFleet(ctx, c, fleet.Config{})
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := p.printReady(c, f); err != nil {
		return err
	}
	conf := benchConfig(c, f)
	conf.Faults = []string{"kill-primary"}
	report, err := bench.Run(ctx, conf)
	if err != nil {
		return err
	}
	if err := p.printSummary(c, report); err != nil {
		return err
	}
	if n := report.Broken(); n > 0 {
		return &ViolationError{Count: n}
	}
	return nil
}

func (p *program) printReady(c *cli.Command, f *fleet.Fleet) error {
	d := f.Deployment()
	customer := slices.Sorted(maps.Keys(d.Config.Customers))[1]
	service := slices.Sorted(maps.Keys(d.Config.Services))[0]
	line := readyLine{Event: "ready", Service: string(service), Customer: string(customer), Key: f.Key(customer)}
	for _, m := range f.Members() {
		line.Entries = append(line.Entries, m.Instance.Addr())
	}
	if c.Bool("json") {
		return json.NewEncoder(p.out).Encode(line)
	}
	p.print("%s is up: %d instances, %d database groups, %d customers\n", d.Name, len(line.Entries), len(f.Groups), len(d.Config.Customers))
	p.print("connect with any PostgreSQL client while it runs:\n  %s\n", f.URL(f.Members()[0], customer, string(service)))
	p.print("running load at %.0f%% of every customer's rate for %v; a primary is killed during the run\n\n", demoLoad*100, c.Duration("for"))
	return nil
}

// shownKinds are the kinds of journal event that the demonstration prints.
var shownKinds = map[jrnl.Kind]bool{
	jrnl.PrimarySuspected: true, jrnl.TermClaimed: true, jrnl.MajoritySealed: true, jrnl.ServerPromoted: true,
	jrnl.ServerRepointed: true, jrnl.TailDiscarded: true, jrnl.ClaimLost: true, jrnl.SealFailed: true, jrnl.PrimaryRecovered: true,
}

func (p *program) printSummary(c *cli.Command, r *bench.Report) error {
	sum := summaryLine{
		Event: "summary", Statements: r.Done, ReplicaReads: int64(r.ReplicaReads), ReplicaShare: r.ReplicaShare,
		Failovers: r.Failovers, GapMillis: r.GapMillis, Violations: r.Broken(), Broken: r.Violations,
	}
	if !c.Bool("json") {
		p.print("journal events of the run:\n")
		for _, e := range r.Journal {
			if shownKinds[e.Kind] {
				p.print("  %s  %-12s %s\n", e.At.Format("15:04:05.000"), e.Instance, describe(e))
			}
		}
		p.print("\n")
		r.Text(p.out)
		return nil
	}
	encoder := json.NewEncoder(p.out)
	for _, e := range r.Journal {
		if shownKinds[e.Kind] {
			if err := encoder.Encode(eventLine{Event: "happened", What: e}); err != nil {
				return err
			}
		}
	}
	return encoder.Encode(sum)
}
