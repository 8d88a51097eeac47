package pgcon

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/proto"
)

// settle reads on after a message that does not answer what was sent, up to the answer to another marker, which comes
// alone, as an error may have skipped the first one. If one Sync ends all that was sent and the first marker is
// answered, the answer with its number is the request's. Otherwise the request's is among those before it; if they
// are all the same bytes, it is known all the same. Else settle returns the error that it was given.
func (x *exchange) settle(cause error) error {
	var violation *proto.ProtocolError
	if !errors.As(cause, &violation) || violation.Violation != proto.Repeated || x.long || x.streaming || x.refusal != "" {
		return cause
	}
	first, sent := x.matcher.marker, len(x.matcher.slots)
	if _, err := x.conn.link.Write(x.appendEnd(nil, byMarker)); err != nil {
		return cause
	}
	answers, ok := x.readToMarker()
	if !ok {
		return cause
	}
	end := len(answers) - 1
	if at := slices.IndexFunc(answers, first.isIn); at >= 0 {
		end, x.matcher.marker, x.matcher.slots = at, first, x.matcher.slots[:sent]
	}
	before, last := answers[:end], answers[end]
	if x.matcher.syncs() == 1 {
		before = nil
	}
	for _, other := range before {
		if !bytes.Equal(other, before[0]) {
			return cause
		}
	}
	if len(before) > 0 {
		last = slices.Concat(before[0], last)
	}
	if !x.replay(last) {
		return cause
	}
	x.conn.link.FindError(cause)
	if !x.conn.controls {
		x.conn.link.MarkBroken()
	}
	return nil
}

// readToMarker reads up to the end of the answer with the marker's number; it returns all answers, each up to its
// ReadyForQuery.
func (x *exchange) readToMarker() (answers [][]byte, ok bool) {
	for start, at := 0, 0; ; {
		if at == len(x.raw) && (len(x.raw) > heldSize || x.receive() != nil) {
			return nil, false
		}
		message := firstMessage(x.raw[at:])
		at += len(message)
		if message[0] != 'Z' {
			continue
		}
		// raw may be moved as it grows.
		answers = append(answers, bytes.Clone(x.raw[start:at]))
		start = at
		if x.matcher.marker.isIn(answers[len(answers)-1]) {
			return answers, true
		}
	}
}

// isIn reports whether an answer holds the marker's number.
func (m markerID) isIn(answer []byte) bool {
	for len(answer) > 0 {
		message := firstMessage(answer)
		if message[0] == 't' && m.describes(message[headerSize:]) {
			return true
		}
		answer = answer[len(message):]
	}
	return false
}

// replay matches messages from the beginning; it reports whether they answer all that was sent.
func (x *exchange) replay(messages []byte) bool {
	*x = exchange{conn: x.conn, sink: x.sink, raw: x.raw, held: x.held[:0], matcher: x.matcher, injections: x.injections, toInject: x.injections, stage: x.stage}
	x.matcher.restart()
	for len(messages) > 0 {
		message := firstMessage(messages)
		if x.matcher.done() || x.take(message) != nil {
			return false
		}
		messages = messages[len(message):]
	}
	return x.matcher.done() && x.matcher.proven
}

// firstMessage returns the first of several whole messages.
func firstMessage(messages []byte) []byte {
	return messages[:1+binary.BigEndian.Uint32(messages[1:])]
}
