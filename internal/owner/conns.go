package owner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
)

// connectTimeout is the timeout for opening a connection, handshake included.
const connectTimeout = 2 * time.Second

// serverFullBackoff is how long no connection is opened to a server that refused one for
// having no connection left.
const serverFullBackoff = 50 * time.Millisecond

// pooledConn is a connection of a pool; the customer is empty where the driver's
// connections may serve any customer.
type pooledConn struct {
	proto.Conn
	customer ident.CustomerID
	// kind is the kind of the request that runs on the connection or ran last.
	kind string
	// since is when the connection became active or idle.
	since time.Time
	// txStatus is the transaction status in the last answer, 0 before the first.
	txStatus byte
	// inTransaction is set while the connection belongs to an open transaction.
	inTransaction bool
	last          connUse
	// retired is set if the connection is to be closed when its request or transaction has ended.
	retired bool
}

// inOpenTx reports whether a transaction was open on the connection at the server's last answer.
func (c *pooledConn) inOpenTx() bool { return c.txStatus == 'T' || c.txStatus == 'E' }

// slotsInUse returns how many statements and handshakes the server is working on. At the
// concurrency limit, statements whose answer counts as lost no longer count. The caller holds mu.
func (p *pool) slotsInUse() int {
	count := len(p.active) + p.dialsInFlight()
	if count < p.limiter.Limit() {
		return count
	}
	now, lossTimeout := p.conf.now(), p.limiter.LossTimeout()
	for c := range p.active {
		if now.Sub(c.since) > lossTimeout {
			count--
		}
	}
	return count
}

// markActive marks a connection as running a request of the given kind; the caller holds mu.
func (p *pool) markActive(c *pooledConn, kind string) {
	c.kind, c.since = kind, p.conf.now()
	p.active[c] = true
	p.activeCount.Store(int64(len(p.active)))
}

// holdForTx assigns a connection to an open transaction. Between the transaction's
// requests it does not count as active, so that others can use the server meanwhile.
func (p *pool) holdForTx(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inTransaction = true
	delete(p.active, c)
	p.dispatchWaiting()
}

// completed adds the duration of a request to the averages; the caller holds mu.
func (p *pool) completed(c *pooledConn, took time.Duration) {
	p.limiter.ObserveServiceTime(took)
	old, known := p.runTimes[c.kind]
	if !known {
		old = took
	}
	p.runTimes[c.kind] = old + (took-old)/8
}

// recordBusy lowers the concurrency limit after the server refused a request as overloaded.
func (p *pool) recordBusy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ObserveOverload(p.conf.now())
}

// recordRoundTrip records the time of a round trip. It also dispatches waiting requests, since
// an answer that has come to count as lost frees a slot without any other event.
func (p *pool) recordRoundTrip(roundTrip time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ObserveRoundTrip(roundTrip)
	p.dispatchWaiting()
}

// usable reports whether a connection that runs no request can be used again.
func (p *pool) usable(c *pooledConn) bool {
	condition := c.Condition()
	if p.conf.found != nil {
		p.conf.found(c.last, condition)
	}
	if p.conf.distrust.repeats() {
		c.Distrust()
	}
	used := !c.last.ended.IsZero()
	return condition == proto.Usable && !c.retired && !c.Exhausted() && !(used && p.conf.distrust.crosses())
}

// popIdle returns the customer's most recently used idle connection, closing those
// that are no longer usable; the caller holds mu.
func (p *pool) popIdle(customer ident.CustomerID) *pooledConn {
	for at := len(p.idle) - 1; at >= 0; at-- {
		c := p.idle[at]
		if c.customer != customer {
			continue
		}
		p.idle = slices.Delete(p.idle, at, at+1)
		if p.usable(c) {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// evict closes an idle connection; the caller holds mu.
func (p *pool) evict(c *pooledConn) {
	p.idle = slices.DeleteFunc(p.idle, func(other *pooledConn) bool { return other == c })
	p.closeConn(c)
}

// closeConn closes an open connection and no longer counts it; the caller holds mu.
func (p *pool) closeConn(c *pooledConn) {
	c.Close()
	p.open--
	p.room.Closed(p.conf.now())
}

// dialFor starts opening a connection for a customer with waiting requests, unless
// the limit is reached, the server has too few left or enough are being opened already; the
// caller holds mu.
func (p *pool) dialFor(customer ident.CustomerID) bool {
	waiting := p.queue.Len()
	if customer != "" {
		waiting = p.queue.WaitingFor(customer)
	}
	if p.open >= p.limit || p.dialing[customer] >= waiting || p.closed || p.conf.now().Before(p.fullUntil) {
		return false
	}
	if !p.hasRoom() {
		p.countWithheld()
		return false
	}
	p.startDial(customer)
	return true
}

// startDial starts opening a connection for a customer; the caller holds mu.
func (p *pool) startDial(customer ident.CustomerID) {
	p.open++
	p.dialing[customer]++
	go p.dial(customer)
}

// dialsInFlight returns how many connections are being opened; the caller holds mu.
func (p *pool) dialsInFlight() int {
	count := 0
	for _, n := range p.dialing {
		count += n
	}
	return count
}

func (p *pool) dial(customer ident.CustomerID) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	target := p.conf.target
	target.Customer = customer
	dialed := &pooledConn{customer: customer, last: connUse{customer: customer}}
	if p.conf.report != nil {
		target.Report = func(f proto.Finding) { p.conf.report(dialed.last, f) }
	}
	c, err := p.conf.driver.Dial(ctx, target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing[customer]--
	if p.dialing[customer] == 0 {
		delete(p.dialing, customer)
	}
	if err == nil {
		dialed.Conn = c
		p.room.Opened(p.conf.now())
		p.recycle(dialed)
		return
	}
	p.open--
	p.dialFailed(err)
}

// dialFailed handles a failed dial. Waiting requests stay queued while another connection
// is open or, if the server is only full, being opened; otherwise they are refused.
// The caller holds mu.
func (p *pool) dialFailed(err error) {
	var failed *proto.DialError
	full := errors.As(err, &failed) && failed.NoCapacity
	if full {
		p.fullUntil = p.conf.now().Add(serverFullBackoff)
		if p.open > 0 {
			// The slot of the handshake is free for a request with an idle connection.
			p.dispatchWaiting()
			return
		}
	}
	if p.open > p.dialsInFlight() {
		return
	}
	reason := fault.ConnectFailed
	if full {
		reason = fault.ServerFull
	}
	p.refuseWaiting(grant{reason: reason, retryAfter: serverFullBackoff})
}

// release returns a connection to the pool.
func (p *pool) release(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recycle(c)
}

// recycle makes a connection idle, or closes it if it cannot be reused, and dispatches
// waiting requests; the caller holds mu.
func (p *pool) recycle(c *pooledConn) {
	delete(p.active, c)
	c.inTransaction = false
	if p.closed || p.open > p.limit || !p.usable(c) {
		p.closeConn(c)
	} else {
		c.since = p.conf.now()
		p.idle = append(p.idle, c)
	}
	p.dispatchWaiting()
}

// retire closes a connection as soon as it is idle.
func (p *pool) retire(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.retired = true
	if slices.Contains(p.idle, c) {
		p.evict(c)
	}
}

// resize sets the limit of open connections. Idle connections above it are closed at
// once, active ones when they are released.
func (p *pool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.relinquished = max(limit, 1), false
	for p.open > p.limit && len(p.idle) > 0 {
		p.evict(p.idle[0])
	}
	p.dispatchWaiting()
}

// pruneIdle closes the connections that have been idle for longer than maxIdle.
func (p *pool) pruneIdle(maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Clone(p.idle) {
		if p.conf.now().Sub(c.since) > maxIdle {
			p.evict(c)
		}
	}
}

// closeIdle closes all idle connections, for example when the server stopped answering.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Clone(p.idle) {
		p.evict(c)
	}
}
