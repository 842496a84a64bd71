package reducer

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/pause"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Reasons for which a request of a customer is refused.
const (
	ReasonOverAllowance    = "over-allowance"
	ReasonAllowanceUnknown = "allowance-unknown"
)

// Timings of the allowances of customers.
const (
	unknownRetry       = 300 * time.Millisecond // of a request whose allowance is unknown, and up to unknownRetryJitter more
	unknownRetryJitter = 200 * time.Millisecond // the requests of a VM that lost its allocator should not return together
	customersCheckTime = time.Second            // between checks for idle customers, and for loans to log
)

// customerState holds the allowances of the customers of the document.
type customerState struct {
	credit    *customer.Credit
	allocator *customer.Allocator
	counts    customer.Counts
	parked    map[uint64]parkedRequest // by call
	seenAt    time.Time                // last time at which this VM is known to have run
	vms       uint64                   // hash of the VMs among which allocators are chosen
	terms     customer.Terms           // in force, without those of a single customer
	checkDue  time.Time
}

// parkedRequest is a request that waits for an allowance.
type parkedRequest struct {
	began  RequestBegan
	at     time.Time
	renews bool // it had one on arrival, and waited for a slot: it was counted then
}

func newCustomerState(settings Settings, now time.Time) customerState {
	first := uint64(now.UnixMicro()) // answers to the questions of an earlier start have lower ids
	return customerState{
		credit:    customer.NewCredit(settings.Peer, first),
		allocator: customer.NewAllocator(settings.Peer, first, now),
		parked:    make(map[uint64]parkedRequest),
	}
}

// observePause voids all allowances and tokens if this VM did not run for a while. On a
// VM that was suspended the steady clock stood still, and only the time of day tells.
func (s *State) observePause() {
	c := &s.customers
	if !c.seenAt.IsZero() {
		byDay := s.now.Round(0).Sub(c.seenAt.Round(0)).Abs()
		if max(s.now.Sub(c.seenAt), byDay) >= pause.MinLength {
			c.credit.Reset()
			c.allocator.Reset(s.now)
		}
	}
	c.seenAt = s.now
}

// limitOf returns the allowance of a customer by the document in force, and false if it
// has none.
func (s *State) limitOf(name string) (customer.Limit, bool) {
	if s.document == nil {
		return customer.Limit{}, false
	}
	held := s.document.Customers.ByName(name)
	if !held.Limited() {
		return customer.Limit{}, false
	}
	return customer.Limit{Customer: name, Document: s.documentAt.Index, Terms: s.termsOf(held.Rate, held.Burst), Entries: s.knownEntries()}, true
}

func (s *State) termsOf(rate, burst float64) customer.Terms {
	c := &s.document.Customers
	return customer.Terms{
		Rate:    rate,
		Burst:   burst,
		Window:  c.Window.Std(),
		Overage: float64(c.Overage),
		Slack:   c.Slack,
		Domains: len(s.document.Places.Domains),
	}
}

// knownEntries returns the number of VMs that may hold standing allowances, those out of sight
// included; 0 while this VM does not know it.
func (s *State) knownEntries() int {
	if !s.entriesKnown {
		return 0
	}
	return s.entryCount
}

// limitFor returns the allowance of a customer that another VM asks for, by the newer of
// the two documents.
func (s *State) limitFor(name string, index uint64, rate, burst float64) (customer.Limit, bool) {
	if s.document == nil {
		return customer.Limit{}, false
	}
	if index <= s.documentAt.Index {
		return s.limitOf(name)
	}
	return customer.Limit{Customer: name, Document: index, Terms: s.termsOf(rate, burst), Entries: s.knownEntries()}, rate > 0
}

// awaitAllowance takes the allowance of a new request; it returns false if the request
// does not go on now: it waits for one, or is refused.
func (s *State) awaitAllowance(e RequestBegan) bool {
	r := e.Request
	if r.Customer == "" || r.TakenOver || s.document == nil || s.document.Customers.ByName(r.Customer) == nil {
		return true
	}
	s.observePause()
	c := &s.customers
	count := c.counts.Of(r.Customer)
	count.Asked++
	limit, limited := s.limitOf(r.Customer)
	if !limited {
		c.credit.Count(r.Customer, s.now)
		count.Allowed++
		return true
	}
	if c.credit.Take(limit, s.now) {
		count.Allowed++
		if c.credit.Short() {
			s.sendAllowances(false)
		}
		return true
	}
	wait, parked := c.credit.Park(r.Customer, e.Call, customer.Patience(r.Deadline.Sub(s.now)), s.now)
	if !parked {
		s.refuseAllowance(e, http.StatusTooManyRequests, ReasonOverAllowance, wait, 0)
		return false
	}
	c.parked[e.Call] = parkedRequest{began: e, at: s.now}
	s.sendAllowances(false)
	return false
}

// refuseAllowance ends a request that gets no allowance, on arrival or once it waited for a slot.
func (s *State) refuseAllowance(e RequestBegan, status int, reason string, wait, waited time.Duration) {
	r := e.Request
	s.customers.counts.Of(r.Customer).Refused++
	detail := "the customer sends more requests than its allowance"
	if reason == ReasonAllowanceUnknown {
		detail = "the VM that hands out the customer's allowances did not answer"
	}
	limit, _ := s.limitOf(r.Customer)
	s.emit(Decision{Code: CodeAllowance, Request: r.ID, Outcome: reason, Fields: []Field{
		{"customer", r.Customer},
		{"rate", limit.Terms.Rate},
		{"burst", limit.Terms.Burst},
		{"demand", s.customers.credit.Demand(r.Customer, s.now)},
		{"allocator", s.customerOwner(r.Customer).ID},
		{"waited", waited},
		{"retry_after", wait},
		{"document", int64(s.documentAt.Index)},
	}})
	if s.requests[e.Call] != nil {
		s.slotCount(r.Service).refused++
		s.endWait(e.Call)
		s.emit(Answer{Call: e.Call, Value: r.EndWithoutAllowance(status, reason, detail, wait)})
		return
	}
	s.emit(Answer{Call: e.Call, Value: relay.Step{Refuse: &relay.Problem{
		Status:     status,
		Reason:     reason,
		Detail:     detail,
		Run:        relay.RunNo,
		RetryAfter: wait,
	}}})
}

// leaveParked forgets a request that ends while it waits for an allowance.
func (s *State) leaveParked(call uint64) {
	if p, found := s.customers.parked[call]; found {
		delete(s.customers.parked, call)
		s.customers.credit.Leave(p.began.Request.Customer, call)
	}
}

// unpark removes a parked request and returns it.
func (s *State) unpark(call uint64) (parkedRequest, bool) {
	p, found := s.customers.parked[call]
	delete(s.customers.parked, call)
	return p, found
}

// tickCustomers ends requests for which no allowance came, asks again where messages were
// lost, and follows changes of the VMs and failure domains.
func (s *State) tickCustomers() {
	s.observePause()
	if s.document == nil || !s.document.Customers.Enabled() {
		return
	}
	c := &s.customers
	s.followFleet()
	for _, call := range c.credit.Expired(s.now) {
		if p, found := s.unpark(call); found {
			jitter := time.Duration(xxhash.Sum64String(p.began.Request.ID) % uint64(unknownRetryJitter))
			s.refuseAllowance(p.began, statusUnavailable, ReasonAllowanceUnknown, unknownRetry+jitter, s.now.Sub(p.at))
		}
	}
	s.sendAllowances(true)
	if s.now.Before(c.checkDue) {
		return
	}
	c.checkDue = s.now.Add(customersCheckTime)
	c.credit.Forget(s.now)
	s.retainCustomers()
	if loans := c.allocator.Loans(); loans != (customer.LoanCounts{}) {
		s.emit(Decision{Code: CodeTokensMoved, Outcome: "moved", Fields: []Field{
			{"borrowed", int64(loans.Borrowed)},
			{"lent", int64(loans.Lent)},
		}})
	}
}

func (s *State) retainCustomers() {
	s.customers.allocator.Retain(s.allocatesCustomer, s.now)
}

// followVMs tells the allocator of a change of the VMs among which allocators are chosen. It must
// do so before the next question arrives: this VM may be the allocator of other customers now.
func (s *State) followVMs() {
	if s.document == nil || !s.document.Customers.Enabled() {
		return
	}
	vms := uint64(0)
	for _, vm := range s.members.Alive() {
		if !vm.Stopping {
			vms += xxhash.Sum64String(vm.ID)
		}
	}
	if c := &s.customers; vms != c.vms {
		c.vms = vms
		c.allocator.Restart(s.now)
		s.retainCustomers()
	}
}

// followFleet tells the allocator which failure domains and VMs are heard.
func (s *State) followFleet() {
	s.followVMs()
	fleet := customer.Fleet{Domain: s.Settings.Domain, Share: s.members.HeardShare()}
	for _, domain := range s.document.Places.Domains {
		fleet.Domains = append(fleet.Domains, domain.Name)
	}
	var heard []member.DomainView
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name != s.Settings.Domain && domain.SilentFor < member.DomainSilentAfter {
			heard = append(heard, domain)
		}
	}
	slices.SortStableFunc(heard, func(a, b member.DomainView) int {
		places := &s.document.Places
		return cmp.Compare(places.OneWay(s.Settings.Region, a.Region), places.OneWay(s.Settings.Region, b.Region))
	})
	for _, domain := range heard {
		fleet.Heard = append(fleet.Heard, domain.Name)
	}
	s.customers.allocator.SetFleet(fleet, s.now)
}

func customerKey(name string) string { return "customer\x00" + name }

// customerOwner returns the allocator of a customer in the own failure domain: a control VM where one
// is live. Entries may have links that callers' requests fill, and questions between two of them
// wait behind these at both; control VMs have no callers.
func (s *State) customerOwner(name string) member.VM {
	return s.members.ControlOwner(customerKey(name))
}

// allocatesCustomer reports whether this VM allocates a customer in its failure domain.
func (s *State) allocatesCustomer(name string) bool {
	return s.customerOwner(name).ID == s.Settings.VM
}

// sendAllowances sends the questions and answers that are due; with all, also those that
// became due as time passed. They leave at once: requests wait for them.
func (s *State) sendAllowances(all bool) {
	c := &s.customers
	for _, request := range c.credit.Ask(s.now) {
		s.receiveCustomerRequest(Message{CustomerRequest: &request})
	}
	for _, request := range c.allocator.Wanted(all, s.now) {
		for _, domain := range s.members.Domains(s.now) {
			if domain.Name == request.Domain {
				s.transmit(domain.ControlOwner(customerKey(request.Customer)).Peer, Message{CustomerLoanRequest: &request})
			}
		}
	}
	for _, answer := range c.allocator.Answers(s.now) {
		s.sendGrant(answer)
	}
}

func (s *State) sendGrant(a customer.Answer) {
	if a.Peer == s.Settings.Peer {
		s.receiveCustomerGrant(a.Grant)
		return
	}
	s.transmit(a.Peer, Message{CustomerGrant: &a.Grant})
}

// forwardToAllocator passes a message for a customer's allocator on if this VM is not the
// one, and reports whether it is.
func (s *State) forwardToAllocator(name string, m Message) bool {
	owner := s.customerOwner(name)
	if owner.ID == s.Settings.VM {
		// A VM that has just started does not know the others, one of which may allocate.
		return s.now.Sub(s.startedAt) >= membershipSettleTime
	}
	if m.Hops < maxHops {
		m.Hops++
		s.transmit(owner.Peer, m)
	}
	return false
}

// receiveCustomerRequest answers a question for allowances, or forwards it.
func (s *State) receiveCustomerRequest(m Message) {
	s.observePause()
	r := *m.CustomerRequest
	if !s.forwardToAllocator(r.Customer, m) {
		return
	}
	limit, limited := s.limitFor(r.Customer, r.Document, r.Rate, r.Burst)
	if !limited {
		if s.document != nil && s.document.Customers.ByName(r.Customer) != nil {
			// A newer document than the sender's has ended the limit.
			s.sendGrant(customer.Answer{Peer: r.Peer, Grant: customer.Grant{ID: r.ID, Customer: r.Customer, Count: r.Waiting + r.Ahead}})
		}
		return
	}
	a := s.customers.allocator
	a.SetShare(s.members.HeardShare(), s.now)
	if grant, answered := a.Allow(r, limit, s.now); answered {
		s.sendGrant(customer.Answer{Peer: r.Peer, Grant: grant})
	}
	s.sendAllowances(false)
}

// receiveCustomerGrant continues or refuses the requests that waited for the grant.
func (s *State) receiveCustomerGrant(g customer.Grant) {
	s.observePause()
	ready, refused := s.customers.credit.Receive(g, s.now)
	for _, call := range ready {
		if p, found := s.unpark(call); found {
			if !p.renews {
				s.customers.counts.Of(g.Customer).Allowed++
			}
			s.admitRequest(p.began)
		}
	}
	for _, refusal := range refused {
		if p, found := s.unpark(refusal.Call); found {
			s.refuseAllowance(p.began, http.StatusTooManyRequests, ReasonOverAllowance, refusal.Wait, s.now.Sub(p.at))
		}
	}
	s.sendAllowances(false)
}

// receiveCustomerLoanRequest lends tokens to another failure domain, or forwards the
// question.
func (s *State) receiveCustomerLoanRequest(m Message) {
	s.observePause()
	r := *m.CustomerLoanRequest
	if r.Domain != s.Settings.Domain || !s.forwardToAllocator(r.Customer, m) {
		return
	}
	limit, limited := s.limitFor(r.Customer, r.Document, r.Rate, r.Burst)
	if !limited {
		return
	}
	a := s.customers.allocator
	a.SetShare(s.members.HeardShare(), s.now)
	if loan, lent := a.Lend(r, limit, s.now); lent {
		s.transmit(r.Peer, Message{CustomerLoan: &loan})
	}
}

func (s *State) receiveCustomerLoan(g customer.LoanGrant) {
	s.observePause()
	s.customers.allocator.TakeLoan(g, s.now)
	s.sendAllowances(false)
}

// countRefusal counts a request that is refused for want of room.
func (s *State) countRefusal(r *relay.Request, p *relay.Problem) {
	if r.Customer == "" || r.TakenOver {
		return
	}
	switch p.Reason {
	case string(dispatch.ReasonQueueFull), string(dispatch.ReasonDeadline), "shed", "fair-share":
		s.customers.counts.Of(r.Customer).NoRoom++
	}
}

// countEnd counts a request that a server answered.
func (s *State) countEnd(r *relay.Request, result routing.Result) {
	if r.Customer == "" || r.TakenOver || result != routing.ResultOK {
		return
	}
	count := s.customers.counts.Of(r.Customer)
	count.Served++
	if !r.TargetTime.IsZero() && s.now.After(r.TargetTime) {
		count.Late++
	}
}

// followCustomers applies a new document.
func (s *State) followCustomers(d *document.Document) {
	c := &s.customers
	c.counts.Retain(func(name string) bool { return d.Customers.ByName(name) != nil })
	if !d.Customers.Enabled() {
		return
	}
	terms := s.termsOf(0, 0)
	if c.terms != (customer.Terms{}) && c.terms != terms {
		// More failure domains may hold a share; the others may have just given out all.
		c.allocator.Restart(s.now)
	}
	c.terms = terms
	s.followFleet()
}

// releaseParked continues the requests that wait for an allowance and need none by the document in
// force, or whose key it revoked: no VM may answer their question any more.
func (s *State) releaseParked() {
	c := &s.customers
	for _, call := range slices.Sorted(maps.Keys(c.parked)) {
		p := c.parked[call]
		began := p.began
		name := began.Request.Customer
		revoked := s.isRevoked(began.Request)
		if _, limited := s.limitOf(name); limited && !revoked {
			continue
		}
		s.leaveParked(call)
		if !p.renews && !revoked && s.document.Customers.ByName(name) != nil {
			c.counts.Of(name).Allowed++
		}
		s.admitRequest(began)
	}
}

// customerStatus lists the largest customers and those refused most, and the rest as one.
func (s *State) customerStatus() []CustomerStatus {
	if s.document == nil {
		return nil
	}
	var list []CustomerStatus
	for _, named := range s.customers.counts.Report() {
		status := CustomerStatus{Customer: named.Customer, Count: named.Count, Tokens: -1}
		if limit, limited := s.limitOf(named.Customer); limited {
			status.Rate, status.Burst = limit.Terms.Rate, limit.Terms.Burst
			status.Allocator = s.customerOwner(named.Customer).ID
			status.Held = s.customers.credit.Held(named.Customer, s.now)
			if bucket, found := s.customers.allocator.Bucket(named.Customer, s.now); found {
				status.Tokens, status.Borrowed = bucket.Tokens, bucket.Borrowed
			}
		}
		status.Demand = s.customers.credit.Demand(named.Customer, s.now)
		list = append(list, status)
	}
	return list
}
