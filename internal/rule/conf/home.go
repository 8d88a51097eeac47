package conf

import "slices"

// HomeRegions are the regions to which a request is restricted; the zero value restricts it to none in particular.
type HomeRegions struct {
	// Restricted is set if only Names are allowed, which may then be empty.
	Restricted bool     `cbor:"1,keyasint,omitempty"`
	Names      []string `cbor:"2,keyasint,omitempty"`
}

// Allows reports whether a request may run in a region.
func (h HomeRegions) Allows(region string) bool {
	return !h.Restricted || slices.Contains(h.Names, region)
}

// And adds a further restriction to the given regions; none means that there is none.
func (h HomeRegions) And(regions []string) HomeRegions {
	if len(regions) == 0 {
		return h
	}
	both := HomeRegions{Restricted: true}
	for _, name := range regions {
		if h.Allows(name) {
			both.Names = append(both.Names, name)
		}
	}
	return both
}
