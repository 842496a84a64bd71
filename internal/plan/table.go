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
	rows [][]candidate // by place: the domains with a weight, the largest first
}

// candidate is a domain that serves a place.
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
			service.rows = append(service.rows, candidates(w.domains, r.weights))
		}
		t.services = append(t.services, service)
	}
	return t
}

func candidates(domains []string, weights []float64) []candidate {
	var list []candidate
	for i, weight := range weights {
		if weight > 0 {
			list = append(list, candidate{domain: int16(i), seed: xxhash.Sum64String(domains[i]), inverse: 1 / weight})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.inverse, b.inverse) })
	return list
}

// Service returns the number of a service for Look, or -1.
func (t *Table) Service(name string) int {
	for i := range t.services {
		if t.services[i].name == name {
			return i
		}
	}
	return -1
}

// Look decides for one client: the domain of its block first, then others by
// weight. It allocates nothing.
func (t *Table) Look(service int, client netip.Addr) Choice {
	place, hash := t.Blocks.Find(client)
	s := &t.services[service]
	if place == NoPlace {
		place = len(s.rows) - 1
	}
	choice := Choice{Hash: hash}
	row := s.rows[place]
	if winner := race(row, hash); winner >= 0 {
		choice.add(winner)
	}
	for i := range row {
		choice.add(row[i].domain)
	}
	return choice
}

// race is weighted rendezvous hashing: each domain draws an exponential time
// with its weight as the rate, and the earliest wins. A domain whose weight
// grows only gains blocks and one whose weight shrinks only loses them, and all
// VMs with the same weights agree.
func race(row []candidate, hash uint64) int16 {
	winner, best := int16(-1), math.Inf(1)
	for i := range row {
		draw := float64(mix(hash^row[i].seed)>>11+1) * (1.0 / (1 << 53))
		if time := -math.Log(draw) * row[i].inverse; time < best {
			winner, best = row[i].domain, time
		}
	}
	return winner
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *Choice) add(domain int16) {
	if c.Count == maxChoice {
		return
	}
	for _, known := range c.Domains[:c.Count] {
		if known == domain {
			return
		}
	}
	c.Domains[c.Count] = domain
	c.Count++
}
