// Package fixedseed sets a fixed seed for rapid, so that property tests are
// reproducible. Test files import it for its side effect. The -rapid.seed flag
// still overrides the seed.
package fixedseed

import (
	"flag"

	// Importing rapid registers its flags before init below runs.
	_ "pgregory.net/rapid"
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
