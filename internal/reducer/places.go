package reducer

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// configurePlaces follows a new document: its services, weights and closures.
func (s *State) configurePlaces() {
	for name := range s.places {
		service := s.document.Services.ByName(name)
		if service == nil || service.Placing != document.PlacingEntry {
			delete(s.places, name)
		}
	}
	s.splits = make(map[string]*placing.Split)
	s.closures = make(map[document.Closure]bool, len(s.document.Closures.Closures))
	for _, closure := range s.document.Closures.Closures {
		s.closures[closure] = true
	}
	s.updatePlaces()
}

// A failure domain that was opened may have cold servers, which say so with their
// next announcement. A VM that starts counts those opened within this time:
// placing.PresumedCold, and clocks that differ by seconds.
const reopenedAge = 8 * time.Second

// presumeCold holds servers of failure domains that a new document opens to the
// rate of cold ones. A VM that starts has seen no opening and goes by its time.
func (s *State) presumeCold(closures document.Closures) {
	for _, reopened := range closures.Reopened {
		lately := s.document == nil && s.now.Sub(time.UnixMilli(reopened.At)).Abs() < reopenedAge
		if s.document != nil {
			lately = !slices.Contains(s.document.Closures.Reopened, reopened)
		}
		if lately {
			s.roster.PresumeCold(reopened.Name, s.now.Add(placing.PresumedColdTime))
		}
	}
}

// updatePlaces gives each pool the servers that may be used.
func (s *State) updatePlaces() {
	if s.document == nil || s.Settings.Entry == "" {
		return
	}
	for i := range s.document.Services.Services {
		service := &s.document.Services.Services[i]
		if service.Placing != document.PlacingEntry {
			continue
		}
		pool := s.places[service.Name]
		if pool == nil {
			own := placing.Site{Domain: s.Settings.Domain, Region: s.Settings.Region}
			pool = placing.NewPool(placing.Policy{Service: service.Name}, own)
			s.places[service.Name] = pool
		}
		s.spareCold(&pool.Policy, service.ColdRate)
		pool.Update(s.serversOf(service))
	}
}

// Parts of a cold server's rate that one entry may use. A server counts what it
// gets in any second, so an entry that sends at most once a second adds one.
const (
	coldSpacing = 1.02 // seconds, the shortest time between two sends of one entry
	coldPart    = 0.4  // of the rate that the entries use together where each gets less than one a second
)

// spareCold gives this entry its part of the rate of a cold server, and its turn where
// the part is less than one request a second.
func (s *State) spareCold(policy *placing.Policy, rate float64) {
	policy.ColdRate, policy.ColdEntries, policy.ColdEntryIndex = 0, 0, s.entriesBefore
	if rate <= 0 {
		return
	}
	entries := max(1, s.entries)
	each := rate / float64(entries)
	if each >= 1 {
		policy.ColdRate = 1 / coldSpacing
		return
	}
	policy.ColdRate, policy.ColdEntries = each*coldPart, entries
}

func (s *State) serversOf(service *document.Service) []placing.ServerInfo {
	var seen []placing.ServerInfo
	for _, entry := range s.roster.Entries {
		if entry.Service != service.Name || entry.Gone || entry.Leaving || entry.Silent {
			continue
		}
		region := s.document.Places.RegionOf(entry.Domain)
		if region == "" || !service.AllowedIn(region) {
			continue
		}
		seen = append(seen, placing.ServerInfo{
			ID:        entry.ID,
			Address:   entry.Address,
			Start:     entry.Start,
			Slots:     entry.Slots,
			ColdUntil: entry.ColdUntil,
			Closed:    s.closed(entry),
			Site:      placing.Site{Domain: entry.Domain, Region: region},
		})
	}
	return seen
}

// closed reports whether the document keeps new work from the server.
func (s *State) closed(entry *roster.Entry) bool {
	return s.closures[document.Closure{Kind: document.CloseDomain, Name: entry.Domain}] ||
		s.closures[document.Closure{Kind: document.CloseServer, Name: entry.ID, Start: entry.Start}]
}
