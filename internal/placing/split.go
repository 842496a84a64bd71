package placing

// Split distributes requests over services in the proportion of weights.
type Split struct {
	parts []part
}

type part struct {
	service string
	weight  float64
	credit  float64
}

// Configure takes over changed weights.
func (s *Split) Configure(services []string, weights []float64) {
	same := len(services) == len(s.parts)
	for i := range s.parts {
		same = same && s.parts[i].service == services[i] && s.parts[i].weight == weights[i]
	}
	if same {
		return
	}
	s.parts = s.parts[:0]
	for i, service := range services {
		s.parts = append(s.parts, part{service: service, weight: weights[i]})
	}
}

// Next returns the service of the next request: the one furthest behind its
// share.
func (s *Split) Next() string {
	total, best := 0.0, -1
	for i := range s.parts {
		s.parts[i].credit += s.parts[i].weight
		total += s.parts[i].weight
		if s.parts[i].weight > 0 && (best < 0 || s.parts[i].credit > s.parts[best].credit) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.parts[best].credit -= total
	return s.parts[best].service
}
