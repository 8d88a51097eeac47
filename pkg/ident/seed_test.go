package ident

import "flag"

// The property tests run with a fixed seed, so that every run checks the same cases;
// -rapid.seed=0 checks new ones.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
