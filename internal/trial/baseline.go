package trial

import (
	"time"
)

// Baseline names a simple policy.
type Baseline string

// The baselines: servers of the client's region, or all when none lives there.
const (
	BaselineRandom        Baseline = "random"
	BaselineRoundRobin    Baseline = "round-robin"
	BaselineLeastRequests Baseline = "least-requests"
)

// baseline sends each request at once to a server, which queues it; it knows
// dead servers after a while and tries others after a failure.
type baseline struct {
	world  *World
	kind   Baseline
	turns  map[string]int
	knows  map[*server]bool // believed alive
	polled time.Time
}

const (
	pollEvery       = time.Second
	baselineTries   = 3
	serverQueue     = 8 // waiting requests per slot
	entryConnection = time.Millisecond
)

// UseBaseline lets a baseline steer the run.
func (w *World) UseBaseline(kind Baseline) {
	b := &baseline{world: w, kind: kind, turns: make(map[string]int), knows: make(map[*server]bool)}
	for _, s := range w.servers {
		b.knows[s] = true
	}
	w.policy = b
}

func (b *baseline) tick() {
	w := b.world
	if w.now().Sub(b.polled) < pollEvery {
		return
	}
	b.polled = w.now()
	for _, s := range w.servers {
		b.knows[s] = s.alive && w.entryAlive(s.domain) && !w.stopped(s.domain)
	}
}

func (b *baseline) arrive(r *request) {
	place := b.world.Document.Places.Places[r.place]
	b.world.after(place.OneWay.Std(), func() { b.send(r, baselineTries, nil) })
}

func (b *baseline) send(r *request, tries int, exclude *server) {
	w := b.world
	home := w.Document.Places.Places[r.place].Region
	s := b.choose(r, home, exclude)
	if s == nil {
		w.Stats.refused(r)
		return
	}
	oneWay := w.Document.Places.OneWay(home, s.region)
	r.answered = func(result outcome) {
		back := oneWay + w.Document.Places.Places[r.place].OneWay.Std()
		switch {
		case result == outcomeOK:
			w.after(back, func() { w.Stats.served(r) })
		case tries > 1:
			w.Stats.Retries++
			b.send(r, tries-1, s)
		default:
			w.Stats.refused(r)
		}
	}
	if !r.killer {
		w.Stats.granted(r, w.domainNumber(s.domain))
	}
	w.after(oneWay+entryConnection, func() { b.deliver(s, r) })
}

func (b *baseline) deliver(s *server, r *request) {
	w := b.world
	switch {
	case !s.alive || !w.entryAlive(s.domain):
		r.answered(outcomeBroken)
	case s.running < s.slots:
		w.begin(s, r)
	case len(s.queue) < serverQueue*s.slots:
		s.queue = append(s.queue, r)
	default:
		r.answered(outcomeError)
	}
}

func (b *baseline) choose(r *request, home string, exclude *server) *server {
	var near, all []*server
	for _, s := range b.world.servers {
		if s.service != r.service || !b.knows[s] || s == exclude {
			continue
		}
		all = append(all, s)
		if s.region == home {
			near = append(near, s)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	switch b.kind {
	case BaselineRoundRobin:
		b.turns[r.service]++
		return all[b.turns[r.service]%len(all)]
	case BaselineLeastRequests:
		best := all[0]
		for _, s := range all {
			if s.running+len(s.queue) < best.running+len(best.queue) {
				best = s
			}
		}
		return best
	default:
		return all[b.world.random.IntN(len(all))]
	}
}

func (w *World) domainNumber(name string) int {
	for i, domain := range w.Document.Places.Domains {
		if domain.Name == name {
			return i
		}
	}
	return 0
}

// stopped reports whether a planned stop covers the failure domain now.
func (w *World) stopped(domain string) bool {
	return w.Case.Stop && w.during() && domain == w.domain(stopDomain).Name
}
