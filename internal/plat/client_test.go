package plat

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/platf"
)

func startPlatform(t testing.TB) (*platf.Platform, *Client) {
	t.Helper()
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p, New(Config{
		URL: p.URL(), CallTimeout: 2 * time.Second, Attempts: 3,
		Backoff: retry.Backoff{Initial: time.Millisecond, Max: 10 * time.Millisecond}, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func object(name, version, spec string) objs.Object {
	return objs.Object{Kind: objs.Groups, Metadata: objs.Metadata{Name: name, ResourceVersion: version}, Spec: json.RawMessage(spec)}
}

// TestPutSucceedsAfterLostResponse loses the response to a write that took effect: its retry
// must not fail with a conflict.
func TestPutSucceedsAfterLostResponse(t *testing.T) {
	p, c := startPlatform(t)
	p.Faults().LoseAnswers.Store(1)
	stored, err := c.Put(context.Background(), object("a", "", `{"term":2}`))
	if err != nil || stored.Version().IsZero() {
		t.Fatalf("got %+v, %v; want the stored object with its version", stored, err)
	}
	if calls := p.Calls(); calls.Writes != 2 {
		t.Fatalf("%d writes, want 2: the first attempt and its retry", calls.Writes)
	}
}

func TestConcurrentPutsConflict(t *testing.T) {
	_, c := startPlatform(t)
	first, err := c.Put(context.Background(), object("a", "", `{"by":"first"}`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Put(context.Background(), object("a", "", `{"by":"second"}`))
	if !HasCause(err, Conflict) {
		t.Fatalf("got %v, want Conflict", err)
	}
	if _, err := c.Put(context.Background(), object("a", first.Metadata.ResourceVersion, `{"by":"third"}`)); err != nil {
		t.Fatal(err)
	}
}

func TestOutageIsUnreachable(t *testing.T) {
	p, c := startPlatform(t)
	p.Faults().Outage.Store(true)
	if _, err := c.Get(context.Background(), objs.Groups, "a"); !HasCause(err, Unreachable) {
		t.Fatalf("during the outage: got %v, want Unreachable", err)
	}
	p.Faults().Outage.Store(false)
	if _, err := c.Get(context.Background(), objs.Groups, "a"); !HasCause(err, NotFound) {
		t.Fatalf("after the outage: got %v, want NotFound", err)
	}
}

func TestWatchDeliversAllChanges(t *testing.T) {
	_, c := startPlatform(t)
	for _, name := range []string{"a", "b", "c"} {
		if _, err := c.Put(context.Background(), object(name, "", `{}`)); err != nil {
			t.Fatal(err)
		}
	}
	var names []string
	after, err := c.Watch(context.Background(), objs.Groups, ident.VersionOf(1), 200*time.Millisecond, func(e objs.Event) { names = append(names, e.Object.Metadata.Name) })
	if err != nil || after.Before(ident.VersionOf(3)) || len(names) != 2 {
		t.Fatalf("got events for %v up to version %d, error %v; want b and c", names, after, err)
	}
}
