package plan

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table answers look-ups; it is immutable, so readers take no lock.
type Table struct {
	Blocks   *Blocks
	Domains  []string
	services []tableService
}

type tableService struct {
	name string
	rows []tableRow // by place
}

// tableRow is the domains that serve a place.
type tableRow struct {
	weighted []candidate // the largest weight first
	spares   []int16     // of the nearest region that has others
}

// candidate is a domain with a weight.
type candidate struct {
	domain  int16
	seed    uint64  // of the domain's draw
	inverse float64 // of its weight
}

// Choice is the answer to a look-up: domains by preference.
type Choice struct {
	Domains [maxChoice]int16 // numbers in Table.Domains
	Count   int
	Hash    uint64 // of the client block, for the choice among entries
}

const maxChoice = 3

// Table freezes the weights for look-ups.
func (s *State) Table(blocks *Blocks) *Table {
	t := &Table{Blocks: blocks}
	for _, w := range s.services {
		t.Domains = w.domains
		service := tableService{name: w.name}
		for _, r := range w.rows {
			service.rows = append(service.rows, candidates(w.domains, r))
		}
		t.services = append(t.services, service)
	}
	return t
}

func candidates(domains []string, r row) tableRow {
	var result tableRow
	spares := spareOnly(r)
	nearest := 0.0
	for _, spare := range spares {
		nearest = max(nearest, spare)
	}
	for i, weight := range r.weights {
		if weight > 0 {
			result.weighted = append(result.weighted, candidate{domain: int16(i), seed: xxhash.Sum64String(domains[i]), inverse: 1 / weight})
		}
	}
	for i, spare := range spares {
		if spare > 0 && spare == nearest {
			result.spares = append(result.spares, int16(i))
		}
	}
	slices.SortStableFunc(result.weighted, func(a, b candidate) int { return cmp.Compare(a.inverse, b.inverse) })
	return result
}

// spareOnly returns the spare weights of domains without a weight.
func spareOnly(r row) []float64 {
	spares := make([]float64, len(r.weights))
	for i := range min(len(r.spares), len(r.weights)) {
		if r.weights[i] == 0 {
			spares[i] = r.spares[i]
		}
	}
	return spares
}

// ServiceIndex returns the number of a service for Look, or -1.
func (t *Table) ServiceIndex(name string) int {
	for i := range t.services {
		if t.services[i].name == name {
			return i
		}
	}
	return -1
}

// Lookup decides for one client: the domain of its block first, then others by
// weight. It allocates nothing.
func (t *Table) Lookup(service int, client netip.Addr) Choice {
	place, hash := t.Blocks.Find(client)
	s := &t.services[service]
	if place == NoPlace {
		place = len(s.rows) - 1
	}
	choice := Choice{Hash: hash}
	race(s.rows[place].weighted, hash, &choice)
	choice.fill(s.rows[place].spares)
	return choice
}

// fill adds domains that only serve when the chosen ones are dead.
func (c *Choice) fill(spares []int16) {
	for i := range spares {
		if c.Count == maxChoice {
			return
		}
		c.Domains[c.Count] = spares[(c.Hash+uint64(i))%uint64(len(spares))]
		c.Count++
	}
}

// race is weighted rendezvous hashing: each domain draws an exponential time
// with its weight as the rate, and the earliest wins. A domain whose weight
// grows only gains clients and one whose weight shrinks only loses them, and all
// VMs with the same weights agree. The second is the one that would win without
// the first, so a caller that goes there when the first is dead goes where the
// plan will lead it.
func race(row []candidate, hash uint64, choice *Choice) {
	var times [maxChoice]float64
	for i := range row {
		draw := float64(mix(hash^row[i].seed)>>11+1) * (1.0 / (1 << 53))
		time := -math.Log(draw) * row[i].inverse
		at := choice.Count
		for at > 0 && times[at-1] > time {
			at--
		}
		if at == maxChoice {
			continue
		}
		last := min(choice.Count, maxChoice-1)
		copy(times[at+1:last+1], times[at:last])
		copy(choice.Domains[at+1:last+1], choice.Domains[at:last])
		times[at], choice.Domains[at] = time, row[i].domain
		choice.Count = min(choice.Count+1, maxChoice)
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
