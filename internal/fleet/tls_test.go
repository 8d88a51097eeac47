package fleet

import (
	"crypto/tls"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"geraniumseam.dev/internal/certs"
	"geraniumseam.dev/internal/entry"
)

// TestRequireTLSRejectsPlaintextKey checks that with RequireTLS an instance refuses a key
// sent without TLS and accepts it over TLS.
func TestRequireTLSRejectsPlaintextKey(t *testing.T) {
	pair, pool, err := certs.Ephemeral()
	if err != nil {
		t.Fatal(err)
	}
	f := start(t, Config{Seed: 30, ConfigureEntry: func(c *entry.Config) {
		c.CallerTLS = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: pair.Certificate}
		c.RequireTLS = true
	}})
	target := f.URL(f.Members()[0], "dealers-hanoi", "stock")
	if _, err := pgx.Connect(testContext(t), target); err == nil || !strings.Contains(err.Error(), "plaintext-key") {
		t.Errorf("connecting without TLS: got %v, want an error with plaintext-key", err)
	}
	secure, err := pgx.ParseConfig(target)
	if err != nil {
		t.Fatal(err)
	}
	secure.TLSConfig = &tls.Config{RootCAs: pool, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
	c, err := pgx.ConnectConfig(testContext(t), secure)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(testContext(t))
	if err := put(t, c, "secure", "1"); err != nil {
		t.Error(err)
	}
}
