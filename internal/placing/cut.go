package placing

import "slices"

// SetCut sets the failure domains whose servers this VM cannot connect to while other VMs
// can. What failed on the way says nothing of the servers: they are chosen as if they had
// not failed, for another VM to send to, and without a trace of it once the way is back.
func (p *Pool) SetCut(domains []string) {
	if slices.Equal(p.cut, domains) {
		return
	}
	p.cut = slices.Clone(domains)
	for _, s := range p.Servers {
		cut := slices.Contains(p.cut, s.Domain)
		if s.cut && !cut {
			s.Clear()
			s.failureRate, s.slowness = 0, 1
			if !s.CanAsk {
				s.doubt = doubt{} // it would last for the whole cold time
			}
		}
		s.cut = cut
	}
	p.resetCaches()
}

// Cut reports whether this VM reaches the server only through others.
func (s *Server) Cut() bool { return s.cut }
