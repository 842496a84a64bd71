package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/admission"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/shift"
)

// Policy holds what the steering document says about one service.
type Policy struct {
	Service       string
	Ranks         []admission.Rank
	QueuePerSlot  int     // waiting requests per slot and rank
	Headroom      float64 // share of own slots that is never lent
	ShiftCap      float64 // share of the traffic that may move to other failure domains per ShiftInterval
	ShiftInterval time.Duration
	WarmUp        time.Duration // time in which the slots of a new server rise to their full number
	TypicalTime   time.Duration // usual run time of a request, until one is measured
	Target        time.Duration // longest time that one request may take
	ShedStatuses  []int         // HTTP status codes by which a backend server refuses a request without running it
	AnswerBytes   int64         // size of a typical answer
}

// ticket is a grant whose request has not ended.
type ticket struct {
	id          uint64
	server      *routing.Server
	rank        int
	from        string
	grantedAt   time.Time
	deadline    time.Time
	fingerprint uint64
}

// queuedRequest is a SlotRequest in the queue.
type queuedRequest struct {
	request SlotRequest
	rank    int
}

// Pool holds the owner's state for one service.
type Pool struct {
	Location
	Policy       Policy
	Routing      routing.Pool // servers, own and borrowed
	Queue        *admission.Queue
	Quarantine   *quarantine.Table // shared by the pools of a VM
	SpillLimiter shift.Limiter
	Lenders      []Neighbour // failure domains that may lend slots, nearest first

	// HoldUntil is the time before which new servers get no requests, because the
	// previous owner may still grant their slots. TakeOver clears it.
	HoldUntil time.Time

	queued            map[uint64]queuedRequest // by id of the queue item
	queueIDs          map[requestKey]uint64    // id of the queue item by requesting VM and its request id
	tickets           map[uint64]*ticket
	lastTicket        uint64
	lastQueueID       uint64
	borrowings        []borrowing
	loans             []loan
	pendingTickets    []HandedTicket // running requests on servers that have not announced themselves here yet
	draining          []drainingServer
	nextLoanRequestAt time.Time
	lastNeeded        int      // slots needed at the last loan request
	arrivals          int      // requests since the last tick
	arrivalRate       float64  // requests per second, moving average
	effects           []Effect // of the call in progress
}

type requestKey struct {
	from string
	id   uint64
}

type drainingServer struct {
	id            string
	drainingSince time.Time
}

// Neighbour is another failure domain that may lend slots.
type Neighbour struct {
	Domain string
	Region string
	OneWay time.Duration
	Spare  int // slots that it reports as free to lend
}

// Location is the VM, failure domain and region in which a pool runs.
type Location struct {
	VM     string
	Peer   string // host:port for calls between VMs
	Domain string
	Region string
}

// NewPool returns the pool of a service. Tickets count up from ticketBase, which
// keeps them unique across restarts.
func NewPool(policy Policy, location Location, table *quarantine.Table, ticketBase uint64) *Pool {
	p := &Pool{
		Location:   location,
		Quarantine: table,
		Queue:      admission.New(policy.Ranks, 1),
		queued:     make(map[uint64]queuedRequest),
		queueIDs:   make(map[requestKey]uint64),
		tickets:    make(map[uint64]*ticket),
		lastTicket: ticketBase,
	}
	p.Routing.Domain = location.Domain
	p.Configure(policy)
	return p
}

const minQueueLimit = 16 // waiting requests of one rank that are allowed even for a small pool

// Configure applies a new or changed policy.
func (p *Pool) Configure(policy Policy) {
	p.Policy = policy
	p.Routing.WarmUp = policy.WarmUp
	p.Queue.TypicalTime = policy.TypicalTime
	p.SpillLimiter.Cap = policy.ShiftCap * shift.SpillShare
	p.SpillLimiter.Interval = policy.ShiftInterval
	p.resizeQueue()
}

func (p *Pool) resizeQueue() {
	limit := max(minQueueLimit, p.Policy.QueuePerSlot*p.Routing.Capacity())
	p.Queue.Configure(p.Policy.Ranks, limit)
}

func (p *Pool) takeEffects() []Effect {
	effects := p.effects
	p.effects = nil
	return effects
}

func (p *Pool) emit(effect Effect) { p.effects = append(p.effects, effect) }

func (p *Pool) deny(request SlotRequest, reason Reason, retryAfter time.Duration) {
	p.emit(Reply{
		To:        request.From,
		RequestID: request.ID,
		Answer:    Answer{Denial: &Denial{Reason: reason, RetryAfter: clampRetry(retryAfter)}},
	})
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// RequestSlot handles a request for a slot: it grants a slot, queues the request
// or denies it.
func (p *Pool) RequestSlot(request SlotRequest, now time.Time) []Effect {
	p.arrivals++
	p.closeSpillInterval(now)
	p.SpillLimiter.CountRequest()
	request.Rank = min(max(request.Rank, 0), len(p.Policy.Ranks)-1)
	switch p.Quarantine.Check(request.Fingerprint, now) {
	case quarantine.Barred:
		p.deny(request, ReasonQuarantined, maxRetryAfter)
		return p.takeEffects()
	case quarantine.Wait:
		p.deny(request, ReasonSuspected, time.Second)
		return p.takeEffects()
	}
	if p.hasNoServer(now) {
		p.deny(request, ReasonNoServers, time.Second)
		return p.takeEffects()
	}
	if stay := p.Routing.SoonestStayAway(now); stay >= request.Remaining && p.slotsNeeded() == 0 && !p.hasLender() {
		p.deny(request, ReasonNoServers, stay)
		return p.takeEffects()
	}
	if wait := p.Routing.LimitedWait(p.Queue.WaitingBefore(request.Rank), now); wait > request.Remaining && !p.hasLender() {
		p.deny(request, ReasonQueueFull, wait)
		return p.takeEffects()
	}
	p.enqueue(request, now)
	p.grantWaiting(now)
	return p.takeEffects()
}

func (p *Pool) closeSpillInterval(now time.Time) {
	if stats, over := p.SpillLimiter.Tick(now); over && stats.Shifted > 0 {
		p.emit(SpillReport{Service: p.Policy.Service, Stats: stats})
	}
}

// hasNoServer reports whether no slot can become free: there is no server here
// and no failure domain to borrow from.
func (p *Pool) hasNoServer(now time.Time) bool {
	if p.Routing.Capacity() > 0 || now.Before(p.HoldUntil) {
		return false
	}
	for _, s := range p.Routing.Servers {
		if s.State != routing.StateLeaving && !s.SaidLeaving() && !s.Stopped && now.Before(s.Expires) {
			return false
		}
	}
	return !p.hasLender()
}

// hasLender reports whether another failure domain has slots to lend.
func (p *Pool) hasLender() bool {
	for _, neighbour := range p.Lenders {
		if neighbour.Spare > 0 {
			return true
		}
	}
	return false
}

func (p *Pool) enqueue(request SlotRequest, now time.Time) {
	p.lastQueueID++
	item := &admission.Item{
		ID:       p.lastQueueID,
		Rank:     request.Rank,
		Arrived:  now,
		Deadline: now.Add(request.Remaining),
	}
	verdict, wait := p.Queue.Push(item, now, p.Routing.Capacity())
	switch verdict {
	case admission.Full:
		p.deny(request, ReasonQueueFull, wait)
	case admission.TooLate:
		p.deny(request, ReasonDeadline, wait)
	default:
		p.queued[item.ID] = queuedRequest{request: request, rank: request.Rank}
		p.queueIDs[requestKey{request.From, request.ID}] = item.ID
	}
}

// Cancel withdraws a SlotRequest. If it waits, it leaves the queue; if it was
// granted meanwhile, its Finish ends the grant.
func (p *Pool) Cancel(from string, id uint64) {
	key := requestKey{from, id}
	itemID, found := p.queueIDs[key]
	if !found {
		return
	}
	p.Queue.Cancel(itemID)
	delete(p.queueIDs, key)
	delete(p.queued, itemID)
}

// grantWaiting grants free slots to waiting requests in the order of the
// admission queue.
func (p *Pool) grantWaiting(now time.Time) {
	for p.Queue.TotalWaiting() > 0 {
		capacity := p.Routing.Capacity()
		server := p.freeServer(p.Queue.PeekRank(capacity))
		if server == nil {
			return
		}
		item := p.Queue.Next(capacity)
		queued := p.queued[item.ID]
		delete(p.queued, item.ID)
		delete(p.queueIDs, requestKey{queued.request.From, queued.request.ID})
		p.grant(queued.request, item, server, now)
	}
}

// freeServer returns a server with a free slot: an own one, or else a borrowed
// one if the spill limit allows the rank.
func (p *Pool) freeServer(rank int) *routing.Server {
	if own := p.Routing.Choose(nil, false); own != nil {
		return own
	}
	borrowed := p.Routing.Choose(nil, true)
	if borrowed == nil || !p.SpillLimiter.AllowShift(rank) {
		return nil
	}
	return borrowed
}

func (p *Pool) grant(request SlotRequest, item *admission.Item, server *routing.Server, now time.Time) {
	verdict := p.Quarantine.Check(request.Fingerprint, now)
	if verdict == quarantine.Wait || verdict == quarantine.Barred {
		p.deny(request, ReasonSuspected, time.Second)
		return
	}
	if slices.Contains(request.Exclude, server.ID) {
		if other := p.Routing.Choose(request.Exclude, server.Borrowed(p.Domain)); other != nil {
			server = other
		}
	}
	p.lastTicket++
	t := &ticket{
		id:          p.lastTicket,
		server:      server,
		rank:        item.Rank,
		from:        request.From,
		grantedAt:   now,
		deadline:    item.Deadline,
		fingerprint: request.Fingerprint,
	}
	p.tickets[t.id] = t
	p.Routing.Begin(server)
	p.Queue.Begin(item.Rank)
	if verdict == quarantine.Trial {
		p.Quarantine.BeginTrial(request.Fingerprint, t.id)
	}
	shifted := server.Borrowed(p.Domain)
	if shifted {
		p.SpillLimiter.CountShift(item.Rank)
	}
	p.emit(Reply{To: request.From, RequestID: request.ID, Answer: Answer{Grant: &Grant{
		Ticket:  t.id,
		Server:  server.ID,
		Address: server.Address,
		Domain:  server.Domain,
		Shifted: shifted,
		Limit:   server.Limit,
	}}})
}

// Finish ends a grant and updates the routing and the quarantine from its
// result.
func (p *Pool) Finish(finish Finish, now time.Time) []Effect {
	t := p.tickets[finish.Ticket]
	if t == nil {
		return nil
	}
	delete(p.tickets, finish.Ticket)
	p.Routing.End(t.server, finish.Result, finish.Latency, now)
	slotTime := time.Duration(0)
	if finish.Result.MayHaveRun() {
		slotTime = now.Sub(t.grantedAt)
	}
	p.Queue.End(t.rank, slotTime)
	p.recordResult(t, finish.Result, now)
	p.grantWaiting(now)
	p.reportDrained(now)
	return p.takeEffects()
}

func (p *Pool) recordResult(t *ticket, result routing.Result, now time.Time) {
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

// Announce handles the announcement of an own server, which adds, renews or
// drains it.
func (p *Pool) Announce(a routing.Announcement, now time.Time) []Effect {
	before := p.Routing.Find(a.ID)
	leaving := before != nil && before.State != routing.StateLeaving && a.State == routing.StateLeaving
	if before == nil && a.State == routing.StateLeaving {
		return nil
	}
	p.Routing.Announce(a, p.HoldUntil, now)
	if before == nil {
		p.takeOverPending(now)
	}
	if leaving {
		p.draining = append(p.draining, drainingServer{id: a.ID, drainingSince: now})
		p.revokeLoans(a.ID, now)
	}
	p.resizeQueue()
	p.grantWaiting(now)
	p.reportDrained(now)
	return p.takeEffects()
}

// RetireServer handles a server's notice that it has stopped.
func (p *Pool) RetireServer(id string, now time.Time) []Effect {
	if s := p.Routing.Find(id); s != nil && s.State != routing.StateLeaving {
		p.draining = append(p.draining, drainingServer{id: id, drainingSince: now})
		p.Routing.Drain(id)
		p.revokeLoans(id, now)
	}
	p.reportDrained(now)
	return p.takeEffects()
}

// Note applies what a server said about itself in an answer, and passes it on to the
// owner of a borrowed server.
func (p *Pool) Note(notice ServerNotice, now time.Time) []Effect {
	s := p.Routing.Find(notice.Server)
	if s == nil {
		return nil
	}
	first := notice.Leaving && !s.SaidLeaving()
	limited := notice.Limit.Named && !s.Limit.Named
	p.Routing.Note(notice.Server, notice.Notice, now)
	if limited {
		p.revokeLoans(notice.Server, now)
	}
	switch {
	case s.Borrowed(p.Domain):
		notice.Server = strings.TrimPrefix(notice.Server, borrowedPrefix(s.Domain))
		p.emit(SendNotice{Domain: s.Domain, Notice: notice})
	case first:
		p.draining = append(p.draining, drainingServer{id: notice.Server, drainingSince: now})
		p.revokeLoans(notice.Server, now)
	}
	p.resizeQueue()
	p.reportDrained(now)
	return p.takeEffects()
}

// reportDrained reports leaving and stopped servers that have no running requests
// left.
func (p *Pool) reportDrained(now time.Time) {
	p.draining = slices.DeleteFunc(p.draining, func(d drainingServer) bool {
		s := p.Routing.Find(d.id)
		draining := s != nil && (s.Stopped || s.State == routing.StateLeaving || s.SaidLeaving())
		if draining && (s.Inflight > 0 || s.Lent > 0) {
			return false
		}
		if s == nil || draining {
			p.emit(ServerDrained{Service: p.Policy.Service, Server: d.id, Took: now.Sub(d.drainingSince)})
		}
		return true
	})
}

const (
	ticketGrace       = 5 * time.Second // after the deadline, before a grant without a Finish is ended
	arrivalRateWeight = 0.2             // of a new value in the moving average
)

// Tick updates everything that depends on time. elapsed is the time since the
// last Tick.
func (p *Pool) Tick(now time.Time, elapsed time.Duration) []Effect {
	p.closeSpillInterval(now)
	p.Routing.MarkSlow()
	p.Routing.Refresh(now)
	p.Routing.RemoveGone(now)
	p.endOverdueGrants(now)
	p.expireLoans(now)
	p.requestLoans(now)
	p.resizeQueue()
	for _, item := range p.Queue.Tick(now, p.Routing.Capacity()) {
		p.denyQueued(item.ID, ReasonDeadline, p.Queue.EstimateWait(item.Rank, p.Routing.Capacity()))
	}
	if seconds := elapsed.Seconds(); seconds > 0 {
		p.arrivalRate += arrivalRateWeight * (float64(p.arrivals)/seconds - p.arrivalRate)
		p.arrivals = 0
	}
	p.grantWaiting(now)
	p.reportDrained(now)
	return p.takeEffects()
}

func (p *Pool) denyQueued(id uint64, reason Reason, retryAfter time.Duration) {
	queued, found := p.queued[id]
	if !found {
		return
	}
	if reason == ReasonDeadline && p.Routing.Choose(nil, true) != nil {
		reason = ReasonShiftCap
	}
	delete(p.queued, id)
	delete(p.queueIDs, requestKey{queued.request.From, queued.request.ID})
	p.deny(queued.request, reason, retryAfter)
}

// endOverdueGrants ends grants whose entry sent no Finish within ticketGrace after
// the deadline.
func (p *Pool) endOverdueGrants(now time.Time) {
	for _, t := range sortedTickets(p.tickets) {
		if now.Sub(t.deadline) > ticketGrace {
			p.dropTicket(t)
		}
	}
}

func (p *Pool) dropTicket(t *ticket) {
	delete(p.tickets, t.id)
	t.server.Inflight = max(0, t.server.Inflight-1)
	p.Queue.End(t.rank, 0)
	p.Quarantine.EndTrial(t.fingerprint, t.id)
}

// EndVMGrants ends the grants of a VM that failed.
func (p *Pool) EndVMGrants(vm string, now time.Time) []Effect {
	for _, t := range sortedTickets(p.tickets) {
		if t.from == vm {
			p.dropTicket(t)
		}
	}
	p.grantWaiting(now)
	return p.takeEffects()
}
