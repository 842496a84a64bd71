package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Policy is what the steering document says of one service.
type Policy struct {
	Service  string
	ColdRate float64 // requests per second of a cold server from this entry; 0 sets no limit
}

// Ask requests a server for one request.
type Ask struct {
	Object   string // requests of one object run faster where it ran lately; may be empty
	Rank     int    // 0 is the most urgent
	Left     time.Duration
	Target   time.Duration // left until the answer loses most of its value; may be negative
	Returned bool          // its caller came back after a refusal
	Exclude  []string
	Allowed  func(region string) bool
	Fallback uint64 // orders servers of a request without an object
}

// Choice is a server, or a refusal with the time after which there should be
// room.
type Choice struct {
	Server     *Server
	Expected   time.Duration // until the answer
	Warm       bool
	Refused    Refusal
	RetryAfter time.Duration
	Candidates int
}

// Refusal tells why no server was chosen.
type Refusal string

// The refusals.
const (
	NoServers Refusal = "no-servers"
	TooBusy   Refusal = "servers-busy"
)

// Load is what a server said of itself in an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Site is where a server or entry stands.
type Site struct {
	Domain string
	Region string
}

// Weights of the way in the cost of a server, as parts of a cold run.
const (
	otherDomain = 0.02
	otherRegion = 0.10
)

// Bounds and weights of the estimates.
const (
	defaultWork     = 300 * time.Millisecond // a run until one is measured
	defaultWarm     = 0.3                    // share of a cold run that a warm one takes
	workWeight      = 0.05                   // of a new run in the moving averages
	slowWeight      = 0.15
	slowLimit       = 1.5                     // ratio to the usual time from which a server counts as slow
	loadFade        = 1500 * time.Millisecond // after which half of what a server said of others' load counts
	shareOfLeft     = 0.9                     // of the time left that the expected answer may take
	objectsKept     = 64                      // objects remembered for each server
	objectKept      = 30 * time.Second
	defaultQueue    = 2.0 // requests that wait at a server for each slot, at most, for the most urgent rank
	queueStep       = 0.5 // fewer for each less urgent rank
	minQueue        = 0.5
	ejectFirst      = 500 * time.Millisecond
	ejectMost       = 4 * time.Second
	failuresToEject = 4
	greyWeight      = 0.15
	greyPenalty     = 1.5 // runs that a failing answer costs
	minRetry        = 200 * time.Millisecond
	maxRetry        = 3 * time.Second
)

// Pool is the servers of one service as one entry sees them.
type Pool struct {
	Policy  Policy
	Own     Site
	Servers []*Server // by id

	cold float64 // seconds of a run on a server that did not handle the object lately
	warm float64 // seconds of a run on one that did
	ways map[string]float64
}

// NewPool returns a pool without servers.
func NewPool(policy Policy, own Site) *Pool {
	return &Pool{Policy: policy, Own: own, ways: make(map[string]float64)}
}

// Server is one start of a backend server.
type Server struct {
	ID        string
	Address   string
	Start     int64
	Slots     int
	ColdUntil time.Time
	Closed    bool // gets nothing new
	Site

	hash       uint64
	running    int // sent from here and not ended
	others     float64
	othersAt   time.Time
	othersMean float64
	slow       float64 // moving average of the ratio to the usual time
	failing    float64 // share of failed answers, moving average
	failures   int     // in a row
	ejections  int
	ejected    time.Time // until then
	probing    bool
	nextCold   time.Time
	objects    map[string]time.Time // last good answer
}

// Seen describes a server for the pool.
type Seen struct {
	ID        string
	Address   string
	Start     int64
	Slots     int
	ColdUntil time.Time
	Closed    bool
	Site
}

func compareServer(s *Server, id string) int { return cmp.Compare(s.ID, id) }

// Find returns the server with the id, or nil.
func (p *Pool) Find(id string) *Server {
	at, found := slices.BinarySearchFunc(p.Servers, id, compareServer)
	if !found {
		return nil
	}
	return p.Servers[at]
}

// Update takes over the servers that may be used now; the others are dropped. A
// new start of a server knows nothing of what it ran before.
func (p *Pool) Update(seen []Seen) {
	servers := make([]*Server, 0, len(seen))
	for _, v := range seen {
		s := p.Find(v.ID)
		if s == nil || s.Start != v.Start || s.Address != v.Address {
			s = &Server{hash: xxhash.Sum64String(v.ID), slow: 1, objects: make(map[string]time.Time)}
		}
		if v.ColdUntil.After(s.ColdUntil) && !s.ColdUntil.IsZero() {
			clear(s.objects)
		}
		s.ID, s.Address, s.Start, s.Slots = v.ID, v.Address, v.Start, max(1, v.Slots)
		s.ColdUntil, s.Closed, s.Site = v.ColdUntil, v.Closed, v.Site
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	p.Servers = servers
}

// order is the place of a server in the order of an object: rendezvous hashing,
// so that a server that goes moves only its own objects.
func order(object, server uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (object ^ server) * multiplier
	x ^= x >> 32
	x *= multiplier
	return x ^ x>>29
}

// candidate is a server with what is expected of it.
type candidate struct {
	server *Server
	order  uint64
	warm   bool
	load   float64
}

// Choose returns the server on which the request should be answered soonest, or
// a refusal.
func (p *Pool) Choose(ask Ask, now time.Time) Choice {
	object := ask.Fallback
	if ask.Object != "" {
		object = xxhash.Sum64String(ask.Object)
	}
	home := p.home(ask, object, now)
	best, bestCost, bestTime := (*Server)(nil), math.Inf(1), 0.0
	bestWarm := false
	candidates := 0
	soonest := math.Inf(1)
	for _, s := range p.Servers {
		if !s.usable(ask, now) {
			continue
		}
		candidates++
		warm := ask.Object != "" && (s == home || s.knows(ask.Object, now))
		expected, room := p.expect(s, ask, warm, now)
		soonest = min(soonest, expected)
		if !room {
			continue
		}
		cost := expected + p.charge(s) + s.failing*greyPenalty*p.coldRun()
		if cost < bestCost {
			best, bestCost, bestTime, bestWarm = s, cost, expected, warm
		}
	}
	left := ask.Left.Seconds()
	switch {
	case candidates == 0:
		return Choice{Refused: NoServers, RetryAfter: minRetry * 2}
	case best == nil || bestTime > shareOfLeft*left:
		return Choice{Refused: TooBusy, RetryAfter: p.retryAfter(soonest, ask), Candidates: candidates}
	}
	return Choice{Server: best, Expected: seconds(bestTime), Warm: bestWarm, Candidates: candidates}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// retryAfter is when the load above should have run, spread so that callers do
// not return together.
func (p *Pool) retryAfter(soonest float64, ask Ask) time.Duration {
	wait := p.warmRun()
	if !math.IsInf(soonest, 1) {
		wait = max(wait, soonest-p.warmRun())
	}
	spread := 0.75 + 0.5*float64(ask.Fallback%1024)/1024
	return min(max(seconds(wait*spread), minRetry), maxRetry)
}

// home returns the server on which requests of the object meet: the first of its
// order that gets new work at all.
func (p *Pool) home(ask Ask, object uint64, now time.Time) *Server {
	var home *Server
	highest := uint64(0)
	for _, s := range p.Servers {
		if s.Closed || now.Before(s.ejected) || now.Before(s.ColdUntil) || !ask.allowed(s.Region) || s.slow > slowLimit {
			continue
		}
		if place := order(object, s.hash); home == nil || place > highest {
			home, highest = s, place
		}
	}
	return home
}

func (a Ask) allowed(region string) bool { return a.Allowed == nil || a.Allowed(region) }

func (s *Server) usable(ask Ask, now time.Time) bool {
	return !s.Closed &&
		!now.Before(s.ejected) &&
		!(s.probing && s.running > 0) &&
		!(now.Before(s.ColdUntil) && now.Before(s.nextCold)) &&
		ask.allowed(s.Region) &&
		!slices.Contains(ask.Exclude, s.ID)
}

func (s *Server) knows(object string, now time.Time) bool {
	at, found := s.objects[object]
	return found && now.Sub(at) < objectKept
}

// expect estimates the time until the answer, and whether the server may take
// one more request of the rank.
func (p *Pool) expect(s *Server, ask Ask, warm bool, now time.Time) (float64, bool) {
	run := p.coldRun()
	if warm {
		run = p.warmRun()
	}
	slow := max(1, s.slow)
	load := s.Load(now)
	slots := float64(s.Slots)
	expected := 2*p.way(s) + run*slow
	if over := load + 1 - slots; over > 0 {
		expected += over / slots * p.typicalRun() * slow
	}
	queue := max(defaultQueue-queueStep*float64(ask.Rank), minQueue)
	return expected, load < slots*(1+queue)
}

func (p *Pool) coldRun() float64 {
	if p.cold == 0 {
		return defaultWork.Seconds()
	}
	return p.cold
}

func (p *Pool) warmRun() float64 {
	if p.warm == 0 {
		return defaultWarm * p.coldRun()
	}
	return p.warm
}

// typicalRun is a run of the mix that usually waits at a server.
func (p *Pool) typicalRun() float64 { return p.warmRun() }

// charge is what a longer way costs beyond its time: links between failure
// domains and regions are shared and dear.
func (p *Pool) charge(s *Server) float64 {
	switch {
	case s.Region != p.Own.Region:
		return otherRegion * p.coldRun()
	case s.Domain != p.Own.Domain:
		return otherDomain * p.coldRun()
	default:
		return 0
	}
}

// way is the one-way delay to a server, measured for its failure domain.
func (p *Pool) way(s *Server) float64 { return p.ways[s.Domain] }

// MeasureWay takes the round trip of a new connection to a failure domain.
func (p *Pool) MeasureWay(domain string, roundTrip time.Duration) {
	oneWay := roundTrip.Seconds() / 2
	known, found := p.ways[domain]
	if !found || oneWay < known {
		p.ways[domain] = oneWay
		return
	}
	p.ways[domain] = known + workWeight*(oneWay-known)
}

// Load is the number of requests thought to be at the server: those of this
// entry, and those of others by what the server said last.
func (s *Server) Load(now time.Time) float64 {
	if s.othersAt.IsZero() {
		return float64(s.running)
	}
	fresh := math.Exp2(-float64(now.Sub(s.othersAt)) / float64(loadFade))
	return float64(s.running) + s.others*fresh + s.othersMean*(1-fresh)
}

// LoadAge is the age of what the server said of its load; negative for never.
func (s *Server) LoadAge(now time.Time) time.Duration {
	if s.othersAt.IsZero() {
		return -1
	}
	return now.Sub(s.othersAt)
}

// Begin notes that a request goes to the server.
func (p *Pool) Begin(s *Server, now time.Time) {
	s.running++
	if now.Before(s.ColdUntil) && p.Policy.ColdRate > 0 {
		s.nextCold = now.Add(seconds(1 / p.Policy.ColdRate))
	}
}

// Ended is how a request on a server ended.
type Ended struct {
	Object  string
	Warm    bool
	Result  routing.Result
	Latency time.Duration
	Load    Load
}

// End gives the place at the server back and learns from the answer.
func (p *Pool) End(s *Server, e Ended, now time.Time) {
	s.running = max(0, s.running-1)
	s.hear(e.Load, now)
	switch e.Result {
	case routing.ResultOK:
		p.learn(s, e, now)
		s.failures, s.ejections, s.probing = 0, 0, false
		s.failing -= greyWeight * s.failing
	case routing.ResultError, routing.ResultBroken:
		s.failing += greyWeight * (1 - s.failing)
		s.fail(now, failuresToEject)
	case routing.ResultShed:
		// A full server says so; its load counts as its slots and queue.
		s.failing += greyWeight * (1 - s.failing)
		s.others, s.othersAt = max(s.others, float64(s.Slots)*(1+defaultQueue)), now
		s.probing = false
	case routing.ResultNoDial:
		s.fail(now, 1)
	case routing.ResultLate:
		s.fail(now, failuresToEject)
		s.slow += slowWeight * (2*slowLimit - s.slow)
	}
}

func (s *Server) hear(load Load, now time.Time) {
	if !load.Known {
		return
	}
	others := max(0, float64(load.Running+load.Waiting-s.running))
	s.others, s.othersAt = others, now
	s.othersMean += workWeight * 2 * (others - s.othersMean)
}

func (p *Pool) learn(s *Server, e Ended, now time.Time) {
	run := max(e.Latency.Seconds()-2*p.way(s), 0.001)
	usual := p.coldRun()
	if e.Warm {
		usual = p.warmRun()
	}
	if !now.Before(s.ColdUntil) {
		ratio := min(run/usual, 4*slowLimit)
		s.slow += slowWeight * (ratio - s.slow)
	}
	average := &p.cold
	if e.Warm {
		average = &p.warm
	}
	switch {
	case *average == 0:
		*average = run
	case run < 4**average:
		*average += workWeight * (run - *average)
	}
	if e.Object == "" {
		return
	}
	s.objects[e.Object] = now
	if len(s.objects) > objectsKept {
		s.forgetOldest()
	}
}

func (s *Server) forgetOldest() {
	oldest, at := "", time.Time{}
	for object, used := range s.objects {
		if oldest == "" || used.Before(at) || used.Equal(at) && object < oldest {
			oldest, at = object, used
		}
	}
	delete(s.objects, oldest)
}

// fail takes the server out for a while after so many failures in a row.
func (s *Server) fail(now time.Time, limit int) {
	s.failures++
	if s.failures < limit && !s.probing {
		return
	}
	wait := min(ejectFirst<<min(s.ejections, 3), ejectMost)
	s.ejections++
	s.failures = 0
	s.ejected = now.Add(wait)
	s.probing = true
}

// Capacity returns the slots of the servers that get new work.
func (p *Pool) Capacity(now time.Time) int {
	total := 0
	for _, s := range p.Servers {
		if !s.Closed && !now.Before(s.ejected) {
			total += s.Slots
		}
	}
	return total
}

// Split distributes requests over services in the proportion of weights.
type Split struct {
	parts []part
}

type part struct {
	service string
	weight  float64
	credit  float64
}

// Configure takes over changed weights.
func (s *Split) Configure(services []string, weights []float64) {
	same := len(services) == len(s.parts)
	for i := range s.parts {
		same = same && s.parts[i].service == services[i] && s.parts[i].weight == weights[i]
	}
	if same {
		return
	}
	s.parts = s.parts[:0]
	for i, service := range services {
		s.parts = append(s.parts, part{service: service, weight: weights[i]})
	}
}

// Next returns the service of the next request: the one furthest behind its
// share.
func (s *Split) Next() string {
	total, best := 0.0, -1
	for i := range s.parts {
		s.parts[i].credit += s.parts[i].weight
		total += s.parts[i].weight
		if s.parts[i].weight > 0 && (best < 0 || s.parts[i].credit > s.parts[best].credit) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.parts[best].credit -= total
	return s.parts[best].service
}
