package owner

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/pkg/ident"
)

const (
	// evacuatedTransactions is how long a transaction may go on at a server in an evacuated data centre. With
	// the propagation to all instances and the interval of the checks it ends within five seconds.
	evacuatedTransactions = 2 * time.Second
	// evacuatedRetryDelay is after how long a caller should retry work that only an evacuated primary can run.
	evacuatedRetryDelay = 500 * time.Millisecond
)

// evacuees remembers since when this instance has known data centres to be evacuated.
type evacuees struct {
	now   func() time.Time
	since atomic.Pointer[map[ident.CenterID]time.Time]
	// refused counts the requests that only an evacuated primary could run, ended the transactions that were
	// ended at evacuated servers.
	refused, ended prometheus.Counter
	// foreign counts the requests that no server in their home regions could run.
	foreign prometheus.Counter
	centers prometheus.Gauge
	// cold counts the requests for cold servers.
	cold *prometheus.CounterVec
}

func newEvacuees(now func() time.Time, r prometheus.Registerer) *evacuees {
	e := &evacuees{
		now:     now,
		cold:    newColdCounter(r),
		refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_evacuation_refusals_total", Help: "Requests refused because all servers that could run them are in evacuated data centres."}),
		ended:   prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_evacuation_transactions_ended_total", Help: "Transactions and pinned connections ended at servers in evacuated data centres."}),
		foreign: prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_home_refusals_total", Help: "Requests refused because no server in their home regions can run them."}),
		centers: prometheus.NewGauge(prometheus.GaugeOpts{Name: "geraniumseam_evacuated_centers", Help: "Data centres that this instance knows to be evacuated."}),
	}
	e.since.Store(&map[ident.CenterID]time.Time{})
	if r != nil {
		r.MustRegister(e.refused, e.ended, e.foreign, e.centers)
	}
	return e
}

// update replaces the set of evacuated data centres; it has one caller at a time.
func (e *evacuees) update(centers []ident.CenterID) {
	old := *e.since.Load()
	next := make(map[ident.CenterID]time.Time, len(centers))
	for _, id := range centers {
		since, known := old[id]
		if !known {
			since = e.now()
		}
		next[id] = since
	}
	e.since.Store(&next)
	e.centers.Set(float64(len(next)))
}

// has reports whether a data centre is evacuated.
func (e *evacuees) has(id ident.CenterID) bool {
	_, evacuated := (*e.since.Load())[id]
	return evacuated
}

// age returns how long a data centre has been known to be evacuated, 0 if it is not.
func (e *evacuees) age(id ident.CenterID) time.Duration {
	since, evacuated := (*e.since.Load())[id]
	if !evacuated {
		return 0
	}
	return e.now().Sub(since)
}

// isEvacuated reports whether a server is in an evacuated data centre.
func (g *Group) isEvacuated(s *server) bool { return g.conf.evacuees.has(s.Center) }

// evacuatedServers returns the servers of the group in evacuated data centres.
func (g *Group) evacuatedServers() map[ident.ServerID]bool {
	evacuated := map[ident.ServerID]bool{}
	r := g.roster.Load()
	for id, at := range r.index {
		if g.isEvacuated(r.servers[at]) {
			evacuated[id] = true
		}
	}
	return evacuated
}

// allEvacuated reports whether the group has servers and all are in evacuated data centres.
func (g *Group) allEvacuated() bool {
	r := g.roster.Load()
	for _, at := range r.index {
		if !g.isEvacuated(r.servers[at]) {
			return false
		}
	}
	return len(r.index) > 0
}

// evacuatedPrimary returns the primary if it is in an evacuated data centre, otherwise nil.
func (g *Group) evacuatedPrimary() *server {
	v := g.tracker.current.Load()
	if v.primary == noPrimary {
		return nil
	}
	if s := g.allServers()[v.primary]; g.isEvacuated(s) {
		return s
	}
	return nil
}

// closeEvacuated closes the idle connections to servers in evacuated data centres and ends what may not go on there.
func (g *Group) closeEvacuated() {
	for _, s := range g.allServers() {
		if g.isEvacuated(s) {
			s.pool.closeIdle()
		}
	}
	g.endEvacuated()
}

// mustEnd reports whether a transaction, or a connection pinned outside one, may not go on, because its server
// is in an evacuated data centre; the caller holds t.mu.
func (g *Group) mustEnd(t *transaction) bool {
	age := g.conf.evacuees.age(t.server.Center)
	return age >= evacuatedTransactions || age > 0 && !t.isOpen()
}

// endEvacuated rolls back the transactions that may not go on and in which no request runs. Those in which one
// runs are ended by their next request, or by a later call.
func (g *Group) endEvacuated() {
	g.mu.Lock()
	var ids []TxID
	for id, t := range g.txs {
		if !g.isEvacuated(t.server) || !t.mu.TryLock() {
			continue
		}
		if g.mustEnd(t) {
			ids = append(ids, id)
		}
		t.mu.Unlock()
	}
	g.mu.Unlock()
	for _, id := range ids {
		g.conf.evacuees.ended.Inc()
		g.End(id)
	}
}

// refuseEvacuated reports whether the primary, or every server of the group, is in an evacuated data centre, and after
// how long to retry then.
func (g *Group) refuseEvacuated() (time.Duration, bool) {
	if g.evacuatedPrimary() == nil && !g.allEvacuated() {
		return 0, false
	}
	g.conf.evacuees.refused.Inc()
	return evacuatedRetryDelay, true
}
