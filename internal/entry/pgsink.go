package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// heldAnswer is how much of a read's answer is held back so that it can still be retried, in bytes.
const heldAnswer = 256 << 10

// readyFrame is the length of a ReadyForQuery message, in bytes.
const readyFrame = 6

// callerSink holds an answer back until its outcome is known; a long answer to a
// read is passed on while it comes.
type callerSink struct {
	session *pgSession
	stream  bool
	passed  bool
	held    []byte
	first   []byte
}

// Emit implements proto.Sink.
func (c *callerSink) Emit(messages []byte) error {
	if c.stream && (c.passed || len(c.held)+len(messages) > heldAnswer) {
		return c.pass(messages)
	}
	c.held = append(c.held, messages...)
	return nil
}

func (c *callerSink) pass(messages []byte) error {
	c.passed = true
	if len(c.held) > 0 {
		if _, err := c.session.conn.Write(c.held); err != nil {
			return err
		}
		c.held = nil
	}
	_, err := c.session.conn.Write(messages)
	return err
}

// before puts a message of the proxy's own in front of the final ReadyForQuery.
func (c *callerSink) before(m pgproto3.BackendMessage) {
	c.first, _ = m.Encode(c.first)
}

// finish sends what was held back; quiet leaves out the ReadyForQuery.
func (c *callerSink) finish(quiet bool) bool {
	held := c.held
	if len(c.first) > 0 || quiet {
		held = c.arrange(held, quiet)
	}
	if len(held) == 0 {
		return true
	}
	_, err := c.session.conn.Write(held)
	return err == nil
}

func (c *callerSink) arrange(held []byte, quiet bool) []byte {
	if len(held) < readyFrame {
		return held
	}
	end := len(held) - readyFrame
	ready := append([]byte(nil), held[end:]...)
	held = append(held[:end], c.first...)
	if quiet {
		return held
	}
	return append(held, ready...)
}
