package owner

import (
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/group"
)

// roomCounters counts what the headroom of servers has led to. A nil one counts nothing.
type roomCounters struct {
	withheld, exchanged, primaryReads, replicaReads prometheus.Counter
}

func newRoomCounters(r prometheus.Registerer) *roomCounters {
	c := &roomCounters{
		withheld:  prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_connections_withheld_total", Help: "Reports of a server after which a needed connection was not opened because the server had too few left; each report counts once."}),
		exchanged: prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_connections_exchanged_total", Help: "Idle connections to servers that were closed for a request of another customer."}),
	}
	reads := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "geraniumseam_reads_total", Help: "Reads that servers answered to this owner, by the server's role."}, []string{"role"})
	c.primaryReads, c.replicaReads = reads.WithLabelValues(group.Primary.String()), reads.WithLabelValues(group.Replica.String())
	if r != nil {
		r.MustRegister(c.withheld, c.exchanged, reads)
	}
	return c
}

// countRead counts a read that a server answered.
func (c *roomCounters) countRead(replica bool) {
	switch {
	case c == nil:
	case replica:
		c.replicaReads.Inc()
	default:
		c.primaryReads.Inc()
	}
}

// setRoom sets how many connections the server accepts and how many owners share them.
func (p *pool) setRoom(connections, owners int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.SetLimit(connections, owners)
}

// recordReport records the load that the server has reported.
func (p *pool) recordReport(asked, answered time.Time, l group.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Report(asked, answered, l.Connections, l.Known)
	p.withheld = false
	if l.Known {
		others := *p.others.Load()
		others.Observe(answered, l.Busy, len(p.active))
		p.others.Store(&others)
	}
}

// endedByServer reports whether a request failed because its connection was lost after it had been
// sent, though the connection had not been silent before.
func endedByServer(err error) bool {
	var failed *proto.RunError
	return errors.As(err, &failed) && failed.Stage != proto.Unsent && !failed.Unresponsive
}

// recordRead records the result of a read for the choice of servers.
func (p *pool) recordRead(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	failures := *p.failures.Load()
	failures.Observe(p.conf.now(), failed)
	p.failures.Store(&failures)
}

// hasRoom reports whether the server's headroom allows another connection; the caller holds mu.
func (p *pool) hasRoom() bool {
	dialing := p.dialsInFlight()
	return p.room.Allows(p.conf.now(), admit.Owned{Open: p.open - dialing, Dialing: dialing})
}

// countWithheld counts a connection that is not opened for lack of headroom; the caller holds mu.
func (p *pool) countWithheld() {
	if !p.withheld && p.conf.counters != nil {
		p.conf.counters.withheld.Inc()
	}
	p.withheld = true
}

// exchange closes the least recently used idle connection and opens one for the customer whose
// turn it is. That does not raise the server's number of connections, so it needs no headroom, only
// that the server has not just refused a connection; the caller holds mu.
func (p *pool) exchange() bool {
	next, ok := p.queue.NextCustomer()
	if !ok || len(p.idle) == 0 || p.open > p.limit || p.closed || p.dialing[next] >= p.queue.WaitingFor(next) || p.conf.now().Before(p.fullUntil) {
		return false
	}
	p.evict(p.idle[0])
	if p.conf.counters != nil {
		p.conf.counters.exchanged.Inc()
	}
	p.startDial(next)
	return true
}

// refuseWithoutRoom refuses all waiting requests if this owner has no connection and the server
// has none left; the caller holds mu.
func (p *pool) refuseWithoutRoom() {
	if p.open > 0 || p.queue.Len() == 0 || p.hasRoom() {
		return
	}
	p.refuseWaiting(grant{reason: fault.ServerFull, retryAfter: p.jitter(serverFullBackoff), evidence: p.room.Evidence(p.conf.now())})
}
