package conf

// Omit removes the entries that can't be served from a configuration that another authority has accepted, which is
// in force apart from them. It returns what is wrong with them, sorted by its text.
func Omit(c *Config) []Mistake {
	k := &checker{conf: c, accepted: true}
	// An entry that names a missing one goes with it.
	omit(k, c.Centers, k.center)
	omit(k, c.Groups, k.group)
	omit(k, c.Services, k.service)
	omit(k, c.Customers, k.customer)
	omit(k, c.Routes, k.route)
	omit(k, c.Keys, k.key)
	omit(k, c.Exceptions, k.exception)
	return k.sorted()
}

// omit removes the entries in which check finds a mistake.
func omit[K ~string, V any](k *checker, entries map[K]V, check func(K, V)) {
	for id, entry := range entries {
		before := len(k.mistakes)
		check(id, entry)
		if len(k.mistakes) > before {
			delete(entries, id)
		}
	}
}
