package quota

import (
	"fmt"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/share"
)

type counters struct {
	borrowed    prometheus.Counter
	lent        prometheus.Counter
	failed      prometheus.Counter
	emptyRounds prometheus.Counter
	spent       prometheus.Counter
	refused     *prometheus.CounterVec
	returned    prometheus.Counter
}

func newCounters(registry prometheus.Registerer) counters {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_" + name + "_total", Help: help})
	}
	c := counters{
		borrowed:    counter("tokens_borrowed", "Tokens received from other instances."),
		lent:        counter("tokens_given", "Tokens handed to other instances."),
		failed:      counter("token_asks_failed", "Questions for tokens that were not answered."),
		emptyRounds: counter("token_rounds_dry", "Rounds through the other data centres that found no token."),
		spent:       counter("tokens_spent", "Tokens spent on callers' requests."),
		returned:    counter("tokens_returned", "Tokens of requests of which nothing was sent, put back where they were taken."),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_token_refusals_total", Help: "Requests that got no token, by reason.",
		}, []string{"reason"}),
	}
	if registry != nil {
		registry.MustRegister(c.borrowed, c.lent, c.failed, c.emptyRounds, c.spent, c.refused, c.returned)
	}
	return c
}

// registerGauges registers the usable part of each shard and the age of its last renewal.
func (q *Quota) registerGauges(registry prometheus.Registerer) {
	if registry == nil {
		return
	}
	gauge := func(name, help string, shard share.Shard, value func(share.Holding) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumseam_share_" + name, Help: help, ConstLabels: prometheus.Labels{"shard": strconv.Itoa(int(shard))},
		}, func() float64 { return value(*q.parts[shard].Load()) }))
	}
	for shard := range share.Shard(share.Shards) {
		gauge("usable", "Fraction of the data centre's rates that may be spent here, by shard.", shard, func(h share.Holding) float64 {
			return float64(h.Usable(clock.Now())) / float64(share.Whole)
		})
		gauge("renewal_age_seconds", "Time since the request of the lease that is in force, by shard; 0 if none is held.", shard, func(h share.Holding) float64 {
			return age(h).Seconds()
		})
	}
}

// age returns the time since the last renewal of what is held, 0 if nothing is.
func age(h share.Holding) time.Duration {
	if h.Usable(clock.Now()) == 0 {
		return 0
	}
	return clock.Since(h.Requested)
}

// Count counts a caller's request by its result: None if it was charged, else why it was refused.
func (q *Quota) Count(r fault.Reason) {
	if r == fault.None {
		q.counts.spent.Inc()
		return
	}
	q.counts.refused.WithLabelValues(r.String()).Inc()
}

// renewals states how long ago the shard's lease was renewed, here or at the holder that answered last.
func (q *Quota) renewals(a *account, shard share.Shard, now time.Time) string {
	held := *q.parts[shard].Load()
	switch {
	case held.Usable(now) > 0:
		return fmt.Sprintf("lease renewed %v ago", age(held).Round(time.Millisecond))
	case !a.holderRenewed.IsZero():
		return fmt.Sprintf("holder's lease renewed %v ago", now.Sub(a.holderRenewed).Round(time.Millisecond))
	}
	return "renewal of the lease not known"
}
