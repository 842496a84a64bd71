package reducer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/admission"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

func (s *State) tickMembers() {
	s.members.Self.Services = nil
	for _, pool := range s.pools {
		s.members.Self.Services = append(s.members.Self.Services, pool.Summary())
	}
	s.members.Self.Stopping = s.document != nil && s.document.Stops.Stopped(document.StopVM, s.Settings.VM, s.now, 0)
	for _, send := range s.members.Tick(s.now) {
		s.sendGossip(send)
	}
	for _, vm := range s.members.TakeDied() {
		s.log(CodeVMDied, vm, 0)
		s.record(Audit{Kind: AuditMember, From: vm, Outcome: "dead"})
		for _, pool := range s.pools {
			s.fromPool(pool, pool.VMDied(vm, s.now))
		}
	}
}

// leaderReplicasEvery is the number of messages of which one names the replicas.
const leaderReplicasEvery = 8

func (s *State) sendGossip(send member.Send) {
	gossip := send.Gossip
	leader := s.leader
	s.leaderSends++
	if s.leaderSends%leaderReplicasEvery != 0 {
		leader.Replicas = nil
	}
	s.transmit(send.Address, Message{Gossip: &gossip, Leader: &leader})
}

func (s *State) receiveGossip(gossip member.Gossip, leader *Leader) {
	if leader != nil {
		s.takeLeader(*leader)
	}
	for _, send := range s.members.Receive(gossip, s.now) {
		s.sendGossip(send)
	}
	for _, domain := range gossip.Domains {
		if domain.Name != s.Settings.Domain {
			s.quarantine.Merge(domain.Barred, s.now)
		}
		if domain.Document > s.copyAt.Index && len(domain.Entries) > 0 {
			s.fetchFrom(domain.Entries[0].Peer)
		}
	}
	if gossip.From.Document > s.copyAt.Index {
		s.fetchFrom(gossip.From.Peer)
	}
}

// tickOwners follows which VM of the failure domain owns each service.
func (s *State) tickOwners() {
	if s.document == nil {
		return
	}
	changed := false
	owners := make([]Owner, 0, len(s.document.Services.Services))
	for i := range s.document.Services.Services {
		name := s.document.Services.Services[i].Name
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
	}
}

// own begins to grant the slots of a service. After another owner, servers are
// not used until its last announcement must have run out, unless it hands over;
// after a start, until the VMs of the domain have met.
func (s *State) own(before Owner, name string) {
	service := s.document.Services.ByName(name)
	place := dispatch.Place{VM: s.Settings.VM, Peer: s.Settings.Peer, Domain: s.Settings.Domain, Region: s.Settings.Region}
	pool := dispatch.NewPool(PolicyOf(s.document, service), place, &s.quarantine, s.ticketBase())
	pool.HoldUntil = s.started.Add(settleDuration)
	if before.VM != "" {
		pool.HoldUntil = s.now.Add(routing.AnnounceLifetime)
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
		Service:      service.Name,
		Ranks:        ranks,
		QueuePerSlot: service.Queue,
		Headroom:     float64(service.Headroom),
		Cap:          float64(service.Cap),
		Interval:     service.Interval.Std(),
		Warm:         service.Warm.Std(),
		Target:       service.Target.Std(),
		Shed:         service.Shed,
		Bytes:        service.Bytes,
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

// fromPool turns a pool's effects into the VM's.
func (s *State) fromPool(pool *dispatch.Pool, effects []dispatch.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Reply:
			s.poolReplied(e)
		case dispatch.SendWant:
			s.sendWant(e)
		case dispatch.SendLoan:
			loan := e.Loan
			s.transmit(e.Peer, Message{Loan: &loan})
		case dispatch.Barring:
			s.barred(e)
		case dispatch.Leased:
			s.record(Audit{
				Kind:    AuditLease,
				Service: e.Service,
				From:    s.Settings.Domain,
				To:      e.Domain,
				Server:  e.Lessee,
				Outcome: leaseOutcome(e),
				Count:   int64(e.Slots),
				Amount:  float64(e.Reserved + e.InUse),
				Limit:   float64(e.Capacity),
			})
		case dispatch.Spilled:
			s.noteShift("spill", e.Service, e.Closed)
		case dispatch.Drained:
			s.log(CodeServerDrained, e.Service+" "+e.Server, e.Took.Milliseconds())
			s.record(Audit{Kind: AuditDrain, Service: e.Service, Server: e.Server, Amount: e.Took.Seconds(), Outcome: "drained"})
		}
	}
}

func leaseOutcome(e dispatch.Leased) string {
	if e.Slots > e.Before {
		return "raised"
	}
	return "lowered"
}

// noteShift records how much of an interval's traffic went elsewhere.
func (s *State) noteShift(way, service string, closed shift.Closed) {
	s.record(Audit{
		Kind:    AuditPlan,
		Outcome: way,
		Service: service,
		From:    s.Settings.Domain,
		Count:   int64(closed.Total),
		Amount:  closed.Share(),
		Limit:   closed.Limit(),
	})
}

func (s *State) sendWant(e dispatch.SendWant) {
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == e.Domain && len(domain.Entries) > 0 {
			want := e.Want
			at := int(want.Sent) % len(domain.Entries)
			s.transmit(domain.Entries[at].Peer, Message{Want: &want})
		}
	}
}

func (s *State) barred(e dispatch.Barring) {
	phase := "suspected"
	if e.Phase == quarantine.Quarantined {
		phase = "quarantined"
	}
	s.log(CodeFingerprint, phase+" "+hex(e.Fingerprint), 0)
	s.record(Audit{Kind: AuditQuarantine, Service: e.Service, Server: e.Server, Key: hex(e.Fingerprint), Outcome: phase})
	s.members.Bar(s.quarantine.Entries)
}

const maxHops = 2

// receivePool hands a message to the pool that it is for, or on to the owner.
func (s *State) receivePool(m Message) {
	service := m.service()
	pool := s.pool(service)
	if pool == nil {
		owner := s.ownerOf(service)
		if m.Hops < maxHops && owner.Peer != "" && m.Cancel == nil {
			m.Hops++
			s.transmit(owner.Peer, m)
		}
		return
	}
	switch {
	case m.Want != nil:
		s.fromPool(pool, pool.Lend(*m.Want, s.linkSlots(pool, m.Want.Region), s.now))
	case m.Loan != nil:
		oneWay := s.document.Places.OneWay(s.Settings.Region, m.Loan.Region)
		s.fromPool(pool, pool.Borrow(*m.Loan, oneWay, s.now))
	case m.Handover != nil:
		s.fromPool(pool, pool.Adopt(*m.Handover, s.now))
	case m.Finish != nil:
		s.fromPool(pool, pool.Finish(*m.Finish, s.now))
	case m.Cancel != nil:
		pool.Cancel(m.Cancel.From, m.Cancel.Ask)
		delete(s.asks, askKey{m.Cancel.From, m.Cancel.Ask})
	}
}

func (m Message) service() string {
	switch {
	case m.Want != nil:
		return m.Want.Service
	case m.Loan != nil:
		return m.Loan.Service
	case m.Handover != nil:
		return m.Handover.Service
	case m.Finish != nil:
		return m.Finish.Service
	case m.Cancel != nil:
		return m.Cancel.Service
	default:
		return ""
	}
}

// linkSlots bounds what another region may borrow by this failure domain's and
// service's part of the link.
func (s *State) linkSlots(pool *dispatch.Pool, region string) int {
	bits := LinkPart(s.document, s.Settings.Region, region)
	if bits == 0 {
		return routing.MaxServers * routing.MaxSlots
	}
	return pool.LinkSlots(bits)
}

// LinkPart is the part of the link between two regions that one service in one
// failure domain may use, in bits per second; 0 means no limit.
func LinkPart(d *document.Document, from, to string) float64 {
	limit, found := d.Places.Limit(from, to)
	if !found || from == to {
		return 0
	}
	domains := 0
	for _, domain := range d.Places.Domains {
		if domain.Region == from {
			domains++
		}
	}
	return float64(limit) / float64(max(1, domains)*len(d.Services.Services))
}

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
		pool.Stopped(s.stopCovers(pool), s.now)
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
		silent := domain.Silent > member.DomainSilent
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

func (s *State) sites(domains []member.DomainView) []plan.Site {
	sites := make([]plan.Site, 0, len(s.document.Places.Domains))
	for _, named := range s.document.Places.Domains {
		site := plan.Site{Name: named.Name, Region: named.Region, Stopping: s.domainStops(named)}
		for _, domain := range domains {
			if domain.Name != named.Name {
				continue
			}
			site.Alive = domain.Silent < member.DomainSilent
			site.Measured = domain.Silent < member.DomainSilent/2
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
		if domain.Name == s.Settings.Domain || domain.Silent > member.DomainSilent || !service.AllowedIn(domain.Region) {
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
	pool.Lendable = list
}

// publish gives the shell a new snapshot.
func (s *State) publish() {
	view := &View{
		Document: s.document,
		Position: s.loadedAt,
		Owners:   slices.Clone(s.owners),
		Leader:   s.leader,
		Domain:   s.Settings.Domain,
		Stale:    s.stale,
		Sections: s.copies,
		HeldAt:   s.copyAt,
	}
	view.Versions = s.Versions()
	if s.document != nil {
		view.Tables = s.recent.Tables()
		view.Table = view.Tables[len(view.Tables)-1]
		view.Domains = s.viewDomains()
		view.Ready = s.now.Sub(s.started) >= settleDuration
	}
	s.emit(PublishView{View: view})
}

func (s *State) viewDomains() []ViewDomain {
	known := s.members.Domains(s.now)
	views := make([]ViewDomain, 0, len(s.document.Places.Domains))
	for _, named := range s.document.Places.Domains {
		view := ViewDomain{Name: named.Name, Region: named.Region}
		for _, domain := range known {
			if domain.Name != named.Name {
				continue
			}
			view.Alive = domain.Silent < member.DomainSilent
			for _, entry := range domain.Entries {
				if !s.document.Stops.Stopped(document.StopVM, entry.ID, s.now, LookupTTL) {
					view.Entries = append(view.Entries, entry.Entry)
				}
			}
		}
		if named.Name == s.Settings.Domain {
			view.Alive = true
			view.Entries = s.ownEntries()
		}
		views = append(views, view)
	}
	return views
}

func (s *State) ownEntries() []string {
	var entries []string
	for _, vm := range s.members.Alive() {
		if !s.document.Stops.Stopped(document.StopVM, vm.ID, s.now, LookupTTL) {
			entries = append(entries, vm.Entry)
		}
	}
	return entries
}
