package reducer

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func (s *State) request(event Event) {
	switch e := event.(type) {
	case RequestBegan:
		s.requestBegan(e)
	case RequestClaimed:
		if r := s.requests[e.Call]; r != nil {
			s.step(e.Call, r, r.HandleClaimResult(e.Result, e.Err, s.now))
		}
	case RequestWaited:
		if r := s.requests[e.Call]; r != nil {
			s.step(e.Call, r, r.ResumeAfterWait(s.now))
		}
	case RequestSlotAnswered:
		if r := s.requests[e.Call]; r != nil {
			s.step(e.Call, r, r.HandleSlotAnswer(e.Answer, e.Err, s.now))
		}
	case RequestSent:
		s.requestSent(e)
	case RequestEnded:
		s.requestEnded(e)
	}
}

func (s *State) requestBegan(e RequestBegan) {
	r := e.Request
	if r.Route != nil {
		s.routeBegan(e)
		return
	}
	limiter := s.arrivals[r.Service]
	if limiter != nil {
		if closed, over := limiter.Tick(s.now); over && closed.Shifted > 0 {
			s.noteShift("arrival", r.Service, closed)
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
	s.step(e.Call, r, r.Start(s.now, s.budget(r)))
}

func (s *State) budget(r *relay.Request) *relay.RetryBudget {
	key := budgetKey{service: r.Service, rank: r.Rank}
	budget := s.budgets[key]
	if budget == nil {
		budget = &relay.RetryBudget{Ratio: s.retryShare(r.Service)}
		s.budgets[key] = budget
	}
	return budget
}

// step gives the next step to the shell, except an ask that this VM answers
// itself.
func (s *State) step(call uint64, r *relay.Request, step relay.Step) {
	if step.Ask != nil && r.PlacedLocally {
		s.place(call, r, *step.Ask)
		return
	}
	if step.Ask != nil {
		if pool := s.pool(r.Service); pool != nil {
			ask := *step.Ask
			ask.ID = call
			s.asks[askKey{ask.From, ask.ID}] = askTarget{call: call, local: true}
			s.fromPool(pool, pool.RequestSlot(ask, s.now))
			return
		}
		step.Ask.ID = call
	}
	if step.Send != nil {
		s.noteSend(r, "sending")
	}
	s.emit(Answer{Call: call, Value: step})
}

// noteSend records the way of a `once` operation to a server and back.
func (s *State) noteSend(r *relay.Request, outcome string) {
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

// asked handles another VM's request for a slot.
func (s *State) asked(e SlotRequested) {
	pool := s.pool(e.Ask.Service)
	if pool == nil {
		s.emit(Answer{Call: e.Call, Value: dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonNotOwner}}})
		return
	}
	s.asks[askKey{e.Ask.From, e.Ask.ID}] = askTarget{call: e.Call}
	s.fromPool(pool, pool.RequestSlot(e.Ask, s.now))
}

func (s *State) poolReplied(e dispatch.Reply) {
	key := askKey{e.To, e.RequestID}
	target, found := s.asks[key]
	if !found {
		return
	}
	delete(s.asks, key)
	if !target.local {
		s.emit(Answer{Call: target.call, Value: e.Answer})
		return
	}
	if r := s.requests[target.call]; r != nil {
		s.step(target.call, r, r.HandleSlotAnswer(e.Answer, nil, s.now))
	}
}

func (s *State) requestSent(e RequestSent) {
	r := s.requests[e.Call]
	if r == nil || r.Grant == nil {
		return
	}
	if r.PlacedLocally {
		s.placedSent(e, r)
		return
	}
	answered := e.Result == routing.ResultOK || e.Result == routing.ResultError
	suspicion := quarantine.Clear
	if !answered {
		suspicion = s.finish(r, e.Result, e.Latency)
	}
	step := r.HandleSendResult(e.Result, suspicion, s.now, s.budget(r))
	if answered && !step.Stream {
		s.finish(r, e.Result, e.Latency)
	}
	s.step(e.Call, r, step)
}

// finish ends the grant of a request. Another owner's verdict on a broken
// connection is not waited for: the request counts as suspected.
func (s *State) finish(r *relay.Request, result routing.Result, latency time.Duration) quarantine.Phase {
	finish := dispatch.Finish{Service: r.Service, Ticket: r.Grant.Ticket, Result: result, Latency: latency}
	r.Grant.Ticket = 0
	s.noteSend(r, "ended:"+result.String())
	pool := s.pool(r.Service)
	if pool == nil {
		s.transmit(s.ownerOf(r.Service).Peer, Message{Finish: &finish})
		return quarantine.Suspected
	}
	suspicion := quarantine.Clear
	effects := pool.Finish(finish, s.now)
	for _, effect := range effects {
		if barring, found := effect.(dispatch.QuarantineChange); found && barring.Fingerprint == r.Fingerprint {
			suspicion = barring.Phase
		}
	}
	s.fromPool(pool, effects)
	return suspicion
}

func (s *State) requestEnded(e RequestEnded) {
	r := s.requests[e.Call]
	if r == nil {
		return
	}
	delete(s.requests, e.Call)
	if r.PlacedLocally {
		s.placedEnded(r, e)
		return
	}
	if r.Grant != nil && r.Grant.Ticket != 0 {
		s.finish(r, e.Result, e.Latency)
		return
	}
	key := askKey{s.Settings.VM, e.Call}
	if _, waits := s.asks[key]; !waits {
		return
	}
	delete(s.asks, key)
	if pool := s.pool(r.Service); pool != nil {
		pool.Cancel(s.Settings.VM, e.Call)
	}
}

var serverIDPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// announced handles a backend server's announcement, or names the owner that it
// must be passed on to.
func (s *State) announced(e ServerAnnounced) {
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
		s.announcedToAll(e.Announcement, e.Withdrawn)
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
		s.fromPool(pool, pool.RetireServer(e.Announcement.ID, s.now))
	default:
		s.announce(pool, e.Announcement)
	}
	s.emit(Answer{Call: e.Call, Value: answer})
}

func (s *State) announce(pool *dispatch.Pool, a routing.Announcement) {
	if pool.Routing.Find(a.ID) == nil {
		s.log(CodeServerNew, a.Service+" "+a.ID, int64(a.Slots))
		s.record(Audit{Kind: AuditMember, Service: a.Service, Server: a.ID, Outcome: "announced", Count: int64(a.Slots), To: s.Settings.Domain, From: s.Settings.Region})
	}
	if a.State == routing.StateLeaving {
		s.record(Audit{Kind: AuditDrain, Service: a.Service, Server: a.ID, Outcome: "leaving"})
	}
	s.fromPool(pool, pool.Announce(a, s.now))
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
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}
