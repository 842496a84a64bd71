package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// A VM that stops takes a request only if it can be finished before.
func TestLeavingVMTakesWhatItCanFinish(t *testing.T) {
	const longest = 2 * time.Second // of the runs so far
	leave := &Leave{AcceptUntil: testStart.Add(13 * time.Second), StopAt: testStart.Add(16 * time.Second)}
	tests := map[string]struct {
		leave  *Leave
		at     time.Duration // since testStart; the VM leaves at 10 s
		reason string        // of a refusal; empty if the request is sent
	}{
		"not leaving":                          {at: 15 * time.Second},
		"leaving, no end given":                {leave: &Leave{}, at: 15 * time.Second},
		"ends in time":                         {leave: leave, at: 12 * time.Second},
		"accepts no more":                      {leave: leave, at: 13 * time.Second, reason: relay.ReasonStopping},
		"would outlast the stop":               {leave: &Leave{StopAt: testStart.Add(13500 * time.Millisecond)}, at: 12 * time.Second, reason: relay.ReasonStopping},
		"the stop is over":                     {leave: &Leave{StopAt: testStart.Add(12 * time.Second)}, at: 12 * time.Second, reason: relay.ReasonStopping},
		"a later stop replaces an earlier one": {leave: &Leave{StopAt: testStart.Add(30 * time.Second)}, at: 15 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := splitVM(t, "orders")
			s.Apply(testStart, splitDocument(5, []string{"orders"}, document.Route{
				Name: "default", Host: "shop.example", Path: "/", Kind: document.KindAttempt, Tries: 1,
				To: []document.Target{{Service: "orders", Weight: 1}},
			}))
			route := &s.document.Routes.Routes[0]
			begin := func(call uint64, now time.Time) relay.Step {
				s.Apply(now, Tick{})
				r := &relay.Request{ID: "r", Route: route, Deadline: now.Add(10 * time.Second), TargetTime: now.Add(5 * time.Second)}
				for _, effect := range s.Apply(now, RequestBegan{Call: call, Request: r}) {
					if answer, ok := effect.(Answer); ok {
						return answer.Value.(relay.Step)
					}
				}
				t.Fatalf("no answer to request %d", call)
				return relay.Step{}
			}
			begin(1, testStart)
			s.Apply(testStart.Add(longest), RequestSent{Call: 1, Result: routing.ResultOK, Latency: longest})
			s.Apply(testStart.Add(longest), RequestEnded{Call: 1, Result: routing.ResultOK, Latency: longest})
			if test.leave != nil {
				s.Apply(testStart.Add(10*time.Second), Leave{StopAt: testStart.Add(11 * time.Second)})
				s.Apply(testStart.Add(10*time.Second), *test.leave)
			}
			step := begin(2, testStart.Add(test.at))
			switch {
			case test.reason == "" && step.Send == nil:
				t.Errorf("not sent: %+v", step.Refuse)
			case test.reason != "" && (step.Refuse == nil || step.Refuse.Reason != test.reason || step.Refuse.Run != relay.RunNo || step.Refuse.RetryAfter != stoppingRetry):
				t.Errorf("got %+v, want it refused as %s", step, test.reason)
			}
		})
	}
}
