package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// DomainStatus is what the planner knows of a failure domain.
type DomainStatus struct {
	Name       string
	Region     string
	Alive      bool // its last summary is recent enough
	LoadsFresh bool // Loads are recent enough to plan by
	Stopping   bool // a planned stop begins soon or has begun
	Loads      []Load
}

// Load is what a failure domain reports for one service.
type Load struct {
	Service  string
	Capacity int     // slots in working order
	Demand   float64 // slots in use, and requests waiting for one
}

// State holds the weights of all services.
type State struct {
	services []*serviceWeights
	lastTick time.Time
}

// serviceWeights holds the weights of one service: for each place, the share of
// its blocks that each failure domain gets. An additional last row is for
// addresses outside all blocks.
type serviceWeights struct {
	name    string
	domains []string
	rows    []row
	demand  map[string]float64 // moving average of Load.Demand, by region
}

type row struct {
	place       string
	weights     []float64 // by domain; they sum to 1, or to 0 while no domain is usable
	preferences []float64 // by domain, as a fallback when the weighted domains are dead; higher is preferred, 0 is not usable
	initialised bool      // weights were set once
}

// Damping of the weight changes.
const (
	demandSmoothing = 0.2  // weight of a new measurement in the moving average
	deadband        = 0.05 // share of blocks; a smaller distance to the target is ignored
)

// Move is a step of the weights of one service; Place is the one with the
// largest share of moved blocks.
type Move struct {
	Service  string
	Place    string
	Share    float64 // of the place's blocks that changed their failure domain
	Limit    float64 // largest share that may move per Interval
	Interval time.Duration
}

// Tick moves all weights a step towards their targets and returns the steps of
// services whose blocks moved.
func (s *State) Tick(now time.Time, document *document.Document, statuses []DomainStatus) []Move {
	var moves []Move
	elapsed := now.Sub(s.lastTick)
	if s.lastTick.IsZero() {
		elapsed = 0
	}
	s.lastTick = now
	s.services = slices.DeleteFunc(s.services, func(w *serviceWeights) bool {
		return document.Services.ByName(w.name) == nil
	})
	for i := range document.Services.Services {
		service := &document.Services.Services[i]
		w := s.service(service.Name)
		w.align(document)
		w.smoothDemand(service, statuses)
		limit := shift.PlanShare * float64(service.Cap)
		step := limit * stepFraction(elapsed, service.Interval.Std())
		if move := w.moveWeights(service, document, statuses, step); move.Share > 0 {
			move.Limit, move.Interval = limit, service.Interval.Std()
			moves = append(moves, move)
		}
	}
	return moves
}

// TickInterval is the time between two steps of the weights.
const TickInterval = time.Second

// stepFraction returns the part of an interval's limit that one step may use. A
// window of the interval's length can contain one step more than interval
// divided by TickInterval, so the limit is shared among one step more.
func stepFraction(elapsed, interval time.Duration) float64 {
	return float64(min(elapsed, TickInterval)) / float64(interval+TickInterval)
}

func (s *State) service(name string) *serviceWeights {
	for _, w := range s.services {
		if w.name == name {
			return w
		}
	}
	w := &serviceWeights{name: name, demand: make(map[string]float64)}
	s.services = append(s.services, w)
	return w
}

// align adapts rows and columns to the places and domains of the document.
func (w *serviceWeights) align(document *document.Document) {
	domains := make([]string, 0, len(document.Places.Domains))
	for _, domain := range document.Places.Domains {
		domains = append(domains, domain.Name)
	}
	if !slices.Equal(domains, w.domains) {
		w.remapDomains(domains)
	}
	places := document.Places.Places
	rows := make([]row, 0, len(places)+1)
	for i := range len(places) + 1 {
		name := ""
		if i < len(places) {
			name = places[i].Name
		}
		rows = append(rows, w.rowFor(name))
	}
	w.rows = rows
}

func (w *serviceWeights) rowFor(place string) row {
	for _, r := range w.rows {
		if r.place == place && len(r.weights) == len(w.domains) {
			return r
		}
	}
	return row{place: place, weights: make([]float64, len(w.domains))}
}

func (w *serviceWeights) remapDomains(domains []string) {
	for i := range w.rows {
		weights := make([]float64, len(domains))
		for j, name := range domains {
			if old := slices.Index(w.domains, name); old >= 0 {
				weights[j] = w.rows[i].weights[old]
			}
		}
		w.rows[i].weights = weights
	}
	w.domains = domains
}

func loadOf(status DomainStatus, service string) (Load, bool) {
	for _, load := range status.Loads {
		if load.Service == service {
			return load, true
		}
	}
	return Load{}, false
}

// smoothDemand adds the fresh loads of each region to its moving average.
func (w *serviceWeights) smoothDemand(service *document.Service, statuses []DomainStatus) {
	sums := make(map[string]float64)
	for _, status := range statuses {
		if load, found := loadOf(status, service.Name); found && status.LoadsFresh {
			sums[status.Region] += load.Demand
		}
	}
	for region, demand := range sums {
		w.demand[region] += demandSmoothing * (demand - w.demand[region])
	}
}

// moveWeights takes one step of all rows towards their targets.
func (w *serviceWeights) moveWeights(service *document.Service, document *document.Document, statuses []DomainStatus, step float64) Move {
	largest := Move{Service: w.name}
	measurementsMissing := w.measurementsMissing(service, statuses)
	for i := range w.rows {
		r := &w.rows[i]
		target := w.targetWeights(service, document, statuses, i)
		r.preferences = w.fallbackPreferences(service, document, statuses, i)
		if !r.initialised {
			// The first weights need no steps: no block was placed before.
			copy(r.weights, target)
			r.initialised = sum(target) > 0
			continue
		}
		forced := w.leadsToUnusable(r, service, statuses)
		if measurementsMissing && !forced {
			continue
		}
		before := slices.Clone(r.weights)
		stepTowards(r.weights, target, step, forced)
		if moved := movedShare(before, r.weights); moved > largest.Share {
			largest.Place, largest.Share = r.place, moved
		}
	}
	return largest
}

// measurementsMissing reports whether a live domain has no fresh loads; the
// weights then stay unless they lead to an unusable domain.
func (w *serviceWeights) measurementsMissing(service *document.Service, statuses []DomainStatus) bool {
	for _, status := range statuses {
		if status.Alive && !status.LoadsFresh {
			return true
		}
	}
	return false
}

// leadsToUnusable reports whether the row gives weight to a domain that is not
// usable.
func (w *serviceWeights) leadsToUnusable(r *row, service *document.Service, statuses []DomainStatus) bool {
	for i, weight := range r.weights {
		if weight > 0 && !usable(w.domains[i], service, statuses) {
			return true
		}
	}
	return false
}

// usable reports whether a domain is alive, not stopping, allowed for the
// service and has capacity for it.
func usable(domain string, service *document.Service, statuses []DomainStatus) bool {
	for _, status := range statuses {
		if status.Name == domain {
			load, _ := loadOf(status, service.Name)
			return status.Alive && !status.Stopping && service.AllowedIn(status.Region) && load.Capacity > 0
		}
	}
	return false
}

// targetWeights computes the weights that one row moves towards. The nearest
// region comes first, up to its capacity less headroom; the excess goes to the
// next one. Within a region the weights are proportional to capacity. Addresses
// outside all blocks are spread over all regions in proportion to capacity.
func (w *serviceWeights) targetWeights(service *document.Service, document *document.Document, statuses []DomainStatus, rowNumber int) []float64 {
	home := w.homeRegion(document, rowNumber)
	remaining := 1.0
	target := make([]float64, len(w.domains))
	regions := w.regionsByLatency(document, home)
	for _, region := range regions {
		capacity := w.regionCapacity(service, region, statuses)
		if capacity == 0 || remaining <= 0 {
			continue
		}
		share := remaining
		if home != "" {
			share = min(remaining, remaining*w.acceptableShare(service, region, capacity))
		} else {
			share = remaining * capacity / w.capacityFrom(service, regions, region, statuses)
		}
		w.distribute(target, service, region, capacity, share, statuses)
		remaining -= share
	}
	return normalise(target)
}

// fallbackPreferences returns a preference for each usable domain, higher in
// nearer regions, and 0 for the others. Look-ups return fallbacks after the
// domains with a weight.
func (w *serviceWeights) fallbackPreferences(service *document.Service, document *document.Document, statuses []DomainStatus, rowNumber int) []float64 {
	preferences := make([]float64, len(w.domains))
	preference := float64(len(document.Places.Regions))
	for _, region := range w.regionsByLatency(document, w.homeRegion(document, rowNumber)) {
		for i, domain := range w.domains {
			if document.Places.RegionOf(domain) == region && usable(domain, service, statuses) {
				preferences[i] = preference
			}
		}
		preference--
	}
	return preferences
}

// homeRegion returns the region of a row's place, or "" for addresses outside
// all blocks.
func (w *serviceWeights) homeRegion(document *document.Document, rowNumber int) string {
	if rowNumber < len(document.Places.Places) {
		return document.Places.Places[rowNumber].Region
	}
	return ""
}

// acceptableShare returns the share of a region's current demand that its
// capacity less headroom can serve.
func (w *serviceWeights) acceptableShare(service *document.Service, region string, capacity float64) float64 {
	demand := w.demand[region]
	usableCapacity := capacity * (1 - float64(service.Headroom))
	if demand <= usableCapacity || demand == 0 {
		return 1
	}
	return usableCapacity / demand
}

func (w *serviceWeights) regionCapacity(service *document.Service, region string, statuses []DomainStatus) float64 {
	total := 0.0
	for _, status := range statuses {
		if status.Region == region && usable(status.Name, service, statuses) {
			load, _ := loadOf(status, service.Name)
			total += float64(load.Capacity)
		}
	}
	return total
}

// capacityFrom sums the capacity of the region from and of those after it in
// regions.
func (w *serviceWeights) capacityFrom(service *document.Service, regions []string, from string, statuses []DomainStatus) float64 {
	total := 0.0
	for _, region := range regions[slices.Index(regions, from):] {
		total += w.regionCapacity(service, region, statuses)
	}
	return total
}

func (w *serviceWeights) distribute(target []float64, service *document.Service, region string, capacity, share float64, statuses []DomainStatus) {
	for i, domain := range w.domains {
		for _, status := range statuses {
			if status.Name != domain || status.Region != region || !usable(domain, service, statuses) {
				continue
			}
			load, _ := loadOf(status, service.Name)
			target[i] += share * float64(load.Capacity) / capacity
		}
	}
}

func (w *serviceWeights) regionsByLatency(document *document.Document, home string) []string {
	var names []string
	for _, region := range document.Places.Regions {
		names = append(names, region.Name)
	}
	if home == "" {
		return names
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(document.Places.OneWay(home, a), document.Places.OneWay(home, b))
	})
	return names
}

// Weights returns the domains of a service and their weights for a place, or nil
// for an unknown one; place "" is for addresses outside all blocks.
func (s *State) Weights(service, place string) ([]string, []float64) {
	for _, w := range s.services {
		if w.name != service {
			continue
		}
		for _, r := range w.rows {
			if r.place == place {
				return w.domains, r.weights
			}
		}
	}
	return nil, nil
}
