package reducer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// tickPlan renews the weights, the neighbours of the pools and the view.
func (s *State) tickPlan() {
	if s.document == nil {
		return
	}
	domains := s.members.Domains(s.now)
	s.noteSilence(domains)
	moves := s.planner.Tick(s.now, s.document, s.sites(domains))
	s.limitArrivals(moves)
	s.recent.Add(s.planner.Table(s.blocks), s.now)
	for _, move := range moves {
		s.record(Audit{
			Kind:    AuditPlan,
			Outcome: "weights",
			Service: move.Service,
			To:      move.Place,
			From:    s.Settings.Domain,
			Amount:  move.Share,
			Limit:   move.Limit,
			Count:   move.Interval.Milliseconds(),
		})
	}
	s.noteStops()
	for _, pool := range s.pools {
		s.neighbours(pool, domains)
		pool.ApplyStops(s.stopCovers(pool), s.now)
	}
	s.publish()
}

// limitArrivals gives the part of the cap that the plan does not use to requests
// of clients placed elsewhere.
func (s *State) limitArrivals(moves []plan.Move) {
	for i := range s.document.Services.Services {
		service := &s.document.Services.Services[i]
		moving := slices.ContainsFunc(moves, func(m plan.Move) bool { return m.Service == service.Name })
		if moving {
			s.planMoved[service.Name] = s.now
		}
		lately := s.now.Sub(s.planMoved[service.Name]) < service.Interval.Std()
		s.arrivals[service.Name].Cap = shift.ArrivalCap(float64(service.Cap), lately)
	}
}

// noteStops records begin and end of planned stops, on control VMs only.
func (s *State) noteStops() {
	if s.quorum == nil {
		return
	}
	for _, stop := range s.document.Stops.Stops {
		active := stop.Active(s.now)
		if active == s.stopping[stop.Name] {
			continue
		}
		s.stopping[stop.Name] = active
		outcome := "stop-end"
		if active {
			outcome = "stop-begin"
		}
		s.record(Audit{Kind: AuditDrain, Outcome: outcome, Key: stop.Name, Server: stop.What, Section: string(stop.Kind)})
	}
}

func (s *State) noteSilence(domains []member.DomainView) {
	for _, domain := range domains {
		silent := domain.SilentFor > member.DomainSilentAfter
		if silent == s.silent[domain.Name] {
			continue
		}
		s.silent[domain.Name] = silent
		if silent {
			s.log(CodeDomainSilent, domain.Name, 0)
		} else {
			s.log(CodeDomainHeard, domain.Name, 0)
		}
	}
}

// planAhead is how long before a planned stop the weights begin to move: the
// time that moving everything takes within the cap, and the callers' caches.
func planAhead(service *document.Service) time.Duration {
	intervals := 1 / (float64(service.Cap) * shift.PlanShare)
	return time.Duration(intervals*float64(service.Interval.Std()+plan.TickInterval)) + LookupTTL
}

// LookupTTL is how long a caller may keep the answer to a look-up.
const LookupTTL = 10 * time.Second

func (s *State) sites(domains []member.DomainView) []plan.DomainStatus {
	sites := make([]plan.DomainStatus, 0, len(s.document.Places.Domains))
	for _, named := range s.document.Places.Domains {
		site := plan.DomainStatus{Name: named.Name, Region: named.Region, Stopping: s.domainStops(named)}
		for _, domain := range domains {
			if domain.Name != named.Name {
				continue
			}
			site.Alive = domain.SilentFor < member.DomainSilentAfter
			site.LoadsFresh = domain.SilentFor < member.DomainSilentAfter/2
			for _, summary := range domain.Services {
				site.Loads = append(site.Loads, plan.Load{
					Service:  summary.Service,
					Capacity: summary.Capacity,
					Demand:   float64(summary.InUse + summary.Waiting),
				})
			}
		}
		sites = append(sites, site)
	}
	return sites
}

func (s *State) domainStops(domain document.Domain) bool {
	ahead := LookupTTL
	for i := range s.document.Services.Services {
		ahead = max(ahead, planAhead(&s.document.Services.Services[i]))
	}
	stops := s.document.Stops
	return stops.Stopped(document.StopDomain, domain.Name, s.now, ahead) ||
		stops.Stopped(document.StopRegion, domain.Region, s.now, ahead)
}

func (s *State) stopCovers(pool *dispatch.Pool) func(string) bool {
	stops := s.document.Stops
	all := stops.Stopped(document.StopDomain, s.Settings.Domain, s.now, 0) ||
		stops.Stopped(document.StopRegion, s.Settings.Region, s.now, 0)
	return func(server string) bool {
		return all || stops.Stopped(document.StopUpstream, server, s.now, 0)
	}
}

// neighbours lists where a pool may borrow, the nearest first.
func (s *State) neighbours(pool *dispatch.Pool, domains []member.DomainView) {
	service := s.document.Services.ByName(pool.Policy.Service)
	if service == nil {
		return
	}
	var list []dispatch.Neighbour
	for _, domain := range domains {
		if domain.Name == s.Settings.Domain || domain.SilentFor > member.DomainSilentAfter || !service.AllowedIn(domain.Region) {
			continue
		}
		if s.domainStops(document.Domain{Name: domain.Name, Region: domain.Region}) {
			continue
		}
		for _, summary := range domain.Services {
			if summary.Service != service.Name {
				continue
			}
			list = append(list, dispatch.Neighbour{
				Domain: domain.Name,
				Region: domain.Region,
				OneWay: s.document.Places.OneWay(s.Settings.Region, domain.Region),
				Spare:  summary.Spare,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b dispatch.Neighbour) int {
		return cmp.Or(cmp.Compare(a.OneWay, b.OneWay), strings.Compare(a.Domain, b.Domain))
	})
	pool.Lenders = list
}
