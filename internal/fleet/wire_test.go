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

// wireCaller is a client that sends and receives single protocol messages.
type wireCaller struct {
	conn  net.Conn
	front *pgproto3.Frontend
}

// TestWire runs a script of protocol exchanges of well-behaved and misbehaving callers.
//
// Its commands are connect NAME [customer= database= key= set=], send NAME (one message
// a line), close NAME and raw (bytes in hexadecimal on a new connection). Each but close prints the
// messages received until the proxy is ready or has closed the connection.
func TestWire(t *testing.T) {
	f := start(t, Config{Seed: 20, AdjustConfig: func(c *conf.Config) { c.Customers["idle"] = conf.Customer{Rate: 1, Burst: 1, Weight: 1} }})
	playWire(t, f, "testdata/wire")
}

// TestSessionStateDoesNotReachOthers plays callers that leave state on their connections, and others
// that would see it on a connection from the pool.
func TestSessionStateDoesNotReachOthers(t *testing.T) {
	f := start(t, Config{Seed: 34, AdjustConfig: func(c *conf.Config) { c.Defaults.StatementDeadline = 4 * time.Second }})
	playWire(t, f, "testdata/session-state")
}

func playWire(t *testing.T, f *Fleet, script string) {
	t.Helper()
	m := f.Members()[0]
	callers := map[string]*wireCaller{}
	t.Cleanup(func() {
		for _, c := range callers {
			c.conn.Close()
		}
	})
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "connect":
			c := dialWire(t, m.Instance.Addr())
			callers[d.CmdArgs[0].Key] = c
			c.start(f, d)
			return c.readReply(false)
		case "send":
			c := callers[d.CmdArgs[0].Key]
			for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
				c.front.Send(parseMessage(t, line))
			}
			if err := c.front.Flush(); err != nil {
				return "closed\n"
			}
			return c.readReply(strings.HasSuffix(strings.TrimSpace(d.Input), "flush"))
		case "close":
			callers[d.CmdArgs[0].Key].conn.Close()
			return ""
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
			return c.readReply(false)
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
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &wireCaller{conn: conn, front: pgproto3.NewFrontend(conn, conn)}
}

func (c *wireCaller) start(f *Fleet, d *datadriven.TestData) {
	parameters := map[string]string{"customer": "dealers-hanoi", "database": "stock", "key": f.Key("dealers-hanoi")}
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{}}
	for _, arg := range d.CmdArgs[1:] {
		if arg.Key == "set" {
			name, value, _ := strings.Cut(arg.Vals[0], ":")
			start.Parameters[name] = value
			continue
		}
		parameters[arg.Key] = strings.Join(arg.Vals, ",")
	}
	start.Parameters["user"], start.Parameters["database"] = parameters["customer"], parameters["database"]
	c.front.Send(start)
	c.front.Send(&pgproto3.PasswordMessage{Password: parameters["key"]})
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
	case "copy-data":
		return &pgproto3.CopyData{Data: []byte(strings.ReplaceAll(rest, " ", "\t") + "\n")}
	case "copy-done":
		return &pgproto3.CopyDone{}
	case "copy-fail":
		return &pgproto3.CopyFail{Message: rest}
	case "call":
		return &pgproto3.FunctionCall{}
	}
	t.Fatalf("unknown message %q", line)
	return nil
}

// variableParts matches the parts of a reply that differ from run to run: trace IDs and positions.
var variableParts = regexp.MustCompile(`trace=\S+|\d+@[0-9A-F]+/[0-9A-F]+`)

// flushIdleTime is how long the connection must stay silent for the reply to a Flush, which
// ends without ReadyForQuery, to count as complete.
const flushIdleTime = 300 * time.Millisecond

// readReply formats messages until ReadyForQuery or the end of the connection; after a Flush,
// until no more data arrives.
func (c *wireCaller) readReply(flushed bool) string {
	var out strings.Builder
	for {
		m, err := c.front.Receive()
		if err != nil {
			out.WriteString("closed\n")
			return out.String()
		}
		line := formatMessage(m)
		if line != "" {
			out.WriteString(variableParts.ReplaceAllString(line, "…") + "\n")
		}
		_, ready := m.(*pgproto3.ReadyForQuery)
		if ready || flushed && c.noMoreData() {
			return out.String()
		}
	}
}

// noMoreData reports whether nothing arrives within flushIdleTime.
func (c *wireCaller) noMoreData() bool {
	if c.front.ReadBufferLen() > 0 {
		return false
	}
	first := make([]byte, 1)
	_ = c.conn.SetReadDeadline(time.Now().Add(flushIdleTime))
	n, err := c.conn.Read(first)
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if n > 0 {
		c.front = pgproto3.NewFrontend(&prefixedConn{first, c.conn}, c.conn)
		return false
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// prefixedConn is a connection that first returns bytes already read from it.
type prefixedConn struct {
	first []byte
	net.Conn
}

// Read implements io.Reader.
func (p *prefixedConn) Read(b []byte) (int, error) {
	if len(p.first) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

func formatMessage(m pgproto3.BackendMessage) string {
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

// FuzzStartup sends arbitrary bytes to an instance, which must keep serving other callers.
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
		if err := c.Ping(testContext(t)); err != nil {
			t.Fatalf("ping of another caller after %q: %v", bytes, err)
		}
		_ = c.Close(testContext(t))
	})
}
