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

// Release gives the pool up: waiting requests are answered with NotOwner, and
// the Handover tells the next owner what still runs.
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
	for _, id := range slices.Sorted(maps.Keys(p.asks)) {
		entry := p.asks[id]
		p.deny(entry.ask, ReasonNotOwner, minRetryAfter)
	}
	p.asks, p.asked = make(map[uint64]waiting), make(map[askKey]uint64)
	return handover, p.take()
}

// TakeOver takes over the pool of the owner before. Its servers can be used at
// once, because it said that it grants nothing any more.
func (p *Pool) TakeOver(handover Handover, now time.Time) []Effect {
	if handover.Running {
		p.orphans = append(p.orphans, handover.Tickets...)
		p.adoptOrphans(now)
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
		if handed.Reserved > 0 {
			p.reserveHanded(handed, now)
		}
	}
	for _, handed := range handover.Tickets {
		p.adoptTicket(handed, now)
	}
	p.countLent()
	p.Routing.Refresh(now)
	p.limitQueue()
	p.serve(now)
	return p.take()
}

// reserveHanded keeps slots that the owner before had lent reserved until that
// loan must have run out.
func (p *Pool) reserveHanded(handed HandedServer, now time.Time) {
	l := p.loanOf("handover")
	l.until = now.Add(time.Duration(float64(loanTTL)*reserveFactor) + p.Policy.Target)
	l.slots = append(l.slots, lentSlots{server: handed.Announcement.ID, reserved: handed.Reserved})
}

// adoptOrphans takes over running requests whose servers are known by now; the
// others wait for the announcement of theirs.
func (p *Pool) adoptOrphans(now time.Time) {
	p.orphans = slices.DeleteFunc(p.orphans, func(handed HandedTicket) bool {
		if p.Routing.Find(handed.Server) == nil {
			return false
		}
		p.adoptTicket(handed, now)
		return true
	})
}

func (p *Pool) adoptTicket(handed HandedTicket, now time.Time) {
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
		began:       now,
		deadline:    now.Add(handed.Remaining),
		fingerprint: handed.Fingerprint,
	}
	p.Routing.Begin(s)
	p.Queue.Begin(rank)
}

// Summary is what other failure domains learn of a pool.
type Summary struct {
	Service  string
	Capacity int
	InUse    int
	Waiting  int
	Spare    int
	Rate     float64       // requests per second
	Mean     time.Duration // in a slot
	Spilled  float64       // share of the last interval's requests that ran on leased slots
	Servers  int
}

// Summary returns the state of the pool in numbers.
func (p *Pool) Summary() Summary {
	return Summary{
		Service:  p.Policy.Service,
		Capacity: p.Routing.OwnCapacity(),
		InUse:    p.ownInUse(),
		Waiting:  p.Queue.TotalWaiting(),
		Spare:    p.Spare(),
		Rate:     p.rate,
		Mean:     p.Queue.MeanServiceTime(),
		Spilled:  p.Spill.Share(),
		Servers:  len(p.ownServers()),
	}
}

// ApplyStops marks the servers that planned stops cover.
func (p *Pool) ApplyStops(covers func(server string) bool, now time.Time) {
	for _, s := range p.ownServers() {
		stopped := covers(s.ID)
		if stopped && !s.Stopped {
			p.leaving = append(p.leaving, leavingServer{id: s.ID, since: now})
			p.revoke(s.ID, now)
		}
		s.Stopped = stopped
	}
}

// ExpireServers drops what a VM that stood still cannot rely on any more: servers must
// announce themselves again before they get work.
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
	Usable   int           `json:"usable"`
	Inflight int           `json:"inflight"`
	Lent     int           `json:"lent"`
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
		})
	}
	return views
}
