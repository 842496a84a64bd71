package share

import (
	"math"
	"math/rand/v2"
	"time"
)

// Control of the level; docs/design/fairshare.md has the trials. Every entry moves its level by the same law from the same reference, and
// the load of the servers, which causes the refusals, is common to all, so that the levels of
// entries stay close together without messages.
const (
	pressureGain    = 1.5              // fall of the logarithm of the level in a second if placing refuses all; a higher one widens the differences between entries, each of which sees few refusals
	highRefusalGain = 10.0             // added in proportion to the refused share, so that a sudden shortage is met within a second or two
	pressureLeak    = 0.004            // loss of pressure in a second, times its square; brings the levels of entries together, and sets the share that placing still refuses
	roomRecovery    = 0.5              // loss of pressure in a second if all requests meet free slots; with 2, placing refused twice as much in a flood
	usualRoom       = 0.5              // part of the requests that meet free slots though servers are short, as some objects are asked for less
	reportsExpected = 5 * time.Second  // after the last report of a load, in which estimates at the choice of a server don't count
	maxPressure     = 14.0             // the level is then a millionth of the reference
	minRequestRate  = 2.0              // requests a second by which one refusal is weighed at least; bounds what one can do on an idle entry
	rateTime        = time.Second      // time constant of the request rates that weigh refusals
	demandTime      = 3 * time.Second  // time constant of an entry's own count of a customer's demand
	servedTime      = 5 * time.Second  // time constant of the served shares
	forgetAfter     = 30 * time.Second // without a request
	sweepInterval   = time.Second      // between searches for customers to forget, which visit all
)

// Floor of the served share.
const (
	starvedShare = 0.3 // of the served share of all, below which nothing is refused; the bound to keep is a quarter
	minJudged    = 4.0 // requests within servedTime from which a served share is judged
)

// Limits.
const (
	minOwed       = -2.0                   // requests that a customer got beyond its level on free slots and that count against it
	maxCustomers  = 512                    // remembered; the requests of further ones are counted together; about 100 KB for a service
	maxRoutes     = 128                    // remembered
	maxRanks      = 8                      // as in the steering document
	minRetryAfter = 200 * time.Millisecond // as for refusals by placing
	maxRetryAfter = 4 * time.Second        // callers give up on longer ones
	retrySpread   = 0.25                   // part by which the longest Retry-After is shortened at random, for callers whose turn is later
)

// DefaultReference is the reference of the levels where the document has no rates to take it
// from: more than a customer usually sends through one failure domain, in requests a second.
const DefaultReference = 1024

// Shares decides for the requests of one service at one entry.
type Shares struct {
	Reference float64 // level without pressure, in requests a second; the same on all entries, and above the demand of nearly all customers
	Scale     float64 // demand in the failure domain for each request a second at this entry, for customers whose demand is counted here

	ranks     [maxRanks]rank
	all       tally
	routes    map[string]*tally
	customers map[string]*customer
	rest      customer // those for which there is no room
	sweptAt   time.Time
	random    *rand.Rand
}

// rank is the shortage that the requests of one rank meet.
type rank struct {
	pressure  float64 // logarithm of the reference over the level
	changedAt time.Time
	asked     rate // requests that placing decided
	refused   rate // those that it refused
	seen      rate // servers seen with or without a free slot
	room      rate // those with one
	refusedAt time.Time

	reportedAt time.Time // last report of a load
	count      int64     // requests refused for fair share
}

// customer is what is known of a customer's requests.
type customer struct {
	demand rate
	served tally
	owed   float64   // part of a request that may be admitted
	turnAt time.Time // last turn announced to a caller
}

// New returns shares that have seen no request. The seed differs between entries.
func New(seed uint64) *Shares {
	return &Shares{
		Reference: DefaultReference,
		Scale:     1,
		routes:    make(map[string]*tally),
		customers: make(map[string]*customer),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Request is a request for which a server was looked for.
type Request struct {
	Customer string // name; requests without one count as those of one customer
	Route    string
	Rank     int     // 0 is the most urgent
	Demand   float64 // of the customer in the failure domain, in requests a second; 0 or less means that this entry counts it
	Room     bool    // its server has a free slot
}

// Admit reports whether a request may be placed; if not, its caller is asked to send it again
// after a time. A request whose server has a free slot is never refused.
func (s *Shares) Admit(r Request, now time.Time) (bool, time.Duration) {
	c := s.customer(r.Customer, now)
	own := c.demand.add(1, demandTime, now)
	demand := s.Demand(r, now)
	level := s.Level(r.Rank, now)
	if demand <= level {
		return true, 0
	}
	c.owed = min(c.owed+level/demand, 1)
	if c.owed >= 1 || r.Room {
		c.owed = max(c.owed-1, minOwed)
		return true, 0
	}
	if s.starved(&c.served, now) || s.starved(s.routes[r.Route], now) {
		return true, 0
	}
	s.rank(r.Rank).count++
	s.count(c, r.Route, 0, now)
	return false, s.nextTurn(c, own*level/demand, now)
}

// Demand returns the demand that counts for a customer.
func (s *Shares) Demand(r Request, now time.Time) float64 {
	if c := s.customers[r.Customer]; r.Demand <= 0 && c != nil {
		return c.demand.get(demandTime, now) * max(s.Scale, 1)
	}
	return r.Demand
}

// Result is what placing decided about a request.
type Result int

// The results.
const (
	Refused Result = iota // no server has room
	Queued                // it waits at its server
	Room                  // its server has a free slot
)

// Placed notes what placing decided about an admitted request.
func (s *Shares) Placed(q Request, result Result, now time.Time) {
	served := 1.0
	if result == Refused {
		served = 0
	}
	s.count(s.customer(q.Customer, now), q.Route, served, now)
	r := s.rank(q.Rank)
	r.advance(now)
	asked := max(r.asked.add(1, rateTime, now), minRequestRate)
	switch result {
	case Refused:
		share := min(r.refused.get(rateTime, now)/asked, 1)
		r.refused.add(1, rateTime, now)
		r.refusedAt = now
		r.pressure = min(r.pressure+(pressureGain+highRefusalGain*share*share)/asked, maxPressure)
	default:
		if r.reportedAt.IsZero() || now.Sub(r.reportedAt) > reportsExpected {
			r.noteRoom(result == Room, now)
		}
	}
}

// Reported notes that a server reported its load at the end of a request, and whether it has a
// free slot. The load that Room in a request goes by may be many seconds old where an entry sends
// little to each of many servers.
func (s *Shares) Reported(rankNumber int, room bool, now time.Time) {
	r := s.rank(rankNumber)
	r.advance(now)
	r.reportedAt = now
	r.noteRoom(room, now)
}

// noteRoom lowers the pressure while most requests meet free slots.
func (r *rank) noteRoom(room bool, now time.Time) {
	seen := max(r.seen.add(1, rateTime, now), minRequestRate)
	if !room {
		return
	}
	if share := r.room.add(1, rateTime, now) / seen; share > usualRoom {
		r.pressure = max(r.pressure-roomRecovery*(share-usualRoom)/(1-usualRoom)/seen, 0)
	}
}

// Level returns the demand up to which customers of a rank are refused nothing: for less urgent
// ranks it is never above that for more urgent ones.
func (s *Shares) Level(rankNumber int, now time.Time) float64 {
	pressure := 0.0
	for i := range s.ranks[:clampRank(rankNumber)+1] {
		s.ranks[i].advance(now)
		pressure = max(pressure, s.ranks[i].pressure)
	}
	if pressure == 0 {
		return math.Inf(1)
	}
	return s.Reference * math.Exp(-pressure)
}

// Refused returns how many requests of a rank were refused for fair share.
func (s *Shares) Refused(rankNumber int) int64 { return s.rank(rankNumber).count }

// Ranks returns the number of ranks for which Level and Refused are kept.
func (s *Shares) Ranks() int { return len(s.ranks) }

func (s *Shares) rank(number int) *rank { return &s.ranks[clampRank(number)] }

func clampRank(number int) int { return min(max(number, 0), maxRanks-1) }

// advance lowers the pressure by the time that has passed.
func (r *rank) advance(now time.Time) {
	elapsed := now.Sub(r.changedAt)
	r.changedAt = now
	if r.pressure == 0 || elapsed <= 0 {
		return
	}
	fall := pressureLeak * r.pressure * r.pressure
	if now.Sub(r.refusedAt) > forgetAfter {
		fall += 1
	}
	r.pressure = max(r.pressure-fall*elapsed.Seconds(), 0)
}

// customer returns the record of a customer, a new one if there is room.
func (s *Shares) customer(name string, now time.Time) *customer {
	if c := s.customers[name]; c != nil {
		return c
	}
	if len(s.customers) >= maxCustomers {
		s.forgetIdle(now)
	}
	if len(s.customers) >= maxCustomers {
		return &s.rest
	}
	// Entries begin at different points of the sequence of admitted and refused requests, so
	// that a customer with few requests at each is not refused at all of them.
	c := &customer{owed: s.random.Float64()}
	s.customers[name] = c
	return c
}

// forgetIdle forgets customers and routes without requests of late.
func (s *Shares) forgetIdle(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for name, c := range s.customers {
		if now.Sub(c.demand.at) > forgetAfter {
			delete(s.customers, name)
		}
	}
	for name, t := range s.routes {
		if now.Sub(t.asked.at) > forgetAfter {
			delete(s.routes, name)
		}
	}
}
