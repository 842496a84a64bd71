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
// next announcement.
const (
	presumedCold = 2 * time.Second // the usual time between announcements, and the way of the news
	reopenedAge  = 8 * time.Second // for a VM that starts: presumedCold, and clocks that differ by seconds
)

// presumeCold holds servers of failure domains that a new document opens to the
// rate of cold ones. A VM that starts has seen no opening and goes by its time.
func (s *State) presumeCold(closures document.Closures) {
	for _, reopened := range closures.Reopened {
		lately := s.document == nil && s.now.Sub(time.UnixMilli(reopened.At)).Abs() < reopenedAge
		if s.document != nil {
			lately = !slices.Contains(s.document.Closures.Reopened, reopened)
		}
		if lately {
			s.roster.PresumeCold(reopened.Name, s.now.Add(presumedCold))
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
		pool.Policy.ColdRate = coldShare(service.ColdRate, s.entries)
		pool.Policy.ColdTurns, pool.Policy.ColdTurn = 0, s.entriesBefore
		if service.ColdRate < float64(s.entries) {
			pool.Policy.ColdTurns = s.entries
		}
		pool.Update(s.serversOf(service))
	}
}

// Parts of a cold server's rate that one entry may use. A server counts what it
// gets in any second, so an entry that sends at most once a second adds one.
const (
	coldSpacing = 1.02 // seconds, the shortest time between two sends of one entry
	coldPart    = 0.4  // of the rate that the entries use together where each gets less than one a second
)

// coldShare is the rate at which one of several entries may send to a cold
// server.
func coldShare(rate float64, entries int) float64 {
	if rate <= 0 {
		return 0
	}
	each := rate / float64(max(1, entries))
	if each >= 1 {
		return 1 / coldSpacing
	}
	return each * coldPart
}

func (s *State) serversOf(service *document.Service) []placing.Seen {
	var seen []placing.Seen
	for _, entry := range s.roster.Entries {
		if entry.Service != service.Name || entry.Gone || entry.Leaving || entry.Silent {
			continue
		}
		region := s.document.Places.RegionOf(entry.Domain)
		if region == "" || !service.AllowedIn(region) {
			continue
		}
		seen = append(seen, placing.Seen{
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
