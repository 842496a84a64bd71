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

// Request is one caller's request with the state of its claim and its sends.
type Request struct {
	ID           string // shown to the caller and in the audit trail
	Service      string
	Rank         int
	Once         bool
	Key          ledger.Key // of a `once` request
	Digest       uint64     // of service, method, URI and body; a claim compares it
	Fingerprint  uint64     // by which package quarantine identifies requests that are alike
	Deadline     time.Time
	ClaimLease   time.Duration // how long after the claim the request may be sent
	KeyRetention time.Duration // how long a key is remembered
	Holder       string        // id of this VM
	Replayable   bool          // the whole body is in memory, so that a retry can send it
	BodyBytes    int           // of the body that this VM held on arrival

	Route         *document.Route    // nil for a request found by the hosts of a service
	Host, Path    string             // by which it matched the route
	Object        string             // a server that ran requests for the same object lately runs them faster
	TargetTime    time.Time          // after it, an answer has lost most of its value
	PlacedLocally bool               // this VM chooses the server, without asking a slot owner
	TakenOver     bool               // another VM, which reaches no server, passed the request on
	EarlierRuns   int                // sends of that VM that may have run
	Customer      string             // whose key the request carries; empty without one
	KeyDigest     document.KeyDigest // of that key, by which a revocation is found before each send

	Grant          *dispatch.Grant // of the current send
	Stalled        *dispatch.Grant // of an earlier one whose way is lost and that goes on; nil for none
	deferred       Step            // a refusal that waits for the end of the stalled send
	ranBeforeStall bool            // an earlier send than the stalled one may have run
	claimStartedAt time.Time       // when the claim was first proposed; zero while another request holds the key
	claimTries     int             // claims proposed
	slotTries      int             // slot requests that the owner did not answer
	sends          int
	runs           int      // sends that may have run
	excluded       []string // servers that a retry must not use
	noConnection   int      // sends for which no connection came
	wayLost        bool     // a send was given up because its way was lost
	triedHelpers   []string // VMs that were asked to serve the request, and are not asked again
	helperTries    int      // times that a VM was asked to
	mayHaveRun     bool     // this request, or an earlier one with its key
	runsOnce       bool     // a newer document forbids to repeat it
	hedged         bool     // it was sent to a second server while the first one ran it
}

// Evidence is what is known of whether a request ran, once a send of it has ended.
type Evidence string

// The kinds of evidence; all but the last two mean that the request did not run.
const (
	EvidenceNoConnection   Evidence = "no-connection"   // none came, so nothing was sent
	EvidenceNothingWritten Evidence = "nothing-written" // the send was given up before its first byte
	EvidenceStated         Evidence = "stated"          // the server states, for this request, that it did not run it
	EvidenceAnswered       Evidence = "answered"        // the server answered and states nothing of the kind
	EvidenceWritten        Evidence = "written"         // a part was written, and no whole answer to it came
)

// EvidenceUnsent is that of a request that was never sent.
const EvidenceUnsent Evidence = "unsent"

// EvidenceByStrength lists all evidence, that which best shows that nothing ran first.
var EvidenceByStrength = []Evidence{EvidenceUnsent, EvidenceNoConnection, EvidenceNothingWritten, EvidenceStated, EvidenceAnswered, EvidenceWritten}

// Step is what the code that performs the I/O does next. Exactly one field is
// set, except that Settle or Release may accompany Refuse.
type Step struct {
	Claim        *ledger.Claim         // propose it to the log, then call HandleClaimResult
	Wait         time.Duration         // wait, then call ResumeAfterWait
	SlotRequest  *dispatch.SlotRequest // send it to the owner of the service, then call HandleSlotAnswer
	Send         *dispatch.Grant       // send the request to the server, then call HandleSendResult
	Detour       *Detour               // pass the request on to another VM, then call HandleDetourResult
	AwaitStalled bool                  // wait for the end of the stalled send, then call EndStalled or UseStalled
	Stream       bool                  // pass the server's answer on to the caller
	Replay       *ledger.Outcome       // answer the caller with the stored outcome
	Refuse       *Problem              // answer the caller with this
	Settle       *ledger.Settle        // record the outcome in the log, without waiting for it
	Release      *ledger.Release       // release the claim in the log, without waiting for it
}

// Problem is a refusal or a failure that the caller is told of.
type Problem struct {
	Status     int
	Reason     string // one of a fixed set, for programs
	Detail     string
	Run        RunState
	RetryAfter time.Duration
	DecidedBy  string // VM that refused, empty for this one
}

// Limits on retries, and their delays.
const (
	maxTries            = 3 // sends of a request without a route
	extraSends          = 2 // beyond a route's tries, for sends that certainly did not run
	maxClaimTries       = 50
	runningPollInterval = 100 * time.Millisecond // between checks on another request that runs with the same key
	claimRetryDelay     = 50 * time.Millisecond  // after a claim that no leader confirmed; less time left rules out a slot retry
	leaseMargin         = 200 * time.Millisecond // nothing is sent so shortly before the claim's lease ends
)

// Start returns the first step of the request.
func (r *Request) Start(now time.Time, budget *RetryBudget) Step {
	if !r.TakenOver {
		budget.CountFirstTry()
	}
	r.runs = r.EarlierRuns
	if !now.Before(r.Deadline) {
		return r.refuse(http.StatusGatewayTimeout, "deadline", "the deadline had passed on arrival", 0)
	}
	if r.runs > 0 && !r.repeatable() && !r.Once {
		r.mayHaveRun = true
		return r.endUnknown(http.StatusBadGateway, "connection-lost", "it may have run for the VM that passed it on, and may run once only")
	}
	if r.Once {
		return r.claim(now)
	}
	return r.requestSlot(now)
}

func (r *Request) claim(now time.Time) Step {
	r.claimTries++
	if r.claimStartedAt.IsZero() {
		r.claimStartedAt = now
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

func (r *Request) requestSlot(now time.Time) Step {
	return Step{SlotRequest: &dispatch.SlotRequest{
		From:        r.Holder,
		Service:     r.Service,
		Rank:        r.Rank,
		Remaining:   r.Deadline.Sub(now),
		Fingerprint: r.Fingerprint,
		Exclude:     r.excluded,
	}}
}

// RequestSlot returns the request for a slot anew, for a request that waited since the last one.
func (r *Request) RequestSlot(now time.Time) Step { return r.requestSlot(now) }

// HandleClaimResult takes the result of a claim; err means that no leader
// confirmed it.
func (r *Request) HandleClaimResult(result *ledger.ClaimResult, err error, now time.Time) Step {
	if err != nil {
		return r.claimFailed(now)
	}
	switch result.Code {
	case ledger.ClaimGranted:
		return r.claimGranted(now)
	case ledger.ClaimStored:
		return r.replay(result.Outcome)
	case ledger.ClaimRunning:
		return r.waitForRunning(now)
	case ledger.ClaimOutcomeUnknown:
		r.mayHaveRun = true
		return r.refuse(http.StatusConflict, "outcome-unknown", "an earlier request with this key may have run; its outcome will not be known", 0)
	case ledger.ClaimMismatch:
		return r.refuse(http.StatusUnprocessableEntity, "key-reused", "the Idempotency-Key was used for another request", 0)
	case ledger.ClaimTableFull:
		return r.refuse(http.StatusServiceUnavailable, "claims-full", "no room to remember another key", time.Minute)
	default:
		return r.refuse(http.StatusServiceUnavailable, "claim-stale", "the request was given up before", time.Second)
	}
}

// claimGranted continues only while the claim's lease lasts. Once it has ended,
// other requests with the key are told that the outcome is unknown, so nothing
// may be sent any more.
func (r *Request) claimGranted(now time.Time) Step {
	if now.Sub(r.claimStartedAt) > r.ClaimLease-leaseMargin || !now.Before(r.Deadline) {
		return r.endNotRun(http.StatusServiceUnavailable, "claim-late", "the claim on the key took too long", time.Second)
	}
	return r.requestSlot(now)
}

func (r *Request) claimFailed(now time.Time) Step {
	if r.claimTries < maxClaimTries && now.Add(claimRetryDelay).Before(r.Deadline) {
		return Step{Wait: claimRetryDelay}
	}
	return r.endNotRun(http.StatusServiceUnavailable, "no-quorum", "the claim on the key could not be recorded by a quorum", time.Second)
}

func (r *Request) waitForRunning(now time.Time) Step {
	if now.Add(runningPollInterval).Before(r.Deadline) {
		// Another attempt holds the claim; this request's lease starts with
		// its own next claim.
		r.claimStartedAt = time.Time{}
		return Step{Wait: runningPollInterval}
	}
	r.mayHaveRun = true
	return r.refuse(http.StatusGatewayTimeout, "still-running", "an earlier request with this key is still running", time.Second)
}

// ResumeAfterWait claims the key again after a Wait step; a request without one asks for a slot.
func (r *Request) ResumeAfterWait(now time.Time) Step {
	if !r.Once {
		return r.proceed(now)
	}
	return r.claim(now)
}

func (r *Request) replay(outcome ledger.Outcome) Step {
	if outcome.Truncated {
		r.mayHaveRun = true
		return r.refuse(http.StatusConflict, "answer-too-large", fmt.Sprintf("the operation ran with status %d; its answer was too large to keep", outcome.Status), 0)
	}
	return Step{Replay: &outcome}
}

// HandleSlotAnswer takes the owner's answer to a slot request; err means that no
// answer came, so that no grant can be used.
func (r *Request) HandleSlotAnswer(answer dispatch.Answer, err error, now time.Time) Step {
	switch {
	case err != nil:
		return r.retrySlotRequest(now)
	case answer.Grant != nil:
		r.Grant = answer.Grant
		r.sends++
		return Step{Send: answer.Grant}
	case answer.Denial.Reason == dispatch.ReasonNotOwner:
		return r.retrySlotRequest(now)
	}
	status := http.StatusServiceUnavailable
	if answer.Denial.Reason == dispatch.ReasonUnknownService {
		status = http.StatusNotFound
	}
	if answer.Denial.Reason == dispatch.ReasonQuarantined && r.Route == nil {
		status = http.StatusForbidden
	}
	reason := answer.Denial.Reason
	if reason == dispatch.ReasonNoWay {
		return r.refuseForWay()
	}
	return r.endNotRun(status, string(reason), denialDetail(reason), answer.Denial.RetryAfter)
}

func denialDetail(reason dispatch.Reason) string {
	switch reason {
	case dispatch.ReasonQueueFull:
		return "too many requests of this rank wait"
	case dispatch.ReasonFairShare:
		return "the servers are short of capacity, and the customer had its share of it"
	case dispatch.ReasonDeadline:
		return "the request could not finish before its deadline"
	case dispatch.ReasonNoServers:
		return "no backend server can take it"
	case dispatch.ReasonShiftCap:
		return "it would exceed the cap on shifts of traffic"
	case dispatch.ReasonStopping:
		return "this VM stops before an answer is expected"
	case dispatch.ReasonQuarantined:
		return "requests like it crashed backend servers"
	case dispatch.ReasonSuspected:
		return "a backend server died under a request like it; one is tried at a time"
	default:
		return "no slot was granted"
	}
}

// retrySlotRequest requests a slot again a few times, since membership soon names a
// new owner for one that has failed.
func (r *Request) retrySlotRequest(now time.Time) Step {
	const maxSlotRetries = 3
	r.slotTries++
	if r.sends == 0 && r.slotTries <= maxSlotRetries && now.Add(claimRetryDelay).Before(r.Deadline) {
		return r.requestSlot(now)
	}
	return r.endNotRun(http.StatusServiceUnavailable, string(dispatch.ReasonOwnerUnreachable), "the VM that grants the slots was not reached", time.Second)
}

// SendEnd is how a send to a server ended.
type SendEnd struct {
	Result    routing.Result
	Status    int              // of the server's answer, 0 without one
	Suspicion quarantine.Phase // of the request's fingerprint, after a broken connection

	BodyMissing bool // no answer came for want of the caller's body
}

// HandleSendResult takes how the send ended.
func (r *Request) HandleSendResult(e SendEnd, now time.Time, budget *RetryBudget) Step {
	server, result := r.Grant.Server, e.Result
	if r.isFalsePromise(result, e.Status) {
		return r.endUnstated(e.Status)
	}
	switch result {
	case routing.ResultOK:
		return Step{Stream: true}
	case routing.ResultError:
		return r.retryError(server, now, budget)
	case routing.ResultShed:
		return r.retryElsewhere(server, now, budget)
	case routing.ResultDialFailed, routing.ResultDialTimeout:
		r.noConnection++
		return r.retryUnsent(server, now)
	case routing.ResultWithheld:
		return r.retryWithheld(now)
	case routing.ResultBroken:
		r.mayHaveRun = true
		r.runs++
		if e.BodyMissing {
			return r.endUnknown(http.StatusBadRequest, "body-cut", "the body ended early, or is larger than allowed")
		}
		if r.repeatable() && e.Suspicion == quarantine.Clear {
			return r.retryElsewhere(server, now, budget)
		}
		return r.endUnknown(http.StatusBadGateway, "connection-lost", "the backend server's connection broke before the whole answer")
	case routing.ResultTimeout:
		r.mayHaveRun = true
		return r.endUnknown(http.StatusGatewayTimeout, "deadline", "the deadline passed while the backend server worked")
	case routing.ResultUnused:
		return r.endUnused(now)
	default:
		return r.endCancelled(result)
	}
}

// isFalsePromise reports whether callers would take the answer of a server to mean that the
// request did not run, which the server did not state: they would send the operation again under
// a new id, though it may run once only. With a key, the operation runs once whatever they send.
func (r *Request) isFalsePromise(result routing.Result, status int) bool {
	isAnswer := result == routing.ResultOK || result == routing.ResultError
	return isAnswer && StatusMeansNotRun(status) && !r.repeatable() && !r.Once
}

// endUnstated replaces an answer that promises more than its server stated.
func (r *Request) endUnstated(status int) Step {
	r.mayHaveRun = true
	return r.endUnknown(http.StatusBadGateway, "run-unstated", fmt.Sprintf("the backend server answered %d and did not state that it had not run the request", status))
}

// endUnused ends a request of which nothing was sent this time, and whose deadline has passed,
// caller hung up or VM stops.
func (r *Request) endUnused(now time.Time) Step {
	switch {
	case now.Before(r.Deadline):
		return r.endCancelled(routing.ResultUnused)
	case r.mayHaveRun:
		return r.endUnknown(http.StatusGatewayTimeout, "deadline", "the deadline passed before the next send")
	default:
		return r.endNotRun(http.StatusServiceUnavailable, "deadline", "the deadline passed before the request was sent", 0)
	}
}

// endCancelled ends a request whose caller hung up or whose VM stops.
func (r *Request) endCancelled(result routing.Result) Step {
	r.mayHaveRun = r.mayHaveRun || result.MayHaveRun()
	if !r.mayHaveRun {
		return r.endNotRun(http.StatusServiceUnavailable, "cancelled", "the caller hung up", time.Second)
	}
	return r.endUnknown(http.StatusBadGateway, "cancelled", "the caller hung up")
}

// retryError retries a repeatable request on another server after an error
// answer; the answer to the last try goes to the caller unchanged.
func (r *Request) retryError(server string, now time.Time, budget *RetryBudget) Step {
	r.mayHaveRun = true
	r.runs++
	if !r.repeatable() || !r.mayRetry(now) || !budget.TakeRetry() {
		return Step{Stream: true}
	}
	r.excluded = append(r.excluded, server)
	return r.requestSlot(now)
}

// repeatable reports whether the request may run a second time.
func (r *Request) repeatable() bool {
	return !r.Once && !r.runsOnce && (r.Route == nil || r.Route.Kind.Repeatable())
}

// ForbidRepeat keeps the request from being sent again once it may have run, as the document of its
// arrival allowed.
func (r *Request) ForbidRepeat() { r.runsOnce = true }

func (r *Request) mayRetry(now time.Time) bool {
	return r.sends < r.maxSends() && r.runs < r.maxRuns() && r.Replayable && now.Before(r.Deadline)
}

// maxRuns returns how many sends may have run.
func (r *Request) maxRuns() int {
	if r.Route != nil {
		return r.Route.Tries
	}
	return maxTries
}

// retryElsewhere retries on another server within the deadline and the budget; a
// nil budget sets no limit.
func (r *Request) retryElsewhere(server string, now time.Time, budget *RetryBudget) Step {
	if r.mayRetry(now) && (budget == nil || budget.TakeRetry()) {
		r.excluded = append(r.excluded, server)
		return r.requestSlot(now)
	}
	return r.endUnserved()
}

// retryUnsent retries on another server after a connection that did not come. Nothing
// reached a server, so the retry adds no load to the service and needs no budget, and the
// body was not read.
func (r *Request) retryUnsent(server string, now time.Time) Step {
	if r.sends < r.maxSends() && now.Before(r.Deadline) {
		r.excluded = append(r.excluded, server)
		return r.requestSlot(now)
	}
	return r.endUnserved()
}

// retryWithheld chooses a server again, perhaps the same one, by what is known now.
func (r *Request) retryWithheld(now time.Time) Step {
	if r.sends < r.maxSends() && now.Before(r.Deadline) {
		return r.requestSlot(now)
	}
	return r.endUnserved()
}

// maxSends returns how often the request may be sent, also if it certainly did not run.
func (r *Request) maxSends() int {
	if r.Route != nil {
		return r.Route.Tries + extraSends
	}
	return maxTries
}

// endUnserved refuses a request that no server took.
func (r *Request) endUnserved() Step {
	if r.mayHaveRun {
		return r.endUnknown(http.StatusBadGateway, "connection-lost", "the backend server's connection broke before the whole answer")
	}
	if r.TakenOver && r.noConnection > 0 {
		return r.refuseForWay()
	}
	return r.endNotRun(http.StatusServiceUnavailable, "shed", "the backend servers refused the request unrun", time.Second)
}

// endUnknown refuses a request that may have run and settles its claim as unknown.
func (r *Request) endUnknown(status int, reason, detail string) Step {
	step := r.refuse(status, reason, detail, 0)
	if r.Once {
		step.Settle = &ledger.Settle{Key: r.Key, Attempt: r.ID, Outcome: ledger.Outcome{Unknown: true}}
	}
	return step
}

// endNotRun refuses a request that cannot continue and releases its claim: a
// `once` request gets here only if it did not run. The VM that passed a request on may
// continue with the claim at another VM, so that it is left to that one.
func (r *Request) endNotRun(status int, reason, detail string, retryAfter time.Duration) Step {
	step := r.refuse(status, reason, detail, retryAfter)
	if r.Once && !(r.TakenOver && concernsVM(reason)) {
		step.Release = &ledger.Release{Key: r.Key, Attempt: r.ID}
	}
	return step
}

// EndRevoked ends a request whose key is no longer that of its customer.
func (r *Request) EndRevoked() Step {
	if r.mayHaveRun || r.runs > 0 {
		r.mayHaveRun = true
		return r.endUnknown(http.StatusBadGateway, ReasonKeyRevoked, "the key was revoked before the request could be sent again")
	}
	return r.endNotRun(http.StatusUnauthorized, ReasonKeyRevoked, "the key was revoked before the request was sent", 0)
}

// EndOutdated ends a request that must not be sent before this VM knows the newest document.
func (r *Request) EndOutdated(retryAfter time.Duration) Step {
	return r.endNotRun(http.StatusServiceUnavailable, ReasonDocumentOutdated, "a newer steering document may be in force elsewhere", retryAfter)
}

// EndOutsideRegions ends a request for which a slot was found only where its customer or route
// forbids to run it.
func (r *Request) EndOutsideRegions() Step {
	return r.endNotRun(http.StatusServiceUnavailable, string(dispatch.ReasonNoServers), "no backend server in a region that its route and customer allow can take it", time.Second)
}

// EndWithoutAllowance ends a request that waited for a slot and got no new allowance of its customer.
func (r *Request) EndWithoutAllowance(status int, reason, detail string, retryAfter time.Duration) Step {
	return r.endNotRun(status, reason, detail, retryAfter)
}

// StatusMeansNotRun reports whether callers take the status to mean that the
// request did not run and never will.
func StatusMeansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// refuse ends the request. The status of one that may have run never means that
// it did not; callers take 401 to mean so too.
func (r *Request) refuse(status int, reason, detail string, retryAfter time.Duration) Step {
	run := RunNo
	if r.mayHaveRun {
		run = RunUnknown
		if StatusMeansNotRun(status) || status == http.StatusUnauthorized {
			status = http.StatusBadGateway
		}
	}
	return Step{Refuse: &Problem{Status: status, Reason: reason, Detail: detail, Run: run, RetryAfter: retryAfter}}
}
