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

// take begins a request at an entry.
func (s *site) take(r *request, way time.Duration) {
	w := s.system.world
	limiter := s.arrivals[r.service]
	limiter.Tick(w.now())
	limiter.CountRequest()
	foreign := !r.killer && !plan.IsHome(s.recent.Tables(), r.service, r.client, s.domain.Name)
	if foreign && !limiter.AllowShift(r.rank) {
		w.Stats.refused(r)
		return
	}
	if foreign {
		limiter.CountShift(r.rank)
	}
	s.system.next++
	fingerprint := s.system.next
	if r.killer {
		fingerprint = 1 << 63
	}
	x := &exchange{site: s, request: r, began: w.now(), relay: &relay.Request{
		ID:          "r",
		Service:     r.service,
		Rank:        r.rank,
		Deadline:    r.deadline.Add(-way),
		Holder:      s.domain.Name,
		Fingerprint: fingerprint,
		Replayable:  true,
	}}
	x.step(x.relay.Start(w.now(), s.budget(r)))
}

func (s *site) budget(r *request) *relay.RetryBudget {
	key := r.service + s.system.world.ranks[r.rank].Name
	if s.budgets[key] == nil {
		s.budgets[key] = &relay.RetryBudget{}
	}
	return s.budgets[key]
}

// step follows the relay's decision.
func (x *exchange) step(step relay.Step) {
	s, w := x.site, x.site.system.world
	switch {
	case step.SlotRequest != nil:
		pool := s.pool(x.request.service)
		ask := *step.SlotRequest
		s.system.next++
		ask.ID = s.system.next
		s.system.asks[ask.ID] = x
		s.effects(pool, pool.RequestSlot(ask, w.now()))
	case step.Send != nil:
		x.send(step.Send)
	case step.Refuse != nil:
		w.Stats.refused(x.request)
	}
}

func (x *exchange) send(grant *dispatch.Grant) {
	s, w := x.site, x.site.system.world
	x.grant, x.done = grant, false
	if x.relay.Grant != nil && x.began != w.now() && x.request.server != nil {
		w.Stats.Retries++
	}
	target := w.find(grant.Server[strings.LastIndexByte(grant.Server, '/')+1:])
	if !x.request.killer {
		w.Stats.granted(x.request, w.domainNumber(target.domain))
	}
	way := w.oneWay(s.domain.Name, target.domain)
	sent := w.now()
	if !w.connected(s.domain.Name, target.domain) {
		w.after(dialTimeout, func() { x.finish(routing.ResultDialFailed, dialTimeout) })
		return
	}
	x.request.answered = func(result outcome) {
		w.after(way, func() { x.answer(result, w.now().Sub(sent)) })
	}
	w.after(x.relay.Deadline.Sub(w.now()), func() { x.expire(grant, target, w.now().Sub(sent)) })
	w.after(way, func() {
		if !target.alive {
			w.after(way, func() { x.finish(routing.ResultDialFailed, 2*way) })
			return
		}
		if x.grant == grant && !x.done {
			// A request cancelled on its way ends with its connection.
			w.begin(target, x.request)
		}
	})
}

// expire cancels work at the deadline; the server accepts cancellation.
func (x *exchange) expire(grant *dispatch.Grant, target *server, latency time.Duration) {
	if x.grant != grant || x.done {
		return
	}
	w := x.site.system.world
	w.Stats.Late++
	w.cancel(target, x.request)
	x.finish(routing.ResultTimeout, latency)
}

func (w *World) find(id string) *server {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (x *exchange) answer(result outcome, latency time.Duration) {
	if x.done {
		return
	}
	w := x.site.system.world
	switch result {
	case outcomeOK:
		x.finish(routing.ResultOK, latency)
		place := w.Document.Places.Places[x.request.place]
		way := place.OneWay.Std() + w.Document.Places.OneWay(place.Region, x.site.domain.Region)
		if w.entryAlive(x.site.domain.Name) {
			w.after(way, func() { w.Stats.served(x.request) })
		}
	case outcomeError:
		x.finish(routing.ResultError, latency)
	default:
		x.finish(routing.ResultBroken, latency)
	}
}

// finish ends the grant and lets the relay decide what follows a failure.
func (x *exchange) finish(result routing.Result, latency time.Duration) {
	if x.done {
		return
	}
	x.done = true
	s, w := x.site, x.site.system.world
	pool := s.pool(x.request.service)
	suspicion := quarantine.Clear
	effects := pool.Finish(dispatch.Finish{Service: x.request.service, Ticket: x.grant.Ticket, Result: result, Latency: latency}, w.now())
	for _, effect := range effects {
		if barring, found := effect.(dispatch.QuarantineChange); found && barring.Fingerprint == x.relay.Fingerprint {
			suspicion = barring.Phase
		}
	}
	s.effects(pool, effects)
	step := x.relay.HandleSendResult(result, suspicion, w.now(), s.budget(x.request))
	if step.Stream && result == routing.ResultError {
		w.Stats.refused(x.request)
	}
	x.step(step)
}
