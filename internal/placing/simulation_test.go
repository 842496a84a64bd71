package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/hedge"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/virtual"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scenario describes a load on servers and the events during it.
type scenario struct {
	domains          []int // servers in each failure domain; two domains make a region
	slots            int
	objectsPerServer int // objects that a server keeps warm
	entries          int
	objects          int
	rate             func(at time.Duration) float64 // requests per second over all entries
	coldRun          time.Duration
	warmRun          time.Duration
	target           time.Duration
	timeout          time.Duration
	regionOneWay     time.Duration // one-way latency between regions
	duration         time.Duration
	seed             uint64
	uncached         bool                                   // the caches of the pools are emptied before each decision
	coldRate         float64                                // requests per second of one entry to a cold server
	events           map[time.Duration]func(sm *simulation) // by time since the start

	routes  []simRoute // if empty, one with the run times and limits above
	skewed  bool       // some objects are asked for more than others
	uneven  bool       // some runs take longer than others, and servers run slower at times
	reports bool       // servers report their present speed
	waits   bool       // long requests wait at the entry for slots
	hedges  bool       // late requests are tried on a second server
	asks    bool       // entries ask servers for their load before they choose
}

// simRoute describes the requests of one route.
type simRoute struct {
	class            string
	rate             float64 // requests per second over all entries, relative to the other routes
	coldRun, warmRun time.Duration
	target, timeout  time.Duration
	factor           func(at time.Duration) float64 // of the rate; nil means 1
}

func (r *simRoute) rateAt(at time.Duration) float64 {
	if r.factor == nil {
		return r.rate
	}
	return r.rate * r.factor(at)
}

// tally counts requests by their outcome for the caller.
type tally struct{ requests, inTarget, late, refused, failed int }

// share returns the share of requests that were answered in target.
func (t tally) share() float64 { return float64(t.inTarget) / float64(max(1, t.requests)) }

// simulation runs a scenario in virtual time with real pools and without a network.
type simulation struct {
	scenario
	clock            *virtual.Clock
	random           *rand.Rand
	servers          []*fakeServer
	pools            []*Pool
	budgets          []AskBudget // of questions, by entry
	bySecond         []tally     // by second of arrival
	byRegion         []tally     // by region of the entry
	byDomain         []tally     // by failure domain of the entry
	coldRuns         int
	sends            int
	otherRegionSends int
	serverByID       map[string]*fakeServer
	waiting          map[uint64]func()  // tries to place a request that waits for a slot, by its id
	byRoute          map[string][]tally // by second of arrival
	maxColdPerSecond int                // most requests that a cold server got within one second
	fullSends        int                // sends that reached a server whose slots were all in use
	questions        int                // of entries to servers
	hedged           int                // second tries
	hedgesWon        int                // whose answers came first
}

type fakeServer struct {
	ServerInfo
	simulation *simulation
	running    int
	waiting    []func()
	warm       []string        // least recently used first
	slow       float64         // factor on the run time
	slowFrom   []time.Duration // starts of the times in which it runs slower, since the start of the scenario
	received   int

	coldArrivals []time.Time // arrivals in the last second, while cold
	down         bool        // refuses connections
	silent       bool        // never answers

	unreachable bool // connections to it fail after dialTime
}

func site(domain int) Site {
	return Site{Domain: fmt.Sprint("domain-", domain), Region: fmt.Sprint("region-", domain/2)}
}

func newSimulation(sc scenario) *simulation {
	sm := &simulation{scenario: sc, clock: virtual.New(start), random: rand.New(rand.NewPCG(sc.seed, 1))}
	sm.budgets = make([]AskBudget, sc.entries)
	sm.bySecond = make([]tally, int(sc.duration/time.Second)+1)
	sm.byRegion = make([]tally, (len(sc.domains)+1)/2)
	sm.byDomain = make([]tally, len(sc.domains))
	if len(sc.routes) == 0 {
		sm.routes = []simRoute{{class: "page", coldRun: sc.coldRun, warmRun: sc.warmRun, target: sc.target, timeout: sc.timeout}}
	}
	sm.serverByID = make(map[string]*fakeServer)
	sm.waiting, sm.byRoute = make(map[uint64]func()), make(map[string][]tally)
	for domain, count := range sc.domains {
		for i := range count {
			sm.servers = append(sm.servers, &fakeServer{
				ServerInfo: ServerInfo{ID: fmt.Sprintf("s-%d-%d", domain, i), Address: "a", Start: 1, Slots: sc.slots, CanAsk: sc.asks || sc.waits, Site: site(domain)},
				simulation: sm,
				slow:       1,
			})
			added := sm.servers[len(sm.servers)-1]
			if sc.uneven {
				added.planSlowTimes(rand.New(rand.NewPCG(sc.seed, uint64(len(sm.servers)))))
			}
			sm.serverByID[added.ID] = added
		}
	}
	for i := range sc.entries {
		demand := make(map[string]float64)
		for domain := range sc.domains {
			demand[site(domain).Region]++
		}
		pool := NewPool(Policy{Service: "web", ColdRate: sc.coldRate, Demand: demand, Entries: sc.entries}, site(i%len(sc.domains)))
		sm.pools = append(sm.pools, pool)
	}
	sm.announce()
	return sm
}

// announce gives all entries the servers that are up.
func (sm *simulation) announce() {
	var infos []ServerInfo
	for _, s := range sm.servers {
		if !s.down {
			infos = append(infos, s.ServerInfo)
		}
	}
	for _, pool := range sm.pools {
		pool.Update(infos)
	}
}

func (sm *simulation) run() {
	for at, do := range sm.events {
		sm.clock.Schedule(at, func() { do(sm) })
	}
	sm.clock.Schedule(0, sm.arrive)
	if sm.waits {
		sm.clock.Schedule(0, sm.tickWaiting)
	}
	sm.clock.RunUntil(start.Add(sm.duration + sm.timeout))
}

// arrive starts a request at a random entry and schedules the next one, until
// the scenario ends.
func (sm *simulation) arrive() {
	elapsed := sm.clock.Now().Sub(start)
	if elapsed >= sm.duration {
		return
	}
	gap := sm.random.ExpFloat64() / sm.rate(elapsed)
	sm.clock.Schedule(time.Duration(gap*float64(time.Second)), sm.arrive)
	entry := sm.random.IntN(len(sm.pools))
	route := &sm.routes[0]
	if len(sm.routes) > 1 {
		route = sm.pickRoute()
	}
	sm.request(entry, route, fmt.Sprint(sm.pickObject()), sm.clock.Now(), 1)
}

// pickObject returns an object; where they are skewed, that of number k is asked for in proportion to
// 1/(k+10): the first one takes several servers.
func (sm *simulation) pickObject() int {
	if !sm.skewed {
		return sm.random.IntN(sm.objects)
	}
	const first = 10
	return int(first * (math.Pow(float64(sm.objects+first)/first, sm.random.Float64()) - 1))
}

func (sm *simulation) pickRoute() *simRoute {
	total, now := 0.0, sm.clock.Now().Sub(start)
	for _, route := range sm.routes {
		total += route.rateAt(now)
	}
	left := sm.random.Float64() * total
	for i := range sm.routes {
		if left -= sm.routes[i].rateAt(now); left < 0 {
			return &sm.routes[i]
		}
	}
	return &sm.routes[0]
}

func (sm *simulation) oneWay(from, to Site) time.Duration {
	if from.Region != to.Region {
		return sm.regionOneWay
	}
	return time.Millisecond
}

// request simulates one request; a refused caller retries up to retries times,
// after the time that the refusal gave.
func (sm *simulation) request(entry int, route *simRoute, object string, arrivedAt time.Time, retries int) {
	pool := sm.pools[entry]
	now := sm.clock.Now()
	if sm.uncached {
		pool.resetCaches()
		pool.runners = nil
	}
	req := Request{
		Class:     route.class,
		Rank:      1,
		Object:    object,
		Remaining: arrivedAt.Add(route.timeout).Sub(now),
		Target:    arrivedAt.Add(route.target).Sub(now),
		Fallback:  sm.random.Uint64(),
	}
	sm.askAndPlace(entry, route, object, req, arrivedAt, retries)
}

func (sm *simulation) askAndPlace(entry int, route *simRoute, object string, req Request, arrivedAt time.Time, retries int) {
	pool, now := sm.pools[entry], sm.clock.Now()
	var s *Server
	if sm.asks {
		s = pool.WorthAsking(req, now)
	}
	if sm.waits && s == nil {
		s = pool.AskForSlot(req, now)
	}
	if s != nil && sm.budgets[entry].Take(now) {
		sm.ask(pool, s, func() { sm.place(entry, route, object, req, arrivedAt, retries) })
		return
	}
	sm.place(entry, route, object, req, arrivedAt, retries)
}

// ask asks a server for its load, and goes on once it has answered.
func (sm *simulation) ask(pool *Pool, s *Server, goOn func()) {
	sm.questions++
	server := sm.server(s.ID)
	oneWay := sm.oneWay(pool.Own, server.Site)
	sm.clock.Schedule(oneWay, func() {
		load := server.load()
		sm.clock.Schedule(oneWay, func() {
			pool.RecordReport(s, load, sm.clock.Now())
			goOn()
		})
	})
}

func (sm *simulation) place(entry int, route *simRoute, object string, req Request, arrivedAt time.Time, retries int) {
	pool, now := sm.pools[entry], sm.clock.Now()
	choice := pool.Choose(req, now)
	if choice.Server == nil {
		if sm.wait(entry, route, object, req, arrivedAt, retries, choice) {
			return
		}
		if retries > 0 && now.Add(choice.RetryAfter).Before(arrivedAt.Add(route.timeout)) {
			sm.clock.Schedule(choice.RetryAfter, func() { sm.request(entry, route, object, arrivedAt, retries-1) })
			return
		}
		sm.count(entry, route, arrivedAt, func(t *tally) { t.refused++ })
		return
	}
	delete(sm.waiting, req.Fallback)
	pool.Waiting.Remove(req.Fallback)
	done := false
	sm.send(entry, route, object, req, arrivedAt, retries, choice, &done)
	if !sm.hedges {
		return
	}
	sm.clock.Schedule(hedge.Delay(choice.Expected), func() {
		now := sm.clock.Now()
		if done {
			return
		}
		req.Target, req.Remaining, req.Exclude = arrivedAt.Add(route.target).Sub(now), arrivedAt.Add(route.timeout).Sub(now), []string{choice.Server.ID}
		second, found := pool.ChooseHedge(req, now)
		if !found {
			return
		}
		sm.hedged++
		sm.send(entry, route, object, req, arrivedAt, 0, second, &done)
	})
}

// send sends a request to the chosen server; done is set by the first answer, and a later one of a
// request that is tried twice only ends its run.
func (sm *simulation) send(entry int, route *simRoute, object string, req Request, arrivedAt time.Time, retries int, choice Choice, done *bool) {
	pool, now := sm.pools[entry], sm.clock.Now()
	sentAt := now
	unqueued, pace := choice.Server.Load(now) <= float64(choice.Server.Slots), choice.Server.Pace(now)
	pool.BeginRun(choice.Server, Run{Class: route.class, Target: route.target}, now)
	server := sm.server(choice.Server.ID)
	sm.sends++
	if pool.Own.Region != server.Region {
		sm.otherRegionSends++
	}
	oneWay := sm.oneWay(pool.Own, server.Site)
	pool.RecordRoundTrip(server.Domain, 2*oneWay)
	end := func(result routing.Result, load Load) {
		sm.clock.Schedule(oneWay, func() {
			now := sm.clock.Now()
			if *done {
				defer sm.tryWaiting(entry, true)
				pool.End(choice.Server, Outcome{Class: route.class, Target: route.target, Result: routing.ResultCancelled, Late: true, Latency: now.Sub(sentAt)}, now)
				return
			}
			*done = true
			if result == routing.ResultDialFailed {
				pool.End(choice.Server, Outcome{Class: route.class, Object: object, Result: result}, now)
				sm.request(entry, route, object, arrivedAt, retries)
				return
			}
			defer sm.tryWaiting(entry, true)
			if len(req.Exclude) > 0 {
				sm.hedgesWon++
			}
			latency := now.Sub(arrivedAt)
			if sm.hedges {
				latency = now.Sub(sentAt)
			}
			pool.End(choice.Server, Outcome{Class: route.class, Object: object, Target: route.target, Unqueued: unqueued, Result: result, Latency: latency, Load: load, PaceAtSend: pace}, now)
			sm.count(entry, route, arrivedAt, func(t *tally) {
				switch took := now.Sub(arrivedAt); {
				case result != routing.ResultOK || took > route.timeout:
					t.failed++
				case took > route.target:
					t.late++
				default:
					t.inTarget++
				}
			})
		})
	}
	sm.clock.Schedule(oneWay, func() {
		server.countCold()
		server.receive(route, object, end)
	})
}

// wait lets a request wait at the entry for a slot, and reports whether it does.
func (sm *simulation) wait(entry int, route *simRoute, object string, req Request, arrivedAt time.Time, retries int, choice Choice) bool {
	pool := sm.pools[entry]
	if !sm.waits || !choice.MayWait {
		return false
	}
	if req.Waited {
		_, waits := sm.waiting[req.Fallback]
		return waits
	}
	now := sm.clock.Now()
	x := Waiter{ID: req.Fallback, Class: req.Class, Rank: req.Rank, Deadline: now.Add(req.Remaining), TargetTime: now.Add(req.Target)}
	if !pool.Hold(x, now) {
		return false
	}
	sm.waiting[x.ID] = func() {
		again := req
		again.Waited, again.Remaining, again.Target = true, x.Deadline.Sub(sm.clock.Now()), x.TargetTime.Sub(sm.clock.Now())
		sm.askAndPlace(entry, route, object, again, arrivedAt, 0)
	}
	return true
}

// tryWaiting compares servers again for the requests that wait at an entry.
func (sm *simulation) tryWaiting(entry int, ended bool) {
	pool, now := sm.pools[entry], sm.clock.Now()
	for _, id := range pool.Expired(now) {
		pool.Waiting.Remove(id)
		try := sm.waiting[id]
		delete(sm.waiting, id)
		try() // the last time
	}
	for _, id := range pool.Due(ended, now) {
		sm.waiting[id]()
	}
}

func (sm *simulation) tickWaiting() {
	for entry := range sm.pools {
		sm.tryWaiting(entry, false)
	}
	sm.clock.Schedule(50*time.Millisecond, sm.tickWaiting)
}

func (sm *simulation) server(id string) *fakeServer { return sm.serverByID[id] }

func (sm *simulation) count(entry int, route *simRoute, arrivedAt time.Time, add func(*tally)) {
	region := (entry % len(sm.domains)) / 2
	second := int(arrivedAt.Sub(start) / time.Second)
	if sm.byRoute[route.class] == nil {
		sm.byRoute[route.class] = make([]tally, len(sm.bySecond))
	}
	for _, t := range []*tally{&sm.bySecond[second], &sm.byRoute[route.class][second], &sm.byRegion[region], &sm.byDomain[entry%len(sm.domains)]} {
		t.requests++
		add(t)
	}
}

// between sums the tallies of the seconds from (inclusive) to to (exclusive).
func (sm *simulation) between(from, to int) tally {
	return sumOf(sm.bySecond[from:min(to, len(sm.bySecond))])
}

func sumOf(tallies []tally) tally {
	var sum tally
	for _, t := range tallies {
		sum.requests += t.requests
		sum.inTarget += t.inTarget
		sum.late += t.late
		sum.refused += t.refused
		sum.failed += t.failed
	}
	return sum
}

// countCold counts the requests that a cold server gets within one second.
func (s *fakeServer) countCold() {
	now := s.simulation.clock.Now()
	if !now.Before(s.ColdUntil) {
		return
	}
	s.coldArrivals = slices.DeleteFunc(s.coldArrivals, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	s.coldArrivals = append(s.coldArrivals, now)
	s.simulation.maxColdPerSecond = max(s.simulation.maxColdPerSecond, len(s.coldArrivals))
}

const (
	queuePerSlot = 3                      // waiting requests per slot, above which a server sheds
	dialTime     = 300 * time.Millisecond // until a connection to an unreachable server fails
)

// receive runs, queues or refuses a request; end gets its result.
func (s *fakeServer) receive(route *simRoute, object string, end func(routing.Result, Load)) {
	s.received++
	if s.running >= s.Slots {
		s.simulation.fullSends++
	}
	switch {
	case s.unreachable:
		s.simulation.clock.Schedule(dialTime, func() { end(routing.ResultDialFailed, Load{}) })
	case s.silent:
		s.simulation.clock.Schedule(route.timeout, func() { end(routing.ResultTimeout, Load{}) })
	case s.down:
		end(routing.ResultDialFailed, Load{})
	case s.running < s.Slots:
		s.run(route, object, end)
	case len(s.waiting) >= queuePerSlot*s.Slots:
		end(routing.ResultShed, s.load())
	default:
		s.waiting = append(s.waiting, func() { s.run(route, object, end) })
	}
}

func (s *fakeServer) load() Load {
	load := Load{Known: true, Running: s.running, Waiting: len(s.waiting), Slots: s.Slots}
	if s.simulation.reports {
		load.Pace = 1
		if now := s.simulation.clock.Now().Sub(start); s.timeFor(slowTime/100, now) > slowTime/100 {
			load.Pace = slowFactor
		}
	}
	return load
}

// Unevenness of docs/customers-and-load.md.
const (
	longRunShare  = 0.03 // of the runs take longFactor times as long
	longFactor    = 7.0
	slowShare     = 0.15 // of the time, a server runs slowFactor times slower
	slowFactor    = 2.5
	slowTime      = 600 * time.Millisecond
	meanUsualTime = time.Duration(float64(slowTime) * (1 - slowShare) / slowShare) // between two slow times
)

func (s *fakeServer) planSlowTimes(random *rand.Rand) {
	for at := time.Duration(0); at < s.simulation.duration+time.Minute; at += slowTime {
		at += time.Duration(random.ExpFloat64() * float64(meanUsualTime))
		s.slowFrom = append(s.slowFrom, at)
	}
}

// timeFor returns how long work takes that begins at a time, by the slow times of the server.
func (s *fakeServer) timeFor(work, at time.Duration) time.Duration {
	now := at
	next, _ := slices.BinarySearch(s.slowFrom, at-slowTime+1)
	for _, from := range s.slowFrom[next:] {
		if usual := max(0, from-now); work <= usual {
			break
		} else if work -= usual; usual > 0 {
			now = from
		}
		slow := from + slowTime - now
		if time.Duration(float64(work)*slowFactor) <= slow {
			return now + time.Duration(float64(work)*slowFactor) - at
		}
		work -= time.Duration(float64(slow) / slowFactor)
		now += slow
	}
	return now + work - at
}

func (s *fakeServer) run(route *simRoute, object string, end func(routing.Result, Load)) {
	s.running++
	took := route.warmRun
	if !slices.Contains(s.warm, object) {
		took = route.coldRun
		s.simulation.coldRuns++
	}
	spread := 0.85 + 0.3*s.simulation.random.Float64()
	took = time.Duration(float64(took) * spread * s.slow)
	if s.simulation.uneven {
		if s.simulation.random.Float64() < longRunShare {
			took *= longFactor
		}
		took = s.timeFor(took, s.simulation.clock.Now().Sub(start))
	}
	s.simulation.clock.Schedule(took, func() {
		s.running--
		s.touch(object)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		end(routing.ResultOK, s.load())
	})
}

// touch makes the object the most recently used one and evicts the least recently
// used one when too many are warm.
func (s *fakeServer) touch(object string) {
	s.warm = slices.DeleteFunc(s.warm, func(o string) bool { return o == object })
	s.warm = append(s.warm, object)
	if len(s.warm) > s.simulation.objectsPerServer {
		s.warm = s.warm[1:]
	}
}
