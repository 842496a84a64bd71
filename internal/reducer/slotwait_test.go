package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// waitingVM returns a VM at which a long request, call 1, waits for a slot, and the run that
// holds the only slot that long work may use; the server has four.
func waitingVM(t *testing.T, customers ...document.Customer) (*State, func(now time.Time)) {
	t.Helper()
	const short, shortRun, longRun = "short", 100 * time.Millisecond, 1500 * time.Millisecond
	s := splitVM(t, "web")
	reports := routeTo("shop.example", "/", "web")
	reports.Target = document.Duration(6 * time.Second)
	loaded := splitDocument(5, []string{"web"}, reports)
	for _, c := range customers {
		c.Keys = []document.KeyDigest{document.DigestKey(c.Name)}
		loaded.Document.Customers.Customers = append(loaded.Document.Customers.Customers, c)
	}
	loaded.Document.FillDefaults()
	s.Apply(testStart, loaded)
	route, pool := &s.document.Routes.Routes[0], s.placingPools["web"]
	server, class := pool.Servers[0], route.Location()
	for range 40 {
		for class, run := range map[string]time.Duration{short: shortRun, class: longRun} {
			pool.BeginRun(server, placing.Run{Class: class, Target: 4 * run}, testStart)
			pool.End(server, placing.Outcome{Class: class, Target: 4 * run, Unqueued: true, Result: routing.ResultOK, Latency: run}, testStart)
		}
	}
	for range 4 {
		pool.BeginRun(server, placing.Run{Class: class, Target: 6 * time.Second}, testStart)
	}
	for _, effect := range s.Apply(testStart, RequestBegan{Call: 1, Request: &relay.Request{
		ID: "r1", Route: route, Host: "shop.example", Path: "/", BodyBytes: 100,
		Deadline: testStart.Add(20 * time.Second), TargetTime: testStart.Add(6 * time.Second), Holder: s.Settings.VM, Replayable: true,
	}}) {
		if answer, ok := effect.(Answer); ok {
			t.Fatalf("the request does not wait: %+v", answer.Value)
		}
	}
	if status := s.slotStatus(); len(status) != 1 || status[0].Waiting != 1 || status[0].Bytes != 100 || status[0].Reserved < 1 {
		t.Fatalf("status %+v, want one request with 100 bytes that waits, and reserved slots", status)
	}
	return s, func(now time.Time) {
		for range 4 {
			pool.End(server, placing.Outcome{Class: class, Result: routing.ResultCancelled}, now)
		}
	}
}

// A request that waits for a slot must be answered exactly once, whatever ends its wait, and must
// leave nothing behind.
func TestWaitForSlotEndsOnce(t *testing.T) {
	moved := splitDocument(6, []string{"web", "other"}, routeTo("shop.example", "/", "other"))
	moved.Document.FillDefaults()
	tests := map[string]struct {
		event  func(s *State, free func(time.Time), now time.Time) []Effect
		sent   bool
		reason string // of a refusal
	}{
		"nothing happens": {event: func(s *State, _ func(time.Time), now time.Time) []Effect { return s.Apply(now, Tick{}) }},
		"room": {sent: true, event: func(s *State, free func(time.Time), now time.Time) []Effect {
			free(now)
			return s.Apply(now, Tick{})
		}},
		"the caller leaves": {event: func(s *State, free func(time.Time), now time.Time) []Effect {
			effects := s.Apply(now, RequestEnded{Call: 1, Result: routing.ResultCancelled})
			free(now)
			return append(effects, s.Apply(now, Tick{})...)
		}},
		"the VM stops": {reason: string(dispatch.ReasonStopping), event: func(s *State, _ func(time.Time), now time.Time) []Effect {
			s.leaving = true
			return s.Apply(now, Tick{})
		}},
		"the route leads elsewhere": {reason: string(dispatch.ReasonNoServers), event: func(s *State, _ func(time.Time), now time.Time) []Effect {
			return s.Apply(now, moved)
		}},
		"too little time is left": {reason: string(dispatch.ReasonQueueFull), event: func(s *State, _ func(time.Time), now time.Time) []Effect {
			s.requests[1].Deadline = now.Add(time.Second)
			w := s.entryWaits[1]
			w.waiter.Deadline = s.requests[1].Deadline
			s.entryWaits[1] = w
			return s.Apply(now, Tick{})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, free := waitingVM(t)
			now := testStart.Add(200 * time.Millisecond)
			effects := test.event(s, free, now)
			for i := range 4 {
				effects = append(effects, s.Apply(now.Add(time.Duration(i+1)*200*time.Millisecond), Tick{})...)
			}
			var steps []relay.Step
			for _, effect := range effects {
				if answer, ok := effect.(Answer); ok {
					steps = append(steps, answer.Value.(relay.Step))
				}
			}
			switch {
			case !test.sent && test.reason == "":
				if len(steps) > 0 {
					t.Errorf("answered with %+v, want no answer", steps)
				}
				return
			case len(steps) != 1:
				t.Fatalf("%d answers: %+v", len(steps), steps)
			case test.sent && steps[0].Send == nil:
				t.Errorf("answered with %+v, want a send", steps[0])
			case !test.sent && (steps[0].Refuse == nil || steps[0].Refuse.Reason != test.reason):
				t.Errorf("answered with %+v, want %s", steps[0].Refuse, test.reason)
			}
			if pool := s.placingPools["web"]; len(s.entryWaits) > 0 || pool != nil && pool.Waiting.Len()+pool.Waiting.Bytes() > 0 {
				t.Errorf("%d waits are left", len(s.entryWaits))
			}
		})
	}
}

// Requests that waited for a slot were sent on the allowances of their arrival, so that those of a whole
// shortage could leave together, beyond the bound of their customer.
func TestWaitForSlotNeedsANewAllowance(t *testing.T) {
	const name = "acme"
	for state, enough := range map[string]bool{"allowance left": true, "none left": false} {
		t.Run(state, func(t *testing.T) {
			s, free := waitingVM(t, document.Customer{Name: name, Rate: 4, Burst: 4})
			s.startedAt = testStart.Add(-time.Minute) // the VM allocates
			s.requests[1].Customer, s.requests[1].KeyDigest, s.requests[1].Once = name, document.DigestKey(name), true
			limit, _ := s.limitOf(name)
			s.customers.allocator.Allow(customer.Request{ID: 1, Peer: "other:1", Customer: name}, limit, testStart) // its bucket fills from now on
			now := testStart
			for range 20 { // a VM whose time jumps counts as paused
				now = now.Add(50 * time.Millisecond)
				s.Apply(now, Tick{})
			}
			taken := 0
			for !enough && taken < 100 {
				request := customer.Request{ID: uint64(1000 + taken), Peer: "other:1", Customer: name, Waiting: 1}
				if grant, _ := s.customers.allocator.Allow(request, limit, now); grant.Count == 0 {
					break
				}
				taken++
			}
			counted := *s.customers.counts.Of(name)
			free(now)
			var step relay.Step
			for range 10 {
				for _, effect := range s.Apply(now, Tick{}) {
					if answer, ok := effect.(Answer); ok {
						step = answer.Value.(relay.Step)
					}
				}
				now = now.Add(50 * time.Millisecond)
			}
			if sent := step.Send != nil; sent != enough {
				t.Errorf("sent: %v (%+v), want %v", sent, step.Refuse, enough)
			}
			if !enough && (step.Refuse == nil || step.Refuse.Reason != ReasonOverAllowance) {
				t.Errorf("refused with %+v, want %s", step.Refuse, ReasonOverAllowance)
			}
			if !enough && step.Release == nil {
				t.Error("the claim on the key of a refused request is kept")
			}
			if !enough {
				counted.Refused++
			}
			if got := *s.customers.counts.Of(name); got != counted {
				t.Errorf("counts %+v, want %+v: the request was counted on arrival", got, counted)
			}
			if waits := len(s.entryWaits) + len(s.customers.parked); waits != 0 {
				t.Errorf("%d waits are left", waits)
			}
			if count := s.slotCount("web"); count.placed+count.refused != 1 {
				t.Errorf("slots counted %+v, want one request placed or refused", *count)
			}
		})
	}
}
