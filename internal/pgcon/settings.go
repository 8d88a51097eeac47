package pgcon

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/proto"
)

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
	texts := []string{"DISCARD ALL"}
	if wanted != "" {
		texts = append(texts, wanted)
	}
	if err := c.execStatements(ctx, texts); err != nil {
		return err
	}
	c.settings = wanted
	return nil
}

// setStatements returns the SET statements for the settings.
func setStatements(settings []proto.Setting) string {
	var text strings.Builder
	for _, s := range settings {
		text.WriteString("SET ")
		writeName(&text, s.Name)
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

// writeName writes the name of a setting as quoted identifiers.
func writeName(text *strings.Builder, name string) {
	text.WriteString(`"`)
	text.WriteString(strings.ReplaceAll(strings.ReplaceAll(name, `"`, `""`), ".", `"."`))
	text.WriteString(`"`)
}

// writeString writes a string literal; one with a backslash means the same whatever standard_conforming_strings is.
func writeString(text *strings.Builder, value string) {
	if strings.Contains(value, `\`) {
		text.WriteString("E")
		value = strings.ReplaceAll(value, `\`, `\\`)
	}
	text.WriteString("'")
	text.WriteString(strings.ReplaceAll(value, "'", "''"))
	text.WriteString("'")
}

// discardSink is a Sink that discards the answer.
type discardSink struct{}

// Emit implements proto.Sink.
func (discardSink) Emit([]byte) error { return nil }

// execStatements runs statements of the proxy's own before a request. If one fails, the request
// counts as unsent.
func (c *Conn) execStatements(ctx context.Context, texts []string) error {
	release := c.link.BindContext(ctx)
	defer release()
	x := c.begin(discardSink{})
	out := c.out[:0]
	for _, text := range texts {
		var err error
		if out, err = (&pgproto3.Query{String: text}).Encode(out); err != nil {
			return c.link.Fail(ctx, proto.Unsent, err)
		}
		x.matcher.slots = append(x.matcher.slots, slot{partQueries, byCaller})
	}
	out = x.appendEnd(out, byMarker)
	c.out = out[:0]
	err := x.run(ctx, out)
	if err == nil && x.answer.ErrorCode != "" {
		err = &proto.ProtocolError{What: "session settings failed with SQLSTATE " + x.answer.ErrorCode}
	}
	if err != nil {
		return c.link.Fail(ctx, proto.Unsent, err)
	}
	return nil
}
