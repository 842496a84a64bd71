package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// placedRun is a request on a server that this VM chose itself.
type placedRun struct {
	pool    *placing.Pool
	server  *placing.Server
	alone   bool // nothing was thought to wait at the server
	load    placing.Load
	sentAt  time.Time
	expects time.Duration
}

// routeBegan begins a request that a route names: the weights choose its
// service.
func (s *State) routeBegan(e RequestBegan) {
	r := e.Request
	split := s.splits[r.Route.Name]
	if split == nil {
		split = newSplit(r.Route)
		s.splits[r.Route.Name] = split
	}
	r.Service = split.Next()
	service := s.document.Services.ByName(r.Service)
	if service == nil {
		// The view that the shell read is older than the document in force.
		s.emit(Answer{Call: e.Call, Value: relay.Step{Refuse: &relay.Problem{
			Status:     statusUnavailable,
			Reason:     string(dispatch.ReasonUnknownService),
			Detail:     "the document changed while the request arrived",
			Run:        relay.RunNo,
			RetryAfter: documentChangeRetry,
		}}})
		return
	}
	r.PlacedLocally = service.Placing == document.PlacingEntry
	s.requests[e.Call] = r
	s.step(e.Call, r, r.Start(s.now, s.budget(r)))
}

const (
	statusUnavailable   = 503
	documentChangeRetry = 100 * time.Millisecond // a document is in force everywhere within that
)

func newSplit(route *document.Route) *placing.Split {
	split := &placing.Split{}
	for _, target := range route.To {
		split.Add(target.Service, target.Weight)
	}
	return split
}

// place chooses a server for a request, or refuses it.
func (s *State) place(call uint64, r *relay.Request, ask dispatch.SlotRequest) {
	answer := s.placeAnswer(r, ask)
	s.step(call, r, r.HandleSlotAnswer(answer, nil, s.now))
}

func (s *State) placeAnswer(r *relay.Request, ask dispatch.SlotRequest) dispatch.Answer {
	verdict := s.quarantine.Check(ask.Fingerprint, s.now)
	switch verdict {
	case quarantine.Barred:
		return s.refusePlace(r, ask, dispatch.ReasonQuarantined, placing.Choice{RetryAfter: barredRetry})
	case quarantine.Wait:
		return s.refusePlace(r, ask, dispatch.ReasonSuspected, placing.Choice{RetryAfter: suspectedRetry})
	}
	pool := s.places[r.Service]
	if pool == nil {
		return s.refusePlace(r, ask, dispatch.ReasonNoServers, placing.Choice{RetryAfter: suspectedRetry})
	}
	choice := pool.Choose(placing.Request{
		Class:     r.Route.Name,
		Object:    r.Object,
		Rank:      r.Rank,
		Remaining: r.Deadline.Sub(s.now),
		Target:    r.TargetTime.Sub(s.now),
		Exclude:   ask.Exclude,
		Allowed:   allowed(r.Route),
		Fallback:  ask.Fingerprint ^ uint64(len(s.requests)),
	}, s.now)
	if choice.Server == nil {
		reason := dispatch.ReasonQueueFull
		if choice.Refused == placing.NoServers {
			reason = dispatch.ReasonNoServers
		}
		return s.refusePlace(r, ask, reason, choice)
	}
	s.tickets++
	if verdict == quarantine.Trial {
		s.quarantine.BeginTrial(ask.Fingerprint, s.tickets)
	}
	pool.Begin(choice.Server, s.now)
	s.runs[s.tickets] = placedRun{pool: pool, server: choice.Server, alone: choice.Server.Load(s.now) <= float64(choice.Server.Slots), sentAt: s.now, expects: choice.Expected}
	s.emit(Decision{Code: CodePlaced, Request: r.ID, Outcome: "sent", Fields: []Field{
		{"route", r.Route.Name},
		{"service", r.Service},
		{"server", choice.Server.ID},
		{"object", r.Object},
		{"warm", choice.Warm},
		{"expected", choice.Expected},
		{"load", choice.Server.Load(s.now)},
		{"load_age", choice.Server.LoadAge(s.now)},
		{"left", r.Deadline.Sub(s.now)},
		{"candidates", int64(choice.Candidates)},
		{"document", int64(s.loadedAt.Index)},
	}})
	return dispatch.Answer{Grant: &dispatch.Grant{
		Ticket:  s.tickets,
		Server:  choice.Server.ID,
		Address: choice.Server.Address,
		Domain:  choice.Server.Domain,
		Shifted: choice.Server.Domain != s.Settings.Domain,
	}}
}

// allowed is nil for a route that may run everywhere, which costs nothing to ask.
func allowed(route *document.Route) func(region string) bool {
	if len(route.Regions) == 0 {
		return nil
	}
	return route.AllowedIn
}

const (
	barredRetry    = 30 * time.Second
	suspectedRetry = 500 * time.Millisecond // the run under way has shown by then whether it crashes its server
)

func (s *State) refusePlace(r *relay.Request, ask dispatch.SlotRequest, reason dispatch.Reason, choice placing.Choice) dispatch.Answer {
	s.emit(Decision{Code: CodeNotPlaced, Request: r.ID, Outcome: string(reason), Fields: []Field{
		{"route", r.Route.Name},
		{"service", r.Service},
		{"rank", int64(r.Rank)},
		{"object", r.Object},
		{"left", r.Deadline.Sub(s.now)},
		{"candidates", int64(choice.Candidates)},
		{"excluded", int64(len(ask.Exclude))},
		{"retry_after", choice.RetryAfter},
		{"document", int64(s.loadedAt.Index)},
	}})
	return dispatch.Answer{Denial: &dispatch.Denial{Reason: reason, RetryAfter: choice.RetryAfter}}
}

// placedSent takes the head of an answer, or a failed send, of a request that
// this VM placed.
func (s *State) placedSent(e RequestSent, r *relay.Request) {
	run, found := s.runs[r.Grant.Ticket]
	if !found {
		return
	}
	run.load = e.Load
	s.runs[r.Grant.Ticket] = run
	if e.ConnectTime > 0 {
		run.pool.RecordRoundTrip(run.server.Domain, e.ConnectTime)
	}
	if e.AddressReused {
		s.replaced(run.server)
	}
	suspicion := quarantine.Clear
	if e.ServerDied {
		suspicion = s.suspect(r, run.server.ID)
	}
	step := r.HandleSendResult(e.Result, suspicion, s.now, s.budget(r))
	if e.Result != routing.ResultOK || !step.Stream {
		s.emit(Decision{Code: CodeSendFailed, Request: r.ID, Outcome: e.Result.String(), Fields: []Field{
			{"service", r.Service},
			{"server", run.server.ID},
			{"took", e.Latency},
			{"expected", run.expects},
			{"why", e.Cause},
			{"next", nextOf(step)},
		}})
	}
	if !step.Stream {
		s.endRun(r, e.Result, e.Latency)
	}
	s.step(e.Call, r, step)
}

func nextOf(step relay.Step) string {
	switch {
	case step.Ask != nil:
		return "another-server"
	case step.Stream:
		return "pass-on"
	default:
		return "refuse"
	}
}

// replaced stops sending to a server whose address another one uses.
func (s *State) replaced(server *placing.Server) {
	if entry := s.roster.Find(server.ID); entry != nil && entry.Start == server.Start && !entry.Gone {
		s.roster.End(server.ID, s.now)
		s.noteRosterChange()
	}
}

// suspect notes that a server broke off while it ran the request.
func (s *State) suspect(r *relay.Request, server string) quarantine.Phase {
	before, _ := s.quarantine.Find(r.Fingerprint)
	phase := s.quarantine.RecordDeath(r.Fingerprint, r.Grant.Ticket, s.now)
	if phase != before.Phase {
		s.barred(dispatch.QuarantineChange{Service: r.Service, Fingerprint: r.Fingerprint, Phase: phase, Server: server})
	}
	return phase
}

// placedEnded ends a request that this VM placed.
func (s *State) placedEnded(r *relay.Request, e RequestEnded) {
	if r.Grant != nil {
		s.endRun(r, e.Result, e.Latency)
	}
}

func (s *State) endRun(r *relay.Request, result routing.Result, latency time.Duration) {
	run, found := s.runs[r.Grant.Ticket]
	if !found {
		return
	}
	delete(s.runs, r.Grant.Ticket)
	if result == routing.ResultOK || result == routing.ResultError {
		s.quarantine.RecordSurvival(r.Fingerprint)
	} else {
		s.quarantine.EndTrial(r.Fingerprint, r.Grant.Ticket)
	}
	run.pool.End(run.server, placing.Outcome{
		Class:    r.Route.Name,
		Object:   r.Object,
		Target:   r.Route.Target.Std(),
		Unqueued: run.alone,
		Result:   result,
		Latency:  latency,
		Load:     run.load,
	}, s.now)
}

// retryShare is the share of further sends that this VM may add to a service; 0
// means the usual one.
func (s *State) retryShare(name string) float64 {
	if s.document == nil {
		return 0
	}
	service := s.document.Services.ByName(name)
	if service == nil || service.Placing != document.PlacingEntry {
		return 0
	}
	return float64(service.Retries)
}
