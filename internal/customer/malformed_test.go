package customer

import (
	"math"
	"testing"
	"time"
)

// Messages of a faulty VM must not create tokens, nor leave numbers behind with which an allocator
// or an entry serves nobody any more.
func TestMalformedMessagesCreateNoTokens(t *testing.T) {
	terms := Terms{Rate: 10, Burst: 20, Window: 5 * time.Second, Overage: 0.1, Slack: 20, Domains: 2}
	limit := Limit{Customer: "acme", Document: 1, Terms: terms}
	tests := map[string]func(a *Allocator, now time.Time){
		"none": func(*Allocator, time.Time) {},
		"negative counts": func(a *Allocator, now time.Time) {
			a.Allow(Request{ID: 1, Customer: "acme", Waiting: -1000, Ahead: -1000, Arrived: -1000}, limit, now)
		},
		"huge arrivals": func(a *Allocator, now time.Time) {
			a.Allow(Request{ID: 1, Customer: "acme", Arrived: math.MaxInt}, limit, now)
		},
		"negative loan": func(a *Allocator, now time.Time) {
			a.Lend(LoanRequest{ID: 1, Customer: "acme", Count: math.MinInt}, limit, now)
		},
		"loan of more than was asked": func(a *Allocator, now time.Time) {
			a.Allow(Request{ID: 1, Peer: "b", Customer: "acme", Waiting: 20, Arrived: 20}, limit, now)
			for _, r := range a.Wanted(true, now) {
				a.TakeLoan(LoanGrant{ID: r.ID, Domain: r.Domain, Customer: "acme", Count: 100_000, Left: math.NaN(), Gain: math.NaN()}, now)
			}
			a.Answers(now)
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAllocator("a", 0, testStart)
			a.SetFleet(Fleet{Domain: "d0", Domains: []string{"d0", "d1"}, Heard: []string{"d1"}, Share: 1}, testStart)
			now := testStart.Add(time.Minute)
			send(a, now)
			later := now.Add(time.Minute)
			g, _ := a.Allow(Request{ID: 2, Peer: "c", Customer: "acme", Waiting: 1000, Arrived: 1}, limit, now)
			total := g.Count
			for _, answer := range a.Answers(now.Add(holdFor)) {
				total += answer.Grant.Count
			}
			if total > 30 {
				t.Errorf("%d allowances at once, want at most those of the bucket and of one loan, 30", total)
			}
			a.Retain(func(string) bool { return true }, later)
			if g, answered := a.Allow(Request{ID: 3, Peer: "c", Customer: "acme", Waiting: 1, Arrived: 1}, limit, later); !answered || g.Count != 1 || g.Demand < 0 || math.IsNaN(g.Demand) || g.Demand > 1e7 {
				t.Errorf("a minute later, got %+v (%v), want 1 allowance", g, answered)
			}
		})
	}
}

func TestDemandOfAFaultyAllocatorIsIgnored(t *testing.T) {
	c := NewCredit("a", 0)
	c.Take(Limit{Customer: "acme", Terms: Terms{Rate: 10, Burst: 20, Window: 5 * time.Second, Domains: 2}}, testStart)
	c.Park("acme", 1, maxPatience, testStart)
	for _, r := range c.Ask(testStart) {
		c.Receive(Grant{ID: r.ID, Customer: "acme", Count: -5, Demand: math.NaN(), Wait: -time.Hour, Spacing: -time.Hour}, testStart)
	}
	if demand := c.Demand("acme", testStart); math.IsNaN(demand) {
		t.Error("the demand is not a number")
	}
	if wait, parked := c.Park("acme", 2, maxPatience, testStart); !parked && wait < 0 {
		t.Errorf("a caller is told to return after %v", wait)
	}
}
