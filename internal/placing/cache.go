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
	cold    []*Server               // those that are or may be cold
	orders  map[orderKey]topServers // first servers in the order of an object; emptied when a server is replaced, closed, or turns cold or warm
	runners map[string][]*Server    // those that may have run an object recently
}

type orderKey struct {
	object uint64
	region string // to which the order is limited, or ""

	allowed string // set of the allowed regions, or ""
}

// resetCaches empties what the replaced servers invalidate.
func (p *Pool) resetCaches() {
	clear(p.orders)
	p.cold = p.cold[:0]
	for _, s := range p.Servers {
		s.inColdOrder = !s.ColdUntil.IsZero() || !s.heardColdUntil.IsZero()
		if s.inColdOrder || s.doubt.open {
			p.cold = append(p.cold, s)
		}
	}
}

// refreshCold begins to pace servers that became or may be cold, and drops those that are
// warm.
func (p *Pool) refreshCold(now time.Time) {
	p.former = slices.DeleteFunc(p.former, func(s *Server) bool { return !s.isPaced(now) })
	warmed := false
	p.cold = slices.DeleteFunc(p.cold, func(s *Server) bool {
		if s.inColdOrder && !s.isCold(now) {
			s.inColdOrder, warmed = false, true
		}
		paced := s.isPaced(now)
		s.pace.begin(paced, now)
		return !paced
	})
	if warmed {
		clear(p.orders)
	}
}

// markCold notes that a server counts as cold from now on.
func (p *Pool) markCold(s *Server) {
	p.markPaced(s)
	s.inColdOrder = true
	clear(p.orders)
}

// markPaced notes that a server gets only the rate of a cold one from now on. One that only may be
// cold keeps its place in the orders of objects.
func (p *Pool) markPaced(s *Server) {
	if !slices.Contains(p.cold, s) {
		p.cold = append(p.cold, s)
	}
}

// orderOf returns the first servers in the order of an object, within a region unless
// that is "". That of a request without an object, or with allowed regions that have no key, is
// not cached.
func (p *Pool) orderOf(object uint64, region string, req Request, now time.Time) topServers {
	key := orderKey{object: object, region: region, allowed: req.AllowedKey}
	cached := req.Object != "" && (req.Allowed == nil || req.AllowedKey != "")
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
