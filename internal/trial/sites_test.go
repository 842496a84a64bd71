package trial

import (
	"testing"

	"github.com/heatherwood/heatherwood/examples"
)

// Each site of the examples can be simulated, also one with services that only routes
// lead to.
func TestEverySiteRuns(t *testing.T) {
	for _, site := range examples.SiteNames() {
		t.Run(site, func(t *testing.T) {
			stats, err := RunCase(site, Cases()[0], "heatherwood", 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, rank := range stats.Ranks {
				if rank.Served == 0 {
					t.Errorf("no request of rank %s was served", rank.Name)
				}
			}
		})
	}
}
