package plat

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/internal/rule/retry"
	"geraniumseam.dev/pkg/ident"
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

// TestAnswerThatCannotBeUsedIsUnreachable guards against a write that counts as refused or done, and a list or an event that
// counts, by an answer that was cut short, is of another call or points elsewhere.
func TestAnswerThatCannotBeUsedIsUnreachable(t *testing.T) {
	const (
		good  = `{"kind":"groups","metadata":{"name":"a","resourceVersion":"8"},"spec":1}`
		older = `{"kind":"groups","metadata":{"name":"a","resourceVersion":"6"},"spec":1}`
		other = `{"kind":"groups","metadata":{"name":"b","resourceVersion":"8"},"spec":1}`
		kind  = `{"kind":"secrets","metadata":{"name":"a","resourceVersion":"8"},"spec":1}`
		mark  = `{"type":"BOOKMARK","object":{"kind":"groups","metadata":{"name":"","resourceVersion":"9"}}}`
	)
	var elsewhere atomic.Int64
	trap := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		elsewhere.Add(1)
		_, _ = w.Write([]byte(good))
	}))
	defer trap.Close()
	for _, test := range []struct {
		call, status, body, want string
	}{
		{"put", "200 OK", good, "8"},
		{"put", "200 OK", good[:len(good)-1], "unreachable"},
		{"put", "200 OK", good + good, "unreachable"},
		{"put", "200 OK", other, "unreachable"},
		{"put", "200 OK", kind, "unreachable"},
		{"put", "200 OK", older, "unreachable"},
		{"put", "200 OK", "{}", "unreachable"},
		{"put", "200 OK", "null", "unreachable"},
		{"put", "202 Accepted", good, "unreachable"},
		{"put", "101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade", "", "unreachable"},
		{"put", "307 Temporary Redirect\r\nLocation: " + trap.URL, "", "unreachable"},
		{"put", "409 Conflict", good, "conflict"},
		{"put", "409 Conflict", `{"kind":"","metadata":{"name":""},"spec":null}`, "conflict"},
		{"put", "409 Conflict", other, "unreachable"},
		{"put", "409 Conflict", good[:20], "unreachable"},
		{"put", "400 Bad Request", "", "refused"},
		{"get", "200 OK", other, "unreachable"},
		{"get", "200 OK", "{}", "unreachable"},
		{"get", "301 Moved Permanently\r\nLocation: " + trap.URL, "", "unreachable"},
		{"list", "200 OK", `{"metadata":{"resourceVersion":"8"},"items":[` + good + `]}`, "8"},
		{"list", "200 OK", `{"metadata":{"resourceVersion":"8"},"items":[` + kind + `]}`, "unreachable"},
		{"list", "200 OK", good, "unreachable"},
		{"delete", "200 OK", good, ""},
		{"delete", "202 Accepted", "", "unreachable"},
		{"watch", "200 OK", mark, "9"},
		{"watch", "200 OK", `{"type":"MODIFIED","object":` + good + `}` + mark, "8 9"},
		{"watch", "200 OK", `{"type":"MODIFIED","object":` + kind + `}` + mark, "unreachable"},
		{"watch", "200 OK", `{"type":"MODIFIED","object":` + good + `}`, "8 unreachable"},
		{"watch", "200 OK", good, "unreachable"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n\r\n%s", test.status, test.body)
				conn.Close()
			}
		}()
		c := New(Config{URL: "http://" + l.Addr().String(), CallTimeout: 2 * time.Second, Attempts: 1, Random: rand.New(rand.NewPCG(1, 1))})
		var got []string
		switch test.call {
		case "put":
			var o objs.Object
			if o, err = c.Put(t.Context(), object("a", "7", "1")); err == nil {
				got = append(got, o.Version().String())
			}
		case "get":
			_, err = c.Get(t.Context(), objs.Groups, "a")
		case "list":
			var list objs.List
			if list, err = c.List(t.Context(), objs.Groups); err == nil {
				got = append(got, list.Version().String())
			}
		case "delete":
			err = c.Delete(t.Context(), objs.Groups, "a", ident.VersionOf(7))
		case "watch":
			var after ident.Version
			after, err = c.Watch(t.Context(), objs.Groups, ident.VersionOf(7), time.Second, func(e objs.Event) { got = append(got, e.Object.Version().String()) })
			if err == nil {
				got = append(got, after.String())
			}
		}
		var failed *Error
		if errors.As(err, &failed) {
			got = append(got, failed.Cause.String())
		}
		if strings.Join(got, " ") != test.want {
			t.Errorf("%s answered with %q %q: %q, want %q", test.call, test.status, test.body, got, test.want)
		}
		l.Close()
	}
	if elsewhere.Load() > 0 {
		t.Errorf("%d calls were made where an answer pointed to", elsewhere.Load())
	}
}
