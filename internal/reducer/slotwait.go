package reducer

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/customer"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/share"
)

// entryWait is a request that waits at this VM for a slot of a server that this VM chooses.
type entryWait struct {
	waiter placing.Waiter
	pool   *placing.Pool
	queued bool // false while servers are compared again, one is asked for its load, or an allowance is awaited

	allowedAt time.Time // when it got its last allowance
}

// maxAllowanceAge is the age of the allowance of a request that waited beyond which it needs a new one: a load
// question fits into it, and the bound on what a customer sends does not cover waits.
const maxAllowanceAge = 50 * time.Millisecond

// slotCounts counts the requests of a service that waited for a slot here, since the start.
type slotCounts struct{ waited, placed, refused int64 }

// holdForSlot lets a request wait that found no slot, and reports whether it does. Its caller gets no
// answer meanwhile. A VM that stops holds none: another one takes the request. One that was sent before, or
// that another VM passed on, does not wait: its allowance is not renewed here.
func (s *State) holdForSlot(call uint64, r *relay.Request, slotRequest dispatch.SlotRequest, pool *placing.Pool, choice placing.Choice) bool {
	if !choice.MayWait || s.leaving || r.Grant != nil || r.Stalled != nil || r.TakenOver {
		return false
	}
	w, waited := s.entryWaits[call]
	if !waited {
		w = entryWait{pool: pool, allowedAt: s.now, waiter: placing.Waiter{
			ID:         call,
			Class:      r.Route.Location(),
			Rank:       r.Rank,
			Deadline:   s.now.Add(slotRequest.Remaining),
			TargetTime: r.TargetTime,
			Bytes:      r.BodyBytes,
		}}
	}
	w.queued = pool.Hold(w.waiter, s.now)
	if !w.queued {
		return false
	}
	if !waited {
		w.waiter.Since = s.now
		s.slotCount(r.Service).waited++
		s.notePlaced(r, share.Queued)
		s.emit(Decision{Code: CodeSlotWait, Request: r.ID, Outcome: "waits", Fields: append([]Field{
			{"route", r.Route.Name},
			{"service", r.Service},
			{"rank", int64(r.Rank)},
			{"object", r.Object},
			{"left", r.Deadline.Sub(s.now)},
			{"waiting", int64(pool.Waiting.Len())},
			{"waiting_bytes", int64(pool.Waiting.Bytes())},
			{"candidates", int64(choice.Candidates)},
			{"document", int64(s.documentAt.Index)},
		}, customerFields(r)...)})
	}
	s.entryWaits[call] = w
	return true
}

func (s *State) slotCount(service string) *slotCounts {
	count := s.slotCounts[service]
	if count == nil {
		count = &slotCounts{}
		s.slotCounts[service] = count
	}
	return count
}

// waitedForSlot returns how long a request has waited for a slot; 0 for one that did not.
func (s *State) waitedForSlot(call uint64) time.Duration {
	if w, waited := s.entryWaits[call]; waited {
		return s.now.Sub(w.waiter.Since)
	}
	return 0
}

// renewAllowance takes a new allowance for a request that waited for a slot and has found one; it returns false
// if the request waits for one, or is refused. The customer's counts have the request already.
func (s *State) renewAllowance(call uint64, r *relay.Request) bool {
	w := s.entryWaits[call]
	limit, limited := s.limitOf(r.Customer)
	if r.Customer == "" || !limited || s.now.Sub(w.allowedAt) <= maxAllowanceAge {
		return true
	}
	s.observePause()
	c := &s.customers
	if c.credit.Take(limit, s.now) {
		if c.credit.Short() {
			s.sendAllowances(false)
		}
		return true
	}
	began := RequestBegan{Call: call, Request: r}
	wait, parked := c.credit.Park(r.Customer, call, customer.Patience(r.Deadline.Sub(s.now)), s.now)
	if !parked {
		s.refuseAllowance(began, http.StatusTooManyRequests, ReasonOverAllowance, wait, 0)
		return false
	}
	c.parked[call] = parkedRequest{began: began, at: s.now, renews: true}
	s.sendAllowances(false)
	return false
}

// resumeWait looks for a slot again for a request that waited for one and now has a new allowance; it returns false
// for any other request.
func (s *State) resumeWait(call uint64) bool {
	w, waited := s.entryWaits[call]
	r := s.requests[call]
	if !waited || r == nil {
		return false
	}
	w.allowedAt = s.now
	s.entryWaits[call] = w
	s.runStep(call, r, r.RequestSlot(s.now))
	return true
}

// endWait forgets that a request waits, or did.
func (s *State) endWait(call uint64) {
	if w, waited := s.entryWaits[call]; waited {
		w.pool.Waiting.Remove(call)
		delete(s.entryWaits, call)
	}
}

// retryWait compares servers again for a request that waits.
func (s *State) retryWait(call uint64) {
	w, r := s.entryWaits[call], s.requests[call]
	if !w.queued {
		return
	}
	if r == nil {
		s.endWait(call)
		return
	}
	w.pool.Waiting.Remove(call)
	w.queued = false
	s.entryWaits[call] = w
	step := r.RequestSlot(s.now)
	if !s.stillRouted(r) {
		denial := s.denyRequest(call, r, *step.SlotRequest, dispatch.ReasonNoServers, placing.Choice{RetryAfter: documentChangeRetry})
		step = r.HandleSlotAnswer(denial, nil, s.now)
	}
	s.runStep(call, r, step)
}

// stillRouted reports whether the document in force leads the request to its service.
func (s *State) stillRouted(r *relay.Request) bool {
	if s.placingPools[r.Service] == nil {
		return false
	}
	route := s.document.Routes.Match(r.Host, r.Path)
	if route == nil {
		return false
	}
	for _, target := range route.To {
		if target.Service == r.Service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// retryWaits compares servers for the requests that wait in a pool. ended tells that a run has ended,
// so that there may be room.
func (s *State) retryWaits(pool *placing.Pool, ended bool) {
	for _, call := range pool.Due(ended, s.now) {
		s.retryWait(call)
	}
}

// tickWaits compares servers again, and ends the waits of requests that cannot be answered in time
// any more, or of all when this VM stops.
func (s *State) tickWaits() {
	if len(s.entryWaits) == 0 {
		return
	}
	if s.leaving {
		s.retryAllWaits()
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.placingPools)) {
		pool := s.placingPools[service]
		for _, call := range pool.Expired(s.now) {
			s.retryWait(call)
		}
		s.retryWaits(pool, false)
	}
}

// retryAllWaits compares servers again for all requests that wait, as after a change of the document.
func (s *State) retryAllWaits() {
	for _, call := range slices.Sorted(maps.Keys(s.entryWaits)) {
		s.retryWait(call)
	}
}

// slotStatus lists the services with long work, or with requests that waited for slots.
func (s *State) slotStatus() []SlotStatus {
	var status []SlotStatus
	for _, service := range slices.Sorted(maps.Keys(s.placingPools)) {
		pool := s.placingPools[service]
		count := s.slotCounts[service]
		long := pool.LongClasses()
		if count == nil && len(long) == 0 {
			continue
		}
		one := SlotStatus{Service: service, Long: long, Waiting: pool.Waiting.Len(), Bytes: pool.Waiting.Bytes()}
		for _, server := range pool.Servers {
			one.Reserved = max(one.Reserved, pool.Reserved(server))
		}
		if count != nil {
			one.Waited, one.Placed, one.Refused = count.waited, count.placed, count.refused
		}
		status = append(status, one)
	}
	return status
}
