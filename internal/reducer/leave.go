package reducer

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/relay"
)

const stoppingRetry = 50 * time.Millisecond // the caller goes to another VM

// refuseWhileStopping refuses a request that came after the VM accepts none, and returns false
// for any other.
func (s *State) refuseWhileStopping(call uint64) bool {
	if !s.leaving || s.leave.AcceptUntil.IsZero() || s.now.Before(s.leave.AcceptUntil) {
		return false
	}
	s.emit(Answer{Call: call, Value: relay.Step{Refuse: &relay.Problem{
		Status:     statusUnavailable,
		Reason:     relay.ReasonStopping,
		Detail:     "this VM stops; others take the request",
		Run:        relay.RunNo,
		RetryAfter: stoppingRetry,
	}}})
	return true
}

// passOnAtStop passes a request on to a VM that does not stop, if servers here would answer too late and
// it can't be refused as not run. It reports whether it did.
func (s *State) passOnAtStop(call uint64, r *relay.Request, answer dispatch.Answer) bool {
	if answer.Denial == nil || answer.Denial.Reason != dispatch.ReasonStopping || !r.MayHaveRun() || !r.MayRepeat() {
		return false
	}
	h, found := s.chooseHelper(r, "")
	if found {
		s.passOn(call, r, relay.Step{}, h, "this VM stops")
	}
	return found
}

// boundByStop shortens the time that a request asks for to what is left before the VM stops,
// and returns false if it is long enough anyway.
func (s *State) boundByStop(request *dispatch.SlotRequest) bool {
	if !s.leaving || s.leave.StopAt.IsZero() {
		return false
	}
	left := s.leave.StopAt.Sub(s.now)
	if left >= request.Remaining {
		return false
	}
	request.Remaining = left
	return true
}
