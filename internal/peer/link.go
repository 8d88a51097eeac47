package peer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/pkg/ident"
)

const (
	// sendQueueSize is the capacity of a link's send queue, in frames.
	sendQueueSize = 256
	// maxBatch is the size in bytes up to which queued frames are combined into one write.
	// Buffers larger than maxIdleBuffer are released after the write, to save memory on idle
	// links.
	maxBatch      = 64 << 10
	maxIdleBuffer = 4 << 10
	// defaultMessageLimit is the default of Config.MessageLimit, minMessageLimit its minimum, in bytes.
	defaultMessageLimit = 64 << 20
	minMessageLimit     = 4 * maxBatch
)

// link is one WebSocket connection to another instance.
type link struct {
	hub  *Hub
	peer ident.InstanceID
	// protocol is the protocol version that both ends support.
	protocol  int
	socket    *websocket.Conn
	sendQueue chan []byte
	// opened counts the streams that this end has opened.
	opened atomic.Uint64
	// lastHeard is when the last message arrived, in nanoseconds of the clock.
	lastHeard atomic.Int64
	// lastUsed is when the last message other than a heartbeat was carried, lastRequest when the last
	// caller's request or request for tokens was, 0 if there was none; both in nanoseconds of the clock.
	lastUsed    atomic.Int64
	lastRequest atomic.Int64
	// unwantedSince is since when the handler has not wanted the link; only CloseSurplus uses it.
	unwantedSince time.Time
	// retainedUntil is until when this end does not ask to close the link; the hub's mutex guards it.
	retainedUntil time.Time
	// arrived has the streams that the peer has opened; only read uses it.
	arrived arrivals
	// wake is signalled to send a heartbeat at once, also when the link becomes busy.
	wake chan struct{}
	tomb tomb.Tomb

	mu sync.Mutex
	// busySince is when the link last became busy.
	busySince time.Time
	// last is the last heartbeat received.
	last lastBeat
	// streams are the requests and queries sent to the peer; serving cancels the requests
	// that run for it, by stream. Both are nil once the link has ended.
	streams map[uint64]*stream
	serving map[uint64]context.CancelFunc
	// retired is set while the link is out of use at this end.
	retired bool
}

func newLink(h *Hub, peer ident.InstanceID, socket *websocket.Conn, protocol int) *link {
	socket.SetReadLimit(h.conf.MessageLimit)
	l := &link{
		hub: h, peer: peer, protocol: protocol, socket: socket, sendQueue: make(chan []byte, sendQueueSize), wake: make(chan struct{}, 1),
		streams: map[uint64]*stream{}, serving: map[uint64]context.CancelFunc{},
	}
	l.lastHeard.Store(clock.Now().UnixNano())
	l.noteUse()
	l.tomb.Go(l.write)
	l.tomb.Go(l.read)
	l.tomb.Go(l.sendHeartbeats)
	return l
}

func (l *link) close(cause Cause) {
	l.tomb.Kill(&Error{Cause: cause, Peer: l.peer})
	_ = l.socket.CloseNow()
}

// send queues a frame for writing. It waits for space in the queue, until the link ends or
// ctx is done.
func (l *link) send(ctx context.Context, k kind, stream uint64, body any) error {
	data, err := encodeFrame(k, stream, forProtocol(body, l.protocol))
	if err != nil {
		return err
	}
	if int64(len(data)) > l.hub.conf.MessageLimit-maxBatch {
		// A message holds up to maxBatch of other frames before it.
		klog.InfoS("frame for a peer is too large", "peer", l.peer, "kind", k, "bytes", len(data), "limit", l.hub.conf.MessageLimit)
		return &Error{Cause: TooLarge, Peer: l.peer}
	}
	select {
	case <-l.tomb.Dying():
		return &Error{Cause: Closed, Peer: l.peer}
	default:
	}
	select {
	case l.sendQueue <- data:
		l.hub.bytesOut.Add(float64(len(data)))
		return nil
	case <-l.tomb.Dying():
		return &Error{Cause: Closed, Peer: l.peer}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write sends the queued frames, several to a WebSocket message.
func (l *link) write() error {
	defer l.socket.CloseNow()
	var buffer []byte
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case data := <-l.sendQueue:
			buffer = l.fillBatch(append(buffer[:0], data...))
		}
		ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), l.hub.conf.Timeout)
		err := l.socket.Write(ctx, websocket.MessageBinary, buffer)
		cancel()
		if err != nil {
			return &Error{Cause: Closed, Peer: l.peer, Detail: err.Error()}
		}
		if cap(buffer) > maxIdleBuffer {
			buffer = nil
		}
	}
}

// fillBatch appends queued frames to the buffer until it reaches maxBatch.
func (l *link) fillBatch(buffer []byte) []byte {
	for len(buffer) < maxBatch {
		select {
		case data := <-l.sendQueue:
			buffer = append(buffer, data...)
		default:
			return buffer
		}
	}
	return buffer
}

// read receives messages until the link ends, and then cleans up.
func (l *link) read() error {
	failed := l.receive()
	if ended, ok := l.tomb.Err().(*Error); ok && failed.Cause == Closed {
		failed = ended
	}
	l.cleanUp(failed)
	return failed
}

// receive reads messages and dispatches their frames until one of them can't be read.
func (l *link) receive() *Error {
	ctx := l.tomb.Context(context.Background())
	for {
		_, data, err := l.socket.Read(ctx)
		switch {
		case errors.Is(err, websocket.ErrMessageTooBig):
			return &Error{Cause: TooLarge, Peer: l.peer, Detail: err.Error()}
		case err != nil:
			return &Error{Cause: Closed, Peer: l.peer, Detail: err.Error()}
		}
		l.hub.bytesIn.Add(float64(len(data)))
		l.lastHeard.Store(clock.Now().UnixNano())
		decoder := decMode.NewDecoder(bytes.NewReader(data))
		for decoder.NumBytesRead() < len(data) {
			var f frame
			if err := decoder.Decode(&f); err != nil {
				return &Error{Cause: BadMessage, Peer: l.peer, Detail: err.Error()}
			}
			if err := l.dispatch(f); err != nil {
				var failed *Error
				if !errors.As(err, &failed) {
					failed = &Error{Cause: BadMessage, Peer: l.peer, Detail: err.Error()}
				}
				return failed
			}
		}
	}
}

// cleanUp fails the requests that wait for the peer and cancels those that run for it, after the link has ended.
func (l *link) cleanUp(failed *Error) {
	l.mu.Lock()
	streams, serving := l.streams, l.serving
	l.streams, l.serving = nil, nil
	l.mu.Unlock()
	for _, s := range streams {
		s.put(frame{})
	}
	for _, cancel := range serving {
		cancel()
	}
	l.hub.unregister(l)
	l.hub.linksEnded.WithLabelValues(failed.Cause.String()).Inc()
	klog.InfoS("link ended", "peer", l.peer, "cause", failed.Cause.String(), "error", failed.Detail)
}

// sendHeartbeats sends heartbeats, and closes the link when nothing arrived from the peer
// in time.
//
// On an idle link that is not used for failure detection, the heartbeat interval and the
// timeout are longer. While a request runs over it, both ends use the normal interval, so
// that a dead peer is detected as soon as on any other link.
func (l *link) sendHeartbeats() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if err := l.sendHeartbeat(l.tomb.Context(context.Background())); err != nil {
			return nil
		}
		heartbeatFactor := l.heartbeatFactor()
		timer.Reset(l.hub.conf.Heartbeat * heartbeatFactor)
		select {
		case <-l.tomb.Dying():
			return nil
		case <-l.wake:
		case <-timer.C:
		}
		if l.silentFor() > l.hub.conf.Timeout*max(1, min(heartbeatFactor, l.heartbeatFactor())) {
			l.close(Silent)
			return nil
		}
	}
}

// silentFor returns how long nothing has arrived. While requests run, the time before the
// link became busy does not count, as the peer may have sent at a longer interval then.
func (l *link) silentFor() time.Duration {
	lastHeard := time.Unix(0, l.lastHeard.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running() && l.busySince.After(lastHeard) {
		lastHeard = l.busySince
	}
	return clock.Since(lastHeard)
}

// heartbeatFactor returns the current factor on the heartbeat interval and timeout.
func (l *link) heartbeatFactor() time.Duration {
	if l.busy() {
		return 1
	}
	return max(1, l.hub.conf.Handler.HeartbeatFactor(l.peer))
}

// markBusy records that a request is about to run; the caller holds the mutex.
func (l *link) markBusy() {
	if l.running() {
		return
	}
	l.busySince = clock.Now()
	l.wakeUp()
}

// running reports whether requests run over the link in either direction; the caller holds
// the mutex.
func (l *link) running() bool { return len(l.streams) > 0 || len(l.serving) > 0 }

// busy is like running, but locks the mutex.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running()
}

// dispatch handles one received frame.
func (l *link) dispatch(f frame) error {
	switch f.Kind {
	case kindWork:
		return l.serve(f)
	case kindCancel:
		l.cancelRequest(f.Stream)
		return nil
	case kindChunk, kindResult:
		l.deliver(f)
		return nil
	}
	m, err := decode(f.Kind, f.Body)
	if err != nil || m == nil {
		return err
	}
	switch received := m.(type) {
	case Heartbeat:
		m = l.receiveHeartbeat(received)
	case Retire:
		l.tomb.Go(l.answerRetire)
		return nil
	case RetireAnswer:
		return l.endRetire(received)
	case TokensRequest:
		l.noteRequest()
	default:
		l.noteUse()
	}
	if f.Stream == 0 {
		l.hub.conf.Handler.HandleNotification(l.peer, m)
		return nil
	}
	if f.Stream%2 == l.streamParity() {
		l.deliver(f)
		return nil
	}
	if ok, err := l.arrives(f); !ok {
		return err
	}
	l.tomb.Go(func() error { return l.answer(f.Stream, m) })
	return nil
}

// streamParity returns the parity of the numbers of streams that this end opens.
func (l *link) streamParity() uint64 {
	if l.hub.conf.Self < l.peer {
		return 1
	}
	return 0
}

// answer sends the handler's response to a query, if it returns one.
func (l *link) answer(stream uint64, m Message) error {
	ctx := l.tomb.Context(context.Background())
	reply := l.hub.conf.Handler.HandleQuery(ctx, l.peer, m)
	if reply == nil {
		return nil
	}
	_ = l.send(ctx, kindOf(reply), stream, reply)
	return nil
}

// call sends a query over a stream and waits for its response.
func (l *link) call(ctx context.Context, id uint64, s *stream, m Message) (Message, error) {
	defer l.closeStream(id)
	if _, forTokens := m.(TokensRequest); forTokens {
		l.noteRequest()
	}
	if err := l.send(ctx, kindOf(m), id, m); err != nil {
		return nil, err
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for _, f := range s.take() {
		if f.Kind != 0 {
			return decode(f.Kind, f.Body)
		}
	}
	return nil, &Error{Cause: Closed, Peer: l.peer}
}
