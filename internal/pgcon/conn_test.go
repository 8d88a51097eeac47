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

// startServer starts a fake backend server, which accepts one connection and answers each
// Query and each Sync after an Execute with the given bytes, and returns a connection to it. It answers markers as
// PostgreSQL does, unless the bytes are nil or end with the answer to the marker's Sync.
func startServer(t testing.TB, answers ...[]byte) *Conn {
	t.Helper()
	return serveFake(t, func(f *fakeServer) {
		for _, answer := range answers {
			if f.answer(answer); answer == nil {
				return
			}
		}
		f.answerMarkers()
	})
}

// fakeServer is the server's end of a connection.
type fakeServer struct {
	raw  net.Conn
	back *pgproto3.Backend
	// next is a request that was read and is not answered yet.
	next *fakeRequest
}

// fakeRequest is what a fake server receives up to a Query or Sync; marker is the answer to a marker in it, and to
// its Sync.
type fakeRequest struct {
	query, executes bool
	// parses is set if a statement with a name is parsed.
	parses bool
	// text is that of the Query, or the value of the Bind.
	text   string
	marker []byte
}

// answer answers the next request, and the markers before and after it.
func (f *fakeServer) answer(answer []byte) {
	f.answerMarkers()
	if f.next == nil {
		return
	}
	_, _ = f.raw.Write(answer)
	if !f.next.query && answer != nil && !bytes.HasSuffix(answer, []byte{'Z', 0, 0, 0, 5, 'E'}) {
		_, _ = f.raw.Write(f.next.marker)
	}
	f.next = nil
}

// answerMarkers answers markers until a request comes.
func (f *fakeServer) answerMarkers() {
	for f.next = f.receive(); f.next != nil && !f.next.query && !f.next.executes; f.next = f.receive() {
		_, _ = f.raw.Write(f.next.marker)
	}
}

func (f *fakeServer) receive() *fakeRequest {
	r := &fakeRequest{}
	for {
		m, err := f.back.Receive()
		if err != nil {
			return nil
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			r.query, r.text = true, m.String
			return r
		case *pgproto3.Bind:
			if len(m.Parameters) > 0 {
				r.text = string(m.Parameters[0])
			}
		case *pgproto3.Parse:
			r.parses = r.parses || m.Name != ""
			r.marker = encode(&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{ParameterOIDs: m.ParameterOIDs}, &pgproto3.NoData{})
		case *pgproto3.Execute:
			r.executes = true
		case *pgproto3.Sync:
			r.marker = append(r.marker, encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})...)
			return r
		}
	}
}

// serveFake starts a server that accepts one connection, and returns a connection to it.
func serveFake(t testing.TB, serve func(*fakeServer)) *Conn {
	t.Helper()
	return serveReported(t, nil, serve)
}

// serveReported is serveFake for a connection that reports its findings.
func serveReported(t testing.TB, report func(proto.Finding), serve func(*fakeServer)) *Conn {
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
		serve(&fakeServer{raw: raw, back: back})
		_, _ = io.Copy(io.Discard, raw)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := (&Driver{Dialer: &net.Dialer{}}).Dial(ctx, proto.Target{Server: "s", Address: l.Addr().String(), Report: report})
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
	return encode(&pgproto3.RowDescription{}, &pgproto3.DataRow{Values: [][]byte{[]byte(text)}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func request() *proto.Request {
	query := pgproto3.Query{String: "SELECT 1"}
	messages, _ := query.Encode(nil)
	return &proto.Request{Messages: messages}
}

type collectSink struct{ bytes.Buffer }

func (c *collectSink) Emit(b []byte) error {
	_, err := c.Write(b)
	return err
}

func run(t testing.TB, c *Conn, d time.Duration) (*collectSink, proto.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	sink := &collectSink{}
	answer, err := c.Run(ctx, request(), sink)
	return sink, answer, err
}

// TestSurplusAnswerMakesConnUnclean: if a server answers one request twice, the second
// answer must not be taken for the answer to a later request.
func TestSurplusAnswerMakesConnUnclean(t *testing.T) {
	c := serveFake(t, func(f *fakeServer) {
		f.answer(row("mine"))
		_, _ = f.raw.Write(f.receive().marker)
		_, _ = f.raw.Write(row("surplus"))
	})
	sink, _, err := run(t, c, 10*time.Second)
	if err != nil || !bytes.Equal(sink.Bytes(), row("mine")) {
		t.Fatalf("got %q, %v", sink.Bytes(), err)
	}
	for end := time.Now().Add(10 * time.Second); c.Condition() == proto.Usable; {
		if time.Now().After(end) {
			t.Fatal("a connection with a surplus answer still counts as clean after 10 s")
		}
	}
}

// TestSurplusAnswerAtOnceIsNotPassedOn: of two answers before the marker nobody can tell which one is the request's.
func TestSurplusAnswerAtOnceIsNotPassedOn(t *testing.T) {
	c := startServer(t, append(row("mine"), row("surplus")...))
	sink, _, err := run(t, c, 10*time.Second)
	var failed *proto.RunError
	if !errors.As(err, &failed) || failed.Stage != proto.Answering || sink.Len() > 0 || c.Condition() != proto.Broken {
		t.Fatalf("got %q, %v, condition %v; want a *RunError at stage answering and a closed connection", sink.Bytes(), err, c.Condition())
	}
}

// TestTimedOutConnIsNotReused: after a request has timed out, its connection must not
// be reused, or its answer would go to a later request.
func TestTimedOutConnIsNotReused(t *testing.T) {
	c := startServer(t, nil)
	_, _, err := run(t, c, 30*time.Millisecond)
	var failed *proto.RunError
	if !errors.As(err, &failed) || failed.Stage != proto.Sent {
		t.Fatalf("got %v, want a *RunError at stage sent", err)
	}
	if c.Condition() == proto.Usable {
		t.Fatal("a connection with an unanswered request counts as clean")
	}
	if _, _, err := run(t, c, time.Second); err == nil {
		t.Fatal("a connection with an unanswered request ran another request")
	}
}

// TestTruncatedAnswerIsNeverComplete: an answer truncated after any number of bytes must not
// count as complete, nor its connection as clean.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	whole := row("value")
	rapid.Check(t, func(rt *rapid.T) {
		cut := rapid.IntRange(0, len(whole)-1).Draw(rt, "cut")
		c := startServer(t, whole[:cut])
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		if _, err := c.Run(ctx, request(), &collectSink{}); err == nil {
			rt.Fatalf("an answer truncated after %d of %d bytes counted as complete", cut, len(whole))
		}
		if c.Condition() == proto.Usable {
			rt.Fatal("the connection counts as clean after a truncated answer")
		}
	})
}

// TestRequestOnClosedConnIsUnsent: a request on a closed connection must fail as unsent, so
// that it can be retried.
func TestRequestOnClosedConnIsUnsent(t *testing.T) {
	c := startServer(t, row("x"))
	c.link.Close()
	_, _, err := run(t, c, time.Second)
	var failed *proto.RunError
	if !errors.As(err, &failed) || failed.Stage != proto.Unsent {
		t.Fatalf("got %v, want a *RunError at stage unsent", err)
	}
}

// TestStatusInSameRoundTrip: the server's status is queried in the same round trip
// as the request.
func TestStatusInSameRoundTrip(t *testing.T) {
	status := encode(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.DataRow{Values: [][]byte{
		[]byte("s"), []byte("primary"), []byte("3"), []byte("3"), []byte("3"), []byte("0/2A"), []byte("0/2A"), []byte("0"),
	}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	c := startServer(t, row("x"), status)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := request()
	r.WantStatus = true
	answer, err := c.Run(ctx, r, &collectSink{})
	want := group.Status{Server: "s", Role: group.Primary, Term: 3, Sealed: 3, LogTerm: 3, Received: 42, Applied: 42}
	if err != nil || answer.Status != want {
		t.Fatalf("got status %+v, error %v", answer.Status, err)
	}
}

// FuzzAnswer lets a server answer with arbitrary bytes; only an answer that contains a
// ReadyForQuery may count as complete.
func FuzzAnswer(f *testing.F) {
	f.Add(row("x"))
	f.Add([]byte{'Z', 0, 0, 0, 5, 'I'})
	f.Add([]byte{'D', 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{'E', 0, 0, 0, 4, 'Z', 0, 0, 0, 4})
	f.Add([]byte{'H', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := startServer(t, answer)
		sink, _, err := run(t, c, 20*time.Millisecond)
		if err == nil && !bytes.Contains(sink.Bytes(), []byte{'Z', 0, 0, 0, 5}) {
			t.Fatalf("%q counted as a complete answer", answer)
		}
	})
}

// TestErrorInTransactionKeepsTheConnection runs a statement that fails in a transaction, where the
// server refuses the status query as well: the caller gets the statement's own error.
func TestErrorInTransactionKeepsTheConnection(t *testing.T) {
	failure := func(code string) []byte {
		return encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code}, &pgproto3.ReadyForQuery{TxStatus: 'E'})
	}
	c := startServer(t, failure("23505"), failure("25P02"))
	query := encodeQuery("INSERT INTO ledger VALUES (1)")
	answer, err := c.Run(context.Background(), &proto.Request{Messages: query, WantStatus: true}, discardSink{})
	if err != nil || answer.ErrorCode != "23505" || answer.TxStatus != 'E' || answer.HasStatus {
		t.Fatalf("got %+v, %v; want the error 23505 in a failed transaction, without a status", answer, err)
	}
}

func encodeQuery(text string) []byte {
	out, _ := (&pgproto3.Query{String: text}).Encode(nil)
	return out
}

// cutConn is a network connection that breaks in the middle of a write.
type cutConn struct{ net.Conn }

func (c cutConn) Write(b []byte) (int, error) {
	n, _ := c.Conn.Write(b[:len(b)-1])
	c.Close()
	return n, net.ErrClosed
}

// TestRequestSentInPartIsNotUnsent: a request of which the network took a part must not fail as
// unsent, for the server may have run the statements in that part.
func TestRequestSentInPartIsNotUnsent(t *testing.T) {
	c := startServer(t, row("x"))
	c.link.Conn = cutConn{c.link.Conn}
	_, _, err := run(t, c, time.Second)
	var failed *proto.RunError
	if !errors.As(err, &failed) || failed.Stage != proto.Sent {
		t.Fatalf("got %v, want a *RunError at stage sent", err)
	}
}
