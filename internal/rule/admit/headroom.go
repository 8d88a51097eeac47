package admit

import (
	"fmt"
	"time"
)

const (
	// marginTenths is how many tenths of a server's connections an owner leaves free for those
	// that other owners open before its next report.
	marginTenths = 1
	// freshReport is the age up to which a report allows several connections to be opened at
	// the same time.
	freshReport = time.Second
)

// Headroom decides whether an owner may open another connection for requests to a server, from
// the number of connections that the server reports. That number includes those of other owners
// and those that an instance without power has left open. The zero value allows all. It is not
// safe for concurrent use.
type Headroom struct {
	connections int
	owners      int
	// reported is the server's number of connections, known if the last report contained it.
	reported int
	known    bool
	// asked is when the last report was requested, zero before the first one.
	asked time.Time
	// opened holds when connections were opened, unless the report counts them for certain;
	// closed holds when connections were closed that it still counts.
	opened, closed []time.Time
}

// SetLimit sets how many connections the server accepts and how many owners share them.
func (h *Headroom) SetLimit(connections, owners int) { h.connections, h.owners = connections, owners }

// Report records an answer of the server; known is false if it contains no number.
func (h *Headroom) Report(asked, answered time.Time, reported int, known bool) {
	h.asked, h.reported, h.known = asked, reported, known
	h.opened = notBefore(h.opened, asked)
	h.closed = notBefore(h.closed, answered)
}

// notBefore removes the leading times before the given one.
func notBefore(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

// Opened records that a connection has been opened.
func (h *Headroom) Opened(now time.Time) { h.opened = append(h.opened, now) }

// Closed records that an open connection has been closed.
func (h *Headroom) Closed(now time.Time) { h.closed = append(h.closed, now) }

// Owned is the number of this owner's connections to the server for requests.
type Owned struct {
	Open    int
	Dialing int
}

// Allows reports whether another connection may be opened. An owner without a connection may
// use half of the margin; the rest is left for the connections over which owners poll the server.
// An owner that has closed more connections since the report than it has opened may use all of it.
func (h *Headroom) Allows(now time.Time, own Owned) bool {
	if h.connections == 0 || !h.known && !h.asked.IsZero() {
		return true
	}
	if now.Sub(h.asked) > freshReport && (own.Dialing > 0 || own.Open == 0) {
		// A server that was full by an old report may have room now.
		return own.Dialing == 0
	}
	if !h.known {
		return true
	}
	added := len(h.opened) + own.Dialing - len(h.closed)
	// Each owner can have one connection for requests at a server that accepts few.
	margin := max(min(max(h.connections*marginTenths/10, h.owners-1), h.connections-2*h.owners), 0)
	switch {
	case added < 0:
		margin = 0
	case own.Open+own.Dialing == 0:
		margin -= margin / 2
	}
	return h.reported+added < h.connections-margin
}

// Evidence describes what the decision is based on and how old that is.
func (h *Headroom) Evidence(now time.Time) string {
	return fmt.Sprintf("the server reported %d of %d connections %v ago", h.reported, h.connections, now.Sub(h.asked).Round(time.Millisecond))
}
