package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/detour"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// What was passed on and may have run is sent again only if it may run twice, and not refused as not run.
func TestDetourResults(t *testing.T) {
	refusal := func(status int, reason string, run RunState) *Problem {
		return &Problem{Status: status, Reason: reason, Run: run, RetryAfter: time.Second}
	}
	tests := map[string]struct {
		result DetourResult
		once   bool
		next   string // claim, slot, stream, or the status of the refusal
		run    RunState
	}{
		"answer of a server":            {result: DetourResult{Result: routing.ResultOK}, next: "stream"},
		"error of a server":             {result: DetourResult{Result: routing.ResultError}, next: "stream"},
		"not reached":                   {result: DetourResult{Result: routing.ResultDialFailed}, next: "slot"},
		"not reached, once":             {result: DetourResult{Result: routing.ResultDialTimeout}, once: true, next: "claim"},
		"hop breaks":                    {result: DetourResult{Result: routing.ResultBroken}, next: "slot"},
		"hop breaks, once":              {result: DetourResult{Result: routing.ResultBroken}, once: true, next: "502", run: RunUnknown},
		"deadline, once":                {result: DetourResult{Result: routing.ResultTimeout}, once: true, next: "504", run: RunUnknown},
		"no way there either":           {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(503, ReasonNoWay, RunNo)}, next: "slot"},
		"no way there after a run":      {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(502, ReasonNoWay, RunUnknown)}, next: "502", run: RunUnknown},
		"full of other VMs' requests":   {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(503, ReasonDetoursFull, RunNo)}, once: true, next: "claim"},
		"no way there, body is gone":    {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(503, ReasonNoWay, RunNo), BodyUsed: true}, next: "503", run: RunNo},
		"full there, body is gone":      {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(503, ReasonDetoursFull, RunNo), BodyUsed: true}, next: "503", run: RunNo},
		"body can't be read again":      {result: DetourResult{Result: routing.ResultUnused}, next: "503", run: RunNo},
		"servers are busy":              {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(503, "queue-full", RunNo)}, next: "503", run: RunNo},
		"outcome of the key is unknown": {result: DetourResult{Result: routing.ResultShed, Refusal: refusal(409, "outcome-unknown", RunUnknown)}, once: true, next: "409", run: RunUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(test.once)
			budget := &RetryBudget{}
			first := r.Start(start, budget)
			if step := r.PassOn(detour.Helper{VM: "other"}, first); step.Detour == nil || step.Detour.VM != "other" {
				t.Fatalf("step %+v, want a detour", step)
			}
			step := r.HandleDetourResult(test.result, start.Add(time.Millisecond), budget)
			got := ""
			switch {
			case step.Claim != nil:
				got = "claim"
			case step.SlotRequest != nil:
				got = "slot"
			case step.Stream:
				got = "stream"
			case step.Refuse != nil:
				got = fmt.Sprint(step.Refuse.Status)
				if step.Refuse.Run != test.run {
					t.Errorf("refused with run %q, want %q", step.Refuse.Run, test.run)
				}
			}
			if got != test.next {
				t.Errorf("next is %q (%+v), want %q", got, step, test.next)
			}
		})
	}
}

// Two VMs that both believe the other one reaches the servers would pass a request to and fro.
func TestRequestIsPassedOnOnce(t *testing.T) {
	r := newRequest(false)
	r.TakenOver = true
	if r.MayDetour() {
		t.Error("a request that was taken over may be passed on again")
	}
	r = newRequest(false)
	for i := range maxHelpers {
		if !r.MayDetour() {
			t.Fatalf("only %d VMs may be asked", i)
		}
		r.PassOn(detour.Helper{VM: fmt.Sprint("vm-", i)}, Step{})
	}
	if r.MayDetour() {
		t.Errorf("more than %d VMs may be asked", maxHelpers)
	}
}

// The VM that passed a request on continues with the same claim, so the one that cannot serve
// it must not release that.
func TestTakenOverRequestWithoutWayKeepsItsClaim(t *testing.T) {
	r := newRequest(true)
	r.TakenOver = true
	r.Start(start, &RetryBudget{})
	step := r.HandleClaimResult(&ledger.ClaimResult{Code: ledger.ClaimGranted}, nil, start)
	for range maxTries {
		if step.SlotRequest == nil {
			t.Fatalf("step %+v, want a slot request", step)
		}
		r.HandleSlotAnswer(grantAnswer(), nil, start)
		step = r.HandleSendResult(SendEnd{Result: routing.ResultDialFailed}, start, &RetryBudget{})
	}
	if step.Refuse == nil || step.Refuse.Reason != ReasonNoWay || step.Refuse.Status != http.StatusServiceUnavailable || step.Release != nil {
		t.Errorf("step %+v, problem %+v; want %s without a release", step, step.Refuse, ReasonNoWay)
	}
}

// A VM that stopped released the claim with which the VM that had passed the request on continued.
func TestHelperThatStopsKeepsTheClaim(t *testing.T) {
	denials := map[string]struct {
		reason  dispatch.Reason
		release bool
	}{
		"stopping":   {reason: dispatch.ReasonStopping},
		"queue full": {reason: dispatch.ReasonQueueFull, release: true},
	}
	for name, test := range denials {
		t.Run(name, func(t *testing.T) {
			helper := newRequest(true)
			helper.TakenOver = true
			helper.Start(start, &RetryBudget{})
			helper.HandleClaimResult(&ledger.ClaimResult{Code: ledger.ClaimGranted}, nil, start)
			refusal := helper.HandleSlotAnswer(dispatch.Answer{Denial: &dispatch.Denial{Reason: test.reason}}, nil, start)
			if (refusal.Release != nil) != test.release {
				t.Errorf("the helper's step %+v, want a release: %v", refusal, test.release)
			}
			first := newRequest(true)
			first.PassOn(detour.Helper{VM: "h"}, first.Start(start, &RetryBudget{}))
			step := first.HandleDetourResult(DetourResult{Result: routing.ResultShed, Refusal: refusal.Refuse}, start, &RetryBudget{})
			if (step.Claim != nil) == test.release {
				t.Errorf("the step of the VM that passed it on is %+v, want it to continue: %v", step, !test.release)
			}
			late := first.HandleDetourResult(DetourResult{Result: routing.ResultShed, Refusal: refusal.Refuse}, first.Deadline, &RetryBudget{})
			if (late.Release != nil) == test.release {
				t.Errorf("after the deadline its step is %+v, want one of the two VMs to release the claim", late)
			}
		})
	}
}

// Retries of a request count against the sends of the VM that passed it on, and its first try
// is counted there.
func TestTakenOverRequestContinuesTheCounts(t *testing.T) {
	budget := &RetryBudget{Ratio: 1}
	r := newRequest(false)
	r.TakenOver, r.EarlierRuns = true, maxTries-1
	r.Start(start, budget)
	if budget.TakeRetry() {
		t.Error("a request that was taken over counts as a first try here too")
	}
	budget.CountFirstTry()
	r.HandleSlotAnswer(grantAnswer(), nil, start)
	if step := r.HandleSendResult(SendEnd{Result: routing.ResultBroken, Suspicion: 1}, start, budget); step.Refuse == nil {
		t.Errorf("step %+v after as many runs as a request may have, want a refusal", step)
	}
}

// A body that is not in memory was not read while no connection came.
func TestLargeBodyIsSentElsewhereWhenNoConnectionCame(t *testing.T) {
	r := newRequest(false)
	r.Replayable = false
	r.Start(start, &RetryBudget{})
	r.HandleSlotAnswer(grantAnswer(), nil, start)
	if step := r.HandleSendResult(SendEnd{Result: routing.ResultDialTimeout}, start, &RetryBudget{}); step.SlotRequest == nil {
		t.Errorf("step %+v, want another slot request", step)
	}
}

// A VM with a newer document ran a request again that had been sent by an older one.
func TestTakenOverRequestIsNotRepeatedWhereItsRouteForbidsIt(t *testing.T) {
	tests := map[string]struct {
		kind        document.Kind
		earlierRuns int
		serves      bool
	}{
		"may be repeated":                   {document.KindRepeat, 1, true},
		"once at most, not sent before":     {document.KindAttempt, 0, true},
		"once at most, may have run before": {document.KindAttempt, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(false)
			r.Route = &document.Route{Name: "web", Kind: test.kind, Tries: 3}
			r.TakenOver, r.EarlierRuns = true, test.earlierRuns
			step := r.Start(start, &RetryBudget{})
			if serves := step.SlotRequest != nil; serves != test.serves {
				t.Fatalf("step %+v, want the request served: %v", step, test.serves)
			}
			if !test.serves && (step.Refuse.Status != http.StatusBadGateway || step.Refuse.Run != RunUnknown) {
				t.Errorf("refused with %+v", step.Refuse)
			}
		})
	}
}

// Of several VMs that are cut together, the one that is not may refuse for a moment; it must be asked again.
func TestVMThatRefusedForAMomentIsAskedAgain(t *testing.T) {
	tests := map[string]struct {
		reason string
		retry  time.Duration
		again  bool
	}{
		"it does not know yet whether it is cut": {reason: ReasonNoWay, retry: noWayRetry / 5, again: true},
		"it is cut":                              {reason: ReasonNoWay, retry: noWayRetry},
		"an earlier build, in whole seconds":     {reason: ReasonNoWay, retry: time.Second},
		"it serves many":                         {reason: ReasonDetoursFull, retry: noWayRetry / 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(false)
			budget := &RetryBudget{}
			step := r.Start(start, budget)
			tries := 0
			for ; r.MayDetour(); tries++ {
				r.PassOn(detour.Helper{VM: "other"}, step)
				refusal := &Problem{Status: 503, Reason: test.reason, Run: RunNo, RetryAfter: test.retry}
				step = r.HandleDetourResult(DetourResult{Result: routing.ResultShed, Refusal: refusal}, start, budget)
				if step.SlotRequest == nil {
					t.Fatalf("step %+v, want a request for a slot", step)
				}
				if got := len(r.TriedHelpers()) == 0; got != test.again {
					t.Errorf("may be asked again: %v, want %v", got, test.again)
				}
			}
			if tries != maxHelpers {
				t.Errorf("asked %d times, want %d", tries, maxHelpers)
			}
		})
	}
}
