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
		Ranks:         []admission.Rank{{Worth: 10, Floor: 0.3}, {Worth: 1, Floor: 0.1}},
		QueuePerSlot:  8,
		Headroom:      0.1,
		ShiftCap:      1,
		ShiftInterval: time.Second,
		Target:        target,
	}
}

// lending is two failure domains with servers in the first only, a network that
// loses, delays and cuts, and clocks that differ in rate.
type lending struct {
	t       *testing.T
	time    *virtual.Clock
	random  *rand.Rand
	pools   map[string]*Pool
	rates   map[string]float64 // of each domain's clock
	cut     bool
	running map[string]int // by server, the truth
	slots   map[string]int
	nextAsk uint64
	lent    int
}

func newLending(t *testing.T, seed uint64, lesseeRate float64) *lending {
	l := &lending{
		t:       t,
		time:    virtual.New(start),
		random:  rand.New(rand.NewPCG(seed, 3)),
		pools:   make(map[string]*Pool),
		rates:   map[string]float64{"a": 1, "b": lesseeRate},
		running: make(map[string]int),
		slots:   make(map[string]int),
	}
	for i, domain := range []string{"a", "b"} {
		place := Location{VM: domain, Peer: domain, Domain: domain, Region: "r"}
		l.pools[domain] = NewPool(policy(), place, &quarantine.Table{}, uint64(i+1)<<40)
		l.tick(domain)
	}
	for i := range 3 {
		id := fmt.Sprint("s", i)
		l.slots[id] = 2
		l.announce(id)
	}
	l.arrive("a", 250*time.Millisecond)
	l.arrive("b", 100*time.Millisecond)
	return l
}

// clock is the time that a domain's VMs read.
func (l *lending) clock(domain string) time.Time {
	since := l.time.Now().Sub(start)
	return start.Add(time.Duration(float64(since) * l.rates[domain]))
}

func (l *lending) announce(id string) {
	l.effects("a", l.pools["a"].Announce(routing.Announcement{ID: id, Address: id, Service: "web", Slots: l.slots[id], State: routing.StateServing}, l.clock("a")))
	l.time.Schedule(500*time.Millisecond, func() { l.announce(id) })
}

func (l *lending) tick(domain string) {
	pool := l.pools[domain]
	if domain == "b" {
		pool.Lenders = []Neighbour{{Domain: "a", Spare: 100}}
	}
	l.effects(domain, pool.Tick(l.clock(domain), 50*time.Millisecond))
	l.time.Schedule(50*time.Millisecond, func() { l.tick(domain) })
}

func (l *lending) arrive(domain string, mean time.Duration) {
	l.nextAsk++
	ask := SlotRequest{ID: l.nextAsk, From: domain, Service: "web", Rank: l.random.IntN(2), Remaining: target, Fingerprint: l.nextAsk}
	l.effects(domain, l.pools[domain].RequestSlot(ask, l.clock(domain)))
	wait := time.Duration(l.random.ExpFloat64() * float64(mean))
	l.time.Schedule(wait, func() { l.arrive(domain, mean) })
}

func (l *lending) effects(domain string, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Reply:
			if e.Answer.Grant != nil {
				l.serve(domain, e.Answer.Grant)
			}
		case SendLoanRequest:
			l.send(func() { l.effects("a", l.pools["a"].Lend(e.Request, 100, l.clock("a"))) })
		case SendLoan:
			l.send(func() { l.effects("b", l.pools["b"].AcceptLoan(e.Loan, 0, l.clock("b"))) })
		}
	}
}

// send delivers a message late, twice or never.
func (l *lending) send(deliver func()) {
	const loss, twice = 0.2, 0.1
	if l.random.Float64() < loss {
		return
	}
	copies := 1
	if l.random.Float64() < twice {
		copies = 2
	}
	for range copies {
		wait := time.Duration(l.random.IntN(700)) * time.Millisecond
		l.time.Schedule(wait, func() {
			if !l.cut {
				deliver()
			}
		})
	}
}

// serve runs a request and counts what truly runs on the server.
func (l *lending) serve(domain string, grant *Grant) {
	id := grant.Server[strings.LastIndexByte(grant.Server, '/')+1:]
	if grant.Shifted {
		l.lent++
	}
	l.running[id]++
	if l.running[id] > l.slots[id] {
		l.t.Errorf("%s: server %s runs %d requests in %d slots", l.time.Now().Sub(start), id, l.running[id], l.slots[id])
	}
	work := min(time.Duration(l.random.ExpFloat64()*float64(300*time.Millisecond)), target-100*time.Millisecond)
	l.time.Schedule(work, func() {
		l.running[id]--
		finish := Finish{Service: "web", Ticket: grant.Ticket, Result: routing.ResultOK, Latency: work}
		l.effects(domain, l.pools[domain].Finish(finish, l.clock(domain)))
	})
}

// Two domains share servers through loans while messages are lost, doubled and
// reordered, the way is cut, and the borrower's clock is slow or fast: no server
// ever runs more than its slots.
func TestLoansNeverExceedSlots(t *testing.T) {
	const seeds = 30
	for _, rate := range []float64{0.9, 1, 1.1} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			lent := 0
			for seed := range uint64(seeds) {
				l := newLending(t, seed, rate)
				for second := 1; second <= 40; second++ {
					l.cut = second%10 >= 7
					l.time.RunUntil(start.Add(time.Duration(second) * time.Second))
				}
				lent += l.lent
			}
			if lent == 0 {
				t.Error("nothing ran on leased slots, so nothing was shown")
			}
		})
	}
}

// A leaving server is taken back from its lessees at once.
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
	t.Error("the lessee was not told that the server leaves")
}

// The headroom and the own use are never lent.
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
