package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgconn"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/dbase"
)

// TestStandInAnswersAsPostgreSQLDoes plays scripts on a stand-in server without a proxy, each on a new
// connection to an empty server: what procedures, DO blocks, deferred constraints and COPY answer and
// keep.
func TestStandInAnswersAsPostgreSQLDoes(t *testing.T) {
	datadriven.RunTest(t, "testdata/stand-in", func(t *testing.T, d *datadriven.TestData) string {
		g, err := dbase.Start(dbase.Config{Group: "stock", Servers: []ident.ServerID{"a"}, Slots: 1, Connections: 2, User: "u", Password: "p"})
		if err != nil {
			t.Fatal(err)
		}
		defer g.Stop()
		conn, err := pgconn.Connect(testContext(t), fmt.Sprintf("postgres://u:p@%s/stock?sslmode=disable", g.Primary().Addr()))
		if err != nil {
			t.Fatal(err)
		}
		hijacked, err := conn.Hijack()
		if err != nil {
			t.Fatal(err)
		}
		defer hijacked.Conn.Close()
		c := &wireCaller{conn: hijacked.Conn, front: hijacked.Frontend}
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
