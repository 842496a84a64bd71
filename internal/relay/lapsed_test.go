package relay

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/detour"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// A process that stood still between the grant and the send finds the deadline, and
// with it the grant, passed. It sends nothing; what it says about the run is true.
func TestGrantIsNotUsedAfterItsDeadline(t *testing.T) {
	late := start.Add(3 * time.Second)
	tests := map[string]struct {
		brokenBefore bool // an earlier send may have run
		status       int
		run          RunState
		releases     bool
	}{
		"nothing was sent":     {status: http.StatusServiceUnavailable, run: RunNo, releases: true},
		"a send broke earlier": {brokenBefore: true, status: http.StatusGatewayTimeout, run: RunUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(true)
			r.Start(start, &RetryBudget{})
			r.HandleClaimResult(&ledger.ClaimResult{Code: ledger.ClaimGranted}, nil, start)
			r.HandleSlotAnswer(grantAnswer(), nil, start)
			r.mayHaveRun = test.brokenBefore
			step := r.HandleSendResult(SendEnd{Result: routing.ResultUnused}, late, &RetryBudget{})
			if step.Refuse == nil || step.Refuse.Status != test.status || step.Refuse.Run != test.run {
				t.Fatalf("step %+v, want status %d and run %s", step, test.status, test.run)
			}
			if released := step.Release != nil; released != test.releases {
				t.Errorf("claim released: %v, want %v", released, test.releases)
			}
		})
	}
}

// Callers that waited were told that they had hung up, where the deadline passed before another
// VM was connected to.
func TestDeadlineBeforeADetourIsNamed(t *testing.T) {
	tests := map[string]struct {
		brokenBefore bool // an earlier send may have run
		now          time.Time
		reason       string
		status       int
		run          RunState
	}{
		"nothing was sent":     {now: start.Add(3 * time.Second), reason: "deadline", status: http.StatusServiceUnavailable, run: RunNo},
		"a send broke earlier": {now: start.Add(3 * time.Second), brokenBefore: true, reason: "deadline", status: http.StatusGatewayTimeout, run: RunUnknown},
		"time is left":         {now: start, reason: "cancelled", status: http.StatusServiceUnavailable, run: RunNo},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRequest(false)
			r.PassOn(detour.Helper{VM: "other"}, r.Start(start, &RetryBudget{}))
			r.mayHaveRun = test.brokenBefore
			step := r.HandleDetourResult(DetourResult{Result: routing.ResultUnused}, test.now, &RetryBudget{})
			if step.Refuse == nil || step.Refuse.Reason != test.reason || step.Refuse.Status != test.status || step.Refuse.Run != test.run {
				t.Errorf("step %+v, problem %+v; want %s, status %d and run %s", step, step.Refuse, test.reason, test.status, test.run)
			}
		})
	}
}

// Claims that took several tries leave the tries of the slot request as they are.
func TestSlotRequestIsRetriedAfterManyClaims(t *testing.T) {
	r := newRequest(true)
	r.Start(start, &RetryBudget{})
	for range 4 {
		if step := r.HandleClaimResult(nil, errors.New("no leader"), start); step.Wait == 0 {
			t.Fatalf("step %+v after an unconfirmed claim, want a wait", step)
		}
		r.ResumeAfterWait(start)
	}
	r.HandleClaimResult(&ledger.ClaimResult{Code: ledger.ClaimGranted}, nil, start)
	if step := r.HandleSlotAnswer(dispatch.Answer{}, errors.New("no answer"), start); step.SlotRequest == nil {
		t.Errorf("step %+v after an unanswered slot request, want another one", step)
	}
}
