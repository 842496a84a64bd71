package relay

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Both tries of a request count as runs: no more servers than the route's tries may run it.
func TestHedgesCountAsTries(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		kind      document.Kind
		tries     int
		change    func(*Request)
		wantHedge bool
		wantRetry bool // the second try fails, and another server may be tried
	}{
		"two tries":              {kind: document.KindRepeat, tries: 2, wantHedge: true},
		"three tries":            {kind: document.KindRepeat, tries: 3, wantHedge: true, wantRetry: true},
		"one try":                {kind: document.KindRepeat, tries: 1},
		"may run once only":      {kind: document.KindAttempt, tries: 3},
		"one failed before":      {kind: document.KindRepeat, tries: 2, change: func(r *Request) { r.runs = 1 }},
		"a part of the body":     {kind: document.KindRepeat, tries: 3, change: func(r *Request) { r.Replayable = false }},
		"newer document forbids": {kind: document.KindRepeat, tries: 3, change: func(r *Request) { r.ForbidRepeat() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Request{ID: "r", Deadline: now.Add(time.Second), Replayable: true, Route: &document.Route{Kind: test.kind, Tries: test.tries}}
			r.HandleSlotAnswer(dispatch.Answer{Grant: &dispatch.Grant{Server: "s1"}}, nil, now)
			if test.change != nil {
				test.change(r)
			}
			if got := r.MayHedge(now); got != test.wantHedge {
				t.Fatalf("may get a second try: %v, want %v", got, test.wantHedge)
			}
			if !test.wantHedge {
				return
			}
			r.BeginHedge()
			if r.MayHedge(now) {
				t.Error("may get a third try beside the others")
			}
			r.EndHedge("s1", routing.ResultBroken)
			r.Grant = &dispatch.Grant{Server: "s2"}
			step := r.HandleSendResult(SendEnd{Result: routing.ResultBroken}, now, nil)
			if got := step.SlotRequest != nil; got != test.wantRetry {
				t.Errorf("sent again: %v, want %v", got, test.wantRetry)
			}
		})
	}
}
