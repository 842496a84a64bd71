package trial

import (
	"time"
)

// Baseline names a simple load-balancing policy to compare with.
type Baseline string

// The baselines. Each chooses among the servers of the client's region that
// passed the last health check, or among all that did if the region has none.
const (
	BaselineRandom        Baseline = "random"
	BaselineRoundRobin    Baseline = "round-robin"
	BaselineLeastRequests Baseline = "least-requests"
)

// baseline sends each request to a server at once; the server queues what
// exceeds its slots. Dead servers are noticed by a periodic health check, and a
// failed request is retried on another server.
type baseline struct {
	sim           *Simulation
	kind          Baseline
	nextIndex     map[string]int   // of round robin, by service
	believedAlive map[*server]bool // as of the last health check
	checkedAt     time.Time        // last health check
}

const (
	healthCheckInterval = time.Second
	baselineMaxTries    = 3
	queuePerSlot        = 8 // waiting requests that a server accepts per slot
	connectTime         = time.Millisecond
)

// UseBaseline makes a baseline the policy of the run.
func (sm *Simulation) UseBaseline(kind Baseline) {
	b := &baseline{sim: sm, kind: kind, nextIndex: make(map[string]int), believedAlive: make(map[*server]bool)}
	for _, s := range sm.servers {
		b.believedAlive[s] = true
	}
	sm.policy = b
}

func (b *baseline) tick() {
	sm := b.sim
	if sm.now().Sub(b.checkedAt) < healthCheckInterval {
		return
	}
	b.checkedAt = sm.now()
	for _, s := range sm.servers {
		b.believedAlive[s] = s.alive && sm.entryAlive(s.domain) && !sm.isStopped(s.domain)
	}
}

func (b *baseline) arrive(r *request) {
	place := b.sim.Document.Places.Places[r.place]
	b.sim.schedule(place.OneWay.Std(), func() { b.send(r, baselineMaxTries, nil) })
}

func (b *baseline) send(r *request, triesLeft int, exclude *server) {
	sm := b.sim
	homeRegion := sm.Document.Places.Places[r.place].Region
	s := b.choose(r, homeRegion, exclude)
	if s == nil {
		sm.Stats.countRefused(r)
		return
	}
	oneWay := sm.Document.Places.OneWay(homeRegion, s.region)
	r.onResult = func(result outcome) {
		returnDelay := oneWay + sm.Document.Places.Places[r.place].OneWay.Std()
		switch {
		case result == outcomeOK:
			sm.schedule(returnDelay, func() { sm.Stats.countServed(r) })
		case triesLeft > 1:
			sm.Stats.Retries++
			b.send(r, triesLeft-1, s)
		default:
			sm.Stats.countRefused(r)
		}
	}
	if !r.crashesServer {
		sm.Stats.countSend(r, sm.domainIndex(s.domain))
	}
	sm.schedule(oneWay+connectTime, func() { b.deliver(s, r) })
}

func (b *baseline) deliver(s *server, r *request) {
	sm := b.sim
	switch {
	case !s.alive || !sm.entryAlive(s.domain):
		r.onResult(outcomeBroken)
	case s.running < s.slots:
		sm.startRequest(s, r)
	case len(s.queue) < queuePerSlot*s.slots:
		s.queue = append(s.queue, r)
	default:
		r.onResult(outcomeError)
	}
}

func (b *baseline) choose(r *request, homeRegion string, exclude *server) *server {
	var sameRegion, candidates []*server
	for _, s := range b.sim.servers {
		if s.service != r.service || !b.believedAlive[s] || s == exclude {
			continue
		}
		candidates = append(candidates, s)
		if s.region == homeRegion {
			sameRegion = append(sameRegion, s)
		}
	}
	if len(sameRegion) > 0 {
		candidates = sameRegion
	}
	if len(candidates) == 0 {
		return nil
	}
	switch b.kind {
	case BaselineRoundRobin:
		b.nextIndex[r.service]++
		return candidates[b.nextIndex[r.service]%len(candidates)]
	case BaselineLeastRequests:
		best := candidates[0]
		for _, s := range candidates {
			if s.running+len(s.queue) < best.running+len(best.queue) {
				best = s
			}
		}
		return best
	default:
		return candidates[b.sim.random.IntN(len(candidates))]
	}
}

func (sm *Simulation) domainIndex(name string) int {
	for i, domain := range sm.Document.Places.Domains {
		if domain.Name == name {
			return i
		}
	}
	return 0
}

// isStopped reports whether a planned stop of the failure domain is active.
func (sm *Simulation) isStopped(domain string) bool {
	return sm.Case.PlannedStop && sm.faultActive() && domain == sm.domain(stoppedDomain).Name
}
