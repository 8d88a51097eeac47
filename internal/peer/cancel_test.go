package peer

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/stmt"
)

// TestCommittedRequestIsNotReportedAsNotRunWhenCancelled cancels requests that open a pinned
// connection at a peer after their statements were committed there. None of them may be reported as
// not run; the connection, of which this end does not learn, has to be given up.
func TestCommittedRequestIsNotReportedAsNotRunWhenCancelled(t *testing.T) {
	for name, status := range map[string]byte{"outside a transaction": 'I', "in a later transaction": 'T', "in a later, failed one": 'E'} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestInstance(t, "a", nil), newTestInstance(t, "b", nil)
			a.addresses["b"] = b.address
			b.work = func(ctx context.Context, _ *owner.Work, sink proto.Sink) owner.Result {
				<-ctx.Done()
				_ = sink.Emit([]byte("committed"))
				return owner.Result{Outcome: fault.Done, Tx: 7, TxStatus: status}
			}
			if err := a.hub.Connect(testContext(t), "b"); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
			defer cancel()
			r := a.hub.Run(ctx, "b", &owner.Work{Pin: true, Kind: stmt.Pin}, &countingSink{})
			if r.Outcome.NotRun() {
				t.Errorf("a committed request was reported as %s: %s", r.Outcome, r.Reason)
			}
			if r.Tx == 0 {
				waitFor(t, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return len(b.rolledBack) == 1 && b.rolledBack[0] == 7 })
			}
		})
	}
}

// TestRequestWhoseLinkEndsHasUnknownOutcome ends the link while a request runs at the peer, which
// may have committed it: it must not be reported as not run.
func TestRequestWhoseLinkEndsHasUnknownOutcome(t *testing.T) {
	a, b := newTestInstance(t, "a", nil), newTestInstance(t, "b", nil)
	a.addresses["b"] = b.address
	b.work = func(ctx context.Context, _ *owner.Work, _ proto.Sink) owner.Result {
		go b.hub.Close()
		<-ctx.Done()
		return owner.Result{Outcome: fault.Done}
	}
	if err := a.hub.Connect(testContext(t), "b"); err != nil {
		t.Fatal(err)
	}
	if r := a.hub.Run(testContext(t), "b", &owner.Work{Kind: stmt.Write}, &countingSink{}); !r.Outcome.Unknown() {
		t.Errorf("got %s, want an unknown outcome", r.Outcome)
	}
}
