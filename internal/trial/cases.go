package trial

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Case is what goes wrong in a run, from faultBegin to faultEnd.
type Case struct {
	Name        string
	BrowseFlood float64 // times the fleets' capacity
	PayFlood    float64
	RegionDies  bool
	Stop        bool // planned stop of a failure domain
	NoMeasures  bool // summaries between domains stop
	FailingIdle bool // a server of each service fails at once
	Cold        bool // caches are per server and block
	ColdMove    bool // a failure domain dies, the others are cold
	Killer      bool // a request kills each server that runs it
	Link        document.BitsRate
	Cut         bool // a failure domain is cut off from the others
}

// Cases are the single faults.
func Cases() []Case {
	return []Case{
		{Name: "steady"},
		{Name: "browse-flood", BrowseFlood: 5},
		{Name: "pay-flood", PayFlood: 3},
		{Name: "region-dies", RegionDies: true},
		{Name: "planned-stop", Stop: true},
		{Name: "no-measures", NoMeasures: true},
		{Name: "failing-idle", FailingIdle: true},
		{Name: "cold-move", Cold: true, ColdMove: true},
		{Name: "killer", Killer: true},
		{Name: "link-limit", Link: 20e6},
		{Name: "silent-cut", Cut: true},
	}
}

// Pairs are all pairs of single faults.
func Pairs() []Case {
	single := Cases()[1:]
	var pairs []Case
	for i := range single {
		for j := i + 1; j < len(single); j++ {
			pairs = append(pairs, single[i].with(single[j]))
		}
	}
	return pairs
}

func (c Case) with(d Case) Case {
	c.Name += "+" + d.Name
	c.BrowseFlood = max(c.BrowseFlood, d.BrowseFlood)
	c.PayFlood = max(c.PayFlood, d.PayFlood)
	c.Link = max(c.Link, d.Link)
	c.RegionDies = c.RegionDies || d.RegionDies
	c.Stop = c.Stop || d.Stop
	c.NoMeasures = c.NoMeasures || d.NoMeasures
	c.FailingIdle = c.FailingIdle || d.FailingIdle
	c.Cold = c.Cold || d.Cold
	c.ColdMove = c.ColdMove || d.ColdMove
	c.Killer = c.Killer || d.Killer
	c.Cut = c.Cut || d.Cut
	return c
}

// Domains that the faults hit, by number.
const (
	deadRegion  = 0
	stopDomain  = 2
	coldDomain  = 3
	cutDomain   = 4
	killerSends = 20
	killerPause = 200 * time.Millisecond
)

func (w *World) domain(number int) document.Domain { return w.Document.Places.Domains[number] }

// schedule plans the faults of the case.
func (w *World) schedule() {
	if w.Case.RegionDies {
		region := w.Document.Places.Regions[deadRegion].Name
		w.outage(func(s *server) bool { return s.region == region })
	}
	if w.Case.ColdMove {
		domain := w.domain(coldDomain).Name
		w.outage(func(s *server) bool { return s.domain == domain })
	}
	if w.Case.FailingIdle {
		w.failing()
	}
	if w.Case.Killer {
		w.after(faultBegin, func() { w.sendKiller(killerSends) })
	}
}

func (w *World) outage(hit func(*server) bool) {
	w.after(faultBegin, func() {
		for _, s := range w.servers {
			if hit(s) {
				w.fell(s)
			}
		}
	})
	w.after(faultEnd, func() {
		for _, s := range w.servers {
			if hit(s) {
				s.alive = true
			}
		}
	})
}

func (w *World) failing() {
	first := make(map[string]bool)
	for _, s := range w.servers {
		if first[s.service] {
			continue
		}
		first[s.service] = true
		w.after(faultBegin, func() { s.failing = true })
		w.after(faultEnd, func() { s.failing = false })
	}
}

func (w *World) sendKiller(left int) {
	if left == 0 {
		return
	}
	service := w.Document.Services.Services[0].Name
	w.policy.arrive(&request{
		service:  service,
		rank:     len(w.ranks) - 1,
		client:   netip.AddrFrom4([4]byte{10, 20, 250, 1}),
		arrived:  w.now(),
		deadline: w.now().Add(time.Second),
		work:     time.Second,
		killer:   true,
	})
	w.after(killerPause, func() { w.sendKiller(left - 1) })
}

// entryAlive reports whether the VMs of a failure domain run.
func (w *World) entryAlive(domain string) bool {
	if !w.during() {
		return true
	}
	region := w.Document.Places.RegionOf(domain)
	dead := w.Case.RegionDies && region == w.Document.Places.Regions[deadRegion].Name
	return !dead && !(w.Case.ColdMove && domain == w.domain(coldDomain).Name)
}

// connected reports whether messages pass between two failure domains.
func (w *World) connected(a, b string) bool {
	if a == b {
		return true
	}
	if w.during() && w.Case.Cut && (a == w.domain(cutDomain).Name || b == w.domain(cutDomain).Name) {
		return false
	}
	return w.entryAlive(a) && w.entryAlive(b)
}

func (w *World) oneWay(a, b string) time.Duration {
	const within = 500 * time.Microsecond
	from, to := w.Document.Places.RegionOf(a), w.Document.Places.RegionOf(b)
	return within + w.Document.Places.OneWay(from, to)
}

func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.service, b.service), a.client.Compare(b.client), cmp.Compare(a.rank, b.rank))
	})
}
