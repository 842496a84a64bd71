package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Policy holds what the steering document says about one service.
type Policy struct {
	Service  string
	ColdRate float64       // requests per second that this entry may send to a cold server; 0 means no limit
	ColdTime time.Duration // for which a server is cold after its start
	ColdHeld bool          // nothing is sent to a cold server whose rate is limited: the share of this entry is not known yet

	Demand map[string]float64 // by region, in any unit; nil where objects have no homes

	InformedAt time.Time // before it, word of a server that started before this VM may not have reached it
	Isolated   bool      // no other VM is heard, so that no word comes

	Entries int // VMs that send to the servers; 0 if unknown

	ColdEntries    int // entries that take turns at a cold server; 0 where each may send at any time
	ColdEntryIndex int // index of this entry among them, from 0
}

// Request describes a request that needs a server.
type Request struct {
	Class     string        // requests of one class take about the same time
	Object    string        // requests of one object run faster where it ran recently; may be empty
	Rank      int           // 0 is the most urgent
	Remaining time.Duration // until the deadline
	Target    time.Duration // left until the answer loses most of its value; may be negative
	Exclude   []string
	Allowed   func(region string) bool // nil for all regions
	// AllowedKey identifies the set of regions that Allowed allows, so that orders of objects
	// can be cached for it; without one they are not.
	AllowedKey string
	Fallback   uint64 // hash that orders the servers of a request without an object
	OwnWay     bool   // no other VM may be asked to send it
	Waited     bool   // it waited for a slot, and was counted before
	noneWarm   bool   // no warm server may be sent to
	Certain    bool   // only if a run as long as the longest of late ends before Remaining has passed
}

// Choice is the chosen server, or a refusal with the time after which a slot
// should be free.
type Choice struct {
	Server     *Server
	Expected   time.Duration // until the answer
	Warm       bool          // the server is expected to have run the object recently
	Refused    Refusal
	RetryAfter time.Duration
	MayWait    bool // it is refused for want of a slot, and worth more if it waits for one
	Candidates int  // servers that were considered
	Limited    int  // servers that were not, because of the limits that they name
	Doubted    int  // servers that were not, only because this VM doubts them; counted in a refusal
}

// Refusal states why no server was chosen.
type Refusal string

// The refusals.
const (
	NoServers   Refusal = "no-servers"
	ServersBusy Refusal = "servers-busy"
)

// Load is the load that a server reported in an answer, in requests.
type Load struct {
	Known   bool // false if the answer held no report
	Running int
	Waiting int
	Slots   int
	Pace    float64 // ratio of the run time of work now to its usual one; 0 if unknown
}

// Site is the failure domain and region of a server or entry.
type Site struct {
	Domain string
	Region string
}

// Weights in the cost of a server, as parts of the usual cold run time.
const (
	otherDomainCost = 0.02 // links between failure domains are shared
	otherRegionCost = 0.10 // links between regions are shared and expensive
	latePenalty     = 0.50 // an answer after its target has lost most of its value
	positionCost    = 0.05 // for each position in the order of the object, so that its copies stay on few servers
	pacedPosition   = 0.02 // the same where servers report their pace: the second one is warm, and 0.05 left a third more sends to full servers
	failurePenalty  = 1.50 // for a server that fails every request
)

// Limits of a choice.
const (
	preferredCount    = 3                      // servers in the order of an object that are considered first
	maxColdLoad       = 0.7                    // of the slots that may be in use once a cold run has started
	maxQueueTargets   = 1.5                    // targets within which a request that must wait at a server must be expected to be answered
	maxRemainingShare = 0.9                    // of the time to the deadline that the answer may be expected to take
	maxQueuePerSlot   = 3.0                    // waiting requests per slot of a server, at most, for the most urgent rank
	queuePerSlotStep  = 0.5                    // subtracted for each less urgent rank
	minQueuePerSlot   = 0.5                    // lower limit for the least urgent ranks
	minRetryAfter     = 200 * time.Millisecond // after which a refused caller is asked to retry, at least
	maxRetryAfter     = 3 * time.Second        // the same, at most
)

// Weights of new values in the moving averages.
const (
	coldRunWeight    = 0.1  // cold runs
	shorterRunWeight = 0.15 // warm runs below the average
	longerRunWeight  = 0.04 // warm runs above it
	meanRunWeight    = 0.05 // runs, warm or cold
	longestRunWeight = 0.01 // runs shorter than the longest
	slownessWeight   = 0.2  // slowness of a server
	runRatioWeight   = 0.1  // ratio of all runs at a server to a warm one
	othersLoadWeight = 0.1  // load of other entries
	pacedLoadWeight  = 0.3  // the same of servers that report their pace: in a large fleet, one entry gets few reports of each
	failureWeight    = 0.15 // failed answers
	oneWayWeight     = 0.01 // one-way latency above the present average
)

// Estimates before and between measurements.
const (
	defaultColdTargets = 1.2                     // targets that a cold run takes until one is measured
	defaultWarmTargets = 0.4                     // targets that a warm run takes until one is measured
	maxSlowness        = 12.0                    // highest ratio to the usual run time that counts
	loadHalfWeightAge  = 1500 * time.Millisecond // age at which half of a server's report of the load of others counts; the rest is their mean load
	maxObjects         = 64                      // remembered for each server
	objectTTL          = 20 * time.Second        // after which a server may have dropped an object
)

// PresumedColdTime is how long a server that may have restarted counts as cold
// unless it announces otherwise: the usual interval of announcements plus the
// time until one has spread.
const PresumedColdTime = 2 * time.Second

// Limits for servers that fail or do not answer.
const (
	maxSilentRuns       = 1.3                    // usual cold runs, plus half of the request's target, without any answer after which a server gets no new requests
	minSilence          = 500 * time.Millisecond // lower limit of that time, for classes of short runs
	failuresToEject     = 4                      // failed answers in a row
	dialTimeoutsToEject = 2                      // connections in a row that timed out; one alone may be due to a full link of this VM
	probeShare          = 0.1                    // of the requests may go to servers on probation; without a limit, nearly all requests would go to them when many servers cannot be reached
	maxProbeBudget      = 3.0                    // unused probes that are saved up, at most
)

// backoff bounds the ejections of a server: servers usually come back within the
// longest.
var backoff = routing.Backoff{First: 500 * time.Millisecond, Max: 4 * time.Second}

// Pool holds the servers of one service as one entry sees them.
type Pool struct {
	Policy  Policy
	Own     Site      // of the entry
	Servers []*Server // by id
	former  []*Server // that left the pool while they may be cold

	demand demand
	homes  homes // of the objects of callers in the own region
	caches
	shortlist   []*Server            // reused between requests: the first in the order of the object, and those that ran it recently
	limited     []option             // reused between requests: those that only lack an allowance
	probeBudget float64              // requests that may go to servers on probation
	classes     map[string]*runTimes // usual run times, by class of requests
	mix         mix                  // of the classes of the requests sent
	reservation reservation
	Waiting     Waiting            // requests that wait for slots
	oneWays     map[string]float64 // seconds one way, by failure domain
	askedEarly  int                // servers

	paceReportedAt time.Time // last report of a pace by any server; zero if there was none
	cut            []string  // failure domains that this VM cannot connect to, while others can
}

// NewPool returns a pool without servers for the entry at own.
func NewPool(policy Policy, own Site) *Pool {
	return &Pool{Policy: policy, Own: own, classes: make(map[string]*runTimes), oneWays: make(map[string]float64)}
}

// Find returns the server with the id, or nil.
func (p *Pool) Find(id string) *Server {
	at, found := slices.BinarySearchFunc(p.Servers, id, compareServer)
	if !found {
		return nil
	}
	return p.Servers[at]
}

// Update replaces the servers of the pool by the given ones. What was learned of
// a server is kept unless its start or address changed; the objects that it ran
// are forgotten when its ColdUntil is replaced by a later one.
func (p *Pool) Update(infos []ServerInfo) {
	before, servers := p.Servers, make([]*Server, 0, len(infos))
	for _, si := range infos {
		s := p.Find(si.ID)
		if s == nil || s.Start != si.Start || s.Address != si.Address {
			replaced := cmp.Or(s, p.findFormer(si.ID))
			s = &Server{policy: &p.Policy, classes: p.classes, idHash: xxhash.Sum64String(si.ID), slowness: 1, meanRunRatio: 1, objectAnsweredAt: make(map[string]time.Time)}
			s.keepDoubt(replaced, si.Address)
			s.keepPace(replaced)
		}
		if si.ColdUntil.After(s.ColdUntil) && si.Word.At.After(s.doubt.since) && p.coversStart(si.ColdUntil, s.doubt.since) {
			s.doubt = doubt{}
		}
		if si.ColdUntil.After(s.ColdUntil) && !s.ColdUntil.IsZero() {
			clear(s.objectAnsweredAt)
		}
		s.ID, s.Address, s.Start, s.Slots = si.ID, si.Address, si.Start, max(1, si.Slots)
		s.ColdUntil, s.Word, s.Closed, s.CanAsk, s.Site = si.ColdUntil, si.Word, si.Closed, si.CanAsk, si.Site
		s.cut = slices.Contains(p.cut, si.Domain)
		s.setLimit(si.Limit)
		s.inOwnRegion = si.Region == p.Own.Region
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	p.Servers = servers
	p.keepFormer(before)
	p.updateHomes()
	p.resetCaches()
	p.weighLimited()
}

// updateHomes divides the objects over the regions by the slots of the servers that are
// open.
func (p *Pool) updateHomes() {
	slots, servers := make(map[string]float64), make(map[string]int)
	for _, s := range p.Servers {
		if !s.Closed {
			slots[s.Region] += float64(s.Slots)
			servers[s.Region]++
		}
	}
	pooled := minPooledServers
	if len(p.homes.target) > 0 {
		pooled = minPooledAfter
	}
	for region, count := range servers {
		if count < minHomeServers || len(p.Servers) < pooled {
			delete(slots, region)
		}
	}
	p.homes.target = homeShares(p.Own.Region, slots, p.Policy.Demand)
}

// Choose returns the server of least cost, which is mainly the expected time to
// the answer, or a refusal. The first server in the order of the object, within its
// home region if it has one, counts as warm because all entries send there; the next
// ones, and the first ones in the region of this entry, get requests when it is loaded.
// Servers that ran the object recently are considered together with these, and all
// other servers only if none of them may take the request.
func (p *Pool) Choose(req Request, now time.Time) Choice {
	usual := p.usualRunTimes(req)
	p.homes.advance(now)
	if !req.Waited {
		p.probeBudget = min(p.probeBudget+probeShare, maxProbeBudget)
		if p.demand.count(now) {
			p.weighLimited()
		}
	}
	p.updateReservation(now)
	spare := p.mustSpare(req, usual)
	preferred := p.preferredServers(req, now)
	result := p.evaluate(p.shortlist, preferred, usual, req, now)
	if result.best.server == nil && !(spare && result.warm > 0) {
		req.noneWarm = true
		result = p.evaluate(p.Servers, preferred, usual, req, now)
	}
	p.useColdTurn(&result, preferred, usual, req, now)
	switch {
	case result.candidates == 0 && result.shortestWait > 0:
		return Choice{Refused: ServersBusy, RetryAfter: spreadOut(result.shortestWait, req), Limited: result.limited}
	case result.candidates == 0:
		return Choice{Refused: NoServers, RetryAfter: minRetryAfter * 2, Doubted: result.doubted}
	case result.best.server == nil || p.tooLate(result.best, req):
		return Choice{
			Refused:    ServersBusy,
			RetryAfter: p.retryAfter(result.soonest, usual, req),
			MayWait:    result.best.server == nil && p.isLong(req.Class),
			Candidates: result.candidates,
			Limited:    result.limited,
		}
	}
	if result.best.server.Probing() && !result.best.server.cut {
		p.probeBudget = max(0, p.probeBudget-1)
	}
	return Choice{Server: result.best.server, Expected: seconds(result.best.expected), Warm: result.best.warm, Candidates: result.candidates}
}

// useColdTurn chooses a cold server at which this entry has its turn for a request that would wait or be
// refused: cold servers are in no order of an object, and got nothing where warm ones were full.
func (p *Pool) useColdTurn(result *evaluation, preferred preferredSet, usual runTimes, req Request, now time.Time) {
	best := result.best.server
	if len(p.cold) == 0 || best != nil && (best.isPaced(now) || best.Load(now)+1 <= float64(best.Slots)) {
		return
	}
	req.noneWarm = true
	paced := p.evaluate(p.cold, preferred, usual, req, now)
	if paced.best.server == nil || p.tooLate(paced.best, req) {
		return
	}
	result.best, result.candidates = paced.best, max(result.candidates, paced.candidates)
}

// preferredServers returns the first servers in the order of the object, and puts
// them and the servers that ran the object recently on the shortlist.
func (p *Pool) preferredServers(req Request, now time.Time) preferredSet {
	p.refreshCold(now)
	object := objectHash(req)
	home := homeOf(p.homes.shares, object)
	if !req.allows(home) {
		home = ""
	}
	preferred := preferredSet{
		all:       p.orderOf(object, home, req, now),
		ownRegion: p.orderOf(object, p.Own.Region, req, now),
	}
	p.shortlist = p.shortlist[:0]
	if req.Object != "" {
		p.shortlist = append(p.shortlist, p.recentRunners(req.Object, now)...)
	}
	p.addToShortlist(preferred.all)
	p.addToShortlist(preferred.ownRegion)
	return preferred
}

func (p *Pool) addToShortlist(top topServers) {
	for _, t := range top {
		if t.server != nil && !slices.Contains(p.shortlist, t.server) {
			p.shortlist = append(p.shortlist, t.server)
		}
	}
}

// evaluation is the result of comparing servers for a request.
type evaluation struct {
	best       option
	candidates int     // servers that may be sent to, even if too loaded
	warm       int     // of these, those that count as warm
	soonest    float64 // seconds until the earliest answer, including servers that are too loaded

	doubted      int           // servers that may not be sent to only because of a doubt
	limited      int           // servers that may not be sent to because of their limits
	shortestWait time.Duration // until a server that could run the request may take it, if it wants none or is limited; 0 without such a server
}

// wait notes that a server that could run the request may take it after a time.
func (e *evaluation) wait(d time.Duration) {
	if e.shortestWait == 0 || d < e.shortestWait {
		e.shortestWait = d
	}
}

// evaluate finds the server of least cost that may take the request.
func (p *Pool) evaluate(servers []*Server, preferred preferredSet, usual runTimes, req Request, now time.Time) evaluation {
	result := evaluation{soonest: math.Inf(1)}
	for _, s := range servers {
		if stay := s.StayAway(now); stay > 0 && s.eligible(req) {
			result.wait(stay)
		}
		p.noteWanted(s, req, now)
		if s.onlyDoubted(req, now) {
			result.doubted++
		}
		if !s.usable(req, now) || s.unresponsive(usual, req, now) || s.Probing() && !s.cut && p.probeBudget < 1 && !p.allProbing(now) {
			continue
		}
		mayUse := s.mayUseQuota(now)
		if mayUse {
			result.candidates++
		} else {
			result.limited++
			result.wait(s.quota.wait(now))
		}
		o := option{server: s, warm: p.isWarm(s, preferred.all.position(s), req, now)}
		var accepts bool
		o.expected, accepts = p.estimate(s, req, usual, o.warm, now)
		if mayUse && o.warm {
			result.warm++
		}
		if mayUse {
			result.soonest = min(result.soonest, o.expected)
		}
		if !accepts {
			continue
		}
		o.cost = p.cost(o, preferred.position(s), usual, req)
		switch {
		case !mayUse:
			p.limited = append(p.limited, o)
		case result.best.worseThan(o):
			result.best = o
		}
	}
	if req.Waited {
		p.limited = p.limited[:0]
	}
	p.countSkipped(result.best)
	return result
}

// countSkipped counts the request as demand for allowances: of the limited server that it
// would have gone to, or of all that could have run it where no other server can.
func (p *Pool) countSkipped(best option) {
	var first option
	for _, o := range p.limited {
		if best.server == nil {
			o.server.quota.skipped++
		} else if best.worseThan(o) && first.worseThan(o) {
			first = o
		}
	}
	if first.server != nil {
		first.server.quota.skipped++
	}
	p.limited = p.limited[:0]
}

// allProbing reports whether all open servers are ejected or on probation; the
// probe budget does not apply then.
func (p *Pool) allProbing(now time.Time) bool {
	return !slices.ContainsFunc(p.Servers, func(s *Server) bool {
		return !s.Closed && !s.Probing() && !s.Ejected(now)
	})
}

// option is a server with its estimates for a request.
type option struct {
	server   *Server
	warm     bool
	expected float64 // seconds until the answer
	cost     float64 // expected plus penalties, in seconds
}

func (o option) worseThan(other option) bool { return o.server == nil || other.cost < o.cost }

// tooLate reports whether the answer is expected too close to the deadline. A
// class without measurements is always tried.
func (p *Pool) tooLate(o option, req Request) bool {
	class := p.classes[req.Class]
	if class == nil {
		return false
	}
	if req.Certain && class.longest > req.Remaining.Seconds() {
		return true
	}
	return o.expected > maxRemainingShare*req.Remaining.Seconds()
}

func (p *Pool) cost(o option, position int, usual runTimes, req Request) float64 {
	cost := o.expected + p.distanceCost(o.server, usual) + o.server.failureRate*failurePenalty*usual.cold
	if o.expected > req.Target.Seconds() && o.warm {
		cost += latePenalty * usual.cold
	}
	step := positionCost
	if o.server.speed.pace > 0 {
		step = pacedPosition
	}
	return cost + step*float64(position)*usual.cold
}

// retryAfter returns the time after which the present load should have run, with
// jitter so that callers do not retry together.
func (p *Pool) retryAfter(soonest float64, usual runTimes, req Request) time.Duration {
	wait := usual.warm
	if !math.IsInf(soonest, 1) {
		wait = max(wait, soonest-usual.warm)
	}
	spread := 0.75 + 0.5*float64(req.Fallback%1024)/1024
	return min(max(seconds(wait*spread), minRetryAfter), maxRetryAfter)
}

// spreadOut lengthens a time by up to a quarter, so that callers who were refused
// together do not return together.
func spreadOut(d time.Duration, req Request) time.Duration {
	const longest = 0.25
	return d + time.Duration(longest*float64(d)*float64(req.Fallback%1024)/1024)
}

func (r Request) allows(region string) bool { return r.Allowed == nil || r.Allowed(region) }
