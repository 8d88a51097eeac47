package netem

import (
	"context"
	"net"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Net knows where addresses are, how far places are apart and which are cut off.
type Net struct {
	// Between returns the one-way latency between two data centres.
	Between func(a, b ident.CenterID) time.Duration

	mu      sync.Mutex
	places  map[string]ident.CenterID
	cut     map[[2]ident.CenterID]bool
	changed chan struct{}
}

// New returns a net without latency or cuts.
func New() *Net {
	return &Net{
		Between: func(ident.CenterID, ident.CenterID) time.Duration { return 0 },
		places:  map[string]ident.CenterID{}, cut: map[[2]ident.CenterID]bool{}, changed: make(chan struct{}),
	}
}

// Place says in which data centre an address is.
func (n *Net) Place(address string, center ident.CenterID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = center
}

// Cut separates two data centres, or joins them again; established connections
// between them go silent and go on where they were once joined.
func (n *Net) Cut(a, b ident.CenterID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]ident.CenterID{a, b}] = cut
	n.cut[[2]ident.CenterID{b, a}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Net) state(a, b ident.CenterID) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]ident.CenterID{a, b}], n.changed
}

func (n *Net) placeOf(address string) ident.CenterID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[address]
}

// Dialer dials from one data centre.
type Dialer struct {
	net  *Net
	from ident.CenterID
}

// From returns a dialer in the data centre.
func (n *Net) From(center ident.CenterID) *Dialer { return &Dialer{net: n, from: center} }

// DialContext opens a connection as long as nothing cuts it off.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := d.net.placeOf(address)
	for {
		cut, changed := d.net.state(d.from, to)
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var plain net.Dialer
	raw, err := plain.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(d.net, raw, d.from, to), nil
}

// parcel is what travels, and when it arrives.
type parcel struct {
	data []byte
	due  time.Time
}

// queueLength bounds what is on its way, in parcels.
const queueLength = 4096

// conn carries bytes late, and not at all while its places are cut off.
type conn struct {
	net.Conn
	net      *Net
	from, to ident.CenterID
	delay    time.Duration
	out      chan parcel
	in       chan parcel
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	rest     []byte
	failed   error
	deadline time.Time
	moved    chan struct{}
}

func newConn(n *Net, raw net.Conn, from, to ident.CenterID) net.Conn {
	c := &conn{
		Conn: raw, net: n, from: from, to: to, delay: n.Between(from, to),
		out: make(chan parcel, queueLength), in: make(chan parcel, queueLength),
		closed: make(chan struct{}), moved: make(chan struct{}),
	}
	arriving := make(chan parcel, queueLength)
	go c.pumpOut()
	go c.pumpIn(arriving)
	go c.travel(arriving)
	return c
}

// hold waits until the parcel is due and its way is open.
func (c *conn) hold(p parcel) bool {
	if wait := time.Until(p.due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-c.closed:
			return false
		}
	}
	for {
		cut, changed := c.net.state(c.from, c.to)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

func (c *conn) pumpOut() {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.out:
			if !c.hold(p) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				c.Close()
				return
			}
		}
	}
}

func (c *conn) pumpIn(arriving chan<- parcel) {
	defer close(arriving)
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			select {
			case arriving <- parcel{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(c.delay)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			c.mu.Lock()
			c.failed = err
			c.mu.Unlock()
			return
		}
	}
}

// travel lets what arrived be read once it is due.
func (c *conn) travel(arriving <-chan parcel) {
	defer close(c.in)
	for p := range arriving {
		if !c.hold(p) {
			return
		}
		select {
		case c.in <- p:
		case <-c.closed:
			return
		}
	}
}

// Quiet reports whether the connection is open and nothing waits to be read.
func (c *conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rest) == 0 && len(c.in) == 0 && c.failed == nil
}

// Write implements net.Conn; it succeeds as soon as the bytes are on their way.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- parcel{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.rest) > 0 {
			n := copy(p, c.rest)
			c.rest = c.rest[n:]
			c.mu.Unlock()
			return n, nil
		}
		deadline, moved := c.deadline, c.moved
		c.mu.Unlock()
		if err := c.await(deadline, moved); err != nil {
			return 0, err
		}
	}
}

func (c *conn) await(deadline time.Time, moved <-chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		wait := time.Until(deadline)
		if wait <= 0 {
			return &timeoutError{}
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case parcel, ok := <-c.in:
		c.mu.Lock()
		defer c.mu.Unlock()
		if !ok {
			if c.failed != nil {
				return c.failed
			}
			return net.ErrClosed
		}
		c.rest = parcel.data
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-moved:
		return nil
	case <-expired:
		return &timeoutError{}
	}
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.moved)
	c.moved = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait here.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// timeoutError is the error of a passed deadline.
type timeoutError struct{}

// Error implements error.
func (*timeoutError) Error() string { return "i/o timeout" }

// Timeout implements net.Error.
func (*timeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*timeoutError) Temporary() bool { return true }
