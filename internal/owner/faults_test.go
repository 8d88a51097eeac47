package owner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// faultyDriver opens connections that report findings while they run a request, and are in a condition after it.
type faultyDriver struct {
	*fakeDriver
	found     []proto.Finding
	condition proto.Condition
}

func (d *faultyDriver) Dial(ctx context.Context, t proto.Target) (proto.Conn, error) {
	c, err := d.fakeDriver.Dial(ctx, t)
	if err != nil || t.Customer == "" {
		return c, err
	}
	return &faultyConn{fakeConn: c.(*fakeConn), driver: d, report: t.Report}, nil
}

type faultyConn struct {
	*fakeConn
	driver    *faultyDriver
	report    func(proto.Finding)
	condition proto.Condition
}

func (c *faultyConn) Run(ctx context.Context, r *proto.Request, sink proto.Sink) (proto.Answer, error) {
	for _, f := range c.driver.found {
		c.report(f)
	}
	c.condition = c.driver.condition
	return c.fakeConn.Run(ctx, r, sink)
}

func (c *faultyConn) Condition() proto.Condition { return c.condition }

// TestConnectionFaultsAreToldApart: connections that were found ended, that had surplus bytes or that reported a
// violation are counted by reason; the latter two are logged with the last request of the connection.
func TestConnectionFaultsAreToldApart(t *testing.T) {
	driver := &faultyDriver{fakeDriver: newDriver()}
	c := testGroupConfig(driver, &claimStore{})
	c.faults = newConnFaults(nil)
	g := startGroupWith(t, c)
	eventually(t, "the primary is known", func() bool { id, _ := g.Primary(); return id == "a" })
	for _, r := range []struct {
		trace     ident.TraceID
		condition proto.Condition
		found     []proto.Finding
	}{
		{trace: "sound"},
		{trace: "ended", condition: proto.Ended},
		{trace: "surplus", condition: proto.Surplus},
		{trace: "misfit", found: []proto.Finding{{Violation: proto.Misfit}}},
		{trace: "cut", found: []proto.Finding{{Violation: proto.Cut}}},
	} {
		driver.condition, driver.found = r.condition, r.found
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		g.Run(ctx, &Work{Trace: r.trace, Customer: "c", Group: "g", Kind: stmt.Write, Limits: Limits{Run: 5 * time.Second, QueueWait: 5 * time.Second}}, &bufferSink{})
		cancel()
	}
	counts := map[string]prometheus.Counter{
		"ended": c.faults.conditions[proto.Ended], "surplus": c.faults.conditions[proto.Surplus],
		"misfit": c.faults.violations[proto.Misfit], "cut": c.faults.violations[proto.Cut],
	}
	for reason, counter := range counts {
		var metric dto.Metric
		if err := counter.Write(&metric); err != nil || metric.GetCounter().GetValue() != 1 {
			t.Errorf("%v connections counted as %s, %v, want 1", metric.GetCounter().GetValue(), reason, err)
		}
	}
	var logged []jrnl.Event
	for _, e := range g.conf.Journal.Since(time.Time{}) {
		if e.Kind == jrnl.SurplusAnswer || e.Kind == jrnl.MalformedAnswer {
			logged = append(logged, jrnl.Event{Kind: e.Kind, Trace: e.Trace, Customer: e.Customer, Group: e.Group, Server: e.Server, Reason: e.Reason})
		}
	}
	want := []jrnl.Event{
		{Kind: jrnl.SurplusAnswer, Trace: "surplus", Customer: "c", Group: "g", Server: "a", Reason: "surplus"},
		{Kind: jrnl.SurplusAnswer, Trace: "misfit", Customer: "c", Group: "g", Server: "a", Reason: "misfit"},
		{Kind: jrnl.MalformedAnswer, Trace: "cut", Customer: "c", Group: "g", Server: "a", Reason: "cut"},
	}
	if !slices.Equal(logged, want) {
		t.Errorf("logged %+v, want %+v", logged, want)
	}
}
