package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// configurePlacingPools applies a new document to the pools from which this VM
// chooses servers itself: services, weights and closures.
func (s *State) configurePlacingPools() {
	for name, pool := range s.placingPools {
		service := s.document.Services.ByName(name)
		if service == nil || service.Placing != document.PlacingEntry {
			s.formerPools[name] = formerPool{pool, s.now}
			delete(s.placingPools, name)
		}
	}
	maps.DeleteFunc(s.formerPools, func(_ string, f formerPool) bool { return s.now.Sub(f.at) > formerPoolKept })
	s.routeSplits = make(map[*document.Route]*placing.Split)
	s.closures = make(map[document.Closure]int64, len(s.document.Closures.Closures))
	for _, closure := range s.document.Closures.Closures {
		start := closure.Start
		closure.Start = 0
		s.closures[closure] = max(s.closures[closure], start)
	}
	s.dropEarlyClosures()
	s.updatePlacingPools()
}

// reopenedWithin is the age up to which a VM that starts treats a failure
// domain as just reopened: placing.PresumedColdTime plus the difference between
// the clocks of VMs, which can be seconds. Servers of a reopened domain may be
// cold; they report it only with their next announcement.
const reopenedWithin = 8 * time.Second

// coldTimeOf returns how long a server of a service counts as cold when it may have turned cold
// just now: word of it may be on its way for as long as it is cold.
func coldTimeOf(d *document.Document, service string) time.Duration {
	if service := d.Services.ByName(service); service != nil {
		return max(service.Cold.Std(), placing.PresumedColdTime)
	}
	return placing.PresumedColdTime
}

// presumeCold limits servers of failure domains that a new document reopens to
// the rate of cold servers. A VM that starts has no previous document to
// compare with and goes by the time of the reopening.
func (s *State) presumeCold(next *document.Document) {
	for _, reopened := range next.Closures.Reopened {
		openedLately := s.document == nil && s.now.Sub(time.UnixMilli(reopened.At)).Abs() < reopenedWithin
		if s.document != nil {
			openedLately = !slices.Contains(s.document.Closures.Reopened, reopened)
		}
		if openedLately {
			s.roster.PresumeCold(reopened.Name, func(service string) time.Duration { return coldTimeOf(next, service) }, s.now)
		}
	}
}

// updatePlacingPools updates the usable servers and the cold rate of each pool.
func (s *State) updatePlacingPools() {
	if s.document == nil || s.Settings.Entry == "" {
		return
	}
	demand := s.demandByRegion()
	for i := range s.document.Services.Services {
		service := &s.document.Services.Services[i]
		if service.Placing != document.PlacingEntry {
			continue
		}
		pool := s.placingPools[service.Name]
		if pool == nil {
			pool = s.openPool(service.Name)
			s.placingPools[service.Name] = pool
		}
		s.limitColdRate(&pool.Policy, service.ColdRate)
		pool.Policy.ColdTime = service.Cold.Std()
		pool.Policy.ColdHeld = !s.entriesKnown
		pool.Policy.Demand, pool.Policy.Entries = demand, s.liveEntries
		pool.Update(s.usableServers(service))
	}
}

// formerPool is the pool of a service that left the document. Its servers may still be cold, and
// this entry has used its turns there, when the service returns.
type formerPool struct {
	pool *placing.Pool
	at   time.Time
}

const formerPoolKept = 10 * time.Minute

// openPool returns the pool of a service that is new in the document, or returned to it.
func (s *State) openPool(service string) *placing.Pool {
	if former, found := s.formerPools[service]; found {
		delete(s.formerPools, service)
		return former.pool
	}
	own := placing.Site{Domain: s.Settings.Domain, Region: s.Settings.Region}
	return placing.NewPool(placing.Policy{Service: service}, own)
}

// demandByRegion returns the number of failure domains of each region: each has callers
// and entries of its own. What is known of live VMs would change with every restart, and
// the homes of objects with it.
func (s *State) demandByRegion() map[string]float64 {
	demand := make(map[string]float64)
	for _, domain := range s.document.Places.Domains {
		demand[domain.Region]++
	}
	return demand
}

// Limits on what one entry sends to a cold server. The server counts the
// requests of any second, so an entry that sends at most once a second adds at
// most one.
const (
	coldSendSpacing = 1.25 // seconds between two sends of one entry, at least: the first may be delayed on its way, the second not
	coldRateSpare   = 0.2  // share of the rate that must be left where each entry sends once a second, for those that others do not count yet
	coldRatePart    = 0.4  // share of the rate that entries use together where they take turns
)

// limitColdRate sets this entry's share of the rate of a cold server. Where the
// share is about one request a second or less, the entries take turns by ColdEntryIndex.
func (s *State) limitColdRate(policy *placing.Policy, rate float64) {
	policy.ColdRate, policy.ColdEntries, policy.ColdEntryIndex = 0, 0, s.entryIndex
	if rate <= 0 {
		return
	}
	entries := max(1, s.entryCount)
	if float64(entries) <= rate*(1-coldRateSpare) {
		policy.ColdRate = 1 / coldSendSpacing
		return
	}
	policy.ColdRate, policy.ColdEntries = rate/float64(entries)*coldRatePart, entries
}

func (s *State) usableServers(service *document.Service) []placing.ServerInfo {
	canAsk := s.roster.ServiceHealthPath(service.Name) != ""
	var servers []placing.ServerInfo
	for _, entry := range s.roster.Entries {
		if entry.Service != service.Name || entry.Gone || entry.Leaving || entry.Silent {
			continue
		}
		if s.checkRecord(entry.Record) != "" {
			// Another VM, of a release that checks less, has taken and logged it.
			continue
		}
		region := s.document.Places.RegionOf(entry.Domain)
		if region == "" || !service.AllowedIn(region) {
			continue
		}
		servers = append(servers, placing.ServerInfo{
			ID:        entry.ID,
			Address:   entry.Address,
			Start:     entry.Start,
			Slots:     entry.Slots,
			ColdUntil: entry.ColdUntil,
			Word:      entry.Word,
			CanAsk:    canAsk,
			Closed:    s.isClosed(entry),
			Limit:     entry.Limit,
			Site:      placing.Site{Domain: entry.Domain, Region: region},
		})
	}
	return servers
}

// isClosed reports whether the document, or a closure that is ahead of it, closes the
// server or its failure domain to new requests.
func (s *State) isClosed(entry *roster.Entry) bool {
	domain := document.Closure{Kind: document.CloseDomain, Name: entry.Domain}
	server := document.Closure{Kind: document.CloseServer, Name: entry.ID, Start: entry.Start}
	return s.closedByDocument(domain) || s.closedByDocument(server) || s.closedEarly(domain) || s.closedEarly(server)
}

// closedByDocument reports whether the document in force has a closure that covers this one.
func (s *State) closedByDocument(closure document.Closure) bool {
	start := closure.Start
	closure.Start = 0
	latest, found := s.closures[closure]
	return found && latest >= start
}
