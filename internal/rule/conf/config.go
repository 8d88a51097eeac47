package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Config is a complete configuration.
type Config struct {
	Defaults   Defaults                      `json:"defaults"`
	Centers    map[ident.CenterID]Center     `json:"centers,omitempty"`
	Customers  map[ident.CustomerID]Customer `json:"customers,omitempty"`
	Keys       map[ident.KeyID]Key           `json:"keys,omitempty"`
	Services   map[ident.ServiceID]Service   `json:"services,omitempty"`
	Routes     map[ident.ServiceID]Route     `json:"routes,omitempty"`
	Groups     map[ident.GroupID]Group       `json:"groups,omitempty"`
	Exceptions map[string]Exception          `json:"exceptions,omitempty"`
}

// Center is a data centre.
type Center struct {
	// Part is the data centre's share of every rate, relative to the sum of all parts.
	Part int `json:"part"`
}

// Customer owns keys and has a rate limit: a rate in requests per second and a burst in
// requests.
type Customer struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// RestartAllowance is how many requests beyond rate and burst the fleet may admit when
	// instances restart: a new instance does not know what was spent before it started.
	RestartAllowance float64 `json:"restart,omitempty"`
	Weight           float64 `json:"weight"`
	// Regions are the regions in which the customer's requests may run; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// HashKey returns the hash that is stored for a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return &ident.ParseError{What: "hash", Text: string(text), Want: "64 hexadecimal digits"}
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return &ident.ParseError{What: "hash", Text: string(text), Want: "64 hexadecimal digits"}
	}
	return nil
}

// Key is a customer's secret, of which only the hash is stored.
type Key struct {
	Customer ident.CustomerID `json:"customer"`
	Hash     Hash             `json:"hash"`
}

// Service makes a database group available under a name.
type Service struct {
	Group ident.GroupID `json:"group"`
	// RoutesOnly is set if callers reach the service only through its routes. Otherwise its name is
	// also the name of a database.
	RoutesOnly bool `json:"routes-only,omitempty"`
}

// Route is a database name that callers connect to, with settings for the requests on it.
type Route struct {
	Service ident.ServiceID `json:"service"`
	// Open names the customer whose rate limit an open route counts against; empty means
	// that the route requires a key.
	Open ident.CustomerID `json:"open,omitempty"`
	// MaxAge is the maximum age of data that reads on the route accept; 0 requires
	// read-your-writes.
	MaxAge time.Duration `json:"max-age,omitempty"`
	// Worth is the weight of the route's requests against others of the same customer.
	Worth float64 `json:"worth"`
	// ReadConsistency is the consistency of reads on the route. The zero value means
	// BoundedReads if the route has a MaxAge, SessionReads otherwise.
	ReadConsistency Consistency `json:"reads,omitempty"`
	// Timeout is the limit for one statement on the route; 0 means the default.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Target is the latency that callers aim at; 0 means none.
	Target time.Duration `json:"target,omitempty"`
	// Regions are the regions in which requests on the route may run; empty means all.
	Regions []string `json:"regions,omitempty"`
}

//go:generate go tool stringer -type=Consistency -linecomment -output=consistency_string.go

// Consistency is the consistency level of a read.
type Consistency uint8

// Consistency levels.
const (
	// DefaultReads is BoundedReads where a maximum age is set, SessionReads otherwise.
	DefaultReads Consistency = iota // usual
	// BoundedReads sees data that is not older than the maximum age.
	BoundedReads // aged
	// SessionReads sees the session's own writes, and data not older than the maximum age.
	SessionReads // session
	// LatestReads sees every write acknowledged before the read.
	LatestReads // latest
)

// Group is a database group: a primary and its replicas.
type Group struct {
	Servers []Server `json:"servers"`
	// Connections is how many connections each server accepts, Slots how many statements
	// it runs at once.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// Synchronous is how many replicas a primary itself waits for before it
	// acknowledges a write; 0 leaves the wait to the proxy.
	Synchronous int `json:"synchronous,omitempty"`
	// ColdRate is how many requests a second all instances together send to a server that is cold; 0 means that
	// cold servers are used like others. ColdTime is how long a server is cold after its start, 0 if that is not
	// known.
	ColdRate float64       `json:"cold-rate,omitempty"`
	ColdTime time.Duration `json:"cold-time,omitempty"`
	// Listed is set if the servers come from the platform's list instead of Servers.
	Listed bool `json:"listed,omitempty"`
}

// Server is one backend server of a group.
type Server struct {
	ID      ident.ServerID `json:"id"`
	Center  ident.CenterID `json:"center"`
	Address string         `json:"address"`
	Leaving bool           `json:"leaving,omitempty"`
	// Incarnation distinguishes incarnations of a server under one name; 0 means unknown.
	Incarnation int64 `json:"born,omitempty"`
	// IsPrimary is set if the server reports to the platform that it is its group's primary.
	IsPrimary bool `json:"leads,omitempty"`
	// Cold is set if the server reports that it is slow because it has just started or come back.
	Cold bool `json:"cold,omitempty"`
	// Slots is how many statements this server runs at once; 0 means the group's Slots.
	Slots int `json:"slots,omitempty"`
}

// Exception overrides one default for one scope, with a reason and an optional end.
type Exception struct {
	// Scope is customer/NAME or service/NAME.
	Scope   string    `json:"scope"`
	Default string    `json:"default"`
	Value   string    `json:"value"`
	Reason  string    `json:"reason"`
	Owner   string    `json:"owner"`
	Until   time.Time `json:"until,omitzero"`
}

// New returns an empty configuration with the initial defaults.
func New() Config {
	return Config{
		Defaults: DefaultValues(), Centers: map[ident.CenterID]Center{}, Customers: map[ident.CustomerID]Customer{},
		Keys: map[ident.KeyID]Key{}, Services: map[ident.ServiceID]Service{}, Routes: map[ident.ServiceID]Route{},
		Groups: map[ident.GroupID]Group{}, Exceptions: map[string]Exception{},
	}
}

// ServerCenters returns the data centres that host a server of the group, each once.
func (g Group) ServerCenters() []ident.CenterID {
	var centers []ident.CenterID
	known := map[ident.CenterID]bool{}
	for _, s := range g.Servers {
		if !known[s.Center] {
			known[s.Center] = true
			centers = append(centers, s.Center)
		}
	}
	return centers
}
