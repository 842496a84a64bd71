package relay

import (
	"net/http"
	"time"

	"github.com/heatherwood/heatherwood/internal/detour"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// Reasons with which a VM refuses to serve a request for another; that one then tries the
// next VM.
const (
	ReasonNoWay            = "no-way"            // it cannot reach the servers either
	ReasonDetoursFull      = "detours-full"      // it serves as many requests for others as it may
	ReasonDocumentOutdated = "document-outdated" // its document is older than that of the other VM
	ReasonStarting         = "starting"          // it follows no document yet
	ReasonStopping         = "stopping"
)

// ReasonKeyRevoked is the reason with which a request ends whose key was taken from its customer.
const ReasonKeyRevoked = "key-revoked"

// concernsVM reports whether a refusal says something of the VM that sent it, and nothing of the
// request: another VM may serve that.
func concernsVM(reason string) bool {
	switch reason {
	case ReasonNoWay, ReasonDetoursFull, ReasonDocumentOutdated, ReasonStarting, ReasonStopping:
		return true
	}
	return false
}

const maxHelpers = 8 // VMs that are asked to serve one request; each that cannot says so at once

// minUnconnected is the number of servers without a connection after which another VM is
// asked, whatever is known of the way: one server alone may be down.
const minUnconnected = 2

// MayDetour reports whether another VM may be asked to serve the request. Nobody serves a
// request for a VM that serves it for another one, so that it is passed on once at most.
func (r *Request) MayDetour() bool {
	return !r.TakenOver && r.helperTries < maxHelpers
}

// Unconnected reports whether connections to several servers failed for this request.
func (r *Request) Unconnected() bool { return r.noConnection >= minUnconnected }

// AnyUnconnected reports whether a connection to a server failed for this request, or the way
// to a server was lost after it was sent there.
func (r *Request) AnyUnconnected() bool { return r.noConnection > 0 || r.wayLost }

// LoseWay notes that the way to the server that the request was sent to is lost.
func (r *Request) LoseWay() { r.wayLost = true }

// MayRepeat reports whether the request may be sent again after it may have run.
func (r *Request) MayRepeat() bool { return r.repeatable() && r.Replayable }

// MayHaveRun reports whether a server may have run the request, so that it can't be refused as not run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// TriedHelpers returns the VMs that were asked to serve the request.
func (r *Request) TriedHelpers() []string { return r.triedHelpers }

// Detour is another VM that is to serve a request.
type Detour struct {
	detour.Helper
	Runs int // sends of this VM that may have run
}

// PassOn returns the step that passes the request on to another VM in place of the given
// one, a claim or a request for a slot that was not made yet.
func (r *Request) PassOn(helper detour.Helper, instead Step) Step {
	if instead.Claim != nil {
		r.claimTries--
		r.claimStartedAt = time.Time{}
	}
	r.Grant = nil
	r.triedHelpers = append(r.triedHelpers, helper.VM)
	r.helperTries++
	return Step{Detour: &Detour{Helper: helper, Runs: r.runs}}
}

// DetourResult is the result of passing a request on to another VM.
type DetourResult struct {
	Result  routing.Result // of the hop to that VM; ResultOK where the answer is that of a server
	Refusal *Problem       // with which the VM itself refused the request; Result is ResultShed then

	Evidence Evidence // of whether the request ran, as far as this hop tells
	Status   int      // of the answer of a server, 0 without one

	BodyUsed bool // the body can't be sent again: a part that is not kept was read for the hop
}

// HandleDetourResult takes how passing the request on ended.
func (r *Request) HandleDetourResult(e DetourResult, now time.Time, budget *RetryBudget) Step {
	if r.isFalsePromise(e.Result, e.Status) {
		return r.endUnstated(e.Status)
	}
	switch e.Result {
	case routing.ResultOK, routing.ResultError:
		return Step{Stream: true}
	case routing.ResultShed:
		return r.handleRefusal(e, now)
	case routing.ResultDialFailed, routing.ResultDialTimeout:
		return r.proceed(now)
	case routing.ResultBroken:
		r.mayHaveRun = true
		r.runs++
		if r.repeatable() && r.mayRetry(now) && budget.TakeRetry() {
			return r.proceed(now)
		}
		return r.endUnknown(http.StatusBadGateway, "connection-lost", "the connection to the VM that served the request broke before the whole answer")
	case routing.ResultTimeout:
		r.mayHaveRun = true
		return r.endUnknown(http.StatusGatewayTimeout, "deadline", "the deadline passed while another VM served the request")
	case routing.ResultUnused:
		return r.endUnused(now)
	default:
		return r.endCancelled(e.Result)
	}
}

// refuseForWay refuses a request that this VM took over but has no way to serve. It keeps the
// claim, which the VM that passed the request on continues or releases.
func (r *Request) refuseForWay() Step {
	return r.refuse(http.StatusServiceUnavailable, ReasonNoWay, "the VM that was asked to serve the request reaches no server either", noWayRetry)
}

const noWayRetry = 500 * time.Millisecond // until the way is probed again

// IsPassing reports whether the refusal of a VM that was to serve a request for another may end soon:
// it has no way for now, and does not know yet whether it is cut.
func (p *Problem) IsPassing() bool {
	return p.Reason == ReasonNoWay && p.RetryAfter > 0 && p.RetryAfter < noWayRetry
}

// handleRefusal tries the next VM, or the servers directly, if the refusal concerns only the
// VM that sent it; that one has released no claim then.
func (r *Request) handleRefusal(e DetourResult, now time.Time) Step {
	refusal := e.Refusal
	switch {
	case !concernsVM(refusal.Reason) || refusal.Run != RunNo:
	case e.BodyUsed || !now.Before(r.Deadline):
		step := r.endNotRun(refusal.Status, refusal.Reason, refusal.Detail, refusal.RetryAfter)
		step.Refuse.DecidedBy = refusal.DecidedBy
		return step
	default:
		if refusal.IsPassing() {
			// Of several VMs that are cut together it may be the one that is not.
			r.triedHelpers = r.triedHelpers[:max(0, len(r.triedHelpers)-1)]
		}
		return r.proceed(now)
	}
	if refusal.Run != RunNo {
		r.mayHaveRun = true
	}
	step := r.refuse(refusal.Status, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	step.Refuse.DecidedBy = refusal.DecidedBy
	return step
}

// proceed continues a request that is not on its way: with its claim, if it needs one and has
// none, or with a request for a slot.
func (r *Request) proceed(now time.Time) Step {
	if !now.Before(r.Deadline) {
		return r.endUnserved()
	}
	if r.Once && r.claimStartedAt.IsZero() {
		return r.claim(now)
	}
	return r.requestSlot(now)
}
