package pgcon

import (
	"bytes"
	"encoding/binary"

	"geraniumseam.dev/internal/proto"
)

// origin says for whom a message was sent.
type origin uint8

const (
	// byCaller is a message of the request.
	byCaller origin = iota
	// byInjection is the Parse of a statement that the request uses.
	byInjection
	// byControl is a message of a control function.
	byControl
	// byMarker is a message of a marker.
	byMarker
)

// part is a kind of message that a server answers.
type part uint8

const (
	partQuery part = iota
	// partQueries is a Query of several statements.
	partQueries
	partParse
	partBind
	partClose
	partDescribeStatement
	partDescribePortal
	partExecute
	// partMarker is the Describe of a marker.
	partMarker
	partSync
)

// slot is a message that was sent and whose answer is awaited.
type slot struct {
	part   part
	origin origin
}

// controlSlots are the messages of a control function.
var controlSlots = []slot{{partParse, byControl}, {partBind, byControl}, {partExecute, byControl}}

// appendSlots appends the messages of a request; it fails if they are malformed.
func appendSlots(to []slot, messages []byte) ([]slot, error) {
	for len(messages) > 0 {
		if len(messages) < headerSize {
			return to, &proto.ProtocolError{What: "request ends within the header of a message"}
		}
		end := 1 + int(binary.BigEndian.Uint32(messages[1:]))
		if end < headerSize || end > len(messages) {
			return to, &proto.ProtocolError{What: "length field of a request's message does not fit the request"}
		}
		p, ok := partOf(messages[0], messages[headerSize:end])
		if !ok {
			return to, &proto.ProtocolError{What: "request contains a message that is not a Query, Parse, Bind, Describe, Execute, Close or Sync"}
		}
		to = append(to, slot{p, byCaller})
		messages = messages[end:]
	}
	return to, nil
}

func partOf(kind byte, body []byte) (part, bool) {
	switch kind {
	case 'Q':
		if bytes.IndexByte(bytes.TrimRight(body, "\x00; \t\r\n"), ';') < 0 {
			return partQuery, true
		}
		return partQueries, true
	case 'P':
		return partParse, true
	case 'B':
		return partBind, true
	case 'C':
		return partClose, true
	case 'D':
		if len(body) > 0 && body[0] == 'S' {
			return partDescribeStatement, true
		}
		return partDescribePortal, true
	case 'E':
		return partExecute, true
	case 'S':
		return partSync, true
	}
	return 0, false
}

// matcher checks that each message that was sent gets exactly one answer, in order.
type matcher struct {
	slots []slot
	at    int
	// marker is the number of the marker among the slots, and proven is set once its answer was seen: then the
	// answers before it belong to the messages before it.
	marker markerID
	proven bool
	// failed is set from an error to the end of its Query or the next Sync.
	failed bool
	// typed is set once the Describe of a statement has got its parameter types.
	typed bool
	// described and completed are whether the current statement of a Query has described its rows, and whether
	// one has completed.
	described, completed bool
}

// restart has the answers matched from the beginning.
func (m *matcher) restart() { *m = matcher{slots: m.slots, marker: m.marker} }

// syncs returns how many answers are due, each up to its ReadyForQuery.
func (m *matcher) syncs() int {
	count := 0
	for _, s := range m.slots {
		if s.part == partQuery || s.part == partQueries || s.part == partSync {
			count++
		}
	}
	return count
}

// done reports whether all messages are answered.
func (m *matcher) done() bool { return m.at == len(m.slots) }

// match reports whether a message of the server is an answer to the next message that was sent, or a part of
// one, and whether it is the last part.
func (m *matcher) match(kind byte, body []byte) (ok, complete bool) {
	if m.done() {
		return false, false
	}
	p := m.slots[m.at].part
	switch {
	case kind == 'E':
		return m.fail(), false
	case p == partQuery || p == partQueries:
		ok, complete = m.matchQuery(kind, body, p == partQueries)
	case m.failed && p != partSync:
		return false, false
	case kind == 't' && p == partDescribeStatement && !m.typed:
		m.typed = true
		return true, false
	case kind == 't' && p == partMarker && !m.proven && m.marker.describes(body):
		m.proven = true
		return true, false
	case kind == 'D' && p == partExecute:
		return true, false
	default:
		ok = m.matchOne(p, kind, body)
		complete = ok
	}
	if complete {
		m.at++
	}
	return ok, complete
}

// matchOne reports whether a message ends the answer to a message of the extended query protocol.
func (m *matcher) matchOne(p part, kind byte, body []byte) bool {
	switch p {
	case partParse:
		return kind == '1' && len(body) == 0
	case partBind:
		return kind == '2' && len(body) == 0
	case partClose:
		return kind == '3' && len(body) == 0
	case partDescribeStatement:
		typed := m.typed
		m.typed = false
		return typed && (kind == 'T' || kind == 'n' && len(body) == 0)
	case partDescribePortal:
		return kind == 'T' || kind == 'n' && len(body) == 0
	case partExecute:
		return kind == 'C' || (kind == 'I' || kind == 's') && len(body) == 0
	case partMarker:
		return kind == 'n' && len(body) == 0 && m.proven
	case partSync:
		m.failed = m.failed && kind != 'Z'
		return kind == 'Z' && len(body) == 1
	}
	return false
}

// fail handles an error: the server skips what follows up to the end of the Query or the next Sync.
func (m *matcher) fail() bool {
	if m.failed {
		return false
	}
	// What precedes an error in the marker's own Sync is not proven by it, as the Sync's answer is missing.
	m.failed, m.proven, m.typed = true, false, false
	for p := m.slots[m.at].part; p != partQuery && p != partQueries && p != partSync; p = m.slots[m.at].part {
		m.at++
	}
	return true
}

// matchQuery reports whether a message is a part of the answer to a Query, and whether it is the last one.
func (m *matcher) matchQuery(kind byte, body []byte, several bool) (ok, complete bool) {
	if kind == 'Z' {
		ok = len(body) == 1 && (m.failed || m.completed && !m.described)
		m.failed, m.described, m.completed = false, false, false
		return ok, ok
	}
	if m.failed || m.completed && !several {
		return false, false
	}
	switch kind {
	case 'T':
		// A rule may add rows of another query to a statement.
		ok, m.described = true, true
	case 'D':
		ok = m.described
	case 'C', 'I':
		ok = true
		m.described, m.completed = false, true
	}
	return ok, false
}
