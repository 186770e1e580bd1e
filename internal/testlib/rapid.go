package testlib

import "flag"

// FixRapidSeed fixes the seed of property-based tests, so that every test run generates the same inputs. The
// command-line flag -rapid.seed overrides the seed. FixRapidSeed must be called in TestMain, before the tests
// run.
func FixRapidSeed() {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		// Set can't fail: the flag accepts any number.
		_ = flag.Set("rapid.seed", "1")
	}
}
