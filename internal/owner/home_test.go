package owner

import (
	"context"
	"testing"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// TestWorkStaysInHomeRegions guards against work that runs outside its home regions, or waits where no server may run it.
func TestWorkStaysInHomeRegions(t *testing.T) {
	h := startLeaverHost(t)
	g := groupOf("a", "b", "c")
	for at, center := range []ident.CenterID{"z", "y", "x"} {
		g.Servers[at].Center = center
	}
	h.conf.Regions = map[ident.CenterID]string{"z": "north", "y": "south"}
	h.Stop()
	h.snapshot.Groups["g"] = g
	h.Reconcile(h.snapshot, h.owners)
	run := func(kind stmt.Kind, reads conf.Consistency, regions ...string) (Result, time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		w := &Work{
			Group: "g", Kind: kind, ReadConsistency: reads, FloorKnown: true, Customer: "c", Limits: Limits{Run: time.Second, QueueWait: time.Second, AckWait: time.Second},
			Request: proto.Request{TxOpening: proto.OpenReadWrite}, Home: conf.HomeRegions{}.And(regions), Redirected: true,
		}
		began := clock.Now()
		return h.Run(ctx, w, &bufferSink{}), clock.Since(began)
	}
	eventually(t, "the primary runs work", func() bool { r, _ := run(stmt.Write, conf.LatestReads); return r.Outcome == fault.Done })
	for _, c := range []struct {
		kind   stmt.Kind
		reads  conf.Consistency
		region string
		server ident.ServerID
		reason fault.Reason
	}{
		{stmt.Write, conf.LatestReads, "north", "", fault.None},
		{stmt.Write, conf.LatestReads, "south", "", fault.NoHomeServer},
		{stmt.Read, conf.LatestReads, "south", "", fault.NoHomeServer},
		{stmt.Read, conf.SessionReads, "north", "a", fault.None},
		{stmt.Read, conf.SessionReads, "south", "b", fault.None},
		{stmt.Read, conf.SessionReads, "x", "c", fault.None},
		{stmt.Read, conf.SessionReads, "west", "", fault.NoHomeServer},
	} {
		eventually(t, "the work is run at its server, or refused at once", func() bool {
			r, took := run(c.kind, c.reads, c.region)
			return r.Reason == c.reason && (c.server == "" || r.LastRead.Server == c.server) && (r.Outcome == fault.Done) == (c.reason == fault.None) && took < 200*time.Millisecond
		})
		if r, _ := run(c.kind, c.reads, c.region); r.Reason != c.reason || c.server != "" && r.LastRead.Server != c.server {
			t.Errorf("%s in %s: got %s %s at %q, want %s at %q", c.kind, c.region, r.Outcome, r.Reason, r.LastRead.Server, c.reason, c.server)
		}
	}
}
