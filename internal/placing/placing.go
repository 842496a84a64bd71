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

	ColdEntries    int // entries that take turns at a cold server; 0 where each may start at once
	ColdEntryIndex int // place of this entry among them, from 0
}

// Request requests a server for one request.
type Request struct {
	Class     string // requests of one class take about the same time
	Object    string // requests of one object run faster where it ran lately; may be empty
	Rank      int    // 0 is the most urgent
	Remaining time.Duration
	Target    time.Duration // left until the answer loses most of its value; may be negative
	Exclude   []string
	Allowed   func(region string) bool
	Fallback  uint64 // orders servers of a request without an object
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

// Weights in the cost of a server, as parts of a cold run. They and the bounds below
// come from the loads that load_test.go plays, where nothing else is said.
const (
	otherDomain = 0.02 // links between failure domains are shared
	otherRegion = 0.10 // links between regions are shared and dear
	latePenalty = 0.50 // an answer after its target has lost most of its value
	orderStep   = 0.05 // for each place in the order of the object, so that copies gather
	failPenalty = 1.50 // for a server that fails every request
)

// Bounds of a choice.
const (
	ordersKept   = 3                      // servers in the order of an object that may get copies
	coldLoad     = 0.7                    // of the slots that may be in use before a run without the object
	queueTargets = 1.5                    // targets within which a request that must wait at a server is answered, at most
	shareOfLeft  = 0.9                    // of the time left that the expected answer may take
	defaultQueue = 3.0                    // requests that wait at a server for each slot, at most, for the most urgent rank
	queueStep    = 0.5                    // fewer for each less urgent rank
	minQueue     = 0.5                    // for the least urgent rank
	minRetry     = 200 * time.Millisecond // a refused caller returns no sooner
	maxRetry     = 3 * time.Second        // and no later
)

// Weights of new figures in the moving averages.
const (
	coldWeight    = 0.1  // cold runs
	shorterWeight = 0.15 // warm runs below the average
	longerWeight  = 0.04 // warm runs above it
	slowWeight    = 0.2  // slowness of a server
	mixWeight     = 0.1  // mix of warm and cold runs at a server
	othersWeight  = 0.1  // load of other entries
	failWeight    = 0.15 // failed answers
	wayWeight     = 0.01 // ways that take longer than the shortest seen
)

// Estimates before and between measurements.
const (
	coldTargets = 1.2                     // targets that a cold run takes until one is measured
	warmTargets = 0.4                     // targets that a warm run takes until one is measured
	slowMost    = 12.0                    // ratio to the usual time that counts, at most
	loadFade    = 1500 * time.Millisecond // after which half of what a server said of others' load counts
	objectsKept = 64                      // objects remembered for each server
	objectKept  = 20 * time.Second        // after which a server may have dropped an object
)

// PresumedColdTime is how long a server that may have started anew counts as cold unless it
// says otherwise: the usual time between announcements, and the way of the news.
const PresumedColdTime = 2 * time.Second

// Servers in doubt.
const (
	unheardRuns      = 1.3                    // cold runs without any answer after which a server gets nothing new
	minPatience      = 500 * time.Millisecond // at least, for classes of short runs
	failuresToEject  = 4                      // failed answers in a row
	lateDialsToEject = 2                      // connections in a row that did not come in time: the own link may be full
	probeShare       = 0.1                    // of the requests may go to servers in doubt; where many of them are gone, all requests would meet them
	probesSaved      = 3.0                    // such requests saved up
)

// backoff is how long a server stays out: servers usually come back within the longest.
var backoff = routing.Backoff{First: 500 * time.Millisecond, Max: 4 * time.Second}

// Pool is the servers of one service as one entry sees them.
type Pool struct {
	Policy  Policy
	Own     Site
	Servers []*Server // by id

	wanted  []*Server // of the request being placed: the first in its object's order, and those that know the object
	probes  float64   // requests that may go to servers in doubt
	classes map[string]*runs
	ways    map[string]float64 // seconds one way, by failure domain
}

// NewPool returns a pool without servers.
func NewPool(policy Policy, own Site) *Pool {
	return &Pool{Policy: policy, Own: own, classes: make(map[string]*runs), ways: make(map[string]float64)}
}

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
func (p *Pool) Update(seen []ServerInfo) {
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
		s.near = v.Region == p.Own.Region
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	p.Servers = servers
}

// Choose returns the server on which the request should be answered soonest, or
// a refusal. The first server of the object's order, and the first in the own
// region, count as warm: all entries send there. The next ones get copies as far
// as those are loaded. All other servers are weighed only where none of these has
// room.
func (p *Pool) Choose(ask Request, now time.Time) Choice {
	usual := p.usual(ask)
	p.probes = min(p.probes+probeShare, probesSaved)
	first := p.firstOf(ask, now)
	w := p.weigh(p.wanted, first, usual, ask, now)
	if w.best.server == nil {
		w = p.weigh(p.Servers, first, usual, ask, now)
	}
	switch {
	case w.candidates == 0:
		return Choice{Refused: NoServers, RetryAfter: minRetry * 2}
	case w.best.server == nil || p.hopeless(w.best, ask):
		return Choice{Refused: TooBusy, RetryAfter: p.retryAfter(w.soonest, usual, ask), Candidates: w.candidates}
	}
	if w.best.server.Probing() {
		p.probes = max(0, p.probes-1)
	}
	return Choice{Server: w.best.server, Expected: seconds(w.best.expected), Warm: w.best.warm, Candidates: w.candidates}
}

// firstOf returns the first servers in the order of the object, and starts the turns
// of servers that became cold. Those first and those that know the object are
// wanted.
func (p *Pool) firstOf(ask Request, now time.Time) firsts {
	object := ask.Fallback
	if ask.Object != "" {
		object = xxhash.Sum64String(ask.Object)
	}
	p.wanted = p.wanted[:0]
	var first firsts
	for _, s := range p.Servers {
		cold := s.isCold(now)
		s.awaitTurn(p.Policy, cold, now)
		if s.knows(ask.Object, now) {
			p.wanted = append(p.wanted, s)
		}
		if s.Closed || cold || !ask.allowed(s.Region) {
			continue
		}
		at := order(object, s.hash)
		first.all.add(s, at)
		if s.near {
			first.near.add(s, at)
		}
	}
	p.want(first.all)
	p.want(first.near)
	return first
}

func (p *Pool) want(first places) {
	for _, f := range first {
		if f.server != nil && !slices.Contains(p.wanted, f.server) {
			p.wanted = append(p.wanted, f.server)
		}
	}
}

// weighed is what a look at some of the servers found.
type weighed struct {
	best       option
	candidates int     // servers that may be sent to
	soonest    float64 // seconds until the earliest answer, with room or without
}

// weigh finds the server of least cost.
func (p *Pool) weigh(servers []*Server, first firsts, usual runs, ask Request, now time.Time) weighed {
	w := weighed{soonest: math.Inf(1)}
	for _, s := range servers {
		if !s.usable(ask, now) || s.unheard(usual, ask, now) || s.Probing() && p.probes < 1 && !p.allProbing(now) {
			continue
		}
		w.candidates++
		o := option{server: s, warm: ask.Object != "" && (first.all.index(s) == 0 || s.knows(ask.Object, now))}
		var room bool
		o.expected, room = p.expect(s, ask, usual, o.warm, now)
		w.soonest = min(w.soonest, o.expected)
		if !room {
			continue
		}
		o.cost = p.cost(o, first.index(s), usual, ask)
		if w.best.better(o) {
			w.best = o
		}
	}
	return w
}

// allProbing reports whether no server is beyond doubt: then all may be tried.
func (p *Pool) allProbing(now time.Time) bool {
	return !slices.ContainsFunc(p.Servers, func(s *Server) bool {
		return !s.Closed && !s.Probing() && !s.Ejected(now)
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
func (p *Pool) hopeless(o option, ask Request) bool {
	return p.classes[ask.Class] != nil && o.expected > shareOfLeft*ask.Remaining.Seconds()
}

func (p *Pool) cost(o option, at int, usual runs, ask Request) float64 {
	cost := o.expected + p.charge(o.server, usual) + o.server.failing*failPenalty*usual.cold
	if o.expected > ask.Target.Seconds() && o.warm {
		cost += latePenalty * usual.cold
	}
	return cost + orderStep*float64(at)*usual.cold
}

// retryAfter is when the load above should have run, spread so that callers do
// not return together.
func (p *Pool) retryAfter(soonest float64, usual runs, ask Request) time.Duration {
	wait := usual.warm
	if !math.IsInf(soonest, 1) {
		wait = max(wait, soonest-usual.warm)
	}
	spread := 0.75 + 0.5*float64(ask.Fallback%1024)/1024
	return min(max(seconds(wait*spread), minRetry), maxRetry)
}

func (a Request) allowed(region string) bool { return a.Allowed == nil || a.Allowed(region) }
