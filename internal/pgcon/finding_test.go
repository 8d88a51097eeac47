package pgcon

import (
	"context"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/proto"
)

// dialFake opens a connection to a server that accepts one connection and answers its start-up with the given bytes,
// and what follows with others after each message.
func dialFake(t *testing.T, startUp []byte, found *[]proto.Violation) (*Conn, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		back := pgproto3.NewBackend(raw, raw)
		_, _ = back.ReceiveStartupMessage()
		_, _ = raw.Write(startUp)
		time.Sleep(50 * time.Millisecond)
		raw.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	target := proto.Target{Server: "s", Address: l.Addr().String(), Report: func(f proto.Finding) { *found = append(*found, f.Violation) }}
	c, err := (&Driver{Dialer: &net.Dialer{}}).Dial(ctx, target)
	if err != nil {
		return nil, err
	}
	t.Cleanup(c.Close)
	return c.(*Conn), nil
}

var (
	admitted = encode(&pgproto3.AuthenticationOk{})
	started  = encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})
)

// TestStartUpIsReadStrictly: a server that skipped the authentication, or sent anything else, was taken for one that
// is ready, and a length field had up to 1 GiB allocated.
func TestStartUpIsReadStrictly(t *testing.T) {
	for name, test := range map[string]struct {
		answer []byte
		want   []proto.Violation
		ready  bool
	}{
		"sound":                   {answer: slices.Concat(admitted, encode(&pgproto3.ParameterStatus{Name: "a", Value: "b"}, &pgproto3.NoticeResponse{}, &pgproto3.BackendKeyData{SecretKey: []byte{1, 2, 3, 4}}), started), ready: true},
		"ready without admission": {answer: started, want: []proto.Violation{proto.Malformed}},
		"admitted twice":          {answer: slices.Concat(admitted, admitted, started), want: []proto.Violation{proto.Malformed}},
		"a row":                   {answer: slices.Concat(admitted, row("x")), want: []proto.Violation{proto.Malformed}},
		"refused":                 {answer: encode(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300"})},
		"1 GiB of key data":       {answer: slices.Concat(admitted, []byte{'K', 0x40, 0, 0, 0}), want: []proto.Violation{proto.TooLong}},
		"1 GiB of error":          {answer: []byte{'E', 0x40, 0, 0, 0, 'x'}, want: []proto.Violation{proto.TooLong}},
		"length of 3":             {answer: []byte{'E', 0, 0, 0, 3}, want: []proto.Violation{proto.Malformed}},
	} {
		t.Run(name, func(t *testing.T) {
			var found []proto.Violation
			_, err := dialFake(t, test.answer, &found)
			if (err == nil) != test.ready || !slices.Equal(found, test.want) {
				t.Errorf("got %v, found %v; want ready %t, found %v", err, found, test.ready, test.want)
			}
		})
	}
}

// TestLengthAloneAllocatesNothing: a row's length field had 1 GiB allocated before its first byte had arrived.
func TestLengthAloneAllocatesNothing(t *testing.T) {
	c := serveFake(t, func(f *fakeServer) {
		f.answer(slices.Concat(encode(&pgproto3.RowDescription{}), []byte{'D', 0x3f, 0xff, 0xff, 0xff, 0, 1}))
		f.raw.Close()
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, _, err := run(t, c, 10*time.Second); err == nil {
		t.Fatal("an unfinished row counted as an answer")
	}
	runtime.ReadMemStats(&after)
	const allowed = 1 << 20
	if grown := after.TotalAlloc - before.TotalAlloc; grown > allowed {
		t.Errorf("%d bytes were allocated", grown)
	}
}

// TestUnaskedMessagesAreToldFromSurplusAnswers: a notice that a server sent while no request was outstanding counted
// as a surplus answer and closed the connection.
func TestUnaskedMessagesAreToldFromSurplusAnswers(t *testing.T) {
	notice := encode(&pgproto3.NoticeResponse{Severity: "WARNING", Message: "x"}, &pgproto3.ParameterStatus{Name: "a", Value: "b"}, &pgproto3.NotificationResponse{Channel: "c"})
	for name, test := range map[string]struct {
		sent []byte
		want proto.Condition
	}{
		"nothing":                  {want: proto.Usable},
		"notices":                  {sent: notice, want: proto.Usable},
		"a notice and an answer":   {sent: slices.Concat(notice, row("x")), want: proto.Surplus},
		"a part of a notice":       {sent: notice[:7], want: proto.Surplus},
		"a part of a header":       {sent: notice[:2], want: proto.Surplus},
		"an answer":                {sent: row("x"), want: proto.Surplus},
		"an error":                 {sent: encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "23505"}), want: proto.Surplus},
		"the end of the server":    {sent: encode(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}), want: proto.Ended},
		"a length that is too big": {sent: []byte{'N', 0xff, 0xff, 0xff, 0xff}, want: proto.Surplus},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan bool)
			c := serveFake(t, func(f *fakeServer) {
				f.answer(row("mine"))
				_, _ = f.raw.Write(f.receive().marker)
				<-sent
				_, _ = f.raw.Write(test.sent)
				sent <- true
			})
			if _, _, err := run(t, c, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			sent <- true
			<-sent
			time.Sleep(5 * time.Millisecond)
			if got := c.Condition(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestServerThatRefusesMarkersIsReported: what it answers can't be proven, so it is not passed on.
func TestServerThatRefusesMarkersIsReported(t *testing.T) {
	var found []proto.Violation
	c := serveReported(t, func(f proto.Finding) { found = append(found, f.Violation) }, func(f *fakeServer) {
		for r := f.receive(); r != nil; r = f.receive() {
			answer := row("x")
			if !r.query {
				answer = encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "0A000"}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
			}
			_, _ = f.raw.Write(answer)
		}
	})
	sink, _, err := run(t, c, 10*time.Second)
	if err == nil || sink.Len() > 0 || !slices.Equal(found, []proto.Violation{proto.Malformed}) {
		t.Errorf("got %q, %v, found %v; want an error, found malformed", sink.Bytes(), err, found)
	}
}
