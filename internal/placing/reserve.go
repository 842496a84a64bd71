package placing

import (
	"math"
	"slices"
	"time"
)

// Reservation of slots for short work. Where classes of long and of short runs share servers, a burst
// of long runs would hold all slots for several targets of the short ones.
const (
	reserveInterval  = 250 * time.Millisecond // between calculations of the reserved slots; run times and rates change more slowly
	reserveDeviation = 1.5                    // standard deviations of the number of slots that short work uses: 93 in 100 instants need no more
	longWorkPart     = 0.25                   // of the slots of a server, at least, stays for long work
	longRunFactor    = 2.0                    // by which a long run exceeds that of the shortest class, at least; else little is gained
	longColdPart     = 0.5                    // of the other slots that may be in use once a cold long run has started: it holds a slot three times as long as a warm one
	urgentRuns       = 2.0                    // cold runs left to the deadline below which a long request may use reserved slots, so that it is not starved
)

// reservation says which classes of a service are long, and how much short work uses.
type reservation struct {
	off       bool // only in tests: the decision without reservation
	dueAt     time.Time
	long      []string // classes
	shortWork float64  // mean number of slots that short work uses, as a part of all
}

// updateReservation learns the long classes and the slots of short work from what this entry sends:
// all entries get a similar mix.
func (p *Pool) updateReservation(now time.Time) {
	r := &p.reservation
	if r.off || now.Before(r.dueAt) {
		return
	}
	r.dueAt = now.Add(reserveInterval)
	r.long, r.shortWork = r.long[:0], 0
	shortestTarget, shortestRun := math.Inf(1), math.Inf(1)
	for i := range p.mix.classes {
		c := &p.mix.classes[i]
		if known := p.classes[c.class]; known != nil && c.target > 0 {
			shortestTarget = min(shortestTarget, c.target.Seconds())
			shortestRun = min(shortestRun, known.warm)
		}
	}
	used := 0.0
	for i := range p.mix.classes {
		c := &p.mix.classes[i]
		known := p.classes[c.class]
		switch {
		case known == nil:
		case known.warm > shortestTarget && known.warm >= longRunFactor*shortestRun:
			r.long = append(r.long, c.class)
		default:
			used += c.rate(now) * known.mean
		}
	}
	if len(r.long) == 0 {
		return
	}
	slots := 0
	for _, s := range p.Servers {
		if !s.Closed {
			slots += s.Slots
		}
	}
	r.shortWork = used * float64(max(1, p.Policy.Entries)) / float64(max(1, slots))
}

// LongClasses returns the classes of long runs that share servers with short ones.
func (p *Pool) LongClasses() []string { return slices.Clone(p.reservation.long) }

// isLong reports whether the class is one of long runs that shares servers with short ones.
func (p *Pool) isLong(class string) bool {
	return slices.Contains(p.reservation.long, class)
}

// Reserved returns the slots of the server that are reserved for short work.
func (p *Pool) Reserved(s *Server) int {
	if len(p.reservation.long) == 0 {
		return 0
	}
	mean := p.reservation.shortWork * float64(s.Slots)
	most := math.Floor(float64(s.Slots) * (1 - longWorkPart))
	return int(min(math.Ceil(mean+reserveDeviation*math.Sqrt(mean)), most))
}

// mustSpare reports whether the request has to leave the reserved slots to short work.
func (p *Pool) mustSpare(req Request, usual runTimes) bool {
	return p.isLong(req.Class) && req.Remaining.Seconds() >= urgentRuns*usual.cold
}

// AskForSlot returns the server that should be asked for its load before a long request is placed, or
// nil. An entry of a large fleet hears from one server only every few seconds, and a long run that
// finds the slots of its server in use takes those of short work.
func (p *Pool) AskForSlot(req Request, now time.Time) *Server {
	usual := p.usualRunTimes(req)
	if !p.mustSpare(req, usual) {
		return nil
	}
	preferred := p.preferredServers(req, now)
	var best option
	bestAccepts := false
	for _, s := range p.shortlist {
		if !p.isWarm(s, preferred.all.position(s), req, now) || !s.usable(req, now) || s.unresponsive(usual, req, now) || s.Probing() || s.cut || s.isPaced(now) {
			continue
		}
		o := option{server: s, warm: true}
		var accepts bool
		o.expected, accepts = p.estimate(s, req, usual, true, now)
		o.cost = p.cost(o, preferred.position(s), usual, req)
		if accepts == bestAccepts && best.worseThan(o) || accepts && !bestAccepts {
			best, bestAccepts = o, accepts
		}
	}
	s := best.server
	if s == nil || !s.CanAsk || !s.othersReportedAt.IsZero() && now.Sub(s.othersReportedAt) <= freshReport || 2*p.oneWay(s) > maxAskTrip*usual.warm {
		return nil
	}
	return s
}
