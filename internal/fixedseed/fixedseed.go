// Package fixedseed makes property tests use the same seed in each run. Test
// files import it for its effect; the flag -rapid.seed still overrides it.
package fixedseed

import (
	"flag"

	// The import registers the flag before it is set below.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
