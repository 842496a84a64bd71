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

// gossipDomains returns the message of a relay to another failure domain. Inside
// a domain, summaries are part of the gossip between its VMs.
func (s *State) gossipDomains(now time.Time) []Outgoing {
	if !s.IsRelay() {
		return nil
	}
	s.updateOwnSummary(now)
	message := Gossip{From: s.Self, Domains: s.trimEntries(s.freshSummaries(now), now), Versions: s.versions(now)}
	target := s.nextDomain()
	if target == nil {
		return nil
	}
	entry := target.Entries[s.random.IntN(min(len(target.Entries), fanout))]
	return []Outgoing{{Address: entry.Peer, Gossip: message}}
}

// nextDomain returns the other failure domains in turn. The first relay goes
// through them upwards and the second downwards, so that each is reached soon.
func (s *State) nextDomain() *Domain {
	step := 1
	if s.countLowerIDs() > 0 {
		step = -1
	}
	n := len(s.domains)
	for range n {
		s.lastDomainIndex = (s.lastDomainIndex + step + n) % n
		domain := &s.domains[s.lastDomainIndex].Domain
		if domain.Name != s.Self.Domain && len(domain.Entries) > 0 {
			return domain
		}
	}
	return nil
}

// trimEntries leaves entries that did not change recently out of most messages.
func (s *State) trimEntries(domains []Domain, now time.Time) []Domain {
	s.summaryMessages++
	if s.summaryMessages%entriesEvery == 0 {
		return domains
	}
	for i := range domains {
		at, found := slices.BinarySearchFunc(s.domains, domains[i].Name, compareDomain)
		if !found || now.Sub(s.domains[at].entriesChangedAt) > entriesNewFor {
			domains[i].Entries = nil
		}
	}
	return domains
}

// pickSummaries returns a few summaries for a message: those sent least often
// since they arrived, and of these the ones that arrived first.
func (s *State) pickSummaries(now time.Time) []Domain {
	var fresh []*domainRecord
	for i := range s.domains {
		if s.domains[i].fresh(now) {
			fresh = append(fresh, &s.domains[i])
		}
	}
	slices.SortStableFunc(fresh, func(a, b *domainRecord) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), a.summaryAt.Compare(b.summaryAt))
	})
	limit := summariesPerMessage
	if len(s.records) < smallDomainVMs {
		limit = summariesInSmallDomain
	}
	var chosen []Domain
	for _, record := range fresh[:min(limit, len(fresh))] {
		record.timesSent++
		chosen = append(chosen, record.Domain)
	}
	return s.trimEntries(chosen, now)
}

// updateOwnSummary replaces the summary of the own failure domain by a new
// version.
func (s *State) updateOwnSummary(now time.Time) {
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
			own.Entries = append(own.Entries, EntryRef{ID: vm.ID, Peer: vm.Peer, Entry: vm.Entry, Ready: vm.Ready(), Control: vm.Control, Cut: vm.Cut})
		}
		own.Services = append(own.Services, vm.Services...)
	}
	own.EntryVMs, _ = s.ownEntries(now)
	own.Roster = hashEntries(own.Entries)
	slices.SortFunc(own.Services, func(a, b dispatch.Summary) int { return strings.Compare(a.Service, b.Service) })
	entriesChangedAt := s.domains[at].entriesChangedAt
	if s.domains[at].Roster != own.Roster {
		entriesChangedAt = now
	}
	s.domains[at] = domainRecord{Domain: own, summaryAt: now, entriesChangedAt: entriesChangedAt, heardVersion: own.Version, heardAt: now}
}

// freshSummaries returns the summaries that are not stale.
func (s *State) freshSummaries(now time.Time) []Domain {
	var domains []Domain
	for _, d := range s.domains {
		if d.fresh(now) {
			domains = append(domains, d.Domain)
		}
	}
	return domains
}

// hashEntries returns a hash that identifies a list of entries.
func hashEntries(entries []EntryRef) uint64 {
	digest := xxhash.New()
	for _, entry := range entries {
		fmt.Fprintln(digest, entry.ID, entry.Peer, entry.Entry, entry.Ready)
		if len(entry.Cut) > 0 {
			fmt.Fprintln(digest, entry.Cut)
		}
	}
	return digest.Sum64()
}

// mergeDomain takes over a summary that is newer than the one held.
func (s *State) mergeDomain(d Domain, now time.Time) {
	if d.Name == s.Self.Domain {
		s.queueUnknownEntries(d.Entries)
		s.noteToldEntries(d)
	}
	if d.Name == s.Self.Domain && s.IsRelay() {
		s.raiseOwnVersion(d)
		return
	}
	at, found := slices.BinarySearchFunc(s.domains, d.Name, compareDomain)
	if !found {
		s.domains = slices.Insert(s.domains, at, domainRecord{Domain: d, summaryAt: now, entriesChangedAt: now, heardVersion: d.Version, heardAt: now})
		return
	}
	held := &s.domains[at]
	if len(d.Entries) > 0 && d.Roster == held.Roster && hashEntries(held.Entries) != held.Roster {
		// The same version without its entries arrived before.
		held.Entries, held.entriesChangedAt = d.Entries, now
	}
	// Versions begin anew when all VMs of a domain restart, so a lower version
	// replaces a stale summary.
	restarted := now.Sub(held.heardAt) > DomainSilentAfter && d.Version != held.Version
	if d.Version <= held.Version && !restarted {
		return
	}
	entriesChangedAt := held.entriesChangedAt
	if d.Roster != held.Roster {
		entriesChangedAt = now
	}
	if len(d.Entries) == 0 {
		// Keep the entries of the older roster until those of the new one
		// arrive.
		d.Entries = held.Entries
	}
	replaced := domainRecord{Domain: d, summaryAt: now, entriesChangedAt: entriesChangedAt, heardVersion: held.heardVersion, heardAt: held.heardAt}
	replaced.formerEntries, replaced.formerUntil = held.formerEntries, held.formerUntil
	if restarted {
		replaced.heardVersion = 0
		replaced.formerEntries, replaced.formerUntil = held.entries(now), now.Add(forgetAfter)
	}
	replaced.heard(d.Version, now)
	s.domains[at] = replaced
}

// raiseOwnVersion raises the version of the own summary to that of d, sent by the
// other relay, when that is higher, so that versions never go back.
func (s *State) raiseOwnVersion(d Domain) {
	at, found := slices.BinarySearchFunc(s.domains, d.Name, compareDomain)
	if !found {
		s.domains = slices.Insert(s.domains, at, domainRecord{Domain: d})
		return
	}
	s.domains[at].Version = max(s.domains[at].Version, d.Version)
}

// SetBarred puts requests that are known or suspected to crash backend servers
// into the summary of the own failure domain: at most maxBarred, those of the
// highest phase first, and of these the newest.
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

// DomainView is what this VM knows of a failure domain.
type DomainView struct {
	Domain
	SilentFor  time.Duration // since it was last heard
	SummaryAge time.Duration // since its last new summary
}

// Domains returns the known failure domains by name.
func (s *State) Domains(now time.Time) []DomainView {
	views := make([]DomainView, 0, len(s.domains))
	for _, d := range s.domains {
		views = append(views, DomainView{Domain: d.Domain, SilentFor: now.Sub(d.heardAt), SummaryAge: now.Sub(d.summaryAt)})
	}
	return views
}

// Owner returns the live VM of the own failure domain that owns the service. It
// is chosen by rendezvous hashing, so that a change of VMs moves few services;
// stopping VMs own services only when all live VMs are stopping.
func (s *State) Owner(service string) VM {
	best := s.Self
	bestHash := ownerHash(service, s.Self.ID)
	bestStopping := s.Self.Stopping
	for _, r := range s.records {
		if r.dead {
			continue
		}
		hash := ownerHash(service, r.ID)
		if bestStopping == r.Stopping && hash > bestHash || bestStopping && !r.Stopping {
			best, bestHash, bestStopping = r.VM, hash, r.Stopping
		}
	}
	return best
}

// ControlOwner returns the control VM of the own failure domain that Owner would return if there
// were no other VMs, and what Owner returns where no control VM is live that is not stopping.
func (s *State) ControlOwner(key string) VM {
	var best VM
	consider := func(vm VM) {
		if vm.Control && !vm.Stopping && (best.ID == "" || ownerHash(key, vm.ID) > ownerHash(key, best.ID)) {
			best = vm
		}
	}
	consider(s.Self)
	for _, r := range s.records {
		if !r.dead {
			consider(r.VM)
		}
	}
	if best.ID == "" {
		return s.Owner(key)
	}
	return best
}

// Owner returns the VM of another failure domain that Owner there most likely returns,
// or the zero value if none is known.
func (d Domain) Owner(key string) EntryRef {
	var best EntryRef
	for _, entry := range d.Entries {
		if best.ID == "" || ownerHash(key, entry.ID) > ownerHash(key, best.ID) {
			best = entry
		}
	}
	return best
}

// ControlOwner returns the VM of another failure domain that ControlOwner there most likely
// returns, or the zero value if none is known.
func (d Domain) ControlOwner(key string) EntryRef {
	var best EntryRef
	for _, entry := range d.Entries {
		if entry.Control && (best.ID == "" || ownerHash(key, entry.ID) > ownerHash(key, best.ID)) {
			best = entry
		}
	}
	if best.ID == "" {
		return d.Owner(key)
	}
	return best
}

// HeardShare returns the share of the VMs of the own failure domain, this one included,
// that this VM takes for alive. VMs that stopped as planned do not count. Where a cut
// divides the domain, the shares of its parts add up to 1 at most.
func (s *State) HeardShare() float64 {
	known, heard := 1, 1
	for _, r := range s.records {
		if r.dead && r.Stopping {
			continue
		}
		known++
		if !r.dead {
			heard++
		}
	}
	return float64(heard) / float64(known)
}

func ownerHash(service, vm string) uint64 {
	return xxhash.Sum64String(service + "\x00" + vm)
}
