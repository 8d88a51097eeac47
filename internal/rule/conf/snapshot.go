package conf

import (
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Snapshot is an immutable configuration, indexed for lookups.
type Snapshot struct {
	Config
	Version ident.Version
	// Listed is the version of the platform's server list in use, 0 if there is none.
	Listed ident.Version
	// Evacuations are the data centres whose servers get no work.
	Evacuations Evacuations

	keysByHash      map[Hash]ident.KeyID
	centerFractions map[ident.CenterID]float64
}

// NewSnapshot indexes a configuration; the caller must not change it afterwards.
func NewSnapshot(c Config, v ident.Version) *Snapshot {
	s := &Snapshot{Config: c, Version: v, keysByHash: make(map[Hash]ident.KeyID, len(c.Keys))}
	for id, key := range c.Keys {
		s.keysByHash[key.Hash] = id
	}
	s.centerFractions = centerFractionsOf(c.Centers)
	return s
}

// centerFractionsOf returns each data centre's fraction of the sum of all parts.
func centerFractionsOf(centers map[ident.CenterID]Center) map[ident.CenterID]float64 {
	sum := 0
	for _, c := range centers {
		sum += c.Part
	}
	fractions := make(map[ident.CenterID]float64, len(centers))
	for id, c := range centers {
		fractions[id] = float64(c.Part) / float64(max(sum, 1))
	}
	return fractions
}

// Listing is one version of the platform's list of backend servers, by group. It is sent
// between instances under its Go field names.
type Listing struct {
	Version ident.Version
	Servers map[ident.GroupID][]Server
}

// Count returns how many servers are listed.
func (l Listing) Count() int {
	count := 0
	for _, servers := range l.Servers {
		count += len(servers)
	}
	return count
}

// WithServers returns a copy of the snapshot in which groups with Listed set have the
// listed servers.
func (s *Snapshot) WithServers(l Listing) *Snapshot {
	next := *s
	next.Listed = l.Version
	next.Groups = make(map[ident.GroupID]Group, len(s.Groups))
	for id, g := range s.Groups {
		if g.Listed {
			g.Servers = l.Servers[id]
		}
		next.Groups[id] = g
	}
	return &next
}

// Evacuations is one version of the list of evacuated data centres, sorted. It is sent between instances
// under its Go field names. Version 0 stands for a list that is not known.
type Evacuations struct {
	Version ident.Version
	Centers []ident.CenterID
}

// WithEvacuations returns a copy of the snapshot with a list of evacuated data centres.
func (s *Snapshot) WithEvacuations(e Evacuations) *Snapshot {
	next := *s
	next.Evacuations = e
	return &next
}

// KnowsCenter reports whether a data centre is configured or has a backend server.
func (s *Snapshot) KnowsCenter(id ident.CenterID) bool {
	if _, known := s.Centers[id]; known {
		return true
	}
	for _, g := range s.Groups {
		if slices.Contains(g.ServerCenters(), id) {
			return true
		}
	}
	return false
}

// CustomerOfKey returns the customer that a key belongs to.
func (s *Snapshot) CustomerOfKey(hash Hash) (ident.CustomerID, bool) {
	id, known := s.keysByHash[hash]
	return s.Keys[id].Customer, known
}

// HasDatabase reports whether callers can connect to a database of this name.
func (s *Snapshot) HasDatabase(database ident.ServiceID) bool {
	_, found := s.lookupRoute(database)
	return found
}

// Access is the result of authenticating a caller: who it is, and the settings of its
// route.
type Access struct {
	Customer ident.CustomerID
	// Key is empty on an open route.
	Key             ident.KeyID
	Hash            Hash
	Route           ident.ServiceID
	Service         ident.ServiceID
	Group           ident.GroupID
	MaxAge          time.Duration
	Worth           float64
	ReadConsistency Consistency
	Timeout         time.Duration
	Target          time.Duration
	// Home are the regions of both the route and the customer.
	Home HomeRegions
}

// lookupRoute looks up a route. A service is also a route of the same name, unless it is reached
// only through its routes.
func (s *Snapshot) lookupRoute(name ident.ServiceID) (Route, bool) {
	if r, ok := s.Routes[name]; ok {
		return r, true
	}
	if service, ok := s.Services[name]; ok && !service.RoutesOnly {
		return Route{Service: name, Worth: 1}, true
	}
	return Route{}, false
}

// IsOpen reports whether a route can be used without a key.
func (s *Snapshot) IsOpen(name ident.ServiceID) bool {
	r, ok := s.lookupRoute(name)
	return ok && r.Open != ""
}

// HasOpenRoute reports whether some route can be used without a key.
func (s *Snapshot) HasOpenRoute() bool {
	for _, r := range s.Routes {
		if r.Open != "" {
			return true
		}
	}
	return false
}

// Authenticate authenticates a caller; false if the database is unknown or the key is not one of
// the customer's.
func (s *Snapshot) Authenticate(customer ident.CustomerID, database ident.ServiceID, hash Hash) (Access, bool) {
	route, found := s.lookupRoute(database)
	id, known := s.keysByHash[hash]
	if !found || route.Open == "" && (!known || s.Keys[id].Customer != customer) {
		return Access{}, false
	}
	a := Access{Customer: customer, Key: id, Hash: hash, Route: database}
	if route.Open != "" {
		a.Customer, a.Key, a.Hash = route.Open, "", Hash{}
	}
	return s.applyRoute(a, route), true
}

// applyRoute sets the fields of a that come from the route.
func (s *Snapshot) applyRoute(a Access, r Route) Access {
	a.Service, a.MaxAge, a.Worth = r.Service, r.MaxAge, r.Worth
	a.ReadConsistency, a.Timeout, a.Target = r.ReadConsistency, r.Timeout, r.Target
	a.Group = s.Services[r.Service].Group
	a.Home = HomeRegions{}.And(r.Regions).And(s.Customers[a.Customer].Regions)
	return a
}

// Revalidate checks an access granted by an earlier snapshot against this one and updates its
// settings; false if its key, customer or route no longer exists.
func (s *Snapshot) Revalidate(a Access) (Access, bool) {
	route, found := s.lookupRoute(a.Route)
	if !found {
		return a, false
	}
	if a.Key == "" {
		a.Customer = route.Open
		return s.applyRoute(a, route), route.Open != ""
	}
	if _, known := s.Customers[a.Customer]; !known {
		return a, false
	}
	key, known := s.Keys[a.Key]
	if !known || key.Hash != a.Hash || key.Customer != a.Customer {
		return a, false
	}
	return s.applyRoute(a, route), true
}

// DefaultsFor returns the defaults for a customer on a service, with all unexpired exceptions
// applied.
func (s *Snapshot) DefaultsFor(now time.Time, customer ident.CustomerID, service ident.ServiceID) Defaults {
	d := s.Defaults
	if len(s.Exceptions) == 0 {
		return d
	}
	for _, e := range s.Exceptions {
		if e.Scope != "customer/"+string(customer) && e.Scope != "service/"+string(service) {
			continue
		}
		if !e.Until.IsZero() && !now.Before(e.Until) {
			continue
		}
		if setting, ok := SettingNamed(e.Default); ok {
			_ = setting.Parse(&d, e.Value)
		}
	}
	return d
}

// CenterParts returns the fraction of every rate that each data centre may spend on its
// own. The caller must not change the map.
func (s *Snapshot) CenterParts() map[ident.CenterID]float64 { return s.centerFractions }
