package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/pkg/stmt"
)

// servedBy labels where a statement ran.
const (
	byPrimary = "primary"
	byReplica = "replica"
)

// kindCount is the number of kinds of statement.
const kindCount = int(stmt.Refused) + 1

// metrics counts what callers got; the counters of a request's path are looked up once.
type metrics struct {
	callers prometheus.Gauge
	primary [kindCount]prometheus.Counter
	replica [kindCount]prometheus.Counter
	seconds prometheus.Histogram
}

func newMetrics(r *prometheus.Registry) *metrics {
	statements := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumseam_statements_total", Help: "Statements answered, by kind and by the role of the server that ran them.",
	}, []string{"kind", "by"})
	m := &metrics{
		callers: prometheus.NewGauge(prometheus.GaugeOpts{Name: "geraniumseam_callers", Help: "Connected callers."}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "geraniumseam_statement_seconds", Help: "Time from a request to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
	for k := range kindCount {
		m.primary[k] = statements.WithLabelValues(stmt.Kind(k).String(), byPrimary)
		m.replica[k] = statements.WithLabelValues(stmt.Kind(k).String(), byReplica)
	}
	if r != nil {
		r.MustRegister(statements, m.callers, m.seconds)
	}
	return m
}

func (m *metrics) observe(w *owner.Work, r owner.Result, took time.Duration) {
	m.seconds.Observe(took.Seconds())
	if r.Outcome != fault.Done {
		return
	}
	if r.Replica {
		m.replica[w.Kind].Inc()
		return
	}
	m.primary[w.Kind].Inc()
}
