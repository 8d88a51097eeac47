//go:build ignore

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// session is a client's connection to a node.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// reply is the answer to one request.
type reply struct {
	id     string
	rows   []string
	result string
	state  string
	err    error
}

func (r reply) ok() bool { return r.err == nil && strings.HasPrefix(r.result, "COMPLETE") }

func open(address, database, key string) (*session, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, reader: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "START %s %s\r\n", database, key); err != nil {
		c.Close()
		return nil, err
	}
	line, err := s.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("START is answered with %q", line)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { s.conn.Close() }

func newID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|lastID.Add(1)&0xff) }

// query sends one statement and reads its answer.
func (s *session) query(text string, limit time.Duration) reply {
	r := reply{id: newID()}
	_ = s.conn.SetDeadline(time.Now().Add(limit))
	if _, r.err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", r.id, text); r.err != nil {
		return r
	}
	return s.read(r)
}

func (s *session) read(r reply) reply {
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			r.err = err
			return r
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch word, rest, _ := strings.Cut(line, " "); word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r
		default:
			r.result = line
		}
	}
}
