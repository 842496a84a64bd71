package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Timings of loans. A lessee counts TTL from the moment it sent its Want, the
// lender keeps the slots reserved for reserveFactor times as long plus the
// longest request, so clocks that differ in rate by less than that are safe.
const (
	loanTTL       = 1500 * time.Millisecond
	wantInterval  = 500 * time.Millisecond
	wantHurry     = 100 * time.Millisecond // when more is needed than was asked for
	reserveFactor = 1.2
)

// loan is what one lessee may use of this pool.
type loan struct {
	lessee   string
	peer     string
	domain   string
	sequence uint64
	until    time.Time // end of the reservation
	slots    []lentSlots
}

// lentSlots counts slots of one server in a loan. Reserved stays above Granted
// until the lessee has confirmed that it uses fewer.
type lentSlots struct {
	server   string
	granted  int
	reserved int
}

func (p *Pool) loanOf(lessee string) *loan {
	at, found := slices.BinarySearchFunc(p.loans, lessee, func(l loan, id string) int { return cmp.Compare(l.lessee, id) })
	if !found {
		p.loans = slices.Insert(p.loans, at, loan{lessee: lessee})
	}
	return &p.loans[at]
}

// Lend answers a Want: it grants slots that are neither used nor wanted here
// nor part of the headroom, server by server.
func (p *Pool) Lend(want LoanRequest, limit int, now time.Time) []Effect {
	l := p.loanOf(want.Lessee)
	l.domain, l.peer = want.Domain, want.Peer
	p.confirm(l, want)
	before := l.grantedSlots()
	p.regrant(l, min(want.Slots, limit), now)
	l.sequence++
	reserve := time.Duration(float64(loanTTL)*reserveFactor) + p.Policy.Target
	l.until = now.Add(reserve)
	p.countLent()
	p.emit(SendLoan{Peer: want.Peer, Loan: p.loanMessage(l, want)})
	if after := l.grantedSlots(); after != before {
		p.noteLease(l, before, after)
	}
	return p.take()
}

func (p *Pool) noteLease(l *loan, before, slots int) {
	p.emit(LoanChange{
		Service:  p.Policy.Service,
		Lessee:   l.lessee,
		Domain:   l.domain,
		Slots:    slots,
		Before:   before,
		Capacity: p.Routing.OwnCapacity(),
		Reserved: p.reserved(),
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

// confirm lowers reservations once the lessee has seen the lower grant.
func (p *Pool) confirm(l *loan, want LoanRequest) {
	if l.sequence == 0 && want.Seen > 0 {
		// The lessee still uses slots that an owner before this one lent.
		l.sequence = want.Seen
		for _, held := range want.Held {
			l.slots = append(l.slots, lentSlots{server: held.Server, reserved: held.InUse})
		}
		return
	}
	if want.Seen != l.sequence {
		return
	}
	for i := range l.slots {
		inUse := 0
		for _, held := range want.Held {
			if held.Server == l.slots[i].server {
				inUse = held.InUse
			}
		}
		l.slots[i].reserved = max(l.slots[i].granted, inUse)
	}
}

// regrant chooses the slots of a loan anew, up to the wanted number.
func (p *Pool) regrant(l *loan, wanted int, now time.Time) {
	for i := range l.slots {
		l.slots[i].granted = 0
	}
	p.countLent()
	left := min(wanted, p.Spare()+l.reservedSlots())
	for i := range l.slots {
		s := p.Routing.Find(l.slots[i].server)
		if s == nil || !s.Usable(now) {
			continue
		}
		l.slots[i].granted = min(left, l.slots[i].reserved)
		left -= l.slots[i].granted
	}
	for _, s := range p.Routing.Servers {
		if left <= 0 {
			break
		}
		if s.Borrowed(p.Domain) {
			continue
		}
		if n := min(left, s.FreeSlots()); n > 0 {
			l.add(s.ID, n)
			s.Lent += n
			left -= n
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

func (p *Pool) loanMessage(l *loan, want LoanRequest) Loan {
	message := Loan{
		Service:  p.Policy.Service,
		Lender:   p.VM,
		Domain:   p.Domain,
		Region:   p.Region,
		Sequence: l.sequence,
		Answers:  want.Sent,
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

// countLent sums the reservations of all loans into the servers.
func (p *Pool) countLent() {
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

func (p *Pool) reserved() int {
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

// Spare returns the slots that could be lent: the own capacity less headroom,
// own use, own waiting requests and what is lent already.
func (p *Pool) Spare() int {
	capacity := p.Routing.OwnCapacity()
	headroom := ceilShare(p.Policy.Headroom, capacity)
	return max(0, capacity-headroom-p.ownInUse()-p.Queue.TotalWaiting()-p.reserved())
}

func ceilShare(share float64, n int) int {
	value := share * float64(n)
	whole := int(value)
	if value > float64(whole) {
		whole++
	}
	return whole
}

// LinkSlots is the number of slots that another region may use before their
// answers could fill a share of the link; bits is the share in bits per second.
func (p *Pool) LinkSlots(bits float64) int {
	const bitsPerByte = 8
	if p.Policy.AnswerBytes == 0 {
		return routing.MaxServers * routing.MaxSlots
	}
	answers := bits * (1 - p.Policy.Headroom) / float64(p.Policy.AnswerBytes*bitsPerByte)
	return int(answers * p.Queue.MeanServiceTime().Seconds())
}

// tickLoans ends reservations that ran out.
func (p *Pool) tickLoans(now time.Time) {
	before := len(p.loans)
	p.loans = slices.DeleteFunc(p.loans, func(l loan) bool {
		over := !now.Before(l.until)
		if over && l.grantedSlots() > 0 {
			p.noteLease(&l, l.grantedSlots(), 0)
		}
		return over
	})
	if len(p.loans) != before {
		p.countLent()
	}
}

// revoke tells lessees of a leaving server at once, without waiting for their
// next Want.
func (p *Pool) revoke(server string, now time.Time) {
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
