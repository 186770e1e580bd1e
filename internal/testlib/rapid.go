package testlib

import "flag"

// SeedRapid fixes the seed of random histories, so that every run of the tests
// draws the same; -rapid.seed on the command line draws others. Call it in
// TestMain, before the tests run.
func SeedRapid() {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		// The flag takes any number.
		_ = flag.Set("rapid.seed", "1")
	}
}
