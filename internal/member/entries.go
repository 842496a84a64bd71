package member

import "time"

// CountEntries returns the number of entry VMs of the fleet, this VM included, and how many of
// them precede it by failure domain and id. VMs that this one does not hear count too, because
// they may still send: for forgetAfter in the own failure domain, and where a domain is silent for
// as long as it is. VMs that stopped as planned do not.
func (s *State) CountEntries(now time.Time) (all, before int) {
	all, before = s.ownEntries(now)
	for i := range s.domains {
		d := &s.domains[i]
		if d.Name == s.Self.Domain {
			continue
		}
		entries := d.entries(now)
		all += entries
		if d.Name < s.Self.Domain {
			before += entries
		}
	}
	return max(1, all), before
}

// ownEntries counts the entry VMs of the own failure domain. A VM that has not run for
// forgetAfter may know fewer than others do.
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
	if now.Sub(s.startedAt) < forgetAfter {
		all = max(all, s.toldEntries-stopped)
	}
	return all, before
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
