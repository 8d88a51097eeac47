//go:build ignore

package main

import (
	"net"
	"os"
	"sync"
	"time"
)

// link is a node's path to one address. While it is cut, what was sent on connections that are open is
// held up, and no new connection comes about: what is written to one is delivered only if its
// sender still has it open when the cut ends.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	isCut    bool
	healed   *sync.Cond
	delay    time.Duration
	// held is what was sent last on an open connection and is held up.
	held []byte
}

func newLink(target string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(unable)
	}
	k := &link{listener: l, target: target}
	k.healed = sync.NewCond(&k.mu)
	go k.accept()
	return k
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) cut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = cut
	k.healed.Broadcast()
}

// heldUp returns what was sent last on an open connection and is held up, nil if nothing was.
func (k *link) heldUp() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.open(c)
	}
}

func (k *link) open(c net.Conn) {
	k.mu.Lock()
	duringCut := k.isCut
	k.mu.Unlock()
	var ahead []byte
	if duringCut {
		// Read ahead, so that a sender that gives up before the end of the cut is noticed.
		var closed bool
		if ahead, closed = k.readAhead(c); closed {
			c.Close()
			return
		}
	}
	up, err := net.Dial("tcp", k.target)
	if err != nil {
		c.Close()
		return
	}
	if len(ahead) > 0 {
		_, _ = up.Write(ahead)
	}
	go k.copy(up, c)
	k.copy(c, up)
}

// readAhead reads what is sent until the cut has ended; closed if the sender has given up by then.
func (k *link) readAhead(c net.Conn) (ahead []byte, closed bool) {
	buffer := make([]byte, 64<<10)
	for {
		k.mu.Lock()
		cut := k.isCut
		k.mu.Unlock()
		if !cut {
			_ = c.SetReadDeadline(time.Time{})
			return ahead, false
		}
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := c.Read(buffer)
		ahead = append(ahead, buffer[:n]...)
		if e, ok := err.(net.Error); err != nil && (!ok || !e.Timeout()) {
			return nil, true
		}
	}
}

// copy forwards one direction; what is read during a cut waits until its end.
func (k *link) copy(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		delay := k.delay
		if k.isCut && n > 0 {
			k.held = append([]byte(nil), buffer[:n]...)
		}
		for k.isCut {
			k.healed.Wait()
		}
		k.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
