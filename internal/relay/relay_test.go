package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRequest(once bool) *Request {
	return &Request{
		ID:         "r1",
		Service:    "pay",
		Once:       once,
		Key:        ledger.Key{Service: "pay", Key: "k"},
		Deadline:   start.Add(time.Second),
		ClaimLease: 6 * time.Second,
		Replayable: true,
	}
}

func grantAnswer() dispatch.Answer {
	return dispatch.Answer{Grant: &dispatch.Grant{Ticket: 1, Server: "s1"}}
}

// Without a claim, two VMs could both send a `once` request with the same key.
func TestOnceRequestIsClaimedBeforeSend(t *testing.T) {
	r := newRequest(true)
	step := r.Start(start, &RetryBudget{})
	if step.Claim == nil {
		t.Fatalf("first step %+v, want a claim", step)
	}
	step = r.HandleClaimResult(&ledger.ClaimResult{Code: ledger.ClaimGranted}, nil, start)
	if step.SlotRequest == nil {
		t.Fatalf("step %+v after the claim, want a slot request", step)
	}
	if step = r.HandleSlotAnswer(grantAnswer(), nil, start); step.Send == nil {
		t.Fatalf("step %+v after the grant, want a send", step)
	}
}

// A refusal says that nothing ran, and releases the claim, only where that is certain.
func TestClaimResults(t *testing.T) {
	tests := map[string]struct {
		result   ledger.ClaimResult
		err      error
		after    time.Duration // since the start of the request
		run      RunState
		releases bool
	}{
		"earlier outcome lost":          {result: ledger.ClaimResult{Code: ledger.ClaimOutcomeUnknown}, run: RunUnknown},
		"key of another request":        {result: ledger.ClaimResult{Code: ledger.ClaimMismatch}, run: RunNo},
		"claim table full":              {result: ledger.ClaimResult{Code: ledger.ClaimTableFull}, run: RunNo},
		"still running at the deadline": {result: ledger.ClaimResult{Code: ledger.ClaimRunning}, after: 950 * time.Millisecond, run: RunUnknown},
		"no leader until the deadline":  {err: errors.New("no leader"), after: 990 * time.Millisecond, run: RunNo, releases: true},
		"granted after the deadline":    {result: ledger.ClaimResult{Code: ledger.ClaimGranted}, after: 2 * time.Second, run: RunNo, releases: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(true)
			r.Start(start, &RetryBudget{})
			step := r.HandleClaimResult(&test.result, test.err, start.Add(test.after))
			if step.Refuse == nil || step.Refuse.Run != test.run || (step.Release != nil) != test.releases {
				t.Errorf("step %+v, problem %+v", step, step.Refuse)
			}
		})
	}
}

// A send that may have run is retried only where it may run twice, and is never
// reported as not run.
func TestSendResults(t *testing.T) {
	tests := map[string]struct {
		once      bool
		result    routing.Result
		suspicion quarantine.Phase
		retried   bool
		run       RunState
	}{
		"shed":                           {result: routing.ResultShed, retried: true},
		"once, shed":                     {once: true, result: routing.ResultShed, retried: true},
		"once, no connection":            {once: true, result: routing.ResultDialFailed, retried: true},
		"once, broken":                   {once: true, result: routing.ResultBroken, run: RunUnknown},
		"broken and suspected":           {result: routing.ResultBroken, suspicion: quarantine.Suspected, run: RunUnknown},
		"broken and not suspected":       {result: routing.ResultBroken, retried: true},
		"error":                          {result: routing.ResultError, retried: true},
		"timeout":                        {result: routing.ResultTimeout, run: RunUnknown},
		"once, broken and not suspected": {once: true, result: routing.ResultBroken, run: RunUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(test.once)
			budget := &RetryBudget{}
			r.Start(start, budget)
			r.HandleSlotAnswer(grantAnswer(), nil, start)
			step := r.HandleSendResult(SendEnd{Result: test.result, Suspicion: test.suspicion}, start, budget)
			if test.retried {
				if step.SlotRequest == nil {
					t.Errorf("step %+v, want another slot request", step)
				}
				return
			}
			if step.Refuse == nil || step.Refuse.Run != test.run {
				t.Errorf("step %+v, want a refusal with run %q", step, test.run)
			}
		})
	}
}

// Servers that refuse all requests must not get many more of them as retries.
func TestRetriesStayWithinBudget(t *testing.T) {
	budget := &RetryBudget{}
	const requests = 1000
	sends := 0
	for range requests {
		r := newRequest(false)
		r.Start(start, budget)
		step := r.HandleSlotAnswer(grantAnswer(), nil, start)
		for step.Send != nil {
			sends++
			if step = r.HandleSendResult(SendEnd{Result: routing.ResultShed}, start, budget); step.SlotRequest != nil {
				step = r.HandleSlotAnswer(grantAnswer(), nil, start)
			}
		}
	}
	if limit := requests + requests/10 + initialRetryTokens; sends > limit {
		t.Errorf("%d sends for %d requests, want at most %d", sends, requests, limit)
	}
}

// A refused retry must not hide that the first send may have run.
func TestRefusalAfterBrokenSendSaysUnknown(t *testing.T) {
	r := newRequest(false)
	budget := &RetryBudget{}
	r.Start(start, budget)
	r.HandleSlotAnswer(grantAnswer(), nil, start)
	r.HandleSendResult(SendEnd{Result: routing.ResultBroken}, start, budget)
	step := r.HandleSlotAnswer(dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonQueueFull}}, nil, start)
	if step.Refuse.Run != RunUnknown {
		t.Errorf("run %q after a broken send, want unknown", step.Refuse.Run)
	}
}

// A request that may have run must not be refused with a status that callers take
// to mean that it did not run.
func TestRefusalAfterPossibleRunAvoidsNotRunStatus(t *testing.T) {
	route := &document.Route{Name: "web", Kind: document.KindRepeat, Tries: 2}
	denial := dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonQueueFull}}
	tests := map[string]func(r *Request, budget *RetryBudget) Step{
		"broken, then no slot": func(r *Request, budget *RetryBudget) Step {
			r.HandleSendResult(SendEnd{Result: routing.ResultBroken}, start, budget)
			return r.HandleSlotAnswer(denial, nil, start)
		},
		"broken, then shed, then no slot": func(r *Request, budget *RetryBudget) Step {
			r.HandleSendResult(SendEnd{Result: routing.ResultBroken}, start, budget)
			r.HandleSlotAnswer(grantAnswer(), nil, start)
			r.HandleSendResult(SendEnd{Result: routing.ResultShed}, start, budget)
			return r.HandleSlotAnswer(denial, nil, start)
		},
		"error answer, then no slot": func(r *Request, budget *RetryBudget) Step {
			r.HandleSendResult(SendEnd{Result: routing.ResultError}, start, budget)
			return r.HandleSlotAnswer(denial, nil, start)
		},
		"broken, then owner unreachable": func(r *Request, budget *RetryBudget) Step {
			r.HandleSendResult(SendEnd{Result: routing.ResultBroken}, start, budget)
			return r.HandleSlotAnswer(dispatch.Answer{}, errors.New("owner unreachable"), start)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(false)
			r.Route = route
			budget := &RetryBudget{}
			r.Start(start, budget)
			r.HandleSlotAnswer(grantAnswer(), nil, start)
			step := act(r, budget)
			if step.Refuse == nil {
				t.Fatalf("step %+v, want a refusal", step)
			}
			if step.Refuse.Run != RunUnknown || StatusMeansNotRun(step.Refuse.Status) {
				t.Errorf("status %d, run %s", step.Refuse.Status, step.Refuse.Run)
			}
		})
	}
}
