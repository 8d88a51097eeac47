package pgcon

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"geraniumseam.dev/internal/proto"
)

// exchange is what is sent to the server in one write, and the answers to it.
type exchange struct {
	conn    *Conn
	matcher matcher
	// sink receives the caller's answer, once it is proven to be that.
	sink   proto.Sink
	answer proto.Answer
	// raw holds what the server has sent, until it is more than heldSize, and held the part of the answer that is
	// not passed on yet.
	raw, held []byte
	// injections are the answers of the proxy, toInject those that are still to be inserted, and answered is how
	// many messages of the request the server has answered.
	injections, toInject []proto.InjectedMessage
	answered             int
	// parsed is how many of the injected statements the server has confirmed.
	parsed int
	// row holds the values of a control function's rows, and refusal the SQLSTATE of its error.
	row     []string
	refusal string
	stage   proto.Stage
	// streaming is set once a part of the answer was passed on before the marker, long once raw has lost some.
	streaming, long bool
}

// begin begins an exchange with the buffers of the last one.
func (c *Conn) begin(sink proto.Sink) *exchange {
	x := &c.exchange
	*x = exchange{conn: c, sink: sink, raw: x.raw[:0], held: x.held[:0], matcher: matcher{slots: x.matcher.slots[:0]}}
	if cap(x.raw) > emitSize {
		x.raw = nil
	}
	if cap(x.held) > emitSize {
		x.held = nil
	}
	return x
}

// appendEnd appends the next marker and a Sync to what is sent.
func (x *exchange) appendEnd(out []byte, sync origin) []byte {
	x.conn.lastMarker++
	x.matcher.marker = x.conn.lastMarker
	x.matcher.slots = append(x.matcher.slots, slot{partParse, byMarker}, slot{partMarker, byMarker}, slot{partSync, sync})
	return appendSync(appendMarker(out, x.matcher.marker))
}

// run writes messages and reads the answers to all of them. An error of the server before the marker, in the same
// Sync, has the marker skipped; then another one is sent.
func (x *exchange) run(ctx context.Context, out []byte) error {
	x.stage = proto.Sent
	if n, err := x.conn.link.Write(out); err != nil {
		if n == 0 {
			x.stage = proto.Unsent
		}
		return x.conn.fail(ctx, x.stage, err)
	}
	err := x.read()
	if err == nil && !x.matcher.proven {
		if _, err = x.conn.link.Write(x.appendEnd(nil, byMarker)); err == nil {
			err = x.read()
		}
	}
	if err == nil && !x.matcher.proven {
		err = errMarkerRefused
	}
	if err != nil {
		return x.conn.fail(ctx, x.stage, err)
	}
	return nil
}

// read reads messages until all that were sent are answered.
func (x *exchange) read() error {
	for !x.matcher.done() {
		start := len(x.raw)
		if err := x.receive(); err != nil {
			return err
		}
		if err := x.take(x.raw[start:]); err != nil {
			return x.settle(err)
		}
		if len(x.raw) > heldSize {
			x.raw, x.long = x.raw[:0], true
		}
		if len(x.held) > heldSize || x.streaming && len(x.held) >= emitSize {
			if err := x.stream(); err != nil {
				return err
			}
		}
	}
	return nil
}

// receive reads a message and appends it to raw.
func (x *exchange) receive() error {
	kind, size, err := x.conn.readHeader()
	if err != nil {
		return err
	}
	x.stage = proto.Answering
	x.raw = append(x.raw, kind)
	x.raw = binary.BigEndian.AppendUint32(x.raw, uint32(size+lengthSize))
	x.raw, err = x.conn.appendBody(x.raw, size)
	return err
}

// take handles a message, and holds it if it is to be passed on.
func (x *exchange) take(message []byte) error {
	start := len(x.held)
	x.held = append(x.held, message...)
	keep, err := x.handle(message[0], start)
	if !keep {
		x.held = x.held[:start]
	}
	return err
}

// handle handles the message that begins at start, the last one held; it reports whether the message is passed on.
func (x *exchange) handle(kind byte, start int) (keep bool, err error) {
	m := &x.matcher
	body := x.held[start+headerSize:]
	from := m.slots[m.at].origin
	switch kind {
	case 'S', 'A':
		return false, nil
	case 'N':
		if from == byCaller {
			x.insertDue(start)
		}
		return from == byCaller, nil
	case 'G', 'H', 'W':
		return false, &unsupportedError{"COPY, which the server started,"}
	}
	ok, complete := m.match(kind, body)
	if !ok {
		return false, surplus(fmt.Sprintf("message of type %q does not answer message %d of %d", kind, m.at+1, len(m.slots)))
	}
	switch from {
	case byInjection:
		if kind == 'E' {
			x.noteError(body)
			return true, nil
		}
		x.parsed++
		return false, nil
	case byControl:
		return false, x.handleControl(kind, body)
	case byMarker:
		if kind == 'E' {
			return false, errMarkerRefused
		}
		return false, nil
	}
	x.note(kind, body)
	if kind != 'E' && x.answer.ErrorCode == "" {
		x.insertDue(start)
	}
	if complete {
		x.answered++
	}
	return true, nil
}

// note records what a message of the caller's answer says.
func (x *exchange) note(kind byte, body []byte) {
	switch kind {
	case 'C':
		x.answer.Tag = strings.TrimRight(string(body), "\x00")
		x.answer.Completed = x.answer.Completed || x.answer.ErrorCode == ""
	case 'E':
		x.noteError(body)
	case 'Z':
		x.answer.TxStatus = body[0]
	}
}

func (x *exchange) noteError(body []byte) {
	if x.answer.ErrorCode != "" {
		return
	}
	x.answer.ErrorCode = errorCode(body)
	if x.answer.ErrorCode == codeReadOnly {
		x.answer.Refusal = proto.ReadOnly
	}
}

// handleControl handles a message of the answer to a control function.
func (x *exchange) handleControl(kind byte, body []byte) error {
	switch kind {
	case 'D':
		var data pgproto3.DataRow
		if err := data.Decode(body); err != nil {
			return errors.Trace(err)
		}
		for _, value := range data.Values {
			x.row = append(x.row, string(value))
		}
	case 'E':
		x.refusal = errorCode(body)
	}
	return nil
}

// insertDue inserts the answers of the proxy that are due before the message that begins at start.
func (x *exchange) insertDue(start int) {
	count := 0
	for count < len(x.toInject) && x.toInject[count].After <= x.answered {
		count++
	}
	if count == 0 {
		return
	}
	var due []byte
	for _, m := range x.toInject[:count] {
		due = append(due, m.Kind, 0, 0, 0, lengthSize)
	}
	x.toInject = x.toInject[count:]
	x.held = slices.Insert(x.held, start, due...)
}

// stream passes on the beginning of an answer that is too long to be held until the marker. A surplus answer
// repeats one of this connection, and there was no long one; so this one is the request's. The connection is
// not reused, and later long answers of its transaction are held.
func (x *exchange) stream() error {
	if x.conn.streamed && !x.streaming {
		return nil
	}
	x.conn.streamed, x.streaming = true, true
	x.conn.link.MarkBroken()
	return x.emit()
}

// emit passes on what is held.
func (x *exchange) emit() error {
	if len(x.held) == 0 {
		return nil
	}
	err := x.sink.Emit(x.held)
	x.held = x.held[:0]
	return err
}
