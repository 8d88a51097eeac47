package admit

const (
	// localTenths is how many tenths of a server's connections go to the owner in the
	// server's data centre: requests that need the server are sent to that owner.
	localTenths = 6
	// remoteTenths is how many tenths all other owners share, for use while they cannot
	// reach the local owner. The rest stays free, because the connections of an instance
	// that lost power stay open at the server for a while.
	remoteTenths = 2
	// equalTenths is how many tenths the owners share equally if none is local.
	equalTenths = 7
)

// ConnectionShare describes one owner among the owners of a group, as seen from one server.
type ConnectionShare struct {
	// Connections is the number of connections that the server accepts.
	Connections int
	Owners      int
	// Local is set if this owner is in the server's data centre, LocalOwned if any owner is.
	Local      bool
	LocalOwned bool
}

// Limit returns the number of connections that the owner may open for requests. The one
// connection over which each owner polls the server's state is not counted in it.
func (s ConnectionShare) Limit() int {
	owners := max(s.Owners, 1)
	free := s.Connections - owners
	limit := 0
	switch {
	case owners == 1:
		limit = free * (localTenths + remoteTenths) / 10
	case !s.LocalOwned:
		limit = free * equalTenths / 10 / owners
	case s.Local:
		limit = free * localTenths / 10
	default:
		limit = free * remoteTenths / 10 / (owners - 1)
	}
	return max(limit, 1)
}
