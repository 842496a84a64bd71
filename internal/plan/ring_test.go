package plan

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// ring is consistent hashing with virtual servers as in "Decentralised Hashtag
// Search and Subscription for Federated Social Networks" (Schmittlauch), for
// comparison only.
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

// TestRendezvousAgainstRing places the same units on a hash ring and by
// rendezvous hashing, and takes one of ten domains away. Rendezvous hashing must
// move only the units of that domain and must be balanced better than the ring.
func TestRendezvousAgainstRing(t *testing.T) {
	const units, domains, virtual = 100_000, 10, 100
	var names []string
	full := row{weights: make([]float64, domains)}
	for i := range domains {
		names = append(names, fmt.Sprint("domain-", i))
		full.weights[i] = 1.0 / domains
	}
	reduced := row{weights: slices.Clone(full.weights)}
	reduced.weights[domains-1] = 0
	byRendezvous := func(r row) func(uint64) int16 {
		candidates := newTableRow(names, r).weighted
		return func(hash uint64) int16 {
			var choice Choice
			rankCandidates(candidates, hash, &choice)
			return choice.Domains[0]
		}
	}
	ringLoad, ringMoved := compare(units, domains, newRing(names, virtual).find, newRing(names[:domains-1], virtual).find)
	rendezvousLoad, rendezvousMoved := compare(units, domains, byRendezvous(full), byRendezvous(reduced))
	t.Logf("largest share above the mean: ring %.1f%%, rendezvous %.1f%%", 100*ringLoad, 100*rendezvousLoad)
	t.Logf("moved although their domain stayed: ring %d, rendezvous %d of %d", ringMoved, rendezvousMoved, units)
	if rendezvousMoved != 0 || rendezvousLoad >= ringLoad {
		t.Errorf("rendezvous hashing moved %d units whose domain stayed, imbalance %.3f, of the ring %.3f", rendezvousMoved, rendezvousLoad, ringLoad)
	}
}

// compare returns the largest share above the mean before the change, and the
// number of units that moved although their domain stayed.
func compare(units, domains int, before, after func(uint64) int16) (imbalance float64, unneeded int) {
	counts := make([]int, domains)
	for i := range units {
		hash := hashUint128(uint128{lo: uint64(i)})
		from, to := before(hash), after(hash)
		counts[from]++
		if from != to && int(from) != domains-1 {
			unneeded++
		}
	}
	return float64(slices.Max(counts))*float64(domains)/float64(units) - 1, unneeded
}
