package placing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/virtual"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// load is what a world plays.
type load struct {
	domains   []int // servers in each failure domain; two domains make a region
	slots     int
	keeps     int // objects that a server keeps warm
	entries   int
	objects   int
	rate      func(at time.Duration) float64 // requests per second over all entries
	cold      time.Duration
	warm      time.Duration
	target    time.Duration
	timeout   time.Duration
	regionWay time.Duration // one way between regions
	length    time.Duration
	seed      uint64
	coldRate  float64 // of one entry to a cold server
	at        map[time.Duration]func(w *world)
}

// tally counts what callers got.
type tally struct{ asked, inTarget, late, refused, failed int }

func (t tally) share() float64 { return float64(t.inTarget) / float64(max(1, t.asked)) }

// world plays a load in virtual time with the real decisions and no network.
type world struct {
	load
	time     *virtual.Clock
	random   *rand.Rand
	servers  []*fakeServer
	pools    []*Pool
	periods  []tally // by second of arrival
	regions  []tally // by region of the entry
	colds    int
	coldMost int // requests that a cold server got within one second
}

type fakeServer struct {
	ServerInfo
	world   *world
	running int
	waiting []func()
	warm    []string // least recently used first
	slow    float64

	arrivals []time.Time // of the last second, while cold
	down     bool        // refuses connections
	dark     bool        // says nothing any more

	unreachable bool // connections to it time out
}

func site(domain int) Site {
	return Site{Domain: fmt.Sprint("domain-", domain), Region: fmt.Sprint("region-", domain/2)}
}

func newWorld(l load) *world {
	w := &world{load: l, time: virtual.New(start), random: rand.New(rand.NewPCG(l.seed, 1))}
	w.periods = make([]tally, int(l.length/time.Second)+1)
	w.regions = make([]tally, (len(l.domains)+1)/2)
	for domain, count := range l.domains {
		for i := range count {
			w.servers = append(w.servers, &fakeServer{
				ServerInfo: ServerInfo{ID: fmt.Sprintf("s-%d-%d", domain, i), Address: "a", Start: 1, Slots: l.slots, Site: site(domain)},
				world:      w,
				slow:       1,
			})
		}
	}
	for i := range l.entries {
		pool := NewPool(Policy{Service: "web", ColdRate: l.coldRate}, site(i%len(l.domains)))
		w.pools = append(w.pools, pool)
	}
	w.announce()
	return w
}

// announce tells all entries which servers there are.
func (w *world) announce() {
	var seen []ServerInfo
	for _, s := range w.servers {
		if !s.down {
			seen = append(seen, s.ServerInfo)
		}
	}
	for _, pool := range w.pools {
		pool.Update(seen)
	}
}

func (w *world) play() {
	for at, do := range w.at {
		w.time.Schedule(at, func() { do(w) })
	}
	w.time.Schedule(0, w.arrive)
	w.time.RunUntil(start.Add(w.length + w.timeout))
}

func (w *world) arrive() {
	elapsed := w.time.Now().Sub(start)
	if elapsed >= w.length {
		return
	}
	gap := w.random.ExpFloat64() / w.rate(elapsed)
	w.time.Schedule(time.Duration(gap*float64(time.Second)), w.arrive)
	entry := w.random.IntN(len(w.pools))
	w.ask(entry, fmt.Sprint(w.random.IntN(w.objects)), w.time.Now(), 1)
}

func (w *world) way(from, to Site) time.Duration {
	if from.Region != to.Region {
		return w.regionWay
	}
	return time.Millisecond
}

// ask plays one request; a refused caller returns once, as it was told.
func (w *world) ask(entry int, object string, began time.Time, returns int) {
	pool := w.pools[entry]
	now := w.time.Now()
	choice := pool.Choose(Request{
		Class:     "page",
		Rank:      1,
		Object:    object,
		Remaining: began.Add(w.timeout).Sub(now),
		Target:    began.Add(w.target).Sub(now),
		Fallback:  w.random.Uint64(),
	}, now)
	if choice.Server == nil {
		if returns > 0 && now.Add(choice.RetryAfter).Before(began.Add(w.timeout)) {
			w.time.Schedule(choice.RetryAfter, func() { w.ask(entry, object, began, returns-1) })
			return
		}
		w.count(entry, began, func(t *tally) { t.refused++ })
		return
	}
	alone := choice.Server.Load(now) <= float64(choice.Server.Slots)
	pool.Begin(choice.Server, now)
	server := w.server(choice.Server.ID)
	way := w.way(pool.Own, server.Site)
	pool.RecordRoundTrip(server.Domain, 2*way)
	end := func(result routing.Result, load Load) {
		w.time.Schedule(way, func() {
			now := w.time.Now()
			if result == routing.ResultDialFailed {
				pool.End(choice.Server, Outcome{Class: "page", Object: object, Result: result}, now)
				w.ask(entry, object, began, returns)
				return
			}
			pool.End(choice.Server, Outcome{Class: "page", Object: object, Target: w.target, Unqueued: alone, Result: result, Latency: now.Sub(began), Load: load}, now)
			w.count(entry, began, func(t *tally) {
				switch took := now.Sub(began); {
				case result != routing.ResultOK || took > w.timeout:
					t.failed++
				case took > w.target:
					t.late++
				default:
					t.inTarget++
				}
			})
		})
	}
	w.time.Schedule(way, func() {
		server.countCold()
		server.take(object, end)
	})
}

func (w *world) server(id string) *fakeServer {
	at := slices.IndexFunc(w.servers, func(s *fakeServer) bool { return s.ID == id })
	return w.servers[at]
}

func (w *world) count(entry int, began time.Time, add func(*tally)) {
	region := (entry % len(w.domains)) / 2
	for _, t := range []*tally{&w.periods[int(began.Sub(start)/time.Second)], &w.regions[region]} {
		t.asked++
		add(t)
	}
}

// between sums the seconds from and to.
func (w *world) between(from, to int) tally {
	var sum tally
	for _, t := range w.periods[from:min(to, len(w.periods))] {
		sum.asked += t.asked
		sum.inTarget += t.inTarget
		sum.late += t.late
		sum.refused += t.refused
		sum.failed += t.failed
	}
	return sum
}

// countCold notes what a cold server gets within one second.
func (s *fakeServer) countCold() {
	now := s.world.time.Now()
	if !now.Before(s.ColdUntil) {
		return
	}
	s.arrivals = slices.DeleteFunc(s.arrivals, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	s.arrivals = append(s.arrivals, now)
	s.world.coldMost = max(s.world.coldMost, len(s.arrivals))
}

const (
	queuePerSlot = 3
	dialTime     = 300 * time.Millisecond
)

func (s *fakeServer) take(object string, end func(routing.Result, Load)) {
	switch {
	case s.unreachable:
		s.world.time.Schedule(dialTime, func() { end(routing.ResultDialFailed, Load{}) })
	case s.dark:
		s.world.time.Schedule(s.world.timeout, func() { end(routing.ResultTimeout, Load{}) })
	case s.down:
		end(routing.ResultDialFailed, Load{})
	case s.running < s.Slots:
		s.run(object, end)
	case len(s.waiting) >= queuePerSlot*s.Slots:
		end(routing.ResultShed, s.load())
	default:
		s.waiting = append(s.waiting, func() { s.run(object, end) })
	}
}

func (s *fakeServer) load() Load {
	return Load{Known: true, Running: s.running, Waiting: len(s.waiting), Slots: s.Slots}
}

func (s *fakeServer) run(object string, end func(routing.Result, Load)) {
	s.running++
	took := s.world.warm
	if !slices.Contains(s.warm, object) {
		took = s.world.cold
		s.world.colds++
	}
	spread := 0.85 + 0.3*s.world.random.Float64()
	s.world.time.Schedule(time.Duration(float64(took)*spread*s.slow), func() {
		s.running--
		s.keep(object)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		end(routing.ResultOK, s.load())
	})
}

func (s *fakeServer) keep(object string) {
	s.warm = slices.DeleteFunc(s.warm, func(o string) bool { return o == object })
	s.warm = append(s.warm, object)
	if len(s.warm) > s.world.keeps {
		s.warm = s.warm[1:]
	}
}
