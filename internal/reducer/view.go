package reducer

import (
	"slices"

	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// publish passes a new view to package node.
func (s *State) publish() {
	view := &View{
		Document:   s.document,
		Position:   s.documentAt,
		Owners:     slices.Clone(s.owners),
		Leader:     s.leader,
		Domain:     s.Settings.Domain,
		Stale:      s.stale,
		Leaving:    s.leaving,
		Sections:   s.sections,
		SectionsAt: s.sectionsAt,
		StartedAt:  s.startedAt,
	}
	view.Versions = s.Versions()
	for _, vm := range s.members.Alive() {
		if vm.Control && vm.ID != s.Settings.VM {
			view.LocalControl = append(view.LocalControl, vm.Peer)
		}
	}
	if s.document != nil {
		view.Ranks = s.document.Ranks.Order()
		view.RecentTables = s.recent.Tables()
		view.Table = view.RecentTables[len(view.RecentTables)-1]
		view.Domains = s.viewDomains()
	}
	view.Ready = s.isReady()
	s.emit(PublishView{View: view})
}

func (s *State) viewDomains() []ViewDomain {
	domains := s.members.Domains(s.now)
	views := make([]ViewDomain, 0, len(s.document.Places.Domains))
	for _, named := range s.document.Places.Domains {
		view := ViewDomain{Name: named.Name, Region: named.Region}
		var ready []readyEntry
		for _, domain := range domains {
			if domain.Name != named.Name {
				continue
			}
			view.Alive = domain.SilentFor < member.DomainSilentAfter
			for _, entry := range domain.Entries {
				if entry.Entry != "" && !entry.Ready {
					view.Starting = append(view.Starting, entry.Entry)
				}
				if entry.Entry != "" && entry.Ready && !s.document.Stops.Stopped(document.StopVM, entry.ID, s.now, LookupTTL) {
					ready = append(ready, readyEntry{entry.Entry, s.mostlyCut(entry.Cut)})
				}
			}
			view.Entries = entriesToTell(ready)
		}
		if named.Name == s.Settings.Domain {
			view.Alive = true
			view.Entries, view.Starting = s.ownEntries()
		}
		views = append(views, view)
	}
	return views
}

// isReady reports whether this VM takes callers.
func (s *State) isReady() bool {
	return s.document != nil && s.document.IsWritten() && s.now.Sub(s.startedAt) >= documentSearchTime && s.knowsServers()
}

// ownEntries returns the entries of the own failure domain that callers are told,
// and those that take no callers yet.
func (s *State) ownEntries() (entries, starting []string) {
	var ready []readyEntry
	for _, vm := range s.members.Alive() {
		if vm.Entry != "" && !vm.Ready() && !vm.Stopping {
			starting = append(starting, vm.Entry)
		}
		if vm.Entry != "" && vm.Ready() && !vm.Stopping && !s.document.Stops.Stopped(document.StopVM, vm.ID, s.now, LookupTTL) {
			ready = append(ready, readyEntry{vm.Entry, s.mostlyCut(vm.Cut)})
		}
	}
	return entriesToTell(ready), starting
}

// readyEntry is an entry that takes callers.
type readyEntry struct {
	address string
	cut     bool // it reaches most servers through other VMs only
}

const minToldEntries = 2 // of a failure domain, so that a caller has a second one to try

// mostlyCut reports whether a VM cannot connect to the servers of half of the failure domains
// or more.
func (s *State) mostlyCut(cut []string) bool {
	return len(cut) > 0 && 2*len(cut) >= len(s.document.Places.Domains)
}

// entriesToTell returns the entries of a failure domain that callers are told: those that are
// cut only while they are more than the others, who would have to take on their callers.
func entriesToTell(ready []readyEntry) []string {
	var sound, cut []string
	for _, e := range ready {
		if e.cut {
			cut = append(cut, e.address)
		} else {
			sound = append(sound, e.address)
		}
	}
	if len(sound) >= minToldEntries && len(sound) >= len(cut) {
		return sound
	}
	return append(sound, cut...)
}
