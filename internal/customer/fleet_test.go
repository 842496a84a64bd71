package customer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testTick = 50 * time.Millisecond

// fleet is a number of VMs in failure domains, in virtual time.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	events   []event // the next one last
	sequence int
	terms    Terms
	document uint64
	domains  []string
	regions  int
	vms      []*vm
	members  [][]*vm // by domain
	faulty   bool    // VMs are dead, frozen or cut off from each other, or were
	cutAt    time.Duration
	cut      func(a, b *vm) bool // messages between them are lost
	lost     float64             // probability that a message is
	repeated float64
	measures func(v *vm) // called for each request on its arrival
	sent     []dispatched
	refused  int
	unknown  int
	messages int
	requests int
}

// dispatched is a request that was sent to a server.
type dispatched struct {
	at     time.Duration
	domain int
}

type vm struct {
	domain, index int // index in the domain
	credit        *Credit
	allocator     *Allocator
	lag           time.Duration // by which it learns of others later than at best
	dead          bool
	quietSince    time.Duration // since when it is dead or frozen; 0 for neither
	startedAt     time.Duration
	backAt        time.Duration // since when others may hear it again
	frozenUntil   time.Duration // it runs nothing until then
	view          uint64        // of the fleet, as its allocator was told last
}

// Delays until VMs learn of each other, as in package member.
const (
	deadTime      = 3 * time.Second
	silentTime    = 5 * time.Second // of a failure domain
	settleTime    = time.Second     // after the start of a VM, during which it allocates nothing
	longestLag    = time.Second
	pausedAtLeast = 700 * time.Millisecond
)

// event is something that happens at a time; those of one time in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	run    func()
}

func (e event) compare(other event) int {
	return cmp.Or(cmp.Compare(e.at, other.at), cmp.Compare(e.number, other.number))
}

func newFleet(entries, domains int, terms Terms, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), terms: terms, document: 1, regions: min(4, max(1, domains/2))}
	f.terms.Domains = domains
	for d := range domains {
		f.domains = append(f.domains, fmt.Sprint("d", d))
	}
	for i := range entries {
		v := &vm{domain: i % domains, index: i / domains, startedAt: -time.Minute, backAt: -time.Minute, lag: time.Duration(f.random.Int64N(int64(longestLag)))}
		f.start(v, testStart.Add(-time.Minute))
		f.vms = append(f.vms, v)
		if i < domains {
			f.members = append(f.members, nil)
		}
		f.members[v.domain] = append(f.members[v.domain], v)
	}
	var tick func(i int)
	tick = func(i int) { // one VM after the other
		f.tick(f.vms[i%entries])
		f.after(testTick/time.Duration(entries), func() { tick(i + 1) })
	}
	tick(0)
	for _, v := range f.vms {
		f.learn(v)
	}
	return f
}

func (f *fleet) region(domain int) int { return domain % f.regions }

func (f *fleet) after(d time.Duration, run func()) {
	f.sequence++
	e := event{f.now + d, f.sequence, run}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int { return b.compare(a) })
	f.events = slices.Insert(f.events, i, e)
}

func (f *fleet) time() time.Time { return testStart.Add(f.now) }

func (f *fleet) limit() Limit {
	return Limit{Customer: "acme", Document: f.document, Terms: f.terms, Entries: len(f.vms)}
}

// start gives a VM an empty state.
func (f *fleet) start(v *vm, now time.Time) {
	peer := fmt.Sprint(v.domain, ":", v.index)
	v.credit = NewCredit(peer, uint64(now.UnixMicro()))
	v.allocator = NewAllocator(peer, uint64(now.UnixMicro()), now)
	v.view = 0
}

// hears reports whether a VM takes another one for alive.
func (f *fleet) hears(v, other *vm, silent time.Duration) bool {
	switch {
	case v == other:
		return true
	case other.quietSince > 0 && f.now > other.quietSince+silent+v.lag:
		return false
	case f.cut != nil && f.cut(v, other) && f.now > f.cutAt+silent+v.lag:
		return false
	}
	return other.quietSince > 0 || f.now > other.backAt+v.lag
}

// owner returns the VM of a domain that allocates the customer, as far as a VM knows.
func (f *fleet) owner(domain int, asker *vm) *vm {
	for _, v := range f.members[domain] {
		if f.hears(asker, v, deadTime) {
			return v
		}
	}
	return nil
}

// learn tells the allocator of a VM which domains and VMs of its own are heard.
func (f *fleet) learn(v *vm) {
	heard, view := 0, uint64(1)
	for _, other := range f.members[v.domain] {
		view *= 2
		if f.hears(v, other, deadTime) {
			heard++
			view++
		}
	}
	var others []string
	for d, name := range f.domains {
		switch {
		case d == v.domain || !slices.ContainsFunc(f.members[d], func(other *vm) bool { return f.hears(v, other, silentTime) }):
		case f.region(d) == f.region(v.domain):
			others = slices.Insert(others, 0, name)
		default:
			others = append(others, name)
		}
	}
	if view != v.view {
		v.view = view
		v.allocator.Restart(f.time())
	}
	v.allocator.SetFleet(Fleet{Domain: f.domains[v.domain], Domains: f.domains, Heard: others, Share: float64(heard) / float64(len(f.members[v.domain]))}, f.time())
	v.allocator.Retain(func(string) bool { return f.owner(v.domain, v) == v }, f.time())
}

// divide loses the messages between VMs from now on.
func (f *fleet) divide(cut func(a, b *vm) bool) {
	f.cutAt, f.cut, f.faulty = f.now, cut, true
}

// kill ends a VM, and starts it again after a time.
func (f *fleet) kill(v *vm, downFor time.Duration) {
	v.dead, v.quietSince, f.faulty = true, f.now, true
	f.after(downFor, func() {
		v.dead, v.quietSince, v.startedAt, v.backAt = false, 0, f.now, f.now
		f.start(v, f.time())
	})
}

// freeze stops a VM for a time; it finds out before it handles what arrived meanwhile.
func (f *fleet) freeze(v *vm, d time.Duration) {
	v.frozenUntil, v.quietSince, f.faulty = f.now+d, f.now, true
	f.after(d, func() {
		v.quietSince = 0
		if d >= deadTime {
			v.backAt = f.now
		}
		if d >= pausedAtLeast {
			v.credit.Reset()
			v.allocator.Reset(f.time())
		}
	})
}

func (f *fleet) transmit(from, to *vm, deliver func()) {
	if to == nil || from.dead {
		return
	}
	f.messages++
	copies := 1
	if f.random.Float64() < f.repeated {
		copies = 2
	}
	for range copies {
		latency := 200 * time.Microsecond
		switch {
		case from == to:
			latency = 0
		case f.region(from.domain) != f.region(to.domain):
			latency = 20 * time.Millisecond
		case from.domain != to.domain:
			latency = 2 * time.Millisecond
		}
		latency += time.Duration(f.random.ExpFloat64() * float64(300*time.Microsecond)) // messages overtake each other
		f.after(latency, func() {
			if isLost := f.random.Float64() < f.lost; !isLost && (f.cut == nil || !f.cut(from, to)) {
				f.runOn(to, deliver)
			}
		})
	}
}

// runOn runs something on a VM now, or once it is no longer frozen.
func (f *fleet) runOn(v *vm, run func()) {
	switch {
	case v.dead:
	case f.now < v.frozenUntil:
		f.after(v.frozenUntil-f.now, func() { f.runOn(v, run) })
	default:
		run()
	}
}

func (f *fleet) tick(v *vm) {
	if v.dead || f.now < v.frozenUntil {
		return
	}
	if f.faulty {
		f.learn(v)
	}
	f.unknown += len(v.credit.Expired(f.time()))
	f.flush(v, true)
}

// flush sends what a VM has to send.
func (f *fleet) flush(v *vm, all bool) {
	for _, r := range v.credit.Ask(f.time()) {
		to := f.owner(v.domain, v)
		f.transmit(v, to, func() {
			if !f.allocates(to) {
				return
			}
			if g, answered := to.allocator.Allow(r, f.limit(), f.time()); answered {
				f.answer(to, Answer{r.Peer, g})
			}
			f.flush(to, false)
		})
	}
	for _, r := range v.allocator.Wanted(all, f.time()) {
		to := f.owner(slices.Index(f.domains, r.Domain), v)
		f.transmit(v, to, func() {
			if !f.allocates(to) {
				return
			}
			if g, lent := to.allocator.Lend(r, f.limit(), f.time()); lent {
				f.transmit(to, v, func() {
					v.allocator.TakeLoan(g, f.time())
					f.flush(v, false)
				})
			}
		})
	}
	for _, answer := range v.allocator.Answers(f.time()) {
		f.answer(v, answer)
	}
}

func (f *fleet) answer(v *vm, a Answer) {
	i := slices.IndexFunc(f.vms, func(to *vm) bool { return to.credit.Peer == a.Peer })
	to := f.vms[i]
	f.transmit(v, to, func() {
		ready, refused := to.credit.Receive(a.Grant, f.time())
		f.serve(to, len(ready))
		f.refused += len(refused)
		f.flush(to, false)
	})
}

// allocates reports whether a VM takes itself for the allocator.
func (f *fleet) allocates(v *vm) bool {
	return f.owner(v.domain, v) == v && f.now >= v.startedAt+settleTime
}

func (f *fleet) serve(v *vm, n int) {
	for range n {
		f.sent = append(f.sent, dispatched{f.now, v.domain})
	}
}

func (f *fleet) request(v *vm) {
	f.requests++
	if f.measures != nil {
		f.measures(v)
	}
	f.runOn(v, func() {
		if v.credit.Take(f.limit(), f.time()) {
			f.serve(v, 1)
		} else if _, parked := v.credit.Park("acme", uint64(f.requests), Patience(3*time.Second), f.time()); parked {
			f.flush(v, false)
		} else {
			f.refused++
		}
	})
}

// load sends requests at a rate until a time, each to an entry of the domains chosen then.
func (f *fleet) load(rate float64, until time.Duration, domains func() []int) {
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		chosen := domains()
		members := f.members[chosen[f.random.IntN(len(chosen))]]
		if v := members[f.random.IntN(len(members))]; !v.dead {
			f.request(v)
		}
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(0, next)
}

func (f *fleet) run(until time.Duration) {
	for f.events[len(f.events)-1].at <= until { // the ticks never end
		e := f.events[len(f.events)-1]
		f.events = f.events[:len(f.events)-1]
		f.now = e.at
		e.run()
	}
	f.now = until
}

// most returns the most requests sent in any window.
func most(sent []dispatched, window time.Duration) int {
	most, first := 0, 0
	for i, s := range sent {
		for s.at-sent[first].at >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// reference counts what one token bucket would allow.
type reference struct {
	tokens, rate, burst float64
	at                  time.Duration
	allowed             int
}

func (r *reference) arrive(now time.Duration) {
	r.tokens = math.Min(r.burst, r.tokens+r.rate*(now-r.at).Seconds())
	r.at = now
	if r.tokens >= 1 {
		r.tokens--
		r.allowed++
	}
}
