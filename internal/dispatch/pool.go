package dispatch

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/admission"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/shift"
)

// Policy is what the steering document says about one service.
type Policy struct {
	Service       string
	Ranks         []admission.Rank
	QueuePerSlot  int     // waiting requests per slot and rank
	Headroom      float64 // share of the own slots that is never lent
	ShiftCap      float64 // share of the traffic that may move per Interval
	ShiftInterval time.Duration
	WarmUp        time.Duration
	TypicalTime   time.Duration // usual time of a request
	Target        time.Duration // longest time of one request
	ShedStatuses  []int
	AnswerBytes   int64 // of a typical answer
}

// ticket is one grant in use.
type ticket struct {
	id          uint64
	server      *routing.Server
	rank        int
	from        string
	began       time.Time
	deadline    time.Time
	fingerprint uint64
}

// waiting is what is kept of a queued Ask.
type waiting struct {
	ask  SlotRequest
	rank int
}

// Pool is the owner's state for one service.
type Pool struct {
	Location
	Policy     Policy
	Routing    routing.Pool
	Queue      *admission.Queue
	Quarantine *quarantine.Table // shared by the pools of a VM
	Spill      shift.Limiter
	Lenders    []Neighbour // other failure domains, nearest first

	HoldUntil time.Time // new servers are not used before; see Adopt

	asks       map[uint64]waiting // by queue id
	asked      map[askKey]uint64  // queue id by asker
	tickets    map[uint64]*ticket
	nextTicket uint64
	nextQueue  uint64
	borrowed   []borrowing
	loans      []loan
	orphans    []HandedTicket // running requests of servers not announced here yet
	leaving    []leavingServer
	wantDue    time.Time
	lastNeed   int
	arrived    int
	rate       float64
	effects    []Effect
}

type askKey struct {
	from string
	id   uint64
}

type leavingServer struct {
	id    string
	since time.Time
}

// Neighbour is another failure domain that may lend slots.
type Neighbour struct {
	Domain string
	Region string
	OneWay time.Duration
	Spare  int // slots it says it could lend
}

// Location is where a pool runs.
type Location struct {
	VM     string
	Peer   string // host:port for calls between VMs
	Domain string
	Region string
}

// NewPool returns the pool of a service; ticketBase makes tickets unique over
// restarts.
func NewPool(policy Policy, place Location, table *quarantine.Table, ticketBase uint64) *Pool {
	p := &Pool{
		Location:   place,
		Quarantine: table,
		Queue:      admission.New(policy.Ranks, 1),
		asks:       make(map[uint64]waiting),
		asked:      make(map[askKey]uint64),
		tickets:    make(map[uint64]*ticket),
		nextTicket: ticketBase,
	}
	p.Routing.Domain = place.Domain
	p.Configure(policy)
	return p
}

const minQueue = 16 // waiting requests of one rank, however small the pool

// Configure takes over a changed policy.
func (p *Pool) Configure(policy Policy) {
	p.Policy = policy
	p.Routing.WarmUp = policy.WarmUp
	p.Queue.TypicalTime = policy.TypicalTime
	p.Spill.Cap = policy.ShiftCap * shift.SpillShare
	p.Spill.Interval = policy.ShiftInterval
	p.limitQueue()
}

func (p *Pool) limitQueue() {
	limit := max(minQueue, p.Policy.QueuePerSlot*p.Routing.Capacity())
	p.Queue.Configure(p.Policy.Ranks, limit)
}

func (p *Pool) take() []Effect {
	effects := p.effects
	p.effects = nil
	return effects
}

func (p *Pool) emit(effect Effect) { p.effects = append(p.effects, effect) }

func (p *Pool) deny(ask SlotRequest, reason Reason, retryAfter time.Duration) {
	p.emit(Reply{
		To:        ask.From,
		RequestID: ask.ID,
		Answer:    Answer{Denial: &Denial{Reason: reason, RetryAfter: clampRetry(retryAfter)}},
	})
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// RequestSlot handles a request for a slot: an immediate grant, a place in the queue,
// or a refusal.
func (p *Pool) RequestSlot(ask SlotRequest, now time.Time) []Effect {
	p.arrived++
	p.tickSpill(now)
	p.Spill.CountRequest()
	ask.Rank = min(max(ask.Rank, 0), len(p.Policy.Ranks)-1)
	switch p.Quarantine.Check(ask.Fingerprint, now) {
	case quarantine.Barred:
		p.deny(ask, ReasonQuarantined, maxRetryAfter)
		return p.take()
	case quarantine.Wait:
		p.deny(ask, ReasonSuspected, time.Second)
		return p.take()
	}
	if p.hopeless(now) {
		p.deny(ask, ReasonNoServers, time.Second)
		return p.take()
	}
	p.enqueue(ask, now)
	p.serve(now)
	return p.take()
}

func (p *Pool) tickSpill(now time.Time) {
	if closed, over := p.Spill.Tick(now); over && closed.Shifted > 0 {
		p.emit(SpillReport{Service: p.Policy.Service, Closed: closed})
	}
}

// hopeless reports that no slot is in sight: no server here and nobody to
// borrow from.
func (p *Pool) hopeless(now time.Time) bool {
	if p.Routing.Capacity() > 0 || now.Before(p.HoldUntil) {
		return false
	}
	for _, s := range p.Routing.Servers {
		if s.State != routing.StateLeaving && !s.Stopped && now.Before(s.Expires) {
			return false
		}
	}
	for _, neighbour := range p.Lenders {
		if neighbour.Spare > 0 {
			return false
		}
	}
	return true
}

func (p *Pool) enqueue(ask SlotRequest, now time.Time) {
	p.nextQueue++
	item := &admission.Item{
		ID:       p.nextQueue,
		Rank:     ask.Rank,
		Arrived:  now,
		Deadline: now.Add(ask.Remaining),
	}
	verdict, wait := p.Queue.Push(item, now, p.Routing.Capacity())
	switch verdict {
	case admission.Full:
		p.deny(ask, ReasonQueueFull, wait)
	case admission.TooLate:
		p.deny(ask, ReasonDeadline, wait)
	default:
		p.asks[item.ID] = waiting{ask: ask, rank: ask.Rank}
		p.asked[askKey{ask.From, ask.ID}] = item.ID
	}
}

// Cancel withdraws an Ask: one that waits leaves the queue, one that was
// granted meanwhile is ended by its Finish.
func (p *Pool) Cancel(from string, id uint64) {
	key := askKey{from, id}
	queued, found := p.asked[key]
	if !found {
		return
	}
	p.Queue.Cancel(queued)
	delete(p.asked, key)
	delete(p.asks, queued)
}

// serve grants free slots to waiting requests, the most entitled first.
func (p *Pool) serve(now time.Time) {
	for p.Queue.TotalWaiting() > 0 {
		capacity := p.Routing.Capacity()
		server := p.freeServer(p.Queue.Peek(capacity))
		if server == nil {
			return
		}
		item := p.Queue.Next(capacity)
		entry := p.asks[item.ID]
		delete(p.asks, item.ID)
		delete(p.asked, askKey{entry.ask.From, entry.ask.ID})
		p.start(entry.ask, item, server, now)
	}
}

// freeServer returns a server with a free slot: an own one, or else a leased one
// if the rank may spill.
func (p *Pool) freeServer(rank int) *routing.Server {
	if own := p.Routing.Choose(nil, false); own != nil {
		return own
	}
	leased := p.Routing.Choose(nil, true)
	if leased == nil || !p.Spill.AllowShift(rank) {
		return nil
	}
	return leased
}

func (p *Pool) start(ask SlotRequest, item *admission.Item, server *routing.Server, now time.Time) {
	verdict := p.Quarantine.Check(ask.Fingerprint, now)
	if verdict == quarantine.Wait || verdict == quarantine.Barred {
		p.deny(ask, ReasonSuspected, time.Second)
		return
	}
	if slices.Contains(ask.Exclude, server.ID) {
		if other := p.Routing.Choose(ask.Exclude, server.Borrowed(p.Domain)); other != nil {
			server = other
		}
	}
	p.nextTicket++
	t := &ticket{
		id:          p.nextTicket,
		server:      server,
		rank:        ask.Rank,
		from:        ask.From,
		began:       now,
		deadline:    item.Deadline,
		fingerprint: ask.Fingerprint,
	}
	p.tickets[t.id] = t
	p.Routing.Begin(server)
	p.Queue.Begin(ask.Rank)
	if verdict == quarantine.Trial {
		p.Quarantine.BeginTrial(ask.Fingerprint, t.id)
	}
	elsewhere := server.Borrowed(p.Domain)
	if elsewhere {
		p.Spill.CountShift(ask.Rank)
	}
	p.emit(Reply{To: ask.From, RequestID: ask.ID, Answer: Answer{Grant: &Grant{
		Ticket:  t.id,
		Server:  server.ID,
		Address: server.Address,
		Domain:  server.Domain,
		Shifted: elsewhere,
	}}})
}

// Finish ends a grant and learns from its result.
func (p *Pool) Finish(finish Finish, now time.Time) []Effect {
	t := p.tickets[finish.Ticket]
	if t == nil {
		return nil
	}
	delete(p.tickets, finish.Ticket)
	p.Routing.End(t.server, finish.Result, finish.Latency, now)
	held := time.Duration(0)
	if finish.Result.MayHaveRun() {
		held = now.Sub(t.began)
	}
	p.Queue.End(t.rank, held)
	p.learn(t, finish.Result, now)
	p.serve(now)
	p.finishDrains(now)
	return p.take()
}

func (p *Pool) learn(t *ticket, result routing.Result, now time.Time) {
	switch result {
	case routing.ResultOK, routing.ResultError:
		p.Quarantine.RecordSurvival(t.fingerprint)
	case routing.ResultBroken:
		phase := p.Quarantine.RecordDeath(t.fingerprint, t.id, now)
		if phase != quarantine.Clear {
			p.emit(QuarantineChange{Service: p.Policy.Service, Fingerprint: t.fingerprint, Phase: phase, Server: t.server.ID})
		}
		p.Routing.EjectBroken(t.server.ID, now)
	default:
		p.Quarantine.EndTrial(t.fingerprint, t.id)
	}
}

// Announce adds, renews or retires an own server.
func (p *Pool) Announce(a routing.Announcement, now time.Time) []Effect {
	before := p.Routing.Find(a.ID)
	leaving := before != nil && before.State != routing.StateLeaving && a.State == routing.StateLeaving
	if before == nil && a.State == routing.StateLeaving {
		return nil
	}
	p.Routing.Announce(a, p.HoldUntil, now)
	if before == nil {
		p.adoptOrphans(now)
	}
	if leaving {
		p.leaving = append(p.leaving, leavingServer{id: a.ID, since: now})
		p.revoke(a.ID, now)
	}
	p.limitQueue()
	p.serve(now)
	p.finishDrains(now)
	return p.take()
}

// RetireServer handles a server's own word that it is gone.
func (p *Pool) RetireServer(id string, now time.Time) []Effect {
	if s := p.Routing.Find(id); s != nil && s.State != routing.StateLeaving {
		p.leaving = append(p.leaving, leavingServer{id: id, since: now})
		p.Routing.Drain(id)
		p.revoke(id, now)
	}
	p.finishDrains(now)
	return p.take()
}

// finishDrains reports servers that stopped taking work and now run nothing.
func (p *Pool) finishDrains(now time.Time) {
	p.leaving = slices.DeleteFunc(p.leaving, func(l leavingServer) bool {
		s := p.Routing.Find(l.id)
		draining := s != nil && (s.Stopped || s.State == routing.StateLeaving)
		if draining && (s.Inflight > 0 || s.Lent > 0) {
			return false
		}
		if s == nil || draining {
			p.emit(ServerDrained{Service: p.Policy.Service, Server: l.id, Took: now.Sub(l.since)})
		}
		return true
	})
}

const (
	ticketGrace = 5 * time.Second // after the deadline, before a silent grant is ended
	rateWeight  = 0.2
)

// Tick brings everything that follows the clock up to date.
func (p *Pool) Tick(now time.Time, elapsed time.Duration) []Effect {
	p.tickSpill(now)
	p.Routing.MarkSlow()
	p.Routing.Refresh(now)
	p.Routing.Sweep(now)
	p.endSilent(now)
	p.tickLoans(now)
	p.tickBorrowing(now)
	p.limitQueue()
	for _, item := range p.Queue.Tick(now, p.Routing.Capacity()) {
		p.denyWaiting(item.ID, ReasonDeadline, p.Queue.EstimateWait(item.Rank, p.Routing.Capacity()))
	}
	if seconds := elapsed.Seconds(); seconds > 0 {
		p.rate += rateWeight * (float64(p.arrived)/seconds - p.rate)
		p.arrived = 0
	}
	p.serve(now)
	p.finishDrains(now)
	return p.take()
}

func (p *Pool) denyWaiting(id uint64, reason Reason, retryAfter time.Duration) {
	entry, found := p.asks[id]
	if !found {
		return
	}
	if reason == ReasonDeadline && p.Routing.Choose(nil, true) != nil {
		reason = ReasonShiftCap
	}
	delete(p.asks, id)
	delete(p.asked, askKey{entry.ask.From, entry.ask.ID})
	p.deny(entry.ask, reason, retryAfter)
}

// endSilent ends grants whose entry said nothing long after the deadline.
func (p *Pool) endSilent(now time.Time) {
	for _, t := range sortedTickets(p.tickets) {
		if now.Sub(t.deadline) > ticketGrace {
			p.drop(t)
		}
	}
}

func (p *Pool) drop(t *ticket) {
	delete(p.tickets, t.id)
	t.server.Inflight = max(0, t.server.Inflight-1)
	p.Queue.End(t.rank, 0)
	p.Quarantine.EndTrial(t.fingerprint, t.id)
}

// EndVMGrants ends the grants of a VM that is gone.
func (p *Pool) EndVMGrants(vm string, now time.Time) []Effect {
	for _, t := range sortedTickets(p.tickets) {
		if t.from == vm {
			p.drop(t)
		}
	}
	p.serve(now)
	return p.take()
}
