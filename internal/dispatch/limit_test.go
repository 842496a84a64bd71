package dispatch

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// grantsIn plays a pool under more requests than its servers take, each of which runs
// for 40 ms, and returns the times of the grants.
func grantsIn(p *Pool, from time.Time, length time.Duration) []time.Time {
	var granted []time.Time
	running := make(map[uint64]time.Time)
	id := uint64(0)
	collect := func(effects []Effect, now time.Time) {
		for _, effect := range effects {
			if reply, ok := effect.(Reply); ok && reply.Answer.Grant != nil {
				granted = append(granted, now)
				running[reply.Answer.Grant.Ticket] = now
			}
		}
	}
	const step = 10 * time.Millisecond
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		for ticket, since := range running {
			if now.Sub(since) >= 40*time.Millisecond {
				delete(running, ticket)
				collect(p.Finish(Finish{Service: "web", Ticket: ticket, Result: routing.ResultOK, Latency: 40 * time.Millisecond}, now), now)
			}
		}
		id++
		collect(p.RequestSlot(SlotRequest{From: "b", ID: id, Service: "web", Remaining: target}, now), now)
		if now.Sub(from)%(50*time.Millisecond) == 0 {
			collect(p.Announce(routing.Announcement{ID: "s1", Address: "127.0.0.1:1", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}, now), now)
			collect(p.Tick(now, 50*time.Millisecond), now)
		}
	}
	return granted
}

func limitedPool(perSecond float64) *Pool {
	p := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a", Region: "r"}, &quarantine.Table{}, 1<<40)
	p.Announce(routing.Announcement{ID: "s1", Address: "127.0.0.1:1", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}, start)
	p.Note(ServerNotice{Service: "web", Server: "s1", Notice: routing.Notice{Limit: routing.Limit{Named: true, PerSecond: perSecond}}}, start)
	return p
}

// The owner granted slots of a server faster than the limit that the server names.
func TestOwnerKeepsLimits(t *testing.T) {
	const idle, length, window = 20 * time.Second, 20 * time.Second, 4 * time.Second
	for name, perSecond := range map[string]float64{"zero": 0, "below one": 0.5, "few": 2.4, "many": 30} {
		t.Run(name, func(t *testing.T) {
			granted := grantsIn(limitedPool(perSecond), start.Add(idle), length)
			limit := routing.Limit{Named: true, PerSecond: perSecond}
			allowed := int(routing.Burst(limit.Rate()) + limit.Rate()*window.Seconds())
			for i, at := range granted {
				within := 0
				for _, other := range granted[i:] {
					if other.Sub(at) < window {
						within++
					}
				}
				if within > allowed {
					t.Fatalf("%d grants in %v, allowed %d", within, window, allowed)
				}
			}
			if least := int(0.85 * perSecond * length.Seconds()); len(granted) < least {
				t.Errorf("%d grants in %v, want at least %d", len(granted), length, least)
			}
		})
	}
}

// Slots of a limited server are not lent, and those lent before are taken back at once.
func TestLimitedServerIsNotLent(t *testing.T) {
	p := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a", Region: "r"}, &quarantine.Table{}, 1<<40)
	p.Announce(routing.Announcement{ID: "s1", Address: "127.0.0.1:1", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}, start)
	p.Announce(routing.Announcement{ID: "s2", Address: "127.0.0.1:2", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}, start)
	request := LoanRequest{Service: "web", Lessee: "b", Peer: "b", Domain: "b", Region: "r", Sent: 1, Slots: 8}
	lent := func(effects []Effect) int {
		slots := -1
		for _, effect := range effects {
			if loan, ok := effect.(SendLoan); ok {
				slots = 0
				for _, s := range loan.Loan.Slots {
					if s.Server == "s1" {
						slots += s.Slots
					}
				}
			}
		}
		return slots
	}
	fresh := limitedPool(2)
	fresh.Announce(routing.Announcement{ID: "s2", Address: "127.0.0.1:2", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}, start)
	fresh.Routing.Refresh(start.Add(time.Second))
	if slots := lent(fresh.Lend(request, 100, start.Add(time.Second))); slots != 0 {
		t.Errorf("%d slots lent that were limited before", slots)
	}
	if slots := lent(p.Lend(request, 100, start)); slots < 1 {
		t.Fatalf("%d slots lent without a limit", slots)
	}
	limit := routing.Limit{Named: true, PerSecond: 2}
	if slots := lent(p.Note(ServerNotice{Service: "web", Server: "s1", Notice: routing.Notice{Limit: limit}}, start)); slots != 0 {
		t.Errorf("%d slots lent after the limit was named, want a message with none", slots)
	}
	request.Sent = 2
	p.Routing.Refresh(start.Add(time.Second))
	if slots := lent(p.Lend(request, 100, start.Add(time.Second))); slots != 0 {
		t.Errorf("%d slots of a limited server lent", slots)
	}
	p.Note(ServerNotice{Service: "web", Server: "s1", Notice: routing.Notice{Unlimited: true}}, start.Add(time.Second))
	request.Sent = 3
	if slots := lent(p.Lend(request, 100, start.Add(time.Second))); slots < 1 {
		t.Errorf("%d slots lent after the limit ended", slots)
	}
}

// A limit passes to the next owner.
func TestLimitOutlivesHandover(t *testing.T) {
	handover, _ := limitedPool(0.5).Release(start)
	next := NewPool(policy(), Location{VM: "b", Peer: "b", Domain: "a", Region: "r"}, &quarantine.Table{}, 1<<41)
	next.TakeOver(handover, start)
	if granted := grantsIn(next, start, 4*time.Second); len(granted) > 3 {
		t.Errorf("%d grants in 4 s by the next owner", len(granted))
	}
}

// A request that would wait for a limit until after its deadline is refused at once, and
// told when to return.
func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	p := limitedPool(0.5)
	for id, wait := range []time.Duration{0, 4 * time.Second} {
		denied := time.Duration(0)
		for _, effect := range p.RequestSlot(SlotRequest{From: "c", ID: uint64(id), Service: "web", Remaining: target}, start) {
			if reply, ok := effect.(Reply); ok && reply.Answer.Denial != nil {
				denied = reply.Answer.Denial.RetryAfter
			}
		}
		if denied != wait {
			t.Errorf("request %d: retry after %v, want %v", id, denied, wait)
		}
	}
}
