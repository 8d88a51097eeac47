package owner

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/clock"
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

// distrustTime is how long after its last answer out of turn a server counts as one that gives such answers.
const distrustTime = time.Minute

// distrust is what is known of a server's answers out of turn. A nil one never distrusts.
type distrust struct {
	// repeatsUntil is until when the server counts as one that repeats answers, crossesUntil as one that gives answers
	// to none of a connection's requests, both in nanoseconds of the clock.
	repeatsUntil, crossesUntil atomic.Int64
}

func (d *distrust) addRepeated() {
	d.repeatsUntil.Store(clock.Now().Add(distrustTime).UnixNano())
}

func (d *distrust) addCrossed() {
	d.addRepeated()
	d.crossesUntil.Store(clock.Now().Add(distrustTime).UnixNano())
}

// repeats reports whether an answer that looks like an earlier one on its connection may be a copy.
func (d *distrust) repeats() bool { return d != nil && clock.Now().UnixNano() < d.repeatsUntil.Load() }

// crosses reports whether even an answer that looks like none before may be another request's, so that a connection
// is to be used once.
func (d *distrust) crosses() bool { return d != nil && clock.Now().UnixNano() < d.crossesUntil.Load() }

// violationKinds gives the journal's kind for each violation that is logged.
var violationKinds = map[proto.Violation]jrnl.Kind{
	proto.Malformed: jrnl.MalformedAnswer, proto.TooLong: jrnl.MalformedAnswer, proto.Cut: jrnl.MalformedAnswer, proto.Repeated: jrnl.SurplusAnswer, proto.Misfit: jrnl.SurplusAnswer,
}

// recordFinding counts and logs what a connection to a server has found.
func (g *Group) recordFinding(s *server, last connUse, f proto.Finding) {
	switch f.Violation {
	case proto.Repeated:
		s.distrust.addRepeated()
	case proto.Misfit:
		s.distrust.addCrossed()
	}
	if g.conf.faults != nil {
		g.conf.faults.violations[f.Violation].Inc()
	}
	kind, logged := violationKinds[f.Violation]
	if !logged {
		return
	}
	g.recordEvent(jrnl.Event{Kind: kind, Trace: last.trace, Customer: last.customer, Server: s.ID, Reason: f.Violation.String(), Evidence: f.Evidence})
}

// recordCondition counts a connection that was found ended or with bytes that no request had asked for, and logs
// the latter.
func (g *Group) recordCondition(s *server, last connUse, c proto.Condition) {
	if g.conf.faults != nil && g.conf.faults.conditions[c] != nil {
		g.conf.faults.conditions[c].Inc()
	}
	if c != proto.Surplus {
		return
	}
	s.distrust.addRepeated()
	evidence := "bytes have arrived on a control connection on which no request was outstanding"
	if last.trace != "" {
		evidence = fmt.Sprintf("bytes have arrived on a connection on which no request was outstanding; the last one ended %v ago", g.conf.Now().Sub(last.ended).Round(time.Millisecond))
	}
	g.recordEvent(jrnl.Event{Kind: jrnl.SurplusAnswer, Trace: last.trace, Customer: last.customer, Server: s.ID, Reason: c.String(), Evidence: evidence})
}
