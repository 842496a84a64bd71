package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// An answer that callers take for "not run" reached them from servers that had run the request.
func TestAnswerWithoutStatementPromisesNothing(t *testing.T) {
	tests := map[string]struct {
		once, byKey bool
		status      int
		passedOn    bool // the answer reaches the caller as it is
	}{
		"503, once at most":      {once: true, status: http.StatusServiceUnavailable},
		"429, once at most":      {once: true, status: http.StatusTooManyRequests},
		"408, once at most":      {once: true, status: http.StatusRequestTimeout},
		"421, once at most":      {once: true, status: http.StatusMisdirectedRequest},
		"500, once at most":      {once: true, status: http.StatusInternalServerError, passedOn: true},
		"404, once at most":      {once: true, status: http.StatusNotFound, passedOn: true},
		"200, once at most":      {once: true, status: http.StatusOK, passedOn: true},
		"503, repeatable":        {status: http.StatusServiceUnavailable, passedOn: true},
		"429, repeatable":        {status: http.StatusTooManyRequests, passedOn: true},
		"503, operation by key":  {byKey: true, status: http.StatusServiceUnavailable, passedOn: true},
		"429, operation by key ": {byKey: true, status: http.StatusTooManyRequests, passedOn: true},
	}
	for name, test := range tests {
		for _, way := range []string{"server", "VM"} {
			t.Run(fmt.Sprint(name, ", by a ", way), func(t *testing.T) {
				r := newRequest(test.byKey)
				if !test.byKey {
					kind := document.KindRepeat
					if test.once {
						kind = document.KindAttempt
					}
					r.Route = &document.Route{Name: "web", Kind: kind, Tries: 1}
				}
				budget := &RetryBudget{}
				r.Start(start, budget)
				result := routing.ResultOK
				if test.status >= http.StatusInternalServerError {
					result = routing.ResultError
				}
				var step Step
				if way == "server" {
					r.HandleSlotAnswer(grantAnswer(), nil, start)
					step = r.HandleSendResult(SendEnd{Result: result, Status: test.status}, start, budget)
				} else {
					step = r.HandleDetourResult(DetourResult{Result: result, Status: test.status}, start, budget)
				}
				if step.Stream != test.passedOn {
					t.Fatalf("step %+v, want the answer passed on: %v", step, test.passedOn)
				}
				if test.passedOn {
					return
				}
				if p := step.Refuse; p == nil || p.Run != RunUnknown || StatusMeansNotRun(p.Status) || p.RetryAfter != 0 {
					t.Errorf("refusal %+v, want one that promises nothing", p)
				}
			})
		}
	}
}
