package owner

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"

	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// scriptedDriver connects to fake servers that end requests as a script says.
type scriptedDriver struct {
	*fakeDriver
	mu sync.Mutex
	// ends are how the next attempts end; the last one is kept for all that follow.
	ends []string
}

func (d *scriptedDriver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	c, err := d.fakeDriver.Dial(ctx, t)
	if err != nil {
		return nil, err
	}
	return &scriptedConn{fakeConn: c.(*fakeConn), driver: d}, nil
}

func (d *scriptedDriver) setEnds(ends []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = ends
}

func (d *scriptedDriver) nextEnd() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.ends[0]
	d.ends = d.ends[min(1, len(d.ends)-1):]
	return next
}

type scriptedConn struct {
	*fakeConn
	driver *scriptedDriver
}

var lossStages = map[string]proto.Stage{"unsent": proto.Unsent, "sent": proto.Sent, "answering": proto.Answering}

var scriptedRefusals = map[string]proto.Refusal{
	"done": proto.Accepted, "refused-read-only": proto.ReadOnly, "refused-busy": proto.Busy, "failed": proto.ServerError,
}

func (c *scriptedConn) Run(ctx context.Context, _ *proto.Request, sink proto.Sink) (proto.Answer, error) {
	what, rest, _ := strings.Cut(c.driver.nextEnd(), " ")
	rest, late := strings.CutSuffix(rest, " late")
	if before, long := strings.CutSuffix(rest, "long"); long {
		rest = strings.TrimSpace(before)
		_ = sink.Emit(make([]byte, delayedSize+1))
	}
	if late {
		<-ctx.Done()
	}
	if stage, lost := lossStages[what]; lost {
		c.Close()
		return proto.Answer{}, &proto.RunError{Server: c.server, Stage: stage}
	}
	status, rest, _ := strings.Cut(rest, " ")
	a := proto.Answer{TxStatus: status[0], Refusal: scriptedRefusals[what], Completed: rest == "completed", HasStatus: true}
	if what != "done" {
		a.ErrorCode = what
	}
	return a, sink.Emit([]byte(what))
}

// brokenSink is the Sink of a caller that is gone.
type brokenSink struct{}

func (brokenSink) Emit([]byte) error { return errors.New("the caller is gone") }

// scriptedWork returns the work that a line of the script describes, and its sink.
func scriptedWork(words []string) (Work, proto.Sink) {
	has := func(word string) bool { return slices.Contains(words, word) }
	w := Work{
		Customer: "c", Group: "g", ReadConsistency: conf.LatestReads, Pin: has("pinned"), ReadOnly: has("read-only"),
		Request: proto.Request{NeverCommits: has("never-commits"), WritesNothing: has("writes-nothing")},
		Limits:  Limits{Run: scriptedDeadline, QueueWait: scriptedDeadline},
	}
	if has("replica") {
		w.ReadConsistency, w.FloorKnown, w.Limits.PrimaryCost = conf.SessionReads, true, time.Second
	}
	for k := stmt.Empty; k <= stmt.Refused; k++ {
		if k.String() == words[0] {
			w.Kind = k
		}
	}
	if has("undeliverable") {
		return w, brokenSink{}
	}
	return w, &bufferSink{}
}

// scriptedDeadline ends a request whose every attempt is refused.
const scriptedDeadline = 150 * time.Millisecond

// scriptedEarnings is how many requests pay for two retries.
const scriptedEarnings = 20

// TestOnlyProvenRequestsAreReportedAsNotRun plays the sessions in testdata/promises: each line is a
// request, with what its dialect says of it, and how its attempts end at the server. The outcome is
// one of not-run only if the session so far proves it. No request that ends without a transaction
// leaves one behind, and no connection that has one open or is lost goes back to its pool.
func TestOnlyProvenRequestsAreReportedAsNotRun(t *testing.T) {
	d := &scriptedDriver{fakeDriver: newDriver()}
	g := startGroup(t, d, &claimStore{})
	eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == ident.ServerID("a") })
	datadriven.RunTest(t, "testdata/promises", func(_ *testing.T, script *datadriven.TestData) string {
		var out strings.Builder
		var tx TxID
		for line := range strings.SplitSeq(script.Input, "\n") {
			request, ends, _ := strings.Cut(line, ": ")
			d.setEnds(strings.Split(ends, ", "))
			w, sink := scriptedWork(strings.Fields(request))
			w.Tx = tx
			for range scriptedEarnings {
				g.conf.Budget.Earn()
			}
			ctx, cancel := context.WithTimeout(context.Background(), scriptedDeadline)
			r := g.Run(ctx, &w, sink)
			cancel()
			_, undeliverable := sink.(brokenSink)
			if ended := r.Tx == 0 && (tx == 0 || !undeliverable); ended && !g.Idle() {
				t.Errorf("%s: line %q leaves a transaction behind", script.Pos, line)
			}
			fmt.Fprint(&out, r.Outcome)
			if passed, ok := sink.(*bufferSink); ok && len(passed.bytes) > delayedSize {
				fmt.Fprintf(&out, ", passed on up to %q", bytes.Trim(passed.bytes, "\x00"))
			}
			out.WriteString("\n")
			if tx = r.Tx; undeliverable && w.Tx != 0 {
				g.End(w.Tx)
			}
		}
		g.End(tx)
		checkPools(t, g, script.Pos)
		return out.String()
	})
}

func checkPools(t *testing.T, g *Group, position string) {
	t.Helper()
	for _, s := range g.allServers() {
		s.pool.mu.Lock()
		for _, c := range s.pool.idle {
			if c.inOpenTx() || c.Condition() != proto.Usable {
				t.Errorf("%s: a connection of status %c, condition %s, is in the pool of server %s", position, c.txStatus, c.Condition(), s.ID)
			}
		}
		s.pool.mu.Unlock()
	}
}
