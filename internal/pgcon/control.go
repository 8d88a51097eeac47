package pgcon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// StatusQuery queries a server's status in its group.
const StatusQuery = "SELECT * FROM group_status()"

// Status queries the server's status in its group.
func (c *Conn) Status(ctx context.Context) (group.Status, error) {
	rows, err := c.Control(ctx, StatusQuery)
	if err != nil {
		return group.Status{}, err
	}
	return ParseStatus(rows)
}

// Seal implements proto.Conn.
func (c *Conn) Seal(ctx context.Context, term ident.Term, claimant group.Claimant) (bool, error) {
	return c.controlBool(ctx, fmt.Sprintf("SELECT group_seal(%d,'%s')", term, claimant))
}

// Follow implements proto.Conn.
func (c *Conn) Follow(ctx context.Context, term ident.Term, primary ident.ServerID) error {
	_, err := c.Control(ctx, fmt.Sprintf("SELECT group_follow(%d,'%s')", term, primary))
	return err
}

// Release implements proto.Conn. It does nothing: a seal ends with the term that it was for.
func (c *Conn) Release(context.Context) error { return nil }

// Promote implements proto.Driver.
func (*Driver) Promote(ctx context.Context, c proto.Conn, _ proto.Target, o proto.PromotionOrder) (proto.Promotion, error) {
	conn, ok := c.(*Conn)
	if !ok {
		return proto.Promotion{}, &proto.ProtocolError{What: "promotion on a connection of another driver, want *pgcon.Conn"}
	}
	accepted, err := conn.controlBool(ctx, fmt.Sprintf("SELECT group_promote(%d,'%s')", o.Term, o.Claimant))
	return proto.Promotion{Accepted: accepted, Unsettled: err != nil}, err
}

// controlBool runs a control function and reports whether it returned true.
func (c *Conn) controlBool(ctx context.Context, text string) (bool, error) {
	row, err := c.Control(ctx, text)
	return len(row) == 1 && row[0] == "t", err
}

// Control runs one of the group's control functions and returns the values of its row.
func (c *Conn) Control(ctx context.Context, text string) ([]string, error) {
	release := c.link.BindContext(ctx)
	defer release()
	c.controls = true
	x := c.begin(discardSink{})
	out := x.appendEnd(x.appendControl(c.out[:0], text), byControl)
	c.out = out[:0]
	if err := x.run(ctx, out); err != nil {
		return nil, err
	}
	if x.refusal != "" {
		return nil, c.link.Fail(ctx, proto.Answering, &controlError{code: x.refusal})
	}
	return x.row, nil
}

// appendControl appends the messages that run a control function.
func (x *exchange) appendControl(out []byte, text string) []byte {
	x.matcher.slots = append(x.matcher.slots, controlSlots...)
	out, _ = (&pgproto3.Parse{Query: text}).Encode(out)
	out, _ = (&pgproto3.Bind{}).Encode(out)
	out, _ = (&pgproto3.Execute{}).Encode(out)
	return out
}

// controlError reports that the server refused a control function.
type controlError struct{ code string }

// Error implements error.
func (e *controlError) Error() string { return "control function failed with SQLSTATE " + e.code }

// statusColumns is the number of columns that StatusQuery returns.
const statusColumns = 8

// ParseStatus parses the row that StatusQuery returns.
func ParseStatus(row []string) (group.Status, error) {
	if len(row) != statusColumns {
		return group.Status{}, &proto.ProtocolError{What: "group_status did not return 8 columns"}
	}
	s := group.Status{Server: ident.ServerID(row[0])}
	if row[1] == group.Primary.String() {
		s.Role = group.Primary
	}
	var numbers [3]uint64
	for at, text := range row[2:5] {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return s, &proto.ProtocolError{What: "group_status returned a term that is not a decimal number"}
		}
		numbers[at] = number
	}
	s.Term, s.Sealed, s.LogTerm = ident.Term(numbers[0]), ident.Term(numbers[1]), ident.Term(numbers[2])
	var err error
	if s.Received, err = ident.ParsePosition(row[5]); err != nil {
		return s, errors.Trace(err)
	}
	if s.Applied, err = ident.ParsePosition(row[6]); err != nil {
		return s, errors.Trace(err)
	}
	millis, err := strconv.ParseInt(row[7], 10, 64)
	if err != nil {
		return s, &proto.ProtocolError{What: "group_status returned an upstream age that is not a decimal number of milliseconds"}
	}
	s.UpstreamSilence = time.Duration(millis) * time.Millisecond
	return s, nil
}
