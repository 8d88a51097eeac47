package pgcon

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// StatusQuery asks a server for its place in its group.
const StatusQuery = "SELECT * FROM group_status()"

// emitSize is how many bytes of an answer are gathered before they are handed on.
const emitSize = 64 << 10

// Run sends a request and hands its answer to sink. On a *RunError the
// connection is of no more use; everything else left it clean or closed.
func (c *Conn) Run(ctx context.Context, r *proto.Request, sink proto.Sink) (proto.Answer, error) {
	if err := c.adjust(ctx, r.Settings); err != nil {
		return proto.Answer{}, err
	}
	release := c.link.Bound(ctx)
	defer release()
	out, injected := c.encode(r)
	parsed := 0
	defer func() { c.forget(injected, parsed) }()
	if n, err := c.link.Write(out); err != nil {
		stage := proto.Sent
		if n == 0 {
			stage = proto.Unsent
		}
		return proto.Answer{}, c.link.Fail(ctx, stage, err)
	}
	answer, stage, err := c.read(sink, len(injected), r.Inserts, &parsed)
	if err != nil {
		return answer, c.link.Fail(ctx, stage, err)
	}
	c.txStatus = answer.TxStatus
	if r.Position {
		answer.Status, err = c.readStatus()
		if err != nil {
			return answer, c.link.Fail(ctx, proto.Answering, err)
		}
		answer.HasStatus = true
	}
	if c.reader.Buffered() > 0 {
		c.link.Break()
	}
	return answer, nil
}

// encode puts the statements that the connection lacks before the request, and
// the question for the server's state behind it.
func (c *Conn) encode(r *proto.Request) (out []byte, injected []string) {
	if len(r.Statements) == 0 && !r.Position {
		return r.Messages, nil
	}
	out = c.out[:0]
	for _, s := range r.Statements {
		if c.prepared[s.Name] && s.Name != "" {
			continue
		}
		parse := pgproto3.Parse{Name: s.Name, Query: s.Query, ParameterOIDs: s.OIDs}
		out, _ = parse.Encode(out)
		injected = append(injected, s.Name)
		c.prepared[s.Name] = true
	}
	out = append(out, r.Messages...)
	if r.Position {
		query := pgproto3.Query{String: StatusQuery}
		out, _ = query.Encode(out)
	}
	c.out = out[:0]
	return out, injected
}

// forget drops the statements whose preparation was not confirmed.
func (c *Conn) forget(injected []string, parsed int) {
	for _, name := range injected[min(parsed, len(injected)):] {
		delete(c.prepared, name)
	}
}

// Crowded reports that the connection holds so many prepared statements that it is better reset.
func (c *Conn) Crowded() bool { return len(c.prepared) > maxStatements }

// read hands on messages until ReadyForQuery: without the answers to injected
// messages, with the answers that the proxy gives itself.
func (c *Conn) read(sink proto.Sink, injected int, inserts []proto.Insert, parsed *int) (proto.Answer, proto.Stage, error) {
	var answer proto.Answer
	stage := proto.Sent
	answered := 0
	gathered := c.in[:0]
	defer func() { c.in = gathered[:0] }()
	for {
		kind, size, err := c.readHeader()
		if err != nil {
			return answer, stage, err
		}
		stage = proto.Answering
		skip := kind == 'S' || kind == 'A'
		if kind == '1' && *parsed < injected {
			*parsed++
			skip = true
		}
		if !skip && kind != 'E' && answer.ErrorCode == "" {
			gathered, inserts = insertDue(gathered, inserts, answered)
		}
		start := len(gathered)
		gathered = append(gathered, kind)
		gathered = binary.BigEndian.AppendUint32(gathered, uint32(size+4))
		gathered, err = c.appendBody(gathered, size)
		if err != nil {
			return answer, stage, err
		}
		body := gathered[start+headerSize:]
		switch kind {
		case 'C':
			answer.Tag = strings.TrimRight(string(body), "\x00")
		case 'E':
			if answer.ErrorCode == "" {
				answer.ErrorCode = errorCode(body)
				if answer.ErrorCode == codeReadOnly {
					answer.Refusal = proto.ReadOnly
				}
			}
		case 'G', 'H', 'W':
			return answer, stage, &proto.ProtocolError{What: "COPY was not refused in time"}
		case 'Z':
			if size != 1 {
				return answer, stage, &proto.ProtocolError{What: "malformed ReadyForQuery"}
			}
			answer.TxStatus = body[0]
			return answer, stage, sink.Emit(gathered)
		}
		if skip {
			gathered = gathered[:start]
			continue
		}
		if endsMessage(kind) {
			answered++
		}
		if len(gathered) >= emitSize {
			if err := sink.Emit(gathered); err != nil {
				return answer, stage, err
			}
			gathered = gathered[:0]
		}
	}
}

// insertDue adds the proxy's own answers whose place has come.
func insertDue(to []byte, inserts []proto.Insert, answered int) ([]byte, []proto.Insert) {
	for len(inserts) > 0 && inserts[0].After <= answered {
		to = append(to, inserts[0].Kind, 0, 0, 0, 4)
		inserts = inserts[1:]
	}
	return to, inserts
}

// endsMessage reports whether an answer of this kind is the last to its message.
func endsMessage(kind byte) bool {
	switch kind {
	case '1', '2', '3', 'n', 'T', 'C', 'I', 's':
		return true
	}
	return false
}

func (c *Conn) appendBody(to []byte, size int) ([]byte, error) {
	at := len(to)
	to = append(to, make([]byte, size)...)
	_, err := io.ReadFull(c.reader, to[at:])
	return to, err
}

// unknownSettings marks a connection whose settings must be reset before use.
const unknownSettings = "?"

// Taint makes the next use of the connection reset its settings first.
func (c *Conn) Taint() { c.settings = unknownSettings }

// adjust gives the connection the session's settings.
func (c *Conn) adjust(ctx context.Context, settings []proto.Setting) error {
	if c.txStatus == 'T' || c.txStatus == 'E' {
		return nil
	}
	wanted := render(settings)
	if wanted == c.settings {
		return nil
	}
	clear(c.prepared)
	if err := c.simple(ctx, "DISCARD ALL"); err != nil {
		return err
	}
	if wanted != "" {
		if err := c.simple(ctx, wanted); err != nil {
			return err
		}
	}
	c.settings = wanted
	return nil
}

// render writes settings as the statements that make them.
func render(settings []proto.Setting) string {
	var text strings.Builder
	for _, s := range settings {
		text.WriteString("SET ")
		text.WriteString(s.Name)
		text.WriteString(" = '")
		text.WriteString(strings.ReplaceAll(s.Value, "'", "''"))
		text.WriteString("';")
	}
	return text.String()
}

// discard is a Sink that keeps nothing.
type discard struct{}

// Emit implements Sink.
func (discard) Emit([]byte) error { return nil }

// simple runs a statement of the proxy's own; any error of it leaves the request unsent.
func (c *Conn) simple(ctx context.Context, text string) error {
	release := c.link.Bound(ctx)
	defer release()
	query := pgproto3.Query{String: text}
	out, err := query.Encode(nil)
	if err == nil {
		_, err = c.link.Write(out)
	}
	if err != nil {
		return c.link.Fail(ctx, proto.Unsent, err)
	}
	parsed := 0
	answer, _, err := c.read(discard{}, 0, nil, &parsed)
	if err == nil && answer.ErrorCode != "" {
		err = &proto.ProtocolError{What: "session settings refused with " + answer.ErrorCode}
	}
	if err != nil {
		return c.link.Fail(ctx, proto.Unsent, err)
	}
	return nil
}

// Status asks the server for its place in its group.
func (c *Conn) Status(ctx context.Context) (group.Status, error) {
	rows, err := c.Control(ctx, StatusQuery)
	if err != nil {
		return group.Status{}, err
	}
	return ParseStatus(rows)
}

// Seal implements proto.Conn.
func (c *Conn) Seal(ctx context.Context, term ident.Term, claimant group.Claimant) (bool, error) {
	return c.isTrue(ctx, fmt.Sprintf("SELECT group_seal(%d,'%s')", term, claimant))
}

// Follow implements proto.Conn.
func (c *Conn) Follow(ctx context.Context, term ident.Term, primary ident.ServerID) error {
	_, err := c.Control(ctx, fmt.Sprintf("SELECT group_follow(%d,'%s')", term, primary))
	return err
}

// Release implements proto.Conn; a server's seal ends with the term that it was for.
func (c *Conn) Release(context.Context) error { return nil }

// Promote implements proto.Driver.
func (*Driver) Promote(ctx context.Context, c proto.Conn, _ proto.Target, o proto.Order) (bool, error) {
	conn, ok := c.(*Conn)
	if !ok {
		return false, &proto.ProtocolError{What: "a connection of another dialect"}
	}
	return conn.isTrue(ctx, fmt.Sprintf("SELECT group_promote(%d,'%s')", o.Term, o.Claimant))
}

func (c *Conn) isTrue(ctx context.Context, text string) (bool, error) {
	row, err := c.Control(ctx, text)
	return len(row) == 1 && row[0] == "t", err
}

// Control runs one of the group's control functions and returns its first row.
func (c *Conn) Control(ctx context.Context, text string) ([]string, error) {
	release := c.link.Bound(ctx)
	defer release()
	query := pgproto3.Query{String: text}
	out, err := query.Encode(nil)
	if err == nil {
		_, err = c.link.Write(out)
	}
	if err != nil {
		return nil, c.link.Fail(ctx, proto.Sent, err)
	}
	row, err := c.readRow()
	if err != nil {
		return nil, c.link.Fail(ctx, proto.Sent, err)
	}
	return row, nil
}

func (c *Conn) readStatus() (group.Status, error) {
	row, err := c.readRow()
	if err != nil {
		return group.Status{}, err
	}
	return ParseStatus(row)
}

// readRow reads one answer of a single row.
func (c *Conn) readRow() ([]string, error) {
	var row []string
	var failed error
	for {
		kind, body, err := c.readFrame()
		if err != nil {
			return nil, err
		}
		switch kind {
		case 'D':
			var data pgproto3.DataRow
			if err := data.Decode(body); err != nil {
				return nil, errors.Trace(err)
			}
			for _, value := range data.Values {
				row = append(row, string(value))
			}
		case 'E':
			failed = &proto.ProtocolError{What: "control function refused with " + errorCode(body)}
		case 'Z':
			return row, failed
		}
	}
}

const statusColumns = 8

// ParseStatus reads the row that StatusQuery answers with.
func ParseStatus(row []string) (group.Status, error) {
	if len(row) != statusColumns {
		return group.Status{}, &proto.ProtocolError{What: "group_status with another number of columns"}
	}
	s := group.Status{Server: ident.ServerID(row[0])}
	if row[1] == group.Primary.String() {
		s.Role = group.Primary
	}
	var numbers [3]uint64
	for at, text := range row[2:5] {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return s, &proto.ProtocolError{What: "group_status with a term that is no number"}
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
		return s, &proto.ProtocolError{What: "group_status with an age that is no number"}
	}
	s.Upstream = time.Duration(millis) * time.Millisecond
	return s, nil
}
