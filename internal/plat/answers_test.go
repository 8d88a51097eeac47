package plat

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/objs"
	"geraniumseam.dev/stand/rept"
)

// TestRepeatedAnswerIsNotTakenForAnother guards against a write that counts as done, or an object as missing, by the
// answer to an earlier call: the platform, or what stands before it, gives each answer again.
func TestRepeatedAnswerIsNotTakenForAnother(t *testing.T) {
	p, direct := startPlatform(t)
	target, err := url.Parse(p.URL())
	if err != nil {
		t.Fatal(err)
	}
	repeater, err := rept.New(target.Host)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(repeater.Close)
	c := New(Config{
		URL: "http://" + repeater.Addr(), CallTimeout: 2 * time.Second, Attempts: 1,
		Backoff: retry.Backoff{Initial: time.Millisecond, Max: 10 * time.Millisecond}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		kind := objs.Kind(fmt.Sprint("kind-", round))
		for step := range rapid.IntRange(2, 8).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			spec := json.RawMessage(fmt.Sprintf(`"%s in step %d of round %d"`, name, step, round))
			known, missing := direct.Get(t.Context(), kind, name)
			switch call := rapid.SampledFrom([]string{"get", "list", "put", "delete"}).Draw(t, "call"); call {
			case "get":
				o, err := c.Get(t.Context(), kind, name)
				if HasCause(err, NotFound) != HasCause(missing, NotFound) || string(o.Spec) != string(known.Spec) || o.Version() != known.Version() {
					t.Fatalf("step %d, get %s: %+v, %v; want %+v, %v", step, name, o, err, known, missing)
				}
			case "list":
				list, err := c.List(t.Context(), kind)
				want, _ := direct.List(t.Context(), kind)
				if err != nil || len(list.Items) != len(want.Items) || list.Version() != want.Version() {
					t.Fatalf("step %d, list: %+v, %v; want %+v", step, list, err, want)
				}
			case "put":
				o, err := c.Put(t.Context(), objs.Object{Kind: kind, Metadata: objs.Metadata{Name: name, ResourceVersion: known.Metadata.ResourceVersion}, Spec: spec})
				now, _ := direct.Get(t.Context(), kind, name)
				if err != nil || string(o.Spec) != string(spec) || o.Version() != now.Version() {
					t.Fatalf("step %d, put %s: %+v, %v; the platform has %+v", step, name, o, err, now)
				}
			case "delete":
				err := c.Delete(t.Context(), kind, name, known.Version())
				if _, left := direct.Get(t.Context(), kind, name); err != nil || !HasCause(left, NotFound) {
					t.Fatalf("step %d, delete %s: %v; a read after it: %v", step, name, err, left)
				}
			}
		}
	})
	if repeater.Repeated() == 0 {
		t.Error("no answer was given again")
	}
}

// BenchmarkCall measures calls to the stand-in on loopback.
func BenchmarkCall(b *testing.B) {
	p, c := startPlatform(b)
	if _, err := c.Put(b.Context(), object("a", "", `"text"`)); err != nil {
		b.Fatal(err)
	}
	before := p.Calls().Reads
	for b.Loop() {
		if _, err := c.Get(b.Context(), objs.Groups, "a"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(p.Calls().Reads-before)/float64(b.N), "calls/op")
}
