//go:build ignore

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"geraniumseam.dev/platform/ptest"
)

// strictGroup is a database group without failover, whose servers read the wire to the letter: a message ends
// at CR LF only. It notes each statement that a client's id came with.
type strictGroup struct {
	name   string
	mu     sync.Mutex
	data   map[string]string
	number int
	ran    []statement
	// keepsNone is set for a long run, in which no statements are noted.
	keepsNone bool
	servers   []*strictServer
	store     *ptest.Store
	delay     time.Duration
}

type strictServer struct {
	group    *strictGroup
	id       string
	zone     string
	primary  bool
	listener net.Listener
	address  string
	born     int64
	sequence int
	conns    map[net.Conn]bool
}

// statement is a statement as a server received and ran it.
type statement struct{ server, id, text string }

func newStrictGroup(f *fleet, name string, zones []string) *strictGroup {
	g := &strictGroup{name: name, data: map[string]string{}, store: f.store}
	for _, zone := range zones {
		g.join(zone)
	}
	return g
}

// join starts a server and lists it; the first one is the primary.
func (g *strictGroup) join(zone string) *strictServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(unable)
	}
	s := &strictServer{group: g, id: fmt.Sprintf("i-%s-%d", g.name, len(g.servers)), zone: zone, primary: len(g.servers) == 0, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	if g.delay > 0 {
		path := newLink(s.address)
		path.delay, s.address = g.delay, path.addr()
	}
	g.servers = append(g.servers, s)
	go s.accept()
	s.list("ready")
	return s
}

// list writes the server's entry.
func (s *strictServer) list(state string) {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.sequence++
	s.group.store.Set("servers", s.id, map[string]any{
		"service": s.group.name, "address": s.address, "zone": s.zone, "slots": 3, "state": state, "born": s.born, "sequence": s.sequence,
		"database_role": role, "version": "v1", "cold_remaining_ms": 0,
	})
}

// leave removes the server's entry and ends the server.
func (s *strictServer) leave() {
	s.group.store.Remove("servers", s.id)
	s.listener.Close()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *strictServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// readMessage reads up to CR LF.
func readMessage(r *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := r.ReadBytes('\n')
		message = append(message, part...)
		if err != nil {
			return "", err
		}
		if bytes.HasSuffix(message, []byte("\r\n")) {
			return string(message[:len(message)-2]), nil
		}
	}
}

func (s *strictServer) serve(c net.Conn) {
	defer c.Close()
	g, r := s.group, bufio.NewReader(c)
	g.mu.Lock()
	s.conns[c] = true
	g.mu.Unlock()
	start, err := readMessage(r)
	fields := strings.Fields(start)
	if err != nil || len(fields) < 3 || fields[0] != "START" {
		return
	}
	if fields[1] != g.name || len(fields) > 3 && fields[3] != s.id {
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	g.mu.Lock()
	fmt.Fprintf(c, "READY I 1.%d\r\n", g.number)
	g.mu.Unlock()
	state := "I"
	for {
		message, err := readMessage(r)
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(message, " ")
		if kind == "TERMINATE" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		body := "ERROR MALFORMED " + s.id + "\r\n"
		if kind == "QUERY" {
			body = s.run(id, text, &state)
		}
		fmt.Fprintf(c, "%sREADY %s 1.%d\r\n", body, state, g.number)
		g.mu.Unlock()
	}
}

// run runs a statement outside of a transaction; the caller holds the mutex.
func (s *strictServer) run(id, text string, state *string) string {
	g := s.group
	if id != "-" && !g.keepsNone {
		g.ran = append(g.ran, statement{s.id, id, text})
	}
	complete := "COMPLETE sig-" + s.id + "-" + id + "\r\n"
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		_, inner, _ := strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(inner, " ")
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		role := "replica"
		if s.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s 1 1.%d 0 0 0 1\r\nCOMPLETE -\r\n", role, g.number)
	case "SET", "RESET", "PREPARE", "DEALLOCATE", "ROLLBACK":
		return "COMPLETE -\r\n"
	case "READ":
		return "ROW " + g.data[rest] + "\r\n" + complete
	case "WRITE":
		if !s.primary {
			return "ERROR READONLY " + s.id + "\r\n"
		}
		item, data, _ := strings.Cut(rest, " ")
		g.data[item] = data
		g.number++
		return complete
	}
	return "ERROR MALFORMED " + s.id + "\r\n"
}

func (g *strictGroup) statements() []statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]statement(nil), g.ran...)
}

// smuggled sends writes whose last field holds a line feed, and one whose last field holds the text of another
// message after it.
func smuggled() {
	f := newFleet(fleetConfig{
		zones:        []string{"north-a", "north-a", "north-a", "central-a", "central-a", "south-a"},
		tenants:      []tenant{{"house", "key-house", 500, 500}},
		withoutGroup: true,
	})
	g := newStrictGroup(f, "ledger", []string{"north-a", "central-a", "south-a"})
	time.Sleep(3 * time.Second)
	sent := map[string]string{}
	for at, n := range f.nodes {
		s, err := open(n.front(), "latest", "key-house")
		if err != nil {
			fatal(f, "%s: START: %v", n.name, err)
		}
		data := "frame 4711, hall 2"
		switch {
		case f.trouble && at%2 == 0:
			data = "frame 4711\nhall 2"
		case f.trouble:
			data = fmt.Sprintf("frame 4711\nQUERY %s WRITE victim%d by-nobody", newID(), at)
		}
		text := fmt.Sprintf("WRITE item%d %s", at, data)
		r := s.query(text, 3*time.Second)
		sent[r.id] = text
		f.logf("client of %s sends one message, QUERY %s %q: answered %s %v", n.name, r.id, text, r.result, r.err)
		time.Sleep(300 * time.Millisecond)
		s.close()
		if !f.trouble && !r.ok() {
			fatal(f, "the write failed")
		}
	}
	foreign, changed, example := 0, 0, ""
	for _, s := range g.statements() {
		f.logf("backend %s runs QUERY %s %q", s.server, s.id, s.text)
		text, known := sent[s.id]
		switch {
		case !known:
			foreign++
			example = fmt.Sprintf("backend %s ran QUERY %s %q, which no client sent as a message", s.server, s.id, s.text)
		case text != s.text:
			changed++
		}
	}
	if foreign+changed > 0 {
		f.finish(broken, fmt.Sprintf("UNASKED: %d statements ran with changed text, %d that no client sent; %s", changed, foreign, example))
	}
	f.finish(held, fmt.Sprintf("held: %d statements ran as they were sent", len(g.statements())))
}
