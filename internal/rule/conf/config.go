package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Config is a whole configuration.
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
	// Part is the data centre's share of every rate, against the sum of all parts.
	Part int `json:"part"`
}

// Customer owns keys and has a rate in requests a second and a burst in requests.
type Customer struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Restart is what the fleet may spend beyond rate and burst when instances start
	// anew, in requests: a new instance does not know what was spent before it.
	Restart float64 `json:"restart,omitempty"`
	Weight  float64 `json:"weight"`
}

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// HashKey returns the hash under which a key is kept.
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

// Key is what a customer presents, kept as a hash.
type Key struct {
	Customer ident.CustomerID `json:"customer"`
	Hash     Hash             `json:"hash"`
}

// Service fronts a database group.
type Service struct {
	Group ident.GroupID `json:"group"`
}

// Route is a name that callers give as their database, with what holds on it.
type Route struct {
	Service ident.ServiceID `json:"service"`
	// Open names the customer whose rate an open route counts against; empty means a key is needed.
	Open ident.CustomerID `json:"open,omitempty"`
	// MaxAge is the age of data that reads on the route accept; 0 asks for read-your-writes.
	MaxAge time.Duration `json:"max-age,omitempty"`
	// Worth weighs the route's requests against others of the same customer.
	Worth float64 `json:"worth"`
	// Reads says which state reads on the route may see; left out, a route with a
	// stated age sees data of that age, others see the session's own writes.
	Reads Consistency `json:"reads,omitempty"`
	// Timeout bounds one statement on the route; 0 leaves the default.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Target is the latency that callers hope for; 0 says nothing.
	Target time.Duration `json:"target,omitempty"`
}

//go:generate go tool stringer -type=Consistency -linecomment -output=consistency_string.go

// Consistency says which state a read may see.
type Consistency uint8

// The consistencies.
const (
	// UsualReads sees data of the stated age, or the session's own writes where no age is stated.
	UsualReads Consistency = iota // usual
	// AgedReads sees data of the stated age.
	AgedReads // aged
	// SessionReads sees the session's own writes, and data of the stated age.
	SessionReads // session
	// LatestReads sees everything acknowledged before the read.
	LatestReads // latest
)

// Group is a database group.
type Group struct {
	Servers []Server `json:"servers"`
	// Connections is what each server accepts; Slots how many statements it runs at once.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// Synchronous is how many replicas a primary itself waits for before it
	// acknowledges a write; 0 leaves the wait to the proxy.
	Synchronous int `json:"synchronous,omitempty"`
	// Listed says that the servers come from the platform's list, not from here.
	Listed bool `json:"listed,omitempty"`
}

// Server is one backend server of a group.
type Server struct {
	ID      ident.ServerID `json:"id"`
	Center  ident.CenterID `json:"center"`
	Address string         `json:"address"`
	Leaving bool           `json:"leaving,omitempty"`
	// Born tells apart two lives of a server under one name; 0 where it isn't told.
	Born int64 `json:"born,omitempty"`
	// Leads is set if the server told the platform that it is its group's primary.
	Leads bool `json:"leads,omitempty"`
	// Slots is how many statements this server runs at once; 0 leaves what the group says.
	Slots int `json:"slots,omitempty"`
}

// Exception overrides one default for one scope, for a reason and perhaps a time.
type Exception struct {
	// Scope is customer/NAME or service/NAME.
	Scope   string    `json:"scope"`
	Default string    `json:"default"`
	Value   string    `json:"value"`
	Reason  string    `json:"reason"`
	Owner   string    `json:"owner"`
	Until   time.Time `json:"until,omitzero"`
}

// New returns an empty configuration with the usual defaults.
func New() Config {
	return Config{
		Defaults: Usual(), Centers: map[ident.CenterID]Center{}, Customers: map[ident.CustomerID]Customer{},
		Keys: map[ident.KeyID]Key{}, Services: map[ident.ServiceID]Service{}, Routes: map[ident.ServiceID]Route{},
		Groups: map[ident.GroupID]Group{}, Exceptions: map[string]Exception{},
	}
}

// Hosting returns the data centres that host a server of the group, each once.
func (g Group) Hosting() []ident.CenterID {
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
