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
	Class    string // requests of one class take about the same time
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

// Weights in the cost of a server, as parts of a cold run.
const (
	otherDomain = 0.02 // links between failure domains are shared
	otherRegion = 0.10 // links between regions are shared and dear
	latePenalty = 0.50 // an answer after its target has lost most of its value
	orderStep   = 0.05 // for each place in the order of the object, so that copies gather
	failPenalty = 1.50 // for a server that fails every request
)

// Bounds and weights of the estimates.
const (
	coldTargets     = 1.2  // targets that a cold run takes until one is measured
	warmTargets     = 0.4  // targets that a warm run takes until one is measured
	coldWeight      = 0.1  // of a new cold run in the moving average
	shorterWeight   = 0.15 // of a new warm run below the moving average
	longerWeight    = 0.04 // of one above it
	slowWeight      = 0.2
	mixWeight       = 0.1
	slowMost        = 12.0 // ratio to the usual time that counts, at most
	othersWeight    = 0.1
	loadFade        = 1500 * time.Millisecond // after which half of what a server said of others' load counts
	queueTargets    = 1.5                     // targets within which the answer of a request that must wait at a server is expected, at most
	shareOfLeft     = 0.9                     // of the time left that the expected answer may take
	objectsKept     = 64                      // objects remembered for each server
	objectKept      = 20 * time.Second
	ordersKept      = 3               // servers in the order of an object that may get copies
	presumedCold    = 2 * time.Second // the usual time between announcements, and the way of the news
	unheardRuns     = 1.3             // cold runs without any answer after which a server gets nothing new
	minPatience     = 500 * time.Millisecond
	defaultQueue    = 3.0 // requests that wait at a server for each slot, at most, for the most urgent rank
	queueStep       = 0.5 // fewer for each less urgent rank
	minQueue        = 0.5
	coldLoad        = 0.7 // of the slots that may be in use before a run without the object
	ejectFirst      = 500 * time.Millisecond
	ejectMost       = 4 * time.Second
	failuresToEject = 4
	probeShare      = 0.1 // requests that may go to servers in doubt, for each request: where a third of many servers is gone, all requests would meet them
	probesSaved     = 3.0
	failWeight      = 0.15
	wayWeight       = 0.01
	minRetry        = 200 * time.Millisecond
	maxRetry        = 3 * time.Second
)

// Pool is the servers of one service as one entry sees them.
type Pool struct {
	Policy  Policy
	Own     Site
	Servers []*Server // by id

	probes  float64 // requests that may go to servers in doubt
	classes map[string]*runs
	ways    map[string]float64 // seconds one way, by failure domain
}

// runs is how long requests of a class run, in seconds.
type runs struct {
	cold float64 // on a server that did not handle the object lately
	warm float64 // on one that did
}

// NewPool returns a pool without servers.
func NewPool(policy Policy, own Site) *Pool {
	return &Pool{Policy: policy, Own: own, classes: make(map[string]*runs), ways: make(map[string]float64)}
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
	slow       float64   // moving average of the ratio to the usual time
	mix        float64   // moving average of all runs, warm and cold, as a ratio to a warm one: what a waiting request waits for
	quietSince time.Time // last answer, or the first send since nothing ran
	failing    float64   // share of failed answers, moving average
	failures   int       // in a row
	ejections  int
	ejected    time.Time // until then
	probing    bool
	wasDown    bool      // refused connections since its last answer
	presumed   time.Time // thought to be cold until then
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
			s = &Server{hash: xxhash.Sum64String(v.ID), slow: 1, mix: 1, objects: make(map[string]time.Time)}
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

// place is a server that may hold a copy of what an object needs.
type place struct {
	server *Server
	order  uint64
}

// places are the first servers in the order of an object.
type places [ordersKept]place

// add keeps the server if it is among the first.
func (p *places) add(s *Server, order uint64) {
	for i := range p {
		if p[i].server == nil || order > p[i].order {
			copy(p[i+1:], p[i:])
			p[i] = place{server: s, order: order}
			return
		}
	}
}

// index returns the place of the server, or ordersKept.
func (p *places) index(s *Server) int {
	for i := range p {
		if p[i].server == s {
			return i
		}
	}
	return ordersKept
}

// Choose returns the server on which the request should be answered soonest, or
// a refusal. The first server of the object's order, and the first in the own
// region, count as warm: all entries send there. The next ones get copies as far
// as those are loaded.
func (p *Pool) Choose(ask Ask, now time.Time) Choice {
	object := ask.Fallback
	if ask.Object != "" {
		object = xxhash.Sum64String(ask.Object)
	}
	var all, near places
	for _, s := range p.Servers {
		if s.Closed || s.isCold(now) || !ask.allowed(s.Region) {
			continue
		}
		order := order(object, s.hash)
		all.add(s, order)
		if s.Region == p.Own.Region {
			near.add(s, order)
		}
	}
	usual := p.usual(ask)
	var best, any option
	candidates, soonest := 0, math.Inf(1)
	p.probes = min(p.probes+probeShare, probesSaved)
	for _, s := range p.Servers {
		if !s.usable(ask, now) || s.unheard(usual, ask, now) || s.probing && p.probes < 1 && !p.allProbing(now) {
			continue
		}
		candidates++
		at := min(all.index(s), near.index(s))
		o := option{server: s, warm: ask.Object != "" && (all.index(s) == 0 || s.knows(ask.Object, now))}
		var room bool
		o.expected, room = p.expect(s, ask, usual, o.warm, now)
		soonest = min(soonest, o.expected)
		if !room {
			continue
		}
		o.cost = p.cost(o, at, usual, ask)
		if any.better(o) {
			any = o
		}
		if (o.warm || at < ordersKept) && best.better(o) {
			best = o
		}
	}
	if best.server == nil {
		best = any
	}
	switch {
	case candidates == 0:
		return Choice{Refused: NoServers, RetryAfter: minRetry * 2}
	case best.server == nil || p.hopeless(best, ask):
		return Choice{Refused: TooBusy, RetryAfter: p.retryAfter(soonest, usual, ask), Candidates: candidates}
	}
	if best.server.probing {
		p.probes = max(0, p.probes-1)
	}
	return Choice{Server: best.server, Expected: seconds(best.expected), Warm: best.warm, Candidates: candidates}
}

// allProbing reports whether no server is beyond doubt: then all may be tried.
func (p *Pool) allProbing(now time.Time) bool {
	return !slices.ContainsFunc(p.Servers, func(s *Server) bool {
		return !s.Closed && !s.probing && !now.Before(s.ejected)
	})
}

// option is a server with what is expected of it.
type option struct {
	server   *Server
	warm     bool
	expected float64 // seconds until the answer
	cost     float64 // seconds, with what the choice costs others
}

func (o option) better(other option) bool { return o.server == nil || other.cost < o.cost }

// hopeless reports whether the answer would come too late. Nothing is known of a
// class that was never measured here, so such a request is tried.
func (p *Pool) hopeless(o option, ask Ask) bool {
	return p.classes[ask.Class] != nil && o.expected > shareOfLeft*ask.Left.Seconds()
}

func (p *Pool) cost(o option, at int, usual runs, ask Ask) float64 {
	cost := o.expected + p.charge(o.server, usual) + o.server.failing*failPenalty*usual.cold
	if o.expected > ask.Target.Seconds() && o.warm {
		cost += latePenalty * usual.cold
	}
	return cost + orderStep*float64(at)*usual.cold
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// usual returns how long requests of the class run.
func (p *Pool) usual(ask Ask) runs {
	if known := p.classes[ask.Class]; known != nil {
		return *known
	}
	target := max(ask.Target, minRetry).Seconds()
	return runs{cold: coldTargets * target, warm: warmTargets * target}
}

// retryAfter is when the load above should have run, spread so that callers do
// not return together.
func (p *Pool) retryAfter(soonest float64, usual runs, ask Ask) time.Duration {
	wait := usual.warm
	if !math.IsInf(soonest, 1) {
		wait = max(wait, soonest-usual.warm)
	}
	spread := 0.75 + 0.5*float64(ask.Fallback%1024)/1024
	return min(max(seconds(wait*spread), minRetry), maxRetry)
}

func (a Ask) allowed(region string) bool { return a.Allowed == nil || a.Allowed(region) }

func (s *Server) usable(ask Ask, now time.Time) bool {
	return !s.Closed &&
		!now.Before(s.ejected) &&
		!(s.probing && s.running > 0) &&
		!(s.isCold(now) && now.Before(s.nextCold)) &&
		ask.allowed(s.Region) &&
		!slices.Contains(ask.Exclude, s.ID)
}

// unheard reports whether the server answered nothing for longer than any run
// that waited should take: it may be gone without a word.
func (s *Server) unheard(usual runs, ask Ask, now time.Time) bool {
	patience := seconds(unheardRuns*usual.cold) + ask.Target/2
	return s.running > 0 && now.Sub(s.quietSince) > max(patience, minPatience)
}

func (s *Server) knows(object string, now time.Time) bool {
	at, found := s.objects[object]
	return found && now.Sub(at) < objectKept
}

// expect estimates the time until the answer, and whether the server may take
// one more request of the rank.
func (p *Pool) expect(s *Server, ask Ask, usual runs, warm bool, now time.Time) (float64, bool) {
	run := usual.cold
	if warm || ask.Object == "" {
		run = usual.warm
	}
	slow := max(1, s.slow)
	load := s.Load(now)
	slots := float64(s.Slots)
	expected := 2*p.way(s) + run*slow
	if over := load + 1 - slots; over > 0 {
		expected += over / slots * usual.warm * max(slow, s.mix)
		if expected > queueTargets*ask.Target.Seconds() && ask.Object != "" {
			return expected, false
		}
	}
	if !warm && ask.Object != "" {
		// A cold run takes the slots of several warm ones. Where all slots are in
		// use, copies would only make the load grow.
		return expected, load+1 <= slots*coldLoad
	}
	queue := max(defaultQueue-queueStep*float64(ask.Rank), minQueue)
	return expected, load < slots*(1+queue)
}

// charge is what a longer way costs beyond its time.
func (p *Pool) charge(s *Server, usual runs) float64 {
	switch {
	case s.Region != p.Own.Region:
		return otherRegion * usual.cold
	case s.Domain != p.Own.Domain:
		return otherDomain * usual.cold
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
	p.ways[domain] = known + wayWeight*(oneWay-known)
}

// Load is the number of requests thought to be at the server: those of this
// entry, and those of others by what the server said last.
func (s *Server) Load(now time.Time) float64 {
	if s.othersAt.IsZero() {
		return float64(s.running)
	}
	fresh := float64(loadFade) / float64(loadFade+now.Sub(s.othersAt))
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
	if s.running == 0 {
		s.quietSince = now
	}
	s.running++
	if s.isCold(now) && p.Policy.ColdRate > 0 {
		s.paceCold(p.Policy.ColdRate, now)
	}
}

// isCold reports whether the server says, or may be thought, that it is cold.
func (s *Server) isCold(now time.Time) bool {
	return now.Before(s.ColdUntil) || now.Before(s.presumed)
}

func (s *Server) paceCold(rate float64, now time.Time) { s.nextCold = now.Add(seconds(1 / rate)) }

// Ended is how a request on a server ended.
type Ended struct {
	Class   string
	Object  string
	Target  time.Duration // of the class
	Alone   bool          // no other request was thought to wait at the server at the send
	Result  routing.Result
	Latency time.Duration
	Load    Load
}

// End gives the place at the server back and learns from the answer.
func (p *Pool) End(s *Server, e Ended, now time.Time) {
	s.running = max(0, s.running-1)
	s.hear(e.Load, now)
	if e.Result == routing.ResultOK || e.Result == routing.ResultError || e.Result == routing.ResultShed {
		s.quietSince = now
	}
	switch e.Result {
	case routing.ResultOK:
		p.learn(s, e, now)
		s.failures, s.ejections, s.probing = 0, 0, false
		p.returned(s, now)
		s.failing -= failWeight * s.failing
	case routing.ResultError, routing.ResultBroken:
		s.failing += failWeight * (1 - s.failing)
		s.fail(now, failuresToEject)
	case routing.ResultShed:
		// A full server says so; its load counts as its slots and queue.
		s.failing += failWeight * (1 - s.failing)
		s.others, s.othersAt = max(s.others, float64(s.Slots)*(1+defaultQueue)), now
		s.probing = false
	case routing.ResultNoDial:
		s.wasDown = true
		s.fail(now, 1)
	case routing.ResultLate:
		s.fail(now, failuresToEject)
		s.slow += slowWeight * (slowMost - s.slow)
	}
}

// returned holds a server that was down to the rate of a cold one until it has
// announced itself: it may have started anew.
func (p *Pool) returned(s *Server, now time.Time) {
	if s.wasDown && p.Policy.ColdRate > 0 {
		s.presumed = now.Add(presumedCold)
		s.paceCold(p.Policy.ColdRate, now)
	}
	s.wasDown = false
}

func (s *Server) hear(load Load, now time.Time) {
	if !load.Known {
		return
	}
	others := max(0, float64(load.Running+load.Waiting-s.running))
	s.others, s.othersAt = others, now
	s.othersMean += othersWeight * (others - s.othersMean)
}

// learn takes the time of a good answer that did not wait.
func (p *Pool) learn(s *Server, e Ended, now time.Time) {
	last, known := s.objects[e.Object]
	if e.Object != "" {
		s.objects[e.Object] = now
		if len(s.objects) > objectsKept {
			s.forgetOldest()
		}
	}
	if !e.Alone || s.isCold(now) {
		return
	}
	run := max(e.Latency.Seconds()-2*p.way(s), 0.001)
	class := p.classes[e.Class]
	if class == nil {
		first := p.usual(Ask{Target: e.Target})
		class = &first
		p.classes[e.Class] = class
	}
	s.mix += mixWeight * (min(run/class.warm, slowMost) - s.mix)
	if known && now.Sub(last)-e.Latency < objectKept {
		s.judge(run, *class)
	}
	class.learn(run)
}

// judge learns from a run that should have been warm whether the server is slow. One
// as long as a cold run tells rather that the server no longer kept the object.
func (s *Server) judge(run float64, usual runs) {
	const longestCold = 1.3 // times the usual cold run
	if run*run > usual.warm*usual.cold && run < longestCold*usual.cold {
		return
	}
	s.slow += slowWeight * (min(run/usual.warm, slowMost) - s.slow)
}

// learn assigns a run to the warm or the cold ones, whichever are nearer by
// ratio, and moves their average. Who sent a request cannot know whether the
// server was warm: others may have sent it the object before.
func (r *runs) learn(run float64) {
	if run*run > r.warm*r.cold {
		r.cold += coldWeight * (min(run, 2*r.cold) - r.cold)
		return
	}
	// A run that waited unseen looks longer than it was, never shorter, so the
	// average follows short runs sooner.
	weight := longerWeight
	if run < r.warm {
		weight = shorterWeight
	}
	r.warm += weight * (run - r.warm)
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
