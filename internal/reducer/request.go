package reducer

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func (s *State) handleRequestEvent(event Event) {
	switch e := event.(type) {
	case RequestBegan:
		s.beginRequest(e)
	case RequestClaimed:
		if r := s.requests[e.Call]; r != nil {
			s.runStep(e.Call, r, r.HandleClaimResult(e.Result, e.Err, s.now))
		}
	case RequestWaited:
		if r := s.requests[e.Call]; r != nil {
			s.runStep(e.Call, r, r.ResumeAfterWait(s.now))
		}
	case RequestSlotAnswered:
		if r := s.requests[e.Call]; r != nil {
			s.runStep(e.Call, r, r.HandleSlotAnswer(e.Answer, e.Err, s.now))
		}
	case RequestSent:
		s.handleSent(e)
	case RequestLate:
		s.handleLate(e)
	case RequestHedged:
		s.handleHedged(e)
	case RequestStalledEnded:
		s.handleStalledEnded(e)
	case RequestDetoured:
		s.handleDetoured(e)
	case RequestEnded:
		s.endRequest(e)
	}
}

func (s *State) beginRequest(e RequestBegan) {
	r := e.Request
	if s.refuseWhileStopping(e.Call) {
		return
	}
	if r.TakenOver {
		if problem := s.takeOver(e); problem != nil {
			s.emit(Answer{Call: e.Call, Value: relay.Step{Refuse: problem}})
			return
		}
	}
	if s.awaitAllowance(e) {
		s.admitRequest(e)
	}
}

// admitRequest begins a request that has the allowance of its customer.
func (s *State) admitRequest(e RequestBegan) {
	r := e.Request
	if s.resumeWait(e.Call) {
		return
	}
	if r.Route != nil {
		s.beginRouted(e)
		return
	}
	limiter := s.arrivalLimiters[r.Service]
	if limiter != nil && !r.TakenOver {
		if stats, over := limiter.Tick(s.now); over && stats.Shifted > 0 {
			s.recordShift("arrival", r.Service, stats)
		}
		limiter.CountRequest()
		if e.AssignedElsewhere && !limiter.AllowShift(r.Rank) {
			s.emit(Answer{Call: e.Call, Value: relay.Step{Refuse: &relay.Problem{
				Status:     http.StatusServiceUnavailable,
				Reason:     string(dispatch.ReasonShiftCap),
				Detail:     "the client's block is placed elsewhere and the cap on shifts is reached",
				Run:        relay.RunNo,
				RetryAfter: limiter.Interval,
			}}})
			return
		}
		if e.AssignedElsewhere {
			limiter.CountShift(r.Rank)
		}
	}
	s.requests[e.Call] = r
	s.runStep(e.Call, r, r.Start(s.now, s.retryBudget(r)))
}

func (s *State) retryBudget(r *relay.Request) *relay.RetryBudget {
	key := budgetKey{service: r.Service, rank: r.Rank}
	budget := s.budgets[key]
	if budget == nil {
		budget = &relay.RetryBudget{Ratio: s.retryShare(r.Service)}
		s.budgets[key] = budget
	}
	budget.Saved = s.savedRetries()
	return budget
}

// Bounds on the retries that entries save up while few are needed. A fault that many entries see makes
// all of them spend what they have saved at once.
const (
	maxSavedRetries = 300 // of all entries, for each service and rank
	minSavedRetries = 2   // of each entry
)

func (s *State) savedRetries() float64 {
	return max(minSavedRetries, min(relay.MaxRetryTokens, maxSavedRetries/float64(max(1, s.entryCount))))
}

// runStep passes the next step of a request to package node. A request for a
// slot that this VM grants, as an entry or as the owner, is handled here instead.
func (s *State) runStep(call uint64, r *relay.Request, step relay.Step) {
	if end, forbidden := s.forbidsSend(r, step); forbidden {
		s.dropGrant(r, step)
		step = end
	}
	if (step.Claim != nil || step.SlotRequest != nil) && s.needsDetour(r) {
		if h, found := s.chooseHelper(r, ""); found {
			s.passOn(call, r, step, h, "no connection to servers")
			return
		}
		if wait := s.helperWait(r); wait > 0 {
			s.emit(Answer{Call: call, Value: relay.Step{Wait: wait}})
			return
		}
	}
	if step.SlotRequest != nil && s.isOutsideRegions(r) {
		if h, found := s.chooseHelper(r, ""); found {
			s.passOn(call, r, step, h, "its route or customer does not allow this region")
			return
		}
	}
	byStop := step.SlotRequest != nil && s.boundByStop(step.SlotRequest)
	if byStop && step.SlotRequest.Remaining <= 0 {
		denied := dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonStopping, RetryAfter: stoppingRetry}}
		if !s.passOnAtStop(call, r, denied) {
			s.runStep(call, r, r.HandleSlotAnswer(denied, nil, s.now))
		}
		return
	}
	if step.SlotRequest != nil && r.PlacedLocally {
		if !s.askForLoad(call, r, *step.SlotRequest) {
			s.placeRequest(call, r, *step.SlotRequest)
		}
		return
	}
	if step.SlotRequest != nil {
		if pool := s.pool(r.Service); pool != nil {
			slotRequest := *step.SlotRequest
			slotRequest.ID = call
			s.slotWaiters[slotRequestKey{slotRequest.From, slotRequest.ID}] = slotWaiter{call: call, local: true}
			s.applyPoolEffects(pool, pool.RequestSlot(slotRequest, s.now))
			return
		}
		step.SlotRequest.ID = call
	}
	if step.Send != nil {
		if !r.PlacedLocally && s.passOnGranted(call, r, step) {
			return
		}
		step.Send.MayStall = r.MayRepeat()
		s.beginFlight(call, r, step.Send)
		s.recordSend(r, "sending")
	}
	s.endWait(call)
	if r.DeferRefusal(step) {
		s.awaitStalled(call)
		return
	}
	if step.Refuse != nil {
		s.countRefusal(r, step.Refuse)
	}
	s.emit(Answer{Call: call, Value: step})
}

// passOnGranted returns the grant of a slot and passes the request on to another VM, if this
// one cannot reach the server.
func (s *State) passOnGranted(call uint64, r *relay.Request, step relay.Step) bool {
	way := s.ways.Way(step.Send.Domain)
	step.Send.OpenOnly = way == reach.Kept
	if way != reach.Lost {
		return false
	}
	h, found := s.chooseHelper(r, step.Send.Domain)
	if !found {
		return false
	}
	s.finishGrant(r, routing.ResultUnused, 0)
	s.passOn(call, r, relay.Step{}, h, "no way to "+step.Send.Domain)
	return true
}

// recordSend records that a `once` operation was sent to a server or ended
// there.
func (s *State) recordSend(r *relay.Request, outcome string) {
	if !r.Once {
		return
	}
	s.record(Audit{
		Kind:    AuditClaim,
		Outcome: outcome,
		Service: r.Service,
		Key:     r.Key.Key,
		Request: r.ID,
		Server:  r.Grant.Server,
		From:    s.Settings.VM,
		To:      r.Grant.Domain,
	})
}

// handleSlotRequest handles another VM's request for a slot.
func (s *State) handleSlotRequest(e SlotRequested) {
	pool := s.pool(e.Request.Service)
	if pool == nil {
		s.emit(Answer{Call: e.Call, Value: dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonNotOwner}}})
		return
	}
	s.slotWaiters[slotRequestKey{e.Request.From, e.Request.ID}] = slotWaiter{call: e.Call}
	s.applyPoolEffects(pool, pool.RequestSlot(e.Request, s.now))
}

func (s *State) handleReply(e dispatch.Reply) {
	key := slotRequestKey{e.To, e.RequestID}
	waiter, found := s.slotWaiters[key]
	if !found {
		return
	}
	delete(s.slotWaiters, key)
	if !waiter.local {
		s.emit(Answer{Call: waiter.call, Value: e.Answer})
		return
	}
	if r := s.requests[waiter.call]; r != nil {
		s.runStep(waiter.call, r, r.HandleSlotAnswer(e.Answer, nil, s.now))
	}
}

func (s *State) handleSent(e RequestSent) {
	r := s.requests[e.Call]
	if r == nil || r.Grant == nil {
		return
	}
	s.noteWay(r.Grant, e)
	s.followRoute(r, e.Result, e.Status)
	if r.PlacedLocally {
		s.handlePlacedSent(e, r)
		return
	}
	s.noteToOwner(r, e)
	answered := e.Result == routing.ResultOK || e.Result == routing.ResultError
	phase := quarantine.Clear
	switch {
	case e.Stalled:
		r.Stall()
	case !answered:
		result := e.Result
		if s.ways.Way(r.Grant.Domain) != reach.Open || e.BodyMissing {
			result = blameless(result) // the owner would eject the server for all VMs
		}
		phase = s.finishGrant(r, result, e.Latency)
	}
	step := r.HandleSendResult(relay.SendEnd{Result: e.Result, Status: e.Status, Suspicion: phase, BodyMissing: e.BodyMissing}, s.now, s.retryBudget(r))
	s.logSend(r, e, step)
	if answered && !step.Stream {
		s.finishGrant(r, e.Result, e.Latency)
	}
	s.runStep(e.Call, r, step)
}

// followRoute forbids to repeat a request whose send did not succeed if the document in force does,
// which may be newer than that of the request's arrival, or has revoked the key of the request.
func (s *State) followRoute(r *relay.Request, result routing.Result, status int) {
	succeeded := result == routing.ResultOK && !relay.StatusMeansNotRun(status)
	if succeeded || s.document == nil {
		return
	}
	if s.isRevoked(r) {
		r.ForbidRepeat()
	}
	if r.Route == nil {
		return
	}
	if route := s.document.Routes.Match(r.Host, r.Path); route != nil && !route.Kind.Repeatable() {
		r.ForbidRepeat()
	}
}

// noteToOwner tells the owner of the service what a server said about itself, ahead of
// the end of the grant, unless it said no more than the owner knew.
func (s *State) noteToOwner(r *relay.Request, e RequestSent) {
	n := e.Notice
	if n.BadLimit != "" {
		s.logNotice(r, "limit-invalid", Field{"text", n.BadLimit})
	}
	limitChanged := n.Limit != r.Grant.Limit && (n.Limit.Named || endsLimit(e))
	if limitChanged {
		n.Unlimited = !n.Limit.Named
		s.logLimit(r, n.Limit)
	}
	hasWish := n.Leaving || n.StayAway > 0
	if hasWish {
		s.logWish(r, n)
	}
	if !hasWish && !limitChanged {
		return
	}
	notice := dispatch.ServerNotice{Service: r.Service, Server: r.Grant.Server, Notice: n}
	if pool := s.pool(r.Service); pool != nil {
		s.applyPoolEffects(pool, pool.Note(notice, s.now))
		return
	}
	s.transmit(s.ownerOf(r.Service).Peer, Message{Notice: &notice})
}

// endsLimit reports whether an answer says that its server names no limit: a complete
// one without a limit does.
func endsLimit(e RequestSent) bool {
	return !e.Limit.Named && e.BadLimit == "" && e.Result == routing.ResultOK
}

// logWish logs that a server leaves or wants no requests.
func (s *State) logWish(r *relay.Request, n routing.Notice) {
	outcome := "stay-away"
	if n.Leaving {
		outcome = "leaving"
	}
	s.logNotice(r, outcome, Field{"stay_away", n.StayAway})
}

// logLimit logs the limit that a server named, or that it names none any more.
func (s *State) logLimit(r *relay.Request, limit routing.Limit) {
	if !limit.Named {
		s.logNotice(r, "limit-ended")
		return
	}
	s.logNotice(r, "limit", Field{"per_second", limit.PerSecond})
}

// logNotice logs what a server said about itself, with the request that heard it.
func (s *State) logNotice(r *relay.Request, outcome string, fields ...Field) {
	s.emit(Decision{Code: CodeServerNotice, Request: r.ID, Outcome: outcome, Fields: append([]Field{
		{"service", r.Service},
		{"server", r.Grant.Server},
	}, fields...)})
}

// logSend logs a send that did not succeed, or whose answer callers take to mean that nothing
// ran.
func (s *State) logSend(r *relay.Request, e RequestSent, step relay.Step, fields ...Field) {
	if e.Result == routing.ResultOK && step.Stream && !relay.StatusMeansNotRun(e.Status) {
		return
	}
	s.emit(Decision{Code: CodeSendFailed, Request: r.ID, Outcome: e.Result.String(), Fields: append(append([]Field{
		{"service", r.Service},
		{"server", r.Grant.Server},
		{"took", e.Latency},
		{"why", e.Cause},
		{"evidence", string(e.Evidence)},
		{"answer", int64(e.Status)},
		{"conn", e.Conn},
		{"next", nextAction(step)},
		{"document", int64(s.documentAt.Index)},
	}, fields...), customerFields(r)...)})
}

// finishGrant ends the grant of a request and returns the phase of its
// fingerprint. It does not wait for what another VM, as the owner, concludes
// from a broken connection: the request counts as suspected.
func (s *State) finishGrant(r *relay.Request, result routing.Result, latency time.Duration) quarantine.Phase {
	finish := dispatch.Finish{Service: r.Service, Ticket: r.Grant.Ticket, Result: result, Latency: latency}
	r.Grant.Ticket = 0
	s.recordSend(r, "ended:"+result.String())
	return s.finish(r, finish)
}

// finish ends a grant at the owner of its service. Its results are those of finishGrant.
func (s *State) finish(r *relay.Request, finish dispatch.Finish) quarantine.Phase {
	pool := s.pool(r.Service)
	if pool == nil {
		s.transmit(s.ownerOf(r.Service).Peer, Message{Finish: &finish})
		return quarantine.Suspected
	}
	phase := quarantine.Clear
	effects := pool.Finish(finish, s.now)
	for _, effect := range effects {
		if change, found := effect.(dispatch.QuarantineChange); found && change.Fingerprint == r.Fingerprint {
			phase = change.Phase
		}
	}
	s.applyPoolEffects(pool, effects)
	return phase
}

func (s *State) endRequest(e RequestEnded) {
	s.leaveParked(e.Call)
	s.endWait(e.Call)
	r := s.requests[e.Call]
	if r == nil {
		return
	}
	delete(s.requests, e.Call)
	s.countEnd(r, e.Result)
	delete(s.loadQuestions, e.Call)
	s.endHedge(e.Call, r)
	s.endStalled(e.Call, r)
	delete(s.takenOver, e.Call)
	s.ways.End(e.Call)
	s.endDetour(e.Call, false)
	if r.PlacedLocally {
		s.endPlaced(r, e)
		return
	}
	if r.Grant != nil && r.Grant.Ticket != 0 {
		s.finishGrant(r, e.Result, e.Latency)
		return
	}
	key := slotRequestKey{s.Settings.VM, e.Call}
	if _, waits := s.slotWaiters[key]; !waits {
		return
	}
	delete(s.slotWaiters, key)
	if pool := s.pool(r.Service); pool != nil {
		pool.Cancel(s.Settings.VM, e.Call)
	}
}

var serverIDPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// handleAnnouncement handles a backend server's announcement, or names the
// owner to which it must be forwarded.
func (s *State) handleAnnouncement(e ServerAnnounced) {
	answer := AnnouncementResult{RenewAfter: routing.AnnouncementTTL / 4}
	if s.document == nil {
		answer.Refused = "no steering document is in force yet"
		s.emit(Answer{Call: e.Call, Value: answer})
		return
	}
	if answer.Refused = s.checkAnnouncement(e); answer.Refused != "" {
		s.emit(Answer{Call: e.Call, Value: answer})
		return
	}
	if s.document.Services.ByName(e.Announcement.Service).Placing == document.PlacingEntry {
		if e.Withdrawn {
			result := s.withdrawServer(e.Announcement.ID)
			answer.Unknown, answer.Close = result.Unknown, result.Close
			// The next start of a server that announces none could not be told from this one.
			if entry := s.roster.Find(e.Announcement.ID); entry != nil && entry.Start == 0 {
				answer.Close = nil
			}
		} else {
			s.announceToRoster(e.Announcement)
		}
		s.emit(Answer{Call: e.Call, Value: answer})
		return
	}
	pool := s.pool(e.Announcement.Service)
	switch {
	case pool == nil && e.Forwarded:
		answer.Refused = "the owner of the service is changing"
	case pool == nil:
		answer.Forward = s.ownerOf(e.Announcement.Service).Peer
	case e.Withdrawn:
		s.applyPoolEffects(pool, pool.RetireServer(e.Announcement.ID, s.now))
	default:
		s.announceToPool(pool, e.Announcement)
	}
	s.emit(Answer{Call: e.Call, Value: answer})
}

func (s *State) announceToPool(pool *dispatch.Pool, a routing.Announcement) {
	if pool.Routing.Find(a.ID) == nil {
		s.log(CodeServerNew, a.Service+" "+a.ID, int64(a.Slots))
		s.record(Audit{Kind: AuditMember, Service: a.Service, Server: a.ID, Outcome: "announced", Count: int64(a.Slots), To: s.Settings.Domain, From: s.Settings.Region})
	}
	if a.State == routing.StateLeaving {
		s.record(Audit{Kind: AuditDrain, Service: a.Service, Server: a.ID, Outcome: "leaving"})
	}
	s.applyPoolEffects(pool, pool.Announce(a, s.now))
}

// checkAnnouncement returns why an announcement is refused, or "".
func (s *State) checkAnnouncement(e ServerAnnounced) string {
	a := e.Announcement
	service := s.document.Services.ByName(a.Service)
	switch {
	case !serverIDPattern.MatchString(a.ID):
		return "the id must be 1 to 128 of letters, digits, \".\", \"_\" and \"-\""
	case service == nil:
		return fmt.Sprintf("service %q does not exist", a.Service)
	case !service.AllowedIn(s.Settings.Region):
		return fmt.Sprintf("service %q may not run in region %q", a.Service, s.Settings.Region)
	case e.Withdrawn:
		return ""
	case !a.State.Valid():
		return "the state must be starting, serving or leaving"
	case a.Slots < 1 || a.Slots > routing.MaxSlots:
		return fmt.Sprintf("slots must be 1 to %d", routing.MaxSlots)
	case a.Connections < 0 || a.Connections > routing.MaxConnections:
		return fmt.Sprintf("connections must be 0 to %d", routing.MaxConnections)
	case !(a.Load >= 0):
		return "load must not be negative"
	case !validAddress(a.Address):
		return "address must be an IP number and a port"
	}
	if pool := s.pool(a.Service); pool != nil && len(pool.Routing.Servers) >= routing.MaxServers && pool.Routing.Find(a.ID) == nil {
		return "too many backend servers of this service"
	}
	return ""
}

func validAddress(address string) bool {
	if len(address) > routing.MaxAddressBytes {
		return false
	}
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
