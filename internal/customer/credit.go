package customer

import (
	"slices"
	"time"
)

// Timings of an entry's questions.
const (
	askAgainAfter  = 250 * time.Millisecond // without an answer: far above the 0.4 ms within a domain
	maxEarlier     = 3                      // questions before the last one whose answers are taken: on links at their capacity one takes 0.5 s or more
	askMoreAfter   = 100 * time.Millisecond // after an answer without standing allowances
	minPatience    = 300 * time.Millisecond // that a parked request waits, at least
	maxPatience    = time.Second            // the same, at most
	maxWait        = 4 * time.Second        // that a refused caller is told
	maxRefusalKept = 50 * time.Millisecond  // for which an answer without allowances holds for later requests
	forgetAfter    = 30 * time.Second       // without a request of the customer
	demandKept     = 5 * time.Second        // for which the demand that a grant names is used
)

// Limit is the allowance of a customer by the document in force.
type Limit struct {
	Customer string
	Document uint64 // log index
	Terms    Terms
	Entries  int // VMs that send requests, as far as this one knows; 0 if unknown
}

// Credit holds the allowances of one entry, and the requests that wait for some.
type Credit struct {
	Peer     string // host:port of this VM for calls between VMs
	accounts map[string]*account
	waiting  []*account // with requests that wait
	short    []*account // that lack standing allowances
	lastID   uint64
}

// account is what an entry holds of one customer.
type account struct {
	customer string
	limit    Limit
	division Division
	lots     []lot
	standing int // allowances without an end
	isShort  bool
	moreAt   time.Time // when standing allowances may be asked for again
	parked   []parked
	demand   meter
	arrived  int // since the last question
	usedAt   time.Time

	question      asked   // the last one, unanswered; zero for none
	earlier       []asked // unanswered ones before it, oldest first
	refusesUntil  time.Time
	nextTurn      time.Time // of the next request that is refused until then
	spacing       time.Duration
	domainDemand  float64
	demandHeardAt time.Time
}

// asked is a question to the allocator.
type asked struct {
	id      uint64
	at      time.Time
	waiting int // requests that waited then
}

type parked struct {
	call  uint64
	until time.Time
}

// Patience returns how long a request waits for an allowance: a quarter of the time left, so
// that one that is refused in the end may still be served when it returns.
func Patience(left time.Duration) time.Duration { return min(max(left/4, minPatience), maxPatience) }

// Refusal tells a caller when there is room for its request.
type Refusal struct {
	Call uint64
	Wait time.Duration
}

// NewCredit returns a credit without allowances. first must be higher than the ids of
// earlier starts of the VM, whose answers may still arrive.
func NewCredit(peer string, first uint64) *Credit {
	return &Credit{Peer: peer, accounts: make(map[string]*account), lastID: first}
}

// Count counts a request of a customer without a limit.
func (c *Credit) Count(customer string, now time.Time) {
	a := c.account(customer)
	a.usedAt = now
	a.demand.add(1, now)
}

// Take takes an allowance for a request that arrives now; it returns false if there is
// none.
func (c *Credit) Take(l Limit, now time.Time) bool {
	a := c.account(l.Customer)
	if a.limit.Terms != l.Terms || a.limit.Entries != l.Entries {
		a.division = Divide(l.Terms, l.Entries)
		a.standing = min(a.standing, a.division.Standing)
	}
	a.limit = l
	a.usedAt = now
	a.arrived++
	a.demand.add(1, now)
	if len(a.parked) > 0 {
		return false
	}
	a.lots = dropEnded(a.lots, now)
	if takeFrom(a.lots, 1) == 1 {
		return true
	}
	taken := a.standing > 0
	if taken {
		a.standing--
	}
	if a.lacksStanding() && !a.isShort {
		a.isShort = true
		c.short = append(c.short, a)
	}
	return taken
}

// lacksStanding reports whether half of the standing allowances or more are used up.
func (a *account) lacksStanding() bool { return 2*a.standing < a.division.Standing }

// mayAskMore reports whether standing allowances are to be asked for now.
func (a *account) mayAskMore(now time.Time) bool {
	return a.lacksStanding() && len(a.parked) == 0 && a.question.id == 0 && !now.Before(a.moreAt)
}

// Short reports whether standing allowances may be asked for.
func (c *Credit) Short() bool { return len(c.short) > 0 }

// Park makes a request that got no allowance wait for one. It returns false, and when
// there is room, if the allocator has just answered that it has none.
func (c *Credit) Park(customer string, call uint64, patience time.Duration, now time.Time) (time.Duration, bool) {
	a := c.account(customer)
	if now.Before(a.refusesUntil) {
		return a.turn(now), false
	}
	if len(a.parked) == 0 {
		c.waiting = append(c.waiting, a)
	}
	a.parked = append(a.parked, parked{call, now.Add(patience)})
	return 0, true
}

// Leave removes a parked request whose caller left.
func (c *Credit) Leave(customer string, call uint64) {
	a := c.accounts[customer]
	if a == nil {
		return
	}
	a.parked = slices.DeleteFunc(a.parked, func(p parked) bool { return p.call == call })
	c.dropIdle()
}

// Ask returns the questions that are due: for requests that wait without one, those that
// were not answered, and for standing allowances.
func (c *Credit) Ask(now time.Time) []Request {
	var requests []Request
	for _, a := range c.waiting {
		if a.question.id == 0 || now.Sub(a.question.at) >= askAgainAfter {
			requests = append(requests, c.ask(a, now))
		}
	}
	c.short = slices.DeleteFunc(c.short, func(a *account) bool {
		if a.mayAskMore(now) {
			requests = append(requests, c.ask(a, now))
		}
		a.isShort = a.lacksStanding()
		return !a.isShort
	})
	return requests
}

func (c *Credit) ask(a *account, now time.Time) Request {
	c.lastID++
	if a.question.id != 0 {
		a.earlier = append(a.earlier, a.question)
		a.earlier = a.earlier[max(0, len(a.earlier)-maxEarlier):]
	}
	a.question = asked{c.lastID, now, len(a.parked)}
	r := Request{
		ID:       a.question.id,
		Peer:     c.Peer,
		Customer: a.customer,
		Document: a.limit.Document,
		Rate:     a.limit.Terms.Rate,
		Burst:    a.limit.Terms.Burst,
		Waiting:  len(a.parked),
		Ahead:    max(surely(a.demand.rate(now)*a.division.TTL.Seconds()), a.division.Standing-a.standing),
		Arrived:  a.arrived,
	}
	a.arrived = 0
	return r
}

// Receive takes the answer to a question, once, and returns the parked requests that go on
// and those that are refused. An answer to the question before the last one may have
// crossed the last one on its way; it refuses nothing.
func (c *Credit) Receive(g Grant, now time.Time) (ready []uint64, refused []Refusal) {
	a := c.accounts[g.Customer]
	if a == nil || g.ID == 0 {
		return nil, nil
	}
	q, found := a.closeQuestion(g.ID)
	if !found {
		return nil, nil
	}
	a.domainDemand, a.demandHeardAt = finite(g.Demand), now
	a.lots = dropEnded(a.lots, now)
	until, count := q.at.Add(a.division.TTL), g.Count
	if !now.Before(until) {
		// Too late for a lifetime, but not for allowances without an end.
		count = min(count, max(0, a.division.Standing-a.standing))
		a.standing += count
	} else if count > 0 {
		a.lots = append(a.lots, lot{count, until})
	}
	if count > 0 {
		a.refusesUntil = time.Time{}
	}
	n := takeFrom(a.lots, len(a.parked))
	if more := min(a.standing, len(a.parked)-n); more > 0 {
		a.standing -= more
		n += more
	}
	for _, p := range a.parked[:n] {
		ready = append(ready, p.call)
	}
	a.parked = a.parked[n:]
	if more := a.division.Standing - a.standing; more > 0 {
		a.standing += takeFrom(a.lots, more)
	}
	if a.lacksStanding() {
		a.moreAt = now.Add(askMoreAfter)
	}
	if g.Count < q.waiting {
		a.refuseFrom(g, now)
		for _, p := range a.parked {
			refused = append(refused, Refusal{p.call, a.turn(now)})
		}
		a.parked = nil
	}
	c.dropIdle()
	return ready, refused
}

// closeQuestion returns the open question of an id, which its answer closes. That to the last one closes
// all: later answers to earlier ones are late by more than a repeat. An earlier one refuses nothing.
func (a *account) closeQuestion(id uint64) (asked, bool) {
	if id == a.question.id {
		q := a.question
		a.question, a.earlier = asked{}, a.earlier[:0]
		return q, true
	}
	for i, q := range a.earlier {
		if q.id == id {
			a.earlier = slices.Delete(a.earlier, i, i+1)
			q.waiting = 0
			return q, true
		}
	}
	return asked{}, false
}

// refuseFrom notes that the allocator has no more allowances for now. The refusal also
// holds for requests that arrive within a small part of the time in which its bucket
// fills, so that a flood is not passed on to it.
func (a *account) refuseFrom(g Grant, now time.Time) {
	a.refusesUntil = now.Add(min(g.Wait, maxRefusalKept, a.division.refillTime()/4))
	a.nextTurn, a.spacing = now.Add(g.Wait), max(g.Spacing, 0)
}

// turn returns when there is room for the next request.
func (a *account) turn(now time.Time) time.Duration {
	wait := min(max(a.nextTurn.Sub(now), 0), maxWait)
	a.nextTurn = now.Add(wait + a.spacing)
	return wait
}

// Expired returns and removes the parked requests for which no answer came in time.
func (c *Credit) Expired(now time.Time) []uint64 {
	var calls []uint64
	for _, a := range c.waiting {
		n := 0
		for n < len(a.parked) && !now.Before(a.parked[n].until) {
			calls = append(calls, a.parked[n].call)
			n++
		}
		a.parked = a.parked[n:]
	}
	c.dropIdle()
	return calls
}

// Waiting returns how many requests wait for an allowance.
func (c *Credit) Waiting() int {
	n := 0
	for _, a := range c.waiting {
		n += len(a.parked)
	}
	return n
}

// Held returns the allowances that this VM holds of a customer.
func (c *Credit) Held(customer string, now time.Time) int {
	a := c.accounts[customer]
	if a == nil {
		return 0
	}
	a.lots = dropEnded(a.lots, now)
	return countOf(a.lots) + a.standing
}

// Demand returns the requests a second of a customer in the failure domain, as its
// allocator sees them, and at least those of this entry.
func (c *Credit) Demand(customer string, now time.Time) float64 {
	a := c.accounts[customer]
	if a == nil {
		return 0
	}
	demand := a.demand.rate(now)
	if !a.demandHeardAt.IsZero() && now.Sub(a.demandHeardAt) < demandKept {
		demand = max(demand, a.domainDemand)
	}
	return demand
}

// Forget removes the customers without requests.
func (c *Credit) Forget(now time.Time) {
	for name, a := range c.accounts {
		if len(a.parked) == 0 && now.Sub(a.usedAt) > forgetAfter {
			delete(c.accounts, name)
		}
	}
}

// Reset ends all allowances, after this VM was paused. Requests that wait are asked for
// again.
func (c *Credit) Reset() {
	for _, a := range c.accounts {
		a.lots, a.standing, a.question, a.earlier, a.refusesUntil = nil, 0, asked{}, nil, time.Time{}
	}
}

func (c *Credit) account(customer string) *account {
	a := c.accounts[customer]
	if a == nil {
		a = &account{customer: customer}
		c.accounts[customer] = a
	}
	return a
}

func (c *Credit) dropIdle() {
	c.waiting = slices.DeleteFunc(c.waiting, func(a *account) bool {
		if len(a.parked) > 0 {
			return false
		}
		a.parked = nil // frees the array; the answer to an open question serves later requests
		return true
	})
}
