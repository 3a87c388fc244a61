// Package seeder fixes the seed of property tests, so that each run gives the
// same result. Tests import it for its side effect. Flags on the command line of
// the test binary override the seed.
package seeder

import (
	"flag"

	// The flags of rapid must be registered before they are set.
	_ "pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("seeder: " + name + ": " + err.Error())
		}
	}
}
