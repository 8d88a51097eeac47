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
)

// checkPause is how long a loaded certificate is used before its file is looked at again.
const checkPause = 5 * time.Second

// LoadError says that a certificate or its key cannot be used.
type LoadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("certificate %s: %v", e.File, e.Cause) }

// Unwrap returns what was wrong.
func (e *LoadError) Unwrap() error { return e.Cause }

// Pair is a certificate and its key, reloaded when the files change; it is safe for concurrent use.
type Pair struct {
	certificate, key string

	mu      sync.Mutex
	loaded  *tls.Certificate
	stamp   time.Time
	checked time.Time
}

// Watch loads a certificate from files.
func Watch(certificate, key string) (*Pair, error) {
	p := &Pair{certificate: certificate, key: key}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

// Fixed returns a pair that never changes.
func Fixed(c tls.Certificate) *Pair { return &Pair{loaded: &c} }

func (p *Pair) load() error {
	stamp, err := p.newest()
	if err != nil {
		return &LoadError{File: p.certificate, Cause: err}
	}
	loaded, err := tls.LoadX509KeyPair(p.certificate, p.key)
	if err != nil {
		return &LoadError{File: p.certificate, Cause: err}
	}
	p.loaded, p.stamp = &loaded, stamp
	return nil
}

func (p *Pair) newest() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{p.certificate, p.key} {
		info, err := os.Stat(name)
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// current returns the certificate in use; a changed file that cannot be loaded leaves the old one in use.
func (p *Pair) current() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.certificate == "" || time.Since(p.checked) < checkPause {
		return p.loaded
	}
	p.checked = time.Now()
	if stamp, err := p.newest(); err == nil && !stamp.Equal(p.stamp) {
		_ = p.load()
	}
	return p.loaded
}

// Certificate serves tls.Config.GetCertificate.
func (p *Pair) Certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current(), nil }

func (p *Pair) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current(), nil
}

// Mutual returns the two ends of links on which both sides show a certificate of the same authority.
func Mutual(p *Pair, authority *x509.CertPool) (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: p.Certificate, ClientCAs: authority, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, GetClientCertificate: p.clientCertificate, RootCAs: authority}
	return server, client
}

// lifeTime is how long a throw-away certificate is valid.
const lifeTime = 24 * time.Hour

// Throwaway makes an authority and one certificate for the loopback address.
func Throwaway() (*Pair, *x509.CertPool, error) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	authority := template("geraniumseam throw-away authority")
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
	leaf := template("geraniumseam throw-away instance")
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err = x509.CreateCertificate(rand.Reader, leaf, signed, &key.PublicKey, authorityKey)
	if err != nil {
		return nil, nil, &LoadError{Cause: err}
	}
	pool := x509.NewCertPool()
	pool.AddCert(signed)
	return Fixed(tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}), pool, nil
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifeTime), KeyUsage: x509.KeyUsageDigitalSignature,
	}
}
