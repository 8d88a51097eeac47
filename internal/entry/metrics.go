package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/pkg/stmt"
)

// The values of the label by: the role of the server that ran a statement.
const (
	byPrimary = "primary"
	byReplica = "replica"
)

// statementKinds is the number of kinds of statement.
const statementKinds = int(stmt.Refused) + 1

// metrics holds the counters of callers and statements. The labelled counters are looked up
// once at the start, to keep the lookup off the path of a request.
type metrics struct {
	callers prometheus.Gauge
	primary [statementKinds]prometheus.Counter
	replica [statementKinds]prometheus.Counter
	latency prometheus.Histogram
	// refusedEarly counts the requests that were refused before they were charged.
	refusedEarly prometheus.Counter
	// moved counts the attempts at other owners, by the label of their outcome.
	moved *prometheus.CounterVec
	// notMoved counts the requests that were not moved because no owner had just been able to prove the term.
	notMoved prometheus.Counter
}

func newMetrics(r *prometheus.Registry) *metrics {
	statements := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumseam_statements_total", Help: "Statements answered, by kind and by the role of the server that ran them.",
	}, []string{"kind", "by"})
	m := &metrics{
		callers: prometheus.NewGauge(prometheus.GaugeOpts{Name: "geraniumseam_callers", Help: "Connected callers."}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "geraniumseam_statement_seconds", Help: "Time from a request to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		refusedEarly: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumseam_requests_refused_early_total", Help: "Requests refused before a token was taken, because an owner had just refused the like.",
		}),
		moved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_requests_moved_total", Help: "Attempts at another owner after one could not prove its group's term, by result.",
		}, []string{"result"}),
		notMoved: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumseam_requests_not_moved_total", Help: "Requests that were not tried at another owner, because none of their group had just been able to prove its term.",
		}),
	}
	for k := range statementKinds {
		m.primary[k] = statements.WithLabelValues(stmt.Kind(k).String(), byPrimary)
		m.replica[k] = statements.WithLabelValues(stmt.Kind(k).String(), byReplica)
	}
	for _, o := range []fault.Outcome{fault.Done, fault.Unknown} {
		m.moved.WithLabelValues(o.Label())
	}
	m.moved.WithLabelValues(fault.NotRunLabel)
	if r != nil {
		r.MustRegister(statements, m.callers, m.latency, m.refusedEarly, m.moved, m.notMoved)
	}
	return m
}

// observe counts a request and records its latency.
func (m *metrics) observe(w *owner.Work, r owner.Result, elapsed time.Duration) {
	m.latency.Observe(elapsed.Seconds())
	if r.Outcome != fault.Done {
		return
	}
	if r.Replica {
		m.replica[w.Kind].Inc()
		return
	}
	m.primary[w.Kind].Inc()
}
