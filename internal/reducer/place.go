package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/internal/share"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// placedRun is a request that runs on a server chosen by this VM.
type placedRun struct {
	pool     *placing.Pool
	server   *placing.Server
	unqueued bool // at the send, the estimated load was within the slots of the server
	load     placing.Load
	sentAt   time.Time
	expected time.Duration // estimated time until the answer
	pace     float64       // expected pace of the server at the send
}

// beginRouted begins a request that matched a route: the weights of the route
// select its service.
func (s *State) beginRouted(e RequestBegan) {
	r := e.Request
	// Names may repeat on other hosts, and a request may come with the route of an earlier
	// document, so that neither tells which targets apply.
	split := s.routeSplits[r.Route]
	if split == nil {
		split = newSplit(r.Route)
		s.routeSplits[r.Route] = split
	}
	r.Service = split.Next()
	service := s.document.Services.ByName(r.Service)
	if service == nil {
		// The request was matched against a view older than the document in force.
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
	s.runStep(e.Call, r, r.Start(s.now, s.retryBudget(r)))
}

const (
	statusUnavailable   = 503
	documentChangeRetry = 100 * time.Millisecond // a new document is in force on all VMs by then
)

func newSplit(route *document.Route) *placing.Split {
	split := &placing.Split{}
	for _, target := range route.To {
		split.Add(target.Service, target.Weight)
	}
	return split
}

// placeRequest chooses a server for a request, or denies it one.
func (s *State) placeRequest(call uint64, r *relay.Request, slotRequest dispatch.SlotRequest) {
	answer, through := s.chooseServer(call, r, slotRequest, r.TakenOver)
	if through.VM != "" {
		s.endWait(call)
		why := "no way to the chosen server"
		if !s.ways.InDoubt(s.now) {
			why = "servers may have started again"
		}
		s.passOn(call, r, relay.Step{}, through, why)
		return
	}
	if answer.Grant == nil && answer.Denial == nil {
		return // it waits for a slot
	}
	if !s.passOnAtStop(call, r, answer) {
		s.runStep(call, r, r.HandleSlotAnswer(answer, nil, s.now))
	}
}

// chooseServer chooses a server for a request, or another VM to pass it on to if this one
// has no way to that server. With ownWay, only servers that this VM reaches are chosen. The answer
// is empty for a request that waits for a slot.
func (s *State) chooseServer(call uint64, r *relay.Request, slotRequest dispatch.SlotRequest, ownWay bool) (dispatch.Answer, helper) {
	verdict := s.quarantine.Check(slotRequest.Fingerprint, s.now)
	switch verdict {
	case quarantine.Barred:
		return s.denyRequest(call, r, slotRequest, dispatch.ReasonQuarantined, placing.Choice{RetryAfter: quarantinedRetry}), helper{}
	case quarantine.Wait:
		return s.denyRequest(call, r, slotRequest, dispatch.ReasonSuspected, placing.Choice{RetryAfter: suspectedRetry}), helper{}
	}
	pool := s.placingPools[r.Service]
	if pool == nil {
		return s.denyRequest(call, r, slotRequest, dispatch.ReasonNoServers, placing.Choice{RetryAfter: suspectedRetry}), helper{}
	}
	waited := s.waitedForSlot(call)
	request := s.placingRequest(r, slotRequest)
	request.Fallback, request.OwnWay = slotRequest.Fingerprint^uint64(len(s.requests)), ownWay
	_, request.Waited = s.entryWaits[call]
	request.Certain = slotRequest.Remaining < r.Deadline.Sub(s.now)
	choice := pool.Choose(request, s.now)
	s.askServers(pool, maxQuestionsOfRequest)
	if h := s.helperFor(r, choice); h.VM != "" {
		return dispatch.Answer{}, h
	}
	if choice.Server != nil && choice.Server.Cut() && !s.usesOpenConnections(r, choice.Server) {
		return s.chooseServer(call, r, slotRequest, true)
	}
	if choice.Server == nil {
		reason := dispatch.ReasonQueueFull
		if choice.Refused == placing.NoServers {
			reason = dispatch.ReasonNoServers
		}
		if r.TakenOver && s.ways.InDoubt(s.now) {
			reason = dispatch.ReasonNoWay
		}
		if slotRequest.Remaining < r.Deadline.Sub(s.now) && reason == dispatch.ReasonQueueFull {
			reason, choice.RetryAfter = dispatch.ReasonStopping, stoppingRetry
		}
		if reason == dispatch.ReasonQueueFull {
			if !request.Waited {
				if denial, denied := s.askShare(r, choice); denied {
					return denial, helper{}
				}
			}
			if s.holdForSlot(call, r, slotRequest, pool, choice) {
				return dispatch.Answer{}, helper{}
			}
			if s.leaving && choice.MayWait {
				reason, choice.RetryAfter = dispatch.ReasonStopping, stoppingRetry
			} else {
				s.notePlaced(r, share.Refused)
			}
			if choice.MayWait && reason == dispatch.ReasonQueueFull {
				choice.RetryAfter = pool.Promise(placing.Request{Class: r.Route.Location(), Remaining: slotRequest.Remaining}, s.now)
			}
		}
		if request.Waited {
			s.slotCount(r.Service).refused++
		}
		return s.denyRequest(call, r, slotRequest, reason, choice), helper{}
	}
	if request.Waited {
		if !s.renewAllowance(call, r) {
			return dispatch.Answer{}, helper{}
		}
		s.slotCount(r.Service).placed++
	} else {
		if denial, denied := s.askShare(r, choice); denied {
			return denial, helper{}
		}
		s.notePlaced(r, shareResult(choice.Server, s.now))
	}
	s.lastTicket++
	if verdict == quarantine.Trial {
		s.quarantine.BeginTrial(slotRequest.Fingerprint, s.lastTicket)
	}
	pool.BeginRun(choice.Server, placing.Run{Class: r.Route.Location(), Target: r.Route.Target.Std(), Partial: !r.Replayable}, s.now)
	s.placedRuns[s.lastTicket] = placedRun{pool: pool, server: choice.Server, unqueued: choice.Server.Load(s.now) <= float64(choice.Server.Slots), sentAt: s.now, expected: choice.Expected, pace: choice.Server.Pace(s.now)}
	cold, word := choice.Server.Cold(s.now)
	s.emit(Decision{Code: CodePlaced, Request: r.ID, Outcome: "sent", Fields: append([]Field{
		{"route", r.Route.Name},
		{"service", r.Service},
		{"server", choice.Server.ID},
		{"object", r.Object},
		{"warm", choice.Warm},
		{"expected", choice.Expected},
		{"load", choice.Server.Load(s.now)},
		{"load_age", choice.Server.LoadAge(s.now)},
		{"pace", choice.Server.Pace(s.now)},
		{"left", r.Deadline.Sub(s.now)},
		{"waited", waited},
		{"candidates", int64(choice.Candidates)},
		{"document", int64(s.documentAt.Index)},
		{"cold", cold},
		{"cold_word", string(word.Source)},
		{"cold_word_vm", word.VM},
		{"cold_word_age", s.now.Sub(word.At)},
		{"cold_share", pool.Policy.ColdRate},
		{"entries", int64(s.entryCount)},
	}, customerFields(r)...)})
	return dispatch.Answer{Grant: &dispatch.Grant{
		Ticket:  s.lastTicket,
		Server:  choice.Server.ID,
		Address: choice.Server.Address,
		Domain:  choice.Server.Domain,
		Shifted: choice.Server.Domain != s.Settings.Domain,

		OpenOnly: choice.Server.Cut(),
		ChosenAt: s.now,
		Cold:     cold,
		Word:     string(word.Source),

		HedgeAfter: s.hedgeAfter(r, pool, choice.Expected),
	}}, helper{}
}

// helperFor returns the VM that a request is passed on to because this one has no way to the
// chosen server, or none to any, or doubts all that could run it, as after it stood still; an empty
// one if there is no such need, or no such VM.
func (s *State) helperFor(r *relay.Request, choice placing.Choice) helper {
	domain := ""
	switch {
	case choice.Server == nil && (choice.Refused != placing.NoServers || !s.ways.InDoubt(s.now) && choice.Doubted == 0):
		return helper{}
	case choice.Server != nil && (!choice.Server.Cut() || s.usesOpenConnections(r, choice.Server)):
		return helper{}
	case choice.Server != nil:
		domain = choice.Server.Domain
	}
	h, _ := s.chooseHelper(r, domain)
	return h
}

// usesOpenConnections reports whether a request is sent to a server to which no new
// connection can be opened: the first time, in case an open one is idle. A cold one gets no more
// than its rate on these either; another VM keeps to a share of its own.
func (s *State) usesOpenConnections(r *relay.Request, server *placing.Server) bool {
	return s.ways.Way(server.Domain) == reach.Kept && !r.AnyUnconnected() && server.MayPace(s.now)
}

// Delays after which a request that was denied a server may be tried again.
const (
	quarantinedRetry = 30 * time.Second
	suspectedRetry   = 500 * time.Millisecond // by then the run in progress has shown whether it crashes its server
)

func (s *State) denyRequest(call uint64, r *relay.Request, slotRequest dispatch.SlotRequest, reason dispatch.Reason, choice placing.Choice) dispatch.Answer {
	s.emit(Decision{Code: CodeNotPlaced, Request: r.ID, Outcome: string(reason), Fields: append([]Field{
		{"route", r.Route.Name},
		{"service", r.Service},
		{"rank", int64(r.Rank)},
		{"object", r.Object},
		{"left", r.Deadline.Sub(s.now)},
		{"waited", s.waitedForSlot(call)},
		{"candidates", int64(choice.Candidates)},
		{"limited", int64(choice.Limited)},
		{"excluded", int64(len(slotRequest.Exclude))},
		{"retry_after", choice.RetryAfter},
		{"document", int64(s.documentAt.Index)},
	}, customerFields(r)...)})
	return dispatch.Answer{Denial: &dispatch.Denial{Reason: reason, RetryAfter: choice.RetryAfter}}
}

// handlePlacedSent handles the header of an answer, or a failed send, of a
// request whose server this VM chose.
func (s *State) handlePlacedSent(e RequestSent, r *relay.Request) {
	run, found := s.placedRuns[r.Grant.Ticket]
	if !found {
		return
	}
	run.load = e.Load
	s.placedRuns[r.Grant.Ticket] = run
	if e.ConnectTime > 0 {
		run.pool.RecordRoundTrip(run.server.Domain, e.ConnectTime)
	}
	if e.AddressReused {
		s.endReplaced(run.server)
	}
	if e.Leaving || e.StayAway > 0 {
		s.noteServer(r, run.server, e.Notice)
	}
	s.noteLimit(r, run, e)
	phase := quarantine.Clear
	cut := s.ways.Way(run.server.Domain).IsCut()
	if e.ServerDied && !cut {
		phase = s.markSuspected(r, r.Grant.Ticket, run.server.ID)
	}
	if e.Stalled {
		r.Stall()
	}
	step := r.HandleSendResult(relay.SendEnd{Result: e.Result, Status: e.Status, Suspicion: phase, BodyMissing: e.BodyMissing}, s.now, s.retryBudget(r))
	s.logSend(r, e, step, Field{"expected", run.expected}, Field{"stalled", e.Stalled})
	if result := e.Result; !step.Stream && !e.Stalled {
		if cut || e.BodyMissing {
			result = blameless(result)
		}
		s.endRun(r, result, e.Latency)
	}
	s.runStep(e.Call, r, step)
}

// noteServer applies what a server said about itself: from this moment on this VM sends
// it nothing new. That it leaves is told to all VMs.
func (s *State) noteServer(r *relay.Request, server *placing.Server, n routing.Notice) {
	s.logWish(r, n)
	server.Note(n, s.now)
	if n.Leaving {
		s.roster.MarkLeaving(server.ID, server.Start, s.now)
		s.markRosterChange()
	}
}

func nextAction(step relay.Step) string {
	switch {
	case step.SlotRequest != nil, step.Claim != nil:
		return "another-server"
	case step.Detour != nil:
		return "another-vm"
	case step.Stream:
		return "pass-on"
	default:
		return "refuse"
	}
}

// endReplaced marks a server as ended because another one uses its address.
func (s *State) endReplaced(server *placing.Server) {
	if entry := s.roster.Find(server.ID); entry != nil && entry.Start == server.Start && !entry.Gone {
		s.roster.End(server.ID, s.now)
		s.markRosterChange()
	}
}

// markSuspected notes that a server died while it ran the request, and returns
// the phase of the request's fingerprint.
func (s *State) markSuspected(r *relay.Request, ticket uint64, server string) quarantine.Phase {
	before, _ := s.quarantine.Find(r.Fingerprint)
	phase := s.quarantine.RecordDeath(r.Fingerprint, ticket, s.now)
	if phase != before.Phase {
		s.handleQuarantineChange(dispatch.QuarantineChange{Service: r.Service, Fingerprint: r.Fingerprint, Phase: phase, Server: server})
	}
	return phase
}

// endPlaced ends a request whose server this VM chose.
func (s *State) endPlaced(r *relay.Request, e RequestEnded) {
	if r.Grant != nil {
		s.endRun(r, e.Result, e.Latency)
	}
}

func (s *State) endRun(r *relay.Request, result routing.Result, latency time.Duration) {
	s.endTicket(r.Grant.Ticket, r, result, latency, false)
}

// endTicket ends one run of a request; late means that it was cancelled because another one of the
// request was faster.
func (s *State) endTicket(ticket uint64, r *relay.Request, result routing.Result, latency time.Duration, late bool) {
	run, found := s.placedRuns[ticket]
	if !found {
		return
	}
	delete(s.placedRuns, ticket)
	s.noteReport(r, run.load)
	if result == routing.ResultOK || result == routing.ResultError {
		s.quarantine.RecordSurvival(r.Fingerprint)
	} else {
		s.quarantine.EndTrial(r.Fingerprint, ticket)
	}
	run.pool.End(run.server, placing.Outcome{
		Partial:  !r.Replayable,
		Class:    r.Route.Location(),
		Object:   r.Object,
		Target:   r.Route.Target.Std(),
		Unqueued: run.unqueued,
		Result:   result,
		Latency:  latency,
		Load:     run.load,

		PaceAtSend: run.pace,
		Late:       late,
	}, s.now)
	s.retryWaits(run.pool, true)
}

// retryShare returns the retries per first send that this VM may add to a
// service; 0 means the default.
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
