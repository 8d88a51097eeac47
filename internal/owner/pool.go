package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/pgcon"
	"geraniumseam.dev/internal/rule/fair"
)

// connectTime bounds the opening of a connection.
const connectTime = 2 * time.Second

// fullPause is how long a server that is full is left alone.
const fullPause = 50 * time.Millisecond

const (
	codeTooMany  = "53300"
	codeReadOnly = "25006"
)

// grant is what a waiter gets: a connection or a reason.
type grant struct {
	conn   *pgcon.Conn
	reason fault.Reason
	wait   time.Duration
}

// pool holds this instance's connections to one server and shares them fairly.
type pool struct {
	conf    pgcon.Config
	now     func() time.Time
	mu      sync.Mutex
	limit   int
	open    int
	dialing int
	idle    []*pgcon.Conn
	queue   *fair.Queue
	running map[*pgcon.Conn]*request
	closed  bool
	fullTil time.Time
	// service, busy and waiting are read without the mutex.
	service atomic.Int64
	busy    atomic.Int64
	waiting atomic.Int64
}

func newPool(conf pgcon.Config, limit, queueLength int, now func() time.Time) *pool {
	return &pool{conf: conf, now: now, limit: max(limit, 1), queue: fair.NewQueue(queueLength), running: map[*pgcon.Conn]*request{}}
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
func (p *pool) enter(flow fair.Flow, weight float64, wait time.Duration) (*fair.Item, *pgcon.Conn, *fair.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() == 0 {
		if c := p.popIdle(); c != nil {
			p.busy.Add(1)
			return nil, c, nil
		}
	}
	turn := make(chan grant, 1)
	it := &fair.Item{Flow: flow, Weight: weight, Deadline: p.now().Add(wait), Value: turn}
	if p.closed {
		turn <- grant{reason: fault.NoOwner}
		return it, nil, nil
	}
	shed := p.queue.Push(it)
	p.note()
	p.grow()
	return it, nil, shed
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

// popIdle returns a clean idle connection; the caller holds mu.
func (p *pool) popIdle() *pgcon.Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Clean() {
			return c
		}
		c.Close()
		p.open--
	}
	return nil
}

// grow opens connections for those who wait; the caller holds mu.
func (p *pool) grow() {
	for p.dialing < p.queue.Len() && p.open < p.limit && !p.closed && !p.now().Before(p.fullTil) {
		p.open++
		p.dialing++
		go p.dial()
	}
}

func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTime)
	defer cancel()
	c, err := pgcon.Dial(ctx, p.conf)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err == nil {
		p.busy.Add(1)
		p.settle(c)
		return
	}
	p.open--
	p.refused(err)
}

// refused tells those who wait that the server takes no connection; if it is
// only full, they wait for the ones that are open.
func (p *pool) refused(err error) {
	var failed *pgcon.DialError
	full := errors.As(err, &failed) && failed.Code == codeTooMany
	if full {
		p.fullTil = p.now().Add(fullPause)
		if p.open > 0 {
			return
		}
	}
	if p.open > p.dialing {
		return
	}
	reason := fault.ConnectFailed
	if full {
		reason = fault.ServerFull
	}
	for {
		turn := p.pop()
		if turn == nil {
			return
		}
		turn.Value.(chan grant) <- grant{reason: reason, wait: fullPause}
	}
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
func (p *pool) release(c *pgcon.Conn, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ran > 0 {
		old := p.service.Load()
		p.service.Store(old + (int64(ran)-old)/8)
	}
	p.settle(c)
}

// settle hands a busy connection to whose turn it is, or keeps it idle; the caller holds mu.
func (p *pool) settle(c *pgcon.Conn) {
	if p.closed || p.open > p.limit || !c.Clean() || c.Crowded() {
		c.Close()
		p.busy.Add(-1)
		p.open--
		p.grow()
		return
	}
	turn := p.pop()
	if turn != nil {
		turn.Value.(chan grant) <- grant{conn: c}
		return
	}
	p.busy.Add(-1)
	p.idle = append(p.idle, c)
}

// silentGrace is how long a write on an old connection may still be answered once
// another connection of that age has gone silent.
const silentGrace = time.Second

// request is one run of a connection.
type request struct{ reads bool }

// run lets a request be stopped if its connection turns out to be silent.
func (p *pool) run(ctx context.Context, c *pgcon.Conn, r *pgcon.Request, sink pgcon.Sink, reads bool) (pgcon.Answer, error) {
	p.begin(c, reads)
	defer p.end(c)
	return c.Run(ctx, r, sink)
}

func (p *pool) begin(c *pgcon.Conn, reads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[c] = &request{reads: reads}
}

func (p *pool) end(c *pgcon.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, c)
}

func isSilent(err error) bool {
	var failed *pgcon.RunError
	return errors.As(err, &failed) && failed.Silent
}

// silent reacts to a connection that went silent while a new one works: others of
// its age are likely silent too. Idle ones close; reads are stopped, to be run
// anew; writes get a little time.
func (p *pool) silent() {
	p.dropIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, r := range p.running {
		if r.reads {
			c.Interrupt()
			continue
		}
		time.AfterFunc(silentGrace, func() { p.stopIfRunning(c, r) })
	}
}

// stopIfRunning stops a request, but not a later one on the same connection:
// that the connection took another shows that it is not silent.
func (p *pool) stopIfRunning(c *pgcon.Conn, r *request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[c] == r {
		c.Interrupt()
	}
}

// resize changes the limits; what is open above them closes as it is returned.
func (p *pool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
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
	for {
		turn := p.pop()
		if turn == nil {
			return
		}
		turn.Value.(chan grant) <- grant{reason: fault.NoOwner}
	}
}
