package lproxy

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to a target and injects network faults.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	// refuse resets new connections; cutIn drops the data from the target, cutOut the data to it.
	refuse bool
	cutIn  bool
	cutOut bool
	// answers is the fault of the answers to come, streams that of the connections that carry
	// data next.
	answers   AnswerFault
	streams   StreamFault
	pairs     map[*connPair]bool
	forwarded int64
}

// connPair is one connection through a proxy; a blackholed one drops all further data.
type connPair struct {
	client, upstream net.Conn
	blackholed       bool
	// answer is the fault of the next answer, nil if there is none.
	answer *AnswerFault
	// stream is the fault of the data to come, nil if there is none.
	stream *StreamFault
}

// AnswerFault is a fault of answers, which strikes after the target has done its work.
type AnswerFault struct {
	// Count is the number of answers that it strikes, Words what the data to the target must
	// contain one of.
	Count int
	Words []string
	// Late is how long an answer is held back.
	Late time.Duration
	// Cut resets the connection once Part of the answer, from 0 to 1, has been forwarded.
	Cut  bool
	Part float64
}

// StreamFault is a fault of data in one direction, of whatever protocol; the other direction goes on.
type StreamFault struct {
	// Count is the number of connections that it strikes, Outbound whether it strikes the data
	// to the target.
	Count    int
	Outbound bool
	// Bytes is how many bytes still pass; the next ones are held back for Hold.
	Bytes int
	Hold  time.Duration
	// Cut resets the connection then.
	Cut bool
}

// bufferSize is the most that a proxy forwards at once, in bytes.
const bufferSize = 16 << 10

// New starts a proxy on loopback.
func New(target string) (*Proxy, error) { return NewAt("127.0.0.1:0", target) }

// NewAt starts a proxy on an address.
func NewAt(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, pairs: map[*connPair]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

// Delay delays all data by d; 0 ends the delay.
func (p *Proxy) Delay(d time.Duration) { p.set(func() { p.delay = d }) }

// Refuse sets whether new connections are reset.
func (p *Proxy) Refuse(refuse bool) { p.set(func() { p.refuse = refuse }) }

// CutOneWay sets whether data to the target and data from the target is dropped.
func (p *Proxy) CutOneWay(cutOut, cutIn bool) { p.set(func() { p.cutOut, p.cutIn = cutOut, cutIn }) }

// Blackhole drops all further data on the open connections without closing them; new
// connections work.
func (p *Proxy) Blackhole() {
	p.set(func() {
		for c := range p.pairs {
			c.blackholed = true
		}
	})
}

// FaultAnswers sets the fault of the next answers; an AnswerFault without a count ends it.
func (p *Proxy) FaultAnswers(f AnswerFault) { p.set(func() { p.answers = f }) }

// FaultStreams sets the fault of the connections that carry data next; a StreamFault without a
// count ends it.
func (p *Proxy) FaultStreams(f StreamFault) {
	p.set(func() {
		p.streams = f
		for c := range p.pairs {
			if f.Count == 0 {
				c.stream = nil
			}
		}
	})
}

// Forwarded returns the number of bytes forwarded so far.
func (p *Proxy) Forwarded() (bytes int64) {
	p.set(func() { bytes = p.forwarded })
	return bytes
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.set(func() {
		for c := range p.pairs {
			c.reset()
		}
	})
}

func (c *connPair) reset() {
	reset(c.client)
	reset(c.upstream)
}

func (p *Proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			reset(client)
			continue
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	c := &connPair{client: client, upstream: upstream}
	p.set(func() { p.pairs[c] = true })
	done := make(chan struct{})
	go func() { p.copyOneWay(c, client, upstream, true); close(done) }()
	p.copyOneWay(c, upstream, client, false)
	<-done
	p.set(func() { delete(p.pairs, c) })
}

// copyOneWay forwards data in one direction until one end closes, subject to the faults.
func (p *Proxy) copyOneWay(c *connPair, from, to net.Conn, outbound bool) {
	defer to.Close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay := p.delay
		if c.blackholed || outbound && p.cutOut || !outbound && p.cutIn {
			n = 0
		}
		f := p.chooseFault(c, buffer[:n], outbound)
		p.mu.Unlock()
		time.Sleep(delay + f.late)
		if f.passed > 0 {
			if _, err := to.Write(buffer[:f.passed]); err != nil {
				return
			}
		}
		time.Sleep(f.hold)
		if f.cut {
			c.reset()
			return
		}
		if f.passed < n {
			if _, err := to.Write(buffer[f.passed:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// chunkFault is what happens to the data of one read: it is held back for late, and what follows
// its first passed bytes for hold; cut resets the connection then.
type chunkFault struct {
	late, hold time.Duration
	passed     int
	cut        bool
}

// chooseFault returns the fault of data that has been read; the caller holds the mutex.
func (p *Proxy) chooseFault(c *connPair, data []byte, outbound bool) chunkFault {
	f := chunkFault{passed: len(data)}
	if len(data) == 0 {
		return f
	}
	p.forwarded += int64(len(data))
	if outbound {
		p.chooseAnswer(c, data)
	} else if a := c.answer; a != nil {
		c.answer, f.late, f.cut = nil, a.Late, a.Cut
		if a.Cut {
			f.passed = int(a.Part * float64(len(data)))
		}
	}
	if c.stream == nil && p.streams.Count > 0 && p.streams.Outbound == outbound {
		p.streams.Count--
		chosen := p.streams
		c.stream = &chosen
	}
	if s := c.stream; s != nil && s.Outbound == outbound {
		if len(data) <= s.Bytes {
			s.Bytes -= len(data)
			return f
		}
		c.stream, f.passed, f.hold, f.cut = nil, min(f.passed, s.Bytes), s.Hold, f.cut || s.Cut
	}
	return f
}

// chooseAnswer has the fault strike the answer to the data if it contains one of the words.
func (p *Proxy) chooseAnswer(c *connPair, data []byte) {
	if p.answers.Count == 0 || c.answer != nil {
		return
	}
	for _, word := range p.answers.Words {
		if bytes.Contains(data, []byte(word)) {
			p.answers.Count--
			fault := p.answers
			c.answer = &fault
			return
		}
	}
}
