package trial

import (
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// acceptRequest starts a request at an entry, oneWay after the caller sent it.
// A request assigned to another domain counts against the shift cap.
func (d *domainState) acceptRequest(r *request, oneWay time.Duration) {
	sm := d.policy.sim
	limiter := d.limiters[r.service]
	limiter.Tick(sm.now())
	limiter.CountRequest()
	assignedElsewhere := !r.crashesServer && !plan.IsHome(d.recentTables.Tables(), r.service, r.client, d.domain.Name)
	if assignedElsewhere && !limiter.AllowShift(r.rank) {
		sm.Stats.countRefused(r)
		return
	}
	if assignedElsewhere {
		limiter.CountShift(r.rank)
	}
	d.policy.lastID++
	fingerprint := d.policy.lastID
	if r.crashesServer {
		fingerprint = 1 << 63 // the same for all crash requests
	}
	x := &exchange{entry: d, request: r, startedAt: sm.now(), relay: &relay.Request{
		ID:          "r",
		Service:     r.service,
		Rank:        r.rank,
		Deadline:    r.deadline.Add(-oneWay),
		Holder:      d.domain.Name,
		Fingerprint: fingerprint,
		Replayable:  true,
	}}
	x.applyStep(x.relay.Start(sm.now(), d.retryBudget(r)))
}

// retryBudget returns the retry budget of the request's service and rank.
func (d *domainState) retryBudget(r *request) *relay.RetryBudget {
	key := r.service + d.policy.sim.ranks[r.rank].Name
	if d.retryBudgets[key] == nil {
		d.retryBudgets[key] = &relay.RetryBudget{}
	}
	return d.retryBudgets[key]
}

// applyStep carries out the relay's next step.
func (x *exchange) applyStep(step relay.Step) {
	d, sm := x.entry, x.entry.policy.sim
	switch {
	case step.SlotRequest != nil:
		pool := d.pool(x.request.service)
		slotRequest := *step.SlotRequest
		d.policy.lastID++
		slotRequest.ID = d.policy.lastID
		d.policy.exchanges[slotRequest.ID] = x
		d.applyEffects(pool, pool.RequestSlot(slotRequest, sm.now()))
	case step.Send != nil:
		x.send(step.Send)
	case step.Refuse != nil:
		sm.Stats.countRefused(x.request)
	}
}

// send sends the request to the granted server.
func (x *exchange) send(grant *dispatch.Grant) {
	d, sm := x.entry, x.entry.policy.sim
	x.grant, x.sendEnded = grant, false
	if x.relay.Grant != nil && x.startedAt != sm.now() && x.request.server != nil {
		sm.Stats.Retries++
	}
	target := sm.findServer(grant.Server[strings.LastIndexByte(grant.Server, '/')+1:])
	if !x.request.crashesServer {
		sm.Stats.countSend(x.request, sm.domainIndex(target.domain))
	}
	oneWay := sm.oneWay(d.domain.Name, target.domain)
	sentAt := sm.now()
	if !sm.connected(d.domain.Name, target.domain) {
		sm.schedule(dialTimeout, func() { x.finishSend(routing.ResultDialFailed, dialTimeout) })
		return
	}
	x.request.onResult = func(result outcome) {
		sm.schedule(oneWay, func() { x.handleAnswer(result, sm.now().Sub(sentAt)) })
	}
	sm.schedule(x.relay.Deadline.Sub(sm.now()), func() { x.expireSend(grant, target, sm.now().Sub(sentAt)) })
	sm.schedule(oneWay, func() {
		if !target.alive {
			sm.schedule(oneWay, func() { x.finishSend(routing.ResultDialFailed, 2*oneWay) })
			return
		}
		if x.grant == grant && !x.sendEnded {
			// A request cancelled in transit never reaches the server.
			sm.startRequest(target, x.request)
		}
	})
}

// expireSend cancels the request on the server at its deadline.
func (x *exchange) expireSend(grant *dispatch.Grant, target *server, latency time.Duration) {
	if x.grant != grant || x.sendEnded {
		return
	}
	sm := x.entry.policy.sim
	sm.Stats.Late++
	sm.cancelRequest(target, x.request)
	x.finishSend(routing.ResultTimeout, latency)
}

func (sm *Simulation) findServer(id string) *server {
	for _, s := range sm.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// handleAnswer ends the send and passes a successful answer on to the caller.
func (x *exchange) handleAnswer(result outcome, latency time.Duration) {
	if x.sendEnded {
		return
	}
	sm := x.entry.policy.sim
	switch result {
	case outcomeOK:
		x.finishSend(routing.ResultOK, latency)
		place := sm.Document.Places.Places[x.request.place]
		oneWay := place.OneWay.Std() + sm.Document.Places.OneWay(place.Region, x.entry.domain.Region)
		if sm.entryAlive(x.entry.domain.Name) {
			sm.schedule(oneWay, func() { sm.Stats.countServed(x.request) })
		}
	case outcomeError:
		x.finishSend(routing.ResultError, latency)
	default:
		x.finishSend(routing.ResultBroken, latency)
	}
}

// finishSend releases the grant and lets the relay decide what follows.
func (x *exchange) finishSend(result routing.Result, latency time.Duration) {
	if x.sendEnded {
		return
	}
	x.sendEnded = true
	d, sm := x.entry, x.entry.policy.sim
	pool := d.pool(x.request.service)
	phase := quarantine.Clear
	effects := pool.Finish(dispatch.Finish{Service: x.request.service, Ticket: x.grant.Ticket, Result: result, Latency: latency}, sm.now())
	for _, effect := range effects {
		if change, found := effect.(dispatch.QuarantineChange); found && change.Fingerprint == x.relay.Fingerprint {
			phase = change.Phase
		}
	}
	d.applyEffects(pool, effects)
	step := x.relay.HandleSendResult(relay.SendEnd{Result: result, Suspicion: phase}, sm.now(), d.retryBudget(x.request))
	if step.Stream && result == routing.ResultError {
		sm.Stats.countRefused(x.request)
	}
	x.applyStep(step)
}
