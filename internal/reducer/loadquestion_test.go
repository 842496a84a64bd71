package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// begin begins a request of a route to the service, and returns its effects.
func (v *contactVM) begin(call uint64) []Effect {
	route := &document.Route{Name: "page", Kind: document.KindRepeat, Tries: 3, Affinity: true, To: []document.Target{{Service: "web", Weight: 1}}, Target: document.Duration(time.Second)}
	return v.Apply(v.now, RequestBegan{Call: call, Request: &relay.Request{
		ID: "r", Service: "web", Deadline: v.now.Add(5 * time.Second), TargetTime: v.now.Add(time.Second), Holder: "a1", Replayable: true, Route: route, Object: "o",
	}})
}

// sentTo returns the server that the effects send a request to, or "".
func sentTo(effects []Effect) string {
	for _, effect := range effects {
		if answer, ok := effect.(Answer); ok {
			if step, ok := answer.Value.(relay.Step); ok && step.Send != nil {
				return step.Send.Server
			}
		}
	}
	return ""
}

// A request that waits for the load of a server must be sent exactly once, whatever becomes of the
// question, and elsewhere if the server turns out to be slow.
func TestRequestWaitsForTheLoadOfAServer(t *testing.T) {
	slow := placing.Load{Known: true, Running: 9, Waiting: 9, Slots: 9, Pace: 2.5}
	tests := map[string]struct {
		answer    ServerAnswered
		lost      bool // no answer comes
		elsewhere bool
	}{
		"usual speed": {answer: ServerAnswered{Load: placing.Load{Known: true, Slots: 9, Pace: 1}}},
		"slow":        {answer: ServerAnswered{Load: slow}, elsewhere: true},
		"cold":        {answer: ServerAnswered{ColdFor: 2 * time.Second}, elsewhere: true},
		"late answer": {answer: ServerAnswered{Why: "late", Late: true}},
		"no answer":   {lost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			first := v.begin(1)
			server := sentTo(first)
			if server == "" || len(questions(first)) != 0 {
				t.Fatalf("sent to %q after %d questions, want no question before a pace is reported", server, len(questions(first)))
			}
			v.Apply(v.now, RequestSent{Call: 1, Result: routing.ResultOK, Status: 200, Latency: 100 * time.Millisecond, Load: placing.Load{Known: true, Slots: 9, Pace: 1}})
			v.Apply(v.now, RequestEnded{Call: 1, Result: routing.ResultOK, Latency: 100 * time.Millisecond})
			v.now = v.now.Add(200 * time.Millisecond)
			began := v.begin(2)
			asked := questions(began)
			if len(asked) != 1 || asked[0].Call != 2 || asked[0].Server != server || sentTo(began) != "" {
				t.Fatalf("questions %+v, sent to %q, want a question to %s first", asked, sentTo(began), server)
			}
			var effects []Effect
			if test.lost {
				effects = v.tick(2 * contactTick)
			} else {
				test.answer.Question, test.answer.ID = asked[0], server
				effects = v.Apply(v.now, test.answer)
			}
			got := sentTo(effects)
			if got == "" || (got != server) != test.elsewhere {
				t.Errorf("asked %s and sent to %q, want it elsewhere: %v", server, got, test.elsewhere)
			}
			if again := sentTo(v.Apply(v.now, ServerAnswered{Question: asked[0], ID: server})); again != "" {
				t.Errorf("a second answer sent it again, to %s", again)
			}
			if v.Apply(v.now, RequestEnded{Call: 2}); len(v.loadQuestions) != 0 {
				t.Errorf("%d questions are kept", len(v.loadQuestions))
			}
		})
	}
}

// A caller that leaves while its request waits must not leave a send behind.
func TestCallerLeavesDuringTheQuestion(t *testing.T) {
	v := newContactVM(t)
	v.begin(1)
	v.Apply(v.now, RequestSent{Call: 1, Result: routing.ResultOK, Status: 200, Load: placing.Load{Known: true, Slots: 9, Pace: 1}})
	v.Apply(v.now, RequestEnded{Call: 1, Result: routing.ResultOK})
	v.now = v.now.Add(200 * time.Millisecond)
	asked := questions(v.begin(2))
	v.Apply(v.now, RequestEnded{Call: 2})
	if effects := v.Apply(v.now, ServerAnswered{Question: asked[0], ID: asked[0].Server}); sentTo(effects) != "" || len(v.loadQuestions) != 0 {
		t.Errorf("sent to %q, %d questions are kept", sentTo(effects), len(v.loadQuestions))
	}
}
