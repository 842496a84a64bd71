package quorum

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random tests, so that a run gives the same verdict
// each time; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
