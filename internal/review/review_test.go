package review

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/pkg/ident"
)

// failoverEvents returns the unsorted events of a failover that two instances recorded,
// with the requests it affected.
func failoverEvents() []jrnl.Event {
	at := func(millis int) time.Time {
		return time.UnixMilli(1_796_000_000_000).Add(time.Duration(millis) * time.Millisecond)
	}
	incident := "stock-term-2"
	return []jrnl.Event{
		{At: at(520), Instance: "north-1", Sequence: 4, Kind: jrnl.ServerPromoted, Incident: incident, Group: "stock", Server: "stock-2", Term: 2, Evidence: "it had the most advanced log of a sealed majority"},
		{At: at(400), Instance: "north-1", Sequence: 2, Kind: jrnl.PrimarySuspected, Incident: incident, Group: "stock", Server: "stock-1", Term: 1, Evidence: "no answer for 400ms"},
		{At: at(405), Instance: "south-1", Sequence: 7, Kind: jrnl.PrimarySuspected, Incident: incident, Group: "stock", Server: "stock-1", Term: 1, Evidence: "no answer for 405ms"},
		{At: at(480), Instance: "north-1", Sequence: 3, Kind: jrnl.MajoritySealed, Incident: incident, Group: "stock", Server: "stock-2", Term: 2, Evidence: "2 servers sealed"},
		{At: at(450), Instance: "south-1", Sequence: 8, Kind: jrnl.OutcomeUnknown, Customer: "dealer", Group: "stock", Reason: "answer-lost", Trace: "south-1-x-1"},
		{At: at(460), Instance: "south-1", Sequence: 9, Kind: jrnl.Refused, Customer: "dealer", Group: "stock", Reason: "no-primary", Trace: "south-1-x-2"},
		{At: at(470), Instance: "south-1", Sequence: 10, Kind: jrnl.Refused, Customer: "dealer", Group: "stock", Reason: "no-primary", Trace: "south-1-x-3"},
		{At: at(0), Instance: "south-1", Sequence: 1, Kind: jrnl.ConfigInForce, Version: ident.VersionOf(12), Evidence: "learnt from the platform"},
	}
}

func TestText(t *testing.T) {
	var out bytes.Buffer
	Summarize(failoverEvents(), []ident.InstanceID{"central-1"}, "").WriteText(&out)
	goldie.New(t).Assert(t, "failover", out.Bytes())
}

func TestTrace(t *testing.T) {
	var out bytes.Buffer
	Summarize(failoverEvents(), nil, "south-1-x-1").WriteText(&out)
	goldie.New(t).Assert(t, "trace", out.Bytes())
}

// TestChain checks the chains of two requests, from log lines that instances wrote: one refused in
// a simulated deployment (hlm-stock scale-2), and a COMMIT whose answer was lost between a server
// and the owner, which is not the instance that answered.
func TestChain(t *testing.T) {
	for _, test := range []struct {
		log, golden string
		trace       ident.TraceID
	}{{"failed.log", "chain", "59e5e738beaa6f23"}, {"lost.log", "lost", "lost-1-commit"}} {
		log, err := os.Open("testdata/" + test.log)
		if err != nil {
			t.Fatal(err)
		}
		defer log.Close()
		events, err := ParseLogs(log)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		for _, e := range Chain(events, test.trace) {
			fmt.Fprintf(&out, "%s %s %s %s\n", e.At.UTC().Format(timeLayout), e.Instance, e.Reason, Describe(e))
		}
		goldie.New(t).Assert(t, test.golden, out.Bytes())
		if Chain(events, "nobody") != nil {
			t.Error("Chain returned events for a trace that is not in the log")
		}
	}
}
