// Package fixedseed makes property tests draw the same cases on every run: a
// test imports it for its effect. The flag -rapid.seed still chooses another
// seed, and -rapid.checks another number of cases.
package fixedseed

import (
	"flag"

	// The flags must be registered before they are set.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all property tests unless -rapid.seed is given.
const Seed = "20260731"

func init() {
	set("rapid.seed", Seed)
	set("rapid.nofailfile", "true")
}

// set gives a flag of the test binary a new default.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
