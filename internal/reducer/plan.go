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

// tickPlan updates the weights, the neighbours of the pools and the view.
func (s *State) tickPlan() {
	if s.document == nil {
		return
	}
	domains := s.members.Domains(s.now)
	s.logSilence(domains)
	moves := s.planner.Tick(s.now, s.document, s.planStatuses(domains))
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
	s.recordStops()
	for _, pool := range s.pools {
		s.updateNeighbours(pool, domains)
		pool.ApplyStops(s.stoppedServers(pool), s.now)
	}
	s.publish()
}

// limitArrivals sets the share of requests that may come from clients whose
// block is assigned to another failure domain: the part of the cap that the
// plan does not use.
func (s *State) limitArrivals(moves []plan.Move) {
	for i := range s.document.Services.Services {
		service := &s.document.Services.Services[i]
		movesNow := slices.ContainsFunc(moves, func(m plan.Move) bool { return m.Service == service.Name })
		if movesNow {
			s.planMovedAt[service.Name] = s.now
		}
		movedLately := s.now.Sub(s.planMovedAt[service.Name]) < service.Interval.Std()
		s.arrivalLimiters[service.Name].Cap = shift.ArrivalCap(float64(service.Cap), movedLately)
	}
}

// recordStops records the start and end of planned stops, on control VMs only.
func (s *State) recordStops() {
	if s.quorum == nil {
		return
	}
	for _, stop := range s.document.Stops.Stops {
		active := stop.Active(s.now)
		if active == s.activeStops[stop.Name] {
			continue
		}
		s.activeStops[stop.Name] = active
		outcome := "stop-end"
		if active {
			outcome = "stop-begin"
		}
		s.record(Audit{Kind: AuditDrain, Outcome: outcome, Key: stop.Name, Server: stop.What, Section: string(stop.Kind)})
	}
}

func (s *State) logSilence(domains []member.DomainView) {
	for _, domain := range domains {
		silent := domain.SilentFor > member.DomainSilentAfter
		if silent == s.silentDomains[domain.Name] {
			continue
		}
		s.silentDomains[domain.Name] = silent
		if silent {
			s.log(CodeDomainSilent, domain.Name, 0)
		} else {
			s.log(CodeDomainHeard, domain.Name, 0)
		}
	}
}

// planLeadTime returns how long before a planned stop the weights begin to
// move: the time to move all traffic within the cap, and the time that callers
// cache a look-up.
func planLeadTime(service *document.Service) time.Duration {
	intervals := 1 / (float64(service.Cap) * shift.PlanShare)
	return time.Duration(intervals*float64(service.Interval.Std()+plan.TickInterval)) + LookupTTL
}

// LookupTTL is how long a caller may cache the answer to a look-up.
const LookupTTL = 10 * time.Second

// planStatuses returns what the plan needs to know of each failure domain of the
// document.
func (s *State) planStatuses(domains []member.DomainView) []plan.DomainStatus {
	statuses := make([]plan.DomainStatus, 0, len(s.document.Places.Domains))
	for _, named := range s.document.Places.Domains {
		status := plan.DomainStatus{Name: named.Name, Region: named.Region, Stopping: s.domainStopping(named)}
		for _, domain := range domains {
			if domain.Name != named.Name {
				continue
			}
			status.Alive = domain.SilentFor < member.DomainSilentAfter
			status.LoadsFresh = domain.SummaryAge < member.DomainSilentAfter/2
			for _, summary := range domain.Services {
				status.Loads = append(status.Loads, plan.Load{
					Service:  summary.Service,
					Capacity: summary.Capacity,
					Demand:   float64(summary.InUse + summary.Waiting),
				})
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (s *State) domainStopping(domain document.Domain) bool {
	ahead := LookupTTL
	for i := range s.document.Services.Services {
		ahead = max(ahead, planLeadTime(&s.document.Services.Services[i]))
	}
	stops := s.document.Stops
	return stops.Stopped(document.StopDomain, domain.Name, s.now, ahead) ||
		stops.Stopped(document.StopRegion, domain.Region, s.now, ahead)
}

func (s *State) stoppedServers(pool *dispatch.Pool) func(string) bool {
	stops := s.document.Stops
	all := stops.Stopped(document.StopDomain, s.Settings.Domain, s.now, 0) ||
		stops.Stopped(document.StopRegion, s.Settings.Region, s.now, 0)
	return func(server string) bool {
		return all || stops.Stopped(document.StopUpstream, server, s.now, 0)
	}
}

// updateNeighbours lists the failure domains from which a pool may borrow
// slots, the nearest first.
func (s *State) updateNeighbours(pool *dispatch.Pool, domains []member.DomainView) {
	service := s.document.Services.ByName(pool.Policy.Service)
	if service == nil {
		return
	}
	var list []dispatch.Neighbour
	for _, domain := range domains {
		if domain.Name == s.Settings.Domain || domain.SilentFor > member.DomainSilentAfter || !service.AllowedIn(domain.Region) {
			continue
		}
		if s.domainStopping(document.Domain{Name: domain.Name, Region: domain.Region}) {
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
