package quorum

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the rapid tests, so that each run gives the same
// result; -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
