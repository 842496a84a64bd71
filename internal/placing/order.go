package placing

// rendezvousHash combines the hashes of an object and a server. The servers in
// descending order of the result are the object's order (rendezvous hashing), so
// that removing a server moves only its own objects.
func rendezvousHash(object, server uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	x := (object ^ server) * multiplier
	x ^= x >> 32
	x *= multiplier
	return x ^ x>>29
}

// hashedServer is a server with its rendezvous hash for an object.
type hashedServer struct {
	server *Server
	hash   uint64
}

// topServers holds the first servers in the order of an object.
type topServers [preferredCount]hashedServer

// add inserts the server if it is among the first.
func (p *topServers) add(s *Server, hash uint64) {
	if last := p[preferredCount-1]; last.server != nil && hash <= last.hash {
		return
	}
	for i := range p {
		if p[i].server == nil || hash > p[i].hash {
			copy(p[i+1:], p[i:])
			p[i] = hashedServer{server: s, hash: hash}
			return
		}
	}
}

// position returns the index of the server, or preferredCount if it is absent.
func (p *topServers) position(s *Server) int {
	for i := range p {
		if p[i].server == s {
			return i
		}
	}
	return preferredCount
}

// preferredSet holds the first servers in the order of an object: of all regions,
// and of the region of the entry.
type preferredSet struct {
	all, ownRegion topServers
}

// position returns the lower of the two positions of the server, or
// preferredCount.
func (ps *preferredSet) position(s *Server) int {
	return min(ps.all.position(s), ps.ownRegion.position(s))
}
