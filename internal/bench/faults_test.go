package bench

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/internal/entry"
	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/internal/logs"
)

func TestMain(m *testing.M) {
	logs.Start(io.Discard, slog.LevelInfo)
	os.Exit(m.Run())
}

// small is a deployment that fits many into one test run.
func small(t *testing.T) *fleet.Deployment {
	t.Helper()
	d, err := fleet.Load("testdata/small.ini")
	if err != nil {
		t.Fatal(err)
	}
	AddProbe(&d.Config)
	return d
}

func runSmall(t *testing.T, baseline entry.Baseline, faults ...string) *Report {
	t.Helper()
	const seed = 5
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	d := small(t)
	f, err := fleet.Start(ctx, fleet.Config{Deployment: d, Seed: seed, Baseline: baseline})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	report, err := Run(ctx, Config{
		Fleet: f, Config: d.Config, Mix: d.Mix, Duration: 5 * time.Second, Load: 0.5, Faults: faults, Seed: seed,
	})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestPromisesHoldUnderEachFault injections with each fault, and with some two
// together; whatever happens, no promise may break and each fault is explained.
func TestPromisesHoldUnderEachFault(t *testing.T) {
	cases := [][]string{
		{"kill-primary", "platform-down"},
		{"cut-primary", "lose-commits"},
		{"silence-connections", "lag-all"},
		{"kill-primary", "kill-instance"},
		{"freeze-primary", "platform-loses-answers"},
	}
	for _, f := range Faults {
		cases = append(cases, []string{f.Name})
	}
	gate := make(chan struct{}, 4)
	for _, faults := range cases {
		t.Run(strings.Join(faults, "+"), func(t *testing.T) {
			t.Parallel()
			gate <- struct{}{}
			defer func() { <-gate }()
			report := runSmall(t, entry.Baseline{}, faults...)
			if report.Broken() > 0 {
				t.Errorf("violations %v: %v", report.Violations, report.Examples)
			}
			if len(report.Unexplained) > 0 {
				t.Errorf("unexplained: %v", report.Unexplained)
			}
			if report.Done == 0 {
				t.Error("nothing was done")
			}
		})
	}
}

// TestCheckerCatchesBrokenPolicies proves that the checker can fail: simple
// policies in place of the product's own break what they are known to break.
func TestCheckerCatchesBrokenPolicies(t *testing.T) {
	t.Run("first-replica-reads-stale", func(t *testing.T) {
		t.Parallel()
		var baseline entry.Baseline
		baseline.FirstReplica = true
		if report := runSmall(t, baseline, "lag-all"); report.Violations[StaleRead.String()] == 0 {
			t.Error("reading from any replica broke nothing")
		}
	})
	t.Run("ack-at-once-loses-writes", func(t *testing.T) {
		t.Parallel()
		var baseline entry.Baseline
		baseline.AckAtOnce = true
		if report := runSmall(t, baseline, "cut-primary"); report.Violations[LostWrite.String()]+report.Violations[StaleRead.String()] == 0 {
			t.Error("acknowledging at once broke nothing")
		}
	})
}
