// Package fixedseed gives rapid a fixed seed, so that property tests reach the
// same verdict every time. Test files import it for its side effect; the
// -rapid.seed flag still overrides it.
package fixedseed

import (
	"flag"

	// The import registers rapid's flags before init runs.
	_ "pgregory.net/rapid"
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
