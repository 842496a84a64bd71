package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Exchange is one caller's request while it is served. Each method reports what
// happened to the reducer and returns the next step.
type Exchange struct {
	node    *Node
	call    uint64
	answers chan any
}

// BeginExchange passes a caller's request to the reducer and returns the first step. It sets
// the call of the event.
func (n *Node) BeginExchange(ctx context.Context, began reducer.RequestBegan) (*Exchange, relay.Step, error) {
	x := &Exchange{node: n}
	x.call, x.answers = n.calls.open()
	began.Call = x.call
	step, err := x.applyAndAwait(ctx, began)
	return x, step, err
}

// OnAbandon sets what gives up the send that is under way; nil for none.
func (x *Exchange) OnAbandon(abandon func()) { x.node.calls.setAbandon(x.call, abandon) }

// ReportDetour reports the header of the answer of the VM that the request was passed on to,
// or that this failed.
func (x *Exchange) ReportDetour(ctx context.Context, result reducer.RequestDetoured) (relay.Step, error) {
	result.Call = x.call
	return x.applyAndAwait(ctx, result)
}

func (x *Exchange) applyAndAwait(ctx context.Context, event reducer.Event) (relay.Step, error) {
	x.node.Apply(event)
	return awaitAnswer[relay.Step](ctx, x.node, x.answers)
}

// Claim replicates the claim through the control leader and reports the result. The
// report is made even if the context ended meanwhile.
func (x *Exchange) Claim(ctx context.Context, claim *ledger.Claim) (relay.Step, error) {
	answer, err := x.node.Propose(ctx, ledger.Command{Claim: claim})
	event := reducer.RequestClaimed{Call: x.call, Err: err}
	if err == nil {
		event.Result = answer.Result.Claim
	}
	return x.applyAndAwait(context.WithoutCancel(ctx), event)
}

// Wait waits for the duration and reports that it passed.
func (x *Exchange) Wait(ctx context.Context, wait time.Duration) (relay.Step, error) {
	select {
	case <-x.node.Clock.After(wait):
	case <-ctx.Done():
		return relay.Step{}, ctx.Err()
	}
	return x.applyAndAwait(ctx, reducer.RequestWaited{Call: x.call})
}

// RequestSlot asks the VM that owns the service for a slot and reports its answer.
// If the context ends first, the request for the slot is cancelled at the owner.
func (x *Exchange) RequestSlot(ctx context.Context, slotRequest dispatch.SlotRequest) (relay.Step, error) {
	owner := reducer.Owner{}
	if view := x.node.View(); view != nil {
		owner, _ = view.OwnerOf(slotRequest.Service)
	}
	event := reducer.RequestSlotAnswered{Call: x.call}
	switch {
	case owner.VM == "":
		event.Answer.Denial = &dispatch.Denial{Reason: dispatch.ReasonUnknownService}
	case owner.Peer == "":
		event.Answer.Denial = &dispatch.Denial{Reason: dispatch.ReasonNotOwner}
	default:
		event.Err = x.node.Network.Call(ctx, owner.Peer, "Ask", &peerrpc.AskArgs{Ask: slotRequest}, &event.Answer)
	}
	if event.Err != nil && ctx.Err() != nil {
		x.node.Network.Send(owner.Peer, reducer.Message{Cancel: &reducer.CancelSlotRequest{
			Service: slotRequest.Service,
			From:    slotRequest.From,
			Ask:     slotRequest.ID,
		}})
		return relay.Step{}, ctx.Err()
	}
	return x.applyAndAwait(ctx, event)
}

// ReportSend reports the head of the backend server's answer, or that the send
// failed.
func (x *Exchange) ReportSend(ctx context.Context, result reducer.RequestSent) (relay.Step, error) {
	result.Call = x.call
	return x.applyAndAwait(ctx, result)
}

// ReportLate reports that the HedgeAfter of the send has passed, and returns the grant of a second
// try, or nil.
func (x *Exchange) ReportLate(ctx context.Context) (*dispatch.Grant, error) {
	step, err := x.applyAndAwait(ctx, reducer.RequestLate{Call: x.call})
	return step.Send, err
}

// ReportHedge reports the end of the try that does not bring the answer.
func (x *Exchange) ReportHedge(result reducer.RequestHedged) {
	result.Call = x.call
	x.node.Apply(result)
}

// ReportStalled reports the end of a stalled send.
func (x *Exchange) ReportStalled(ctx context.Context, sent reducer.RequestSent) (relay.Step, error) {
	return x.applyAndAwait(ctx, reducer.RequestStalledEnded{Call: x.call, Sent: sent})
}

// End reports that the exchange is over. The result and latency matter only if an
// answer was streamed.
func (x *Exchange) End(result routing.Result, latency time.Duration) {
	x.node.Apply(reducer.RequestEnded{Call: x.call, Result: result, Latency: latency})
	x.node.calls.close(x.call)
}

// IsOutdated reports whether this VM knows of a newer document than the one in force; on
// an error it is taken as the newest.
func (n *Node) IsOutdated(ctx context.Context) bool {
	outdated, err := callReducer[bool](ctx, n, func(call uint64) reducer.Event { return reducer.OutdatedAsked{Call: call} })
	return err == nil && outdated
}

// IsCertain reports whether a request may be refused for good by the document of a log index; on
// an error it may not.
func (n *Node) IsCertain(ctx context.Context, index uint64) bool {
	certain, err := callReducer[bool](ctx, n, func(call uint64) reducer.Event { return reducer.CertaintyAsked{Call: call, Document: index} })
	return err == nil && certain
}

const resolveTimeout = 30 * time.Second

// ResolveClaim settles or releases a claim in the background. It retries until the
// command is replicated, at most for resolveTimeout: after that the outcome of the
// claim counts as unknown anyway.
func (n *Node) ResolveClaim(command ledger.Command) {
	started := n.startGoroutine(func() {
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		defer cancel()
		if _, err := n.Propose(ctx, command); err != nil {
			n.logEvent(reducer.Log{Code: reducer.CodeClaimUnresolved, Detail: err.Error()})
		}
	})
	if !started {
		n.logEvent(reducer.Log{Code: reducer.CodeClaimUnresolved, Detail: errStopping.Error()})
	}
}

// Announce applies a backend server's announcement, or forwards it to the VM that
// owns the service. withdrawn means that the server leaves.
func (n *Node) Announce(ctx context.Context, announcement routing.Announcement, withdrawn bool) (reducer.AnnouncementResult, error) {
	if withdrawn && n.pauses.JustResumed() {
		return reducer.AnnouncementResult{}, errJustResumed
	}
	answer, err := callReducer[reducer.AnnouncementResult](ctx, n, func(call uint64) reducer.Event {
		return reducer.ServerAnnounced{Call: call, Announcement: announcement, Withdrawn: withdrawn}
	})
	if err != nil || answer.Forward == "" {
		return answer, err
	}
	args := &peerrpc.AnnounceArgs{Announcement: announcement, Gone: withdrawn}
	var forwarded reducer.AnnouncementResult
	if err := n.Network.Call(ctx, answer.Forward, "Announce", args, &forwarded); err != nil {
		return reducer.AnnouncementResult{}, err
	}
	return forwarded, nil
}

// AnnounceRecord applies the announcement of a backend server that each VM chooses by
// itself, without requesting a slot from the VM that owns the service. withdrawn means
// that the server leaves; that names no start, so that a late one could end a start that
// came after it, and closes no server: the result has what to pass to CloseServer.
func (n *Node) AnnounceRecord(ctx context.Context, record roster.Record, withdrawn bool) (reducer.ServerRecordResult, error) {
	if withdrawn && n.pauses.JustResumed() {
		return reducer.ServerRecordResult{}, errJustResumed
	}
	return callReducer[reducer.ServerRecordResult](ctx, n, func(call uint64) reducer.Event {
		return reducer.ServerRecordAnnounced{Call: call, Record: record, Withdrawn: withdrawn}
	})
}

// CloseServer closes starts of a backend server, and all earlier ones, for new requests, for
// good. It returns once a quorum has recorded the changes.
func (n *Node) CloseServer(ctx context.Context, id string, starts ...int64) error {
	results := make(chan error, len(starts))
	for _, start := range starts {
		closure := document.Closure{Kind: document.CloseServer, Name: id, Start: start}
		go func() {
			_, err := n.Propose(ctx, ledger.Command{Close: &ledger.Close{Closure: closure}})
			results <- err
		}()
	}
	var errs []error
	for range starts {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// errJustResumed reports that a call may have arrived while the VM was paused: its caller
// may have given up and sent it, and later ones, to other VMs.
var errJustResumed = errors.New("the VM was paused; the call may be older than it looks")

// CloseDomain closes a failure domain for new requests, or opens it again if open is set.
// It returns once a quorum has recorded the change. The context ends when the caller gives
// up, as it does before it sends the same order elsewhere.
//
// The order carries neither identity nor age. It is carried out only if its caller still
// waited after the fence was read, and no other order for a failure domain was taken since.
func (n *Node) CloseDomain(ctx context.Context, name string, open bool) error {
	command := ledger.Command{Close: &ledger.Close{Closure: document.Closure{Kind: document.CloseDomain, Name: name}, Open: open}}
	for {
		read, err := n.ReadSection(ctx, document.SectionClosures)
		if err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("the caller gave up: %w", err)
		}
		if n.pauses.JustResumed() {
			n.LogDecision(reducer.Decision{Code: reducer.CodeClosure, Outcome: "late", Fields: []reducer.Field{{Name: "closed", Value: "domain " + name}, {Name: "open", Value: open}}})
			return errJustResumed
		}
		answer, err := n.proposeAlone(ctx, command, read.Fence)
		if err != nil || !answer.Superseded {
			return err
		}
	}
}

// PutEdition replaces sections in one step and returns the outcome.
func (n *Node) PutEdition(ctx context.Context, edition ledger.Edition) (ledger.EditionResult, error) {
	answer, err := n.Propose(ctx, ledger.Command{Edition: &edition})
	if err != nil {
		return ledger.EditionResult{}, err
	}
	if answer.Result.Edition == nil {
		return ledger.EditionResult{}, ErrNoLeader
	}
	return *answer.Result.Edition, nil
}

// Status returns the status of this VM.
func (n *Node) Status(ctx context.Context) (reducer.Status, error) {
	return callReducer[reducer.Status](ctx, n, func(call uint64) reducer.Event { return reducer.StatusAsked{Call: call} })
}
