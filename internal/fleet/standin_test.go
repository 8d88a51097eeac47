package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

// connectToStandIn starts a stand-in server that is empty and connects to it without a proxy; both end with the test.
func connectToStandIn(t *testing.T) (*dbase.Group, *wireCaller) {
	t.Helper()
	g, err := dbase.Start(dbase.Config{Group: "stock", Servers: []ident.ServerID{"a"}, Slots: 1, Connections: 2, User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	conn, err := pgconn.Connect(testContext(t), fmt.Sprintf("postgres://u:p@%s/stock?sslmode=disable", g.Primary().Addr()))
	if err != nil {
		t.Fatal(err)
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { hijacked.Conn.Close() })
	return g, &wireCaller{conn: hijacked.Conn, front: hijacked.Frontend}
}

// TestStandInAnswersAsPostgreSQLDoes plays scripts on a stand-in server without a proxy, each on a new
// connection to an empty server: what procedures, DO blocks, deferred constraints and COPY answer and
// keep.
func TestStandInAnswersAsPostgreSQLDoes(t *testing.T) {
	datadriven.RunTest(t, "testdata/stand-in", func(t *testing.T, d *datadriven.TestData) string {
		g, c := connectToStandIn(t)
		var out strings.Builder
		for line := range strings.SplitSeq(d.Input, "\n") {
			c.front.Send(parseMessage(t, line))
			verb, _, _ := strings.Cut(line, " ")
			asksForData := strings.Contains(line, "FROM STDIN")
			if asksForData || verb != "query" && verb != "sync" && verb != "copy-done" && verb != "copy-fail" {
				continue
			}
			if err := c.front.Flush(); err != nil {
				t.Fatal(err)
			}
			out.WriteString(c.readReply(false))
		}
		fmt.Fprintf(&out, "kept: %q\n", slices.Sorted(maps.Keys(g.Primary().Rows())))
		return out.String()
	})
}

// TestStandInRepeatsAnswers: the copy of an answer is exact and follows it, at once or later.
func TestStandInRepeatsAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, 40 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			g, c := connectToStandIn(t)
			faults := g.Primary().Faults()
			faults.RepeatDelay.Store(int64(delay))
			faults.RepeatedAnswers.Store(1)
			c.front.Send(&pgproto3.Query{String: "INSERT INTO ledger (id, value) VALUES ('row', '1')"})
			if err := c.front.Flush(); err != nil {
				t.Fatal(err)
			}
			answer, answered := c.readReply(false), time.Now()
			repeated := c.readReply(false)
			if took := time.Since(answered); answer != repeated || took < delay/2 {
				t.Errorf("got %q, then %q after %v, want a copy after %v", answer, repeated, took, delay)
			}
			c.front.Send(&pgproto3.Query{String: "SELECT value FROM ledger WHERE id = 'row'"})
			if err := c.front.Flush(); err != nil {
				t.Fatal(err)
			}
			if other := c.readReply(false); other == answer {
				t.Errorf("the next answer is %q again", other)
			}
		})
	}
}
