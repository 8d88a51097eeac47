package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

const (
	// awaitedPollInterval is the poll interval while a request waits for a newer view.
	awaitedPollInterval = time.Millisecond
	// costlyPollInterval is the poll interval in that case for drivers with one customer per
	// connection, where polls are costly.
	costlyPollInterval = 20 * time.Millisecond
	// activeTime is how long a group counts as used after a request.
	activeTime = time.Second
	// idlePollsPerSilence is how many polls of an unused group fit into the silence limit.
	idlePollsPerSilence = 3
	// pollsPerSilence is how many polls may go unanswered before a server counts as silent:
	// a poll times out after 1/pollsPerSilence of the silence limit.
	pollsPerSilence = 2
	// reportInterval is the time after which the peers are told again that a server does not answer.
	reportInterval = 500 * time.Millisecond
)

// controlCall is a control function to run on a server.
type controlCall struct {
	ctx  context.Context
	run  func(context.Context, proto.Conn) error
	done chan error
}

// watcher polls one server over its control connection.
type watcher struct {
	group  *Group
	server *server
	conn   proto.Conn
	// history is what conn has reported so far.
	history history
	// reportedAt is when the peers were last told whether the server answers, reachable
	// what they were told.
	reportedAt time.Time
	reachable  bool
	// lastHeard is when the server last answered, even if only that it is overloaded.
	lastHeard time.Time
}

// RemovedError reports that a server has left its group.
type RemovedError struct{ Server ident.ServerID }

// Error implements error.
func (e *RemovedError) Error() string { return "server " + string(e.Server) + " has left its group" }

// watch polls a server and runs control functions on it until it leaves the group.
func (g *Group) watch(s *server) error {
	w := &watcher{group: g, server: s, lastHeard: g.conf.Now()}
	defer w.closeConn()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-s.removed:
			return nil
		case call := <-s.controlCalls:
			w.call(call)
			continue
		case <-s.pollRequests:
		case <-timer.C:
		}
		w.poll()
		if s.Center != g.conf.Center && g.conf.Driver.PerCustomer() {
			s.pool.pruneIdle(remoteIdleTimeout)
		}
		timer.Reset(g.pollInterval())
	}
}

// pollInterval returns the time to the next poll: shortest while a request waits for a
// newer view, the configured interval while the group is used, and longer otherwise.
func (g *Group) pollInterval() time.Duration {
	d := g.defaults.Load()
	switch {
	case g.viewWaiters.Load() > 0 && g.conf.Driver.PerCustomer():
		return min(costlyPollInterval, d.Poll)
	case g.viewWaiters.Load() > 0:
		return awaitedPollInterval
	case clock.Since(time.Unix(0, g.lastUsed.Load())) < activeTime:
		return d.Poll
	default:
		return max(d.Poll, d.Silence/idlePollsPerSilence)
	}
}

// poll queries the server's status. If that fails on an existing connection, it tries
// once more on a new one, so that one dead connection is not taken for a dead server.
func (w *watcher) poll() {
	pollTimeout := w.group.defaults.Load().Silence / pollsPerSilence
	ctx, cancel := context.WithTimeout(w.group.tomb.Context(context.Background()), pollTimeout)
	defer cancel()
	reused := w.conn != nil
	asked, status, err := w.queryStatus(ctx)
	if err != nil && reused {
		silent := ctx.Err() != nil
		w.group.postEvent(group.PollFailed{Server: w.server.ID})
		retryCtx, cancelRetry := context.WithTimeout(w.group.tomb.Context(context.Background()), pollTimeout)
		defer cancelRetry()
		asked, status, err = w.queryStatus(retryCtx)
		if silent && err == nil {
			w.server.pool.silent()
			w.group.recordEvent(jrnl.Event{Kind: jrnl.ConnectionSilent, Server: w.server.ID, Evidence: "a poll timed out on the existing connection and was answered on a new one"})
		}
	}
	if err != nil {
		if w.overloaded(err) {
			return
		}
		w.handleMiss(err)
		return
	}
	w.lastHeard = w.group.conf.Now()
	now := clock.Now()
	w.group.tracker.observe(w.server.at, group.Poll{Status: status, Asked: asked, Answered: now, Conn: w.server.conns.Load()})
	w.group.noteStatus(status)
	w.server.pool.recordReport(w.history.lastAsked, now, status.Load)
	w.server.pool.recordRoundTrip(now.Sub(w.history.lastAsked))
	w.group.postEvent(group.Polled{Status: status, Asked: asked})
	w.reportToPeers(true)
}

// overloaded reports whether a failed poll shows an overloaded server rather than a dead one:
// it refused the poll, or still accepts connections and has answered within the path silence limit.
func (w *watcher) overloaded(err error) bool {
	var refused *proto.RefusedError
	var dialed *proto.DialError
	now := w.group.conf.Now()
	switch {
	case errors.As(err, &refused):
		w.lastHeard = now
	case errors.As(err, &dialed) && dialed.NoCapacity:
		w.lastHeard = now
	case errors.As(err, &dialed) && dialed.Connected:
	case w.group.conf.Driver.PerCustomer() && !errors.As(err, &dialed):
		// The new connection was accepted; only the answer is missing.
	default:
		return false
	}
	return now.Sub(w.lastHeard) < w.group.defaults.Load().PathSilence
}

// queryStatus queries the server's status, opening a connection if there is none; it returns
// when the query was sent.
func (w *watcher) queryStatus(ctx context.Context) (time.Time, group.Status, error) {
	if err := w.connect(ctx); err != nil {
		return time.Time{}, group.Status{}, err
	}
	asked := clock.Now()
	status, err := w.conn.Status(ctx)
	doubtful := isDoubtful(err)
	if doubtful && status.Server != "" {
		err = nil
	}
	if err == nil && w.history.fallsBehind(status) {
		evidence := fmt.Sprintf("a status of term %d at position %v came after one of term %d at position %v", status.Term, status.Received, w.history.last.Term, w.history.last.Received)
		w.group.recordFinding(w.server, connUse{}, proto.Finding{Violation: proto.Repeated, Evidence: evidence})
		doubtful = true
		err = &proto.DoubtError{What: evidence}
	}
	if doubtful && (err != nil || w.history.isOld(status)) && len(w.history.seen) > 0 {
		// The first answer on a connection is no copy of another.
		w.closeConn()
		return w.queryStatus(ctx)
	}
	if err != nil {
		w.closeConn()
		return asked, status, errors.Trace(err)
	}
	asked = w.history.add(status, asked, clock.Now(), doubtful)
	if status.Server != w.server.ID {
		w.closeConn()
		return asked, status, &proto.ProtocolError{What: "the server at the address of " + string(w.server.ID) + " identifies itself as " + string(status.Server)}
	}
	return asked, status, nil
}

func isDoubtful(err error) bool {
	var doubt *proto.DoubtError
	return errors.As(err, &doubt)
}

// connect opens the control connection if there is none that can be used.
func (w *watcher) connect(ctx context.Context) error {
	if w.conn != nil && w.reusable() {
		return nil
	}
	w.closeConn()
	c, err := w.group.dialControl(ctx, w.server)
	if err != nil {
		return err
	}
	w.conn, w.history = c, history{}
	w.server.conns.Add(1)
	return nil
}

// reusable reports whether the control connection can be used again.
func (w *watcher) reusable() bool {
	before := w.server.distrust.repeatsUntil.Load()
	condition := w.conn.Condition()
	w.group.recordCondition(w.server, connUse{}, condition)
	if nothingCame := w.server.distrust.repeatsUntil.Load() == before; condition == proto.Usable && nothingCame {
		w.history.confirm(clock.Now())
	}
	if w.server.distrust.repeats() {
		w.conn.Distrust()
	}
	return condition == proto.Usable && !w.conn.Exhausted()
}

// dialControl opens a connection for polls or orders.
func (g *Group) dialControl(ctx context.Context, s *server) (proto.Conn, error) {
	target := s.target
	target.Report = func(f proto.Finding) { g.recordFinding(s, connUse{}, f) }
	return g.conf.Driver.Dial(ctx, target)
}

func (w *watcher) closeConn() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// handleMiss records and reports that the server did not answer a poll.
func (w *watcher) handleMiss(err error) {
	var dialed *proto.DialError
	refused := errors.As(err, &dialed) && dialed.Refused
	w.group.tracker.recordMiss(w.server.at)
	w.group.postEvent(group.PollFailed{Server: w.server.ID, NewConn: true, Refused: refused})
	w.reportToPeers(false)
	w.server.pool.closeIdle()
}

// reportToPeers tells the peers whether the server answers this instance: at once when
// that changes, and every reportInterval while it does not.
func (w *watcher) reportToPeers(reachable bool) {
	if w.group.conf.ReportServer == nil {
		return
	}
	now := clock.Now()
	if reachable == w.reachable && (reachable || now.Sub(w.reportedAt) < reportInterval) {
		return
	}
	w.reachable, w.reportedAt = reachable, now
	w.group.conf.ReportServer(w.group.conf.ID, w.server.ID, reachable)
}

// call runs a control function on a connection of its own, which takes the place of the one for polls and on which no
// answer is taken that could be a copy.
func (w *watcher) call(c *controlCall) {
	w.closeConn()
	if err := w.connectForOrder(c.ctx); err != nil {
		c.done <- err
		return
	}
	w.conn.Distrust()
	err := c.run(c.ctx, w.conn)
	w.closeConn()
	c.done <- err
}

const (
	// orderDials is how often a server that is full is tried for an order, orderDialPause the time between two tries.
	orderDials     = 5
	orderDialPause = 20 * time.Millisecond
)

// connectForOrder opens a connection for an order. A server that is full may not have noticed yet that the connection
// for polls, whose place this one takes, is closed.
func (w *watcher) connectForOrder(ctx context.Context) error {
	for tries := 1; ; tries++ {
		err := w.connect(ctx)
		var dialed *proto.DialError
		if !errors.As(err, &dialed) || !dialed.NoCapacity || tries == orderDials {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(orderDialPause):
		}
	}
}

// run has the server's watcher run a control function and waits for its result.
func (s *server) run(ctx context.Context, f func(context.Context, proto.Conn) error) error {
	c := &controlCall{ctx: ctx, run: f, done: make(chan error, 1)}
	select {
	case s.controlCalls <- c:
	case <-s.removed:
		return &RemovedError{Server: s.ID}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
