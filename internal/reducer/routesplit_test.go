package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func routeTo(host, path, service string) document.Route {
	return document.Route{Name: "default", Host: host, Path: path, To: []document.Target{{Service: service, Weight: 1}}}
}

// splitVM returns a VM that knows a server of each service.
func splitVM(t *testing.T, services ...string) *State {
	t.Helper()
	s := entryVM(t)
	for i, service := range services {
		s.roster.Announce(roster.Record{ID: service + "-1", Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "a", Slots: 4, Start: 5, Sequence: 1}, testStart)
	}
	return s
}

// splitDocument returns the event that a document with routes is parsed.
func splitDocument(index uint64, services []string, routes ...document.Route) DocumentLoaded {
	d := &document.Document{
		Places: document.Places{Domains: []document.Domain{{Name: "a", Region: "north"}}},
		Routes: document.Routes{Routes: routes},
	}
	for _, service := range services {
		d.Services.Services = append(d.Services.Services, document.Service{Name: service, Placing: document.PlacingEntry})
	}
	return DocumentLoaded{Position: ledger.Position{Term: 2, Index: index}, Document: d}
}

// runsAt returns the server that a request of the route is sent to, or "".
func runsAt(s *State, call uint64, route *document.Route) string {
	now := testStart.Add(time.Duration(call) * 100 * time.Millisecond)
	s.Apply(now, Tick{})
	r := &relay.Request{ID: fmt.Sprint("r", call), Route: route, Deadline: now.Add(time.Second), TargetTime: now.Add(time.Second)}
	for _, effect := range s.Apply(now, RequestBegan{Call: call, Request: r}) {
		if answer, ok := effect.(Answer); ok && answer.Value.(relay.Step).Send != nil {
			return answer.Value.(relay.Step).Send.Server
		}
	}
	return ""
}

// Routes of one name got the services of the one that was used first.
func TestRoutesOfOneNameKeepTheirServices(t *testing.T) {
	services := []string{"orders", "pages"}
	tests := map[string][]document.Route{
		"two hosts":             {routeTo("shop.example", "/", "orders"), routeTo("info.example", "/", "pages")},
		"two hosts, other way":  {routeTo("shop.example", "/", "pages"), routeTo("info.example", "/", "orders")},
		"two paths of one host": {routeTo("shop.example", "/a/", "orders"), routeTo("shop.example", "/b/", "pages")},
	}
	for name, routes := range tests {
		t.Run(name, func(t *testing.T) {
			for first := range routes {
				s := splitVM(t, services...)
				s.Apply(testStart, splitDocument(5, services, routes...))
				for i := range 4 {
					route := &s.document.Routes.Routes[(first+i)%len(routes)]
					if got, want := runsAt(s, uint64(i+1), route), route.To[0].Service+"-1"; got != want {
						t.Errorf("request %d of %s runs at %q, want %q", i+1, route.Location(), got, want)
					}
				}
			}
		})
	}
}

// A request that was matched against an older document brought its targets back.
func TestRequestOfAnOlderDocumentKeepsNoTargets(t *testing.T) {
	services := []string{"orders", "pages"}
	s := splitVM(t, services...)
	s.Apply(testStart, splitDocument(5, services, routeTo("shop.example", "/", "orders")))
	before := &s.document.Routes.Routes[0]
	s.Apply(testStart, splitDocument(6, services, routeTo("shop.example", "/", "pages")))
	runsAt(s, 1, before)
	for call := range uint64(3) {
		if got := runsAt(s, call+2, &s.document.Routes.Routes[0]); got != "pages-1" {
			t.Errorf("request %d runs at %q, want pages-1", call, got)
		}
	}
}
