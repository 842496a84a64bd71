package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/examples"
	"github.com/heatherwood/heatherwood/internal/virtual"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Times of a run. Faults and measurement are relative to its start.
const (
	runLength     = 32 * time.Second
	faultStart    = 10 * time.Second
	faultEnd      = 20 * time.Second
	measureStart  = 5 * time.Second
	tickInterval  = 50 * time.Millisecond
	shiftInterval = time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Fleet describes the backend servers of one service.
type Fleet struct {
	Servers         int
	Slots           int
	MeanServiceTime time.Duration // of one request
}

// fleets holds the backend servers by service.
var fleets = map[string]Fleet{
	"proofs":       {Servers: 16, Slots: 6, MeanServiceTime: 150 * time.Millisecond},
	"approvals":    {Servers: 12, Slots: 4, MeanServiceTime: 200 * time.Millisecond},
	"catalogue":    {Servers: 20, Slots: 5, MeanServiceTime: 150 * time.Millisecond},
	"reservations": {Servers: 12, Slots: 3, MeanServiceTime: 200 * time.Millisecond},
	"payments":     {Servers: 12, Slots: 3, MeanServiceTime: 250 * time.Millisecond},
}

// steadyLoad is the offered load without faults as a share of a fleet's
// capacity, by rank.
var steadyLoad = map[string]float64{"browsing": 0.2, "reserving": 0.2, "paying": 0.3}

// Simulation is one run of a case under a policy.
type Simulation struct {
	Site     string
	Document *document.Document
	Case     Case
	Stats    Stats

	clock   *virtual.Clock
	random  *rand.Rand
	servers []*server
	ranks   []document.Rank
	policy  policy
	streams []arrivalStream
}

// policy decides where requests run.
type policy interface {
	arrive(r *request) // a caller sends the request
	tick()             // called every tickInterval
}

// server is the actual state of a backend server, which policies may not know.
type server struct {
	id              string
	service         string
	domain          string
	region          string
	slots           int
	meanServiceTime time.Duration
	running         int
	queue           []*request // beyond the slots; only baselines use it
	alive           bool
	failing         bool                     // answers at once with an error
	lastSeen        map[netip.Addr]time.Time // last request, by client
	inflight        map[*request]bool
}

// request is one caller's request.
type request struct {
	service       string
	rank          int // index in the order of ranks
	place         int // index in the document
	client        netip.Addr
	arrivedAt     time.Time
	deadline      time.Time
	serviceTime   time.Duration
	crashesServer bool
	server        *server // the last that ran it
	startedAt     time.Time
	onResult      func(result outcome) // set by the policy
}

// outcome is the result of a request on a server.
type outcome uint8

const (
	outcomeOK outcome = iota + 1
	outcomeError
	outcomeBroken // the connection broke before the answer
)

// arrivalStream generates the requests of one service and rank from one place.
// Interarrival times are exponentially distributed.
type arrivalStream struct {
	service string
	rank    int
	place   int
	rate    float64 // per second
}

func (sm *Simulation) schedule(delay time.Duration, run func()) { sm.clock.Schedule(delay, run) }

// NewSimulation sets up an example site for one case. Shift interval, warm-up
// and target time of its services are set to values that fit a run of 32 s.
func NewSimulation(site string, c Case, seed uint64) (*Simulation, error) {
	texts, err := examples.ReadTexts(site)
	if err != nil {
		return nil, err
	}
	parsed, messages := document.Parse(texts)
	if err := messages.Err(); err != nil {
		return nil, err
	}
	sm := &Simulation{Site: site, Document: parsed, Case: c, clock: virtual.New(epoch), random: rand.New(rand.NewPCG(seed, 7))}
	sm.ranks = parsed.Ranks.Order()
	for i := range parsed.Services.Services {
		service := &parsed.Services.Services[i]
		service.Interval = document.Duration(shiftInterval)
		service.Warm = document.Duration(2 * time.Second)
		service.Target = document.PositiveDuration(2 * time.Second)
	}
	if c.LinkLimit > 0 {
		for i := range parsed.Places.Links {
			parsed.Places.Links[i].Limit = c.LinkLimit
		}
	}
	sm.createServers()
	sm.createStreams()
	sm.Stats.init(sm)
	return sm, nil
}

func (sm *Simulation) createServers() {
	domains := sm.Document.Places.Domains
	for _, service := range sm.Document.Services.Services {
		fleet := fleets[service.Name]
		for i := range fleet.Servers {
			domain := domains[i%len(domains)]
			sm.servers = append(sm.servers, &server{
				id:              fmt.Sprintf("%s-%02d", service.Name, i),
				service:         service.Name,
				domain:          domain.Name,
				region:          domain.Region,
				slots:           fleet.Slots,
				meanServiceTime: fleet.MeanServiceTime,
				alive:           true,
				lastSeen:        make(map[netip.Addr]time.Time),
				inflight:        make(map[*request]bool),
			})
		}
	}
}

// Capacity returns the requests per second that a service's fleet can serve.
func Capacity(service string) float64 {
	fleet := fleets[service]
	return float64(fleet.Servers*fleet.Slots) / fleet.MeanServiceTime.Seconds()
}

// mainRank returns the rank of the service's first rule or, for a service that only
// routes lead to, of the first of these; "" if there is neither.
func (sm *Simulation) mainRank(service document.Service) string {
	if len(service.Rules) > 0 {
		return service.Rules[0].Rank
	}
	for _, route := range sm.Document.Routes.Routes {
		leadsTo := func(target document.Target) bool { return target.Service == service.Name }
		if slices.ContainsFunc(route.To, leadsTo) {
			return route.Rank
		}
	}
	return ""
}

func (sm *Simulation) rankIndex(name string) int {
	for i, rank := range sm.ranks {
		if rank.Name == name {
			return i
		}
	}
	return 0
}

// createStreams creates a stream for each service, place and rank. A service
// gets browsing and its main rank, or twice the load if both are browsing.
func (sm *Simulation) createStreams() {
	places := len(sm.Document.Places.Places)
	for _, service := range sm.Document.Services.Services {
		if fleets[service.Name].Servers == 0 {
			continue
		}
		ranks := []string{"browsing"}
		if main := sm.mainRank(service); main != "" && main != "browsing" {
			ranks = append(ranks, main)
		}
		for _, name := range ranks {
			load := steadyLoad[name]
			if len(ranks) == 1 {
				load *= 2
			}
			for place := range places {
				rate := load * Capacity(service.Name) / float64(places)
				sm.streams = append(sm.streams, arrivalStream{service: service.Name, rank: sm.rankIndex(name), place: place, rate: rate})
			}
		}
	}
}

func (sm *Simulation) now() time.Time { return sm.clock.Now() }

// Run runs the simulation to its end.
func (sm *Simulation) Run() {
	for i := range sm.streams {
		sm.scheduleArrival(&sm.streams[i])
	}
	sm.scheduleFaults()
	sm.scheduleTicks()
	sm.clock.RunUntil(epoch.Add(runLength))
	sm.Stats.finish()
}

// scheduleTicks calls the policy and samples the statistics every tickInterval.
func (sm *Simulation) scheduleTicks() {
	sm.policy.tick()
	sm.Stats.sample()
	sm.schedule(tickInterval, sm.scheduleTicks)
}

// exponential draws from the exponential distribution with a mean in seconds.
func (sm *Simulation) exponential(mean float64) time.Duration {
	return time.Duration(-math.Log(1-sm.random.Float64()) * mean * float64(time.Second))
}

// scheduleArrival schedules the next request of a stream.
func (sm *Simulation) scheduleArrival(a *arrivalStream) {
	rate := a.rate + sm.extraRate(a)
	sm.schedule(sm.exponential(1/rate), func() {
		sm.createRequest(a)
		sm.scheduleArrival(a)
	})
}

// extraRate returns the requests per second that a flood adds to a stream.
func (sm *Simulation) extraRate(a *arrivalStream) float64 {
	if !sm.faultActive() {
		return 0
	}
	places := float64(len(sm.Document.Places.Places))
	browsing := sm.ranks[a.rank].Name == "browsing"
	switch {
	case sm.Case.BrowseFlood > 0 && browsing:
		return sm.Case.BrowseFlood * Capacity(a.service) / places
	case sm.Case.PayFlood > 0 && sm.ranks[a.rank].Name == "paying":
		return sm.Case.PayFlood * Capacity(a.service) / places
	default:
		return 0
	}
}

// faultActive reports whether the faults of the case apply now.
func (sm *Simulation) faultActive() bool {
	since := sm.now().Sub(epoch)
	return since >= faultStart && since < faultEnd
}

func (sm *Simulation) createRequest(a *arrivalStream) {
	const blocksPerPlace = 200
	place := sm.Document.Places.Places[a.place]
	address := place.Blocks[0].Addr().As4()
	address[2] = byte(sm.random.IntN(blocksPerPlace))
	target := sm.ranks[a.rank].Target.Std()
	r := &request{
		service:     a.service,
		rank:        a.rank,
		place:       a.place,
		client:      netip.AddrFrom4(address),
		arrivedAt:   sm.now(),
		deadline:    sm.now().Add(target),
		serviceTime: sm.drawServiceTime(a.service),
	}
	sm.Stats.countArrival(r)
	sm.policy.arrive(r)
}

// drawServiceTime draws a service time: half of the mean is fixed, the other
// half exponentially distributed.
func (sm *Simulation) drawServiceTime(service string) time.Duration {
	mean := fleets[service].MeanServiceTime
	return mean/2 + sm.exponential(mean.Seconds()/2)
}

// startRequest runs a request on a server. Its onResult is called at the end of
// the service time.
func (sm *Simulation) startRequest(s *server, r *request) {
	r.server, r.startedAt = s, sm.now()
	s.inflight[r] = true
	s.running++
	if s.running > s.slots {
		sm.Stats.Overloads++
	}
	if r.crashesServer {
		sm.schedule(crashDelay, func() { sm.crashAndRestart(s) })
		return
	}
	serviceTime := r.serviceTime
	if s.failing {
		serviceTime = time.Millisecond
	}
	if sm.Case.ColdCaches && sm.isCold(s, r) {
		serviceTime = time.Duration(coldSlowdown * float64(serviceTime))
	}
	sm.schedule(serviceTime, func() { sm.endRequest(s, r, outcomeOK) })
}

const (
	crashDelay    = 5 * time.Millisecond // from the start of a crash request
	restartDelay  = 5 * time.Second
	coldSlowdown  = 3.0 // factor on the service time
	cacheLifetime = 10 * time.Second
)

// isCold reports whether the server's cache lacks the data of the client's
// block and records the request. All caches are warm at the start of the run.
func (sm *Simulation) isCold(s *server, r *request) bool {
	servedAt, found := s.lastSeen[r.client]
	s.lastSeen[r.client] = sm.now()
	return !found && sm.now().Sub(epoch) > cacheLifetime || found && sm.now().Sub(servedAt) > cacheLifetime
}

func (sm *Simulation) endRequest(s *server, r *request, result outcome) {
	if !s.inflight[r] {
		return
	}
	delete(s.inflight, r)
	s.running--
	if s.failing {
		result = outcomeError
	}
	r.onResult(result)
	sm.startQueued(s)
}

// cancelRequest stops a request on a server without an answer.
func (sm *Simulation) cancelRequest(s *server, r *request) {
	if !s.inflight[r] {
		return
	}
	delete(s.inflight, r)
	s.running--
	sm.startQueued(s)
}

// startQueued starts requests of the server's queue while slots are free.
func (sm *Simulation) startQueued(s *server) {
	for s.alive && s.running < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		sm.startRequest(s, next)
	}
}

// crashAndRestart crashes a server and restarts it after restartDelay.
func (sm *Simulation) crashAndRestart(s *server) {
	sm.crash(s)
	sm.Stats.Crashes++
	sm.schedule(restartDelay, func() { s.alive = true })
}

// crash takes a server down; its running and queued requests end as broken.
func (sm *Simulation) crash(s *server) {
	if !s.alive {
		return
	}
	s.alive = false
	var lost []*request
	for r := range s.inflight {
		lost = append(lost, r)
	}
	sortRequests(lost)
	lost = append(lost, s.queue...)
	s.queue, s.running = nil, 0
	s.inflight = make(map[*request]bool)
	for _, r := range lost {
		r.onResult(outcomeBroken)
	}
}
