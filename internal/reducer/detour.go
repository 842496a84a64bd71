package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/detour"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

type helper = detour.Helper

// Bounds on the requests that this VM serves for others, at a time.
const (
	maxTakenOver      = 512 // of the most urgent rank
	takenOverRankStep = 64  // fewer for each less urgent rank
	minTakenOver      = 64  // for the least urgent ranks
	detoursFullRetry  = 200 * time.Millisecond
	noWayRetry        = 500 * time.Millisecond // by then the way may be probed again
	doubtRetry        = 100 * time.Millisecond // by then a VM that lacked the processor for a moment has answers of servers again
	minHelpTime       = 200 * time.Millisecond // left to the deadline when a request waits for a helper, at least
)

// helpers returns the VMs that may serve requests for this one, as far as is known.
func (s *State) helpers() []helper {
	var list []helper
	for _, vm := range s.members.Alive() {
		if vm.ID != s.Settings.VM && vm.Entry != "" && vm.Ready() && !vm.Stopping {
			list = append(list, helper{VM: vm.ID, Peer: vm.Peer, Domain: vm.Domain, Region: vm.Region, Cut: vm.Cut})
		}
	}
	for _, d := range s.members.Domains(s.now) {
		if d.Name == s.Settings.Domain || d.SilentFor > member.DomainSilentAfter {
			continue
		}
		for _, entry := range d.Entries {
			if entry.Entry != "" && entry.Ready {
				list = append(list, helper{VM: entry.ID, Peer: entry.Peer, Domain: d.Name, Region: d.Region, Cut: entry.Cut})
			}
		}
	}
	return list
}

// chooseHelper chooses a VM that serves a request in place of this one; domain is the one
// whose servers it must reach, or empty.
func (s *State) chooseHelper(r *relay.Request, domain string) (helper, bool) {
	if !r.MayDetour() || s.document == nil {
		return helper{}, false
	}
	return s.detours.Choose(detour.Site{VM: s.Settings.VM, Domain: s.Settings.Domain, Region: s.Settings.Region}, s.helpers(), s.detourNeed(r, domain), s.now)
}

// detourNeed returns what a request needs of its helper; domain is as for chooseHelper.
func (s *State) detourNeed(r *relay.Request, domain string) detour.Need {
	need := detour.Need{Domain: domain, Domains: len(s.document.Places.Domains), Tried: r.TriedHelpers()}
	need.Allowed = s.regionsOf(r).filter()
	return need
}

// helperWait returns how long a request waits for a VM that may serve it soon, where this one reaches
// no server and all others that may are avoided; 0 if it does not. One that stops sends the caller
// to another VM at once.
func (s *State) helperWait(r *relay.Request) time.Duration {
	if s.leaving || !s.ways.AllLost() || !r.MayRepeat() || !r.MayDetour() || s.document == nil {
		return 0
	}
	wait := s.detours.Wait(s.helpers(), s.detourNeed(r, ""), s.now)
	if wait > r.Deadline.Sub(s.now)-minHelpTime {
		return 0
	}
	return wait
}

// needsDetour reports whether the next step of a request, a claim or a request for a slot,
// would end without a connection: no server can be reached, or connections failed for it.
func (s *State) needsDetour(r *relay.Request) bool {
	return r.Unconnected() || s.ways.AllLost() || r.AnyUnconnected() && len(s.members.Self.Cut) > 0
}

// passOn passes a request on to another VM in place of a step.
func (s *State) passOn(call uint64, r *relay.Request, instead relay.Step, h helper, why string) {
	step := r.PassOn(h, instead)
	s.detours.Begin(h.VM)
	s.detourRuns[call] = h.VM
	s.emit(Decision{Code: CodeDetour, Request: r.ID, Outcome: "sent", Fields: append([]Field{
		{"service", r.Service},
		{"to", h.VM},
		{"to_domain", h.Domain},
		{"why", why},
		{"left", r.Deadline.Sub(s.now)},
		{"document", int64(s.documentAt.Index)},
	}, customerFields(r)...)})
	s.emit(Answer{Call: call, Value: step})
}

func (s *State) endDetour(call uint64, helpless bool) {
	if vm, found := s.detourRuns[call]; found {
		delete(s.detourRuns, call)
		s.detours.End(vm, helpless, s.now)
	}
}

// handleDetoured takes the answer of the VM that a request was passed on to.
func (s *State) handleDetoured(e RequestDetoured) {
	helpless := e.Result == routing.ResultDialFailed || e.Result == routing.ResultDialTimeout || e.Refusal != nil && e.Refusal.Reason == relay.ReasonNoWay
	vm := s.detourRuns[e.Call]
	s.endDetour(e.Call, helpless)
	switch {
	case e.Refusal != nil && e.Refusal.IsPassing():
		s.detours.Shorten(vm, e.Refusal.RetryAfter, s.now)
	case e.Result == routing.ResultOK:
		s.detours.Served(vm, s.now)
	}
	r := s.requests[e.Call]
	if r == nil {
		return
	}
	s.followRoute(r, e.Result, e.Status)
	step := r.HandleDetourResult(e.DetourResult, s.now, s.retryBudget(r))
	if !step.Stream {
		reason := ""
		if e.Refusal != nil {
			reason = e.Refusal.Reason
		}
		s.emit(Decision{Code: CodeDetour, Request: r.ID, Outcome: e.Result.String(), Fields: []Field{
			{"to", vm},
			{"took", e.Latency},
			{"why", e.Cause},
			{"evidence", string(e.Evidence)},
			{"reason", reason},
			{"next", nextAction(step)},
		}})
	}
	s.runStep(e.Call, r, step)
}

// takeOver counts a request that another VM passed on, or returns why this VM does not serve
// it.
func (s *State) takeOver(e RequestBegan) *relay.Problem {
	r := e.Request
	limit := max(maxTakenOver-takenOverRankStep*r.Rank, minTakenOver)
	problem := &relay.Problem{Status: statusUnavailable, Run: relay.RunNo}
	switch {
	case s.ways.Helpless(s.now):
		problem.Reason, problem.Detail, problem.RetryAfter = relay.ReasonNoWay, "the VM that was asked to serve the request reaches no server either", noWayRetry
		if !s.ways.MostlyCut() {
			problem.RetryAfter = doubtRetry
		}
	case len(s.takenOver) >= limit:
		problem.Reason, problem.Detail, problem.RetryAfter = relay.ReasonDetoursFull, "the VM that was asked to serve the request serves many for others", detoursFullRetry
	default:
		problem = nil
		s.takenOver[e.Call] = true
	}
	outcome := "taken-over"
	if problem != nil {
		outcome = problem.Reason
	}
	s.emit(Decision{Code: CodeDetour, Request: r.ID, Outcome: outcome, Fields: []Field{
		{"service", r.Service},
		{"from", e.From},
		{"serving", int64(len(s.takenOver))},
		{"left", r.Deadline.Sub(s.now)},
	}})
	return problem
}
