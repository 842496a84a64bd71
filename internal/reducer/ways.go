package reducer

import (
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// noteWay takes what a send says about the way to its server.
func (s *State) noteWay(grant *dispatch.Grant, e RequestSent) {
	if e.ConnectTime > 0 {
		s.ways.Connected(grant.Domain, grant.Address, s.now)
	}
	switch e.Result {
	case routing.ResultOK, routing.ResultError, routing.ResultShed:
		s.ways.Answered(grant.Domain, s.now)
	case routing.ResultDialFailed:
		s.ways.Failed(grant.Domain, grant.Address, reach.Refused, s.now)
	case routing.ResultDialTimeout:
		s.ways.Failed(grant.Domain, grant.Address, reach.Late, s.now)
	case routing.ResultBroken:
		s.ways.Failed(grant.Domain, grant.Address, reach.Broken, s.now)
	}
}

// tickWays logs where connections to backend servers began to fail, and where they work
// again.
func (s *State) tickWays() {
	for _, c := range s.ways.Tick(s.now) {
		outcome := "reached"
		if c.Failing {
			outcome = "failing"
		}
		s.emit(Decision{Code: CodeWayChanged, Outcome: outcome, Fields: []Field{
			{"domain", c.Domain},
			{"servers", int64(c.Servers)},
			{"why", string(c.Why)},
			{"silent", c.Silent},
		}})
	}
}
