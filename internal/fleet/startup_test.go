package fleet

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
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
