package callerhttp

import (
	"errors"
	"net/http"
	"testing"

	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/placing"
)

// Without the count, a report in a form that cannot be read looks like servers without load.
func TestMalformedLoadReportsAreCounted(t *testing.T) {
	known := placing.Load{Known: true, Running: 1, Slots: 9, Pace: 2.5}
	relay := &Relay{Node: &node.Node{Metrics: node.NewMetrics()}, Dialect: Dialect{
		ParseLoad: func(header http.Header) (placing.Load, error) {
			if header.Get("Load") == "" {
				return placing.Load{}, errors.New("malformed")
			}
			return known, nil
		},
	}}
	if got := relay.parseLoad(http.Header{"Load": {"x"}}); got != known || relay.Node.Metrics.MalformedLoads.Get() != 0 {
		t.Errorf("%+v, %d malformed, want %+v, 0", got, relay.Node.Metrics.MalformedLoads.Get(), known)
	}
	if got := relay.parseLoad(http.Header{}); got.Known || relay.Node.Metrics.MalformedLoads.Get() != 1 {
		t.Errorf("%+v, %d malformed, want an unknown load, 1", got, relay.Node.Metrics.MalformedLoads.Get())
	}
}
