package conf

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"geraniumseam.dev/pkg/ident"
)

// ValueError reports a value that a default does not accept.
type ValueError struct {
	Name string
	Text string
	Want string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s cannot be %q: want %s", e.Name, e.Text, e.Want)
}

// Mistake is one validation error of a configuration.
type Mistake struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Want    string `json:"want"`
}

// Error implements error.
func (m Mistake) Error() string { return fmt.Sprintf("[%s] %s: want %s", m.Section, m.Key, m.Want) }

// maxName bounds the length of a name, in bytes.
const maxName = 63

// checker collects mistakes.
type checker struct {
	conf *Config
	// accepted is set if another authority has accepted the configuration: only what can't be served is a mistake.
	accepted bool
	mistakes []Mistake
}

// Check returns all mistakes of the configuration, sorted by their text.
func Check(c *Config) []Mistake {
	k := &checker{conf: c}
	k.defaults()
	k.entries()
	k.servers()
	return k.sorted()
}

// Omit removes the entries that can't be served from a configuration that another authority has accepted, which is
// in force apart from them. It returns what is wrong with them, sorted by its text.
func Omit(c *Config) []Mistake {
	k := &checker{conf: c, accepted: true}
	k.entries()
	return k.sorted()
}

// entries checks every entry, after those that it may name: an entry that names one that is removed goes with it.
func (k *checker) entries() {
	checkEach(k, k.conf.Centers, k.center)
	checkEach(k, k.conf.Groups, k.group)
	checkEach(k, k.conf.Services, k.service)
	checkEach(k, k.conf.Customers, k.customer)
	checkEach(k, k.conf.Routes, k.route)
	checkEach(k, k.conf.Keys, k.key)
	checkEach(k, k.conf.Exceptions, k.exception)
}

// checkEach checks the entries of a section, and removes those with a mistake from an accepted configuration.
func checkEach[K ~string, V any](k *checker, section map[K]V, check func(K, V)) {
	for id, entry := range section {
		before := len(k.mistakes)
		check(id, entry)
		if k.accepted && len(k.mistakes) > before {
			delete(section, id)
		}
	}
}

func (k *checker) sorted() []Mistake {
	slices.SortFunc(k.mistakes, func(a, b Mistake) int { return strings.Compare(a.Error(), b.Error()) })
	return k.mistakes
}

// want records a mistake unless ok.
func (k *checker) want(ok bool, section, key, want string) {
	if !ok {
		k.mistakes = append(k.mistakes, Mistake{Section: section, Key: key, Want: want})
	}
}

func (k *checker) name(kind, name string) {
	if k.accepted {
		k.want(name != "", kind+" "+name, "name", "a name")
		return
	}
	ok := name != "" && len(name) <= maxName
	for _, c := range name {
		ok = ok && (c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_')
	}
	k.want(ok, kind+" "+name, "name", "lower-case letters, digits, '-', '_' and '.', at most 63")
}

func (k *checker) defaults() {
	for _, s := range Settings {
		d := k.conf.Defaults
		if err := s.Parse(&d, s.Get(&d)); err != nil {
			k.want(false, "defaults", s.Name, s.Want)
		}
	}
	d := k.conf.Defaults
	k.want(d.ShareGrace >= d.ShareLease, "defaults", "share-grace", "at least share-lease")
	k.want(d.Poll*3 <= d.Silence, "defaults", "silence", "at least three times poll")
}

func (k *checker) center(id ident.CenterID, c Center) {
	k.name("center", string(id))
	k.want(c.Part > 0, "center "+string(id), "part", "a whole number above 0")
}

func (k *checker) group(id ident.GroupID, g Group) {
	section := "group " + string(id)
	k.name("group", string(id))
	k.want(len(g.Servers) > 0 || g.Listed, section, "servers", "at least one NAME@CENTER/ADDRESS")
	// An owner needs one connection for polls and another one for requests. Where another authority allows only one, its
	// servers refuse what is too much.
	minConnections := 2
	if k.accepted {
		minConnections = 1
	}
	k.want(g.Connections >= minConnections, section, "connections", fmt.Sprintf("a whole number, at least %d", minConnections))
	k.want(g.ColdRate >= 0 && g.ColdTime >= 0, section, "cold-rate", "requests a second, not negative")
	k.want(g.Slots >= 1, section, "slots", "a whole number above 0")
	for _, s := range g.Servers {
		_, _, err := net.SplitHostPort(s.Address)
		k.want(err == nil, section, "servers", fmt.Sprintf("HOST:PORT as the address of %s", s.ID))
		_, known := k.conf.Centers[s.Center]
		k.want(known, section, "servers", fmt.Sprintf("a section [center %s] for server %s", s.Center, s.ID))
	}
}

// servers checks that every server name is used only once, across all groups.
func (k *checker) servers() {
	owner := map[ident.ServerID]ident.GroupID{}
	for id, g := range k.conf.Groups {
		for _, s := range g.Servers {
			other, taken := owner[s.ID]
			k.want(!taken, "group "+string(max(id, other)), "servers", fmt.Sprintf("server %s only once", s.ID))
			owner[s.ID] = id
		}
	}
}

func (k *checker) service(id ident.ServiceID, s Service) {
	k.name("service", string(id))
	_, known := k.conf.Groups[s.Group]
	k.want(known, "service "+string(id), "group", "the name of a section [group NAME]")
}

func (k *checker) route(id ident.ServiceID, r Route) {
	section := "route " + string(id)
	k.name("route", string(id))
	_, known := k.conf.Services[r.Service]
	k.want(known, section, "service", "the name of a section [service NAME]")
	other, clash := k.conf.Services[id]
	k.want(!clash || other.RoutesOnly || id == r.Service, section, "name", "a name that is no other service's")
	if r.Open != "" {
		_, known := k.conf.Customers[r.Open]
		k.want(known, section, "open", "the customer whose rate the open route counts against")
	}
	k.want(!slices.Contains(r.Regions, ""), section, "regions", "names of regions")
	k.want(r.Worth > 0, section, "worth", "a number above 0")
	k.want(r.MaxAge >= 0, section, "max-age", "a duration, not negative")
	k.want(r.ReadConsistency != BoundedReads || r.MaxAge > 0, section, "max-age", "a duration above 0 for reads of a stated age")
	k.want(r.Timeout >= 0 && r.Target >= 0, section, "timeout", "durations, not negative")
}

func (k *checker) customer(id ident.CustomerID, c Customer) {
	section := "customer " + string(id)
	k.name("customer", string(id))
	k.want(c.Rate > 0 || c.Rate == 0 && k.accepted, section, "rate", "requests a second, above 0")
	k.want(c.Burst >= 1, section, "burst", "requests, at least 1")
	k.want(c.RestartAllowance >= 0, section, "restart", "requests, not negative")
	k.want(!slices.Contains(c.Regions, ""), section, "regions", "names of regions")
	k.want(c.Weight > 0, section, "weight", "a number above 0")
}

func (k *checker) key(id ident.KeyID, key Key) {
	section := "key " + string(id)
	k.name("key", string(id))
	_, known := k.conf.Customers[key.Customer]
	k.want(known, section, "customer", "the name of a section [customer NAME]")
	k.want(key.Hash != Hash{}, section, "hash", "the SHA-256 of the key, as 64 hexadecimal digits")
}

func (k *checker) exception(name string, e Exception) {
	section := "exception " + name
	k.name("exception", name)
	k.want(len(strings.TrimSpace(e.Reason)) >= 3, section, "reason", "at least 3 characters that say why the default does not fit")
	k.want(e.Owner != "", section, "owner", "the name of the person or team responsible for the exception")
	kind, scope, _ := strings.Cut(e.Scope, "/")
	known := false
	switch kind {
	case "customer":
		_, known = k.conf.Customers[ident.CustomerID(scope)]
	case "service":
		_, known = k.conf.Services[ident.ServiceID(scope)]
	}
	k.want(known, section, "scope", "customer/NAME or service/NAME of one that exists")
	s, found := SettingNamed(e.Default)
	k.want(found, section, "default", "the name of a default")
	if found {
		d := k.conf.Defaults
		k.want(s.Parse(&d, e.Value) == nil, section, "value", s.Want)
	}
}
