package pgcon

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/proto"
)

const (
	// emitSize is how many bytes of a long answer are passed on at a time.
	emitSize = 64 << 10
	// heldSize is how much of an answer is held back until it is proven to be the request's, in bytes.
	heldSize = 256 << 10
)

// Run sends a request and passes its answer to sink. After a *proto.RunError the
// connection is unusable; otherwise it can be reused if Condition returns Usable.
func (c *Conn) Run(ctx context.Context, r *proto.Request, sink proto.Sink) (proto.Answer, error) {
	if err := c.applySettings(ctx, r.Settings); err != nil {
		return proto.Answer{}, err
	}
	release := c.link.BindContext(ctx)
	defer release()
	x := c.begin(sink)
	x.injections, x.toInject = r.Injected, r.Injected
	out, injected, err := x.encode(r)
	defer func() { c.forgetUnconfirmed(injected, x.parsed) }()
	if err != nil {
		return proto.Answer{}, c.link.Fail(ctx, proto.Unsent, err)
	}
	if err := x.run(ctx, out); err != nil {
		return x.answer, err
	}
	c.txStatus = x.answer.TxStatus
	if r.WantStatus {
		err = x.noteStatus()
	}
	if err == nil {
		err = x.emit()
	}
	if err != nil {
		return x.answer, c.fail(ctx, proto.Answering, err)
	}
	return x.answer, nil
}

// noteStatus adds the server's status to the answer. In a failed transaction the server refuses the status
// query too.
func (x *exchange) noteStatus() error {
	if x.refusal != "" {
		if x.answer.TxStatus == 'E' {
			return nil
		}
		return &controlError{code: x.refusal}
	}
	var err error
	x.answer.Status, err = ParseStatus(x.row)
	x.answer.HasStatus = err == nil
	return err
}

// encode returns the request's messages, preceded by a Parse for each statement that the connection lacks and
// followed by the status query if asked for. A marker goes into the last Sync.
func (x *exchange) encode(r *proto.Request) (out []byte, injected []string, err error) {
	c, m := x.conn, &x.matcher
	out = c.out[:0]
	for _, s := range r.Statements {
		if c.prepared[s.Name] && s.Name != "" {
			continue
		}
		parse := pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.OIDs}
		if out, err = parse.Encode(out); err != nil {
			return out, injected, err
		}
		m.slots = append(m.slots, slot{partParse, byInjection})
		injected = append(injected, s.Name)
		c.prepared[s.Name] = true
	}
	if m.slots, err = appendSlots(m.slots, r.Messages); err != nil {
		return out, injected, err
	}
	out = append(out, r.Messages...)
	last := len(m.slots) - 1
	switch {
	case r.WantStatus:
		out = x.appendEnd(x.appendControl(out, StatusQuery), byControl)
	case last >= 0 && m.slots[last].part == partSync:
		m.slots = m.slots[:last]
		out = x.appendEnd(out[:len(out)-headerSize], byCaller)
	default:
		out = x.appendEnd(out, byMarker)
	}
	c.out = out[:0]
	return out, injected, nil
}

// forgetUnconfirmed removes the injected statements that the server did not confirm from prepared.
func (c *Conn) forgetUnconfirmed(injected []string, parsed int) {
	for _, name := range injected[min(parsed, len(injected)):] {
		delete(c.prepared, name)
	}
}

// Distrust implements proto.Conn.
func (*Conn) Distrust() {}

// Exhausted reports whether the connection holds too many prepared statements to be reused.
func (c *Conn) Exhausted() bool { return len(c.prepared) > maxStatements }
