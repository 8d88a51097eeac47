package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/pkg/ident"
)

// connectTime bounds the opening of a connection.
const connectTime = 2 * time.Second

// fullPause is how long a server that is full is left alone.
const fullPause = 50 * time.Millisecond

// sameStreak is how often in a row a connection may go to waiters of its own
// customer while somebody else's turn it is: changing customers costs a handshake.
const sameStreak = 16

// poolConfig says where a pool's connections lead.
type poolConfig struct {
	target proto.Target
	driver proto.Driver
}

// pooled is a connection with the customer it serves; the customer is empty where
// connections serve everybody.
type pooled struct {
	proto.Conn
	customer ident.CustomerID
	streak   int
	used     time.Time
}

// grant is what a waiter gets: a connection or a reason.
type grant struct {
	conn   *pooled
	reason fault.Reason
	wait   time.Duration
}

// pool holds this instance's connections to one server and shares them fairly.
type pool struct {
	conf  poolConfig
	now   func() time.Time
	mu    sync.Mutex
	limit int
	open  int
	// dialing counts the connections being opened, by customer.
	dialing map[ident.CustomerID]int
	idle    []*pooled
	queue   *fair.Queue
	running map[*pooled]*request
	closed  bool
	// yielded is set while another instance owns the group: nobody waits here.
	yielded bool
	fullTil time.Time
	// service, busy and waiting are read without the mutex.
	service atomic.Int64
	busy    atomic.Int64
	waiting atomic.Int64
}

func newPool(conf poolConfig, limit, queueLength int, now func() time.Time) *pool {
	return &pool{conf: conf, now: now, limit: max(limit, 1), queue: fair.NewQueue(queueLength), running: map[*pooled]*request{}, dialing: map[ident.CustomerID]int{}}
}

// load returns how many requests run or wait here, and how long one takes.
func (p *pool) load() (int, time.Duration) {
	return int(p.busy.Load() + p.waiting.Load()), time.Duration(p.service.Load())
}

// acquire gets a connection in the caller's turn.
func (p *pool) acquire(ctx context.Context, flow fair.Flow, weight float64, wait time.Duration) grant {
	it, ready, shed := p.enter(flow, weight, wait)
	if ready != nil {
		return grant{conn: ready}
	}
	turn := it.Value.(chan grant)
	if shed != nil {
		shed.Value.(chan grant) <- grant{reason: fault.QueueFull, wait: p.retryAfter()}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case g := <-turn:
		return g
	case <-ctx.Done():
		return p.giveUp(it, turn, grant{reason: reasonOf(ctx)})
	case <-timer.C:
		return p.giveUp(it, turn, grant{reason: fault.QueueLate, wait: p.retryAfter()})
	}
}

func reasonOf(ctx context.Context) fault.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlinePassed
	}
	return fault.Cancelled
}

// enter returns an idle connection, or the place in the queue and what was shed for it.
func (p *pool) enter(flow fair.Flow, weight float64, wait time.Duration) (*fair.Item, *pooled, *fair.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	customer := p.serves(flow.Customer)
	if p.queue.Len() == 0 {
		if c := p.popIdle(customer); c != nil {
			p.busy.Add(1)
			return nil, c, nil
		}
	}
	turn := make(chan grant, 1)
	it := &fair.Item{Flow: flow, Weight: weight, Deadline: p.now().Add(wait), Value: turn}
	if p.closed || p.yielded {
		turn <- grant{reason: fault.NoOwner}
		return it, nil, nil
	}
	shed := p.queue.Push(it)
	p.note()
	p.grow(customer)
	return it, nil, shed
}

// serves returns whose a connection for a customer is.
func (p *pool) serves(customer ident.CustomerID) ident.CustomerID {
	if p.conf.driver.PerCustomer() {
		return customer
	}
	return ""
}

// giveUp leaves the queue; a connection that was granted meanwhile goes back.
func (p *pool) giveUp(it *fair.Item, turn chan grant, instead grant) grant {
	p.mu.Lock()
	removed := p.queue.Remove(it)
	p.note()
	p.mu.Unlock()
	if removed {
		return instead
	}
	g := <-turn
	if g.conn == nil {
		return g
	}
	p.release(g.conn, 0)
	return instead
}

// popIdle returns a clean idle connection of a customer, the last one used; the caller holds mu.
func (p *pool) popIdle(customer ident.CustomerID) *pooled {
	for at := len(p.idle) - 1; at >= 0; at-- {
		c := p.idle[at]
		if c.customer != customer {
			continue
		}
		p.idle = append(p.idle[:at], p.idle[at+1:]...)
		if c.Clean() {
			return c
		}
		c.Close()
		p.open--
	}
	return nil
}

// grow opens connections for a customer's waiters, in place of idle ones of others
// where the limit is reached; the caller holds mu.
func (p *pool) grow(customer ident.CustomerID) {
	for p.dialing[customer] < p.waitingFor(customer) && !p.closed && !p.now().Before(p.fullTil) {
		if p.open >= p.limit {
			if len(p.idle) == 0 {
				return
			}
			p.idle[0].Close()
			p.idle = p.idle[1:]
			p.open--
		}
		p.open++
		p.dialing[customer]++
		go p.dial(customer)
	}
}

// waitingFor returns how many waiters a connection of the customer could serve; the caller holds mu.
func (p *pool) waitingFor(customer ident.CustomerID) int {
	if customer == "" {
		return p.queue.Len()
	}
	return p.queue.WaitingOf(customer)
}

// growNext opens a connection for whose turn it is; the caller holds mu.
func (p *pool) growNext() {
	if next, ok := p.queue.Next(); ok {
		p.grow(p.serves(next))
	}
}

// opening returns how many connections are being opened; the caller holds mu.
func (p *pool) opening() int {
	count := 0
	for _, n := range p.dialing {
		count += n
	}
	return count
}

func (p *pool) dial(customer ident.CustomerID) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTime)
	defer cancel()
	target := p.conf.target
	target.Customer = customer
	c, err := p.conf.driver.Dial(ctx, target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing[customer]--
	if p.dialing[customer] == 0 {
		delete(p.dialing, customer)
	}
	if err == nil {
		p.busy.Add(1)
		p.settle(&pooled{Conn: c, customer: customer})
		return
	}
	p.open--
	p.refused(err)
}

// refused tells those who wait that the server takes no connection; if it is
// only full, they wait for the ones that are open.
func (p *pool) refused(err error) {
	var failed *proto.DialError
	full := errors.As(err, &failed) && failed.Full
	if full {
		p.fullTil = p.now().Add(fullPause)
		if p.open > 0 {
			return
		}
	}
	if p.open > p.opening() {
		return
	}
	reason := fault.ConnectFailed
	if full {
		reason = fault.ServerFull
	}
	p.dismiss(grant{reason: reason, wait: fullPause})
}

// pop returns whose turn it is and tells those that waited too long; the caller holds mu.
func (p *pool) pop() *fair.Item {
	turn, late := p.queue.Pop(p.now())
	p.tellLate(late)
	p.note()
	return turn
}

// note publishes how many wait; the caller holds mu.
func (p *pool) note() { p.waiting.Store(int64(p.queue.Len())) }

func (p *pool) tellLate(late []*fair.Item) {
	for _, it := range late {
		it.Value.(chan grant) <- grant{reason: fault.QueueLate, wait: time.Duration(p.service.Load())}
	}
}

// release takes a connection back after a run of the given length; 0 tells nothing.
func (p *pool) release(c *pooled, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ran > 0 {
		old := p.service.Load()
		p.service.Store(old + (int64(ran)-old)/8)
	}
	p.settle(c)
}

// settle hands a busy connection to whose turn it is, or keeps it idle; the caller holds mu.
func (p *pool) settle(c *pooled) {
	if p.closed || p.open > p.limit || !c.Clean() || c.Crowded() {
		p.shut(c)
		return
	}
	if turn := p.turnOn(c); turn != nil {
		turn.Value.(chan grant) <- grant{conn: c}
		return
	}
	p.busy.Add(-1)
	c.used = p.now()
	p.idle = append(p.idle, c)
	p.growNext()
}

// shut closes a busy connection; the caller holds mu.
func (p *pool) shut(c *pooled) {
	c.Close()
	p.busy.Add(-1)
	p.open--
	p.growNext()
}

// turnOn returns who is to use a connection next: whose turn it is if the connection
// serves them, else a waiter of the connection's own customer as long as that is fair
// enough; nil leaves it idle. The caller holds mu.
func (p *pool) turnOn(c *pooled) *fair.Item {
	if c.customer == "" {
		return p.pop()
	}
	next, ok := p.queue.Next()
	if !ok {
		return nil
	}
	if next == c.customer {
		c.streak = 0
	} else if c.streak++; c.streak > sameStreak {
		c.streak = 0
		return nil
	}
	turn, late := p.queue.PopOf(p.now(), c.customer)
	p.tellLate(late)
	p.note()
	return turn
}

// yield sends those who wait to the group's new owner and frees what is idle.
func (p *pool) yield() {
	p.resize(1)
	p.dropIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.yielded = true
	p.dismiss(grant{reason: fault.NoOwner})
}

// dismiss refuses everybody who waits; the caller holds mu.
func (p *pool) dismiss(refusal grant) {
	for {
		turn := p.pop()
		if turn == nil {
			return
		}
		turn.Value.(chan grant) <- refusal
	}
}

// resize changes the limits; what is open above them closes as it is returned.
func (p *pool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.yielded = max(limit, 1), false
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// prune closes the connections that have been idle for longer than the time.
func (p *pool) prune(most time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.now().Sub(c.used) <= most {
			kept = append(kept, c)
			continue
		}
		c.Close()
		p.open--
	}
	p.idle = kept
}

// dropIdle closes idle connections, as when the server behind them is suspected.
func (p *pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

func (p *pool) retryAfter() time.Duration {
	waiting, service := p.load()
	return max(time.Duration(waiting)*service/time.Duration(max(p.limit, 1)), time.Millisecond)
}

// close refuses those who wait and closes what is idle.
func (p *pool) close() {
	p.dropIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dismiss(grant{reason: fault.NoOwner})
}
