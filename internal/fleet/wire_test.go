package fleet

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/rule/conf"
)

// wireCaller speaks the protocol by hand.
type wireCaller struct {
	conn  net.Conn
	front *pgproto3.Frontend
}

// TestWire plays callers, good and bad, from a script.
//
// connect NAME [customer= database= key= set=], send NAME (one message a line),
// raw ADDRESS (bytes in hexadecimal). Each prints what came back until the
// proxy is ready or has closed.
func TestWire(t *testing.T) {
	f := start(t, Config{Seed: 20, Adjust: func(c *conf.Config) { c.Customers["idle"] = conf.Customer{Rate: 1, Burst: 1, Weight: 1} }})
	m := f.Members()[0]
	callers := map[string]*wireCaller{}
	t.Cleanup(func() {
		for _, c := range callers {
			c.conn.Close()
		}
	})
	datadriven.RunTest(t, "testdata/wire", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "connect":
			c := dialWire(t, m.Instance.Addr())
			callers[d.CmdArgs[0].Key] = c
			c.start(f, d)
			return c.read(false)
		case "send":
			c := callers[d.CmdArgs[0].Key]
			for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
				c.front.Send(parseMessage(t, line))
			}
			if err := c.front.Flush(); err != nil {
				return "closed\n"
			}
			return c.read(strings.HasSuffix(strings.TrimSpace(d.Input), "flush"))
		case "raw":
			c := dialWire(t, m.Instance.Addr())
			defer c.conn.Close()
			bytes, err := hex.DecodeString(strings.Join(strings.Fields(d.Input), ""))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.conn.Write(bytes); err != nil {
				return "closed\n"
			}
			_ = c.conn.(*net.TCPConn).CloseWrite()
			return c.read(false)
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}

func dialWire(t *testing.T, address string) *wireCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(bounded))
	return &wireCaller{conn: conn, front: pgproto3.NewFrontend(conn, conn)}
}

func (c *wireCaller) start(f *Fleet, d *datadriven.TestData) {
	given := map[string]string{"customer": "dealers-hanoi", "database": "stock", "key": f.Key("dealers-hanoi")}
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{}}
	for _, arg := range d.CmdArgs[1:] {
		if arg.Key == "set" {
			name, value, _ := strings.Cut(arg.Vals[0], ":")
			start.Parameters[name] = value
			continue
		}
		given[arg.Key] = strings.Join(arg.Vals, ",")
	}
	start.Parameters["user"], start.Parameters["database"] = given["customer"], given["database"]
	c.front.Send(start)
	c.front.Send(&pgproto3.PasswordMessage{Password: given["key"]})
	_ = c.front.Flush()
}

func parseMessage(t *testing.T, line string) pgproto3.FrontendMessage {
	t.Helper()
	verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	name, text, _ := strings.Cut(rest, " ")
	if name == "''" {
		name = ""
	}
	switch verb {
	case "query":
		return &pgproto3.Query{String: rest}
	case "parse":
		return &pgproto3.Parse{Name: name, Query: text}
	case "bind":
		b := &pgproto3.Bind{PreparedStatement: name}
		for value := range strings.FieldsSeq(text) {
			b.Parameters = append(b.Parameters, []byte(value))
		}
		return b
	case "describe":
		return &pgproto3.Describe{ObjectType: 'S', Name: name}
	case "execute":
		return &pgproto3.Execute{}
	case "close":
		return &pgproto3.Close{ObjectType: 'S', Name: name}
	case "sync":
		return &pgproto3.Sync{}
	case "flush":
		return &pgproto3.Flush{}
	case "call":
		return &pgproto3.FunctionCall{}
	}
	t.Fatalf("unknown message %q", line)
	return nil
}

// changing are the parts of an answer that differ from run to run.
var changing = regexp.MustCompile(`trace=\S+|\d+@[0-9A-F]+/[0-9A-F]+`)

// quiet is how long the proxy may say nothing before an answer that has no end counts as over.
const quiet = 300 * time.Millisecond

// read prints messages until the proxy is ready, or falls quiet where no readiness is due.
func (c *wireCaller) read(flushed bool) string {
	var out strings.Builder
	for {
		m, err := c.front.Receive()
		if err != nil {
			out.WriteString("closed\n")
			return out.String()
		}
		line := describe(m)
		if line != "" {
			out.WriteString(changing.ReplaceAllString(line, "…") + "\n")
		}
		_, ready := m.(*pgproto3.ReadyForQuery)
		if ready || flushed && c.pause() {
			return out.String()
		}
	}
}

// pause reports whether nothing more comes for now, as after a Flush.
func (c *wireCaller) pause() bool {
	if c.front.ReadBufferLen() > 0 {
		return false
	}
	one := make([]byte, 1)
	_ = c.conn.SetReadDeadline(time.Now().Add(quiet))
	n, err := c.conn.Read(one)
	_ = c.conn.SetReadDeadline(time.Now().Add(bounded))
	if n > 0 {
		c.front = pgproto3.NewFrontend(&prefixed{one, c.conn}, c.conn)
		return false
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// prefixed gives back a byte that was read too early.
type prefixed struct {
	first []byte
	net.Conn
}

// Read implements io.Reader.
func (p *prefixed) Read(b []byte) (int, error) {
	if len(p.first) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

func describe(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.AuthenticationCleartextPassword, *pgproto3.BackendKeyData:
		return ""
	case *pgproto3.ParameterStatus:
		if strings.HasPrefix(m.Name, "geraniumseam.") {
			return fmt.Sprintf("parameter %s %s", m.Name, m.Value)
		}
		return ""
	case *pgproto3.AuthenticationOk:
		return "let in"
	case *pgproto3.ErrorResponse:
		return strings.TrimSpace(fmt.Sprintf("%s %s: %s %s", m.Severity, m.Code, m.Message, m.Detail))
	case *pgproto3.ReadyForQuery:
		return fmt.Sprintf("ready %c", m.TxStatus)
	case *pgproto3.CommandComplete:
		return string(m.CommandTag)
	case *pgproto3.DataRow:
		return fmt.Sprintf("row %q", m.Values)
	case *pgproto3.RowDescription:
		return "columns"
	case *pgproto3.ParameterDescription:
		return fmt.Sprintf("parameters %d", len(m.ParameterOIDs))
	}
	name := fmt.Sprintf("%T", m)
	return strings.TrimPrefix(name, "*pgproto3.")
}

// FuzzStartup throws bytes at an instance; it must go on serving others.
func FuzzStartup(f *testing.F) {
	for _, seed := range [][]byte{
		{},
		{0, 0, 0, 8, 4, 210, 22, 47},
		{0, 0, 0, 4},
		{255, 255, 255, 255, 0, 3, 0, 0},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		append([]byte{0, 0, 0, 20, 0, 3, 0, 0}, []byte("user\x00x\x00\x00\x00")...),
	} {
		f.Add(seed)
	}
	d, err := Load("hoang-lien")
	if err != nil {
		f.Fatal(err)
	}
	fleet, err := Start(f.Context(), Config{Deployment: d, Seed: 21})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(fleet.Stop)
	m := fleet.Members()[0]
	f.Fuzz(func(t *testing.T, bytes []byte) {
		conn, err := net.Dial("tcp", m.Instance.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(bytes)
		conn.Close()
		c := connect(t, fleet.URL(m, "dealers-hanoi", "stock"))
		if err := c.Ping(limited(t)); err != nil {
			t.Fatalf("after %q another caller got %v", bytes, err)
		}
		_ = c.Close(limited(t))
	})
}
