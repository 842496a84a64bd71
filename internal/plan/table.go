package plan

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table holds the weights of all services for look-ups; it is immutable, so
// readers take no lock.
type Table struct {
	Blocks   *Blocks
	Domains  []string
	services []tableService
}

type tableService struct {
	name string
	rows []tableRow // by place
}

// tableRow holds the domains that serve a place.
type tableRow struct {
	weighted  []candidate // the largest weight first
	fallbacks []int16     // other usable domains, all of the nearest region that has any
}

// candidate is a domain with a weight.
type candidate struct {
	domain        int16
	seed          uint64 // hash of the name, mixed into the draw
	inverseWeight float64
}

// Choice is the answer to a look-up: failure domains by preference.
type Choice struct {
	Domains [maxChoices]int16 // indexes in Table.Domains
	Count   int               // of Domains in use
	Hash    uint64            // of the client's placement unit, for the choice among entries
}

const maxChoices = 3

// Table returns an immutable copy of the weights for look-ups.
func (s *State) Table(blocks *Blocks) *Table {
	t := &Table{Blocks: blocks}
	for _, w := range s.services {
		t.Domains = w.domains
		service := tableService{name: w.name}
		for _, r := range w.rows {
			service.rows = append(service.rows, newTableRow(w.domains, r))
		}
		t.services = append(t.services, service)
	}
	return t
}

func newTableRow(domains []string, r row) tableRow {
	var result tableRow
	preferences := unweightedPreferences(r)
	highest := 0.0
	for _, preference := range preferences {
		highest = max(highest, preference)
	}
	for i, weight := range r.weights {
		if weight > 0 {
			result.weighted = append(result.weighted, candidate{domain: int16(i), seed: xxhash.Sum64String(domains[i]), inverseWeight: 1 / weight})
		}
	}
	for i, preference := range preferences {
		if preference > 0 && preference == highest {
			result.fallbacks = append(result.fallbacks, int16(i))
		}
	}
	slices.SortStableFunc(result.weighted, func(a, b candidate) int { return cmp.Compare(a.inverseWeight, b.inverseWeight) })
	return result
}

// unweightedPreferences returns the fallback preferences of domains without a
// weight.
func unweightedPreferences(r row) []float64 {
	preferences := make([]float64, len(r.weights))
	for i := range min(len(r.preferences), len(r.weights)) {
		if r.weights[i] == 0 {
			preferences[i] = r.preferences[i]
		}
	}
	return preferences
}

// ServiceIndex returns the index of a service for Lookup, or -1.
func (t *Table) ServiceIndex(name string) int {
	for i := range t.services {
		if t.services[i].name == name {
			return i
		}
	}
	return -1
}

// Lookup returns the domains for one client: that of its block first, then
// others by weight, then fallbacks. It allocates nothing.
func (t *Table) Lookup(service int, client netip.Addr) Choice {
	place, hash := t.Blocks.Find(client)
	s := &t.services[service]
	if place == NoPlace {
		place = len(s.rows) - 1
	}
	choice := Choice{Hash: hash}
	rankCandidates(s.rows[place].weighted, hash, &choice)
	choice.addFallbacks(s.rows[place].fallbacks)
	return choice
}

// addFallbacks adds domains to use when the chosen ones are dead, starting at
// one that depends on the hash.
func (c *Choice) addFallbacks(fallbacks []int16) {
	for i := range fallbacks {
		if c.Count == maxChoices {
			return
		}
		c.Domains[c.Count] = fallbacks[(c.Hash+uint64(i))%uint64(len(fallbacks))]
		c.Count++
	}
}

// rankCandidates is weighted rendezvous hashing: each domain draws an
// exponentially distributed time with its weight as the rate, and the earliest
// comes first. A domain whose weight grows only gains clients and one whose
// weight shrinks only loses them, and all VMs with the same weights agree. The
// second domain is the one that would come first without the first, so a caller
// that falls back to it when the first is dead uses the domain that later
// weights will place it on.
func rankCandidates(candidates []candidate, hash uint64, choice *Choice) {
	var times [maxChoices]float64
	for i := range candidates {
		draw := float64(mix(hash^candidates[i].seed)>>11+1) * (1.0 / (1 << 53))
		time := -math.Log(draw) * candidates[i].inverseWeight
		at := choice.Count
		for at > 0 && times[at-1] > time {
			at--
		}
		if at == maxChoices {
			continue
		}
		last := min(choice.Count, maxChoices-1)
		copy(times[at+1:last+1], times[at:last])
		copy(choice.Domains[at+1:last+1], choice.Domains[at:last])
		times[at], choice.Domains[at] = time, candidates[i].domain
		choice.Count = min(choice.Count+1, maxChoices)
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
