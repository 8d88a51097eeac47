package owner

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/conf"
)

// coldReportTime is how long a server may take to report in the list that it is cold or no longer is: some of its
// heartbeats and the propagation.
const coldReportTime = 3 * time.Second

// coldCheckInterval is how often work that waits for a cold server checks whether it may still be sent there: a small
// part of the 5 s within which an evacuation takes effect.
const coldCheckInterval = 100 * time.Millisecond

// coldLimits are the limits of a group for its cold servers.
type coldLimits struct {
	// rate is this owner's part of the requests a second to a cold server; 0 means no limit.
	rate float64
	// lasts is how long a server is cold after its start; 0 if that is not known.
	lasts time.Duration
}

// coldness is whether a server is cold, and the requests to it if it is.
type coldness struct {
	mu sync.Mutex
	// listedSince is since when the list has said that the server is cold; zero if it does not.
	listedSince time.Time
	// evacuated is set while the server is evacuated, returned is when it was last not any more.
	evacuated bool
	returned  time.Time
	limiter   admit.ColdLimiter
}

// update applies what the list and the evacuations say.
func (c *coldness) update(now time.Time, listed, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !listed:
		c.listedSince = time.Time{}
	case c.listedSince.IsZero():
		c.listedSince = now
	}
	if c.evacuated && !evacuated {
		c.returned = now
	}
	c.evacuated = evacuated
}

// isCold reports whether the server is cold; the caller holds mu. A list that is not renewed, because the store is
// unavailable, keeps no server cold for longer than it can be.
func (c *coldness) isCold(now time.Time, lasts time.Duration) bool {
	if !c.returned.IsZero() && now.Sub(c.returned) < coldReportTime {
		return true
	}
	return !c.listedSince.IsZero() && (lasts == 0 || now.Sub(c.listedSince) < lasts+coldReportTime)
}

// coldWait returns how long a request would have to wait for a cold server, 0 if the server is not cold.
func (g *Group) coldWait(s *server, now time.Time) time.Duration {
	limits := g.coldLimits.Load()
	if limits.rate == 0 {
		return 0
	}
	s.coldness.mu.Lock()
	defer s.coldness.mu.Unlock()
	if !s.coldness.isCold(now, limits.lasts) {
		return 0
	}
	return s.coldness.limiter.Wait(now)
}

// updateCold applies a new configuration and list of servers to the limits for cold servers.
func (g *Group) updateCold(c conf.Group) {
	g.coldLimits.Store(&coldLimits{rate: c.ColdRate, lasts: c.ColdTime})
	listed := map[string]bool{}
	for _, s := range c.Servers {
		listed[string(s.ID)] = s.Cold
	}
	now := g.conf.Now()
	for _, s := range g.allServers() {
		s.coldness.update(now, listed[string(s.ID)], g.isEvacuated(s))
	}
}

// admit waits until work that has a connection to a server may be sent there. If it may not, it reports false and
// returns the end of the attempt; retired is the reason if the server gets no new work.
func (g *Group) admit(ctx context.Context, w *Work, s *server, retired fault.Reason) (attempt, bool) {
	isRetired := func() bool { return g.isRetired(s) }
	after, admitted := g.awaitCold(ctx, s, g.maxQueueWait(ctx, w), isRetired)
	switch {
	case isRetired():
		return attempt{result: notSent(retired), retryable: true, uncharged: true}, false
	case !admitted:
		return attempt{result: g.refuseCold(fault.QueueLate, after)}, false
	}
	return attempt{}, true
}

// awaitCold waits until a request may be sent to a server, at most for the given time and until stops reports true; only
// a cold server makes it wait. It returns the delay after which to retry if it reports false.
func (g *Group) awaitCold(ctx context.Context, s *server, maxWait time.Duration, stops func() bool) (time.Duration, bool) {
	limits, now := g.coldLimits.Load(), g.conf.Now()
	if stops() {
		return 0, false
	}
	if limits.rate == 0 {
		return 0, true
	}
	s.coldness.mu.Lock()
	if !s.coldness.isCold(now, limits.lasts) {
		s.coldness.mu.Unlock()
		return 0, true
	}
	wait, admitted := s.coldness.limiter.Reserve(now, limits.rate, maxWait)
	s.coldness.mu.Unlock()
	if !admitted {
		g.conf.evacuees.cold.WithLabelValues("refused").Inc()
		return wait, false
	}
	timer, check := time.NewTimer(wait), time.NewTicker(coldCheckInterval)
	defer timer.Stop()
	defer check.Stop()
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			g.conf.evacuees.cold.WithLabelValues("refused").Inc()
			return 0, false
		case <-g.tomb.Dying():
			return 0, false
		case <-check.C:
			if stops() {
				return 0, false
			}
		case <-timer.C:
			waiting = false
		}
	}
	g.conf.evacuees.cold.WithLabelValues("sent").Inc()
	return 0, true
}

// refuseCold refuses a request that would wait too long for a cold server.
func (g *Group) refuseCold(reason fault.Reason, after time.Duration) Result {
	refusal := notSent(reason)
	refusal.RetryAfter = admit.Jitter(after, g.random())
	return refusal
}

func newColdCounter(r prometheus.Registerer) *prometheus.CounterVec {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumseam_cold_requests_total", Help: "Requests for cold servers, by result: sent, or refused because they would have waited too long.",
	}, []string{"result"})
	if r != nil {
		r.MustRegister(vec)
	}
	return vec
}
