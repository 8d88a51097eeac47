package pgcon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

// repeatDelays are the times after which a server repeats an answer.
var repeatDelays = []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 40 * time.Millisecond}

// repeater is a server that repeats answers, and a connection to it.
type repeater struct {
	t      testing.TB
	random *rand.Rand
	server *dbase.Server
	conn   *Conn
	// wrong are the answers that were taken for those of other requests, and refused counts the requests that
	// failed, whose connection was closed.
	wrong   []string
	refused int
	asked   int
	served  int
}

func newRepeater(t testing.TB, seed uint64) *repeater {
	t.Helper()
	g, err := dbase.Start(dbase.Config{Group: "g", Servers: []ident.ServerID{"s"}, Connections: 64, Slots: 8, User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	return &repeater{t: t, random: rand.New(rand.NewPCG(seed, 1)), server: g.Servers()[0]}
}

// open returns the connection, and a new one if the last was closed.
func (r *repeater) open() *Conn {
	r.t.Helper()
	if r.conn != nil && r.conn.Condition() == proto.Usable {
		return r.conn
	}
	r.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := (&Driver{Dialer: &net.Dialer{}, User: "u", Password: "p"}).Dial(ctx, proto.Target{Server: "s", Address: r.server.Addr()})
	if err != nil {
		r.t.Fatal(err)
	}
	r.conn = c.(*Conn)
	return r.conn
}

func (r *repeater) close() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// repeatSome has the server repeat the next answer, one time in five.
func (r *repeater) repeatSome() {
	if r.random.IntN(5) == 0 {
		r.server.Faults().RepeatedAnswers.Store(1)
		r.server.Faults().RepeatedStatus.Store(1)
	}
}

// pause waits for up to twice the delay of repeats, so that they come at any point of what follows.
func (r *repeater) pause() {
	if d := r.server.Faults().RepeatDelay.Load(); d > 0 && r.random.IntN(2) == 0 {
		time.Sleep(time.Duration(r.random.Int64N(2 * min(d, int64(5*time.Millisecond)))))
	}
}

// run runs a request and checks its answer; it reports whether the connection is still usable.
func (r *repeater) run(c *Conn, q *proto.Request, want string) bool {
	r.t.Helper()
	r.repeatSome()
	r.pause()
	r.asked++
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	sink := &collectSink{}
	_, err := c.Run(ctx, q, sink)
	var failed *proto.RunError
	switch {
	case errors.As(err, &failed):
		r.refused++
		r.close()
		return false
	case err != nil:
		r.t.Fatal(err)
	}
	r.served++
	if got := describeAnswer(r.t, sink.Bytes()); got != want {
		r.wrong = append(r.wrong, fmt.Sprintf("got %q, want %q", got, want))
	}
	return true
}

func (r *repeater) report(delay time.Duration) {
	r.t.Helper()
	r.t.Logf("copies after %v: %d of %d requests served, %d refused, %d wrong", delay, r.served, r.asked, r.refused, len(r.wrong))
	if len(r.wrong) > 0 {
		r.t.Errorf("copies after %v: %d of %d answers are those of other requests; first: %s", delay, len(r.wrong), r.served, r.wrong[0])
	}
	if r.served < r.asked/2 {
		r.t.Errorf("copies after %v: %d of %d requests were served", delay, r.served, r.asked)
	}
}

// describeAnswer returns the tags, values, codes and statuses of an answer.
func describeAnswer(t testing.TB, answer []byte) string {
	t.Helper()
	var out []string
	front := pgproto3.NewFrontend(bytes.NewReader(answer), nil)
	for {
		m, err := front.Receive()
		if err != nil {
			return strings.Join(out, " ")
		}
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			out = append(out, string(m.CommandTag))
		case *pgproto3.DataRow:
			out = append(out, fmt.Sprintf("%q", m.Values))
		case *pgproto3.ErrorResponse:
			out = append(out, m.Code)
		case *pgproto3.ReadyForQuery:
			out = append(out, string(m.TxStatus))
		}
	}
}

func queryRequest(format string, args ...any) *proto.Request {
	return &proto.Request{Messages: encodeQuery(fmt.Sprintf(format, args...))}
}

// preparedRequest returns a request that runs a prepared statement.
func preparedRequest(name, query string, values ...string) *proto.Request {
	bind := pgproto3.Bind{PreparedStatement: name}
	for _, v := range values {
		bind.Parameters = append(bind.Parameters, []byte(v))
	}
	out, _ := bind.Encode(nil)
	out, _ = (&pgproto3.Describe{ObjectType: 'P'}).Encode(out)
	out, _ = (&pgproto3.Execute{}).Encode(out)
	out, _ = (&pgproto3.Sync{}).Encode(out)
	return &proto.Request{Messages: out, Statements: []proto.Statement{{Name: name, Query: query}}}
}

// TestAnswerIsTheRequestsWhateverIsRepeated repeats any earlier answers, markers' among them, at any place between two
// answers: what a request gets is its own answer or an error.
func TestAnswerIsTheRequestsWhateverIsRepeated(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.SliceOfN(rapid.SampledFrom([]string{"request", "failure", "prepared request", "prepared failure"}), 1, 6).Draw(rt, "requests")
		// Mostly nothing is repeated; another number names the answer that is.
		repeats := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3, 4}), 40, 40).Draw(rt, "repeats")
		c := serveFake(t, func(f *fakeServer) { f.repeat(repeats) })
		defer c.Close()
		for n, kind := range requests {
			text := fmt.Sprintf("%s %d", kind, n)
			want := fmt.Sprintf("[%q] SELECT 1 I", text)
			if strings.Contains(kind, "failure") {
				want = text + " I"
			}
			q := &proto.Request{Messages: encodeQuery(text)}
			if strings.HasPrefix(kind, "prepared") {
				q = preparedRequest("echo", "SELECT $1", text)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			sink := &collectSink{}
			_, err := c.Run(ctx, q, sink)
			cancel()
			if err != nil {
				return
			}
			// Inside a transaction nobody looks at the connection between two requests.
			served++
			if got := describeAnswer(t, sink.Bytes()); got != want {
				rt.Fatalf("%s got %s", text, got)
			}
		}
	})
	if served == 0 {
		t.Fatal("no request was served")
	}
}

// repeat answers requests with their texts. Before and after each answer it repeats the earlier ones that are named.
func (f *fakeServer) repeat(repeats []int) {
	var answers [][]byte
	repeat := func() {
		if len(repeats) == 0 {
			return
		}
		if back := repeats[0]; back > 0 && back <= len(answers) {
			_, _ = f.raw.Write(answers[len(answers)-back])
		}
		repeats = repeats[1:]
	}
	for r := f.receive(); r != nil; r = f.receive() {
		answer := r.marker
		failed := encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: r.text}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		switch fails := strings.Contains(r.text, "failure"); {
		case r.query && fails, r.executes && fails && !r.parses:
			answer = failed
		case r.executes && fails:
			answer = append(encode(&pgproto3.ParseComplete{}), failed...)
		case r.query:
			answer = row(r.text)
		case r.executes:
			whole := row(r.text)
			rows := encode(&pgproto3.BindComplete{})
			if r.parses {
				rows = encode(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{})
			}
			answer = slices.Concat(rows, whole[:len(whole)-6], r.marker)
		}
		repeat()
		_, _ = f.raw.Write(answer)
		answers = append(answers, answer)
		repeat()
	}
}

// eachDelay plays a number of rounds with a server that repeats answers after each of the delays.
func eachDelay(t *testing.T, rounds int, play func(r *repeater, id string)) {
	for _, delay := range repeatDelays {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			r := newRepeater(t, 43)
			defer r.close()
			r.server.Faults().RepeatDelay.Store(int64(delay))
			for n := range rounds {
				play(r, fmt.Sprintf("row-%d", n))
			}
			r.report(delay)
		})
	}
}

// TestCopyOfAnswerIsNotTakenForNextOne: a caller got the row of another, or the success of a write that had
// not run, from a server that repeats answers.
func TestCopyOfAnswerIsNotTakenForNextOne(t *testing.T) {
	eachDelay(t, 200, func(r *repeater, id string) {
		write := queryRequest("INSERT INTO ledger (id, value) VALUES ('%s', 'of %s')", id, id)
		write.WantStatus = true
		if !r.run(r.open(), write, "INSERT 0 1 I") {
			return
		}
		r.run(r.open(), queryRequest("SELECT value FROM ledger WHERE id = '%s'", id), fmt.Sprintf("[%q] SELECT 1 I", "of "+id))
		r.run(r.open(), preparedRequest("read", "SELECT value FROM ledger WHERE id = $1", id), fmt.Sprintf("[%q] SELECT 1 I", "of "+id))
	})
}

// TestCopyOfAnswerInTransactionIsNotTakenForNextOne: nothing looked at a connection between the requests of a
// transaction, so that its callers got the answers to earlier ones, among them a COMMIT's.
func TestCopyOfAnswerInTransactionIsNotTakenForNextOne(t *testing.T) {
	eachDelay(t, 80, func(r *repeater, id string) {
		c := r.open()
		commit := queryRequest("COMMIT")
		commit.WantStatus = true
		_ = r.run(c, queryRequest("BEGIN"), "BEGIN T") &&
			r.run(c, preparedRequest("insert", "INSERT INTO ledger VALUES ($1, $2)", id, "of "+id), "INSERT 0 1 T") &&
			r.run(c, preparedRequest("read", "SELECT value FROM ledger WHERE id = $1", id), fmt.Sprintf("[%q] SELECT 1 T", "of "+id)) &&
			r.run(c, queryRequest("SELECT value FROM ledger WHERE id = '%s'", id), fmt.Sprintf("[%q] SELECT 1 T", "of "+id)) &&
			r.run(c, commit, "COMMIT I")
	})
}

// TestCopyOfErrorIsNotTakenForNextAnswer: the copy of an error was taken for the answer to a write that
// succeeded, in a failed transaction as well.
func TestCopyOfErrorIsNotTakenForNextAnswer(t *testing.T) {
	eachDelay(t, 80, func(r *repeater, id string) {
		insert := queryRequest("INSERT INTO ledger (id, value) VALUES ('%s', 'x')", id)
		insert.WantStatus = true
		again := preparedRequest("insert", "INSERT INTO ledger VALUES ($1, $2)", id, "x")
		if !r.run(r.open(), insert, "INSERT 0 1 I") {
			return
		}
		r.run(r.open(), again, "23505 I")
		r.run(r.open(), queryRequest("UPDATE ledger SET value = 'y' WHERE id = '%s'", id), "UPDATE 1 I")
		c := r.open()
		_ = r.run(c, queryRequest("BEGIN"), "BEGIN T") && r.run(c, again, "23505 E") &&
			r.run(c, insert, "25P02 E") && r.run(c, queryRequest("ROLLBACK"), "ROLLBACK I")
		r.run(r.open(), queryRequest("SELECT value FROM ledger WHERE id = '%s'", id), `["y"] SELECT 1 I`)
	})
}

// TestCopyOfOwnAnswerIsNotTakenForCallers: the copies of the answers to DISCARD ALL, SET and the Parse of a
// statement were taken for the answers to callers' requests.
func TestCopyOfOwnAnswerIsNotTakenForCallers(t *testing.T) {
	eachDelay(t, 80, func(r *repeater, id string) {
		for at := range 3 {
			q := preparedRequest("echo"+id, "SELECT $1", id)
			q.Settings = []proto.Setting{{Name: "work_mem", Value: fmt.Sprintf("%dMB", at+1)}}
			r.run(r.open(), q, fmt.Sprintf("[%q] SELECT 1 I", id))
			r.run(r.open(), queryRequest("SET work_mem = '1MB'"), "SET I")
		}
	})
}

// TestCopyOfStatusIsNotTakenForNextOne: a poll took the copy of an earlier status, so that a server's position
// was that of a time before the poll was sent.
func TestCopyOfStatusIsNotTakenForNextOne(t *testing.T) {
	for _, delay := range repeatDelays {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			r := newRepeater(t, 44)
			defer r.close()
			r.server.Faults().RepeatDelay.Store(int64(delay))
			writer := newWriter(t, r.server)
			stale, polls, lost := 0, 0, 0
			for n := range 200 {
				writer.insert(fmt.Sprintf("row-%d", n))
				before := r.server.Status()
				if r.random.IntN(5) == 0 {
					r.server.Faults().RepeatedStatus.Store(1)
				}
				r.pause()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				if r.conn == nil {
					r.open()
				}
				// Nothing looks at a control connection between two calls.
				status, err := r.conn.Status(ctx)
				cancel()
				if polls++; err != nil {
					r.close()
					lost++
					continue
				}
				if status.Received < before.Received {
					stale++
				}
				if r.conn.Condition() != proto.Usable {
					lost++
				}
			}
			t.Logf("copies after %v: %d polls, %d lost their connection, %d with a position of before they were sent", delay, polls, lost, stale)
			if stale > 0 || lost > 0 {
				t.Errorf("copies after %v: %d of %d polls told a position of before they were sent, %d lost their connection", delay, stale, polls, lost)
			}
		})
	}
}

// statementWriter writes rows over a connection whose answers are not repeated.
type statementWriter struct {
	t    testing.TB
	conn proto.Conn
}

func newWriter(t testing.TB, s *dbase.Server) *statementWriter {
	t.Helper()
	c, err := (&Driver{Dialer: &net.Dialer{}, User: "u", Password: "p"}).Dial(context.Background(), proto.Target{Server: "s", Address: s.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return &statementWriter{t, c}
}

func (w *statementWriter) insert(id string) {
	w.t.Helper()
	if _, err := w.conn.Run(context.Background(), queryRequest("INSERT INTO ledger (id, value) VALUES ('%s', 'x')", id), discardSink{}); err != nil {
		w.t.Fatal(err)
	}
}
