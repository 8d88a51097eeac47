package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
)

// stream buffers the response to a request or query that this end has sent.
type stream struct {
	mu    sync.Mutex
	queue []frame
	// buffered is the size of the queued frame bodies, limit its maximum, in bytes.
	buffered int
	limit    int64
	ready    chan struct{}
}

func newStream(limit int64) *stream { return &stream{limit: limit, ready: make(chan struct{}, 1)} }

// put queues a frame; it returns false if more than the limit is now buffered.
func (s *stream) put(f frame) bool {
	s.mu.Lock()
	s.queue = append(s.queue, f)
	s.buffered += len(f.Body)
	fits := int64(s.buffered) <= s.limit
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return fits
}

// take removes and returns the queued frames.
func (s *stream) take() []frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.queue
	s.queue, s.buffered = nil, 0
	return taken
}

func (l *link) openStream() (uint64, *stream, bool) {
	s := newStream(l.hub.conf.MessageLimit)
	id := l.opened.Add(1)*2 + l.streamParity()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil || l.retired {
		return 0, nil, false
	}
	l.markBusy()
	l.streams[id] = s
	return id, s, true
}

func (l *link) closeStream(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams != nil {
		delete(l.streams, id)
	}
}

// deliver queues a frame on its stream; if the stream's buffer is full, the stream fails.
func (l *link) deliver(f frame) {
	l.mu.Lock()
	s := l.streams[f.Stream]
	l.mu.Unlock()
	if s == nil {
		l.hub.ignored.WithLabelValues(lateResponse).Inc()
		return
	}
	if !s.put(f) {
		l.closeStream(f.Stream)
		s.put(frame{})
	}
}

// arrives reports whether a frame opens a stream of the peer; not if the stream was opened before.
func (l *link) arrives(f frame) (bool, error) {
	if f.Stream < 2 || f.Stream%2 == l.streamParity() {
		return false, &Error{Cause: BadMessage, Peer: l.peer, Detail: "a request over a stream that the peer can't open"}
	}
	if !l.arrived.add(f.Stream / 2) {
		l.hub.ignored.WithLabelValues(repeatedRequest).Inc()
		klog.InfoS("repeated request of a peer ignored", "peer", l.peer, "stream", f.Stream, "kind", f.Kind)
		return false, nil
	}
	return true, nil
}

// serve runs a request of the peer and streams its response back.
func (l *link) serve(f frame) error {
	if ok, err := l.arrives(f); !ok {
		return err
	}
	var w owner.Work
	if err := decMode.Unmarshal(f.Body, &w); err != nil {
		return &Error{Cause: BadMessage, Peer: l.peer, Detail: err.Error()}
	}
	ctx, cancel := context.WithCancel(l.tomb.Context(context.Background()))
	l.mu.Lock()
	if l.serving == nil {
		l.mu.Unlock()
		cancel()
		return nil
	}
	l.markBusy()
	l.noteRequest()
	l.serving[f.Stream] = cancel
	l.mu.Unlock()
	l.tomb.Go(func() error {
		defer l.cancelRequest(f.Stream)
		defer l.noteRequest()
		sink := &responseSink{link: l, ctx: ctx, stream: f.Stream}
		r := l.hub.conf.Handler.Work(ctx, l.peer, &w, sink)
		if ctx.Err() != nil && w.Tx == 0 && r.Tx != 0 {
			// The peer cancelled the request before it learned of the transaction that was
			// opened, so it cannot roll it back itself.
			l.hub.conf.Handler.HandleNotification(l.peer, TxRollback{Group: w.Group, Tx: r.Tx})
			r = undeliveredResult(&w, r)
			sink.bytes = nil
		}
		if sink.failed && r.Outcome == fault.Done {
			r.Outcome, r.Reason = fault.Unknown, fault.PeerLost
		}
		err := l.sendResult(f.Stream, result{Result: &r, Bytes: sink.bytes, Chunks: sink.chunks})
		if err != nil && r.Tx != 0 {
			l.hub.conf.Handler.HandleNotification(l.peer, TxRollback{Group: w.Group, Tx: r.Tx})
		}
		return nil
	})
	return nil
}

// sendResult sends the end of a response. If it is too large to be sent, the peer is told that the outcome is unknown.
func (l *link) sendResult(stream uint64, r result) error {
	ctx := l.tomb.Context(context.Background())
	err := l.send(ctx, kindResult, stream, r)
	var failed *Error
	if errors.As(err, &failed) && failed.Cause == TooLarge {
		_ = l.send(ctx, kindResult, stream, result{Result: &owner.Result{Outcome: fault.Unknown, Reason: fault.PeerLost}, Chunks: r.Chunks})
	}
	return err
}

// undeliveredResult returns the result of a request that the peer cancelled and whose connection
// has been closed: nothing of it is kept if all of it ran in the transaction that it left open.
func undeliveredResult(w *owner.Work, r owner.Result) owner.Result {
	if (r.TxStatus == 'T' || r.TxStatus == 'E') && w.Request.NeverCommits {
		return owner.Result{Outcome: fault.RolledBack, Reason: fault.DeadlinePassed}
	}
	return owner.Result{Outcome: fault.Unknown, Reason: fault.DeadlinePassed}
}

// cancelRequest cancels a request that runs for the peer.
func (l *link) cancelRequest(stream uint64) {
	l.mu.Lock()
	cancel := l.serving[stream]
	if l.serving != nil {
		delete(l.serving, stream)
	}
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// CancelServed cancels the requests that run for peers, which are told the outcomes.
func (h *Hub) CancelServed() {
	for _, l := range h.everyLink() {
		l.mu.Lock()
		cancels := slices.Collect(maps.Values(l.serving))
		l.mu.Unlock()
		for _, cancel := range cancels {
			cancel()
		}
	}
}

// responseSink is the proto.Sink of a request of the peer.
type responseSink struct {
	link   *link
	ctx    context.Context
	stream uint64
	bytes  []byte
	// chunks counts the chunks sent; failed is set once one could not be sent.
	chunks uint64
	failed bool
}

// Emit implements proto.Sink.
func (r *responseSink) Emit(messages []byte) error {
	if len(r.bytes)+len(messages) > maxBatch {
		if err := r.link.send(r.ctx, kindChunk, r.stream, chunk{Bytes: r.bytes, Number: r.chunks + 1}); err != nil {
			r.failed = true
			return err
		}
		r.chunks++
		r.bytes = nil
	}
	r.bytes = append(r.bytes, messages...)
	return nil
}

// outcomeTimeout is how long this end waits for the peer to report the outcome of a request
// that it cancelled. It covers a round trip between regions and a scheduling delay on a busy
// processor.
const outcomeTimeout = 250 * time.Millisecond

// run forwards a request to the peer over a stream and its response to sink.
func (l *link) run(ctx context.Context, id uint64, s *stream, w *owner.Work, sink proto.Sink) owner.Result {
	defer l.closeStream(id)
	l.noteRequest()
	defer l.noteRequest()
	if err := l.send(ctx, kindWork, id, w); err != nil {
		return owner.Result{Outcome: fault.NotSent, Reason: fault.PeerLost}
	}
	response := response{sink: sink}
	stop := ctx.Done()
	var expired <-chan time.Time
	for {
		select {
		case <-s.ready:
		case <-stop:
			// Only the peer knows whether the request was still queued, so it is asked.
			_ = l.send(l.tomb.Context(context.Background()), kindCancel, id, nil)
			stop, expired = nil, time.After(outcomeTimeout)
			continue
		case <-expired:
			return owner.Result{Outcome: fault.Unknown, Reason: stopReason(ctx)}
		}
		for _, f := range s.take() {
			ended, err := response.handle(f)
			if err != nil {
				// The peer may still be at work, or keep a transaction open.
				l.hub.ignored.WithLabelValues(brokenResponse).Inc()
				_ = l.send(l.tomb.Context(context.Background()), kindCancel, id, nil)
				return owner.Result{Outcome: fault.Unknown, Reason: fault.PeerLost}
			}
			if ended {
				return response.result
			}
		}
	}
}

// stopReason returns why ctx ended.
func stopReason(ctx context.Context) fault.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlinePassed
	}
	return fault.Cancelled
}

// response is the response to a request, as far as it has arrived.
type response struct {
	sink proto.Sink
	// chunks counts the numbered chunks.
	chunks uint64
	result owner.Result
}

// handle handles the next frame and reports whether it was the last one. It fails if the response is not whole.
func (r *response) handle(f frame) (bool, error) {
	switch f.Kind {
	case kindChunk:
		var c chunk
		if err := decMode.Unmarshal(f.Body, &c); err != nil {
			return false, &Error{Cause: BadMessage, Detail: err.Error()}
		}
		if c.Number != 0 {
			r.chunks++
		}
		if c.Number != 0 && c.Number != r.chunks {
			return false, &Error{Cause: BadMessage, Detail: "chunks out of order"}
		}
		return false, r.sink.Emit(c.Bytes)
	case kindResult:
		// What has no outcome is not done.
		last := result{Result: &owner.Result{Outcome: fault.Unknown}}
		if err := decMode.Unmarshal(f.Body, &last); err != nil {
			return false, &Error{Cause: BadMessage, Detail: err.Error()}
		}
		if last.Result == nil || last.Chunks != r.chunks {
			return false, &Error{Cause: BadMessage, Detail: "an end of a response without all of it"}
		}
		if len(last.Bytes) > 0 {
			if err := r.sink.Emit(last.Bytes); err != nil {
				return false, err
			}
		}
		r.result = *last.Result
		return true, nil
	}
	return false, &Error{Cause: Closed}
}
