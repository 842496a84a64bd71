package plan

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// ring is consistent hashing with virtual servers as in "Decentralised Hashtag
// Search and Subscription for Federated Social Networks" (Schmittlauch); it is
// here only for comparison.
type ring struct {
	points []ringPoint
}

type ringPoint struct {
	hash   uint64
	domain int16
}

func newRing(domains []string, virtual int) ring {
	var r ring
	for i, domain := range domains {
		for v := range virtual {
			r.points = append(r.points, ringPoint{hash: xxhash.Sum64String(fmt.Sprint(domain, "#", v)), domain: int16(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return r
}

func (r ring) find(hash uint64) int16 {
	at := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= hash })
	return r.points[at%len(r.points)].domain
}

// TestRingAgainstRace places the same units on a ring and by the race, and takes
// one of ten domains away. Both must move only the units of that domain; the race
// must be balanced better.
func TestRingAgainstRace(t *testing.T) {
	const units, domains, virtual = 100_000, 10, 100
	var names []string
	full := row{weights: make([]float64, domains)}
	for i := range domains {
		names = append(names, fmt.Sprint("domain-", i))
		full.weights[i] = 1.0 / domains
	}
	less := row{weights: slices.Clone(full.weights)}
	less.weights[domains-1] = 0
	byRace := func(r row) func(uint64) int16 {
		candidates := candidates(names, r).weighted
		return func(hash uint64) int16 {
			var choice Choice
			race(candidates, hash, &choice)
			return choice.Domains[0]
		}
	}
	ringLoad, ringMoved := compare(units, domains, newRing(names, virtual).find, newRing(names[:domains-1], virtual).find)
	raceLoad, raceMoved := compare(units, domains, byRace(full), byRace(less))
	t.Logf("largest share above the mean: ring %.1f%%, race %.1f%%", 100*ringLoad, 100*raceLoad)
	t.Logf("moved although their domain stayed: ring %d, race %d of %d", ringMoved, raceMoved, units)
	if raceMoved != 0 || raceLoad >= ringLoad {
		t.Errorf("race moved %d units needlessly, imbalance %.3f against %.3f of the ring", raceMoved, raceLoad, ringLoad)
	}
}

// compare returns the imbalance before, and the units that moved although their
// domain stayed.
func compare(units, domains int, before, after func(uint64) int16) (imbalance float64, needless int) {
	counts := make([]int, domains)
	for i := range units {
		hash := hashWide(wide{lo: uint64(i)})
		from, to := before(hash), after(hash)
		counts[from]++
		if from != to && int(from) != domains-1 {
			needless++
		}
	}
	return float64(slices.Max(counts))*float64(domains)/float64(units) - 1, needless
}
