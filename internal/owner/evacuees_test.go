package owner

import (
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// evacuate replaces the list of evacuated data centres.
func (h *leaverHost) evacuate(centers ...ident.CenterID) {
	h.snapshot = h.snapshot.WithEvacuations(conf.Evacuations{Version: h.snapshot.Evacuations.Version.Next(), Centers: centers})
	h.Reconcile(h.snapshot, h.owners)
}

// TestEvacuatedServersGetNoNewWork guards against work that reaches a server in an evacuated data centre, waits there
// instead of being refused at once, or is still refused after the end of the evacuation.
func TestEvacuatedServersGetNoNewWork(t *testing.T) {
	kinds := []stmt.Kind{stmt.Write, stmt.Begin, stmt.Read}
	h := startLeaverHost(t)
	runs := func(what string) {
		for _, kind := range kinds {
			eventually(t, what, func() bool { return h.run(kind, "c").Outcome == fault.Done })
		}
	}
	runs("the primary runs work")
	h.evacuate("elsewhere")
	runs("the primary runs work while another data centre is evacuated")
	h.evacuate("z")
	for _, kind := range kinds {
		began := clock.Now()
		r := h.run(kind, "c")
		if took := clock.Since(began); r.Outcome != fault.NotSent || r.Reason != fault.Evacuated || r.RetryAfter == 0 || took > 200*time.Millisecond {
			t.Errorf("%s: got %s %s after %v, retry after %v; want not-sent evacuated at once", kind, r.Outcome, r.Reason, took, r.RetryAfter)
		}
	}
	h.evacuate()
	runs("the primary runs work after the evacuation")
}

// TestWaitingWorkIsNotSentToEvacuatedServer guards against a request that waits for a connection while its server is
// evacuated, and is sent there afterwards.
func TestWaitingWorkIsNotSentToEvacuatedServer(t *testing.T) {
	for _, kind := range []stmt.Kind{stmt.Write, stmt.Read} {
		h := startLeaverHost(t)
		eventually(t, "the primary runs work", func() bool { return h.run(kind, "c").Outcome == fault.Done })
		h.driver.setBeforeDial(func(customer ident.CustomerID) {
			if customer == "waiting" {
				h.evacuees.update([]ident.CenterID{"z"})
			}
		})
		if r := h.run(kind, "waiting"); r.Outcome != fault.NotSent || r.Reason != fault.Evacuated {
			t.Errorf("%s: got %s %s, want not-sent evacuated", kind, r.Outcome, r.Reason)
		}
	}
}

// TestTransactionEndsAtEvacuatedServer guards against a transaction that goes on at an evacuated server after the limit,
// or is ended before it.
func TestTransactionEndsAtEvacuatedServer(t *testing.T) {
	d, g, tx := openTransaction(t)
	now := clock.Now()
	g.conf.evacuees.now = func() time.Time { return now }
	g.conf.evacuees.update([]ident.CenterID{g.at("a").Center})
	now = now.Add(evacuatedTransactions - time.Millisecond)
	if r := runKind(g, Work{Kind: stmt.Write, Tx: tx, Request: proto.Request{NeverCommits: true}}); r.Outcome != fault.Done {
		t.Errorf("before the limit: got %s %s, want done", r.Outcome, r.Reason)
	}
	now = now.Add(time.Millisecond)
	if r := runCommit(g, tx); r.Outcome != fault.NotSent || r.Reason != fault.TransactionLost {
		t.Errorf("after the limit: got %s %s, want not-sent transaction-lost", r.Outcome, r.Reason)
	}
	if d.committed || d.closed != 1 || g.Holds(tx) {
		t.Errorf("committed %t, %d transactions closed, want 1", d.committed, d.closed)
	}
}

// TestListOfEvacuationsBetweenReconciliations guards against an evacuation that ends for as long as a reconciliation uses a
// snapshot of before it, and begins anew afterwards, so that open transactions go on for longer; and against one that
// ends before its servers count as cold.
func TestListOfEvacuationsBetweenReconciliations(t *testing.T) {
	h := startLeaverHost(t)
	older := h.snapshot
	h.UpdateEvacuations(conf.Evacuations{Version: ident.VersionOf(1), Centers: []ident.CenterID{"z"}})
	h.Reconcile(older, h.owners)
	if !h.evacuees.has("z") {
		t.Error("an older list has ended the evacuation")
	}
	h.snapshot = older.WithEvacuations(conf.Evacuations{Version: ident.VersionOf(2)})
	h.UpdateEvacuations(h.snapshot.Evacuations)
	if !h.evacuees.has("z") {
		t.Error("the evacuation has ended before the reconciliation")
	}
	if h.Reconcile(h.snapshot, h.owners); h.evacuees.has("z") {
		t.Error("the evacuation has not ended")
	}
}
