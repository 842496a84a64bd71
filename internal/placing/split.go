package placing

// Split distributes requests over services in the proportion of weights.
type Split struct {
	parts []part
}

type part struct {
	service string
	weight  float64
	credit  float64 // requests that the service is behind its share, times the total weight
}

// Add adds a service with its weight.
func (s *Split) Add(service string, weight float64) {
	s.parts = append(s.parts, part{service: service, weight: weight})
}

// Next returns the service of the next request: the one furthest behind its
// share, or "" if no service has a weight above 0.
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
