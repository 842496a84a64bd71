package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// A VM that stopped took the silence of busy servers for a lost way, and gave up what they ran. One that
// runs gave up requests that it could try nowhere else.
func TestStoppingVMKeepsRequestsAtWork(t *testing.T) {
	tests := map[string]struct {
		leaves bool
		failed reach.Failure // of probes
		tries  int           // of the route
		want   bool          // the sends are given up
	}{
		"running, probes late":     {failed: reach.Late, tries: 2, want: true},
		"running, no further try":  {failed: reach.Late, tries: 1},
		"stopping, probes late":    {leaves: true, failed: reach.Late, tries: 2},
		"stopping, probes refused": {leaves: true, failed: reach.Refused, tries: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := splitVM(t, "orders")
			for i := range 4 {
				s.roster.Announce(roster.Record{ID: fmt.Sprint("s", i), Service: "orders", Address: fmt.Sprintf("10.0.1.%d:80", i), Domain: "a", Slots: 4, Start: 5, Sequence: 1}, testStart)
			}
			s.Apply(testStart, splitDocument(5, []string{"orders"}, document.Route{
				Name: "default", Host: "shop.example", Path: "/", Kind: document.KindRepeat, Tries: test.tries,
				To: []document.Target{{Service: "orders", Weight: 1}},
			}))
			now := testStart.Add(100 * time.Millisecond)
			s.Apply(now, Tick{})
			const requests = 4
			for call := range uint64(requests) {
				r := &relay.Request{ID: fmt.Sprint("r", call), Service: "orders", Replayable: true, Route: &s.document.Routes.Routes[0], Deadline: now.Add(10 * time.Second), TargetTime: now.Add(5 * time.Second)}
				s.Apply(now, RequestBegan{Call: call + 1, Request: r})
			}
			if test.leaves {
				s.Apply(now, Leave{StopAt: now.Add(6 * time.Second)})
			}
			abandoned := 0
			for range 800 { // 8 s without an answer
				now = now.Add(10 * time.Millisecond)
				effects := s.Apply(now, Tick{})
				for i := 0; i < len(effects); i++ {
					switch effect := effects[i].(type) {
					case ProbeServer:
						effects = append(effects, s.Apply(now, ServerProbed{Probe: effect.Probe, Failure: test.failed})...)
					case AbandonSend:
						abandoned++
					}
				}
			}
			if (abandoned > 0) != test.want {
				t.Errorf("%d of %d sends were given up, want any: %v", abandoned, requests, test.want)
			}
		})
	}
}
