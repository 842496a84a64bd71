package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/quarantine"
)

// gossipDomains lets the relays exchange summaries between failure domains and
// hand them on to their own VMs.
func (s *State) gossipDomains(now time.Time) []Send {
	if !s.Relay() {
		return nil
	}
	s.summarise(now)
	message := Gossip{From: s.Self, Domains: s.known(now)}
	var sends []Send
	for _, at := range s.random.Perm(len(s.domains)) {
		domain := s.domains[at]
		if len(sends) == fanout || domain.Name == s.Self.Domain || len(domain.Entries) == 0 {
			continue
		}
		entry := domain.Entries[s.random.IntN(min(len(domain.Entries), fanout))]
		sends = append(sends, Send{Address: entry.Peer, Gossip: message})
	}
	for _, vm := range s.handOn() {
		sends = append(sends, Send{Address: vm.Peer, Gossip: message})
	}
	return sends
}

// handOn picks the own VMs that get the summaries in this round: all in a small
// domain, a rotating part of a large one.
func (s *State) handOn() []VM {
	const most = 4
	alive := s.alive()
	s.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(most, len(alive))]
}

// summarise renews the summary of the own failure domain.
func (s *State) summarise(now time.Time) {
	own := Domain{Name: s.Self.Domain, Region: s.Self.Region}
	at, found := slices.BinarySearchFunc(s.domains, own.Name, compareDomain)
	if found {
		own.Version = s.domains[at].Version + 1
		own.Barred = s.domains[at].Barred
	} else {
		s.domains = slices.Insert(s.domains, at, domainRecord{})
	}
	for _, vm := range s.Alive() {
		own.VMs++
		own.Document = max(own.Document, vm.Document)
		if !vm.Stopping && len(own.Entries) < maxEntryRefs {
			own.Entries = append(own.Entries, EntryRef{ID: vm.ID, Peer: vm.Peer, Entry: vm.Entry})
		}
		own.Services = append(own.Services, vm.Services...)
	}
	slices.SortFunc(own.Services, func(a, b dispatch.Summary) int { return strings.Compare(a.Service, b.Service) })
	s.domains[at] = domainRecord{Domain: own, heardAt: now}
}

// known returns the summaries that are not outdated.
func (s *State) known(now time.Time) []Domain {
	var domains []Domain
	for _, d := range s.domains {
		if d.Version > 0 && now.Sub(d.heardAt) < DomainSilent {
			domains = append(domains, d.Domain)
		}
	}
	return domains
}

func (s *State) mergeDomain(d Domain, now time.Time) {
	at, found := slices.BinarySearchFunc(s.domains, d.Name, compareDomain)
	switch {
	case !found:
		s.domains = slices.Insert(s.domains, at, domainRecord{Domain: d, heardAt: now})
	case d.Version > s.domains[at].Version:
		s.domains[at] = domainRecord{Domain: d, heardAt: now}
	case now.Sub(s.domains[at].heardAt) > DomainSilent && d.Version != s.domains[at].Version:
		// All VMs of the domain restarted and count from the beginning.
		s.domains[at] = domainRecord{Domain: d, heardAt: now}
	}
}

// Bar adds what this VM knows of crash-causing requests to its domain's summary.
func (s *State) Bar(entries []quarantine.Entry) {
	at, found := slices.BinarySearchFunc(s.domains, s.Self.Domain, compareDomain)
	if !found {
		return
	}
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b quarantine.Entry) int {
		return cmp.Or(cmp.Compare(b.Phase, a.Phase), b.Since.Compare(a.Since))
	})
	s.domains[at].Barred = sorted[:min(len(sorted), maxBarred)]
}

// DomainView is a failure domain as this VM sees it.
type DomainView struct {
	Domain
	Silent time.Duration // since the last news of it
}

// Domains returns the known failure domains by name.
func (s *State) Domains(now time.Time) []DomainView {
	views := make([]DomainView, 0, len(s.domains))
	for _, d := range s.domains {
		views = append(views, DomainView{Domain: d.Domain, Silent: now.Sub(d.heardAt)})
	}
	return views
}

// Owner returns the live VM of the own failure domain that owns the service:
// the one with the highest hash, so that a change of VMs moves few services.
func (s *State) Owner(service string) VM {
	best := s.Self
	bestHash := ownerHash(service, s.Self.ID)
	bestStops := s.Self.Stopping
	for _, r := range s.records {
		if r.dead {
			continue
		}
		hash := ownerHash(service, r.ID)
		if bestStops == r.Stopping && hash > bestHash || bestStops && !r.Stopping {
			best, bestHash, bestStops = r.VM, hash, r.Stopping
		}
	}
	return best
}

func ownerHash(service, vm string) uint64 {
	return xxhash.Sum64String(service + "\x00" + vm)
}
