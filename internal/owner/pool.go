package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/internal/rule/route"
	"geraniumseam.dev/pkg/ident"
)

// maxOutOfTurn is how many requests in a row may be served out of turn because an idle
// connection of their customer is available. Serving the customer whose turn it is may
// need a new connection, which costs a handshake.
const maxOutOfTurn = 16

// poolConfig configures a pool.
type poolConfig struct {
	target proto.Target
	driver proto.Driver
	// slots is how many statements the server runs at once.
	slots int
	// queue is how many requests may wait.
	queue int
	now   func() time.Time
	// random returns a number in [0, 1) for the jitter of retry times; nil means no jitter.
	random func() float64
	// found receives the condition of each connection that is taken out or given back, report what
	// connections find wrong with messages; both may be nil and must not block.
	found  func(connUse, proto.Condition)
	report func(connUse, proto.Finding)
	// distrust is what is known of the server's answers out of turn; nil if nothing can be.
	distrust *distrust
	// counters counts what the server's headroom has led to; it may be nil.
	counters *roomCounters
}

// grant answers a request for a connection: a connection, or the reason why there is
// none and the time after which to retry.
type grant struct {
	conn       *pooledConn
	reason     fault.Reason
	retryAfter time.Duration
	// evidence describes what a refusal for lack of headroom is based on.
	evidence string
}

// queueEntry is a request's entry in the queue.
type queueEntry struct {
	// turn receives the connection or the refusal.
	turn     chan grant
	enqueued time.Time
	// estimate is the expected wait, before correction.
	estimate   time.Duration
	correction *admit.Correction
}

// pool holds this instance's connections to one server. It queues requests fairly and
// limits how many run at once to what the server can handle.
type pool struct {
	conf    poolConfig
	mu      sync.Mutex
	limiter *admit.Limiter
	limit   int
	open    int
	// dialing counts the connections that are being opened, by customer.
	dialing map[ident.CustomerID]int
	idle    []*pooledConn
	// active holds the connections that count towards the concurrency limit: those granted to
	// a request. A connection of an open transaction counts only while it runs a request.
	active map[*pooledConn]bool
	queue  *fair.Queue
	// runTimes is the average duration of requests, by kind.
	runTimes map[string]time.Duration
	// corrections holds the corrections of estimated waits, by customer.
	corrections map[ident.CustomerID]*admit.Correction
	// outOfTurn counts the requests served out of turn since the last one in turn.
	outOfTurn int
	// running holds the request that runs on each connection.
	running map[*pooledConn]*runningRequest
	closed  bool
	// relinquished is set while another instance owns the group: requests are refused.
	relinquished bool
	// room limits new connections to what the server reports to be free; withheld is set if it has
	// done so since the last report.
	room     admit.Headroom
	withheld bool
	// others and failures estimate the load by other owners and the rate of failed reads.
	others   atomic.Pointer[route.OtherLoad]
	failures atomic.Pointer[route.FailureRate]
	// fullUntil is until when no connection is opened because the server is full.
	fullUntil time.Time
	// serviceNanos is the average duration of a request in nanoseconds, activeCount and
	// waitingCount are the numbers of active connections and queued requests; all three
	// are read without the mutex.
	serviceNanos atomic.Int64
	activeCount  atomic.Int64
	waitingCount atomic.Int64
}

func newPool(c poolConfig, limit int) *pool {
	p := &pool{
		conf: c, limiter: admit.NewLimiter(c.slots), limit: max(limit, 1), queue: fair.NewQueue(c.queue), runTimes: map[string]time.Duration{}, corrections: map[ident.CustomerID]*admit.Correction{},
		running: map[*pooledConn]*runningRequest{}, dialing: map[ident.CustomerID]int{}, active: map[*pooledConn]bool{},
	}
	p.others.Store(&route.OtherLoad{})
	p.failures.Store(&route.FailureRate{})
	return p
}

// load returns how many requests run or wait, and the average duration of one.
func (p *pool) load() (int, time.Duration) {
	return int(p.activeCount.Load() + p.waitingCount.Load()), time.Duration(p.serviceNanos.Load())
}

// acquire returns a connection, waiting up to maxWait in the queue. A request whose
// estimated wait is longer than that is refused at once.
func (p *pool) acquire(ctx context.Context, flow fair.Flow, weight float64, maxWait time.Duration) grant {
	item, ready, refusal := p.acquireOrEnqueue(flow, weight, maxWait)
	if refusal != nil {
		return *refusal
	}
	if ready != nil {
		return grant{conn: ready}
	}
	turn := item.Value.(*queueEntry).turn
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case g := <-turn:
		return g
	case <-ctx.Done():
		return p.cancelWait(item, grant{reason: contextReason(ctx)})
	case <-timer.C:
		return p.cancelWait(item, grant{reason: fault.QueueLate, retryAfter: p.jitter(p.drainTime())})
	}
}

// contextReason returns the reason of a request whose context has ended.
func contextReason(ctx context.Context) fault.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlinePassed
	}
	return fault.Cancelled
}

// acquireOrEnqueue returns an idle connection, or the request's entry in the queue, or a refusal.
func (p *pool) acquireOrEnqueue(flow fair.Flow, weight float64, maxWait time.Duration) (*fair.Item, *pooledConn, *grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.relinquished {
		return nil, nil, &grant{reason: fault.NoOwner}
	}
	if p.queue.Len() == 0 && p.slotsInUse() < p.limiter.Limit() {
		if c := p.popIdle(p.connCustomer(flow.Customer)); c != nil {
			p.markActive(c, flow.Kind)
			return nil, c, nil
		}
	}
	now := p.conf.now()
	entry := &queueEntry{turn: make(chan grant, 1), enqueued: now, correction: p.correction(flow.Customer)}
	item := &fair.Item{Flow: flow, Weight: weight, Cost: p.cost(flow.Kind), Deadline: now.Add(maxWait), Value: entry}
	state := admit.QueueState{Ahead: p.queue.Ahead(item), Running: p.slotsInUse(), Limit: p.limiter.Limit(), ServiceTime: p.limiter.ServiceTime(), Correction: entry.correction}
	entry.estimate = state.EstimatedWait()
	if after, refused := state.Refuse(maxWait); refused {
		return nil, nil, &grant{reason: fault.QueueFull, retryAfter: p.jitter(after)}
	}
	if shed := p.queue.Push(item); shed != nil {
		shed.Value.(*queueEntry).turn <- grant{reason: fault.QueueFull, retryAfter: p.jitter(p.drainTime())}
	}
	p.dispatchWaiting()
	return item, nil, nil
}

// correction returns the correction of the customer's estimated waits; the caller holds mu.
func (p *pool) correction(customer ident.CustomerID) *admit.Correction {
	b := p.corrections[customer]
	if b == nil {
		b = &admit.Correction{}
		p.corrections[customer] = b
	}
	return b
}

// recordWait updates the correction by how long a request waited; the caller holds mu.
func (p *pool) recordWait(e *queueEntry) { e.correction.Add(e.estimate, p.conf.now().Sub(e.enqueued)) }

// cost returns the average duration of a kind of request relative to that of all
// requests, 1 if unknown; the caller holds mu.
func (p *pool) cost(kind string) float64 {
	took, known := p.runTimes[kind]
	if service := p.limiter.ServiceTime(); known && service > 0 {
		return float64(took) / float64(service)
	}
	return 1
}

// jitter adds jitter to a retry time, so that refused callers don't all retry together.
func (p *pool) jitter(after time.Duration) time.Duration {
	if p.conf.random == nil {
		return after
	}
	return admit.Jitter(after, p.conf.random())
}

// connCustomer returns the customer that a connection is opened for, empty where the
// driver's connections may serve any customer.
func (p *pool) connCustomer(customer ident.CustomerID) ident.CustomerID {
	if p.conf.driver.PerCustomer() {
		return customer
	}
	return ""
}

// cancelWait removes a request from the queue and returns the given refusal. A connection
// granted in the meantime is released; another refusal received in the meantime is
// returned instead.
func (p *pool) cancelWait(item *fair.Item, refusal grant) grant {
	entry := item.Value.(*queueEntry)
	p.mu.Lock()
	removed := p.queue.Remove(item)
	if removed {
		p.recordWait(entry)
	}
	p.updateCounters()
	p.mu.Unlock()
	if removed {
		return refusal
	}
	g := <-entry.turn
	if g.conn == nil {
		return g
	}
	p.release(g.conn)
	return refusal
}

// dispatchWaiting dispatches waiting requests up to the concurrency limit; the caller holds mu.
func (p *pool) dispatchWaiting() {
	for p.queue.Len() > 0 && p.slotsInUse() < p.limiter.Limit() && p.dispatchNext() {
	}
	p.refuseWithoutRoom()
	p.updateCounters()
}

// dispatchNext serves the first waiting request, in the order of turns, that has a free
// connection, or starts opening a connection; it reports false if it can do neither
// now. The caller holds mu.
func (p *pool) dispatchNext() bool {
	if !p.conf.driver.PerCustomer() {
		return p.serveCustomer("", true) || p.dialFor("")
	}
	exchangeTried := false
	for position, customer := range p.queue.WaitingCustomers() {
		inTurn := position == 0
		if !inTurn && p.outOfTurn >= maxOutOfTurn && !exchangeTried {
			if p.exchange() {
				return true
			}
			exchangeTried = true
		}
		// Without an exchange, waiting would not bring the customer whose turn it is a connection sooner.
		if p.serveCustomer(customer, inTurn) || !exchangeTried && p.dialFor(customer) {
			return true
		}
	}
	return !exchangeTried && p.exchange()
}

// serveCustomer grants an idle connection of the customer to its next request; inTurn says
// that it is the customer's turn. The caller holds mu.
func (p *pool) serveCustomer(customer ident.CustomerID, inTurn bool) bool {
	c := p.popIdle(customer)
	if c == nil {
		return false
	}
	turn := p.dequeue(customer)
	if turn == nil {
		p.idle = append(p.idle, c)
		return true
	}
	p.outOfTurn++
	if inTurn {
		p.outOfTurn = 0
	}
	p.markActive(c, turn.Flow.Kind)
	entry := turn.Value.(*queueEntry)
	p.recordWait(entry)
	entry.turn <- grant{conn: c}
	return true
}

// dequeue removes and returns the next request, among those of one customer unless customer
// is empty. Requests past their deadline are refused. The caller holds mu.
func (p *pool) dequeue(customer ident.CustomerID) *fair.Item {
	var turn *fair.Item
	var late []*fair.Item
	if customer == "" {
		turn, late = p.queue.Pop(p.conf.now())
	} else {
		turn, late = p.queue.PopFor(p.conf.now(), customer)
	}
	for _, item := range late {
		item.Value.(*queueEntry).turn <- grant{reason: fault.QueueLate, retryAfter: p.jitter(p.drainTime())}
	}
	return turn
}

// updateCounters updates the values that are read without the mutex; the caller holds mu.
func (p *pool) updateCounters() {
	p.waitingCount.Store(int64(p.queue.Len()))
	p.activeCount.Store(int64(len(p.active)))
	p.serviceNanos.Store(int64(p.limiter.ServiceTime()))
}

// refuseWaiting refuses all waiting requests; the caller holds mu.
func (p *pool) refuseWaiting(refusal grant) {
	for {
		turn := p.dequeue("")
		if turn == nil {
			p.updateCounters()
			return
		}
		turn.Value.(*queueEntry).turn <- refusal
	}
}

// drainTime estimates how long the requests that run or wait will take; it needs no mutex.
func (p *pool) drainTime() time.Duration {
	waiting, service := p.load()
	return max(time.Duration(waiting)*service/time.Duration(max(p.conf.slots, 1)), time.Millisecond)
}

// relinquish refuses waiting requests, so that they go to the group's new owner, and closes
// idle connections.
func (p *pool) relinquish() {
	p.resize(1)
	p.closeIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relinquished = true
	p.refuseWaiting(grant{reason: fault.NoOwner})
}

// close refuses waiting requests and closes idle connections.
func (p *pool) close() {
	p.closeIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.refuseWaiting(grant{reason: fault.NoOwner})
}
