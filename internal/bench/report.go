package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	dto "github.com/prometheus/client_model/go"

	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/pkg/ident"
)

// Report is the result of a run.
type Report struct {
	Seconds   float64 `json:"seconds"`
	Instances int     `json:"instances"`
	Offered   int64   `json:"offered"`
	Done      int64   `json:"done"`
	NotRun    int64   `json:"not-run"`
	Unknown   int64   `json:"unknown"`
	Failed    int64   `json:"failed"`
	// Moved counts requests that an instance refused because it was shutting down and that were sent to another.
	Moved int64 `json:"moved"`
	// ReplicaShare is the fraction of reads that replicas served.
	ReplicaShare float64 `json:"replica-share"`
	ReplicaReads float64 `json:"replica-reads"`
	// GapMillis is the longest time without an acknowledged write in the group with the fault, in milliseconds.
	GapMillis float64 `json:"gap-millis"`
	Failovers int     `json:"failovers"`
	// WorstServed is the lowest ratio of requests done to the lesser of demand and entitlement, over all
	// customers but the greedy one; the entitlement is what rate and burst allow.
	WorstServed   float64 `json:"worst-served"`
	WorstCustomer string  `json:"worst-customer"`
	// RefusedInside is the fraction of requests refused for rate, over all customers but the greedy one,
	// which are expected to stay inside their rates.
	RefusedInside float64 `json:"refused-inside-rate"`
	// ByKind counts requests by kind; ServedByWorth is the fraction of requests done, weighted by Config.Worth.
	ByKind        map[string]KindCount `json:"by-kind"`
	ServedByWorth float64              `json:"served-by-worth"`
	Reasons       map[string]int64     `json:"reasons"`
	Violations    map[string]int64     `json:"violations"`
	Examples      []string             `json:"examples,omitempty"`
	LatencyMillis Percentiles          `json:"latency-millis"`
	CPUPercent    float64              `json:"cpu-percent-of-a-core-per-instance"`
	ReadsPerSec   float64              `json:"platform-reads-per-second"`
	WritesPerSec  float64              `json:"platform-writes-per-second"`
	PeerBytes     float64              `json:"peer-bytes-per-second-per-instance"`
	Injections    []injection          `json:"faults,omitempty"`
	// Unexplained lists the expected events of injected faults that the journal lacks.
	Unexplained []string     `json:"unexplained,omitempty"`
	Journal     []jrnl.Event `json:"-"`
	// Worst is the highest latency in each interval of 100 ms, in milliseconds.
	Worst []float64 `json:"worst-millis-per-100ms,omitempty"`
}

// Percentiles are the percentiles and the maximum of a latency, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Broken returns the total number of violations.
func (r *Report) Broken() int64 {
	sum := int64(0)
	for _, n := range r.Violations {
		sum += n
	}
	return sum
}

// readCounts is the number of reads by the role of the server that ran them.
type readCounts struct{ replica, primary float64 }

// countReads sums the reads that the instances have run on replicas and on primaries.
func countReads(f *fleet.Fleet) readCounts {
	var s readCounts
	eachMetric(f, "geraniumseam_statements_total", func(m *dto.Metric) {
		labels := map[string]string{}
		for _, l := range m.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		if labels["kind"] != "read" {
			return
		}
		if labels["by"] == "replica" {
			s.replica += m.GetCounter().GetValue()
		} else {
			s.primary += m.GetCounter().GetValue()
		}
	})
	return s
}

// peerBytes returns how many bytes the instances have sent to each other.
func peerBytes(f *fleet.Fleet) float64 {
	sum := 0.0
	eachMetric(f, "geraniumseam_peer_bytes_out_total", func(m *dto.Metric) { sum += m.GetCounter().GetValue() })
	return sum
}

// eachMetric calls visit for each metric of the given name on every instance.
func eachMetric(f *fleet.Fleet, name string, visit func(*dto.Metric)) {
	for _, m := range f.Members() {
		families, err := m.Registry.Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			if family.GetName() != name {
				continue
			}
			for _, metric := range family.GetMetric() {
				visit(metric)
			}
		}
	}
}

func (r *run) report(before, after usage, injections []injection) *Report {
	seconds := r.conf.Duration.Seconds()
	instances := max(len(r.fleet.Members()), 1)
	report := &Report{
		Seconds: seconds, Instances: instances, Reasons: map[string]int64{}, ByKind: map[string]KindCount{}, WorstServed: 1,
		CPUPercent:   (after.cpu - before.cpu).Seconds() / seconds * 100 / float64(instances),
		ReadsPerSec:  float64(after.platformReads-before.platformReads+after.platformWatches-before.platformWatches) / seconds,
		WritesPerSec: float64(after.platformWrites-before.platformWrites) / seconds,
		PeerBytes:    max(0, after.peerTraffic-before.peerTraffic) / seconds / float64(instances),
		Injections:   injections, Journal: r.journal(),
	}
	report.ReplicaReads = max(0, after.readCounts.replica-before.readCounts.replica)
	if reads := report.ReplicaReads + max(0, after.readCounts.primary-before.readCounts.primary); reads > 0 {
		report.ReplicaShare = report.ReplicaReads / reads
	}
	r.total(report, seconds)
	r.weighByWorth(report)
	r.measureGaps(report)
	r.checkExplained(report)
	report.Violations, report.Examples = r.checker.Violations(), r.checker.Examples()
	return report
}

// total adds up the tallies of all customers.
func (r *run) total(report *Report, seconds float64) {
	merged := hdrhistogram.New(1, longestLatency, latencyDigits)
	requests, refused := int64(0), int64(0)
	worst := map[int64]time.Duration{}
	for id, t := range r.tallies {
		t.mu.Lock()
		report.Offered += t.offered
		report.Done += t.outcomes[Acked]
		report.NotRun += t.outcomes[NotRun]
		report.Unknown += t.outcomes[Unknown]
		report.Failed += t.outcomes[Failed]
		report.Moved += t.moved
		for reason, n := range t.reasons {
			report.Reasons[reason] += n
		}
		if id != r.conf.Greedy {
			requests += t.offered
			refused += t.reasons["rate-exceeded"] + t.reasons["rate-unavailable"]
			r.updateWorstServed(report, id, t, seconds)
		}
		for kind, n := range t.kinds {
			total := report.ByKind[kind]
			report.ByKind[kind] = KindCount{Asked: total.Asked + n.Asked, Done: total.Done + n.Done}
		}
		merged.Merge(t.latency)
		for at, took := range t.worst {
			worst[at] = max(worst[at], took)
		}
		t.mu.Unlock()
	}
	if requests > 0 {
		report.RefusedInside = float64(refused) / float64(requests)
	}
	report.LatencyMillis = percentiles(merged)
	for at := range int64(r.conf.Duration / sampleBucket) {
		report.Worst = append(report.Worst, float64(worst[at].Microseconds())/microsPerMillis)
	}
}

// weighByWorth computes the fraction of requests done, weighted by the worth of their kind.
func (r *run) weighByWorth(report *Report) {
	offered, done := 0.0, 0.0
	for kind, n := range report.ByKind {
		worth := float64(max(r.conf.Worth[kind], 1))
		offered += worth * float64(n.Asked)
		done += worth * float64(n.Done)
	}
	if offered > 0 {
		report.ServedByWorth = done / offered
	}
}

// updateWorstServed lowers the report's WorstServed to the customer's ratio of requests done to
// the lesser of demand and entitlement.
func (r *run) updateWorstServed(report *Report, id ident.CustomerID, t *tally, seconds float64) {
	c := r.conf.Config.Customers[id]
	entitled := (c.Rate*seconds + c.Burst) / r.tokensPerRequest()
	expected := min(float64(t.offered), entitled)
	if expected == 0 {
		return
	}
	if ratio := min(1, float64(t.outcomes[Acked])/expected); ratio < report.WorstServed {
		report.WorstServed, report.WorstCustomer = ratio, string(id)
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMillis }
	return Percentiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / microsPerMillis}
}

// measureGaps finds the longest time without an acknowledged write, in the group with the faults
// or, in a run without faults, in any group, and counts the promotions of servers. Gaps that end
// within the first second are ignored.
func (r *run) measureGaps(report *Report) {
	from := r.began.Add(time.Second)
	to := r.began.Add(r.conf.Duration)
	for _, p := range r.probes {
		affected := len(report.Injections) == 0 || p.group == report.Injections[0].Group
		if affected {
			report.GapMillis = max(report.GapMillis, float64(p.gap(from, to).Microseconds())/microsPerMillis)
		}
	}
	for _, e := range report.Journal {
		if e.Kind == jrnl.ServerPromoted {
			report.Failovers++
		}
	}
}

// checkExplained checks that the journal has every event that each injected fault is expected to cause.
func (r *run) checkExplained(report *Report) {
	seen := map[string]bool{}
	for _, e := range report.Journal {
		seen[e.Kind.String()] = true
	}
	for _, s := range report.Injections {
		for _, kind := range s.Expect {
			if !seen[kind] {
				report.Unexplained = append(report.Unexplained, s.Name+": no event "+kind)
			}
		}
	}
}

// Text writes the report in human-readable form.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "requests      %d offered, %d done, %d not run, %d unknown, %d failed in %.0f s on %d instances\n",
		r.Offered, r.Done, r.NotRun, r.Unknown, r.Failed, r.Seconds, r.Instances)
	fmt.Fprintf(w, "replica reads %.1f%% of reads\n", r.ReplicaShare*100)
	fmt.Fprintf(w, "failover gap  %.0f ms, %d promotions\n", r.GapMillis, r.Failovers)
	fmt.Fprintf(w, "worst served  %.3f (%s)\n", r.WorstServed, r.WorstCustomer)
	fmt.Fprintf(w, "refused inside rate %.4f%%\n", r.RefusedInside*100)
	fmt.Fprintf(w, "by worth      %.4f of requests done", r.ServedByWorth)
	for _, kind := range slices.Sorted(maps.Keys(r.ByKind)) {
		fmt.Fprintf(w, ", %s %d/%d", kind, r.ByKind[kind].Done, r.ByKind[kind].Asked)
	}
	fmt.Fprintln(w)
	l := r.LatencyMillis
	fmt.Fprintf(w, "latency ms    p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f\n", l.P50, l.P90, l.P99, l.P999, l.Max)
	fmt.Fprintf(w, "per instance  %.1f%% of a core (with stand-ins and load), %.0f peer bytes/s\n", r.CPUPercent, r.PeerBytes)
	fmt.Fprintf(w, "platform      %.1f reads/s, %.1f writes/s\n", r.ReadsPerSec, r.WritesPerSec)
	for _, s := range r.Injections {
		fmt.Fprintf(w, "fault         %s on %s %s\n", s.Name, s.What, formatTook(s.Took))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "reason        %s: %d\n", reason, r.Reasons[reason])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		if r.Violations[name] > 0 {
			fmt.Fprintf(w, "VIOLATION     %s: %d\n", name, r.Violations[name])
		}
	}
	fmt.Fprintf(w, "violations    %d\n", r.Broken())
	if len(r.Examples) > 0 {
		fmt.Fprintf(w, "  %s\n", strings.Join(r.Examples, "\n  "))
	}
	if len(r.Unexplained) > 0 {
		fmt.Fprintf(w, "UNEXPLAINED   %s\n", strings.Join(r.Unexplained, "; "))
	}
}

func formatTook(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return "took " + d.Round(time.Millisecond).String()
}

// Write writes the report as JSON.
func (r *Report) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
