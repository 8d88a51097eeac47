package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one statement of a client that a backend has run.
type run struct{ id, server, service, tenant, text string }

// group is one service: a primary and its replicas, with synchronous_replicas = 1. Replicas receive a
// commit at once and apply it at once.
type group struct {
	mu      sync.Mutex
	service string
	servers []*server
	runs    []run
	signed  int
	// keepsNone is set if runs aren't recorded.
	keepsNone bool
	// lag is how long after it has received a commit a replica applies it.
	lag time.Duration
	// rising is the server that is about to lead, leaders are the orders that made a server lead.
	rising  *server
	leaders []order
}

type server struct {
	group    *group
	id       string
	zone     string
	address  string
	listener net.Listener
	primary  bool
	term     int
	// sealed is the term up to which the server receives nothing (PAUSE).
	sealed, number, conns int
	data                  map[string]string
	born                  int64
	// down is set while the server has crashed; open has its connections.
	down bool
	open map[net.Conn]bool
	// state is ready or draining.
	state string
	// pending has the times of the commits that a replica has received and not applied.
	pending []time.Time
}

func newGroup(service string, zones []string) *group {
	g := &group{service: service}
	for i, zone := range zones {
		g.join(zone).primary = i == 0
	}
	return g
}

// join starts a server, which has the log of the primary.
func (g *group) join(zone string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &server{
		group: g, id: fmt.Sprintf("i-%s%d", g.service, len(g.servers)), zone: zone, address: l.Addr().String(), listener: l, term: 1,
		data: map[string]string{}, born: time.Now().UnixMilli(), open: map[net.Conn]bool{}, state: "ready",
	}
	for _, o := range g.servers {
		if o.primary && !o.down {
			s.term, s.number = o.term, o.number
			for item, data := range o.data {
				s.data[item] = data
			}
		}
	}
	g.servers = append(g.servers, s)
	go s.accept()
	return s
}

// leave ends a server that has drained; its entry is removed.
func (s *server) leave(st *store) {
	s.group.mu.Lock()
	s.down = true
	s.listener.Close()
	for c := range s.open {
		c.Close()
	}
	s.group.mu.Unlock()
	st.remove("servers", s.id)
}

// register writes the entries of the group's servers every heartbeat until the program ends.
func (g *group) register(st *store, heartbeat time.Duration) {
	for sequence := 1; ; sequence++ {
		g.mu.Lock()
		servers := slices.Clone(g.servers)
		g.mu.Unlock()
		for _, s := range servers {
			s.list(st, sequence)
		}
		time.Sleep(heartbeat)
	}
}

// list writes the entry of a server.
func (s *server) list(st *store, sequence int) {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.down {
		return
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	st.set("servers", s.id, map[string]any{
		"service": g.service, "address": s.address, "zone": s.zone, "version": "1", "slots": 3, "state": s.state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": s.born, "database_role": role,
	})
}

// promote makes a server lead the next term some hundred ms later; it reports false if the server isn't running. An
// order for the server that leads, or is about to, changes nothing.
func (g *group) promote(id string, by order) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id || s.down {
			continue
		}
		if s.primary || g.rising == s {
			return true
		}
		g.rising = s
		time.AfterFunc(300*time.Millisecond, func() { g.lead(s, by) })
		return true
	}
	return false
}

func (g *group) lead(s *server, by order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rising != s {
		return
	}
	g.rising = nil
	term := 0
	for _, o := range g.servers {
		term = max(term, o.term)
	}
	for _, o := range g.servers {
		if !o.down {
			o.term, o.primary, o.sealed = term+1, o == s, 0
		}
	}
	g.leaders = append(g.leaders, by)
	note("platform: %s leads term %d by the order of %s, token %d", s.id, term+1, by.holder, by.token)
}

func (g *group) ran(id string) []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []run
	for _, r := range g.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// crash ends a server for good, as the loss of its process would; its entry expires after three heartbeats.
func (s *server) crash(st *store, heartbeat time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	s.listener.Close()
	for c := range s.open {
		c.Close()
	}
	note("backend: %s crashes", s.id)
	time.AfterFunc(3*heartbeat, func() { st.remove("servers", s.id) })
}

// primaryServer returns the running primary, nil if there is none.
func (g *group) primaryServer() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.primary && !s.down {
			return s
		}
	}
	return nil
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// session is one connection to a server.
type session struct {
	server   *server
	tenant   string
	state    byte
	writes   [][2]string
	prepared map[string][2]string
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := readMessage(r)
	if err != nil {
		return
	}
	f := strings.SplitN(line, " ", 4)
	if len(f) < 3 || f[0] != "START" || f[1] != s.group.service || len(f) == 4 && f[3] != s.id {
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", s.id)
		return
	}
	s.group.mu.Lock()
	if s.down {
		s.group.mu.Unlock()
		return
	}
	s.conns++
	s.open[c] = true
	s.group.mu.Unlock()
	defer func() {
		s.group.mu.Lock()
		delete(s.open, c)
		s.conns--
		s.group.mu.Unlock()
	}()
	q := &session{server: s, tenant: f[2], state: 'I', prepared: map[string][2]string{}}
	s.group.mu.Lock()
	hello := fmt.Sprintf("READY I %s\r\n", s.position())
	s.group.mu.Unlock()
	if _, err := c.Write([]byte(hello)); err != nil {
		return
	}
	for {
		line, err := readMessage(r)
		if err != nil || line == "TERMINATE" {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		time.Sleep(2 * time.Millisecond)
		s.group.mu.Lock()
		answer := q.run(f[1], f[2])
		answer += fmt.Sprintf("READY %c %s\r\n", q.state, s.position())
		s.group.mu.Unlock()
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// position is how far the server has applied its log, received how far it has received it. A replica applies what it has
// received after the group's lag.
func (s *server) position() string { return fmt.Sprintf("%d.%d", s.term, s.applied()) }

func (s *server) received() string { return fmt.Sprintf("%d.%d", s.term, s.number) }

func (s *server) applied() int {
	if s.primary || s.group.lag == 0 {
		return s.number
	}
	for len(s.pending) > 0 && time.Since(s.pending[0]) >= s.group.lag {
		s.pending = s.pending[1:]
	}
	return s.number - len(s.pending)
}

func readMessage(r *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := r.ReadString('\n')
		line.WriteString(part)
		if err != nil {
			return "", err
		}
		if text := line.String(); strings.HasSuffix(text, "\r\n") {
			return text[:len(text)-2], nil
		}
	}
}

// run runs one statement; the group is locked.
func (q *session) run(id, text string) string {
	s := q.server
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(rest, " ")
		t, n, _ := strings.Cut(position, ".")
		term, _ := strconv.Atoi(t)
		number, _ := strconv.Atoi(n)
		if term > s.term || number > s.applied() {
			return "ERROR LAGGING " + s.id + "\r\n"
		}
		text = statement
	}
	f := strings.SplitN(text, " ", 4)
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	switch f[0] {
	case "STATUS":
	case "PAUSE":
		if term, _ := strconv.Atoi(arg(1)); !s.primary && term > s.term {
			s.sealed = term
		}
	case "RESUME":
		s.sealed = 0
	case "DEMOTE":
		if term, _ := strconv.Atoi(arg(1)); s.primary && term > s.term {
			s.primary = false
		}
	case "SET", "RESET", "DEALLOCATE":
		return "COMPLETE -\r\n"
	case "PREPARE":
		q.prepared[arg(1)] = [2]string{arg(2), arg(3)}
		return "COMPLETE -\r\n"
	case "BEGIN":
		if arg(1) != "READ" && !s.primary {
			return "ERROR READONLY " + s.id + "\r\n"
		}
		q.state = 'T'
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		q.state, q.writes = 'I', nil
		return "COMPLETE -\r\n"
	case "COMMIT":
		q.apply(q.writes)
		q.state, q.writes = 'I', nil
		return q.done(id, text, "")
	case "READ":
		return q.done(id, text, s.data[arg(1)])
	case "WRITE":
		return q.write(id, text, arg(1), strings.Join(f[2:], " "))
	case "EXECUTE":
		p, known := q.prepared[arg(1)]
		if !known {
			return "ERROR NOSUCHNAME " + s.id + "\r\n"
		}
		if p[0] == "READ" {
			return q.done(id, text, s.data[arg(2)])
		}
		return q.write(id, text, arg(2), arg(3))
	default:
		return "ERROR MALFORMED " + s.id + "\r\n"
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -\r\n", role, s.term, s.received(), s.sealed, s.conns)
}

func (q *session) write(id, text, item, data string) string {
	s := q.server
	if !s.primary {
		if q.state == 'T' {
			q.state = 'E'
		}
		return "ERROR READONLY " + s.id + "\r\n"
	}
	if q.state == 'T' {
		q.writes = append(q.writes, [2]string{item, data})
	} else {
		q.apply([][2]string{{item, data}})
	}
	return q.done(id, text, "")
}

// apply commits writes at the primary and hands them to the replicas.
func (q *session) apply(writes [][2]string) {
	if len(writes) == 0 {
		return
	}
	for _, s := range q.server.group.servers {
		if s.down || s != q.server && s.sealed > q.server.term {
			continue
		}
		s.number++
		s.pending = append(s.pending, time.Now())
		if s.primary || s.group.lag == 0 {
			s.pending = nil
		}
		for _, w := range writes {
			s.data[w[0]] = w[1]
		}
	}
}

func (q *session) done(id, text, row string) string {
	g := q.server.group
	g.signed++
	if len(text) > 200 {
		text = fmt.Sprintf("%s... (%d bytes)", text[:40], len(text))
	}
	if !g.keepsNone {
		g.runs = append(g.runs, run{id, q.server.id, g.service, q.tenant, text})
	}
	answer := fmt.Sprintf("COMPLETE sig.%x.%s\r\n", g.signed, id)
	if row != "" {
		answer = "ROW " + row + "\r\n" + answer
	}
	return answer
}
