package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// borrowing is what this pool may use of another failure domain.
type borrowing struct {
	domain string
	lender string
	sent   uint64
	sentAt []sentWant
	seen   uint64
	idle   int // Wants in a row without need
}

type sentWant struct {
	sequence uint64
	at       time.Time
}

const (
	maxSentWants = 8
	idleWants    = 4 // Wants without need before the loan is left to run out
)

func (p *Pool) borrowingOf(domain string) *borrowing {
	for i := range p.borrowed {
		if p.borrowed[i].domain == domain {
			return &p.borrowed[i]
		}
	}
	p.borrowed = append(p.borrowed, borrowing{domain: domain})
	return &p.borrowed[len(p.borrowed)-1]
}

// need returns the slots wanted from elsewhere: those for requests that wait here
// and those in use elsewhere already. A slot that is lent idles for its owner,
// so none is wanted in advance.
func (p *Pool) need() int {
	return p.Queue.TotalWaiting() + p.borrowedInUse()
}

func (p *Pool) borrowedInUse() int {
	total := 0
	for _, s := range p.Routing.Servers {
		if s.Borrowed(p.Domain) {
			total += s.Inflight
		}
	}
	return total
}

// tickBorrowing sends Wants to the nearest neighbours that have slots to spare.
func (p *Pool) tickBorrowing(now time.Time) {
	left := p.need()
	hurry := left > p.lastNeed && !now.Before(p.wantDue.Add(wantHurry-wantInterval))
	if now.Before(p.wantDue) && !hurry {
		return
	}
	p.wantDue = now.Add(wantInterval)
	p.lastNeed = left
	for _, neighbour := range p.Lenders {
		held := p.heldFrom(neighbour.Domain)
		wanted := min(left, neighbour.Spare+held)
		left -= wanted
		if wanted == 0 && !p.keepsLoan(neighbour.Domain) {
			continue
		}
		p.want(neighbour, wanted, now)
	}
}

func (p *Pool) heldFrom(domain string) int {
	total := 0
	for _, s := range p.Routing.Servers {
		if s.Domain == domain {
			total += s.Slots
		}
	}
	return total
}

// keepsLoan reports whether a loan without need must still be reported on, so
// that the lender learns that its slots are free again.
func (p *Pool) keepsLoan(domain string) bool {
	for i := range p.borrowed {
		if p.borrowed[i].domain == domain {
			return p.borrowed[i].idle < idleWants
		}
	}
	return false
}

func (p *Pool) want(neighbour Neighbour, slots int, now time.Time) {
	b := p.borrowingOf(neighbour.Domain)
	if slots == 0 {
		b.idle++
	} else {
		b.idle = 0
	}
	b.sent++
	b.sentAt = append(b.sentAt, sentWant{sequence: b.sent, at: now})
	if len(b.sentAt) > maxSentWants {
		b.sentAt = slices.Delete(b.sentAt, 0, 1)
	}
	want := LoanRequest{
		Service: p.Policy.Service,
		Lessee:  p.VM,
		Peer:    p.Peer,
		Domain:  p.Domain,
		Region:  p.Region,
		Sent:    b.sent,
		Seen:    b.seen,
		Slots:   slots,
	}
	for _, s := range p.Routing.Servers {
		if s.Domain == neighbour.Domain && s.Inflight > 0 {
			want.Held = append(want.Held, HeldSlots{Server: strings.TrimPrefix(s.ID, borrowedPrefix(s.Domain)), InUse: s.Inflight})
		}
	}
	p.emit(SendLoanRequest{Domain: neighbour.Domain, Request: want})
}

// borrowedPrefix keeps ids of borrowed servers apart from own ones.
func borrowedPrefix(domain string) string { return domain + "/" }

// AcceptLoan takes over a Loan. Slots not named any more get no new work at once.
func (p *Pool) AcceptLoan(message Loan, oneWay time.Duration, now time.Time) []Effect {
	b := p.borrowingOf(message.Domain)
	if b.lender == message.Lender && message.Sequence <= b.seen {
		return nil
	}
	until := p.loanEnd(b, message)
	b.lender, b.seen = message.Lender, message.Sequence
	for _, s := range p.Routing.Servers {
		if s.Domain == message.Domain {
			s.Slots = 0
		}
	}
	for _, slots := range message.Slots {
		p.addBorrowed(message.Domain, slots, oneWay, until, now)
	}
	p.Routing.Refresh(now)
	p.limitQueue()
	p.serve(now)
	return p.take()
}

// loanEnd counts the TTL from the sending of the Want that the loan answers; a
// revocation answers none and changes no end.
func (p *Pool) loanEnd(b *borrowing, message Loan) time.Time {
	for _, sent := range b.sentAt {
		if sent.sequence == message.Answers {
			return sent.at.Add(message.TTL)
		}
	}
	return time.Time{}
}

func (p *Pool) addBorrowed(domain string, slots LoanSlots, oneWay time.Duration, until, now time.Time) {
	id := borrowedPrefix(domain) + slots.Server
	s := p.Routing.Find(id)
	if s == nil {
		s = &routing.Server{Domain: domain}
		s.ID = id
		p.Routing.Insert(s)
	}
	s.Address = slots.Address
	s.Service = p.Policy.Service
	s.State = routing.StateServing
	s.Slots = slots.Slots
	s.OneWay = oneWay
	if until.After(s.Expires) {
		s.Expires = until
	}
}
