package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxHeldAnswer is how much of the answer to a read is held back, so that the read can still be
// retried, in bytes.
const maxHeldAnswer = 256 << 10

// readyForQueryLength is the length of a ReadyForQuery message, in bytes.
const readyForQueryLength = 6

// callerSink holds an answer back until its outcome is known. A long answer to a read is sent
// on as it arrives.
type callerSink struct {
	session *pgSession
	stream  bool
	emitted bool
	held    []byte
	// beforeReady holds the proxy's own messages that go before the final ReadyForQuery.
	beforeReady []byte
}

// Emit implements proto.Sink.
func (c *callerSink) Emit(messages []byte) error {
	if c.stream && (c.emitted || len(c.held)+len(messages) > maxHeldAnswer) {
		return c.send(messages)
	}
	c.held = append(c.held, messages...)
	return nil
}

// send writes the held part of the answer and then messages to the caller.
func (c *callerSink) send(messages []byte) error {
	c.emitted = true
	if len(c.held) > 0 {
		if _, err := c.session.conn.Write(c.held); err != nil {
			return err
		}
		c.held = nil
	}
	_, err := c.session.conn.Write(messages)
	return err
}

// addBeforeReady adds a message of the proxy before the final ReadyForQuery.
func (c *callerSink) addBeforeReady(m pgproto3.BackendMessage) {
	c.beforeReady, _ = m.Encode(c.beforeReady)
}

// finish sends the rest of the answer; omitReady omits the ReadyForQuery. It reports whether the
// caller could be reached.
func (c *callerSink) finish(omitReady bool) bool {
	held := c.held
	if len(c.beforeReady) > 0 || omitReady {
		held = c.insertBeforeReady(held, omitReady)
	}
	if len(held) == 0 {
		return true
	}
	_, err := c.session.conn.Write(held)
	return err == nil
}

// insertBeforeReady puts the proxy's own messages before the final ReadyForQuery or, with
// omitReady, in its place.
func (c *callerSink) insertBeforeReady(held []byte, omitReady bool) []byte {
	if len(held) < readyForQueryLength {
		return held
	}
	end := len(held) - readyForQueryLength
	ready := append([]byte(nil), held[end:]...)
	held = append(held[:end], c.beforeReady...)
	if omitReady {
		return held
	}
	return append(held, ready...)
}
