package member

import (
	"slices"
	"time"
)

// QueueGreetings has VMs of the own domain greeted that were known before the start.
func (s *State) QueueGreetings(peers []string) {
	for _, peer := range peers {
		if peer != s.Self.Peer && len(s.strangers) < maxEntryRefs {
			s.strangers = append(s.strangers, peer)
		}
	}
}

// greeted returns the addresses to greet: all VMs of the own domain that only others
// know, or else a seed, often while the VM is alone, now and then later.
func (s *State) greeted(alive []VM) []string {
	if len(s.strangers) > 0 {
		strangers := s.strangers
		s.strangers = nil
		return strangers
	}
	const aloneEvery, youngEvery, laterEvery, youngBeats = 2, 4, 200, 120
	every := laterEvery
	switch {
	case len(alive) == 0 || len(s.domains) < 2:
		every = aloneEvery
	case s.Self.Counter < youngBeats:
		every = youngEvery
	}
	if len(s.Seeds) == 0 || s.random.IntN(every) != 0 {
		return nil
	}
	return []string{s.Seeds[s.random.IntN(len(s.Seeds))]}
}

// otherPart returns the summary held of the failure domain of a VM that greets alone,
// where it names entries that the VM's own summary does not: then parts of the domain
// formed apart, and the VM finds the other part through it. Taking over the greeting may
// replace it here.
func (s *State) otherPart(g Gossip) []Domain {
	at, found := slices.BinarySearchFunc(s.domains, g.From.Domain, compareDomain)
	if !g.Greet || g.Known > 0 || !found || g.From.Domain == s.Self.Domain {
		return nil
	}
	var own []EntryRef
	for _, domain := range g.Domains {
		if domain.Name == g.From.Domain {
			own = domain.Entries
		}
	}
	held := s.domains[at].Domain
	lacks := slices.ContainsFunc(held.Entries, func(e EntryRef) bool {
		return e.ID != g.From.ID && !slices.ContainsFunc(own, func(o EntryRef) bool { return o.ID == e.ID })
	})
	if !lacks {
		return nil
	}
	return []Domain{held}
}

// knowsMore reports whether a greeting VM lacks VMs or domains that are known
// here; most greetings in a settled fleet need no reply.
func (s *State) knowsMore(g Gossip, now time.Time) bool {
	if !g.Greet {
		return false
	}
	if len(g.Domains) < len(s.known(now)) {
		return true
	}
	if g.From.Domain == s.Self.Domain {
		return g.Known < len(s.alive())
	}
	at, found := slices.BinarySearchFunc(s.domains, g.From.Domain, compareDomain)
	return found && g.Known+1 < s.domains[at].VMs
}

// mergeStranger notes an entry of a failure domain of which no summary came
// yet, so that two domains can meet through their seeds.
func (s *State) mergeStranger(vm VM, now time.Time) bool {
	at, found := slices.BinarySearchFunc(s.domains, vm.Domain, compareDomain)
	if found {
		return false
	}
	s.domains = slices.Insert(s.domains, at, domainRecord{
		Domain: Domain{
			Name:    vm.Domain,
			Region:  vm.Region,
			VMs:     1,
			Entries: []EntryRef{{ID: vm.ID, Peer: vm.Peer, Entry: vm.Entry}},
		},
		heardAt: now,
	})
	return true
}

// headlines returns the summaries for a greeting. A VM tells all it knows in its first
// seconds, as that may be how parts of another domain meet. Later ones ask more than
// they tell, and leave out the entries of other domains, most of the bytes.
func (s *State) headlines(now time.Time) []Domain {
	domains := s.known(now)
	for i := range domains {
		if domains[i].Name != s.Self.Domain && s.Self.Counter > meetingBeats {
			domains[i].Entries = nil
		}
	}
	return domains
}

// noteStrangers remembers VMs of the own domain that only others know: parts of
// a domain which formed apart meet through them.
func (s *State) noteStrangers(entries []EntryRef) {
	for _, entry := range entries {
		_, known := slices.BinarySearchFunc(s.records, entry.ID, compareRecord)
		if known || entry.ID == s.Self.ID || slices.Contains(s.strangers, entry.Peer) {
			continue
		}
		if len(s.strangers) < maxEntryRefs {
			s.strangers = append(s.strangers, entry.Peer)
		}
	}
}
