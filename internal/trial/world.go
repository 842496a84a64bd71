package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/heatherwood/heatherwood/examples"
	"github.com/heatherwood/heatherwood/internal/virtual"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Lengths of a run in virtual time.
const (
	runLength   = 32 * time.Second
	faultBegin  = 10 * time.Second
	faultEnd    = 20 * time.Second
	measureFrom = 5 * time.Second
	tick        = 50 * time.Millisecond
	capInterval = time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Fleet is the servers of one service.
type Fleet struct {
	Servers int
	Slots   int
	Mean    time.Duration // of the work of one request
}

// fleets follow the brief; the times of work are assumed.
var fleets = map[string]Fleet{
	"proofs":       {Servers: 16, Slots: 6, Mean: 150 * time.Millisecond},
	"approvals":    {Servers: 12, Slots: 4, Mean: 200 * time.Millisecond},
	"catalogue":    {Servers: 20, Slots: 5, Mean: 150 * time.Millisecond},
	"reservations": {Servers: 12, Slots: 3, Mean: 200 * time.Millisecond},
	"payments":     {Servers: 12, Slots: 3, Mean: 250 * time.Millisecond},
}

// steadyLoad is the share of a fleet's capacity that is offered, by rank.
var steadyLoad = map[string]float64{"browsing": 0.2, "reserving": 0.2, "paying": 0.3}

// World is one run.
type World struct {
	Site     string
	Document *document.Document
	Case     Case
	Stats    Stats

	time    *virtual.Clock
	random  *rand.Rand
	servers []*server
	ranks   []document.Rank
	policy  policy
	offered []offered
}

// policy is a way to steer.
type policy interface {
	arrive(r *request)
	tick()
}

// server is the truth about a backend server.
type server struct {
	id       string
	service  string
	domain   string
	region   string
	slots    int
	mean     time.Duration
	running  int
	queue    []*request // of baselines that send beyond the slots
	alive    bool
	failing  bool // answers at once with an error
	seen     map[netip.Addr]time.Time
	inflight map[*request]bool
}

// request is one caller's request.
type request struct {
	service  string
	rank     int
	place    int
	client   netip.Addr
	arrived  time.Time
	deadline time.Time
	work     time.Duration
	killer   bool
	server   *server
	began    time.Time
	answered func(result outcome)
}

// outcome is how a server ended a request.
type outcome uint8

const (
	outcomeOK outcome = iota + 1
	outcomeError
	outcomeBroken
)

// offered is a stream of arrivals.
type offered struct {
	service string
	rank    int
	place   int
	rate    float64 // per second
}

func (w *World) after(d time.Duration, do func()) { w.time.Schedule(d, do) }

// NewWorld lays out a site for one case.
func NewWorld(site string, c Case, seed uint64) (*World, error) {
	texts, err := examples.ReadTexts(site)
	if err != nil {
		return nil, err
	}
	parsed, messages := document.Parse(texts)
	if err := messages.Err(); err != nil {
		return nil, err
	}
	w := &World{Site: site, Document: parsed, Case: c, time: virtual.New(epoch), random: rand.New(rand.NewPCG(seed, 7))}
	w.ranks = parsed.Ranks.Order()
	for i := range parsed.Services.Services {
		service := &parsed.Services.Services[i]
		service.Interval = document.Duration(capInterval)
		service.Warm = document.Duration(2 * time.Second)
		service.Target = document.PositiveDuration(2 * time.Second)
	}
	if c.Link > 0 {
		for i := range parsed.Places.Links {
			parsed.Places.Links[i].Limit = c.Link
		}
	}
	w.layServers()
	w.layArrivals()
	w.Stats.init(w)
	return w, nil
}

func (w *World) layServers() {
	domains := w.Document.Places.Domains
	for _, service := range w.Document.Services.Services {
		fleet := fleets[service.Name]
		for i := range fleet.Servers {
			domain := domains[i%len(domains)]
			w.servers = append(w.servers, &server{
				id:       fmt.Sprintf("%s-%02d", service.Name, i),
				service:  service.Name,
				domain:   domain.Name,
				region:   domain.Region,
				slots:    fleet.Slots,
				mean:     fleet.Mean,
				alive:    true,
				seen:     make(map[netip.Addr]time.Time),
				inflight: make(map[*request]bool),
			})
		}
	}
}

// Capacity returns the requests per second that a service's fleet can run.
func Capacity(service string) float64 {
	fleet := fleets[service]
	return float64(fleet.Servers*fleet.Slots) / fleet.Mean.Seconds()
}

// rankOf names the rank that a service serves besides browsing.
func rankOf(service document.Service) string { return service.Rules[0].Rank }

func (w *World) rankNumber(name string) int {
	for i, rank := range w.ranks {
		if rank.Name == name {
			return i
		}
	}
	return 0
}

// layArrivals offers each service its own rank and browsing, from all places.
func (w *World) layArrivals() {
	places := len(w.Document.Places.Places)
	for _, service := range w.Document.Services.Services {
		names := []string{"browsing"}
		if own := rankOf(service); own != "browsing" {
			names = append(names, own)
		}
		for _, name := range names {
			load := steadyLoad[name]
			if len(names) == 1 {
				load *= 2
			}
			for place := range places {
				rate := load * Capacity(service.Name) / float64(places)
				w.offered = append(w.offered, offered{service: service.Name, rank: w.rankNumber(name), place: place, rate: rate})
			}
		}
	}
}

func (w *World) now() time.Time { return w.time.Now() }

// Run plays the whole run.
func (w *World) Run() {
	for i := range w.offered {
		w.nextArrival(&w.offered[i])
	}
	w.schedule()
	w.tickForever()
	w.time.RunUntil(epoch.Add(runLength))
	w.Stats.close()
}

func (w *World) tickForever() {
	w.policy.tick()
	w.Stats.tick()
	w.after(tick, w.tickForever)
}

func (w *World) exponential(mean float64) time.Duration {
	return time.Duration(-math.Log(1-w.random.Float64()) * mean * float64(time.Second))
}

func (w *World) nextArrival(o *offered) {
	rate := o.rate + w.flood(o)
	w.after(w.exponential(1/rate), func() {
		w.newRequest(o)
		w.nextArrival(o)
	})
}

// flood is the rate that a flood adds to a stream.
func (w *World) flood(o *offered) float64 {
	if !w.during() {
		return 0
	}
	places := float64(len(w.Document.Places.Places))
	browsing := w.ranks[o.rank].Name == "browsing"
	switch {
	case w.Case.BrowseFlood > 0 && browsing:
		return w.Case.BrowseFlood * Capacity(o.service) / places
	case w.Case.PayFlood > 0 && w.ranks[o.rank].Name == "paying":
		return w.Case.PayFlood * Capacity(o.service) / places
	default:
		return 0
	}
}

func (w *World) during() bool {
	since := w.now().Sub(epoch)
	return since >= faultBegin && since < faultEnd
}

func (w *World) newRequest(o *offered) {
	const blocksPerPlace = 200
	place := w.Document.Places.Places[o.place]
	base := place.Blocks[0].Addr().As4()
	base[2] = byte(w.random.IntN(blocksPerPlace))
	target := w.ranks[o.rank].Target.Std()
	r := &request{
		service:  o.service,
		rank:     o.rank,
		place:    o.place,
		client:   netip.AddrFrom4(base),
		arrived:  w.now(),
		deadline: w.now().Add(target),
		work:     w.workOf(o.service),
	}
	w.Stats.offer(r)
	w.policy.arrive(r)
}

// workOf draws the time of work: half of the mean is fixed, half exponential.
func (w *World) workOf(service string) time.Duration {
	mean := fleets[service].Mean
	return mean/2 + w.exponential(mean.Seconds()/2)
}

// begin runs a request on a server; answered is called at the end of its work.
func (w *World) begin(s *server, r *request) {
	r.server, r.began = s, w.now()
	s.inflight[r] = true
	s.running++
	if s.running > s.slots {
		w.Stats.Overload++
	}
	if r.killer {
		w.after(killDelay, func() { w.kill(s) })
		return
	}
	work := r.work
	if s.failing {
		work = time.Millisecond
	}
	if w.Case.Cold && w.cold(s, r) {
		work = time.Duration(coldFactor * float64(work))
	}
	w.after(work, func() { w.end(s, r, outcomeOK) })
}

const (
	killDelay    = 5 * time.Millisecond
	restartAfter = 5 * time.Second
	coldFactor   = 3.0
	coldAfter    = 10 * time.Second
)

// cold reports whether the server's caches lack the client's block.
func (w *World) cold(s *server, r *request) bool {
	last, known := s.seen[r.client]
	s.seen[r.client] = w.now()
	return !known && w.now().Sub(epoch) > coldAfter || known && w.now().Sub(last) > coldAfter
}

func (w *World) end(s *server, r *request, result outcome) {
	if !s.inflight[r] {
		return
	}
	delete(s.inflight, r)
	s.running--
	if s.failing {
		result = outcomeError
	}
	r.answered(result)
	w.pull(s)
}

// cancel ends a request's work without an answer.
func (w *World) cancel(s *server, r *request) {
	if !s.inflight[r] {
		return
	}
	delete(s.inflight, r)
	s.running--
	w.pull(s)
}

// pull starts the next request of a server's own queue.
func (w *World) pull(s *server) {
	for s.alive && s.running < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.begin(s, next)
	}
}

// kill ends a server with all it runs; it comes back after a while.
func (w *World) kill(s *server) {
	w.fell(s)
	w.Stats.Killed++
	w.after(restartAfter, func() { s.alive = true })
}

func (w *World) fell(s *server) {
	if !s.alive {
		return
	}
	s.alive = false
	var lost []*request
	for r := range s.inflight {
		lost = append(lost, r)
	}
	sortRequests(lost)
	lost = append(lost, s.queue...)
	s.queue, s.running = nil, 0
	s.inflight = make(map[*request]bool)
	for _, r := range lost {
		r.answered(outcomeBroken)
	}
}
