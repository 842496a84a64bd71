package member

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/quarantine"
)

// gossipDomains lets the relays exchange summaries between failure domains;
// inside a domain they ride on the ordinary gossip.
func (s *State) gossipDomains(now time.Time) []Outgoing {
	if !s.IsRelay() {
		return nil
	}
	s.summarise(now)
	message := Gossip{From: s.Self, Domains: s.brief(s.known(now), now)}
	target := s.nextDomain()
	if target == nil {
		return nil
	}
	entry := target.Entries[s.random.IntN(min(len(target.Entries), fanout))]
	return []Outgoing{{Address: entry.Peer, Gossip: message}}
}

// nextDomain takes the other failure domains in turn. The first relay goes
// through them upwards and the second downwards, so that each is reached soon.
func (s *State) nextDomain() *Domain {
	step := 1
	if s.lowerRelays() > 0 {
		step = -1
	}
	n := len(s.domains)
	for range n {
		s.domainTurn = (s.domainTurn + step + n) % n
		domain := &s.domains[s.domainTurn].Domain
		if domain.Name != s.Self.Domain && len(domain.Entries) > 0 {
			return domain
		}
	}
	return nil
}

// brief leaves entries that did not change lately out of most messages.
func (s *State) brief(domains []Domain, now time.Time) []Domain {
	s.summaries++
	if s.summaries%rosterEvery == 0 {
		return domains
	}
	for i := range domains {
		at, found := slices.BinarySearchFunc(s.domains, domains[i].Name, compareDomain)
		if !found || now.Sub(s.domains[at].rosterAt) > rosterNews {
			domains[i].Entries = nil
		}
	}
	return domains
}

// someDomains returns the summaries that are news: those passed on least often
// since they changed, and of these the ones that waited longest.
func (s *State) someDomains(now time.Time) []Domain {
	var fresh []*domainRecord
	for i := range s.domains {
		if s.domains[i].current(now) {
			fresh = append(fresh, &s.domains[i])
		}
	}
	slices.SortStableFunc(fresh, func(a, b *domainRecord) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), a.heardAt.Compare(b.heardAt))
	})
	most := someSummaries
	if len(s.records) < fewVMs {
		most = moreSummaries
	}
	var chosen []Domain
	for _, record := range fresh[:min(most, len(fresh))] {
		record.sent++
		chosen = append(chosen, record.Domain)
	}
	return s.brief(chosen, now)
}

func (d *domainRecord) current(now time.Time) bool {
	return d.Version > 0 && now.Sub(d.heardAt) < DomainSilentAfter
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
			own.Entries = append(own.Entries, EntryRef{ID: vm.ID, Peer: vm.Peer, Entry: vm.Entry, Ready: vm.Document > 0, Control: vm.Control})
		}
		own.Services = append(own.Services, vm.Services...)
	}
	own.Roster = rosterHash(own.Entries)
	slices.SortFunc(own.Services, func(a, b dispatch.Summary) int { return strings.Compare(a.Service, b.Service) })
	rosterAt := s.domains[at].rosterAt
	if s.domains[at].Roster != own.Roster {
		rosterAt = now
	}
	s.domains[at] = domainRecord{Domain: own, heardAt: now, rosterAt: rosterAt}
}

// known returns the summaries that are not outdated.
func (s *State) known(now time.Time) []Domain {
	var domains []Domain
	for _, d := range s.domains {
		if d.current(now) {
			domains = append(domains, d.Domain)
		}
	}
	return domains
}

// rosterHash identifies a list of entries.
func rosterHash(entries []EntryRef) uint64 {
	digest := xxhash.New()
	for _, entry := range entries {
		fmt.Fprintln(digest, entry.ID, entry.Peer, entry.Entry, entry.Ready)
	}
	return digest.Sum64()
}

func (s *State) mergeDomain(d Domain, now time.Time) {
	if d.Name == s.Self.Domain {
		s.noteStrangers(d.Entries)
	}
	if d.Name == s.Self.Domain && s.IsRelay() {
		s.outlive(d)
		return
	}
	at, found := slices.BinarySearchFunc(s.domains, d.Name, compareDomain)
	if !found {
		s.domains = slices.Insert(s.domains, at, domainRecord{Domain: d, heardAt: now, rosterAt: now})
		return
	}
	held := &s.domains[at]
	if len(d.Entries) > 0 && d.Roster == held.Roster && rosterHash(held.Entries) != held.Roster {
		// A summary without its entries came first.
		held.Entries, held.rosterAt = d.Entries, now
	}
	// All VMs of a domain that restarted count from the beginning.
	restarted := now.Sub(held.heardAt) > DomainSilentAfter && d.Version != held.Version
	if d.Version <= held.Version && !restarted {
		return
	}
	rosterAt := held.rosterAt
	if d.Roster != held.Roster {
		rosterAt = now
	}
	if len(d.Entries) == 0 {
		// Entries of an older roster serve until the new one is named.
		d.Entries = held.Entries
	}
	s.domains[at] = domainRecord{Domain: d, heardAt: now, rosterAt: rosterAt}
}

// outlive keeps the versions of the own summary rising when the other relay's
// are ahead.
func (s *State) outlive(d Domain) {
	at, found := slices.BinarySearchFunc(s.domains, d.Name, compareDomain)
	if !found {
		s.domains = slices.Insert(s.domains, at, domainRecord{Domain: d})
		return
	}
	s.domains[at].Version = max(s.domains[at].Version, d.Version)
}

// SetBarred adds what this VM knows of crash-causing requests to its domain's summary.
func (s *State) SetBarred(entries []quarantine.Entry) {
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
	SilentFor time.Duration // since the last news of it
}

// Domains returns the known failure domains by name.
func (s *State) Domains(now time.Time) []DomainView {
	views := make([]DomainView, 0, len(s.domains))
	for _, d := range s.domains {
		views = append(views, DomainView{Domain: d.Domain, SilentFor: now.Sub(d.heardAt)})
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
