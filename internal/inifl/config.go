package inifl

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

const (
	rateUnit = "/s"
	// leavingSuffix marks a server that is being removed.
	leavingSuffix = "!"
)

// ReadConfig reads a configuration and checks it as a whole, for instance that each
// referenced section exists.
func ReadConfig(f *File) (conf.Config, error) {
	c := readConfig(f)
	for _, m := range conf.Check(&c) {
		f.AddMistake(m.Section, m.Key, m.Want)
	}
	return c, f.Finish()
}

// ReadSections reads the sections of a configuration from a file that also has others. The
// caller checks the configuration and calls Finish.
func ReadSections(f *File) conf.Config { return readConfig(f) }

func readConfig(f *File) conf.Config {
	c := conf.New()
	readDefaults(f.Section("defaults"), &c.Defaults)
	for _, s := range f.NamedSections("center") {
		c.Centers[ident.CenterID(s.Title)] = conf.Center{Part: s.Count("part", 1)}
	}
	for _, s := range f.NamedSections("customer") {
		c.Customers[ident.CustomerID(s.Title)] = conf.Customer{
			Rate: s.Number("rate", rateUnit, 0), Burst: s.Number("burst", "", 0), Weight: s.Number("weight", "", 1), Regions: s.List("regions"),
		}
	}
	for _, s := range f.NamedSections("key") {
		c.Keys[ident.KeyID(s.Title)] = readKey(s)
	}
	for _, s := range f.NamedSections("service") {
		c.Services[ident.ServiceID(s.Title)] = conf.Service{Group: ident.GroupID(s.Require("group", "the name of a group"))}
	}
	for _, s := range f.NamedSections("route") {
		c.Routes[ident.ServiceID(s.Title)] = conf.Route{
			Service: ident.ServiceID(s.Require("service", "the name of a service")), Open: ident.CustomerID(s.Text("open", "")),
			MaxAge: s.Duration("max-age", 0), Worth: s.Number("worth", "", 1), Regions: s.List("regions"),
		}
	}
	for _, s := range f.NamedSections("group") {
		c.Groups[ident.GroupID(s.Title)] = conf.Group{
			Servers: readServers(s), Connections: s.Count("connections", 0), Slots: s.Count("slots", 0),
			ColdRate: s.Number("cold-rate", rateUnit, 0),
		}
	}
	for _, s := range f.NamedSections("exception") {
		c.Exceptions[s.Title] = readException(s)
	}
	return c
}

func readDefaults(s *Section, d *conf.Defaults) {
	for _, setting := range conf.Settings {
		text, ok := s.lookUp(setting.Name)
		if ok && setting.Parse(d, text) != nil {
			s.AddMistake(setting.Name, setting.Want)
		}
	}
}

func readKey(s *Section) conf.Key {
	key := conf.Key{Customer: ident.CustomerID(s.Require("customer", "the name of a customer"))}
	if key.Hash.UnmarshalText([]byte(s.Text("hash", ""))) != nil {
		s.AddMistake("hash", "64 hexadecimal digits")
	}
	return key
}

// readServers parses a list of NAME@CENTER/HOST:PORT; a trailing ! marks a server that is
// being removed.
func readServers(s *Section) []conf.Server {
	var servers []conf.Server
	for _, text := range s.List("servers") {
		text, leaving := strings.CutSuffix(text, leavingSuffix)
		name, rest, ok := strings.Cut(text, "@")
		center, address, more := strings.Cut(rest, "/")
		if !ok || !more {
			s.AddMistake("servers", fmt.Sprintf("NAME@CENTER/HOST:PORT, got %q", text))
			continue
		}
		servers = append(servers, conf.Server{ID: ident.ServerID(name), Center: ident.CenterID(center), Address: address, Leaving: leaving})
	}
	return servers
}

func readException(s *Section) conf.Exception {
	e := conf.Exception{
		Scope: s.Text("scope", ""), Default: s.Text("default", ""), Value: s.Text("value", ""),
		Reason: s.Text("reason", ""), Owner: s.Text("owner", ""),
	}
	if text := s.Text("until", ""); text != "" {
		until, err := time.Parse(time.RFC3339, text)
		if err != nil {
			s.AddMistake("until", "a time such as 2027-01-31T18:00:00Z")
		}
		e.Until = until
	}
	return e
}

// WriteConfig formats a configuration as INI, in a fixed order.
func WriteConfig(c conf.Config) []byte {
	w := &writer{}
	w.section("defaults")
	for _, s := range conf.Settings {
		w.key(s.Name, s.Get(&c.Defaults))
	}
	eachSorted(c.Centers, func(id ident.CenterID, v conf.Center) {
		w.section("center " + string(id))
		w.key("part", strconv.Itoa(v.Part))
	})
	eachSorted(c.Groups, func(id ident.GroupID, v conf.Group) {
		w.section("group " + string(id))
		w.key("servers", joinServers(v.Servers))
		w.key("connections", strconv.Itoa(v.Connections))
		w.key("slots", strconv.Itoa(v.Slots))
		if v.ColdRate > 0 {
			w.key("cold-rate", formatNumber(v.ColdRate)+rateUnit)
		}
	})
	eachSorted(c.Services, func(id ident.ServiceID, v conf.Service) {
		w.section("service " + string(id))
		w.key("group", string(v.Group))
	})
	eachSorted(c.Routes, w.route)
	eachSorted(c.Customers, func(id ident.CustomerID, v conf.Customer) {
		w.section("customer " + string(id))
		w.key("rate", formatNumber(v.Rate)+rateUnit)
		w.key("burst", formatNumber(v.Burst))
		w.key("weight", formatNumber(v.Weight))
		w.key("regions", strings.Join(v.Regions, ", "))
	})
	eachSorted(c.Keys, func(id ident.KeyID, v conf.Key) {
		w.section("key " + string(id))
		w.key("customer", string(v.Customer))
		hash, _ := v.Hash.MarshalText()
		w.key("hash", string(hash))
	})
	eachSorted(c.Exceptions, w.exception)
	return w.Bytes()
}

type writer struct{ bytes.Buffer }

func (w *writer) section(name string) {
	if w.Len() > 0 {
		w.WriteByte('\n')
	}
	fmt.Fprintf(w, "[%s]\n", oneLine(name))
}

func (w *writer) key(name, value string) {
	if value = strings.TrimSpace(oneLine(value)); value != "" {
		fmt.Fprintf(w, "%s = %s\n", name, quote(value))
	}
}

// oneLine returns a text with blanks in place of line ends and other control characters, which would end a line.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}

// quote quotes a value of which a part would be read as a quote or a comment.
func quote(value string) string {
	if strings.ContainsAny(value[:1], "`\"'#;") || strings.Contains(value, " #") || strings.Contains(value, " ;") {
		return "`" + value + "`"
	}
	return value
}

func (w *writer) route(id ident.ServiceID, v conf.Route) {
	w.section("route " + string(id))
	w.key("service", string(v.Service))
	w.key("open", string(v.Open))
	if v.MaxAge > 0 {
		w.key("max-age", v.MaxAge.String())
	}
	w.key("worth", formatNumber(v.Worth))
	w.key("regions", strings.Join(v.Regions, ", "))
}

func (w *writer) exception(name string, v conf.Exception) {
	w.section("exception " + name)
	w.key("scope", v.Scope)
	w.key("default", v.Default)
	w.key("value", v.Value)
	w.key("reason", v.Reason)
	w.key("owner", v.Owner)
	if !v.Until.IsZero() {
		w.key("until", v.Until.Format(time.RFC3339))
	}
}

// eachSorted calls f for each entry of all, in the order of the keys.
func eachSorted[K ~string, V any](all map[K]V, f func(K, V)) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		f(key, all[key])
	}
}

func joinServers(servers []conf.Server) string {
	parts := make([]string, 0, len(servers))
	for _, s := range servers {
		text := fmt.Sprintf("%s@%s/%s", s.ID, s.Center, s.Address)
		if s.Leaving {
			text += leavingSuffix
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
