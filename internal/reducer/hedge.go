package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/hedge"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// hedgeAfter returns the time after the send at which a second try of the request is due; 0 for never.
func (s *State) hedgeAfter(r *relay.Request, pool *placing.Pool, expected time.Duration) time.Duration {
	if !r.MayHedge(s.now) || !pool.ReportsPace(s.now) || r.Object == "" {
		return 0
	}
	return hedge.Delay(expected)
}

// handleLate chooses a server for a second try of a request whose first one is late; the answer has no
// send where there is none to be made.
func (s *State) handleLate(e RequestLate) {
	grant := s.hedgeGrant(e.Call)
	if grant == nil {
		s.emit(Answer{Call: e.Call, Value: relay.Step{}})
		return
	}
	s.emit(Answer{Call: e.Call, Value: relay.Step{Send: grant}})
}

func (s *State) hedgeGrant(call uint64) *dispatch.Grant {
	r := s.requests[call]
	if r == nil || r.Grant == nil || s.leaving {
		return nil
	}
	first, found := s.placedRuns[r.Grant.Ticket]
	if !found {
		return nil
	}
	s.followRoute(r, routing.ResultCancelled, 0)
	if s.isRevoked(r) || !r.MayHedge(s.now) || s.quarantine.Check(r.Fingerprint, s.now) != quarantine.Allowed {
		return nil
	}
	slotRequest := dispatch.SlotRequest{Remaining: r.Deadline.Sub(s.now), Exclude: r.TriedServers()}
	choice, found := first.pool.ChooseHedge(s.placingRequest(r, slotRequest), s.now)
	if !found || !s.retryBudget(r).TakeRetry() {
		return nil
	}
	r.BeginHedge()
	s.lastTicket++
	server := choice.Server
	run := placedRun{pool: first.pool, server: server, unqueued: server.Load(s.now) <= float64(server.Slots), sentAt: s.now, expected: choice.Expected, pace: server.Pace(s.now)}
	first.pool.BeginRun(server, placing.Run{Class: r.Route.Location(), Target: r.Route.Target.Std(), Partial: !r.Replayable}, s.now)
	s.placedRuns[s.lastTicket] = run
	cold, word := server.Cold(s.now)
	grant := &dispatch.Grant{
		Ticket: s.lastTicket, Server: server.ID, Address: server.Address, Domain: server.Domain,
		Shifted: server.Domain != s.Settings.Domain, ChosenAt: s.now, Cold: cold, Word: string(word.Source),
		MayStall: true,
	}
	s.hedges[call] = grant
	s.emit(Decision{Code: CodeHedge, Request: r.ID, Outcome: "sent", Fields: []Field{
		{"service", r.Service},
		{"server", server.ID},
		{"first", r.Grant.Server},
		{"after", s.now.Sub(first.sentAt)},
		{"first_expected", first.expected},
		{"expected", choice.Expected},
		{"load", server.Load(s.now)},
		{"target_left", r.TargetTime.Sub(s.now)},
		{"left", r.Deadline.Sub(s.now)},
	}})
	return grant
}

// handleHedged ends the try that did not bring the answer. The other one is the send of the request
// from then on.
func (s *State) handleHedged(e RequestHedged) {
	r, second := s.requests[e.Call], s.hedges[e.Call]
	if r == nil || second == nil {
		return
	}
	delete(s.hedges, e.Call)
	loser := second
	if e.Won {
		loser, r.Grant = r.Grant, second
	}
	s.endLoser(r, loser, e)
	if e.Won {
		s.ways.End(e.Call)
		s.beginFlight(e.Call, r, second)
	}
}

func (s *State) endLoser(r *relay.Request, loser *dispatch.Grant, hedged RequestHedged) {
	e := hedged.Loser
	run, found := s.placedRuns[loser.Ticket]
	if !found {
		return
	}
	run.load = e.Load
	s.placedRuns[loser.Ticket] = run
	s.noteWayOf(loser, e)
	if e.AddressReused {
		s.endReplaced(run.server)
	}
	if e.Leaving || e.StayAway > 0 {
		run.server.Note(e.Notice, s.now)
	}
	result := e.Result
	if s.ways.Way(run.server.Domain).IsCut() {
		result = blameless(result)
	} else if e.ServerDied {
		s.markSuspected(r, loser.Ticket, loser.Server)
	}
	r.EndHedge(loser.Server, e.Result)
	s.endTicket(loser.Ticket, r, result, e.Latency, hedged.Late)
	winner := r.Grant.Server
	s.emit(Decision{Code: CodeHedge, Request: r.ID, Outcome: "ended", Fields: []Field{
		{"service", r.Service},
		{"server", loser.Server},
		{"goes_on", winner},
		{"result", e.Result.String()},
		{"took", e.Latency},
		{"why", e.Cause},
		{"evidence", string(e.Evidence)},
	}})
}

// endHedge ends the second try of a request that ends before its tries were told apart.
func (s *State) endHedge(call uint64, r *relay.Request) {
	if second := s.hedges[call]; second != nil {
		delete(s.hedges, call)
		s.endTicket(second.Ticket, r, routing.ResultCancelled, 0, false)
	}
}
