package trial

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// heatherwood is the policy under test. It runs the product's packages and
// treats all entry VMs of a failure domain as one.
type heatherwood struct {
	sim       *Simulation
	domains   []*domainState
	byName    map[string]*domainState
	exchanges map[uint64]*exchange // by ID of the slot request
	lastID    uint64
	lookups   map[lookupKey]cachedLookup
}

// domainState is the state that the entry VMs of one failure domain share.
type domainState struct {
	policy         *heatherwood
	domain         document.Domain
	pools          []*dispatch.Pool
	planner        plan.State
	recentTables   plan.RecentTables
	weightsMovedAt map[string]time.Time // last change of the weights, by service
	table          *plan.Table
	quarantine     quarantine.Table
	limiters       map[string]*shift.Limiter     // by service
	retryBudgets   map[string]*relay.RetryBudget // by service and rank
	reports        map[string]domainReport       // by sending domain
	nextPlan       time.Time
	nextSummaries  time.Time
	nextAnnounce   time.Time
}

// domainReport is the latest report received from a failure domain.
type domainReport struct {
	receivedAt  time.Time // of the last message, with or without summaries
	summariesAt time.Time
	summaries   []dispatch.Summary
}

// exchange is one request at the entry VM that accepted it.
type exchange struct {
	entry     *domainState
	request   *request
	relay     *relay.Request
	grant     *dispatch.Grant
	startedAt time.Time
	sendEnded bool // the current send has ended
}

// lookupKey identifies a cached lookup of entries.
type lookupKey struct {
	service string
	client  netip.Addr
}

// cachedLookup is the answer to a lookup: failure domains in order of
// preference.
type cachedLookup struct {
	domains   []string
	expiresAt time.Time
}

// Timings of the product's parts. Lookups are cached for a shorter time than in
// production because a run takes only 32 s.
const (
	lookupTTL        = 2 * time.Second
	summaryInterval  = 500 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	stopLeadTime     = 18 * time.Second // weights move away from a domain this long before its planned stop
)

// UseHeatherwood makes the product's own decisions the policy of the run.
func (sm *Simulation) UseHeatherwood() {
	h := &heatherwood{
		sim:       sm,
		byName:    make(map[string]*domainState),
		exchanges: make(map[uint64]*exchange),
		lookups:   make(map[lookupKey]cachedLookup),
	}
	blocks := plan.NewBlocks(sm.Document.Places.Places)
	for _, domain := range sm.Document.Places.Domains {
		d := &domainState{
			policy:         h,
			domain:         domain,
			limiters:       make(map[string]*shift.Limiter),
			retryBudgets:   make(map[string]*relay.RetryBudget),
			reports:        make(map[string]domainReport),
			weightsMovedAt: make(map[string]time.Time),
			recentTables:   plan.RecentTables{TTL: lookupTTL},
		}
		for i := range sm.Document.Services.Services {
			service := &sm.Document.Services.Services[i]
			location := dispatch.Location{VM: domain.Name, Peer: domain.Name, Domain: domain.Name, Region: domain.Region}
			d.pools = append(d.pools, dispatch.NewPool(reducer.PolicyOf(sm.Document, service), location, &d.quarantine, uint64(len(h.domains)+1)<<40))
			d.limiters[service.Name] = &shift.Limiter{Cap: float64(service.Cap) * shift.ArrivalShare, Interval: service.Interval.Std()}
		}
		h.domains = append(h.domains, d)
		h.byName[domain.Name] = d
	}
	sm.policy = h
	for _, d := range h.domains {
		d.announceServers()
	}
	for _, d := range h.domains {
		d.sendSummaries(0)
	}
	for _, d := range h.domains {
		d.table = d.planner.Table(blocks)
		d.updatePlan(blocks)
	}
}

func (d *domainState) pool(service string) *dispatch.Pool {
	for _, pool := range d.pools {
		if pool.Policy.Service == service {
			return pool
		}
	}
	return nil
}

// announceServers renews the announcements of the domain's live servers.
func (d *domainState) announceServers() {
	sm := d.policy.sim
	for _, server := range sm.servers {
		if server.domain != d.domain.Name || !server.alive {
			continue
		}
		pool := d.pool(server.service)
		d.applyEffects(pool, pool.Announce(routing.Announcement{
			ID:          server.id,
			Address:     server.id,
			Service:     server.service,
			Slots:       server.slots,
			Connections: 360,
			Load:        float64(server.running),
			State:       routing.StateServing,
		}, sm.now()))
	}
}

// sendSummaries reports the domain's pools to all connected domains. A delay of
// 0 delivers at once; with any other, whatever its length, each delivery takes
// the one-way latency between the two domains.
func (d *domainState) sendSummaries(delay time.Duration) {
	sm := d.policy.sim
	var summaries []dispatch.Summary
	for _, pool := range d.pools {
		summaries = append(summaries, pool.Summary())
	}
	withSummaries := !(sm.Case.NoSummaries && sm.faultActive())
	for _, other := range d.policy.domains {
		if !sm.connected(d.domain.Name, other.domain.Name) {
			continue
		}
		deliver := func() {
			report := other.reports[d.domain.Name]
			report.receivedAt = sm.now()
			if withSummaries {
				report.summariesAt, report.summaries = sm.now(), summaries
			}
			other.reports[d.domain.Name] = report
		}
		if delay == 0 || other == d {
			deliver()
			continue
		}
		sm.schedule(sm.oneWay(d.domain.Name, other.domain.Name), deliver)
	}
}

func (h *heatherwood) tick() {
	for _, d := range h.domains {
		if h.sim.entryAlive(d.domain.Name) {
			d.tick()
		}
	}
}

func (d *domainState) tick() {
	sm := d.policy.sim
	if !sm.now().Before(d.nextAnnounce) {
		d.nextAnnounce = sm.now().Add(announceInterval)
		d.announceServers()
	}
	if !sm.now().Before(d.nextSummaries) {
		d.nextSummaries = sm.now().Add(summaryInterval)
		d.sendSummaries(1)
	}
	for _, pool := range d.pools {
		d.applyEffects(pool, pool.Tick(sm.now(), tickInterval))
	}
	d.quarantine.RemoveExpired(sm.now())
	if !sm.now().Before(d.nextPlan) {
		d.updatePlan(d.table.Blocks)
	}
}

// updatePlan recomputes weights, shift caps, stops and lenders from the
// reports.
func (d *domainState) updatePlan(blocks *plan.Blocks) {
	sm := d.policy.sim
	d.nextPlan = sm.now().Add(plan.TickInterval)
	moves := d.planner.Tick(sm.now(), sm.Document, d.domainStatuses())
	d.table = d.planner.Table(blocks)
	d.recentTables.Add(d.table, sm.now())
	for i := range sm.Document.Services.Services {
		service := &sm.Document.Services.Services[i]
		if slices.ContainsFunc(moves, func(m plan.Move) bool { return m.Service == service.Name }) {
			d.weightsMovedAt[service.Name] = sm.now()
		}
		movedRecently := sm.now().Sub(d.weightsMovedAt[service.Name]) < service.Interval.Std()
		d.limiters[service.Name].Cap = shift.ArrivalCap(float64(service.Cap), movedRecently)
	}
	for _, pool := range d.pools {
		pool.ApplyStops(func(string) bool { return sm.isStopped(d.domain.Name) }, sm.now())
		pool.Lenders = d.neighbours(pool.Policy.Service)
	}
}

func (d *domainState) domainStatuses() []plan.DomainStatus {
	sm := d.policy.sim
	var statuses []plan.DomainStatus
	for _, domain := range sm.Document.Places.Domains {
		report := d.reports[domain.Name]
		status := plan.DomainStatus{
			Name:       domain.Name,
			Region:     domain.Region,
			Alive:      sm.now().Sub(report.receivedAt) < member.DomainSilentAfter,
			LoadsFresh: sm.now().Sub(report.summariesAt) < member.DomainSilentAfter/2,
			Stopping:   sm.isStopping(domain.Name),
		}
		for _, summary := range report.summaries {
			status.Loads = append(status.Loads, plan.Load{Service: summary.Service, Capacity: summary.Capacity, Demand: float64(summary.InUse + summary.Waiting)})
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// isStopping reports whether a planned stop of the failure domain is active or
// begins within stopLeadTime.
func (sm *Simulation) isStopping(domain string) bool {
	since := sm.now().Sub(epoch)
	return sm.Case.PlannedStop && domain == sm.domain(stoppedDomain).Name && since >= faultStart-stopLeadTime && since < faultEnd
}

// neighbours returns the failure domains that may lend slots, nearest first.
func (d *domainState) neighbours(service string) []dispatch.Neighbour {
	sm := d.policy.sim
	var neighbours []dispatch.Neighbour
	for _, domain := range sm.Document.Places.Domains {
		report := d.reports[domain.Name]
		if domain.Name == d.domain.Name || sm.now().Sub(report.receivedAt) >= member.DomainSilentAfter || sm.isStopping(domain.Name) {
			continue
		}
		for _, summary := range report.summaries {
			if summary.Service == service {
				neighbours = append(neighbours, dispatch.Neighbour{
					Domain: domain.Name,
					Region: domain.Region,
					OneWay: sm.Document.Places.OneWay(d.domain.Region, domain.Region),
					Spare:  summary.Spare,
				})
			}
		}
	}
	slices.SortStableFunc(neighbours, func(a, b dispatch.Neighbour) int { return cmp.Compare(a.OneWay, b.OneWay) })
	return neighbours
}

// applyEffects carries out the effects that a pool returned.
func (d *domainState) applyEffects(pool *dispatch.Pool, effects []dispatch.Effect) {
	sm := d.policy.sim
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Reply:
			if x := d.policy.exchanges[e.RequestID]; x != nil {
				delete(d.policy.exchanges, e.RequestID)
				x.applyStep(x.relay.HandleSlotAnswer(e.Answer, nil, sm.now()))
			}
		case dispatch.SendLoanRequest:
			d.sendTo(e.Domain, func(other *domainState) {
				lender := other.pool(e.Request.Service)
				limit := routing.MaxServers * routing.MaxSlots
				if bits := reducer.LinkShare(sm.Document, other.domain.Region, e.Request.Region); bits > 0 {
					limit = lender.LinkSlots(bits)
				}
				other.applyEffects(lender, lender.Lend(e.Request, limit, sm.now()))
			})
		case dispatch.SendLoan:
			d.sendTo(e.Peer, func(other *domainState) {
				borrower := other.pool(e.Loan.Service)
				oneWay := sm.Document.Places.OneWay(other.domain.Region, e.Loan.Region)
				other.applyEffects(borrower, borrower.AcceptLoan(e.Loan, oneWay, sm.now()))
			})
		case dispatch.ServerDrained:
			if sm.isStopped(d.domain.Name) {
				sm.Stats.MaxDrainTime = max(sm.Stats.MaxDrainTime, e.Took)
			}
		}
	}
}

// sendTo delivers a message to another domain after the one-way latency, unless
// the two are disconnected by then.
func (d *domainState) sendTo(to string, deliver func(*domainState)) {
	sm := d.policy.sim
	other := d.policy.byName[to]
	sm.schedule(sm.oneWay(d.domain.Name, to), func() {
		if sm.connected(d.domain.Name, to) {
			deliver(other)
		}
	})
}

// arrive looks up the entries of the client and tries them in order.
func (h *heatherwood) arrive(r *request) {
	place := h.sim.Document.Places.Places[r.place]
	domains := h.lookupEntries(r, place)
	h.tryEntries(r, place, domains)
}

// lookupEntries returns the failure domains whose entries a client tries. The
// answer is cached for lookupTTL and reused beyond that while no entry is
// alive.
func (h *heatherwood) lookupEntries(r *request, place document.Place) []string {
	sm := h.sim
	key := lookupKey{r.service, r.client}
	cached, found := h.lookups[key]
	if found && sm.now().Before(cached.expiresAt) {
		return cached.domains
	}
	for _, d := range h.domains {
		sameRegion := d.domain.Region == place.Region
		if !sm.entryAlive(d.domain.Name) || (!sameRegion && h.regionAlive(place.Region)) {
			continue
		}
		choice := d.table.Lookup(d.table.ServiceIndex(r.service), r.client)
		var domains []string
		for _, index := range choice.Domains[:choice.Count] {
			domains = append(domains, d.table.Domains[index])
		}
		h.lookups[key] = cachedLookup{domains: domains, expiresAt: sm.now().Add(lookupTTL)}
		return domains
	}
	return cached.domains
}

// regionAlive reports whether a region has a failure domain with running VMs.
func (h *heatherwood) regionAlive(region string) bool {
	for _, d := range h.domains {
		if d.domain.Region == region && h.sim.entryAlive(d.domain.Name) {
			return true
		}
	}
	return false
}

// tryEntries sends the request to the first domain's entry and, if that is
// down, to the next; without any left the request is refused.
func (h *heatherwood) tryEntries(r *request, place document.Place, domains []string) {
	sm := h.sim
	if len(domains) == 0 {
		sm.Stats.countRefused(r)
		return
	}
	d := h.byName[domains[0]]
	oneWay := place.OneWay.Std() + sm.Document.Places.OneWay(place.Region, d.domain.Region)
	sm.schedule(oneWay, func() {
		if !sm.entryAlive(d.domain.Name) {
			sm.schedule(oneWay, func() { h.tryEntries(r, place, domains[1:]) })
			return
		}
		d.acceptRequest(r, oneWay)
	})
}
