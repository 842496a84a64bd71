package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// RunState tells whether a refused or failed request may have run.
type RunState string

// The values of the Heatherwood-Run header.
const (
	RunNo      RunState = "no"
	RunUnknown RunState = "unknown"
)

// Request is one caller's request on its way.
type Request struct {
	ID           string // shown to the caller and in the audit trail
	Service      string
	Rank         int
	Once         bool
	Key          ledger.Key // of a `once` request
	Digest       uint64     // of method, path and body
	Fingerprint  uint64
	Deadline     time.Time
	ClaimLease   time.Duration // how long a claim may be held before the send
	KeyRetention time.Duration // how long a key is remembered
	Holder       string        // this VM
	Replayable   bool          // the body can be sent again

	Route         *document.Route // nil for a request found by the hosts of a service
	Object        string          // requests of one object run faster where it ran lately
	TargetTime    time.Time       // an answer after it has lost most of its value
	PlacedLocally bool            // this VM chooses the server itself

	Grant     *dispatch.Grant // of the present send
	phase     phase
	claimedAt time.Time // when the claim was asked for
	claims    int
	tries     int
	runs      int // sends that may have run
	exclude   []string
	ran       bool // something was sent that may have run
}

type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseAsking
	phaseSending
	phaseDone
)

// Step is what the shell does next; exactly one field is set, except that
// Settle may accompany an end.
type Step struct {
	Claim   *ledger.Claim         // propose it, then report Claimed
	Wait    time.Duration         // wait, then report Waited
	Ask     *dispatch.SlotRequest // ask the owner, then report Asked
	Send    *dispatch.Grant       // send to the server, then report Sent
	Stream  bool                  // the answer in hand goes to the caller
	Replay  *ledger.Outcome       // the stored answer goes to the caller
	Refuse  *Problem              // the caller gets this
	Settle  *ledger.Settle        // record the outcome meanwhile
	Release *ledger.Release       // give the claim back meanwhile
}

// Problem is a refusal or failure as the caller sees it.
type Problem struct {
	Status     int
	Reason     string // short and fixed, for programs
	Detail     string
	Run        RunState
	RetryAfter time.Duration
}

// Limits on tries.
const (
	maxTries     = 3
	extraSends   = 2 // sends beyond the runs that a route allows, after proof that one did not run
	maxClaims    = 50
	joinInterval = 100 * time.Millisecond // between looks at a running operation
	claimRetry   = 50 * time.Millisecond  // after a claim that found no leader
	claimMargin  = 200 * time.Millisecond // before the end of the hold, in which nothing is sent
)

// Start begins the request.
func (r *Request) Start(now time.Time, budget *RetryBudget) Step {
	budget.CountFirstTry()
	if !now.Before(r.Deadline) {
		return r.refuse(http.StatusGatewayTimeout, "deadline", "the deadline had passed on arrival", 0)
	}
	if r.Once {
		return r.claim(now)
	}
	return r.ask(now)
}

func (r *Request) claim(now time.Time) Step {
	r.phase = phaseClaiming
	r.claims++
	if r.claimedAt.IsZero() {
		r.claimedAt = now
	}
	return Step{Claim: &ledger.Claim{
		Key:     r.Key,
		Digest:  r.Digest,
		Holder:  r.Holder,
		Attempt: r.ID,
		Hold:    r.ClaimLease,
		Keep:    r.KeyRetention,
	}}
}

func (r *Request) ask(now time.Time) Step {
	r.phase = phaseAsking
	return Step{Ask: &dispatch.SlotRequest{
		From:        r.Holder,
		Service:     r.Service,
		Rank:        r.Rank,
		Remaining:   r.Deadline.Sub(now),
		Fingerprint: r.Fingerprint,
		Exclude:     r.exclude,
	}}
}

// HandleClaimResult reports the answer to a claim; err means that no leader confirmed it.
func (r *Request) HandleClaimResult(result *ledger.ClaimResult, err error, now time.Time) Step {
	if err != nil {
		return r.claimFailed(now)
	}
	switch result.Code {
	case ledger.ClaimGranted:
		return r.granted(now)
	case ledger.ClaimStored:
		return r.replay(result.Outcome)
	case ledger.ClaimRunning:
		return r.join(now)
	case ledger.ClaimOutcomeUnknown:
		r.ran = true
		return r.refuse(http.StatusConflict, "outcome-unknown", "an earlier request with this key may have run; its outcome will not be known", 0)
	case ledger.ClaimMismatch:
		return r.refuse(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used for another request", 0)
	case ledger.ClaimTableFull:
		return r.refuse(http.StatusServiceUnavailable, "claims-full", "no room to remember another key", time.Minute)
	default:
		return r.refuse(http.StatusServiceUnavailable, "claim-stale", "the request was given up before", time.Second)
	}
}

// granted goes on only while the hold lasts: after it, others are told that the
// outcome is unknown, and a send would surprise them.
func (r *Request) granted(now time.Time) Step {
	if now.Sub(r.claimedAt) > r.ClaimLease-claimMargin || !now.Before(r.Deadline) {
		return r.giveBack(http.StatusServiceUnavailable, "claim-late", "the claim on the key took too long", time.Second)
	}
	return r.ask(now)
}

func (r *Request) claimFailed(now time.Time) Step {
	if r.claims < maxClaims && now.Add(claimRetry).Before(r.Deadline) {
		return Step{Wait: claimRetry}
	}
	return r.giveBack(http.StatusServiceUnavailable, "no-quorum", "the claim on the key could not be recorded by a quorum", time.Second)
}

func (r *Request) join(now time.Time) Step {
	if now.Add(joinInterval).Before(r.Deadline) {
		// The claim is another attempt's; only its own one counts the hold.
		r.claimedAt = time.Time{}
		return Step{Wait: joinInterval}
	}
	r.ran = true
	return r.refuse(http.StatusGatewayTimeout, "still-running", "an earlier request with this key is still running", time.Second)
}

// ResumeAfterWait reports that a wait is over.
func (r *Request) ResumeAfterWait(now time.Time) Step { return r.claim(now) }

func (r *Request) replay(outcome ledger.Outcome) Step {
	r.phase = phaseDone
	if outcome.Truncated {
		r.ran = true
		return r.refuse(http.StatusConflict, "answer-too-large", fmt.Sprintf("the operation ran with status %d; its answer was too large to keep", outcome.Status), 0)
	}
	return Step{Replay: &outcome}
}

// HandleSlotAnswer reports the owner's answer; err means that the owner was not reached,
// so nothing was granted that could be used.
func (r *Request) HandleSlotAnswer(answer dispatch.Answer, err error, now time.Time) Step {
	switch {
	case err != nil:
		return r.unanswered(now)
	case answer.Grant != nil:
		r.phase = phaseSending
		r.Grant = answer.Grant
		r.tries++
		return Step{Send: answer.Grant}
	case answer.Denial.Reason == dispatch.ReasonNotOwner:
		return r.unanswered(now)
	}
	status := http.StatusServiceUnavailable
	if answer.Denial.Reason == dispatch.ReasonUnknownService {
		status = http.StatusNotFound
	}
	if answer.Denial.Reason == dispatch.ReasonQuarantined && r.Route == nil {
		status = http.StatusForbidden
	}
	reason := answer.Denial.Reason
	return r.giveBack(status, string(reason), detailOf(reason), answer.Denial.RetryAfter)
}

func detailOf(reason dispatch.Reason) string {
	switch reason {
	case dispatch.ReasonQueueFull:
		return "too many requests of this rank wait"
	case dispatch.ReasonDeadline:
		return "the request could not finish before its deadline"
	case dispatch.ReasonNoServers:
		return "no backend server can take it"
	case dispatch.ReasonShiftCap:
		return "it would exceed the cap on shifts of traffic"
	case dispatch.ReasonQuarantined:
		return "requests like it crashed backend servers"
	case dispatch.ReasonSuspected:
		return "a backend server died under a request like it; one is tried at a time"
	default:
		return "no slot was granted"
	}
}

// unanswered tries the ask again a few times: membership names a new owner soon.
func (r *Request) unanswered(now time.Time) Step {
	const maxAsks = 3
	r.claims++
	if r.tries == 0 && r.claims <= maxAsks && now.Add(claimRetry).Before(r.Deadline) {
		return r.ask(now)
	}
	return r.giveBack(http.StatusServiceUnavailable, string(dispatch.ReasonOwnerUnreachable), "the VM that grants the slots was not reached", time.Second)
}

// HandleSendResult reports how the send ended. Suspicion is the phase of the request's
// fingerprint after a broken connection.
func (r *Request) HandleSendResult(result routing.Result, suspicion quarantine.Phase, now time.Time, budget *RetryBudget) Step {
	server := r.Grant.Server
	switch result {
	case routing.ResultOK:
		r.phase = phaseDone
		return Step{Stream: true}
	case routing.ResultError:
		return r.failed(server, now, budget)
	case routing.ResultShed:
		return r.elsewhere(server, now, budget)
	case routing.ResultDialFailed, routing.ResultDialTimeout:
		// Nothing arrived, so another send adds no load to the service.
		return r.elsewhere(server, now, nil)
	case routing.ResultBroken:
		r.ran = true
		r.runs++
		if r.repeatable() && suspicion == quarantine.Clear {
			return r.elsewhere(server, now, budget)
		}
		return r.lost(http.StatusBadGateway, "connection-lost", "the backend server's connection broke before the whole answer")
	case routing.ResultTimeout:
		r.ran = true
		return r.lost(http.StatusGatewayTimeout, "deadline", "the deadline passed while the backend server worked")
	default:
		r.ran = r.ran || result.MayHaveRun()
		if !r.ran {
			return r.giveBack(http.StatusServiceUnavailable, "cancelled", "the caller hung up", time.Second)
		}
		return r.lost(http.StatusBadGateway, "cancelled", "the caller hung up")
	}
}

// failed tries work that may be repeated on another server; the last try's answer
// goes to the caller as it is.
func (r *Request) failed(server string, now time.Time, budget *RetryBudget) Step {
	r.ran = true
	r.runs++
	if !r.repeatable() || !r.mayRetry(now) || !budget.TakeRetry() {
		r.phase = phaseDone
		return Step{Stream: true}
	}
	r.exclude = append(r.exclude, server)
	return r.ask(now)
}

// repeatable reports whether the request may run a second time.
func (r *Request) repeatable() bool {
	return !r.Once && (r.Route == nil || r.Route.Kind == document.KindRepeat)
}

func (r *Request) mayRetry(now time.Time) bool {
	sends, runs := maxTries, maxTries
	if r.Route != nil {
		sends, runs = r.Route.Tries+extraSends, r.Route.Tries
	}
	return r.tries < sends && r.runs < runs && r.Replayable && now.Before(r.Deadline)
}

// elsewhere tries another server, within the budget, if there is one, and the
// deadline.
func (r *Request) elsewhere(server string, now time.Time, budget *RetryBudget) Step {
	if r.mayRetry(now) && (budget == nil || budget.TakeRetry()) {
		r.exclude = append(r.exclude, server)
		return r.ask(now)
	}
	if r.ran {
		return r.lost(http.StatusBadGateway, "connection-lost", "the backend server's connection broke before the whole answer")
	}
	return r.giveBack(http.StatusServiceUnavailable, "shed", "the backend servers refused the request unrun", time.Second)
}

// lost ends a request that may have run.
func (r *Request) lost(status int, reason, detail string) Step {
	step := r.refuse(status, reason, detail, 0)
	if r.Once {
		step.Settle = &ledger.Settle{Key: r.Key, Attempt: r.ID, Outcome: ledger.Outcome{Unknown: true}}
	}
	return step
}

// giveBack ends a request of which nothing was run; its claim is released.
func (r *Request) giveBack(status int, reason, detail string, retryAfter time.Duration) Step {
	step := r.refuse(status, reason, detail, retryAfter)
	if r.Once {
		step.Release = &ledger.Release{Key: r.Key, Attempt: r.ID}
	}
	return step
}

// promisesNotRun reports whether callers take the status for a promise that the
// request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (r *Request) refuse(status int, reason, detail string, retryAfter time.Duration) Step {
	r.phase = phaseDone
	run := RunNo
	if r.ran {
		run = RunUnknown
		if promisesNotRun(status) {
			status = http.StatusBadGateway
		}
	}
	return Step{Refuse: &Problem{Status: status, Reason: reason, Detail: detail, Run: run, RetryAfter: retryAfter}}
}
