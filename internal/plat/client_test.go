package plat

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/platf"
)

func start(t *testing.T) (*platf.Platform, *Client) {
	t.Helper()
	p, err := platf.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p, New(Config{
		URL: p.URL(), CallTime: 2 * time.Second, WatchTime: 200 * time.Millisecond, Attempts: 3,
		Backoff: retry.Backoff{First: time.Millisecond, Most: 10 * time.Millisecond}, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func object(name, version, spec string) objs.Object {
	return objs.Object{Kind: objs.Groups, Metadata: objs.Metadata{Name: name, ResourceVersion: version}, Spec: json.RawMessage(spec)}
}

// TestLostAnswerIsOwnSuccess loses the answer of a write that took effect.
func TestLostAnswerIsOwnSuccess(t *testing.T) {
	p, c := start(t)
	p.Faults().LoseAnswers.Store(1)
	kept, err := c.Put(context.Background(), object("a", "", `{"term":2}`))
	if err != nil || kept.Version() == 0 {
		t.Fatalf("got %+v, %v", kept, err)
	}
	if calls := p.Calls(); calls.Writes != 2 {
		t.Fatalf("%d writes, want the lost one and its retry", calls.Writes)
	}
}

func TestRacingWritersOneLoses(t *testing.T) {
	_, c := start(t)
	first, err := c.Put(context.Background(), object("a", "", `{"by":"first"}`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Put(context.Background(), object("a", "", `{"by":"second"}`))
	if !Is(err, Conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if _, err := c.Put(context.Background(), object("a", first.Metadata.ResourceVersion, `{"by":"third"}`)); err != nil {
		t.Fatal(err)
	}
}

func TestOutageIsUnreachable(t *testing.T) {
	p, c := start(t)
	p.Faults().Outage.Store(true)
	if _, err := c.Get(context.Background(), objs.Groups, "a"); !Is(err, Unreachable) {
		t.Fatalf("got %v", err)
	}
	p.Faults().Outage.Store(false)
	if _, err := c.Get(context.Background(), objs.Groups, "a"); !Is(err, NotFound) {
		t.Fatalf("got %v", err)
	}
}

func TestWatchMissesNothing(t *testing.T) {
	_, c := start(t)
	for _, name := range []string{"a", "b", "c"} {
		if _, err := c.Put(context.Background(), object(name, "", `{}`)); err != nil {
			t.Fatal(err)
		}
	}
	var names []string
	after, err := c.Watch(context.Background(), objs.Groups, 1, func(e objs.Event) { names = append(names, e.Object.Metadata.Name) })
	if err != nil || after < 3 || len(names) != 2 {
		t.Fatalf("saw %v up to %d, %v", names, after, err)
	}
}
