package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// stallPatience is how long a request that is refused everywhere else waits for an answer on a way that
// stays lost. Its caller may do better with another VM.
const stallPatience = time.Second

// awaitStalled lets a request whose refusal is deferred wait for its stalled send.
func (s *State) awaitStalled(call uint64) {
	s.stalledWaits[call] = s.now
	s.emit(Answer{Call: call, Value: relay.Step{AwaitStalled: true}})
}

// tickStalled gives up stalled sends that waited in vain. A VM that stops gives up none: the silence of a server
// is no reason to end its work there.
func (s *State) tickStalled() {
	if s.leaving {
		return
	}
	for _, call := range slices.Sorted(maps.Keys(s.stalledWaits)) {
		if s.ways.Way(s.requests[call].Stalled.Domain) != reach.Lost {
			s.stalledWaits[call] = s.now
		}
		if s.now.Sub(s.stalledWaits[call]) >= stallPatience {
			delete(s.stalledWaits, call)
			s.emit(AbandonSend{Call: call})
		}
	}
}

// handleStalledEnded takes the end of a stalled send. If it brought an answer, whatever else the request waits
// for is over.
func (s *State) handleStalledEnded(e RequestStalledEnded) {
	r := s.requests[e.Call]
	if r == nil || r.Stalled == nil {
		s.emit(Answer{Call: e.Call, Value: relay.Step{}})
		return
	}
	stalled := r.Stalled
	delete(s.stalledWaits, e.Call)
	s.noteWayOf(stalled, e.Sent)
	if run, found := s.placedRuns[stalled.Ticket]; found {
		run.load = e.Sent.Load
		s.placedRuns[stalled.Ticket] = run
		if e.Sent.Leaving || e.Sent.StayAway > 0 {
			run.server.Note(e.Sent.Notice, s.now)
		}
	}
	if e.Sent.Result == routing.ResultOK || e.Sent.Result == routing.ResultError {
		s.useStalled(e, r)
		return
	}
	s.endSend(r, stalled, blameless(e.Sent.Result), e.Sent.Latency) // its server keeps its record: the way was lost
	step := r.EndStalled(e.Sent.Result, s.now, s.retryBudget(r))
	s.logStalled(r, stalled, e, nextAction(step))
	s.runStep(e.Call, r, step)
}

func (s *State) useStalled(e RequestStalledEnded, r *relay.Request) {
	if r.Grant != nil {
		s.endSend(r, r.Grant, routing.ResultCancelled, 0)
	}
	s.ways.End(e.Call)
	s.endDetour(e.Call, false)
	step := r.UseStalled()
	s.logStalled(r, r.Grant, e, nextAction(step))
	s.runStep(e.Call, r, step)
}

// endStalled ends the stalled send of a request that has ended.
func (s *State) endStalled(call uint64, r *relay.Request) {
	delete(s.stalledWaits, call)
	if r.Stalled != nil {
		s.endSend(r, r.Stalled, routing.ResultCancelled, 0)
	}
}

// endSend ends one of two sends of a request.
func (s *State) endSend(r *relay.Request, grant *dispatch.Grant, result routing.Result, latency time.Duration) {
	switch {
	case r.PlacedLocally:
		s.endTicket(grant.Ticket, r, result, latency, false)
	case grant.Ticket != 0:
		ticket := grant.Ticket
		grant.Ticket = 0
		s.finish(r, dispatch.Finish{Service: r.Service, Ticket: ticket, Result: result, Latency: latency})
	}
}

func (s *State) logStalled(r *relay.Request, stalled *dispatch.Grant, e RequestStalledEnded, next string) {
	s.emit(Decision{Code: CodeStalledSend, Request: r.ID, Outcome: e.Sent.Result.String(), Fields: append([]Field{
		{"service", r.Service},
		{"server", stalled.Server},
		{"domain", stalled.Domain},
		{"way", s.ways.Way(stalled.Domain).String()},
		{"took", e.Sent.Latency},
		{"why", e.Sent.Cause},
		{"evidence", string(e.Sent.Evidence)},
		{"next", next},
		{"left", r.Deadline.Sub(s.now)},
	}, customerFields(r)...)})
}
