package slot

import "flag"

// init sets enough checks and steps for the property tests to reach rare
// interleavings. Flags on the command line override them.
func init() {
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
