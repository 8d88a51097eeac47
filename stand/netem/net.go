package netem

import (
	"context"
	"net"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Net is an emulated network: the data centre of each address, the latencies and the partitions.
type Net struct {
	// Latency returns the one-way latency between two data centres.
	Latency func(a, b ident.CenterID) time.Duration

	mu sync.Mutex
	// centers holds the data centre of each address.
	centers     map[string]ident.CenterID
	partitioned map[[2]ident.CenterID]bool
	changed     chan struct{}
}

// New returns a network without latency or partitions.
func New() *Net {
	return &Net{
		Latency: func(ident.CenterID, ident.CenterID) time.Duration { return 0 },
		centers: map[string]ident.CenterID{}, partitioned: map[[2]ident.CenterID]bool{}, changed: make(chan struct{}),
	}
}

// SetCenter sets the data centre of an address.
func (n *Net) SetCenter(address string, center ident.CenterID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.centers[address] = center
}

// Partition cuts two data centres off from each other, or reconnects them. Established connections
// between them stall meanwhile and resume without loss of data.
func (n *Net) Partition(a, b ident.CenterID, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]ident.CenterID{a, b}] = partitioned
	n.partitioned[[2]ident.CenterID{b, a}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// state reports whether two data centres are partitioned, with a channel that is closed on the next
// change of any partition.
func (n *Net) state(a, b ident.CenterID) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]ident.CenterID{a, b}], n.changed
}

func (n *Net) centerOf(address string) ident.CenterID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.centers[address]
}

// Dialer dials from one data centre over the emulated network.
type Dialer struct {
	net  *Net
	from ident.CenterID
}

// From returns a dialer for the data centre.
func (n *Net) From(center ident.CenterID) *Dialer { return &Dialer{net: n, from: center} }

// DialContext opens a connection; it waits while the data centres are partitioned.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := d.net.centerOf(address)
	for {
		partitioned, changed := d.net.state(d.from, to)
		if !partitioned {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(d.net, raw, d.from, to), nil
}

// chunk is data in flight and the time of its arrival.
type chunk struct {
	data []byte
	due  time.Time
}

// queueLength bounds the chunks in flight in each direction.
const queueLength = 4096

// conn is a connection that delays data and stalls while its data centres are partitioned.
type conn struct {
	net.Conn
	net       *Net
	from, to  ident.CenterID
	delay     time.Duration
	outgoing  chan chunk
	delivered chan chunk
	closed    chan struct{}
	once      sync.Once

	mu              sync.Mutex
	unread          []byte
	readErr         error
	deadline        time.Time
	deadlineChanged chan struct{}
}

func newConn(n *Net, raw net.Conn, from, to ident.CenterID) net.Conn {
	c := &conn{
		Conn: raw, net: n, from: from, to: to, delay: n.Latency(from, to),
		outgoing: make(chan chunk, queueLength), delivered: make(chan chunk, queueLength),
		closed: make(chan struct{}), deadlineChanged: make(chan struct{}),
	}
	inFlight := make(chan chunk, queueLength)
	go c.writeLoop()
	go c.readLoop(inFlight)
	go c.deliverLoop(inFlight)
	return c
}

// waitDeliverable waits until the chunk is due and there is no partition; false means that the
// connection was closed.
func (c *conn) waitDeliverable(p chunk) bool {
	if wait := time.Until(p.due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-c.closed:
			return false
		}
	}
	for {
		partitioned, changed := c.net.state(c.from, c.to)
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// writeLoop writes outgoing chunks to the underlying connection once they are due.
func (c *conn) writeLoop() {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.outgoing:
			if !c.waitDeliverable(p) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				c.Close()
				return
			}
		}
	}
}

// readLoop reads from the underlying connection and stamps each chunk with its time of arrival.
func (c *conn) readLoop(inFlight chan<- chunk) {
	defer close(inFlight)
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			select {
			case inFlight <- chunk{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(c.delay)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			c.mu.Lock()
			c.readErr = err
			c.mu.Unlock()
			return
		}
	}
}

// deliverLoop passes incoming chunks on to Read once they are due.
func (c *conn) deliverLoop(inFlight <-chan chunk) {
	defer close(c.delivered)
	for p := range inFlight {
		if !c.waitDeliverable(p) {
			return
		}
		select {
		case c.delivered <- p:
		case <-c.closed:
			return
		}
	}
}

// Unread returns how much data can be read now, in bytes or chunks, and whether the connection is open.
func (c *conn) Unread() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread) + len(c.delivered), c.readErr == nil
}

// Write implements net.Conn; it returns as soon as the data is queued.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.outgoing <- chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.unread) > 0 {
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			c.mu.Unlock()
			return n, nil
		}
		deadline, deadlineChanged := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		if err := c.waitReadable(deadline, deadlineChanged); err != nil {
			return 0, err
		}
	}
}

// waitReadable waits for data, a change of the read deadline, or the end of the connection.
func (c *conn) waitReadable(deadline time.Time, deadlineChanged <-chan struct{}) error {
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
	case chunk, ok := <-c.delivered:
		c.mu.Lock()
		defer c.mu.Unlock()
		if !ok {
			if c.readErr != nil {
				return c.readErr
			}
			return net.ErrClosed
		}
		c.unread = chunk.data
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-deadlineChanged:
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
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.Conn; it does nothing, as writes are queued.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// timeoutError is the error of a read whose deadline has passed.
type timeoutError struct{}

// Error implements error.
func (*timeoutError) Error() string { return "i/o timeout" }

// Timeout implements net.Error.
func (*timeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*timeoutError) Temporary() bool { return true }
