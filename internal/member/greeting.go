package member

import (
	"slices"
	"time"
)

// QueueGreetings queues greetings to the peer addresses of VMs of the own domain
// that were known before the start.
func (s *State) QueueGreetings(peers []string) {
	for _, peer := range peers {
		if peer != s.Self.Peer && len(s.toGreet) < maxEntryRefs {
			s.toGreet = append(s.toGreet, peer)
		}
	}
}

// takeGreetingAddresses returns the addresses to greet now: all queued ones, or
// else at random a seed, often while the VM knows no other VM or domain, less
// often soon after the start and seldom later.
func (s *State) takeGreetingAddresses(alive []VM) []string {
	if len(s.toGreet) > 0 {
		addresses := s.toGreet
		s.toGreet = nil
		return addresses
	}
	// A greeting is sent in one of so many rounds of gossip; startHeartbeats is the
	// number of rounds that count as soon after the start.
	const everyAlone, everyAfterStart, everyLater, startHeartbeats = 2, 4, 200, 120
	every := everyLater
	switch {
	case len(alive) == 0 || len(s.domains) < 2:
		every = everyAlone
	case s.Self.Counter < startHeartbeats:
		every = everyAfterStart
	}
	if len(s.Seeds) == 0 || s.random.IntN(every) != 0 {
		return nil
	}
	return []string{s.Seeds[s.random.IntN(len(s.Seeds))]}
}

// otherPartSummary returns the held summary of the failure domain of a VM that
// greets without knowing another VM of its domain, if the held one names entries
// that the VM's own summary lacks. Two parts of the domain have then formed
// apart, and the VM finds the other part through the reply. It must be called
// before the greeting is merged, which may replace the held summary.
func (s *State) otherPartSummary(g Gossip) []Domain {
	at, found := slices.BinarySearchFunc(s.domains, g.From.Domain, compareDomain)
	if !g.Greet || g.Known > 0 || !found || g.From.Domain == s.Self.Domain {
		return nil
	}
	var named []EntryRef
	for _, domain := range g.Domains {
		if domain.Name == g.From.Domain {
			named = domain.Entries
		}
	}
	held := s.domains[at].Domain
	incomplete := slices.ContainsFunc(held.Entries, func(e EntryRef) bool {
		return e.ID != g.From.ID && !slices.ContainsFunc(named, func(o EntryRef) bool { return o.ID == e.ID })
	})
	if !incomplete {
		return nil
	}
	return []Domain{held}
}

// knowsMore reports whether the sender of a greeting lacks VMs or domains that
// are known here. In a settled fleet most greetings need no reply.
func (s *State) knowsMore(g Gossip, now time.Time) bool {
	if !g.Greet {
		return false
	}
	if len(g.Domains) < len(s.freshSummaries(now)) {
		return true
	}
	if g.From.Domain == s.Self.Domain {
		return g.Known < len(s.alive())
	}
	at, found := slices.BinarySearchFunc(s.domains, g.From.Domain, compareDomain)
	return found && g.Known+1 < s.domains[at].VMs
}

// mergeForeignVM notes an entry of a failure domain without a summary yet, so
// that two domains can find each other through their seeds. It reports whether
// the domain was unknown.
func (s *State) mergeForeignVM(vm VM, now time.Time) bool {
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
		summaryAt: now,
		heardAt:   now,
	})
	return true
}

// greetingSummaries returns the summaries for a greeting. In its first seconds a
// VM sends all it knows, because parts of another domain may find each other
// through it. Later greetings are mainly requests for a reply, and leave out the
// entries of other domains, which are most of the bytes.
func (s *State) greetingSummaries(now time.Time) []Domain {
	domains := s.freshSummaries(now)
	for i := range domains {
		if domains[i].Name != s.Self.Domain && s.Self.Counter > fullGreetingHeartbeats {
			domains[i].Entries = nil
		}
	}
	return domains
}

// queueUnknownEntries queues greetings to VMs of the own domain that only other
// VMs know, so that parts of a domain that formed apart find each other.
func (s *State) queueUnknownEntries(entries []EntryRef) {
	for _, entry := range entries {
		_, found := slices.BinarySearchFunc(s.records, entry.ID, compareRecord)
		if found || entry.ID == s.Self.ID || slices.Contains(s.toGreet, entry.Peer) {
			continue
		}
		if len(s.toGreet) < maxEntryRefs {
			s.toGreet = append(s.toGreet, entry.Peer)
		}
	}
}
