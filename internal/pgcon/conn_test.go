package pgcon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
)

// server plays a backend server: it lets the proxy in, then answers each request with the given bytes.
func server(t testing.TB, answers ...[]byte) *Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		defer raw.Close()
		back := pgproto3.NewBackend(raw, raw)
		if _, err := back.ReceiveStartupMessage(); err != nil {
			return
		}
		_, _ = raw.Write(encode(&pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
		for _, answer := range answers {
			if _, err := back.Receive(); err != nil {
				return
			}
			if _, err := raw.Write(answer); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, raw)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := (&Driver{Dialer: &net.Dialer{}}).Dial(ctx, proto.Target{Server: "s", Address: l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c.(*Conn)
}

func encode(messages ...pgproto3.BackendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

func row(text string) []byte {
	return encode(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func request() *proto.Request {
	query := pgproto3.Query{String: "SELECT 1"}
	messages, _ := query.Encode(nil)
	return &proto.Request{Messages: messages}
}

type collect struct{ bytes.Buffer }

func (c *collect) Emit(b []byte) error {
	_, err := c.Write(b)
	return err
}

func run(t testing.TB, c *Conn, d time.Duration) (*collect, proto.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	sink := &collect{}
	answer, err := c.Run(ctx, request(), sink)
	return sink, answer, err
}

// TestSurplusAnswerEndsTheConnection answers one request twice.
func TestSurplusAnswerEndsTheConnection(t *testing.T) {
	c := server(t, append(row("mine"), row("surplus")...))
	sink, _, err := run(t, c, 10*time.Second)
	if err != nil || !bytes.Equal(sink.Bytes(), row("mine")) {
		t.Fatalf("got %q, %v", sink.Bytes(), err)
	}
	for end := time.Now().Add(10 * time.Second); c.Clean(); {
		if time.Now().After(end) {
			t.Fatal("a connection with a surplus answer counts as clean")
		}
	}
}

// TestLateAnswerReachesNobody lets the deadline pass before the answer comes.
func TestLateAnswerReachesNobody(t *testing.T) {
	c := server(t, nil)
	_, _, err := run(t, c, 30*time.Millisecond)
	var failed *proto.RunError
	if !errors.As(err, &failed) || failed.Stage != proto.Sent {
		t.Fatalf("got %v, want a request that was sent and not answered", err)
	}
	if c.Clean() {
		t.Fatal("a connection that still owes an answer counts as clean")
	}
	if _, _, err := run(t, c, time.Second); err == nil {
		t.Fatal("a connection that owes an answer ran another request")
	}
}

// TestCutAnswerIsNeverWhole cuts an answer after any number of bytes.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	whole := row("value")
	rapid.Check(t, func(rt *rapid.T) {
		cut := rapid.IntRange(0, len(whole)-1).Draw(rt, "cut")
		c := server(t, whole[:cut])
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if _, err := c.Run(ctx, request(), &collect{}); err == nil {
			rt.Fatalf("an answer cut after %d of %d bytes counted as whole", cut, len(whole))
		}
		if c.Clean() {
			rt.Fatal("the connection counts as clean")
		}
	})
}

// TestUnsentIsToldFromSent runs a request on a connection that is closed already.
func TestUnsentIsToldFromSent(t *testing.T) {
	c := server(t, row("x"))
	c.link.Close()
	_, _, err := run(t, c, time.Second)
	var failed *proto.RunError
	if !errors.As(err, &failed) || failed.Stage != proto.Unsent {
		t.Fatalf("got %v, want an unsent request", err)
	}
}

// TestPositionComesWithTheAnswer asks for the server's state in the same round trip.
func TestPositionComesWithTheAnswer(t *testing.T) {
	status := encode(&pgproto3.DataRow{Values: [][]byte{
		[]byte("s"), []byte("primary"), []byte("3"), []byte("3"), []byte("3"), []byte("0/2A"), []byte("0/2A"), []byte("0"),
	}}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	c := server(t, row("x"), status)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := request()
	r.Position = true
	answer, err := c.Run(ctx, r, &collect{})
	want := group.Status{Server: "s", Role: group.Primary, Term: 3, Sealed: 3, LogTerm: 3, Received: 42, Applied: 42}
	if err != nil || answer.Status != want {
		t.Fatalf("got %+v, %v", answer.Status, err)
	}
}

// FuzzAnswer lets a server answer with any bytes; only an answer that ends in
// ReadyForQuery may count as whole.
func FuzzAnswer(f *testing.F) {
	f.Add(row("x"))
	f.Add([]byte{'Z', 0, 0, 0, 5, 'I'})
	f.Add([]byte{'D', 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{'E', 0, 0, 0, 4, 'Z', 0, 0, 0, 4})
	f.Add([]byte{'H', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := server(t, answer)
		sink, _, err := run(t, c, 20*time.Millisecond)
		if err == nil && !bytes.Contains(sink.Bytes(), []byte{'Z', 0, 0, 0, 5}) {
			t.Fatalf("%q counted as whole", answer)
		}
	})
}
