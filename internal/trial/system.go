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

// System is the product's own policy: one site of entry VMs per failure domain.
type system struct {
	world  *World
	sites  []*site
	byName map[string]*site
	asks   map[uint64]*exchange
	next   uint64
	lookup map[lookupKey]cached
}

// site is what the VMs of one failure domain hold.
type site struct {
	system     *system
	domain     document.Domain
	pools      []*dispatch.Pool
	planner    plan.State
	recent     plan.RecentTables
	moved      map[string]time.Time // last step of each service's weights
	table      *plan.Table
	quarantine quarantine.Table
	arrivals   map[string]*shift.Limiter
	budgets    map[string]*relay.RetryBudget
	heard      map[string]heard
	planDue    time.Time
	tellDue    time.Time
	announceAt time.Time
}

type heard struct {
	at        time.Time
	measured  time.Time
	summaries []dispatch.Summary
}

// exchange is one request at the entry that took it.
type exchange struct {
	site    *site
	request *request
	relay   *relay.Request
	grant   *dispatch.Grant
	began   time.Time
	done    bool // the present send has ended
}

type lookupKey struct {
	service string
	client  netip.Addr
}

type cached struct {
	domains []string
	until   time.Time
}

// Timings of the run; look-ups are kept for a shorter time than in the product,
// because the run is short.
const (
	lookupTTL     = 2 * time.Second
	tellEvery     = 500 * time.Millisecond
	announceEvery = 500 * time.Millisecond
	dialTimeout   = 500 * time.Millisecond
	stopAhead     = 18 * time.Second
)

// UseSystem lets the product's parts steer the run.
func (w *World) UseSystem() {
	s := &system{
		world:  w,
		byName: make(map[string]*site),
		asks:   make(map[uint64]*exchange),
		lookup: make(map[lookupKey]cached),
	}
	blocks := plan.NewBlocks(w.Document.Places.Places)
	for _, domain := range w.Document.Places.Domains {
		own := &site{
			system:   s,
			domain:   domain,
			arrivals: make(map[string]*shift.Limiter),
			budgets:  make(map[string]*relay.RetryBudget),
			heard:    make(map[string]heard),
			moved:    make(map[string]time.Time),
			recent:   plan.RecentTables{TTL: lookupTTL},
		}
		for i := range w.Document.Services.Services {
			service := &w.Document.Services.Services[i]
			place := dispatch.Location{VM: domain.Name, Peer: domain.Name, Domain: domain.Name, Region: domain.Region}
			own.pools = append(own.pools, dispatch.NewPool(reducer.PolicyOf(w.Document, service), place, &own.quarantine, uint64(len(s.sites)+1)<<40))
			own.arrivals[service.Name] = &shift.Limiter{Cap: float64(service.Cap) * shift.ArrivalShare, Interval: service.Interval.Std()}
		}
		s.sites = append(s.sites, own)
		s.byName[domain.Name] = own
	}
	w.policy = s
	for _, own := range s.sites {
		own.announce()
	}
	for _, own := range s.sites {
		own.tell(0)
	}
	for _, own := range s.sites {
		own.table = own.planner.Table(blocks)
		own.plan(blocks)
	}
}

func (s *site) pool(service string) *dispatch.Pool {
	for _, pool := range s.pools {
		if pool.Policy.Service == service {
			return pool
		}
	}
	return nil
}

// announce renews the live servers of the domain.
func (s *site) announce() {
	w := s.system.world
	for _, server := range w.servers {
		if server.domain != s.domain.Name || !server.alive {
			continue
		}
		pool := s.pool(server.service)
		s.effects(pool, pool.Announce(routing.Announcement{
			ID:          server.id,
			Address:     server.id,
			Service:     server.service,
			Slots:       server.slots,
			Connections: 360,
			Load:        float64(server.running),
			State:       routing.StateServing,
		}, w.now()))
	}
}

// tell sends the summaries to the other domains, with the delay of the way.
func (s *site) tell(delay time.Duration) {
	w := s.system.world
	var summaries []dispatch.Summary
	for _, pool := range s.pools {
		summaries = append(summaries, pool.Summary())
	}
	measured := !(w.Case.NoMeasures && w.during())
	for _, other := range s.system.sites {
		if !w.connected(s.domain.Name, other.domain.Name) {
			continue
		}
		arrive := func() {
			news := other.heard[s.domain.Name]
			news.at = w.now()
			if measured {
				news.measured, news.summaries = w.now(), summaries
			}
			other.heard[s.domain.Name] = news
		}
		if delay == 0 || other == s {
			arrive()
			continue
		}
		w.after(w.oneWay(s.domain.Name, other.domain.Name), arrive)
	}
}

func (s *system) tick() {
	for _, own := range s.sites {
		if s.world.entryAlive(own.domain.Name) {
			own.tick()
		}
	}
}

func (s *site) tick() {
	w := s.system.world
	if !w.now().Before(s.announceAt) {
		s.announceAt = w.now().Add(announceEvery)
		s.announce()
	}
	if !w.now().Before(s.tellDue) {
		s.tellDue = w.now().Add(tellEvery)
		s.tell(1)
	}
	for _, pool := range s.pools {
		s.effects(pool, pool.Tick(w.now(), tick))
	}
	s.quarantine.RemoveExpired(w.now())
	if !w.now().Before(s.planDue) {
		s.plan(s.table.Blocks)
	}
}

func (s *site) plan(blocks *plan.Blocks) {
	w := s.system.world
	s.planDue = w.now().Add(plan.TickInterval)
	moves := s.planner.Tick(w.now(), w.Document, s.planSites())
	s.table = s.planner.Table(blocks)
	s.recent.Add(s.table, w.now())
	for i := range w.Document.Services.Services {
		service := &w.Document.Services.Services[i]
		if slices.ContainsFunc(moves, func(m plan.Move) bool { return m.Service == service.Name }) {
			s.moved[service.Name] = w.now()
		}
		lately := w.now().Sub(s.moved[service.Name]) < service.Interval.Std()
		s.arrivals[service.Name].Cap = shift.ArrivalCap(float64(service.Cap), lately)
	}
	for _, pool := range s.pools {
		pool.ApplyStops(func(string) bool { return w.stopped(s.domain.Name) }, w.now())
		pool.Lenders = s.neighbours(pool.Policy.Service)
	}
}

func (s *site) planSites() []plan.DomainStatus {
	w := s.system.world
	var sites []plan.DomainStatus
	for _, domain := range w.Document.Places.Domains {
		news := s.heard[domain.Name]
		site := plan.DomainStatus{
			Name:       domain.Name,
			Region:     domain.Region,
			Alive:      w.now().Sub(news.at) < member.DomainSilentAfter,
			LoadsFresh: w.now().Sub(news.measured) < member.DomainSilentAfter/2,
			Stopping:   w.stopping(domain.Name),
		}
		for _, summary := range news.summaries {
			site.Loads = append(site.Loads, plan.Load{Service: summary.Service, Capacity: summary.Capacity, Demand: float64(summary.InUse + summary.Waiting)})
		}
		sites = append(sites, site)
	}
	return sites
}

// stopping reports whether a planned stop is near enough for weights to move.
func (w *World) stopping(domain string) bool {
	since := w.now().Sub(epoch)
	return w.Case.Stop && domain == w.domain(stopDomain).Name && since >= faultBegin-stopAhead && since < faultEnd
}

func (s *site) neighbours(service string) []dispatch.Neighbour {
	w := s.system.world
	var list []dispatch.Neighbour
	for _, domain := range w.Document.Places.Domains {
		news := s.heard[domain.Name]
		if domain.Name == s.domain.Name || w.now().Sub(news.at) >= member.DomainSilentAfter || w.stopping(domain.Name) {
			continue
		}
		for _, summary := range news.summaries {
			if summary.Service == service {
				list = append(list, dispatch.Neighbour{
					Domain: domain.Name,
					Region: domain.Region,
					OneWay: w.Document.Places.OneWay(s.domain.Region, domain.Region),
					Spare:  summary.Spare,
				})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b dispatch.Neighbour) int { return cmp.Compare(a.OneWay, b.OneWay) })
	return list
}

// effects carries out what a pool asks for.
func (s *site) effects(pool *dispatch.Pool, effects []dispatch.Effect) {
	w := s.system.world
	for _, effect := range effects {
		switch e := effect.(type) {
		case dispatch.Reply:
			if x := s.system.asks[e.RequestID]; x != nil {
				x.step(x.relay.HandleSlotAnswer(e.Answer, nil, w.now()))
			}
		case dispatch.SendLoanRequest:
			s.message(e.Domain, func(other *site) {
				lender := other.pool(e.Request.Service)
				limit := routing.MaxServers * routing.MaxSlots
				if bits := reducer.LinkShare(w.Document, other.domain.Region, e.Request.Region); bits > 0 {
					limit = lender.LinkSlots(bits)
				}
				other.effects(lender, lender.Lend(e.Request, limit, w.now()))
			})
		case dispatch.SendLoan:
			s.message(e.Peer, func(other *site) {
				borrower := other.pool(e.Loan.Service)
				oneWay := w.Document.Places.OneWay(other.domain.Region, e.Loan.Region)
				other.effects(borrower, borrower.AcceptLoan(e.Loan, oneWay, w.now()))
			})
		case dispatch.ServerDrained:
			if w.stopped(s.domain.Name) {
				w.Stats.Drain = max(w.Stats.Drain, e.Took)
			}
		}
	}
}

// message reaches another domain after the delay of the way, unless a cut
// swallows it.
func (s *site) message(to string, deliver func(*site)) {
	w := s.system.world
	other := s.system.byName[to]
	w.after(w.oneWay(s.domain.Name, to), func() {
		if w.connected(s.domain.Name, to) {
			deliver(other)
		}
	})
}

// arrive lets a client look up its entries, try the first and then the second.
func (s *system) arrive(r *request) {
	place := s.world.Document.Places.Places[r.place]
	domains := s.entries(r, place)
	s.try(r, place, domains)
}

func (s *system) entries(r *request, place document.Place) []string {
	w := s.world
	key := lookupKey{r.service, r.client}
	known, found := s.lookup[key]
	if found && w.now().Before(known.until) {
		return known.domains
	}
	for _, own := range s.sites {
		near := own.domain.Region == place.Region
		if !w.entryAlive(own.domain.Name) || (!near && s.regionAlive(place.Region)) {
			continue
		}
		choice := own.table.Lookup(own.table.ServiceIndex(r.service), r.client)
		var domains []string
		for _, number := range choice.Domains[:choice.Count] {
			domains = append(domains, own.table.Domains[number])
		}
		s.lookup[key] = cached{domains: domains, until: w.now().Add(lookupTTL)}
		return domains
	}
	return known.domains
}

func (s *system) regionAlive(region string) bool {
	for _, own := range s.sites {
		if own.domain.Region == region && s.world.entryAlive(own.domain.Name) {
			return true
		}
	}
	return false
}

func (s *system) try(r *request, place document.Place, domains []string) {
	w := s.world
	if len(domains) == 0 {
		w.Stats.refused(r)
		return
	}
	own := s.byName[domains[0]]
	way := place.OneWay.Std() + w.Document.Places.OneWay(place.Region, own.domain.Region)
	w.after(way, func() {
		if !w.entryAlive(own.domain.Name) {
			w.after(way, func() { s.try(r, place, domains[1:]) })
			return
		}
		own.take(r, way)
	})
}
