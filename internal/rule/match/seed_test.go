package match

import "flag"

// Property tests run with a fixed seed, so that every run gives the same result;
// -rapid.seed=0 draws new cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
