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

// tickOwners follows which VM of the failure domain owns each service.
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
	s.dropPools()
	s.tickReports()
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
		s.own(before, after.Service)
	case before.VM:
		s.disown(before, after)
		return
	}
	if before.VM != "" {
		s.reports[after.Service] = report{owner: after, until: s.now.Add(routing.AnnouncementTTL)}
	}
}

// report is what this VM still tells a new owner.
type report struct {
	owner Owner
	until time.Time // then the owner begins to grant
	next  time.Time
}

const reportInterval = 500 * time.Millisecond

// tickReports repeats what runs while a new owner waits: it may learn of its
// ownership later than this VM.
func (s *State) tickReports() {
	for _, service := range slices.Sorted(maps.Keys(s.reports)) {
		r := s.reports[service]
		if !s.now.Before(r.until) {
			delete(s.reports, service)
			continue
		}
		if s.now.Before(r.next) {
			continue
		}
		r.next = s.now.Add(reportInterval)
		s.reports[service] = r
		s.reportRunning(r.owner)
	}
}

// reportRunning tells a new owner which of its slots requests of this VM still
// use: an owner that died cannot hand them over.
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
		s.fromPool(pool, pool.TakeOver(handover, s.now))
		return
	}
	s.transmit(owner.Peer, Message{Handover: &handover})
}

// own begins to grant the slots of a service. After another owner, servers are
// not used until its last announcement must have run out, unless it hands over;
// after a start, until the VMs of the domain have met.
func (s *State) own(before Owner, name string) {
	service := s.document.Services.ByName(name)
	place := dispatch.Location{VM: s.Settings.VM, Peer: s.Settings.Peer, Domain: s.Settings.Domain, Region: s.Settings.Region}
	pool := dispatch.NewPool(PolicyOf(s.document, service), place, &s.quarantine, s.ticketBase())
	pool.HoldUntil = s.started.Add(meetDuration)
	if before.VM != "" {
		pool.HoldUntil = s.now.Add(routing.AnnouncementTTL)
	}
	s.pools = append(s.pools, pool)
	slices.SortFunc(s.pools, func(a, b *dispatch.Pool) int { return strings.Compare(a.Policy.Service, b.Policy.Service) })
}

// ticketBase keeps tickets of one start apart from those of others.
func (s *State) ticketBase() uint64 {
	const counterBits = 32
	s.sequence++
	return (s.Settings.Incarnation + s.sequence) << counterBits
}

func (s *State) disown(before, after Owner) {
	pool := s.pool(before.Service)
	if pool == nil {
		return
	}
	handover, effects := pool.Release(s.now)
	s.fromPool(pool, effects)
	s.transmit(after.Peer, Message{Handover: &handover})
	s.pools = slices.DeleteFunc(s.pools, func(p *dispatch.Pool) bool { return p == pool })
}

// dropPools gives up the pools of services that left the document.
func (s *State) dropPools() {
	s.pools = slices.DeleteFunc(s.pools, func(p *dispatch.Pool) bool {
		gone := s.document.Services.ByName(p.Policy.Service) == nil
		if gone {
			_, effects := p.Release(s.now)
			s.fromPool(p, effects)
		}
		return gone
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

// PolicyOf turns a service of the document into the policy of its pools.
func PolicyOf(d *document.Document, service *document.Service) dispatch.Policy {
	var ranks []admission.Rank
	for _, rank := range d.Ranks.Order() {
		ranks = append(ranks, admission.Rank{Worth: rank.Worth, Floor: float64(rank.Floor)})
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
		limiter := s.arrivals[service.Name]
		if limiter == nil {
			limiter = &shift.Limiter{}
			s.arrivals[service.Name] = limiter
		}
		limiter.Cap = shift.ArrivalCap(float64(service.Cap), false)
		limiter.Interval = service.Interval.Std()
	}
}
