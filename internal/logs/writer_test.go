package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestSlowReaderDoesNotBlockWriters guards against an output that is not read, such as a
// full pipe, blocking the program. It writes more than the queue buffers to an output that
// blocks: Write must not wait, and the log must say that lines were dropped.
func TestSlowReaderDoesNotBlockWriters(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsyncWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 3 * maxBufferedBytes / len(line) {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("writing took %v, want at most 1 s", took)
	}
	close(s.unblock)
	a.Close(10 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	if text := s.written.String(); !strings.Contains(text, `"msg":"log-lines-dropped","count":`) {
		t.Fatalf("%d bytes written, without a log-lines-dropped line", len(text))
	}
}

// TestCloseFlushesBufferedLines closes a queue right after a line was written, before it is
// flushed.
func TestCloseFlushesBufferedLines(t *testing.T) {
	var got bytes.Buffer
	a := NewAsyncWriter(&got)
	_, _ = a.Write([]byte("last\n"))
	a.Close(10 * time.Second)
	if got.String() != "last\n" {
		t.Fatalf("output after Close is %q, want the buffered line", got.String())
	}
}
