package owner

import (
	"cmp"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/pkg/ident"
)

// regionOf returns the region of a data centre; one without a region is a region of its own.
func (g *Group) regionOf(id ident.CenterID) string { return cmp.Or(g.conf.Regions[id], string(id)) }

// mayRunAt reports whether the work's home regions allow a server.
func (g *Group) mayRunAt(w *Work, s *server) bool { return w.Home.Allows(g.regionOf(s.Center)) }

// foreignPrimary reports whether the primary is outside the work's home regions or, if no primary is known, all servers are.
func (g *Group) foreignPrimary(w *Work) bool {
	if !w.Home.Restricted {
		return false
	}
	if v := g.tracker.current.Load(); v.primary != noPrimary {
		return !g.mayRunAt(w, g.allServers()[v.primary])
	}
	r := g.roster.Load()
	for _, at := range r.index {
		if g.mayRunAt(w, r.servers[at]) {
			return false
		}
	}
	return true
}

// hopeless returns why no server can serve a read, however long it waits; None if one may.
func (g *Group) hopeless(w *Work) fault.Reason {
	switch {
	case g.allEvacuated():
		g.conf.evacuees.refused.Inc()
		return fault.Evacuated
	case w.Home.Restricted:
		g.conf.evacuees.foreign.Inc()
		return fault.NoHomeServer
	}
	return fault.None
}
