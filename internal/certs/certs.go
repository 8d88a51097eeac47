package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"os"
	"sync"
	"time"

	"geraniumseam.dev/internal/clock"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// LoadError says that a certificate or its key could not be loaded or generated.
type LoadError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("certificate %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// Pair is a certificate with its private key. A pair loaded from files is reloaded when
// they change. It is safe for concurrent use.
type Pair struct {
	certificate, key string

	mu      sync.Mutex
	loaded  *tls.Certificate
	modTime time.Time
	checked time.Time
}

// Load loads a certificate and its key from PEM files.
func Load(certificate, key string) (*Pair, error) {
	p := &Pair{certificate: certificate, key: key}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// Static returns a pair that is never reloaded.
func Static(c tls.Certificate) *Pair { return &Pair{loaded: &c} }

func (p *Pair) load() error {
	modTime, err := p.latestModTime()
	if err != nil {
		return &LoadError{Path: p.certificate, Cause: err}
	}
	loaded, err := tls.LoadX509KeyPair(p.certificate, p.key)
	if err != nil {
		return &LoadError{Path: p.certificate, Cause: err}
	}
	p.loaded, p.modTime = &loaded, modTime
	return nil
}

func (p *Pair) latestModTime() (time.Time, error) {
	var latestModTime time.Time
	for _, name := range []string{p.certificate, p.key} {
		info, err := os.Stat(name)
		if err != nil {
			return latestModTime, err
		}
		if info.ModTime().After(latestModTime) {
			latestModTime = info.ModTime()
		}
	}
	return latestModTime, nil
}

// current returns the certificate in use, after reloading it if the files have changed. If
// they cannot be loaded, the previous certificate stays in use.
func (p *Pair) current() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.certificate == "" || clock.Since(p.checked) < checkInterval {
		return p.loaded
	}
	p.checked = clock.Now()
	if modTime, err := p.latestModTime(); err == nil && !modTime.Equal(p.modTime) {
		_ = p.load()
	}
	return p.loaded
}

// Certificate returns the certificate in use; it has the type of tls.Config.GetCertificate.
func (p *Pair) Certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current(), nil }

func (p *Pair) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current(), nil
}

// Mutual returns server and client configurations for mutual TLS, in which both sides
// present a certificate that the authority signed.
func Mutual(p *Pair, authority *x509.CertPool) (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: p.Certificate, ClientCAs: authority, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, GetClientCertificate: p.clientCertificate, RootCAs: authority}
	return server, client
}

// ephemeralLifetime is the validity of generated certificates.
const ephemeralLifetime = 24 * time.Hour

// Ephemeral generates an authority and a certificate for 127.0.0.1 signed by it, for use as
// server and as client.
func Ephemeral() (*Pair, *x509.CertPool, error) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	authority := certificateTemplate("geraniumseam throw-away authority")
	authority.IsCA, authority.BasicConstraintsValid = true, true
	authority.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	signed, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	leaf := certificateTemplate("geraniumseam throw-away instance")
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err = x509.CreateCertificate(rand.Reader, leaf, signed, &key.PublicKey, authorityKey)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	pool := x509.NewCertPool()
	pool.AddCert(signed)
	return Static(tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}), pool, nil
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(clock.TimeOfDay().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: clock.TimeOfDay().Add(-time.Hour), NotAfter: clock.TimeOfDay().Add(ephemeralLifetime), KeyUsage: x509.KeyUsageDigitalSignature,
	}
}
