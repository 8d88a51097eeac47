package peer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// rawPeer is the other end of a link, which sends what frames a test wants.
type rawPeer struct {
	t      testing.TB
	socket *websocket.Conn
	// mute is set to send no more heartbeats.
	mute atomic.Bool
	// received are the frames that have arrived and were not taken.
	received []frame
}

// dialRaw opens a link to an instance under a name.
func dialRaw(t testing.TB, to *testInstance, name ident.InstanceID) *rawPeer {
	t.Helper()
	return dialRawAs(t, to, name, maxProtocol)
}

// dialRawAs is dialRaw for a peer that supports protocol versions up to the given one.
func dialRawAs(t testing.TB, to *testInstance, name ident.InstanceID, protocol int) *rawPeer {
	t.Helper()
	header := http.Header{}
	header.Set(secretHeader, "secret")
	header.Set(instanceHeader, string(name))
	socket, _, err := websocket.Dial(t.Context(), "ws://"+to.address+linkPath, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		t.Fatal(err)
	}
	p := &rawPeer{t: t, socket: socket}
	t.Cleanup(func() { _ = socket.CloseNow() })
	p.greet(name, protocol)
	return p
}

// acceptRaw has an instance open a link, whose other end the returned peer is, under the name "b".
func acceptRaw(t testing.TB, from *testInstance) *rawPeer {
	t.Helper()
	accepted := make(chan *rawPeer, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		p := &rawPeer{t: t, socket: socket}
		p.greet("b", maxProtocol)
		accepted <- p
	}))
	t.Cleanup(server.Close)
	from.mu.Lock()
	from.addresses["b"] = strings.TrimPrefix(server.URL, "http://")
	from.mu.Unlock()
	if err := from.hub.Connect(t.Context(), "b"); err != nil {
		t.Fatal(err)
	}
	p := <-accepted
	t.Cleanup(func() { _ = p.socket.CloseNow() })
	return p
}

func (p *rawPeer) greet(name ident.InstanceID, protocol int) {
	p.send(p.frame(kindHello, 0, Hello{MinProtocol: minProtocol, MaxProtocol: protocol, Instance: name}))
	if f := p.next(); f.Kind != kindHello {
		p.t.Errorf("first frame is of kind %d, want a hello", f.Kind)
	}
	go func() {
		for beat := p.frame(kindHeartbeat, 0, Heartbeat{}); !p.mute.Load(); time.Sleep(100 * time.Millisecond) {
			if p.socket.Write(context.Background(), websocket.MessageBinary, beat) != nil {
				return
			}
		}
	}()
}

func (p *rawPeer) frame(k kind, stream uint64, body any) []byte {
	data, err := encodeFrame(k, stream, body)
	if err != nil {
		p.t.Error(err)
	}
	return data
}

// send sends frames in one message.
func (p *rawPeer) send(frames ...[]byte) {
	_ = p.socket.Write(context.Background(), websocket.MessageBinary, bytes.Join(frames, nil))
}

// next returns the next frame that is not a heartbeat; one without a kind if the link has ended.
func (p *rawPeer) next() frame {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for {
		for len(p.received) > 0 {
			f := p.received[0]
			p.received = p.received[1:]
			if f.Kind != kindHeartbeat {
				return f
			}
		}
		_, data, err := p.socket.Read(ctx)
		if err != nil {
			return frame{}
		}
		decoder := decMode.NewDecoder(bytes.NewReader(data))
		for decoder.NumBytesRead() < len(data) {
			var f frame
			if err := decoder.Decode(&f); err != nil {
				p.t.Error(err)
				return f
			}
			p.received = append(p.received, f)
		}
	}
}

// discard reads whatever arrives.
func (p *rawPeer) discard() {
	for {
		if _, _, err := p.socket.Read(context.Background()); err != nil {
			return
		}
	}
}

// TestRepeatedRequestRunsOnce guards against work that runs twice (TWICE) and tokens that are given twice: the frame of a
// request comes again, at once or later, or out of order.
func TestRepeatedRequestRunsOnce(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	var mu sync.Mutex
	ran := map[uint64]int{}
	a.work = func(_ context.Context, w *owner.Work, _ proto.Sink) owner.Result {
		mu.Lock()
		defer mu.Unlock()
		ran[uint64(w.Tx)]++
		return owner.Result{}
	}
	a.query = func(m Message) Message {
		mu.Lock()
		defer mu.Unlock()
		ran[uint64(m.(TokensRequest).TokenRequest.Amount)]++
		return TokensResponse{}
	}
	rapid.Check(t, func(r *rapid.T) {
		mu.Lock()
		clear(ran)
		mu.Unlock()
		p := dialRaw(t, a, "b")
		go p.discard()
		order := rapid.Permutation([]uint64{1, 2, 3, 4, 5, 6, 7, 8}).Draw(r, "order")
		order = append(order, rapid.SliceOfN(rapid.SampledFrom(order), 0, 8).Draw(r, "again")...)
		together := rapid.Bool().Draw(r, "together")
		var all [][]byte
		for _, number := range order {
			stream := 2 * number
			data := p.frame(kindWork, stream, owner.Work{Tx: owner.TxID(number), Kind: stmt.Write})
			if number%2 == 1 {
				data = p.frame(kindTokensRequest, stream, TokensRequest{TokenRequest: quota.TokenRequest{Amount: share.Tokens(number)}})
			}
			all = append(all, data)
			if !together {
				p.send(data)
			}
		}
		if together {
			p.send(all...)
		}
		// What is sent last is handled last.
		p.send(p.frame(kindWork, 20, owner.Work{Tx: 20}))
		waitFor(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(ran) == 9 })
		time.Sleep(time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		for number, times := range ran {
			if times != 1 {
				r.Fatalf("request %d ran %d times; sent: %v", number, times, order)
			}
		}
		_ = p.socket.CloseNow()
	})
}

// runRaw runs a request at the raw peer, which sends the frames that a function returns, and returns the result and what
// was passed on.
func (p *rawPeer) runRaw(a *testInstance, answer func(stream uint64) [][]byte) (owner.Result, string) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var sink textSink
	done := make(chan owner.Result, 1)
	go func() { done <- a.hub.Run(ctx, "b", &owner.Work{Kind: stmt.Read}, &sink) }()
	var f frame
	for f.Kind != kindWork {
		if f = p.next(); f.Kind == 0 {
			p.t.Fatal("the link has ended")
		}
	}
	p.send(answer(f.Stream)...)
	return <-done, sink.String()
}

const wholeAnswer = "one two three four"

// parts returns the frames of an answer.
func (p *rawPeer) parts(stream uint64) [][]byte {
	return [][]byte{
		p.frame(kindChunk, stream, chunk{Bytes: []byte("one "), Number: 1}),
		p.frame(kindChunk, stream, chunk{Bytes: []byte("two "), Number: 2}),
		p.frame(kindChunk, stream, chunk{Bytes: []byte("three "), Number: 3}),
		p.frame(kindResult, stream, result{Result: &owner.Result{Outcome: fault.Done}, Bytes: []byte("four"), Chunks: 3}),
	}
}

// TestResultWithoutOutcomeIsUnknown guards against a request that counts as done by the end of an answer that doesn't say so.
func TestResultWithoutOutcomeIsUnknown(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	p := acceptRaw(t, a)
	for name, bad := range map[string]any{
		"empty": map[int]any{}, "without an outcome": map[int]any{1: map[int]any{}}, "null": nil, "of another type": "done", "without a result": map[int]any{2: []byte("x")},
	} {
		if r, _ := p.runRaw(a, func(stream uint64) [][]byte { return [][]byte{p.frame(kindResult, stream, bad)} }); !r.Outcome.Unknown() {
			t.Errorf("a result that is %s counts as %s", name, r.Outcome)
		}
	}
}

// TestAnswerInPartsIsWholeOrUnknown guards against rows that a caller gets twice, out of order or not at all (MIXED): parts of
// an answer come again, in another order or not at all.
func TestAnswerInPartsIsWholeOrUnknown(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	p := acceptRaw(t, a)
	if r, text := p.runRaw(a, p.parts); r.Outcome != fault.Done || text != wholeAnswer {
		t.Fatalf("an answer in order: %s, %q", r.Outcome, text)
	}
	older := func(stream uint64) [][]byte {
		return [][]byte{
			p.frame(kindChunk, stream, map[int]any{1: []byte("one two ")}),
			p.frame(kindChunk, stream, map[int]any{1: []byte("three ")}),
			p.frame(kindResult, stream, map[int]any{1: owner.Result{}, 2: []byte("four")}),
		}
	}
	if r, text := p.runRaw(a, older); r.Outcome != fault.Done || text != wholeAnswer {
		t.Fatalf("an answer of an earlier release: %s, %q", r.Outcome, text)
	}
	rapid.Check(t, func(r *rapid.T) {
		order := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 6).Draw(r, "order")
		got, text := p.runRaw(a, func(stream uint64) [][]byte {
			all := p.parts(stream)
			var sent [][]byte
			for _, at := range order {
				sent = append(sent, all[at])
			}
			return append(sent, all[3])
		})
		if got.Outcome == fault.Done && text != wholeAnswer || !strings.HasPrefix(wholeAnswer, text) {
			r.Fatalf("parts %v: %s, %q", order, got.Outcome, text)
		}
	})
}

// TestBrokenAnswerIsCancelled guards against work that goes on at a peer, and a transaction that stays open there, after this
// end has given up the answer.
func TestBrokenAnswerIsCancelled(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	p := acceptRaw(t, a)
	var opened uint64
	r, _ := p.runRaw(a, func(stream uint64) [][]byte {
		opened = stream
		return p.parts(stream)[1:2]
	})
	if f := p.next(); !r.Outcome.Unknown() || f.Kind != kindCancel || f.Stream != opened {
		t.Fatalf("outcome %s, then a frame of kind %d for stream %d; want a cancel for stream %d", r.Outcome, f.Kind, f.Stream, opened)
	}
}

// textSink collects an answer.
type textSink struct{ strings.Builder }

func (s *textSink) Emit(messages []byte) error {
	_, err := s.Write(messages)
	return err
}

// TestFrameOfAnotherStreamIsNoAnswer guards against an answer that is taken for another request's: it is late, of a stream
// that was never opened, or of a kind that answers nothing of the sort.
func TestFrameOfAnotherStreamIsNoAnswer(t *testing.T) {
	a := newTestInstance(t, "a", nil)
	p := acceptRaw(t, a)
	var last uint64
	for number := range 20 {
		var sink textSink
		done := make(chan owner.Result, 1)
		go func() { done <- a.hub.Run(testContext(t), "b", &owner.Work{Kind: stmt.Write}, &sink) }()
		var f frame
		for f.Kind != kindWork {
			if f = p.next(); f.Kind == 0 {
				t.Fatal("the link has ended")
			}
		}
		if f.Stream <= last {
			t.Fatalf("stream %d is opened after %d", f.Stream, last)
		}
		p.send(
			p.frame(kindResult, last, result{Result: &owner.Result{}, Bytes: []byte("late")}),
			p.frame(kindResult, f.Stream+2, result{Result: &owner.Result{}, Bytes: []byte("early")}),
			p.frame(kindResult, f.Stream+1, result{Result: &owner.Result{}, Bytes: []byte("other end's")}),
			p.frame(kindChunk, last, chunk{Bytes: []byte("late"), Number: 1}),
			p.frame(kindResult, f.Stream, result{Result: &owner.Result{}, Bytes: fmt.Append(nil, "answer ", number)}),
			p.frame(kindResult, f.Stream, result{Result: &owner.Result{}, Bytes: []byte("again")}),
		)
		if r := <-done; r.Outcome != fault.Done || sink.String() != fmt.Sprint("answer ", number) {
			t.Fatalf("request %d: %s, %q", number, r.Outcome, sink.String())
		}
		last = f.Stream
	}
	query := make(chan error, 1)
	go func() {
		_, err := QueryFor[TokensResponse](testContext(t), a.hub, "b", TokensRequest{})
		query <- err
	}()
	f := p.next()
	p.send(p.frame(kindResult, f.Stream, result{Result: &owner.Result{}}))
	if err := <-query; err == nil {
		t.Error("a query takes the answer to a request")
	}
}

// TestLinkEndNamesItsCause: a message that can't be read, is longer than allowed or breaks the protocol ends its link and
// nothing else, and each shows apart from a link that was lost.
func TestLinkEndNamesItsCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause Cause
		send  func(p *rawPeer)
	}{
		{"lost", Closed, func(p *rawPeer) { _ = p.socket.CloseNow() }},
		{"silent", Silent, func(*rawPeer) {}},
		{"cut frame", BadMessage, func(p *rawPeer) { p.send([]byte{0xa3, 0x01}) }},
		{"no frame", BadMessage, func(p *rawPeer) { p.send([]byte("QUERY 1 READ a\r\n")) }},
		{"body of another kind", BadMessage, func(p *rawPeer) { p.send(p.frame(kindTokensRequest, 2, "text")) }},
		{"work without a stream", BadMessage, func(p *rawPeer) { p.send(p.frame(kindWork, 0, owner.Work{})) }},
		{"work over a stream of the other end", BadMessage, func(p *rawPeer) { p.send(p.frame(kindWork, 3, owner.Work{})) }},
		{"work of another type", BadMessage, func(p *rawPeer) { p.send(p.frame(kindWork, 2, []int{1})) }},
		{"too large", TooLarge, func(p *rawPeer) { p.send(make([]byte, 1<<20)) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			registry := prometheus.NewRegistry()
			a := newTestInstance(t, "a", func(c *Config) {
				c.MessageLimit, c.Registry, c.Timeout = 1<<18, registry, 300*time.Millisecond
			})
			c := newTestInstance(t, "c", nil)
			a.addresses["c"] = c.address
			if err := a.hub.Connect(t.Context(), "c"); err != nil {
				t.Fatal(err)
			}
			a.work = func(context.Context, *owner.Work, proto.Sink) owner.Result {
				t.Error("work of a broken frame ran")
				return owner.Result{}
			}
			p := dialRaw(t, a, "b")
			if test.cause == Silent {
				p.mute.Store(true)
			}
			waitFor(t, func() bool { return a.hub.Connected("b") })
			test.send(p)
			waitFor(t, func() bool { return !a.hub.Connected("b") })
			ended := map[string]float64{}
			waitFor(t, func() bool {
				families, err := registry.Gather()
				if err != nil {
					t.Fatal(err)
				}
				for _, f := range families {
					for _, m := range f.GetMetric() {
						if f.GetName() == "geraniumseam_peer_links_ended_total" {
							ended[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
						}
					}
				}
				return len(ended) > 0
			})
			if len(ended) != 1 || ended[test.cause.String()] != 1 {
				t.Errorf("links ended by %v, want one by %s", ended, test.cause)
			}
			if !a.hub.Connected("c") {
				t.Error("the link to another instance has ended")
			}
		})
	}
}

// TestLongMessageEndsNoLink guards against requests that are lost because a message beside them is longer than the other end
// takes: it fails alone.
func TestLongMessageEndsNoLink(t *testing.T) {
	const limit = 1 << 18
	change := func(c *Config) { c.MessageLimit = limit }
	a, b := newTestInstance(t, "a", change), newTestInstance(t, "b", change)
	shareAddresses(map[ident.InstanceID]*testInstance{"a": a, "b": b})
	release := make(chan struct{})
	b.work = func(_ context.Context, w *owner.Work, sink proto.Sink) owner.Result {
		if w.Kind == stmt.Write {
			<-release
			return owner.Result{}
		}
		for _, size := range w.Request.Messages {
			if sink.Emit(make([]byte, int(size)*limit)) != nil {
				return owner.Result{Outcome: fault.Unknown, Reason: fault.PeerLost}
			}
		}
		return owner.Result{}
	}
	beside := make(chan owner.Result, 1)
	go func() { beside <- a.hub.Run(testContext(t), "b", &owner.Work{Kind: stmt.Write}, &countingSink{}) }()
	waitFor(t, func() bool { return a.hub.Connected("b") })
	for _, answer := range [][]byte{{2}, {2, 2}, {0, 2, 0}} {
		ctx, cancel := context.WithTimeout(testContext(t), 2*time.Second)
		r := a.hub.Run(ctx, "b", &owner.Work{Kind: stmt.Read, Request: proto.Request{Messages: answer}}, &countingSink{})
		if !r.Outcome.Unknown() || ctx.Err() != nil {
			t.Errorf("an answer of %v times the limit: %s, want an unknown outcome at once: %v", answer, r.Outcome, ctx.Err())
		}
		cancel()
	}
	r := a.hub.Run(testContext(t), "b", &owner.Work{Kind: stmt.Read, Request: proto.Request{Messages: make([]byte, 2*limit)}}, &countingSink{})
	if r.Outcome != fault.NotSent {
		t.Errorf("a request over the limit: %s, want not sent", r.Outcome)
	}
	close(release)
	if r := <-beside; r.Outcome != fault.Done {
		t.Errorf("the request beside: %s by %s, want done", r.Outcome, r.Reason)
	}
}

// TestEarlierReleasesReadConfigurationVersions guards against links that end while a fleet is replaced one by one, since an earlier
// release can't read a version of the configuration that doesn't fit in one number: it gets what it takes the version for itself.
func TestEarlierReleasesReadConfigurationVersions(t *testing.T) {
	const number = 1796620681483656192
	large, small := ident.NewVersion(1<<24+1, number), ident.NewVersion(1, 12)
	for _, test := range []struct {
		protocol int
		version  ident.Version
		// cut is the version in one number, 0 if it is exact.
		cut uint64
	}{{1, large, 1<<40 | number}, {1, small, 1<<40 | 12}, {maxProtocol, large, 0}} {
		a := newTestInstance(t, "a", nil)
		p := dialRawAs(t, a, "b", test.protocol)
		waitFor(t, func() bool { return a.hub.Connected("b") })
		go func() { _, _ = a.hub.Query(t.Context(), "b", ConfigRequest{Have: test.version}) }()
		request := p.next()
		for name, body := range map[string][]byte{
			"request":   request.Body,
			"heartbeat": bodyFor(t, Heartbeat{Version: test.version}, test.protocol),
			"response":  bodyFor(t, ConfigResponse{Version: test.version}, test.protocol),
		} {
			var earlier struct {
				Version uint64 `cbor:"1,keyasint"`
			}
			var exact struct {
				Version ident.Version `cbor:"1,keyasint"`
			}
			if test.cut != 0 {
				if err := decMode.Unmarshal(body, &earlier); err != nil || earlier.Version != test.cut {
					t.Errorf("%s of protocol %d: read as %d, %v; want %d", name, test.protocol, earlier.Version, err, test.cut)
				}
				continue
			}
			if err := decMode.Unmarshal(body, &exact); err != nil || exact.Version != test.version {
				t.Errorf("%s of protocol %d: read as %v, %v; want %v", name, test.protocol, exact.Version, err, test.version)
			}
		}
	}
}

// bodyFor returns a message as it is sent to a peer of the given protocol version.
func bodyFor(t *testing.T, m Message, protocol int) []byte {
	t.Helper()
	body, err := encMode.Marshal(forProtocol(m, protocol))
	if err != nil {
		t.Fatal(err)
	}
	return body
}
