package reducer

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// A late request must not reach a second server by a key that its customer does not have any more.
func TestNoSecondTryOfARevokedRequest(t *testing.T) {
	const object, run = "o1", 100 * time.Millisecond
	for name, test := range map[string]struct {
		holder string // of the key, when the request is late
		want   bool
	}{
		"held":             {"acme", true},
		"revoked":          {"", false},
		"given to another": {"successor", false},
	} {
		t.Run(name, func(t *testing.T) {
			v := newCustomersVM(t)
			route := &document.Route{Name: "all", Kind: document.KindRepeat, Tries: 3, Target: document.Duration(4 * time.Second), To: []document.Target{{Service: "web", Weight: 1}}}
			pool, class := v.placingPools["web"], route.Location()
			for _, server := range pool.Servers {
				for range 40 {
					pool.BeginRun(server, placing.Run{Class: class, Target: route.Target.Std()}, v.now)
					pool.End(server, placing.Outcome{
						Class: class, Object: object, Target: route.Target.Std(), Unqueued: true, Result: routing.ResultOK, Latency: run,
						Load: placing.Load{Known: true, Pace: 1},
					}, v.now)
				}
			}
			first := v.apply(1, RequestBegan{Call: 1, Request: &relay.Request{
				ID: "r1", Service: "web", Object: object, Replayable: true, Route: route, Customer: "acme", KeyDigest: keyOfAcme,
				Deadline: v.now.Add(20 * time.Second), TargetTime: v.now.Add(route.Target.Std()),
			}})
			if first.Send == nil || first.Send.HedgeAfter == 0 {
				t.Fatalf("first step %+v, want a send that may be tried a second time", first)
			}
			v.load(6, test.holder)
			v.now = v.now.Add(first.Send.HedgeAfter)
			second := v.apply(1, RequestLate{Call: 1})
			if sent := second.Send != nil; sent != test.want {
				t.Errorf("second try: %v, want %v", sent, test.want)
			}
			if second.Send != nil && second.Send.Server == first.Send.Server {
				t.Errorf("both tries went to %s", first.Send.Server)
			}
		})
	}
}
