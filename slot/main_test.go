package slot

import "flag"

// init makes the property tests thorough enough to reach rare interleavings;
// flags on the command line still override it.
func init() {
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
