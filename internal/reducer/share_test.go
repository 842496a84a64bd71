package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/share"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// shortVM returns a VM whose one server has no free slot and at which placing has refused a
// quarter of the requests for seconds, its route, and the time.
func shortVM(t *testing.T, customers ...document.Customer) (*State, *document.Route, time.Time) {
	t.Helper()
	s := splitVM(t, "web")
	loaded := splitDocument(5, []string{"web"}, routeTo("shop.example", "/", "web"))
	for _, c := range customers {
		c.Keys = []document.KeyDigest{document.DigestKey(c.Name)}
		loaded.Document.Customers.Customers = append(loaded.Document.Customers.Customers, c)
	}
	loaded.Document.FillDefaults()
	s.Apply(testStart, loaded)
	route, now := &s.document.Routes.Routes[0], testStart
	pool := s.placingPools["web"]
	for range 5 {
		pool.Begin(pool.Servers[0], now)
	}
	for i := range 1000 {
		result := share.Queued
		if i%4 == 0 {
			result = share.Refused
		}
		now = now.Add(5 * time.Millisecond)
		s.now = now // a VM whose time jumps counts as paused
		if shares := s.shares["web"]; shares != nil {
			shares.Admit(share.Request{Customer: "large", Route: route.Name}, now)
			shares.Placed(share.Request{Customer: "others", Route: route.Name}, result, now)
		}
	}
	return s, route, now
}

// Requests were refused that a customer was owed, that had been sent before or were decided by
// another VM, or where no customers are configured.
func TestOnlyCustomersAboveTheirShareAreRefused(t *testing.T) {
	customers := []document.Customer{{Name: "large"}, {Name: "small"}}
	tests := map[string]struct {
		customers []document.Customer
		request   relay.Request
		refused   bool
	}{
		"above its share":     {customers, relay.Request{Customer: "large"}, true},
		"below its share":     {customers, relay.Request{Customer: "small"}, false},
		"sent before":         {customers, relay.Request{Customer: "large", Grant: &dispatch.Grant{}}, false},
		"from another VM":     {customers, relay.Request{Customer: "large", TakenOver: true}, false},
		"without a customer":  {customers, relay.Request{}, false},
		"no customers at all": {nil, relay.Request{Customer: "large"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, route, now := shortVM(t, test.customers...)
			refused := 0
			for call := range uint64(10) {
				r := test.request
				r.KeyDigest = document.DigestKey(r.Customer)
				r.ID, r.Route, r.Deadline, r.TargetTime = fmt.Sprint(call), route, now.Add(time.Minute), now.Add(time.Minute)
				for _, effect := range s.Apply(now, RequestBegan{Call: call, Request: &r}) {
					answer, ok := effect.(Answer)
					if !ok {
						continue
					}
					if p := answer.Value.(relay.Step).Refuse; p != nil && p.Reason == "fair-share" {
						refused++
						if p.Status != 503 || p.Run != relay.RunNo || p.RetryAfter <= 0 {
							t.Errorf("refused with %+v", p)
						}
					}
				}
			}
			if refused > 0 != test.refused {
				t.Errorf("%d of 10 requests were refused for fair share", refused)
			}
		})
	}
}

// A customer whose callers use many entries was refused at none of them: each saw a small part of
// its demand.
func TestDemandOfTheDomainCounts(t *testing.T) {
	s, route, now := shortVM(t, document.Customer{Name: "limited", Rate: 1}, document.Customer{Name: "unlimited"})
	s.demandOf = func(string, time.Time) float64 { return 1e6 }
	for name, want := range map[string]bool{"limited": true, "unlimited": false} {
		refused := 0
		for range 10 {
			r := &relay.Request{Service: "web", Customer: name, Route: route, Deadline: now.Add(time.Minute)}
			if _, denied := s.askShare(r, placing.Choice{}); denied {
				refused++
			}
		}
		if refused > 0 != want {
			t.Errorf("%d of 10 requests of customer %q were refused", refused, name)
		}
	}
}

// An operator could not see that, or for whom, servers are short.
func TestShortageIsReported(t *testing.T) {
	s, route, now := shortVM(t, document.Customer{Name: "large"})
	for call := range uint64(10) {
		s.Apply(now, RequestBegan{Call: call, Request: &relay.Request{Customer: "large", KeyDigest: document.DigestKey("large"), Route: route, Deadline: now.Add(time.Minute), TargetTime: now.Add(time.Minute)}})
	}
	var outcomes []string
	for range 30 {
		now = now.Add(500 * time.Millisecond)
		for _, effect := range s.Apply(now, Tick{}) {
			if d, ok := effect.(Decision); ok && d.Code == CodeFairShare {
				outcomes = append(outcomes, d.Outcome)
			}
		}
	}
	if got := fmt.Sprint(outcomes); got != "[short ended]" {
		t.Errorf("logged %s", got)
	}
	if status := s.shareStatus(); len(status) == 0 || status[0].Refused == 0 {
		t.Errorf("status %+v", status)
	}
}
