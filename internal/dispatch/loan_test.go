package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/admission"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/virtual"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const target = 2 * time.Second

func policy() Policy {
	return Policy{
		Service:       "web",
		Ranks:         []admission.Rank{{Floor: 0.3}, {Floor: 0.1}},
		QueuePerSlot:  8,
		Headroom:      0.1,
		ShiftCap:      1,
		ShiftInterval: time.Second,
		Target:        target,
	}
}

// loanSimulation simulates two failure domains with servers only in the first, a
// network that loses, delays and duplicates messages and is partitioned at times,
// and clocks that differ in rate.
type loanSimulation struct {
	t           *testing.T
	clock       *virtual.Clock
	random      *rand.Rand
	pools       map[string]*Pool
	clockRates  map[string]float64 // of each domain's clock
	partitioned bool
	running     map[string]int // requests that run, by server
	slots       map[string]int // by server
	lastRequest uint64         // id of the last SlotRequest
	shiftedRuns int            // requests that ran on borrowed slots
}

func newLoanSimulation(t *testing.T, seed uint64, lesseeRate float64) *loanSimulation {
	l := &loanSimulation{
		t:          t,
		clock:      virtual.New(start),
		random:     rand.New(rand.NewPCG(seed, 3)),
		pools:      make(map[string]*Pool),
		clockRates: map[string]float64{"a": 1, "b": lesseeRate},
		running:    make(map[string]int),
		slots:      make(map[string]int),
	}
	for i, domain := range []string{"a", "b"} {
		location := Location{VM: domain, Peer: domain, Domain: domain, Region: "r"}
		l.pools[domain] = NewPool(policy(), location, &quarantine.Table{}, uint64(i+1)<<40)
		l.tick(domain)
	}
	for i := range 3 {
		id := fmt.Sprint("s", i)
		l.slots[id] = 2
		l.announce(id)
	}
	l.scheduleRequests("a", 250*time.Millisecond)
	l.scheduleRequests("b", 100*time.Millisecond)
	return l
}

// domainTime returns the time that the clock of a domain shows.
func (l *loanSimulation) domainTime(domain string) time.Time {
	since := l.clock.Now().Sub(start)
	return start.Add(time.Duration(float64(since) * l.clockRates[domain]))
}

func (l *loanSimulation) announce(id string) {
	l.apply("a", l.pools["a"].Announce(routing.Announcement{ID: id, Address: id, Service: "web", Slots: l.slots[id], State: routing.StateServing}, l.domainTime("a")))
	l.clock.Schedule(500*time.Millisecond, func() { l.announce(id) })
}

func (l *loanSimulation) tick(domain string) {
	pool := l.pools[domain]
	if domain == "b" {
		pool.Lenders = []Neighbour{{Domain: "a", Spare: 100}}
	}
	l.apply(domain, pool.Tick(l.domainTime(domain), 50*time.Millisecond))
	l.clock.Schedule(50*time.Millisecond, func() { l.tick(domain) })
}

func (l *loanSimulation) scheduleRequests(domain string, mean time.Duration) {
	l.lastRequest++
	request := SlotRequest{ID: l.lastRequest, From: domain, Service: "web", Rank: l.random.IntN(2), Remaining: target, Fingerprint: l.lastRequest}
	l.apply(domain, l.pools[domain].RequestSlot(request, l.domainTime(domain)))
	wait := time.Duration(l.random.ExpFloat64() * float64(mean))
	l.clock.Schedule(wait, func() { l.scheduleRequests(domain, mean) })
}

func (l *loanSimulation) apply(domain string, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Reply:
			if e.Answer.Grant != nil {
				l.runRequest(domain, e.Answer.Grant)
			}
		case SendLoanRequest:
			l.send(func() { l.apply("a", l.pools["a"].Lend(e.Request, 100, l.domainTime("a"))) })
		case SendLoan:
			l.send(func() { l.apply("b", l.pools["b"].AcceptLoan(e.Loan, 0, l.domainTime("b"))) })
		}
	}
}

// send delivers a message late, twice or not at all; messages that would arrive
// during a partition are lost.
func (l *loanSimulation) send(deliver func()) {
	const loss, duplication = 0.2, 0.1
	if l.random.Float64() < loss {
		return
	}
	copies := 1
	if l.random.Float64() < duplication {
		copies = 2
	}
	for range copies {
		wait := time.Duration(l.random.IntN(700)) * time.Millisecond
		l.clock.Schedule(wait, func() {
			if !l.partitioned {
				deliver()
			}
		})
	}
}

// runRequest runs a request and checks that the server does not run more requests
// than it has slots.
func (l *loanSimulation) runRequest(domain string, grant *Grant) {
	id := grant.Server[strings.LastIndexByte(grant.Server, '/')+1:]
	if grant.Shifted {
		l.shiftedRuns++
	}
	l.running[id]++
	if l.running[id] > l.slots[id] {
		l.t.Errorf("%s: server %s runs %d requests in %d slots", l.clock.Now().Sub(start), id, l.running[id], l.slots[id])
	}
	work := min(time.Duration(l.random.ExpFloat64()*float64(300*time.Millisecond)), target-100*time.Millisecond)
	l.clock.Schedule(work, func() {
		l.running[id]--
		finish := Finish{Service: "web", Ticket: grant.Ticket, Result: routing.ResultOK, Latency: work}
		l.apply(domain, l.pools[domain].Finish(finish, l.domainTime(domain)))
	})
}

// Two domains share servers through loans while messages are lost, duplicated and
// reordered, the network is partitioned, and the lessee's clock is slow or fast.
// No server may ever run more requests than it has slots.
func TestLoansNeverExceedSlots(t *testing.T) {
	const seeds = 30
	for _, rate := range []float64{0.9, 1, 1.1} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			shiftedRuns := 0
			for seed := range uint64(seeds) {
				l := newLoanSimulation(t, seed, rate)
				for second := 1; second <= 40; second++ {
					l.partitioned = second%10 >= 7
					l.clock.RunUntil(start.Add(time.Duration(second) * time.Second))
				}
				shiftedRuns += l.shiftedRuns
			}
			if shiftedRuns == 0 {
				t.Error("no request ran on borrowed slots, so the test checked nothing")
			}
		})
	}
}

// When a server leaves, its lessees get a Loan without its slots at once; they
// must not go on sending requests to it until the loan expires.
func TestLeavingServerIsRevoked(t *testing.T) {
	pool := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a"}, &quarantine.Table{}, 0)
	announcement := routing.Announcement{ID: "s", Address: "s", Service: "web", Slots: 10, State: routing.StateServing}
	pool.Announce(announcement, start)
	pool.Lend(LoanRequest{Service: "web", Lessee: "b", Peer: "b", Sent: 1, Slots: 3}, 100, start)
	announcement.State = routing.StateLeaving
	for _, effect := range pool.Announce(announcement, start) {
		if loan, found := effect.(SendLoan); found && loan.Peer == "b" && len(loan.Loan.Slots) == 0 {
			return
		}
	}
	t.Error("the lessee got no Loan without the slots of the leaving server")
}

// The headroom and the slots in own use are never lent.
func TestHeadroomIsKept(t *testing.T) {
	pool := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a"}, &quarantine.Table{}, 0)
	pool.Announce(routing.Announcement{ID: "s", Address: "s", Service: "web", Slots: 10, State: routing.StateServing}, start)
	pool.RequestSlot(SlotRequest{ID: 1, From: "a", Service: "web", Remaining: target}, start)
	for _, effect := range pool.Lend(LoanRequest{Service: "web", Lessee: "b", Sent: 1, Slots: 100}, 100, start) {
		if loan, found := effect.(SendLoan); found {
			if got := loan.Loan.Slots[0].Slots; got != 8 {
				t.Errorf("lent %d of 10 slots with one in use and one of headroom, want 8", got)
			}
		}
	}
}
