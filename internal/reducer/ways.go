package reducer

import (
	"slices"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// beginFlight notes that a request is sent to a server.
func (s *State) beginFlight(call uint64, r *relay.Request, grant *dispatch.Grant) {
	expected := r.Deadline.Sub(s.now) / 2
	if run, found := s.placedRuns[grant.Ticket]; found && r.PlacedLocally {
		expected = run.expected
	}
	s.ways.Begin(call, reach.Flight{Domain: grant.Domain, Address: grant.Address, SentAt: s.now, Expected: expected, Partial: !r.Replayable})
}

// noteWay takes what the end of a send says about the way to its server.
func (s *State) noteWay(grant *dispatch.Grant, e RequestSent) {
	s.ways.End(e.Call)
	s.noteWayOf(grant, e)
}

func (s *State) noteWayOf(grant *dispatch.Grant, e RequestSent) {
	if e.ConnectTime > 0 {
		s.ways.Connected(grant.Domain, grant.Address, s.now)
	}
	switch e.Result {
	case routing.ResultOK, routing.ResultError, routing.ResultShed:
		s.ways.Answered(grant.Domain, s.now)
	case routing.ResultDialFailed:
		if !grant.OpenOnly {
			s.ways.Failed(grant.Domain, grant.Address, reach.Refused, s.now)
		}
	case routing.ResultDialTimeout:
		s.ways.Failed(grant.Domain, grant.Address, reach.Late, s.now)
	case routing.ResultBroken:
		if e.BodyMissing {
			return
		}
		s.ways.Failed(grant.Domain, grant.Address, reach.Broken, s.now)
	}
}

// blameless returns the result of a send as it counts for its server where the way to it, or
// the caller, may explain a failure: nothing counts then.
func blameless(result routing.Result) routing.Result {
	switch result {
	case routing.ResultDialFailed, routing.ResultDialTimeout:
		return routing.ResultUnused
	case routing.ResultBroken, routing.ResultTimeout:
		return routing.ResultCancelled
	default:
		return result
	}
}

// tickWays probes servers where the way to them is in doubt or cut, and acts on changes.
func (s *State) tickWays() {
	probes, changes := s.ways.Tick(s.now, s.serversIn)
	for _, p := range probes {
		s.emit(ProbeServer{Probe: p})
	}
	for _, c := range changes {
		s.logWay(c)
		if c.To == reach.Lost {
			s.abandonSends(c.Domain)
		}
	}
	s.tickStalled()
	cut := s.ways.Cut()
	s.members.Self.Cut = cut
	if len(cut) > 0 || len(changes) > 0 {
		s.setCutOfPools(cut)
	}
}

// setCutOfPools tells the pools which failure domains can be reached through other VMs only.
// One that no other VM reaches either is down.
func (s *State) setCutOfPools(cut []string) {
	helpers := s.helpers()
	reachable := slices.DeleteFunc(slices.Clone(cut), func(domain string) bool {
		return !slices.ContainsFunc(helpers, func(h helper) bool { return !slices.Contains(h.Cut, domain) })
	})
	for _, pool := range s.placingPools {
		pool.SetCut(reachable)
	}
}

// abandonSends has requests tried elsewhere that were sent to a failure domain, if they may be. One that
// has a second try already is left alone. A VM that stops does none of this: it gets fewer and fewer
// answers, so that their absence says little, and the servers that it would ask instead must finish
// before the stop.
func (s *State) abandonSends(domain string) {
	if s.leaving {
		return
	}
	for _, call := range s.ways.FlightsTo(domain) {
		if r := s.requests[call]; r != nil && s.hedges[call] == nil && r.MayTryElsewhere(s.now) {
			r.LoseWay()
			s.emit(AbandonSend{Call: call})
		}
	}
}

// serversIn returns the addresses of the known servers of a failure domain.
func (s *State) serversIn(domain string) []string {
	var addresses []string
	for _, entry := range s.roster.Entries {
		if entry.Domain == domain && !entry.Gone && !entry.Silent && !entry.Leaving {
			addresses = append(addresses, entry.Address)
		}
	}
	for _, pool := range s.pools {
		for _, server := range pool.Routing.Servers {
			if server.Domain == domain && server.State == routing.StateServing && s.now.Before(server.Expires) {
				addresses = append(addresses, server.Address)
			}
		}
	}
	return addresses
}

func (s *State) logWay(c reach.Change) {
	s.emit(Decision{Code: CodeWayChanged, Outcome: c.To.String(), Fields: []Field{
		{"domain", c.Domain},
		{"was", c.From.String()},
		{"lasted", c.Lasted},
		{"servers", int64(c.Servers)},
		{"why", string(c.Why)},
		{"silent", c.Silent},
		{"flights", int64(len(s.ways.FlightsTo(c.Domain)))},
	}})
}
