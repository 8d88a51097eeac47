package rept

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
)

// Proxy forwards requests to a target and repeats the answers.
type Proxy struct {
	listener net.Listener
	target   string
	repeated atomic.Int64
	crossed  atomic.Int64
}

// New starts a proxy on loopback.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops accepting connections.
func (p *Proxy) Close() { p.listener.Close() }

// Repeated returns how many answers were given again.
func (p *Proxy) Repeated() int64 { return p.repeated.Load() }

// Crossed returns how many of them were given while another request waited for its answer.
func (p *Proxy) Crossed() int64 { return p.crossed.Load() }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards the requests of one connection, one after the other.
func (p *Proxy) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var last []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if last != nil {
			p.repeated.Add(1)
			p.crossed.Add(1)
			if _, err := conn.Write(last); err != nil {
				return
			}
		}
		if last, err = p.forward(request); err != nil {
			return
		}
		if _, err := conn.Write(last); err != nil || request.Close {
			p.repeated.Add(1)
			_, _ = conn.Write(last)
			return
		}
	}
}

// forward passes a request on over a connection of its own and returns the answer.
func (p *Proxy) forward(request *http.Request) ([]byte, error) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return nil, err
	}
	defer upstream.Close()
	if err := request.Write(upstream); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(upstream), request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return httputil.DumpResponse(response, true)
}
