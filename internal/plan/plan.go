package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// DomainStatus is a failure domain as the planner sees it.
type DomainStatus struct {
	Name       string
	Region     string
	Alive      bool // heard from lately
	LoadsFresh bool // the loads below are fresh
	Stopping   bool // a planned stop begins soon or has begun
	Loads      []Load
}

// Load is what a failure domain reports for one service.
type Load struct {
	Service  string
	Capacity int     // slots in working order
	Demand   float64 // slots in use or wanted
}

// State holds the weights of all services.
type State struct {
	services []*serviceWeights
	last     time.Time
}

// serviceWeights are the weights of one service: for each place, the share of
// its blocks that each failure domain gets. One more row serves addresses
// outside all blocks.
type serviceWeights struct {
	name    string
	domains []string
	rows    []row
	demand  map[string]float64 // smoothed, by region
}

type row struct {
	place   string
	weights []float64 // by domain; the sum is 1, or 0 when nothing may serve
	spares  []float64 // preference among domains that only serve when others are dead
	begun   bool
}

// Damping of the measurements.
const (
	demandWeight = 0.2  // of a new measurement in the moving average
	deadband     = 0.05 // a smaller wish to move is not followed
)

// Move is a step of the weights of one service; it names the place that moved
// most.
type Move struct {
	Service  string
	Place    string
	Share    float64 // of the place's blocks that changed their domain
	Limit    float64 // of the share per Interval
	Interval time.Duration
}

// Tick moves all weights towards what the measurements ask for.
func (s *State) Tick(now time.Time, document *document.Document, sites []DomainStatus) []Move {
	var moves []Move
	elapsed := now.Sub(s.last)
	if s.last.IsZero() {
		elapsed = 0
	}
	s.last = now
	s.services = slices.DeleteFunc(s.services, func(w *serviceWeights) bool {
		return document.Services.ByName(w.name) == nil
	})
	for i := range document.Services.Services {
		service := &document.Services.Services[i]
		w := s.service(service.Name)
		w.align(document)
		w.measure(service, sites)
		limit := shift.PlanShare * float64(service.Cap)
		step := limit * stepShare(elapsed, service.Interval.Std())
		if move := w.move(service, document, sites, step); move.Share > 0 {
			move.Limit, move.Interval = limit, service.Interval.Std()
			moves = append(moves, move)
		}
	}
	return moves
}

// TickInterval is the time between two steps.
const TickInterval = time.Second

// stepShare is the part of an interval's limit that one step may use. A window
// as long as the interval can hold one step more than fit into it, so the steps
// are made smaller by one.
func stepShare(elapsed, interval time.Duration) float64 {
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

// align fits rows and columns to the places and domains of the document.
func (w *serviceWeights) align(document *document.Document) {
	domains := make([]string, 0, len(document.Places.Domains))
	for _, domain := range document.Places.Domains {
		domains = append(domains, domain.Name)
	}
	if !slices.Equal(domains, w.domains) {
		w.remap(domains)
	}
	places := document.Places.Places
	rows := make([]row, 0, len(places)+1)
	for i := range len(places) + 1 {
		name := ""
		if i < len(places) {
			name = places[i].Name
		}
		rows = append(rows, w.rowOf(name))
	}
	w.rows = rows
}

func (w *serviceWeights) rowOf(place string) row {
	for _, r := range w.rows {
		if r.place == place && len(r.weights) == len(w.domains) {
			return r
		}
	}
	return row{place: place, weights: make([]float64, len(w.domains))}
}

func (w *serviceWeights) remap(domains []string) {
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

func loadOf(site DomainStatus, service string) (Load, bool) {
	for _, load := range site.Loads {
		if load.Service == service {
			return load, true
		}
	}
	return Load{}, false
}

// measure smooths the demand of each region.
func (w *serviceWeights) measure(service *document.Service, sites []DomainStatus) {
	sums := make(map[string]float64)
	for _, site := range sites {
		if load, found := loadOf(site, service.Name); found && site.LoadsFresh {
			sums[site.Region] += load.Demand
		}
	}
	for region, demand := range sums {
		w.demand[region] += demandWeight * (demand - w.demand[region])
	}
}

// move takes one step of all rows towards their targets.
func (w *serviceWeights) move(service *document.Service, document *document.Document, sites []DomainStatus, step float64) Move {
	most := Move{Service: w.name}
	frozen := w.frozen(service, sites)
	for i := range w.rows {
		r := &w.rows[i]
		target := w.target(service, document, sites, i)
		r.spares = w.spares(service, document, sites, i)
		if !r.begun {
			// The first placement moves nobody: nothing was placed before.
			copy(r.weights, target)
			r.begun = sum(target) > 0
			continue
		}
		forced := w.mustLeave(r, service, sites)
		if frozen && !forced {
			continue
		}
		before := slices.Clone(r.weights)
		stepTowards(r.weights, target, step, forced)
		if moved := movedShare(before, r.weights); moved > most.Share {
			most.Place, most.Share = r.place, moved
		}
	}
	return most
}

// frozen reports that measurements stopped: the weights stay as they are.
func (w *serviceWeights) frozen(service *document.Service, sites []DomainStatus) bool {
	for _, site := range sites {
		if site.Alive && !site.LoadsFresh {
			return true
		}
	}
	return false
}

// mustLeave reports that the row leads to a domain that may not serve at all.
func (w *serviceWeights) mustLeave(r *row, service *document.Service, sites []DomainStatus) bool {
	for i, weight := range r.weights {
		if weight > 0 && !usable(w.domains[i], service, sites) {
			return true
		}
	}
	return false
}

func usable(domain string, service *document.Service, sites []DomainStatus) bool {
	for _, site := range sites {
		if site.Name == domain {
			load, _ := loadOf(site, service.Name)
			return site.Alive && !site.Stopping && service.AllowedIn(site.Region) && load.Capacity > 0
		}
	}
	return false
}

// target computes the wished weights of one row: the nearest region first, up to
// its capacity less headroom; what exceeds that goes to the next one. Within a
// region the weights follow capacity.
func (w *serviceWeights) target(service *document.Service, document *document.Document, sites []DomainStatus, rowNumber int) []float64 {
	home := w.home(document, rowNumber)
	left := 1.0
	target := make([]float64, len(w.domains))
	regions := w.regionsByDelay(document, home)
	for _, region := range regions {
		capacity := w.regionCapacity(service, region, sites)
		if capacity == 0 || left <= 0 {
			continue
		}
		share := left
		if home != "" {
			share = min(left, left*w.acceptable(service, region, capacity))
		} else {
			share = left * capacity / w.capacityFrom(service, regions, region, sites)
		}
		w.spread(target, service, region, capacity, share, sites)
		left -= share
	}
	return normalise(target)
}

// spares prefers usable domains of nearer regions; they are named to callers
// behind those that the weights lead to.
func (w *serviceWeights) spares(service *document.Service, document *document.Document, sites []DomainStatus, rowNumber int) []float64 {
	spares := make([]float64, len(w.domains))
	preference := float64(len(document.Places.Regions))
	for _, region := range w.regionsByDelay(document, w.home(document, rowNumber)) {
		for i, domain := range w.domains {
			if document.Places.RegionOf(domain) == region && usable(domain, service, sites) {
				spares[i] = preference
			}
		}
		preference--
	}
	return spares
}

// home is the region of a row's place, or "" for addresses outside all blocks.
func (w *serviceWeights) home(document *document.Document, rowNumber int) string {
	if rowNumber < len(document.Places.Places) {
		return document.Places.Places[rowNumber].Region
	}
	return ""
}

// acceptable is the share of a region's present demand that its capacity less
// headroom can take.
func (w *serviceWeights) acceptable(service *document.Service, region string, capacity float64) float64 {
	demand := w.demand[region]
	usableCapacity := capacity * (1 - float64(service.Headroom))
	if demand <= usableCapacity || demand == 0 {
		return 1
	}
	return usableCapacity / demand
}

func (w *serviceWeights) regionCapacity(service *document.Service, region string, sites []DomainStatus) float64 {
	total := 0.0
	for _, site := range sites {
		if site.Region == region && usable(site.Name, service, sites) {
			load, _ := loadOf(site, service.Name)
			total += float64(load.Capacity)
		}
	}
	return total
}

// capacityFrom sums the capacity of a region and those after it in the order.
func (w *serviceWeights) capacityFrom(service *document.Service, regions []string, from string, sites []DomainStatus) float64 {
	total := 0.0
	for _, region := range regions[slices.Index(regions, from):] {
		total += w.regionCapacity(service, region, sites)
	}
	return total
}

func (w *serviceWeights) spread(target []float64, service *document.Service, region string, capacity, share float64, sites []DomainStatus) {
	for i, domain := range w.domains {
		for _, site := range sites {
			if site.Name != domain || site.Region != region || !usable(domain, service, sites) {
				continue
			}
			load, _ := loadOf(site, service.Name)
			target[i] += share * float64(load.Capacity) / capacity
		}
	}
}

func (w *serviceWeights) regionsByDelay(document *document.Document, home string) []string {
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

// Weights returns the weights of a service and place by domain; place "" is
// for addresses outside all blocks.
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
