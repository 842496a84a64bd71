package routing

import (
	"slices"
	"strings"
	"time"
)

// Bounds and timings of ejection.
const (
	failuresToEject  = 3
	maxEjectedShare  = 0.5
	slowFactor       = 4.0 // times the median latency of the pool
	slowFloor        = 0.005
	minSlowPool      = 3 // servers with a known latency
	errorPenalty     = 10.0
	reportPenalty    = 0.1 // of the expected latency, when the server reports more than its slots
	defaultLatency   = 0.050
	MaxServers       = 1024 // per service and failure domain
	MaxSlots         = 4096 // per server
	MaxConnections   = 65536
	MaxIDBytes       = 128
	MaxAddressBytes  = 64
	announceLifetime = 2 * time.Second
)

var backoff = Backoff{First: time.Second, Max: 30 * time.Second}

// AnnouncementTTL is how long an announcement counts; a server renews well
// before.
const AnnouncementTTL = announceLifetime

// Pool is the servers of one service that one VM grants slots of.
type Pool struct {
	Domain  string        // own failure domain
	WarmUp  time.Duration // ramp of a new server
	Servers []*Server     // by id, own and borrowed
	turn    int           // start of the next scan, so that equals take turns
	median  float64       // seconds, of the known latencies
}

func compareServer(s *Server, id string) int { return strings.Compare(s.ID, id) }

// Find returns the server with the id, or nil.
func (p *Pool) Find(id string) *Server {
	at, found := slices.BinarySearchFunc(p.Servers, id, compareServer)
	if !found {
		return nil
	}
	return p.Servers[at]
}

// Insert adds a server that Find does not know.
func (p *Pool) Insert(s *Server) {
	at, _ := slices.BinarySearchFunc(p.Servers, s.ID, compareServer)
	p.Servers = slices.Insert(p.Servers, at, s)
}

// Announce adds or renews an own server. A server that returns to serving is
// warmed up anew.
func (p *Pool) Announce(a Announcement, usableAt, now time.Time) *Server {
	s := p.Find(a.ID)
	if s == nil {
		s = &Server{Domain: p.Domain, UsableAt: usableAt, warmFrom: later(usableAt, now)}
		s.ID = a.ID
		p.Insert(s)
	}
	began := a.State == StateServing && s.State != StateServing
	lapsed := !s.Expires.IsZero() && !now.Before(s.Expires)
	if began || lapsed || a.Address != s.Address {
		s.warmFrom = later(s.UsableAt, now)
	}
	s.Announcement = a
	s.Expires = now.Add(announceLifetime)
	s.refresh(now, p.WarmUp, p.unknownLatency())
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Drain stops new work on a server; running work goes on.
func (p *Pool) Drain(id string) {
	if s := p.Find(id); s != nil {
		s.State = StateLeaving
		s.effective = 0
	}
}

// Sweep forgets servers that left or expired and run nothing.
func (p *Pool) Sweep(now time.Time) {
	p.Servers = slices.DeleteFunc(p.Servers, func(s *Server) bool {
		gone := s.State == StateLeaving || !now.Before(s.Expires)
		return gone && s.Inflight == 0 && s.Lent == 0 && now.Sub(s.Expires) > announceLifetime
	})
}

// unknownLatency is assumed of a server that answered nothing yet: less than the
// median, so that a new server is tried.
func (p *Pool) unknownLatency() float64 {
	const optimism = 0.5
	if p.median == 0 {
		return defaultLatency
	}
	return optimism * p.median
}

// Refresh brings the effective slots and costs up to date; it runs at least
// once per tick and after each change of a server.
func (p *Pool) Refresh(now time.Time) {
	for _, s := range p.Servers {
		s.refresh(now, p.WarmUp, p.unknownLatency())
	}
}

// Choose returns the server with a free slot that should answer soonest, or
// nil. Servers in exclude were tried before by the same request. The own
// observations rule; a report can only make a server less wanted.
func (p *Pool) Choose(exclude []string, borrowedAllowed bool) *Server {
	var best *Server
	bestCost := 0.0
	p.turn++
	if p.turn >= len(p.Servers) {
		p.turn = 0
	}
	for half := range 2 {
		scan := p.Servers[p.turn:]
		if half == 1 {
			scan = p.Servers[:p.turn]
		}
		for _, s := range scan {
			if s.FreeSlots() <= 0 {
				continue
			}
			cost := s.idleCost + s.busyCost*float64(s.Inflight)
			if best != nil && cost >= bestCost {
				continue
			}
			if slices.Contains(exclude, s.ID) || (!borrowedAllowed && s.Borrowed(p.Domain)) {
				continue
			}
			best, bestCost = s, cost
		}
	}
	return best
}

// Begin takes a slot.
func (p *Pool) Begin(s *Server) { s.Inflight++ }

// End gives the slot back and learns from the result.
func (p *Pool) End(s *Server, result Result, latency time.Duration, now time.Time) {
	s.Inflight = max(0, s.Inflight-1)
	switch result {
	case ResultOK:
		s.observeLatency(latency)
		s.observeError(false)
		s.recover(now)
	case ResultError, ResultBroken:
		s.observeError(true)
		p.fail(s, now, failuresToEject)
	case ResultDialFailed, ResultDialTimeout:
		s.observeError(true)
		p.fail(s, now, 1)
	case ResultTimeout:
		s.observeLatency(latency)
		s.observeError(true)
		p.fail(s, now, failuresToEject)
	default:
		return
	}
	s.refresh(now, p.WarmUp, p.unknownLatency())
}

func (s *Server) recover(now time.Time) {
	if s.probing {
		s.warmFrom = now
	}
	s.ResetFailures()
}

// fail ejects a server after so many failures in a row, unless too large a
// share of the pool is ejected already: then the fault is likely elsewhere.
func (p *Pool) fail(s *Server, now time.Time, limit int) {
	if s.RecordFailure(limit) && p.ejectedShare(now) < maxEjectedShare {
		s.Eject(backoff, now)
	}
}

func (p *Pool) ejectedShare(now time.Time) float64 {
	ejected, all := 0, 0
	for _, s := range p.Servers {
		if s.Borrowed(p.Domain) || s.State != StateServing || !now.Before(s.Expires) {
			continue
		}
		all++
		if s.Ejected(now) {
			ejected++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(ejected+1) / float64(all+1)
}

// EjectBroken takes a server out until it announces itself as new.
func (p *Pool) EjectBroken(id string, now time.Time) {
	s := p.Find(id)
	if s == nil {
		return
	}
	s.until = now.Add(backoff.First)
	s.probing = true
	s.refresh(now, p.WarmUp, p.unknownLatency())
}

// MarkSlow puts servers far slower than the median on probation, one request
// at a time, so that they can show that they recovered.
func (p *Pool) MarkSlow() {
	known := make([]float64, 0, len(p.Servers))
	for _, s := range p.Servers {
		if s.latency > 0 {
			known = append(known, s.latency)
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	p.median = known[len(known)/2]
	if len(known) < minSlowPool {
		return
	}
	limit := max(slowFactor*p.median, slowFloor)
	for _, s := range p.Servers {
		s.slow = s.latency > limit
	}
}

// Capacity returns the slots in working order, lent ones included.
func (p *Pool) Capacity() int {
	total := 0
	for _, s := range p.Servers {
		total += s.effective
	}
	return total
}

// OwnCapacity returns the slots of own servers in working order.
func (p *Pool) OwnCapacity() int {
	total := 0
	for _, s := range p.Servers {
		if !s.Borrowed(p.Domain) {
			total += s.effective
		}
	}
	return total
}

// FreeSlots returns the slots that new requests could take now.
func (p *Pool) FreeSlots() int {
	total := 0
	for _, s := range p.Servers {
		total += max(0, s.FreeSlots())
	}
	return total
}
