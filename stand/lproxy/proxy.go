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
	// answers is the fault of the answers to come.
	answers AnswerFault
	pairs   map[*connPair]bool
}

// connPair is one connection through a proxy; a blackholed one drops all further data.
type connPair struct {
	client, upstream net.Conn
	blackholed       bool
	// answer is the fault of the next answer, nil if there is none.
	answer *AnswerFault
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

// bufferSize is the most that a proxy forwards at once, in bytes.
const bufferSize = 16 << 10

// New starts a proxy on loopback.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
		dropped := c.blackholed || outbound && p.cutOut || !outbound && p.cutIn
		var fault AnswerFault
		switch {
		case n == 0 || dropped:
		case outbound:
			p.chooseAnswer(c, buffer[:n])
		case c.answer != nil:
			fault, c.answer = *c.answer, nil
		}
		p.mu.Unlock()
		time.Sleep(delay + fault.Late)
		if dropped {
			n = 0
		}
		if fault.Cut {
			n = int(fault.Part * float64(n))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if fault.Cut {
			c.reset()
		}
		if err != nil || fault.Cut {
			return
		}
	}
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
