package reducer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/admission"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// tickOwners determines which VM of the failure domain owns each service, and
// takes over or hands over pools when that changes.
func (s *State) tickOwners() {
	if s.document == nil {
		return
	}
	changed := false
	owners := make([]Owner, 0, len(s.document.Services.Services))
	for i := range s.document.Services.Services {
		name := s.document.Services.Services[i].Name
		if s.document.Services.Services[i].Placing == document.PlacingEntry {
			continue
		}
		vm := s.members.Owner(name)
		owner := Owner{Service: name, VM: vm.ID}
		if vm.ID != s.Settings.VM {
			owner.Peer = vm.Peer
		}
		owners = append(owners, owner)
		before := s.ownerOf(name)
		if before == owner {
			continue
		}
		changed = true
		s.changeOwner(before, owner)
	}
	s.owners = owners
	s.dropRemovedPools()
	s.sendRunningReports()
	if changed {
		s.publish()
	}
}

func (s *State) ownerOf(service string) Owner {
	for _, owner := range s.owners {
		if owner.Service == service {
			return owner
		}
	}
	return Owner{}
}

func (s *State) changeOwner(before, after Owner) {
	s.log(CodeOwnerChanged, after.Service+" "+after.VM, 0)
	switch s.Settings.VM {
	case after.VM:
		s.takeOwnership(before, after.Service)
	case before.VM:
		s.handOver(before, after)
		return
	}
	if before.VM != "" {
		s.runningReports[after.Service] = runningReport{owner: after, until: s.now.Add(routing.AnnouncementTTL)}
	}
}

// runningReport describes for how long this VM still tells a new owner which
// slots its requests use.
type runningReport struct {
	owner Owner
	until time.Time // when the owner begins to grant slots
	next  time.Time // when the report is sent again
}

const reportInterval = 500 * time.Millisecond

// sendRunningReports repeats the reports of running requests while a new owner
// waits to grant slots: it may learn of its ownership later than this VM.
func (s *State) sendRunningReports() {
	for _, service := range slices.Sorted(maps.Keys(s.runningReports)) {
		r := s.runningReports[service]
		if !s.now.Before(r.until) {
			delete(s.runningReports, service)
			continue
		}
		if s.now.Before(r.next) {
			continue
		}
		r.next = s.now.Add(reportInterval)
		s.runningReports[service] = r
		s.reportRunning(r.owner)
	}
}

// reportRunning tells a new owner which of its slots are still in use by
// requests of this VM: an owner that died cannot hand them over.
func (s *State) reportRunning(owner Owner) {
	handover := dispatch.Handover{Service: owner.Service, Running: true}
	for _, call := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[call]
		if r.Service != owner.Service || r.Grant == nil || r.Grant.Ticket == 0 || r.Grant.Shifted {
			continue
		}
		handover.Tickets = append(handover.Tickets, dispatch.HandedTicket{
			Ticket:      r.Grant.Ticket,
			Server:      r.Grant.Server,
			From:        s.Settings.VM,
			Rank:        r.Rank,
			Remaining:   r.Deadline.Sub(s.now),
			Fingerprint: r.Fingerprint,
		})
	}
	if len(handover.Tickets) == 0 {
		return
	}
	if pool := s.pool(owner.Service); pool != nil {
		s.applyPoolEffects(pool, pool.TakeOver(handover, s.now))
		return
	}
	s.transmit(owner.Peer, Message{Handover: &handover})
}

// takeOwnership creates the pool of a service that this VM now owns. Where
// there was another owner, servers are not used until the last announcement
// made to it must have expired, unless it hands over; after a start, until the
// VMs of the domain know each other.
func (s *State) takeOwnership(before Owner, name string) {
	service := s.document.Services.ByName(name)
	location := dispatch.Location{VM: s.Settings.VM, Peer: s.Settings.Peer, Domain: s.Settings.Domain, Region: s.Settings.Region}
	pool := dispatch.NewPool(PolicyOf(s.document, service), location, &s.quarantine, s.nextTicketBase())
	pool.HoldUntil = s.startedAt.Add(membershipSettleTime)
	if before.VM != "" {
		pool.HoldUntil = s.now.Add(routing.AnnouncementTTL)
	}
	s.pools = append(s.pools, pool)
	slices.SortFunc(s.pools, func(a, b *dispatch.Pool) int { return strings.Compare(a.Policy.Service, b.Policy.Service) })
}

// nextTicketBase returns the base of a new pool's tickets, to keep them apart
// from those of earlier pools and starts.
func (s *State) nextTicketBase() uint64 {
	const counterBits = 32
	s.poolSequence++
	return (s.Settings.Incarnation + s.poolSequence) << counterBits
}

func (s *State) handOver(before, after Owner) {
	pool := s.pool(before.Service)
	if pool == nil {
		return
	}
	handover, effects := pool.Release(s.now)
	s.applyPoolEffects(pool, effects)
	s.transmit(after.Peer, Message{Handover: &handover})
	s.pools = slices.DeleteFunc(s.pools, func(p *dispatch.Pool) bool { return p == pool })
}

// dropRemovedPools releases the pools of services that are no longer in the
// document.
func (s *State) dropRemovedPools() {
	s.pools = slices.DeleteFunc(s.pools, func(p *dispatch.Pool) bool {
		removed := s.document.Services.ByName(p.Policy.Service) == nil
		if removed {
			_, effects := p.Release(s.now)
			s.applyPoolEffects(p, effects)
		}
		return removed
	})
}

func (s *State) pool(service string) *dispatch.Pool {
	for _, pool := range s.pools {
		if pool.Policy.Service == service {
			return pool
		}
	}
	return nil
}

// PolicyOf returns the policy of the pools of a service, as the document
// defines it.
func PolicyOf(d *document.Document, service *document.Service) dispatch.Policy {
	var ranks []admission.Rank
	for _, rank := range d.Ranks.Order() {
		ranks = append(ranks, admission.Rank{Floor: float64(rank.Floor)})
	}
	return dispatch.Policy{
		Service:       service.Name,
		Ranks:         ranks,
		QueuePerSlot:  service.Queue,
		Headroom:      float64(service.Headroom),
		ShiftCap:      float64(service.Cap),
		ShiftInterval: service.Interval.Std(),
		WarmUp:        service.Warm.Std(),
		TypicalTime:   service.Typical.Std(),
		Target:        service.Target.Std(),
		ShedStatuses:  service.Shed,
		AnswerBytes:   service.Bytes,
	}
}

func (s *State) configurePools() {
	for i := range s.document.Services.Services {
		service := &s.document.Services.Services[i]
		if pool := s.pool(service.Name); pool != nil {
			pool.Configure(PolicyOf(s.document, service))
		}
		limiter := s.arrivalLimiters[service.Name]
		if limiter == nil {
			limiter = &shift.Limiter{}
			s.arrivalLimiters[service.Name] = limiter
		}
		limiter.Cap = shift.ArrivalCap(float64(service.Cap), false)
		limiter.Interval = service.Interval.Std()
	}
}
