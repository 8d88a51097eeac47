package sets

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"

	"geraniumseam.dev/internal/certs"
	"geraniumseam.dev/internal/inifl"
	"geraniumseam.dev/pkg/ident"
)

// Settings are the contents of an instance's settings file and of the files it names.
type Settings struct {
	Instance              ident.InstanceID
	Center                ident.CenterID
	ListenAddress         string
	PeerListenAddress     string
	OperatorListenAddress string
	PlatformURL           string
	Evacuations           bool
	User                  string
	Password              string
	PeerSecret            string
	CallerTLS             *tls.Config
	RequireTLS            bool
	PeerServer            *tls.Config
	PeerClient            *tls.Config
	Level                 slog.Level
}

// Help describes the sections and keys of a settings file.
const Help = `[instance]
id              = NAME of this instance, as the platform lists it
center          = NAME of its data centre
listen          = HOST:PORT for callers
peer-listen     = HOST:PORT for other instances
operator-listen = HOST:PORT for /metrics, /healthz, /readyz, /journal, /status
[platform]
url             = URL of the object API
evacuations     = yes to obey the command evacuate (default no)
[backend]
user            = NAME that the proxy gives to backend servers
password-file   = FILE with its password
[tls]
certificate     = FILE offered to callers; read anew when it changes
key             = FILE with its private key
required        = yes or no: refuse keys in plain text (default yes, if a certificate is given)
[peers]
secret-file     = FILE with the secret that all instances share
certificate     = FILE, key = FILE, authority = FILE: mutual TLS between instances
insecure        = yes to run the links without TLS (default no)
[logs]
level           = debug, info, warn or error
`

// Read reads a settings file and the files that it names. All mistakes are returned
// together, as inifl.Mistakes.
func Read(name string) (*Settings, error) {
	f, err := inifl.Open(name)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	instance := f.Section("instance")
	s.Instance = ident.InstanceID(instance.Require("id", "the name of this instance"))
	s.Center = ident.CenterID(instance.Require("center", "the name of its data centre"))
	s.ListenAddress = readAddress(instance, "listen")
	s.PeerListenAddress = readAddress(instance, "peer-listen")
	s.OperatorListenAddress = readAddress(instance, "operator-listen")
	s.PlatformURL = readPlatformURL(f.Section("platform"))
	s.Evacuations = f.Section("platform").Flag("evacuations", false)
	backend := f.Section("backend")
	s.User = backend.Require("user", "the user name for backend servers")
	s.Password = readSecret(backend, "password-file")
	s.readCallerTLS(f.Section("tls"))
	s.readPeerTLS(f.Section("peers"))
	s.readLogLevel(f.Section("logs"))
	return s, f.Finish()
}

func readAddress(s *inifl.Section, key string) string {
	text := s.Require(key, "HOST:PORT")
	if text == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(text); err != nil {
		s.AddMistake(key, "HOST:PORT")
	}
	return text
}

func readPlatformURL(s *inifl.Section) string {
	text := s.Require("url", "a URL such as http://10.0.0.1:9000")
	parsed, err := url.Parse(text)
	if text != "" && (err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https") {
		s.AddMistake("url", "a URL such as http://10.0.0.1:9000")
	}
	return strings.TrimSuffix(text, "/")
}

// readSecret reads a secret from the file that the key names, without surrounding white space.
func readSecret(s *inifl.Section, key string) string {
	name := s.Require(key, "a file with the secret")
	if name == "" {
		return ""
	}
	content, err := os.ReadFile(name)
	text := strings.TrimSpace(string(content))
	if err != nil || text == "" {
		s.AddMistake(key, "a readable file that is not empty")
	}
	return text
}

func (s *Settings) readCallerTLS(section *inifl.Section) {
	certificate, key := section.Text("certificate", ""), section.Text("key", "")
	s.RequireTLS = section.Flag("required", certificate != "")
	if certificate == "" && key == "" {
		if s.RequireTLS {
			section.AddMistake("certificate", "a certificate file, since TLS is required")
		}
		return
	}
	pair, err := certs.Load(certificate, key)
	if err != nil {
		section.AddMistake("certificate", "a certificate and its private key")
		return
	}
	s.CallerTLS = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: pair.Certificate}
}

func (s *Settings) readPeerTLS(section *inifl.Section) {
	s.PeerSecret = readSecret(section, "secret-file")
	certificate, key := section.Text("certificate", ""), section.Text("key", "")
	authority := section.Text("authority", "")
	insecure := section.Flag("insecure", false)
	if certificate == "" && key == "" && authority == "" {
		if !insecure {
			section.AddMistake("certificate", "certificate, key and authority, or insecure = yes")
		}
		return
	}
	pair, err := certs.Load(certificate, key)
	if err != nil {
		section.AddMistake("certificate", "a certificate and its private key")
		return
	}
	pool := x509.NewCertPool()
	content, err := os.ReadFile(authority)
	if err != nil || !pool.AppendCertsFromPEM(content) {
		section.AddMistake("authority", "a file with the PEM certificate of the authority that signed all instances' certificates")
		return
	}
	s.PeerServer, s.PeerClient = certs.Mutual(pair, pool)
}

func (s *Settings) readLogLevel(section *inifl.Section) {
	text := section.Text("level", "info")
	if s.Level.UnmarshalText([]byte(text)) != nil {
		section.AddMistake("level", "debug, info, warn or error")
	}
}
