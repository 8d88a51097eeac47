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

// NewAsyncWriter returns an AsyncWriter that writes to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails and never waits for the output.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.buffer)+len(line) > maxBufferedBytes {
		a.dropped++
	} else {
		a.buffer = append(a.buffer, line...)
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and waits for that at most the timeout.
func (a *AsyncWriter) Close(timeout time.Duration) {
	close(a.closed)
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case <-a.wake:
			time.Sleep(flushDelay)
			a.flush()
		case <-a.closed:
			a.flush()
			return
		}
	}
}

// flush writes the buffered lines. A write error is ignored: it could only be reported to
// the same output.
func (a *AsyncWriter) flush() {
	a.mu.Lock()
	lines, dropped := a.buffer, a.dropped
	a.buffer, a.dropped = nil, 0
	a.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"WARN","msg":"log-lines-dropped","count":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	_, _ = a.out.Write(lines)
}
