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

// StatusQuery queries a server's status in its group.
const StatusQuery = "SELECT * FROM group_status()"

// emitSize is how many bytes of an answer are buffered before they are passed on.
const emitSize = 64 << 10

// Run sends a request and passes its answer to sink. After a *proto.RunError the
// connection is unusable; otherwise it can be reused if Clean reports true.
func (c *Conn) Run(ctx context.Context, r *proto.Request, sink proto.Sink) (proto.Answer, error) {
	if err := c.applySettings(ctx, r.Settings); err != nil {
		return proto.Answer{}, err
	}
	release := c.link.BindContext(ctx)
	defer release()
	out, injected := c.encode(r)
	parsed := 0
	defer func() { c.forgetUnconfirmed(injected, parsed) }()
	if n, err := c.link.Write(out); err != nil {
		stage := proto.Sent
		if n == 0 {
			stage = proto.Unsent
		}
		return proto.Answer{}, c.link.Fail(ctx, stage, err)
	}
	answer, stage, err := c.readAnswer(sink, len(injected), r.Injected, &parsed)
	if err != nil {
		return answer, c.link.Fail(ctx, stage, err)
	}
	c.txStatus = answer.TxStatus
	if r.WantStatus {
		answer.Status, err = c.readStatus()
		var refused *controlError
		if err != nil && !(answer.TxStatus == 'E' && errors.As(err, &refused)) {
			return answer, c.link.Fail(ctx, proto.Answering, err)
		}
		// In a failed transaction the server refuses the status query too.
		answer.HasStatus = err == nil
	}
	if c.reader.Buffered() > 0 {
		c.link.MarkBroken()
	}
	return answer, nil
}

// encode returns the request's messages, preceded by a Parse for each statement that
// the connection lacks and followed by the status query if asked for.
func (c *Conn) encode(r *proto.Request) (out []byte, injected []string) {
	if len(r.Statements) == 0 && !r.WantStatus {
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
	if r.WantStatus {
		query := pgproto3.Query{String: StatusQuery}
		out, _ = query.Encode(out)
	}
	c.out = out[:0]
	return out, injected
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

// readAnswer passes on messages up to ReadyForQuery. It leaves out the answers to injected
// Parse messages, which it counts in parsed, as well as ParameterStatus and
// NotificationResponse, and adds the messages to inject.
func (c *Conn) readAnswer(sink proto.Sink, injected int, toInject []proto.InjectedMessage, parsed *int) (proto.Answer, proto.Stage, error) {
	var answer proto.Answer
	stage := proto.Sent
	answered := 0
	buffered := c.in[:0]
	defer func() { c.in = buffered[:0] }()
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
			buffered, toInject = appendDueMessages(buffered, toInject, answered)
		}
		start := len(buffered)
		buffered = append(buffered, kind)
		buffered = binary.BigEndian.AppendUint32(buffered, uint32(size+4))
		buffered, err = c.appendBody(buffered, size)
		if err != nil {
			return answer, stage, err
		}
		body := buffered[start+headerSize:]
		switch kind {
		case 'C':
			answer.Tag = strings.TrimRight(string(body), "\x00")
			answer.Completed = answer.Completed || answer.ErrorCode == ""
		case 'E':
			if answer.ErrorCode == "" {
				answer.ErrorCode = errorCode(body)
				if answer.ErrorCode == codeReadOnly {
					answer.Refusal = proto.ReadOnly
				}
			}
		case 'G', 'H', 'W':
			return answer, stage, &proto.ProtocolError{What: "server started COPY, which is not supported"}
		case 'Z':
			if size != 1 {
				return answer, stage, &proto.ProtocolError{What: "ReadyForQuery body is not 1 byte long"}
			}
			answer.TxStatus = body[0]
			return answer, stage, sink.Emit(buffered)
		}
		if skip {
			buffered = buffered[:start]
			continue
		}
		if completesMessage(kind) {
			answered++
		}
		if len(buffered) >= emitSize {
			if err := sink.Emit(buffered); err != nil {
				return answer, stage, err
			}
			buffered = buffered[:0]
		}
	}
}

// appendDueMessages appends the messages to inject that are due after answered messages of the
// request, and returns the rest of them.
func appendDueMessages(to []byte, toInject []proto.InjectedMessage, answered int) ([]byte, []proto.InjectedMessage) {
	for len(toInject) > 0 && toInject[0].After <= answered {
		to = append(to, toInject[0].Kind, 0, 0, 0, 4)
		toInject = toInject[1:]
	}
	return to, toInject
}

// completesMessage reports whether an answer of this type is the last one to a message of
// the request.
func completesMessage(kind byte) bool {
	switch kind {
	case '1', '2', '3', 'n', 'T', 'C', 'I', 's':
		return true
	}
	return false
}

// appendBody reads a message's body and appends it to a buffer.
func (c *Conn) appendBody(to []byte, size int) ([]byte, error) {
	at := len(to)
	to = append(to, make([]byte, size)...)
	_, err := io.ReadFull(c.reader, to[at:])
	return to, err
}

// unknownSettings marks a connection whose session settings must be reset before use.
const unknownSettings = "?"

// InvalidateSettings makes the next use of the connection reset its session settings first.
func (c *Conn) InvalidateSettings() { c.settings = unknownSettings }

// applySettings applies the session's settings to the connection, unless it is in a transaction.
func (c *Conn) applySettings(ctx context.Context, settings []proto.Setting) error {
	if c.txStatus == 'T' || c.txStatus == 'E' {
		return nil
	}
	wanted := setStatements(settings)
	if wanted == c.settings {
		return nil
	}
	clear(c.prepared)
	if err := c.execStatement(ctx, "DISCARD ALL"); err != nil {
		return err
	}
	if wanted != "" {
		if err := c.execStatement(ctx, wanted); err != nil {
			return err
		}
	}
	c.settings = wanted
	return nil
}

// setStatements returns the SET statements for the settings.
func setStatements(settings []proto.Setting) string {
	var text strings.Builder
	for _, s := range settings {
		text.WriteString("SET ")
		text.WriteString(s.Name)
		text.WriteString(" = ")
		writeString(&text, s.Value)
		for _, element := range s.More {
			text.WriteString(", ")
			writeString(&text, element)
		}
		text.WriteString(";")
	}
	return text.String()
}

// writeString writes a string literal.
func writeString(text *strings.Builder, value string) {
	text.WriteString("'")
	text.WriteString(strings.ReplaceAll(value, "'", "''"))
	text.WriteString("'")
}

// discardSink is a Sink that discards the answer.
type discardSink struct{}

// Emit implements proto.Sink.
func (discardSink) Emit([]byte) error { return nil }

// execStatement runs a statement of the proxy's own before a request. If it fails, the request
// counts as unsent.
func (c *Conn) execStatement(ctx context.Context, text string) error {
	release := c.link.BindContext(ctx)
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
	answer, _, err := c.readAnswer(discardSink{}, 0, nil, &parsed)
	if err == nil && answer.ErrorCode != "" {
		err = &proto.ProtocolError{What: "session settings failed with SQLSTATE " + answer.ErrorCode}
	}
	if err != nil {
		return c.link.Fail(ctx, proto.Unsent, err)
	}
	return nil
}

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

// readStatus reads the answer to StatusQuery.
func (c *Conn) readStatus() (group.Status, error) {
	row, err := c.readRow()
	if err != nil {
		return group.Status{}, err
	}
	return ParseStatus(row)
}

// controlError reports that the server refused a control function; the connection stays usable.
type controlError struct{ code string }

// Error implements error.
func (e *controlError) Error() string { return "control function failed with SQLSTATE " + e.code }

// readRow reads an answer of one row up to ReadyForQuery and returns the row's values.
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
			failed = &controlError{code: errorCode(body)}
		case 'Z':
			return row, failed
		}
	}
}

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
