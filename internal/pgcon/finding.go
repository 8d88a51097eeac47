package pgcon

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/proto"
)

// surplus returns the error of a message that does not answer what was sent.
func surplus(what string) error {
	return &proto.ProtocolError{Violation: proto.Repeated, What: what}
}

// errMarkerRefused reports that a server answers markers with an error, so that nothing can be proven.
var errMarkerRefused = &proto.ProtocolError{What: "server refused a marker"}

// unsupportedError reports that a server began what the proxy does not support; the server is not at fault.
type unsupportedError struct{ what string }

// Error implements error.
func (e *unsupportedError) Error() string { return e.what + " is not supported" }

// fail reports an error that is a violation of the protocol and closes the connection.
func (c *Conn) fail(ctx context.Context, stage proto.Stage, err error) error {
	if stage == proto.Answering {
		err = proto.InsideAnswer(err)
	}
	return c.link.Abort(ctx, stage, err)
}

// unaskedTimeout bounds the wait for bytes that have arrived.
const unaskedTimeout = time.Millisecond

// Condition implements proto.Conn.
func (c *Conn) Condition() proto.Condition {
	condition := c.link.Condition()
	if condition == proto.Surplus || condition == proto.Usable && c.reader.Buffered() > 0 {
		condition = c.unasked()
	}
	if condition == proto.Surplus && c.controls {
		c.link.FindError(surplus("bytes have arrived between two control functions"))
		return proto.Usable
	}
	return condition
}

// unasked returns the condition of a connection on which bytes have arrived. A server may send notices, parameters and
// notifications at any time, and announces with a fatal error that it ends the connection.
func (c *Conn) unasked() proto.Condition {
	_ = c.link.SetReadDeadline(clock.Deadline(unaskedTimeout))
	_, err := c.reader.Peek(headerSize)
	_ = c.link.SetReadDeadline(time.Time{})
	if err != nil {
		return proto.Surplus
	}
	for c.reader.Buffered() > 0 {
		message, ok := c.bufferedMessage()
		if !ok {
			return proto.Surplus
		}
		switch message[0] {
		case 'N', 'S', 'A':
		case 'E':
			if isFatal(message[headerSize:]) {
				return proto.Ended
			}
			return proto.Surplus
		default:
			return proto.Surplus
		}
		_, _ = c.reader.Discard(len(message))
	}
	return c.link.Condition()
}

// bufferedMessage returns the next message if the whole of it is in the buffer.
func (c *Conn) bufferedMessage() ([]byte, bool) {
	head, err := c.reader.Peek(min(headerSize, c.reader.Buffered()))
	if err != nil || len(head) < headerSize {
		return nil, false
	}
	end := 1 + int(binary.BigEndian.Uint32(head[1:]))
	if end < headerSize || end > c.reader.Buffered() {
		return nil, false
	}
	message, err := c.reader.Peek(end)
	return message, err == nil
}

func isFatal(body []byte) bool {
	var e pgproto3.ErrorResponse
	if e.Decode(body) != nil {
		return false
	}
	return e.Severity == "FATAL" || e.Severity == "PANIC" || e.SeverityUnlocalized == "FATAL" || e.SeverityUnlocalized == "PANIC"
}
