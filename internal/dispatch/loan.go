package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Timings of loans. A lessee counts the TTL from the moment it sent its request.
// The lender keeps the slots reserved for reserveFactor times as long, plus the
// longest request, so that clock rates may differ by less than reserveFactor.
const (
	loanTTL                   = 1500 * time.Millisecond
	loanRequestInterval       = 500 * time.Millisecond
	urgentLoanRequestInterval = 100 * time.Millisecond // while more slots are needed than at the last request
	reserveFactor             = 1.2                    // of loanTTL
)

// loan holds the slots of this pool that one lessee may use.
type loan struct {
	lessee        string // VM that uses the slots
	peer          string // its host:port for calls between VMs
	domain        string // its failure domain
	sequence      uint64 // of the last Loan sent
	reservedUntil time.Time
	slots         []lentSlots
}

// lentSlots counts the slots of one server in a loan. When granted is lowered,
// reserved stays higher until the lessee has confirmed that it uses fewer.
type lentSlots struct {
	server   string
	granted  int
	reserved int
}

func (p *Pool) loanTo(lessee string) *loan {
	at, found := slices.BinarySearchFunc(p.loans, lessee, func(l loan, id string) int { return cmp.Compare(l.lessee, id) })
	if !found {
		p.loans = slices.Insert(p.loans, at, loan{lessee: lessee})
	}
	return &p.loans[at]
}

// Lend answers a LoanRequest with at most limit slots: those that are neither used
// here nor needed for requests that wait here nor part of the headroom.
func (p *Pool) Lend(request LoanRequest, limit int, now time.Time) []Effect {
	l := p.loanTo(request.Lessee)
	l.domain, l.peer = request.Domain, request.Peer
	p.confirmReservations(l, request)
	before := l.grantedSlots()
	p.regrant(l, min(request.Slots, limit), now)
	l.sequence++
	reserve := time.Duration(float64(loanTTL)*reserveFactor) + p.Policy.Target
	l.reservedUntil = now.Add(reserve)
	p.updateLent()
	p.emit(SendLoan{Peer: request.Peer, Loan: p.loanMessage(l, request)})
	if after := l.grantedSlots(); after != before {
		p.reportLoanChange(l, before, after)
	}
	return p.takeEffects()
}

func (p *Pool) reportLoanChange(l *loan, before, after int) {
	p.emit(LoanChange{
		Service:  p.Policy.Service,
		Lessee:   l.lessee,
		Domain:   l.domain,
		Slots:    after,
		Before:   before,
		Capacity: p.Routing.OwnCapacity(),
		Reserved: p.totalReserved(),
		InUse:    p.ownInUse(),
	})
}

func (l *loan) grantedSlots() int {
	total := 0
	for _, s := range l.slots {
		total += s.granted
	}
	return total
}

// confirmReservations lowers the reservations of a loan once the lessee has
// confirmed the last Loan.
func (p *Pool) confirmReservations(l *loan, request LoanRequest) {
	if l.sequence == 0 && request.Seen > 0 {
		// The lessee still uses slots that a previous owner lent.
		l.sequence = request.Seen
		for _, held := range request.Held {
			l.slots = append(l.slots, lentSlots{server: held.Server, reserved: held.InUse})
		}
		return
	}
	if request.Seen != l.sequence {
		return
	}
	for i := range l.slots {
		inUse := 0
		for _, held := range request.Held {
			if held.Server == l.slots[i].server {
				inUse = held.InUse
			}
		}
		l.slots[i].reserved = max(l.slots[i].granted, inUse)
	}
}

// regrant recomputes the granted slots of a loan, up to the wanted number. Slots
// that are reserved for the lessee already come first.
func (p *Pool) regrant(l *loan, wanted int, now time.Time) {
	for i := range l.slots {
		l.slots[i].granted = 0
	}
	p.updateLent()
	remaining := min(wanted, p.SpareSlots()+l.reservedSlots())
	for i := range l.slots {
		s := p.Routing.Find(l.slots[i].server)
		if s == nil || !s.Usable(now) || s.Limit.Named {
			continue
		}
		l.slots[i].granted = min(remaining, l.slots[i].reserved)
		remaining -= l.slots[i].granted
	}
	for _, s := range p.Routing.Servers {
		if remaining <= 0 {
			break
		}
		if s.Borrowed(p.Domain) || s.Limit.Named {
			continue
		}
		if n := min(remaining, s.FreeSlots()); n > 0 {
			l.add(s.ID, n)
			s.Lent += n
			remaining -= n
		}
	}
	l.slots = slices.DeleteFunc(l.slots, func(s lentSlots) bool { return s.reserved == 0 && s.granted == 0 })
}

func (l *loan) add(server string, n int) {
	for i := range l.slots {
		if l.slots[i].server == server {
			l.slots[i].granted += n
			l.slots[i].reserved += n
			return
		}
	}
	l.slots = append(l.slots, lentSlots{server: server, granted: n, reserved: n})
}

func (l *loan) reservedSlots() int {
	total := 0
	for _, s := range l.slots {
		total += s.reserved
	}
	return total
}

func (p *Pool) loanMessage(l *loan, request LoanRequest) Loan {
	message := Loan{
		Service:  p.Policy.Service,
		Lender:   p.VM,
		Domain:   p.Domain,
		Region:   p.Region,
		Sequence: l.sequence,
		Answers:  request.Sent,
		TTL:      loanTTL,
	}
	for _, slots := range l.slots {
		s := p.Routing.Find(slots.server)
		if s != nil && slots.granted > 0 {
			message.Slots = append(message.Slots, LoanSlots{Server: s.ID, Address: s.Address, Slots: slots.granted})
		}
	}
	return message
}

// updateLent sets the lent slots of each server to the sum of all reservations.
func (p *Pool) updateLent() {
	for _, s := range p.Routing.Servers {
		s.Lent = 0
	}
	for i := range p.loans {
		for _, slots := range p.loans[i].slots {
			if s := p.Routing.Find(slots.server); s != nil {
				s.Lent += slots.reserved
			}
		}
	}
}

func (p *Pool) totalReserved() int {
	total := 0
	for i := range p.loans {
		total += p.loans[i].reservedSlots()
	}
	return total
}

func (p *Pool) ownInUse() int {
	total := 0
	for _, s := range p.Routing.Servers {
		if !s.Borrowed(p.Domain) {
			total += s.Inflight
		}
	}
	return total
}

// SpareSlots returns the number of slots that could be lent: the capacity of own
// servers less headroom, own use, waiting requests and reserved slots.
// Servers that name a limit lend none: nobody counts requests for the lessees.
func (p *Pool) SpareSlots() int {
	capacity := p.Routing.OwnCapacity()
	for _, s := range p.ownServers() {
		if s.Limit.Named {
			capacity -= max(0, s.FreeSlots())
		}
	}
	headroom := ceilOfShare(p.Policy.Headroom, capacity)
	return max(0, capacity-headroom-p.ownInUse()-p.Queue.TotalWaiting()-p.totalReserved())
}

func ceilOfShare(share float64, n int) int {
	value := share * float64(n)
	whole := int(value)
	if value > float64(whole) {
		whole++
	}
	return whole
}

// LinkSlots returns the number of slots that another region may use before their
// answers could fill a share of the link; bits is that share in bits per second.
func (p *Pool) LinkSlots(bits float64) int {
	const bitsPerByte = 8
	if p.Policy.AnswerBytes == 0 {
		return routing.MaxServers * routing.MaxSlots
	}
	answers := bits * (1 - p.Policy.Headroom) / float64(p.Policy.AnswerBytes*bitsPerByte)
	return int(answers * p.Queue.MeanServiceTime().Seconds())
}

// expireLoans removes loans whose reservation has ended.
func (p *Pool) expireLoans(now time.Time) {
	before := len(p.loans)
	p.loans = slices.DeleteFunc(p.loans, func(l loan) bool {
		expired := !now.Before(l.reservedUntil)
		if expired && l.grantedSlots() > 0 {
			p.reportLoanChange(&l, l.grantedSlots(), 0)
		}
		return expired
	})
	if len(p.loans) != before {
		p.updateLent()
	}
}

// revokeLoans sends the lessees of a leaving server a Loan without its slots at
// once, instead of waiting for their next LoanRequest.
func (p *Pool) revokeLoans(server string, now time.Time) {
	for i := range p.loans {
		l := &p.loans[i]
		for j := range l.slots {
			if l.slots[j].server != server || l.slots[j].granted == 0 {
				continue
			}
			l.slots[j].granted = 0
			l.sequence++
			p.emit(SendLoan{Peer: l.peer, Loan: p.loanMessage(l, LoanRequest{})})
		}
	}
}

// ownServers returns the servers of this failure domain.
func (p *Pool) ownServers() []*routing.Server {
	var own []*routing.Server
	for _, s := range p.Routing.Servers {
		if !s.Borrowed(p.Domain) {
			own = append(own, s)
		}
	}
	return own
}
