package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// presumedEntries is the number of entry VMs of a failure domain where a VM has heard no other VM
// since its start.
const presumedEntries = maxEntryRefs

// CountEntries returns the number of entry VMs of the fleet, this VM included, and how many of
// them precede it by failure domain and id. VMs that this one does not hear count too, because
// they may still send: for forgetAfter in the own failure domain, and where a domain is silent for
// as long as it is. VMs that stopped as planned do not. For forgetAfter from its start, this VM
// takes its own and the named failure domains for as large as the largest other as long as it has
// not heard of them.
func (s *State) CountEntries(domains []string, now time.Time) (all, before int) {
	lately := s.startedLately(now)
	largest, known := 0, make(map[string]int, len(domains))
	for i := range s.domains {
		if d := &s.domains[i]; d.Name != s.Self.Domain && (d.Version > 0 || !lately) {
			known[d.Name] = d.entries(now)
			largest = max(largest, known[d.Name])
		}
	}
	all, before = s.ownEntries(now)
	if lately && !s.heardOwn() {
		presumed := largest
		if len(known) == 0 {
			presumed = presumedEntries
		}
		if presumed > all {
			all, before = presumed, s.placeByHash(presumed)
		}
	}
	largest = max(largest, all)
	for _, name := range domains {
		if _, found := known[name]; !found && lately && name != s.Self.Domain {
			known[name] = largest
		}
	}
	for name, entries := range known {
		all += entries
		if name < s.Self.Domain {
			before += entries
		}
	}
	return max(1, all), before
}

// HeardEntries reports whether this VM has heard, since its start, of the entry VMs of its own and
// the named failure domains.
func (s *State) HeardEntries(domains []string) bool {
	for _, name := range domains {
		at, found := slices.BinarySearchFunc(s.domains, name, compareDomain)
		if name != s.Self.Domain && !(found && s.domains[at].Version > 0) {
			return false
		}
	}
	return s.heardOwn()
}

// startedLately reports whether this VM may know fewer VMs than others that it could hear do.
func (s *State) startedLately(now time.Time) bool {
	return s.startedAt.IsZero() || now.Sub(s.startedAt) < forgetAfter
}

// heardOwn reports whether this VM has heard of others of its failure domain, or has none to ask.
func (s *State) heardOwn() bool {
	return len(s.records) > 0 || s.toldEntries > 0 || !s.hasSeeds()
}

func (s *State) hasSeeds() bool {
	return slices.ContainsFunc(s.Seeds, func(peer string) bool { return peer != s.Self.Peer })
}

// ownEntries counts the entry VMs of the own failure domain, and those that precede this VM; a VM
// that does not know all of them takes its place by a hash.
func (s *State) ownEntries(now time.Time) (all, before int) {
	if s.Self.Entry != "" {
		all++
	}
	stopped := 0
	for _, r := range s.records {
		switch {
		case r.Entry == "":
			continue
		case r.dead && r.Stopping:
			stopped++
			continue
		}
		all++
		if r.ID < s.Self.ID {
			before++
		}
	}
	if s.startedLately(now) && s.toldEntries-stopped > all {
		all = s.toldEntries - stopped
		before = s.placeByHash(all)
	}
	return all, before
}

func (s *State) placeByHash(entries int) int {
	return int(xxhash.Sum64String(s.Self.ID) % uint64(entries))
}

// noteToldEntries notes how many entry VMs a summary of the own failure domain counts.
func (s *State) noteToldEntries(d Domain) {
	s.toldEntries = max(s.toldEntries, d.countEntries())
}

// countEntries returns the number of entry VMs by the summary. That of an earlier release may name
// only some of its VMs; the others count as entries.
func (d Domain) countEntries() int {
	if d.EntryVMs > 0 {
		return d.EntryVMs
	}
	entries := max(0, d.VMs-len(d.Entries))
	for _, entry := range d.Entries {
		if entry.Entry != "" {
			entries++
		}
	}
	return entries
}

// entries is countEntries, but at least the number before all VMs of the domain restarted: those
// that start first do not know the others.
func (d *domainRecord) entries(now time.Time) int {
	if now.Before(d.formerUntil) {
		return max(d.countEntries(), d.formerEntries)
	}
	return d.countEntries()
}
