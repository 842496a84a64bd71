package placing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the caches; beyond them, a cache is built anew.
const (
	maxCachedOrders  = 4096 // objects with a known order
	maxCachedRunners = 8192 // objects with known servers that ran them
)

// caches spares a decision from looking at all servers. They hold only what follows from
// the servers of the pool.
type caches struct {
	cold    []*Server               // those that may be cold
	orders  map[orderKey]topServers // first servers in the order of an object; emptied when a server is replaced, closed, or turns cold or warm
	runners map[string][]*Server    // those that may have run an object recently
}

type orderKey struct {
	object uint64
	region string // to which the order is limited, or ""
}

// resetCaches empties what the replaced servers invalidate.
func (p *Pool) resetCaches() {
	clear(p.orders)
	p.cold = p.cold[:0]
	for _, s := range p.Servers {
		if !s.ColdUntil.IsZero() || !s.presumedColdUntil.IsZero() {
			p.cold = append(p.cold, s)
		}
	}
}

// refreshCold staggers the first requests to servers that became cold, and drops those
// that are warm again.
func (p *Pool) refreshCold(now time.Time) {
	warm := func(s *Server) bool {
		cold := s.isCold(now)
		s.delayFirstCold(p.Policy, cold, now)
		return !cold
	}
	before := len(p.cold)
	if p.cold = slices.DeleteFunc(p.cold, warm); len(p.cold) != before {
		clear(p.orders)
	}
}

// markCold adds a server that counts as cold from now on.
func (p *Pool) markCold(s *Server) {
	if !slices.Contains(p.cold, s) {
		p.cold = append(p.cold, s)
	}
	clear(p.orders)
}

// orderOf returns the first servers in the order of an object, within a region unless
// that is "". That of a request without an object, or that only some regions may run, is not
// cached.
func (p *Pool) orderOf(object uint64, region string, req Request, now time.Time) topServers {
	key := orderKey{object, region}
	cached := req.Object != "" && req.Allowed == nil
	if cached {
		if order, found := p.orders[key]; found {
			return order
		}
	}
	var order topServers
	for _, s := range p.Servers {
		if s.Closed || s.SaidLeaving() || region != "" && s.Region != region || !req.allows(s.Region) || s.isCold(now) {
			continue
		}
		order.add(s, weigh(rendezvousHash(object, s.idHash), s.weight()))
	}
	if !cached {
		return order
	}
	if p.orders == nil || len(p.orders) >= maxCachedOrders {
		p.orders = make(map[orderKey]topServers)
	}
	p.orders[key] = order
	return order
}

// addRunner notes that a server ran an object.
func (p *Pool) addRunner(object string, s *Server) {
	if p.runners == nil || len(p.runners) >= maxCachedRunners {
		p.findRunners()
	}
	if !slices.Contains(p.runners[object], s) {
		p.runners[object] = append(p.runners[object], s)
	}
}

func (p *Pool) findRunners() {
	p.runners = make(map[string][]*Server)
	for _, s := range p.Servers {
		for object := range s.objectAnsweredAt {
			p.runners[object] = append(p.runners[object], s)
		}
	}
}

// recentRunners returns the servers of the pool that ran the object recently, and
// forgets the others.
func (p *Pool) recentRunners(object string, now time.Time) []*Server {
	if p.runners == nil {
		p.findRunners()
	}
	known, found := p.runners[object]
	if !found {
		return nil
	}
	known = slices.DeleteFunc(known, func(s *Server) bool { return !s.ranObject(object, now) || p.Find(s.ID) != s })
	if len(known) == 0 {
		delete(p.runners, object)
		return nil
	}
	p.runners[object] = known
	return known
}

// objectHash returns the hash of the request's object, or of the request if it has none.
func objectHash(req Request) uint64 {
	if req.Object == "" {
		return req.Fallback
	}
	return xxhash.Sum64String(req.Object)
}
