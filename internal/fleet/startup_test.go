package fleet

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumseam.dev/internal/rule/conf"
)

// TestEncryptionIsAskedForOnce: a caller that went on asking for encryption held a stack that grew with each request.
func TestEncryptionIsAskedForOnce(t *testing.T) {
	f := start(t, Config{Seed: 45})
	sslRequest := []byte{0, 0, 0, 8, 4, 210, 22, 47}
	gssRequest := []byte{0, 0, 0, 8, 4, 210, 22, 48}
	for name, asked := range map[string][]byte{
		"TLS": bytes.Repeat(sslRequest, 100000), "GSS": bytes.Repeat(gssRequest, 100000),
		"in turn": bytes.Repeat(append(sslRequest, gssRequest...), 50000),
	} {
		conn, err := net.Dial("tcp", f.Members()[0].Instance.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		go func() { _, _ = conn.Write(asked) }()
		answers, _ := io.ReadAll(io.LimitReader(conn, 100000))
		if refused := bytes.IndexByte(answers, 'E'); refused < 0 || refused > 2 {
			t.Errorf("%s: got %d bytes, %q...; want a refusal after two at most", name, len(answers), answers[:min(len(answers), 8)])
		}
		conn.Close()
	}
}

// TestCallersMessageOnOpenRouteIsBounded: on a route without keys nothing bounded a caller's messages, and the length
// field of one had as many bytes allocated.
func TestCallersMessageOnOpenRouteIsBounded(t *testing.T) {
	f := start(t, Config{Seed: 46, AdjustConfig: func(c *conf.Config) {
		c.Routes["board"] = conf.Route{Service: "stock", Open: "dealers-hanoi", Worth: 1}
	}})
	c := dialWire(t, f.Members()[0].Instance.Addr())
	defer c.conn.Close()
	c.front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "visitor", "database": "board"}})
	if err := c.front.Flush(); err != nil {
		t.Fatal(err)
	}
	if got := c.readReply(false); got != "let in\nready I\n" {
		t.Fatalf("got %q", got)
	}
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.conn.Write([]byte{'Q', 0x40, 0, 0, 0, 'x'}); err != nil {
		t.Fatal(err)
	}
	if got := c.readReply(false); !strings.Contains(got, "bad-message") {
		t.Errorf("got %q, want a refusal as bad-message", got)
	}
}
