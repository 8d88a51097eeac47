package sets

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"geraniumseam.dev/internal/certs"
	"geraniumseam.dev/internal/inifl"
)

// writeCertificate generates a certificate and writes it and its key to PEM files.
func writeCertificate(t *testing.T, dir string) (certificate, key string) {
	t.Helper()
	pair, _, err := certs.Ephemeral()
	if err != nil {
		t.Fatal(err)
	}
	generated, err := pair.Certificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(generated.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for name, block := range map[string]*pem.Block{
		certificate: {Type: "CERTIFICATE", Bytes: generated.Certificate[0]}, key: {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificate, key
}

func writeSettings(t *testing.T, dir, rest string) string {
	t.Helper()
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, "settings.ini")
	text := fmt.Sprintf(`[instance]
id = north-1
center = north-a
listen = 127.0.0.1:0
peer-listen = 127.0.0.1:0
operator-listen = 127.0.0.1:0
[platform]
url = http://127.0.0.1:1
[backend]
user = proxy
password-file = %s
[peers]
secret-file = %s
%s`, secret, secret, rest)
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestCertificatesAreLoaded(t *testing.T) {
	dir := t.TempDir()
	certificate, key := writeCertificate(t, dir)
	rest := fmt.Sprintf("certificate = %[1]s\nkey = %[2]s\nauthority = %[1]s\n[tls]\ncertificate = %[1]s\nkey = %[2]s\n", certificate, key)
	s, err := Read(writeSettings(t, dir, rest))
	if err != nil {
		t.Fatal(err)
	}
	if !s.RequireTLS || s.CallerTLS == nil || s.PeerServer == nil || s.PeerClient == nil {
		t.Fatalf("TLS is not configured: %+v", s)
	}
	if s.PeerServer.ClientAuth != tls.RequireAndVerifyClientCert {
		t.Error("peers are accepted without a client certificate")
	}
}

func TestInvalidCertificateIsReported(t *testing.T) {
	dir := t.TempDir()
	certificate, _ := writeCertificate(t, dir)
	rest := fmt.Sprintf("insecure = yes\n[tls]\ncertificate = %[1]s\nkey = %[1]s\n", certificate)
	_, err := Read(writeSettings(t, dir, rest))
	var found inifl.Mistakes
	if !errors.As(err, &found) || len(found) != 1 || found[0].Section != "tls" {
		t.Fatalf("got %v, want one mistake in [tls]", err)
	}
}
