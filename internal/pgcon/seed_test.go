package pgcon

import "flag"

// Property tests run with a fixed seed, so that every run has the same result;
// -rapid.seed=0 uses a random one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
