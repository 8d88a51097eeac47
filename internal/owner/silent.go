package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/proto"
)

// silentWriteGrace is how long writes that are running may still be answered after another
// connection to the server has gone silent.
const silentWriteGrace = time.Second

// runningRequest is a request that runs on a connection.
type runningRequest struct {
	readOnly bool
	started  time.Time
}

// run runs a request on a connection so that silent can interrupt it; readOnly marks a
// read, which can be interrupted at once.
func (p *pool) run(ctx context.Context, w *Work, c *pooledConn, r *proto.Request, sink proto.Sink, readOnly bool) (proto.Answer, error) {
	c.last = connUse{trace: w.Trace, customer: w.Customer}
	p.begin(c, readOnly)
	answer, err := c.Run(ctx, r, sink)
	if err == nil {
		c.txStatus = answer.TxStatus
	}
	c.last.ended = p.conf.now()
	p.end(c, err == nil && !answer.Refusal.NotRun())
	return answer, err
}

// begin registers a request as running on its connection.
func (p *pool) begin(c *pooledConn, readOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[c] = &runningRequest{readOnly: readOnly, started: p.conf.now()}
	if c.inTransaction {
		p.markActive(c, c.kind)
	}
}

// end unregisters a request; only one that completed counts towards the average duration.
func (p *pool) end(c *pooledConn, completed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.running[c]; completed && r != nil {
		p.completed(c, p.conf.now().Sub(r.started))
	}
	delete(p.running, c)
	if c.inTransaction {
		delete(p.active, c)
		p.dispatchWaiting()
	}
}

// isSilent reports whether a request failed because its connection was interrupted as silent.
func isSilent(err error) bool {
	var failed *proto.RunError
	return errors.As(err, &failed) && failed.Unresponsive
}

// silent reacts to a connection that gets no answers while a new one does: other old
// connections are probably dead too. Idle ones are closed and reads interrupted, to be
// retried; writes, which cannot be retried, get silentWriteGrace to be answered.
func (p *pool) silent() {
	p.closeIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, r := range p.running {
		if r.readOnly {
			c.Interrupt()
			continue
		}
		time.AfterFunc(silentWriteGrace, func() { p.interruptIfRunning(c, r) })
	}
}

// interruptIfRunning interrupts a request if it is still running. A later request on the
// same connection is left alone: the earlier one was answered, so the connection works.
func (p *pool) interruptIfRunning(c *pooledConn, r *runningRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[c] == r {
		c.Interrupt()
	}
}
