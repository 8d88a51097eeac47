package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/pkg/ident"
)

// Handler is implemented by the instance that a Hub belongs to.
type Handler interface {
	// Work runs a request forwarded by a peer.
	Work(ctx context.Context, from ident.InstanceID, w *owner.Work, sink proto.Sink) owner.Result
	// HandleNotification handles a one-way message; it must not block.
	HandleNotification(from ident.InstanceID, m Message)
	// HandleQuery returns the response to a query; nil sends none.
	HandleQuery(ctx context.Context, from ident.InstanceID, m Message) Message
	// Heartbeat returns the next heartbeat for a peer.
	Heartbeat(to ident.InstanceID) Heartbeat
	// HeartbeatFactor returns the factor by which the heartbeat interval and the timeout of the
	// link to an instance are extended while no request runs over it; 1 if one of the two
	// instances observes the other.
	HeartbeatFactor(id ident.InstanceID) time.Duration
	// Disconnected is called when the current link to an instance has ended.
	Disconnected(id ident.InstanceID)
	// WantsLink reports whether the instance wants to keep the link to another one while nothing uses it.
	WantsLink(id ident.InstanceID) bool
	// Retired is called when an unneeded link to an instance is closed.
	Retired(id ident.InstanceID)
	// AddressOf returns the address of a listed instance; false if it is not listed.
	AddressOf(id ident.InstanceID) (string, bool)
}

// Config configures a Hub.
type Config struct {
	Self   ident.InstanceID
	Center ident.CenterID
	// Secret is the shared secret that a dialling instance presents, until SetSecret changes
	// it; it is only ever sent over TLS or to loopback.
	Secret string
	// Server and Client are the TLS configurations for accepted and dialled links; nil for
	// both disables TLS.
	Server *tls.Config
	Client *tls.Config
	Dialer proto.Dialer
	// Heartbeat is the interval between heartbeats; a link is closed when nothing arrived
	// on it for Timeout.
	Heartbeat time.Duration
	Timeout   time.Duration
	// SurplusDelay is how long a link must have carried nothing, and how long the handler must not have
	// wanted it, before CloseSurplus closes it. RequestDelay is how long it must not have carried a
	// caller's request or a request for tokens.
	SurplusDelay time.Duration
	RequestDelay time.Duration
	// MessageLimit is the maximum size in bytes of one message, and of the part of one
	// response that is buffered for a slow caller; 0 means the default.
	MessageLimit int64
	Handler      Handler
	Journal      *jrnl.Journal
	Registry     prometheus.Registerer
}

const (
	secretHeader   = "Geraniumseam-Secret"
	instanceHeader = "Geraniumseam-Instance"
	linkPath       = "/link"
	// redialDelay is how long after a failed dial further attempts fail at once.
	redialDelay = 200 * time.Millisecond
)

// The reasons why a frame is ignored.
const (
	// repeatedRequest: the request came before.
	repeatedRequest = "repeated-request"
	// lateResponse: nothing waits for the response, which has ended or has been given up.
	lateResponse = "late-response"
	// brokenResponse: the response is not whole, or could not be passed on.
	brokenResponse = "broken-response"
)

// Hub manages the links to other instances. It is safe for concurrent use.
type Hub struct {
	conf Config
	// secret is the current secret.
	secret    atomic.Pointer[string]
	listener  net.Listener
	server    *http.Server
	client    *http.Client
	bytesIn   prometheus.Counter
	bytesOut  prometheus.Counter
	linkCount prometheus.Gauge
	// linksEnded counts the links that have ended, by cause.
	linksEnded *prometheus.CounterVec
	// ignored counts frames that were not acted on, by reason.
	ignored *prometheus.CounterVec

	mu sync.Mutex
	// links has the link used for sending to each peer; allLinks also has older links that
	// a peer may still use.
	links    map[ident.InstanceID]*link
	allLinks map[*link]bool
	// retiring has the links that this end has asked to close, and when.
	retiring map[*link]time.Time
	// dialing has a channel for each dial in progress, closed when it ends.
	dialing map[ident.InstanceID]chan struct{}
	// dialFailedAt is when the last dial to a peer failed.
	dialFailedAt map[ident.InstanceID]time.Time
	closed       bool
}

// NewHub returns a Hub that accepts links on the listener once Serve is called.
func NewHub(c Config, l net.Listener) *Hub {
	if c.MessageLimit == 0 {
		c.MessageLimit = defaultMessageLimit
	}
	c.MessageLimit = max(c.MessageLimit, minMessageLimit)
	h := &Hub{
		conf: c, listener: l, links: map[ident.InstanceID]*link{}, allLinks: map[*link]bool{}, retiring: map[*link]time.Time{},
		dialing: map[ident.InstanceID]chan struct{}{}, dialFailedAt: map[ident.InstanceID]time.Time{},
		bytesIn:  prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_peer_bytes_in_total", Help: "Bytes received from peers."}),
		bytesOut: prometheus.NewCounter(prometheus.CounterOpts{Name: "geraniumseam_peer_bytes_out_total", Help: "Bytes sent to peers."}),
		linksEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_peer_links_ended_total", Help: "Links to peers that have ended, by cause.",
		}, []string{"cause"}),
		ignored: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_peer_frames_ignored_total", Help: "Frames from peers that were not acted on, by reason.",
		}, []string{"reason"}),
		linkCount: prometheus.NewGauge(prometheus.GaugeOpts{Name: "geraniumseam_peer_links", Help: "Open links to peers."}),
	}
	h.secret.Store(&c.Secret)
	if c.Registry != nil {
		c.Registry.MustRegister(h.bytesIn, h.bytesOut, h.linkCount, h.linksEnded, h.ignored)
	}
	h.client = &http.Client{
		Transport:     &http.Transport{DialContext: c.Dialer.DialContext, TLSClientConfig: c.Client},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	h.server = &http.Server{Handler: http.HandlerFunc(h.accept), ReadHeaderTimeout: c.Timeout}
	return h
}

// Serve accepts links in the background. From then on, and from the first link that is opened, the
// handler is called.
func (h *Hub) Serve() {
	l := h.listener
	if h.conf.Server != nil {
		l = tls.NewListener(l, h.conf.Server)
	}
	go func() { _ = h.server.Serve(l) }()
}

// SetSecret changes the secret for new links; open links stay.
func (h *Hub) SetSecret(secret string) { h.secret.Store(&secret) }

// Close closes the listener and all links, and waits until the links have ended.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	links := slices.Collect(maps.Keys(h.allLinks))
	h.links = map[ident.InstanceID]*link{}
	h.mu.Unlock()
	_ = h.server.Close()
	for _, l := range links {
		l.close(Closed)
	}
	for _, l := range links {
		_ = l.tomb.Wait()
	}
}

// accept handles the request of another instance to open a link.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	peer := ident.InstanceID(r.Header.Get(instanceHeader))
	secret := r.Header.Get(secretHeader)
	if subtle.ConstantTimeCompare([]byte(secret), []byte(*h.secret.Load())) != 1 || peer == "" || peer == h.conf.Self {
		http.Error(w, "", http.StatusForbidden)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	protocol, err := h.handshake(r.Context(), socket, peer)
	if err != nil {
		_ = socket.Close(websocket.StatusPolicyViolation, "")
		return
	}
	h.register(peer, socket, protocol)
}

// handshake exchanges Hello messages and checks the peer's name and protocol versions. It returns the version that both
// ends support.
func (h *Hub) handshake(ctx context.Context, socket *websocket.Conn, peer ident.InstanceID) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, h.conf.Timeout)
	defer cancel()
	hello, err := encodeFrame(kindHello, 0, Hello{MinProtocol: minProtocol, MaxProtocol: maxProtocol, Instance: h.conf.Self, Center: h.conf.Center})
	if err != nil {
		return 0, err
	}
	if err := socket.Write(ctx, websocket.MessageBinary, hello); err != nil {
		return 0, &Error{Cause: Unreachable, Peer: peer, Detail: err.Error()}
	}
	_, data, err := socket.Read(ctx)
	if err != nil {
		return 0, &Error{Cause: Unreachable, Peer: peer, Detail: err.Error()}
	}
	return checkHello(data, peer)
}

func checkHello(data []byte, peer ident.InstanceID) (int, error) {
	var f frame
	if err := decMode.Unmarshal(data, &f); err != nil || f.Kind != kindHello {
		return 0, &Error{Cause: BadMessage, Peer: peer}
	}
	m, err := decode(f.Kind, f.Body)
	if err != nil {
		return 0, err
	}
	hello := m.(Hello)
	if hello.Instance != peer {
		return 0, &Error{Cause: WrongPeer, Peer: peer, Detail: string(hello.Instance)}
	}
	if hello.MaxProtocol < minProtocol || hello.MinProtocol > maxProtocol {
		return 0, &Error{Cause: WrongVersion, Peer: peer}
	}
	return min(hello.MaxProtocol, maxProtocol), nil
}

// register adds a link, which is used for sending from now on. If both ends dialled at the
// same time, there are two links; both are served until they end.
func (h *Hub) register(peer ident.InstanceID, socket *websocket.Conn, protocol int) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := newLink(h, peer, socket, protocol)
	h.allLinks[l] = true
	if h.closed {
		l.close(Closed)
		return l
	}
	if h.links[peer] == nil {
		h.linkCount.Inc()
		h.conf.Journal.Add(jrnl.Event{Kind: jrnl.PeerJoined, Evidence: string(peer)})
	}
	h.links[peer] = l
	return l
}

// unregister removes a link that has ended; the handler is told if it was the one in use.
func (h *Hub) unregister(l *link) {
	h.mu.Lock()
	current := h.links[l.peer] == l
	if current {
		delete(h.links, l.peer)
		h.linkCount.Dec()
	}
	if _, asked := h.retiring[l]; asked {
		// The peer has not agreed, so the link was lost.
		current = h.links[l.peer] == nil
		delete(h.retiring, l)
	}
	delete(h.allLinks, l)
	h.mu.Unlock()
	if current {
		h.conf.Journal.Add(jrnl.Event{Kind: jrnl.PeerLost, Evidence: string(l.peer)})
		h.conf.Handler.Disconnected(l.peer)
	}
}

// linkTo returns the open link to a peer, or dials it; concurrent callers share one dial.
func (h *Hub) linkTo(ctx context.Context, id ident.InstanceID) (*link, error) {
	for {
		h.mu.Lock()
		if l := h.links[id]; l != nil && l.tomb.Alive() {
			l.noteUse()
			h.mu.Unlock()
			return l, nil
		}
		if clock.Since(h.dialFailedAt[id]) < redialDelay || h.closed {
			h.mu.Unlock()
			return nil, &Error{Cause: Unreachable, Peer: id}
		}
		wait := h.dialing[id]
		if wait == nil {
			wait = make(chan struct{})
			h.dialing[id] = wait
			go h.dial(id, wait)
		}
		h.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// openStream opens a stream to a peer, over another link if the one in use has just been retired.
func (h *Hub) openStream(ctx context.Context, id ident.InstanceID) (*link, uint64, *stream, error) {
	for {
		l, err := h.linkTo(ctx, id)
		if err != nil {
			return nil, 0, nil, err
		}
		opened, s, ok := l.openStream()
		if ok {
			return l, opened, s, nil
		}
		if !l.isRetired() {
			return nil, 0, nil, &Error{Cause: Closed, Peer: id}
		}
	}
}

func (h *Hub) dial(id ident.InstanceID, done chan struct{}) {
	err := h.connect(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.dialFailedAt[id] = clock.Now()
	}
	delete(h.dialing, id)
	close(done)
}

func (h *Hub) connect(id ident.InstanceID) error {
	address, ok := h.conf.Handler.AddressOf(id)
	if !ok {
		return &Error{Cause: Unlisted, Peer: id}
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.conf.Timeout)
	defer cancel()
	scheme := "ws://"
	if h.conf.Client != nil {
		scheme = "wss://"
	}
	header := http.Header{}
	header.Set(secretHeader, *h.secret.Load())
	header.Set(instanceHeader, string(h.conf.Self))
	socket, response, err := websocket.Dial(ctx, scheme+address+linkPath, &websocket.DialOptions{
		HTTPClient: h.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		cause := Unreachable
		if response != nil && response.StatusCode == http.StatusForbidden {
			cause = Unauthorized
		}
		return &Error{Cause: cause, Peer: id, Detail: err.Error()}
	}
	protocol, err := h.handshake(ctx, socket, id)
	if err != nil {
		_ = socket.CloseNow()
		return errors.Trace(err)
	}
	h.register(id, socket, protocol)
	return nil
}

// Notify sends a one-way message, opening a link if there is none.
func (h *Hub) Notify(ctx context.Context, id ident.InstanceID, m Message) error {
	l, err := h.linkTo(ctx, id)
	if err != nil {
		return err
	}
	return l.send(ctx, kindOf(m), 0, m)
}

// NotifyAll sends a one-way message to all peers with an open link.
func (h *Hub) NotifyAll(ctx context.Context, m Message) {
	for _, l := range h.openLinks() {
		_ = l.send(ctx, kindOf(m), 0, m)
	}
}

// NotifySome sends a one-way message to the peers with an open link for which chosen returns
// true.
func (h *Hub) NotifySome(ctx context.Context, m Message, chosen func(ident.InstanceID) bool) {
	for _, l := range h.openLinks() {
		if chosen(l.peer) {
			_ = l.send(ctx, kindOf(m), 0, m)
		}
	}
}

func (h *Hub) openLinks() []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []*link
	for _, l := range h.links {
		all = append(all, l)
	}
	return all
}

// everyLink returns all links, also those that are out of use.
func (h *Hub) everyLink() []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.allLinks))
}

// ConnectedPeers returns the peers with an open link.
func (h *Hub) ConnectedPeers() []ident.InstanceID {
	var ids []ident.InstanceID
	for _, l := range h.openLinks() {
		ids = append(ids, l.peer)
	}
	return ids
}

// Query sends a query and waits for its response, opening a link if there is none.
func (h *Hub) Query(ctx context.Context, id ident.InstanceID, m Message) (Message, error) {
	l, opened, s, err := h.openStream(ctx, id)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, opened, s, m)
}

// QueryFor is like Query, but fails with BadMessage if the response is not of type A.
func QueryFor[A Message](ctx context.Context, h *Hub, id ident.InstanceID, m Message) (A, error) {
	var none A
	reply, err := h.Query(ctx, id, m)
	if err != nil {
		return none, errors.Trace(err)
	}
	answer, ok := reply.(A)
	if !ok {
		return none, &Error{Cause: BadMessage, Peer: id}
	}
	return answer, nil
}

// Run forwards a request to another instance and its response to sink.
func (h *Hub) Run(ctx context.Context, id ident.InstanceID, w *owner.Work, sink proto.Sink) owner.Result {
	l, opened, s, err := h.openStream(ctx, id)
	if err != nil {
		return owner.Result{Outcome: fault.NotSent, Reason: fault.PeerLost}
	}
	return l.run(ctx, opened, s, w, sink)
}

// Connected reports whether a link to an instance is open.
func (h *Hub) Connected(id ident.InstanceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[id]
	return l != nil && l.tomb.Alive()
}

// Connect opens a link to an instance if there is none.
func (h *Hub) Connect(ctx context.Context, id ident.InstanceID) error {
	_, err := h.linkTo(ctx, id)
	return err
}
