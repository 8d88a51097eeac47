package owner

import (
	"cmp"
	"fmt"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/stmt"
)

// lostAnswers counts, by the kind of the statement and the stage that it had reached, the
// requests whose server connection failed.
type lostAnswers [int(stmt.Refused) + 1][int(proto.Answering) + 1]prometheus.Counter

func newLostAnswers(r prometheus.Registerer) *lostAnswers {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "geraniumseam_lost_answers_total", Help: "Requests whose server connection failed, by kind of statement and by the stage that they had reached.",
	}, []string{"kind", "stage"})
	counters := &lostAnswers{}
	for k := range counters {
		for s := range counters[k] {
			counters[k][s] = vec.WithLabelValues(stmt.Kind(k).String(), proto.Stage(s).String())
		}
	}
	if r != nil {
		r.MustRegister(vec)
	}
	return counters
}

// recordLost counts and logs a request whose server connection failed; r is the
// result that this instance reports for it. Outside a transaction, a request of which nothing was
// sent has lost nothing.
func (g *Group) recordLost(w *Work, s *server, c *pooledConn, err error, r Result) {
	stage := proto.Sent
	var failed *proto.RunError
	if errors.As(err, &failed) {
		stage = failed.Stage
	}
	if stage == proto.Unsent && w.Tx == 0 {
		return
	}
	if g.conf.lost != nil {
		g.conf.lost[min(w.Kind, stmt.Refused)][stage].Inc()
	}
	kind := w.Kind.String()
	if w.Request.TxOpening != proto.OpenNone {
		kind += " with its first statement"
	}
	place := "outside a transaction"
	if w.Tx != 0 {
		place = fmt.Sprintf("in transaction %x of status %c", uint64(w.Tx), cmp.Or(c.txStatus, 'I'))
	}
	g.conf.Journal.Add(jrnl.Event{
		Kind: jrnl.AnswerLost, Trace: w.Trace, Customer: w.Customer, Group: w.Group, Server: s.ID, Reason: r.Reason.String(), Outcome: r.Outcome.String(),
		Evidence: fmt.Sprintf("%s %s, connection pinned: %t, request stage %s, never commits: %t, writes nothing: %t; %v",
			kind, place, w.Pin, stage, w.Request.NeverCommits, w.Request.WritesNothing, err),
	})
}
