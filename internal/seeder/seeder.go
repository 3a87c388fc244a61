// Package seeder fixes the seed of property tests, so that each run comes to
// the same verdict. Tests import it for its effect; the flags of the tests'
// program still override it.
package seeder

import (
	"flag"

	// Rapid's flags must be known before they are set.
	_ "pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("seeder: " + name + ": " + err.Error())
		}
	}
}
