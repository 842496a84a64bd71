package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// borrowing is the state of the slots borrowed from another failure domain.
type borrowing struct {
	domain       string
	lender       string // VM that sent the last loan
	lastRequest  uint64 // sequence number of the last LoanRequest sent
	sentRequests []sentLoanRequest
	lastLoan     uint64 // sequence number of the last Loan received
	idleRequests int    // requests in a row for no slots
}

type sentLoanRequest struct {
	sequence uint64
	at       time.Time
}

const (
	maxSentRequests = 8 // kept to find the sending time when a loan arrives
	maxIdleRequests = 4 // requests in a row for no slots, after which the loan is left to expire
)

func (p *Pool) borrowingFrom(domain string) *borrowing {
	for i := range p.borrowings {
		if p.borrowings[i].domain == domain {
			return &p.borrowings[i]
		}
	}
	p.borrowings = append(p.borrowings, borrowing{domain: domain})
	return &p.borrowings[len(p.borrowings)-1]
}

// slotsNeeded returns the number of slots needed from other failure domains: one
// for each request that waits here, and those already in use there. None are
// requested in advance, because a lent slot that is idle is lost to its owner.
func (p *Pool) slotsNeeded() int {
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

// requestLoans sends loan requests to the nearest neighbours with spare slots.
func (p *Pool) requestLoans(now time.Time) {
	needed := p.slotsNeeded()
	urgent := needed > p.lastNeeded && !now.Before(p.nextLoanRequestAt.Add(urgentLoanRequestInterval-loanRequestInterval))
	if now.Before(p.nextLoanRequestAt) && !urgent {
		return
	}
	p.nextLoanRequestAt = now.Add(loanRequestInterval)
	p.lastNeeded = needed
	for _, neighbour := range p.Lenders {
		held := p.slotsHeldFrom(neighbour.Domain)
		wanted := min(needed, neighbour.Spare+held)
		needed -= wanted
		if wanted == 0 && !p.mustReportLoan(neighbour.Domain) {
			continue
		}
		p.sendLoanRequest(neighbour, wanted, now)
	}
}

func (p *Pool) slotsHeldFrom(domain string) int {
	total := 0
	for _, s := range p.Routing.Servers {
		if s.Domain == domain {
			total += s.Slots
		}
	}
	return total
}

// mustReportLoan reports whether requests must go on although no slots are
// needed, so that the lender learns that its slots are free again.
func (p *Pool) mustReportLoan(domain string) bool {
	for i := range p.borrowings {
		if p.borrowings[i].domain == domain {
			return p.borrowings[i].idleRequests < maxIdleRequests
		}
	}
	return false
}

func (p *Pool) sendLoanRequest(neighbour Neighbour, slots int, now time.Time) {
	b := p.borrowingFrom(neighbour.Domain)
	if slots == 0 {
		b.idleRequests++
	} else {
		b.idleRequests = 0
	}
	b.lastRequest++
	b.sentRequests = append(b.sentRequests, sentLoanRequest{sequence: b.lastRequest, at: now})
	if len(b.sentRequests) > maxSentRequests {
		b.sentRequests = slices.Delete(b.sentRequests, 0, 1)
	}
	request := LoanRequest{
		Service: p.Policy.Service,
		Lessee:  p.VM,
		Peer:    p.Peer,
		Domain:  p.Domain,
		Region:  p.Region,
		Sent:    b.lastRequest,
		Seen:    b.lastLoan,
		Slots:   slots,
	}
	for _, s := range p.Routing.Servers {
		if s.Domain == neighbour.Domain && s.Inflight > 0 {
			request.Held = append(request.Held, HeldSlots{Server: strings.TrimPrefix(s.ID, borrowedPrefix(s.Domain)), InUse: s.Inflight})
		}
	}
	p.emit(SendLoanRequest{Domain: neighbour.Domain, Request: request})
}

// borrowedPrefix keeps the ids of borrowed servers distinct from those of own ones.
func borrowedPrefix(domain string) string { return domain + "/" }

// AcceptLoan applies a Loan. Slots that it no longer includes get no new requests
// from then on.
func (p *Pool) AcceptLoan(message Loan, oneWay time.Duration, now time.Time) []Effect {
	b := p.borrowingFrom(message.Domain)
	if b.lender == message.Lender && message.Sequence <= b.lastLoan {
		return nil
	}
	until := p.loanExpiry(b, message)
	b.lender, b.lastLoan = message.Lender, message.Sequence
	for _, s := range p.Routing.Servers {
		if s.Domain == message.Domain {
			s.Slots = 0
		}
	}
	for _, slots := range message.Slots {
		p.updateBorrowed(message.Domain, slots, oneWay, until, now)
	}
	p.Routing.Refresh(now)
	p.resizeQueue()
	p.grantWaiting(now)
	return p.takeEffects()
}

// loanExpiry returns the end of a loan, which is its TTL after the request that it
// answers was sent. A revocation answers no request and leaves the end as it is:
// the zero time is returned.
func (p *Pool) loanExpiry(b *borrowing, message Loan) time.Time {
	for _, sent := range b.sentRequests {
		if sent.sequence == message.Answers {
			return sent.at.Add(message.TTL)
		}
	}
	return time.Time{}
}

func (p *Pool) updateBorrowed(domain string, slots LoanSlots, oneWay time.Duration, until, now time.Time) {
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
	if slots.Slots > 0 {
		s.SetLimit(routing.Limit{}, now) // a server with a limit is not lent
	}
	if until.After(s.Expires) {
		s.Expires = until
	}
}
