package owner

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
)

// connFaults counts, by reason, what was wrong with connections to servers: how they were found between requests,
// and the violations that they met.
type connFaults struct {
	conditions map[proto.Condition]prometheus.Counter
	violations map[proto.Violation]prometheus.Counter
}

func newConnFaults(r prometheus.Registerer) *connFaults {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumseam_connection_faults_total", Help: "Connections to servers that were found ended, with bytes that no request had asked for, or with messages that violate the protocol, by reason.",
	}, []string{"reason"})
	counters := &connFaults{conditions: map[proto.Condition]prometheus.Counter{}, violations: map[proto.Violation]prometheus.Counter{}}
	for _, c := range []proto.Condition{proto.Ended, proto.Surplus} {
		counters.conditions[c] = vec.WithLabelValues(c.String())
	}
	for _, v := range proto.Violations() {
		counters.violations[v] = vec.WithLabelValues(v.String())
	}
	if r != nil {
		r.MustRegister(vec)
	}
	return counters
}

// connUse is the last request of a connection; a control connection has none.
type connUse struct {
	trace    ident.TraceID
	customer ident.CustomerID
	// ended is when the request ended, zero while it runs.
	ended time.Time
}

// violationKinds gives the journal's kind for each violation.
var violationKinds = map[proto.Violation]jrnl.Kind{
	proto.Malformed: jrnl.MalformedAnswer, proto.TooLong: jrnl.MalformedAnswer, proto.Cut: jrnl.MalformedAnswer, proto.Misfit: jrnl.SurplusAnswer,
}

// recordFinding counts and logs what a connection to a server has found.
func (g *Group) recordFinding(s ident.ServerID, last connUse, f proto.Finding) {
	if g.conf.faults != nil {
		g.conf.faults.violations[f.Violation].Inc()
	}
	g.recordEvent(jrnl.Event{Kind: violationKinds[f.Violation], Trace: last.trace, Customer: last.customer, Server: s, Reason: f.Violation.String(), Evidence: f.Evidence})
}

// recordCondition counts a connection that was found ended or with bytes that no request had asked for, and logs
// the latter.
func (g *Group) recordCondition(s ident.ServerID, last connUse, c proto.Condition) {
	if g.conf.faults != nil && g.conf.faults.conditions[c] != nil {
		g.conf.faults.conditions[c].Inc()
	}
	if c != proto.Surplus {
		return
	}
	evidence := "bytes have arrived on a control connection on which no request was outstanding"
	if last.trace != "" {
		evidence = fmt.Sprintf("bytes have arrived on a connection on which no request was outstanding; the last one ended %v ago", g.conf.Now().Sub(last.ended).Round(time.Millisecond))
	}
	g.recordEvent(jrnl.Event{Kind: jrnl.SurplusAnswer, Trace: last.trace, Customer: last.customer, Server: s, Reason: c.String(), Evidence: evidence})
}
