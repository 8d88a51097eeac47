package entry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// scriptedOwners are stand-ins for the instances that own a group. The data centre of each has its name.
type scriptedOwners struct {
	t *testing.T
	// leave takes all owners out of the view.
	leave func()

	mu        sync.Mutex
	addresses map[ident.InstanceID]string
	// ends are how each owner's next requests end; the last one is kept for all that follow.
	ends  map[ident.InstanceID][]string
	asked []string
}

// scriptedOwner is the peer.Handler of one of them.
type scriptedOwner struct {
	*scriptedOwners
	id ident.InstanceID
}

// Work implements peer.Handler.
func (o *scriptedOwner) Work(_ context.Context, _ ident.InstanceID, w *owner.Work, sink proto.Sink) owner.Result {
	o.mu.Lock()
	end := strings.Fields(o.ends[o.id][0])
	o.ends[o.id] = o.ends[o.id][min(1, len(o.ends[o.id])-1):]
	o.asked = append(o.asked, string(o.id))
	if w.Redirected {
		o.asked[len(o.asked)-1] += "(redirected)"
	}
	o.mu.Unlock()
	if slices.Contains(end, "part") {
		_ = sink.Emit([]byte("part"))
	}
	if slices.Contains(end, "leave") {
		o.leave()
	}
	r := owner.Result{Outcome: outcomeOf(o.t, end[0])}
	if len(end) > 1 {
		r.Reason = reasonOf(o.t, end[1])
	}
	if r.Reason == fault.OtherOwnerPreferred {
		r.PreferredCenter = ident.CenterID(end[2])
	}
	if slices.Contains(end, "none-expected") {
		r.PrimaryExpected = time.Hour
	}
	r.Unproven = slices.Contains(end, "cannot-prove")
	return r
}

func outcomeOf(t *testing.T, name string) fault.Outcome {
	for o := fault.Done; o <= fault.NoEffect; o++ {
		if o.String() == name {
			return o
		}
	}
	t.Errorf("unknown outcome %q", name)
	return fault.Unknown
}

func reasonOf(t *testing.T, name string) fault.Reason {
	for _, r := range fault.Reasons() {
		if r.String() == name {
			return r
		}
	}
	t.Errorf("unknown reason %q", name)
	return fault.None
}

// HandleNotification implements peer.Handler.
func (*scriptedOwner) HandleNotification(ident.InstanceID, peer.Message) {}

// HandleQuery implements peer.Handler.
func (*scriptedOwner) HandleQuery(context.Context, ident.InstanceID, peer.Message) peer.Message {
	return nil
}

// Heartbeat implements peer.Handler.
func (*scriptedOwner) Heartbeat(ident.InstanceID) peer.Heartbeat {
	return peer.Heartbeat{Version: ident.VersionOf(1)}
}

// HeartbeatFactor implements peer.Handler.
func (*scriptedOwner) HeartbeatFactor(ident.InstanceID) time.Duration { return 1 }

// Disconnected implements peer.Handler.
func (*scriptedOwner) Disconnected(ident.InstanceID) {}

// WantsLink implements peer.Handler.
func (*scriptedOwner) WantsLink(ident.InstanceID) bool { return true }

// Retired implements peer.Handler.
func (*scriptedOwner) Retired(ident.InstanceID) {}

// AddressOf implements peer.Handler.
func (o *scriptedOwner) AddressOf(id ident.InstanceID) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	address, ok := o.addresses[id]
	return address, ok
}

// startHub starts the hub of an instance.
func (o *scriptedOwners) startHub(id ident.InstanceID, journal *jrnl.Journal) *peer.Hub {
	o.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		o.t.Fatal(err)
	}
	o.mu.Lock()
	o.addresses[id] = l.Addr().String()
	o.mu.Unlock()
	h := peer.NewHub(peer.Config{
		Self: id, Center: ident.CenterID(id), Secret: "secret", Dialer: &net.Dialer{}, Heartbeat: 20 * time.Millisecond, Timeout: 10 * time.Second,
		Handler: &scriptedOwner{o, id}, Journal: journal,
	}, l)
	h.Serve()
	o.t.Cleanup(h.Close)
	return h
}

// anySink is a proto.Sink that drops the answer.
type anySink struct{}

// Emit implements proto.Sink.
func (anySink) Emit([]byte) error { return nil }

// dispatchDeadline ends a request that no owner is left for.
const dispatchDeadline = 200 * time.Millisecond

// TestOutcomeOfEarlierOwnerIsKept plays testdata/dispatch: requests that are tried at several owners,
// and how they end at each. What may have run at one of them is not reported as not run, whatever the
// next one says, and is not run again if it may write.
func TestOutcomeOfEarlierOwnerIsKept(t *testing.T) { playDispatch(t, "testdata/dispatch", "a", "b") }

// TestUnprovenWorkIsMoved plays testdata/moves: an owner that can't prove its group's term refuses work. It guards
// against work that is moved after it may have been sent, or to an owner twice, against a move that ends at the first
// owner that fails too, and against a proven owner that is not preferred.
func TestUnprovenWorkIsMoved(t *testing.T) { playDispatch(t, "testdata/moves", "a", "b", "c") }

// TestUnprovenGroupMovesNoWork guards against requests that are each run at all owners while none can prove the term.
func TestUnprovenGroupMovesNoWork(t *testing.T) {
	ids := []ident.InstanceID{"a", "b", "c", "d", "e", "f"}
	s, owners := chargedSession(t, ids...)
	owners.ends = map[ident.InstanceID][]string{}
	for _, id := range ids {
		owners.ends[id] = []string{"not-sent no-primary cannot-prove"}
	}
	const requests = 20
	began := time.Now()
	for range requests {
		if r, _ := s.instance.dispatch(t.Context(), &conf.Snapshot{}, &owner.Work{Kind: stmt.Write, Group: "g"}, anySink{}); !r.Unproven {
			t.Fatalf("%s %s, want unproven", r.Outcome, r.Reason)
		}
	}
	// All owners are asked again every 100 ms.
	rounds := 1 + int(time.Since(began)/(100*time.Millisecond))
	if runs, most := len(owners.asked), requests+rounds*len(ids); runs > most {
		t.Errorf("%d requests were run %d times in %v, want at most %d times", requests, runs, time.Since(began), most)
	}
	time.Sleep(100 * time.Millisecond)
	owners.ends["b"] = []string{"done"}
	if r, id := s.instance.dispatch(t.Context(), &conf.Snapshot{}, &owner.Work{Kind: stmt.Write, Group: "g"}, anySink{}); r.Outcome != fault.Done || id != "b" {
		t.Errorf("after 100 ms: %s %s of %q, want done of b", r.Outcome, r.Reason, id)
	}
}

// playDispatch plays the requests in a file at some owners, the nearest first. A request with the argument again
// begins with what the instance has learnt from the one before.
func playDispatch(t *testing.T, file string, ids ...ident.InstanceID) {
	t.Helper()
	journal := jrnl.New(jrnl.Config{Instance: "self", Capacity: 100, Now: time.Now})
	owners := &scriptedOwners{t: t, addresses: map[ident.InstanceID]string{}}
	i := &Instance{conf: Config{Instance: "self"}, journal: journal, hub: owners.startHub("self", journal), metrics: newMetrics(nil)}
	i.members = newMembers(i)
	present := &fleetView{all: map[ident.InstanceID]membr.Member{}, reachable: map[ident.InstanceID]bool{}}
	for _, id := range ids {
		owners.startHub(id, journal)
		present.all[id], present.reachable[id] = membr.Member{ID: id, Center: ident.CenterID(id)}, true
	}
	present.owners.Store(ident.GroupID("g"), ids)
	owners.leave = func() { i.members.current.Store(&fleetView{}) }
	datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
		i.members.current.Store(present)
		if !d.HasArg("again") {
			i.provenOwners.Clear()
			i.unprovenGroups.Clear()
		}
		owners.ends, owners.asked = map[ident.InstanceID][]string{}, nil
		for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
			id, ends, _ := strings.Cut(line, ": ")
			owners.ends[ident.InstanceID(id)] = strings.Split(ends, ", ")
		}
		kinds := map[string]stmt.Kind{stmt.Read.String(): stmt.Read, stmt.Write.String(): stmt.Write}
		kind, known := kinds[d.Cmd]
		if !known {
			t.Fatalf("unknown kind %s", d.Cmd)
		}
		ctx, cancel := context.WithTimeout(context.Background(), dispatchDeadline)
		defer cancel()
		r, id := i.dispatch(ctx, &conf.Snapshot{}, &owner.Work{Kind: kind, Group: "g"}, anySink{})
		if d.HasArg("evidence") {
			return fmt.Sprintf("%s %s\nresult of %q, evidence %q\n", r.Outcome, r.Reason, id, r.Evidence)
		}
		return fmt.Sprintf("%s %s\nresult of %q, asked %s\n", r.Outcome, r.Reason, id, strings.Join(owners.asked, " "))
	})
}
