package placing

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
	if last := p[ordersKept-1]; last.server != nil && order <= last.order {
		return
	}
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

// firsts are the first servers in the order of an object: of all regions, and of the
// own one.
type firsts struct {
	all, near places
}

// index returns the lower of the two places of the server, or ordersKept.
func (f *firsts) index(s *Server) int { return min(f.all.index(s), f.near.index(s)) }
