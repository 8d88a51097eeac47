package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the lines buffered while the output is slow.
	maxBufferedBytes = 256 << 10
	// flushDelay is how long lines are collected into one write.
	flushDelay = 20 * time.Millisecond
)

// AsyncWriter buffers lines and writes them in the background, several per write. When the
// buffer is full because the output is slow, it drops lines instead of blocking the
// program, and logs how many it dropped.
type AsyncWriter struct {
	out    io.Writer
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped int
}

// NewAsyncWriter returns a queue that writes to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{out: w, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It never fails and never waits for the output.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	if len(q.buffer)+len(line) > maxBufferedBytes {
		q.dropped++
	} else {
		q.buffer = append(q.buffer, line...)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and waits for that at most the timeout.
func (q *AsyncWriter) Close(timeout time.Duration) {
	close(q.closed)
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

func (q *AsyncWriter) run() {
	defer close(q.done)
	for {
		select {
		case <-q.wake:
			time.Sleep(flushDelay)
			q.flush()
		case <-q.closed:
			q.flush()
			return
		}
	}
}

// flush writes the buffered lines. A write error is ignored: it could only be reported to
// the same output.
func (q *AsyncWriter) flush() {
	q.mu.Lock()
	lines, dropped := q.buffer, q.dropped
	q.buffer, q.dropped = nil, 0
	q.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log-lines-dropped","count":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	_, _ = q.out.Write(lines)
}
