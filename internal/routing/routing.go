package routing

import (
	"slices"
	"strings"
	"time"
)

// Limits of a pool and its announcements, and parameters of ejection and choice.
const (
	failuresToEject      = 3     // in a row
	maxEjectedShare      = 0.5   // of the own servers in service
	slowFactor           = 4.0   // times the median latency of the pool, above which a server is slow
	minSlowLatency       = 0.005 // seconds; a server with a lower latency is never slow
	minServersToMarkSlow = 3     // servers with a known latency, below which none counts as slow
	errorPenalty         = 10.0  // factor on the expected latency, for each unit of the error rate
	overloadPenalty      = 0.1   // of the expected latency, added when the server reports more requests than slots
	defaultLatency       = 0.050 // seconds, before any is measured
	MaxServers           = 1024  // per service and failure domain
	MaxSlots             = 4096  // per server
	MaxConnections       = 65536 // per server
	MaxIDBytes           = 128   // of a server id
	MaxAddressBytes      = 64    // of a server address
)

var backoff = Backoff{First: time.Second, Max: 30 * time.Second}

// AnnouncementTTL is how long an announcement is valid; a server renews it well
// before that.
const AnnouncementTTL = 2 * time.Second

// Pool holds the servers of one service whose slots one VM grants.
type Pool struct {
	Domain    string        // own failure domain
	WarmUp    time.Duration // time in which the slots of a new server rise to their full number
	Servers   []*Server     // by id, own and borrowed
	scanStart int           // index at which the next scan starts, so that servers of equal cost take turns
	median    float64       // of the known latencies, in seconds
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

// Insert adds a server that is not in the pool.
func (p *Pool) Insert(s *Server) {
	at, _ := slices.BinarySearchFunc(p.Servers, s.ID, compareServer)
	p.Servers = slices.Insert(p.Servers, at, s)
}

// Announce adds or renews an own server. A server that returns to serving, whose
// announcement had expired or whose address changed is warmed up again.
func (p *Pool) Announce(a Announcement, usableAt, now time.Time) *Server {
	s := p.Find(a.ID)
	if s == nil {
		s = &Server{Domain: p.Domain, UsableAt: usableAt, warmUpStart: latest(usableAt, now)}
		s.ID = a.ID
		p.Insert(s)
	}
	resumed := a.State == StateServing && s.State != StateServing
	expired := !s.Expires.IsZero() && !now.Before(s.Expires)
	if resumed || expired || a.Address != s.Address {
		s.warmUpStart = latest(s.UsableAt, now)
	}
	if a.Start != s.Start {
		s.Notices, s.Limit = Notices{}, Limit{}
	}
	s.Announcement = a
	s.Expires = now.Add(AnnouncementTTL)
	s.refresh(p.Domain, now, p.WarmUp, p.unknownLatency())
	return s
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Drain stops new requests to a server; running ones go on.
func (p *Pool) Drain(id string) {
	if s := p.Find(id); s != nil {
		s.State = StateLeaving
		s.usableSlots = 0
	}
}

// Note applies what a server said about itself in an answer.
func (p *Pool) Note(id string, n Notice, now time.Time) {
	s := p.Find(id)
	if s == nil {
		return
	}
	s.Note(n, now)
	if n.Limit.Named || n.Unlimited {
		s.SetLimit(n.Limit, now)
	}
	s.refresh(p.Domain, now, p.WarmUp, p.unknownLatency())
}

// SoonestStayAway returns the shortest time for which a server wants no requests, or
// 0 if a server wants some or there is none.
func (p *Pool) SoonestStayAway(now time.Time) time.Duration {
	soonest := time.Duration(0)
	for _, s := range p.Servers {
		if s.SaidLeaving() || s.State != StateServing {
			continue
		}
		stay := s.StayAway(now)
		if stay == 0 {
			return 0
		}
		if soonest == 0 || stay < soonest {
			soonest = stay
		}
	}
	return soonest
}

// RemoveGone removes servers that left or expired and have no slots in use or
// lent, one AnnouncementTTL after they expired.
func (p *Pool) RemoveGone(now time.Time) {
	p.Servers = slices.DeleteFunc(p.Servers, func(s *Server) bool {
		gone := s.State == StateLeaving || !now.Before(s.Expires)
		return gone && s.Inflight == 0 && s.Lent == 0 && now.Sub(s.Expires) > AnnouncementTTL
	})
}

// unknownLatency returns the latency, in seconds, assumed for a server that has
// not answered yet: less than the median, so that a new server is tried.
func (p *Pool) unknownLatency() float64 {
	const share = 0.5 // of the median
	if p.median == 0 {
		return defaultLatency
	}
	return share * p.median
}

// Refresh updates the usable slots and costs of all servers. It must be called at
// least once per tick and after each change of a server.
func (p *Pool) Refresh(now time.Time) {
	for _, s := range p.Servers {
		s.refresh(p.Domain, now, p.WarmUp, p.unknownLatency())
	}
}

// Choose returns the server with a free slot that is expected to answer soonest,
// or nil. It skips the servers in exclude, which the same request tried before, and
// borrowed ones unless they are allowed. The expected time comes from measured
// latencies and errors; the load that a server reports can only raise its cost.
func (p *Pool) Choose(exclude []string, borrowedAllowed bool) *Server {
	var best *Server
	bestCost := 0.0
	p.scanStart++
	if p.scanStart >= len(p.Servers) {
		p.scanStart = 0
	}
	for part := range 2 {
		scan := p.Servers[p.scanStart:]
		if part == 1 {
			scan = p.Servers[:p.scanStart]
		}
		for _, s := range scan {
			if s.FreeSlots() <= 0 {
				continue
			}
			cost := s.idleCost + s.costPerRequest*float64(s.Inflight)
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

// Begin takes a slot of the server, and what its limit allows for one request.
func (p *Pool) Begin(s *Server) {
	s.Inflight++
	if !s.Limit.Named {
		return
	}
	if s.bucket.Tokens--; s.bucket.Tokens < 1 {
		s.usableSlots = 0
	}
}

// End frees the slot and updates the latency, error rate and ejection of the server
// from the result.
func (p *Pool) End(s *Server, result Result, latency time.Duration, now time.Time) {
	s.Inflight = max(0, s.Inflight-1)
	switch result {
	case ResultOK:
		s.observeLatency(latency)
		s.observeError(false)
		s.recordSuccess(now)
	case ResultError, ResultBroken:
		s.observeError(true)
		p.recordFailure(s, now, failuresToEject)
	case ResultDialFailed, ResultDialTimeout:
		s.observeError(true)
		p.recordFailure(s, now, 1)
	case ResultTimeout:
		s.observeLatency(latency)
		s.observeError(true)
		p.recordFailure(s, now, failuresToEject)
	default:
		return
	}
	s.refresh(p.Domain, now, p.WarmUp, p.unknownLatency())
}

func (s *Server) recordSuccess(now time.Time) {
	if s.probing {
		s.warmUpStart = now
	}
	s.ResetFailures()
}

// recordFailure ejects a server after limit failures in a row, unless too large a
// share of the pool is ejected already: then the cause is likely not the servers.
func (p *Pool) recordFailure(s *Server, now time.Time, limit int) {
	if s.RecordFailure(limit) && p.ejectedShare(now) < maxEjectedShare {
		s.Eject(backoff, now)
	}
}

// ejectedShare returns the share of the own servers in service that are ejected. One
// is added to both counts, so that failures in a row never eject the only one.
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

// EjectBroken ejects a server whose connection broke and puts it on probation. The
// ejection lasts for the first backoff, however many servers are ejected.
func (p *Pool) EjectBroken(id string, now time.Time) {
	s := p.Find(id)
	if s == nil {
		return
	}
	s.ejectedUntil = now.Add(backoff.First)
	s.probing = true
	s.refresh(p.Domain, now, p.WarmUp, p.unknownLatency())
}

// MarkSlow updates the median latency and limits servers that are far slower than it
// to one request at a time, so that they can still show that they recovered.
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
	if len(known) < minServersToMarkSlow {
		return
	}
	limit := max(slowFactor*p.median, minSlowLatency)
	for _, s := range p.Servers {
		s.slow = s.latency > limit
	}
}

// Capacity returns the number of usable slots, including borrowed and lent ones.
func (p *Pool) Capacity() int {
	total := 0
	for _, s := range p.Servers {
		total += s.usableSlots
	}
	return total
}

// OwnCapacity returns the number of usable slots of own servers.
func (p *Pool) OwnCapacity() int {
	total := 0
	for _, s := range p.Servers {
		if !s.Borrowed(p.Domain) {
			total += s.usableSlots
		}
	}
	return total
}

// FreeSlots returns the number of slots that new requests could take.
func (p *Pool) FreeSlots() int {
	total := 0
	for _, s := range p.Servers {
		total += max(0, s.FreeSlots())
	}
	return total
}
