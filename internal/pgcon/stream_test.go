package pgcon

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/proto"
)

// countSink counts the bytes of an answer and tells when more than it is to hold have come.
type countSink struct {
	count int
	long  chan bool
}

// Emit implements proto.Sink.
func (s *countSink) Emit(b []byte) error {
	if s.count += len(b); s.count > heldSize && s.long != nil {
		close(s.long)
		s.long = nil
	}
	return nil
}

// TestSecondLongAnswerIsHeldUntilItsMarker: the first long answer of a connection can't be a copy, a later one can.
func TestSecondLongAnswerIsHeldUntilItsMarker(t *testing.T) {
	const rows, rowSize = 100, 8 << 10
	data := encode(&pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", rowSize))}})
	answer := slices.Concat(encode(&pgproto3.RowDescription{}), slices.Repeat(data, rows),
		encode(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 100")}, &pgproto3.ReadyForQuery{TxStatus: 'T'}))
	mayMark := make(chan bool)
	c := serveFake(t, func(f *fakeServer) {
		for r := f.receive(); r != nil; r = f.receive() {
			if r.query {
				_, _ = f.raw.Write(answer)
				continue
			}
			<-mayMark
			_, _ = f.raw.Write(r.marker)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for n := range 2 {
		sink := &countSink{long: make(chan bool)}
		long, done := sink.long, make(chan error)
		go func() {
			_, err := c.Run(ctx, request(), sink)
			done <- err
		}()
		streamed := false
		select {
		case <-long:
			streamed = true
		case <-time.After(100 * time.Millisecond):
		}
		if first := n == 0; streamed != first {
			t.Errorf("answer %d: passed on before its marker: %t, want %t", n, streamed, first)
		}
		mayMark <- true
		if err := <-done; err != nil || sink.count != len(answer) {
			t.Fatalf("answer %d: %d bytes, %v; want %d", n, sink.count, err, len(answer))
		}
	}
	if got := c.Condition(); got != proto.Broken {
		t.Errorf("a connection that has passed on an answer before its marker is %v, want %v", got, proto.Broken)
	}
}
