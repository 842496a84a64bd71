package trial

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Case is the set of faults of a run. They last from faultStart to faultEnd, but
// ColdCaches and LinkLimit apply to the whole run, and the crash requests end
// once all are sent.
type Case struct {
	Name           string
	BrowseFlood    float64           // extra browsing requests, as a multiple of the fleets' capacity
	PayFlood       float64           // extra paying requests, likewise
	RegionFails    bool              // the VMs and servers of a region are down
	PlannedStop    bool              // a failure domain is stopped as planned
	NoSummaries    bool              // no summaries are exchanged between failure domains
	FailingServers bool              // one server of each service answers with errors at once
	ColdCaches     bool              // a server takes longer for a client block that it has not served lately
	DomainFails    bool              // the VMs and servers of a failure domain are down
	CrashRequests  bool              // requests are sent that crash each server that runs them
	LinkLimit      document.BitsRate // of each link between regions; 0 keeps the document's
	Partition      bool              // a failure domain exchanges no messages with the others
}

// Cases returns the run without faults and those with a single one.
func Cases() []Case {
	return []Case{
		{Name: "steady"},
		{Name: "browse-flood", BrowseFlood: 5},
		{Name: "pay-flood", PayFlood: 3},
		{Name: "region-dies", RegionFails: true},
		{Name: "planned-stop", PlannedStop: true},
		{Name: "no-measures", NoSummaries: true},
		{Name: "failing-idle", FailingServers: true},
		{Name: "cold-move", ColdCaches: true, DomainFails: true},
		{Name: "killer", CrashRequests: true},
		{Name: "link-limit", LinkLimit: 20e6},
		{Name: "silent-cut", Partition: true},
	}
}

// Pairs returns the cases that combine two single faults.
func Pairs() []Case {
	single := Cases()[1:]
	var pairs []Case
	for i := range single {
		for j := i + 1; j < len(single); j++ {
			pairs = append(pairs, single[i].combine(single[j]))
		}
	}
	return pairs
}

// combine returns a case with the faults of both.
func (c Case) combine(other Case) Case {
	c.Name += "+" + other.Name
	c.BrowseFlood = max(c.BrowseFlood, other.BrowseFlood)
	c.PayFlood = max(c.PayFlood, other.PayFlood)
	c.LinkLimit = max(c.LinkLimit, other.LinkLimit)
	c.RegionFails = c.RegionFails || other.RegionFails
	c.PlannedStop = c.PlannedStop || other.PlannedStop
	c.NoSummaries = c.NoSummaries || other.NoSummaries
	c.FailingServers = c.FailingServers || other.FailingServers
	c.ColdCaches = c.ColdCaches || other.ColdCaches
	c.DomainFails = c.DomainFails || other.DomainFails
	c.CrashRequests = c.CrashRequests || other.CrashRequests
	c.Partition = c.Partition || other.Partition
	return c
}

// Targets of the faults, by index in the document, and the crash requests.
const (
	failedRegion         = 0
	stoppedDomain        = 2
	failedDomain         = 3
	partitionedDomain    = 4
	crashRequestCount    = 20
	crashRequestInterval = 200 * time.Millisecond
)

func (sm *Simulation) domain(index int) document.Domain { return sm.Document.Places.Domains[index] }

// scheduleFaults schedules the faults of the case that change servers or send
// requests; the others are checked where they apply.
func (sm *Simulation) scheduleFaults() {
	if sm.Case.RegionFails {
		region := sm.Document.Places.Regions[failedRegion].Name
		sm.scheduleOutage(func(s *server) bool { return s.region == region })
	}
	if sm.Case.DomainFails {
		domain := sm.domain(failedDomain).Name
		sm.scheduleOutage(func(s *server) bool { return s.domain == domain })
	}
	if sm.Case.FailingServers {
		sm.scheduleFailingServers()
	}
	if sm.Case.CrashRequests {
		sm.schedule(faultStart, func() { sm.sendCrashRequests(crashRequestCount) })
	}
}

// scheduleOutage takes the affected servers down while the faults last.
func (sm *Simulation) scheduleOutage(affected func(*server) bool) {
	sm.schedule(faultStart, func() {
		for _, s := range sm.servers {
			if affected(s) {
				sm.crash(s)
			}
		}
	})
	sm.schedule(faultEnd, func() {
		for _, s := range sm.servers {
			if affected(s) {
				s.alive = true
			}
		}
	})
}

// scheduleFailingServers makes the first server of each service fail.
func (sm *Simulation) scheduleFailingServers() {
	chosen := make(map[string]bool)
	for _, s := range sm.servers {
		if chosen[s.service] {
			continue
		}
		chosen[s.service] = true
		sm.schedule(faultStart, func() { s.failing = true })
		sm.schedule(faultEnd, func() { s.failing = false })
	}
}

// sendCrashRequests sends crash requests, one every crashRequestInterval.
func (sm *Simulation) sendCrashRequests(remaining int) {
	if remaining == 0 {
		return
	}
	service := sm.Document.Services.Services[0].Name
	sm.policy.arrive(&request{
		service:       service,
		rank:          len(sm.ranks) - 1,
		client:        netip.AddrFrom4([4]byte{10, 20, 250, 1}),
		arrivedAt:     sm.now(),
		deadline:      sm.now().Add(time.Second),
		serviceTime:   time.Second,
		crashesServer: true,
	})
	sm.schedule(crashRequestInterval, func() { sm.sendCrashRequests(remaining - 1) })
}

// entryAlive reports whether the entry VMs of a failure domain are up.
func (sm *Simulation) entryAlive(domain string) bool {
	if !sm.faultActive() {
		return true
	}
	region := sm.Document.Places.RegionOf(domain)
	regionDown := sm.Case.RegionFails && region == sm.Document.Places.Regions[failedRegion].Name
	return !regionDown && !(sm.Case.DomainFails && domain == sm.domain(failedDomain).Name)
}

// connected reports whether messages pass between two failure domains.
func (sm *Simulation) connected(a, b string) bool {
	if a == b {
		return true
	}
	if sm.faultActive() && sm.Case.Partition && (a == sm.domain(partitionedDomain).Name || b == sm.domain(partitionedDomain).Name) {
		return false
	}
	return sm.entryAlive(a) && sm.entryAlive(b)
}

// oneWay returns the one-way latency between two failure domains.
func (sm *Simulation) oneWay(a, b string) time.Duration {
	const localDelay = 500 * time.Microsecond
	from, to := sm.Document.Places.RegionOf(a), sm.Document.Places.RegionOf(b)
	return localDelay + sm.Document.Places.OneWay(from, to)
}

// sortRequests puts requests collected from a map in a reproducible order.
func sortRequests(requests []*request) {
	slices.SortFunc(requests, func(a, b *request) int {
		return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), cmp.Compare(a.service, b.service), a.client.Compare(b.client), cmp.Compare(a.rank, b.rank))
	})
}
