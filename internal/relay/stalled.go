package relay

import (
	"net/http"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// MayTryElsewhere reports whether the request may be sent again, to another server or by another VM, if its
// present send is given up.
func (r *Request) MayTryElsewhere(now time.Time) bool {
	const underWay = 1 // the send that would be given up
	return r.MayRepeat() && r.Stalled == nil && r.sends < r.maxSends() && r.runs+underWay < r.maxRuns() && now.Before(r.Deadline)
}

// Stall notes that the current send goes on beside the tries that follow.
func (r *Request) Stall() {
	r.Stalled, r.ranBeforeStall = r.Grant, r.mayHaveRun
}

// DeferRefusal keeps a refusal back while the stalled send may still bring an answer, and reports whether it does.
func (r *Request) DeferRefusal(step Step) bool {
	if r.Stalled == nil || step.Refuse == nil {
		return false
	}
	r.deferred = step
	return true
}

// EndStalled takes the result of the stalled send, which brought no answer, and returns the step that was
// deferred, or a better one.
func (r *Request) EndStalled(result routing.Result, now time.Time, budget *RetryBudget) Step {
	stalled, deferred := r.Stalled, r.deferred
	r.Stalled, r.deferred = nil, Step{}
	isOnlyTry := r.Grant == stalled
	switch {
	case result == routing.ResultTimeout:
		return r.endUnknown(http.StatusGatewayTimeout, "deadline", "the deadline passed while the backend server worked")
	case result == routing.ResultShed && isOnlyTry:
		r.runs--
		r.mayHaveRun = r.ranBeforeStall
		return r.retryElsewhere(stalled.Server, now, budget)
	default:
		return deferred
	}
}

// UseStalled makes the stalled send the current one: it brought the answer.
func (r *Request) UseStalled() Step {
	r.Grant, r.Stalled = r.Stalled, nil
	return Step{Stream: true}
}
