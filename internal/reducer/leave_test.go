package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/member"
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

// A request whose first server failed during a stop was answered 502, since no other server would have
// answered in time.
func TestStoppingVMHandsOverWhatMayHaveRun(t *testing.T) {
	const longest = 2 * time.Second // of the runs so far
	tests := map[string]struct {
		kind     document.Kind
		evidence relay.Evidence
		stopAt   time.Duration // after the second request began
		helper   bool          // another VM is known
		status   int           // of a refusal; 0 for a request that is passed on
	}{
		"may have run":                          {kind: document.KindRepeat, evidence: relay.EvidenceWritten, stopAt: time.Second, helper: true},
		"may have run, the stop is over":        {kind: document.KindRepeat, evidence: relay.EvidenceWritten, stopAt: 100 * time.Millisecond, helper: true},
		"may have run, no other VM":             {kind: document.KindRepeat, evidence: relay.EvidenceWritten, stopAt: time.Second, status: 502},
		"may have run, and may not be repeated": {kind: document.KindAttempt, evidence: relay.EvidenceWritten, stopAt: time.Second, helper: true, status: 502},
		"did not run":                           {kind: document.KindRepeat, evidence: relay.EvidenceStated, stopAt: time.Second, helper: true, status: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := splitVM(t, "orders", "orders2")
			second := s.roster.Find("orders2-1").Record
			second.Service, second.Sequence = "orders", 2
			s.roster.Announce(second, testStart)
			s.Apply(testStart, splitDocument(5, []string{"orders"}, document.Route{
				Name: "default", Host: "shop.example", Path: "/", Kind: test.kind, Tries: 3, To: []document.Target{{Service: "orders", Weight: 1}},
			}))
			now := testStart.Add(100 * time.Millisecond)
			stepOf := func(event Event) relay.Step {
				s.Apply(now, Tick{})
				for _, effect := range s.Apply(now, event) {
					if answer, ok := effect.(Answer); ok {
						return answer.Value.(relay.Step)
					}
				}
				return relay.Step{}
			}
			begin := func(call uint64) relay.Step {
				return stepOf(RequestBegan{Call: call, Request: &relay.Request{
					ID: fmt.Sprint("r", call), Service: "orders", Replayable: true, Route: &s.document.Routes.Routes[0],
					Deadline: now.Add(10 * time.Second), TargetTime: now.Add(5 * time.Second),
				}})
			}
			for call := range uint64(4) { // both servers are known to be slow
				begin(call + 1)
				now = now.Add(longest)
				stepOf(RequestSent{Call: call + 1, Result: routing.ResultOK, Latency: longest, Evidence: relay.EvidenceAnswered})
				s.Apply(now, RequestEnded{Call: call + 1, Result: routing.ResultOK, Latency: longest})
			}
			if step := begin(9); step.Send == nil {
				t.Fatalf("not sent: %+v", step)
			}
			if test.helper {
				s.Apply(now, Received{Message{Gossip: &member.Gossip{From: member.VM{ID: "a2", Peer: "a2:1", Entry: "a2:2", Domain: "a", Region: "north", Document: 5}}}})
			}
			s.Apply(now, Leave{StopAt: now.Add(test.stopAt)})
			now = now.Add(200 * time.Millisecond)
			result := routing.ResultBroken
			if test.evidence == relay.EvidenceStated {
				result = routing.ResultShed
			}
			step := stepOf(RequestSent{Call: 9, Result: result, Evidence: test.evidence, Latency: 200 * time.Millisecond})
			switch {
			case test.status == 0 && (step.Detour == nil || step.Detour.VM != "a2" || step.Detour.Runs != 1):
				t.Errorf("got %+v (%+v), want it passed on to a2", step, step.Refuse)
			case test.status != 0 && (step.Refuse == nil || step.Refuse.Status != test.status):
				t.Errorf("got %+v (%+v), want it refused with %d", step, step.Refuse, test.status)
			}
		})
	}
}
