package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

func sortedTickets(tickets map[uint64]*ticket) []*ticket {
	return slices.SortedFunc(maps.Values(tickets), func(a, b *ticket) int { return cmp.Compare(a.id, b.id) })
}

// Release gives the pool up. Waiting requests are denied with ReasonNotOwner, and
// the Handover lists servers and running requests for the next owner.
func (p *Pool) Release(now time.Time) (Handover, []Effect) {
	handover := Handover{Service: p.Policy.Service}
	for _, s := range p.ownServers() {
		if !now.Before(s.Expires) {
			continue
		}
		handover.Servers = append(handover.Servers, HandedServer{
			Announcement: s.Announcement,
			Remaining:    s.Expires.Sub(now),
			Reserved:     s.Lent,
			Limit:        s.Limit,
		})
	}
	for _, t := range sortedTickets(p.tickets) {
		if t.server.Borrowed(p.Domain) {
			continue
		}
		handover.Tickets = append(handover.Tickets, HandedTicket{
			Ticket:      t.id,
			Server:      t.server.ID,
			From:        t.from,
			Rank:        t.rank,
			Remaining:   t.deadline.Sub(now),
			Fingerprint: t.fingerprint,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(p.queued)) {
		queued := p.queued[id]
		p.deny(queued.request, ReasonNotOwner, minRetryAfter)
	}
	p.queued, p.queueIDs = make(map[uint64]queuedRequest), make(map[requestKey]uint64)
	return handover, p.takeEffects()
}

// TakeOver applies the Handover of the previous owner. Its servers can be used at
// once, because the previous owner has stopped granting their slots. If Running is
// set, only the running requests are taken over.
func (p *Pool) TakeOver(handover Handover, now time.Time) []Effect {
	if handover.Running {
		p.pendingTickets = append(p.pendingTickets, handover.Tickets...)
		p.takeOverPending(now)
		return nil
	}
	p.HoldUntil = time.Time{}
	for _, s := range p.ownServers() {
		s.UsableAt = time.Time{}
	}
	for _, handed := range handover.Servers {
		s := p.Routing.Find(handed.Announcement.ID)
		if s == nil {
			s = p.Routing.Announce(handed.Announcement, time.Time{}, now.Add(-p.Policy.WarmUp))
			s.Expires = now.Add(handed.Remaining)
		}
		s.SetLimit(handed.Limit, now)
		if handed.Reserved > 0 {
			p.reserveHandedOver(handed, now)
		}
	}
	for _, handed := range handover.Tickets {
		p.takeOverTicket(handed, now)
	}
	p.updateLent()
	p.Routing.Refresh(now)
	p.resizeQueue()
	p.grantWaiting(now)
	return p.takeEffects()
}

// reserveHandedOver reserves slots that the previous owner had lent until that
// loan must have expired. They are kept as a loan to a lessee named "handover".
func (p *Pool) reserveHandedOver(handed HandedServer, now time.Time) {
	l := p.loanTo("handover")
	l.reservedUntil = now.Add(time.Duration(float64(loanTTL)*reserveFactor) + p.Policy.Target)
	l.slots = append(l.slots, lentSlots{server: handed.Announcement.ID, reserved: handed.Reserved})
}

// takeOverPending takes over running requests whose servers are known; the others
// wait for the announcement of theirs.
func (p *Pool) takeOverPending(now time.Time) {
	p.pendingTickets = slices.DeleteFunc(p.pendingTickets, func(handed HandedTicket) bool {
		if p.Routing.Find(handed.Server) == nil {
			return false
		}
		p.takeOverTicket(handed, now)
		return true
	})
}

func (p *Pool) takeOverTicket(handed HandedTicket, now time.Time) {
	s := p.Routing.Find(handed.Server)
	if s == nil || p.tickets[handed.Ticket] != nil {
		return
	}
	rank := min(handed.Rank, len(p.Policy.Ranks)-1)
	p.tickets[handed.Ticket] = &ticket{
		id:          handed.Ticket,
		server:      s,
		rank:        rank,
		from:        handed.From,
		grantedAt:   now,
		deadline:    now.Add(handed.Remaining),
		fingerprint: handed.Fingerprint,
	}
	p.Routing.Begin(s)
	p.Queue.Begin(rank)
}

// Summary is the state of a pool that other failure domains receive.
type Summary struct {
	Service  string
	Capacity int           // usable slots of own servers
	InUse    int           // slots of own servers in use by the own failure domain
	Waiting  int           // requests in the queue
	Spare    int           // slots that could be lent
	Rate     float64       // requests per second
	Mean     time.Duration // mean time for which a request uses a slot
	Spilled  float64       // share of the last interval's requests that ran on borrowed slots
	Servers  int           // own servers
}

// Summary returns the current Summary of the pool.
func (p *Pool) Summary() Summary {
	return Summary{
		Service:  p.Policy.Service,
		Capacity: p.Routing.OwnCapacity(),
		InUse:    p.ownInUse(),
		Waiting:  p.Queue.TotalWaiting(),
		Spare:    p.SpareSlots(),
		Rate:     p.arrivalRate,
		Mean:     p.Queue.MeanServiceTime(),
		Spilled:  p.SpillLimiter.Share(),
		Servers:  len(p.ownServers()),
	}
}

// ApplyStops marks the servers that planned stops cover, and drains new ones.
func (p *Pool) ApplyStops(covers func(server string) bool, now time.Time) {
	for _, s := range p.ownServers() {
		stopped := covers(s.ID)
		if stopped && !s.Stopped {
			p.draining = append(p.draining, drainingServer{id: s.ID, drainingSince: now})
			p.revokeLoans(s.ID, now)
		}
		s.Stopped = stopped
	}
}

// ExpireServers expires all announcements and borrowed slots after this VM was
// paused: servers must announce themselves again, and lenders answer again, before
// new requests are granted.
func (p *Pool) ExpireServers(now time.Time) {
	for _, s := range p.Routing.Servers {
		s.Expires = now
	}
	p.Routing.Refresh(now)
}

// ServerView describes one server for status pages.
type ServerView struct {
	ID       string        `json:"id"`
	Address  string        `json:"address"`
	Domain   string        `json:"domain"`
	State    routing.State `json:"state"`
	Slots    int           `json:"slots"`
	Usable   int           `json:"usable"` // slots that may be in use now
	Inflight int           `json:"inflight"`
	Lent     int           `json:"lent"`
	Limit    routing.Limit `json:"limit"`
}

// Servers lists the servers for status pages.
func (p *Pool) Servers(now time.Time) []ServerView {
	var views []ServerView
	for _, s := range p.Routing.Servers {
		views = append(views, ServerView{
			ID:       s.ID,
			Address:  s.Address,
			Domain:   s.Domain,
			State:    s.State,
			Slots:    s.Slots,
			Usable:   s.UsableSlots(now, p.Policy.WarmUp),
			Inflight: s.Inflight,
			Lent:     s.Lent,
			Limit:    s.Limit,
		})
	}
	return views
}
