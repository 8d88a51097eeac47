package entry

import "flag"

// Property tests run with a fixed seed so that every run gives the same result;
// -rapid.seed=0 tries new cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
