package node

import (
	"context"
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

// Exchange is one caller's request in the hands of the shell: each report
// returns the next step.
type Exchange struct {
	node    *Node
	call    uint64
	channel chan any
}

// BeginExchange hands a request to the reducer.
func (n *Node) BeginExchange(ctx context.Context, request *relay.Request, foreign bool) (*Exchange, relay.Step, error) {
	x := &Exchange{node: n}
	x.call, x.channel = n.calls.open()
	step, err := x.report(ctx, reducer.RequestBegan{Call: x.call, Request: request, AssignedElsewhere: foreign})
	return x, step, err
}

func (x *Exchange) report(ctx context.Context, event reducer.Event) (relay.Step, error) {
	x.node.Apply(event)
	return await[relay.Step](ctx, x.node, x.channel)
}

// Claim proposes the claim and reports the answer.
func (x *Exchange) Claim(ctx context.Context, claim *ledger.Claim) (relay.Step, error) {
	answer, err := x.node.Propose(ctx, ledger.Command{Claim: claim})
	event := reducer.RequestClaimed{Call: x.call, Err: err}
	if err == nil {
		event.Result = answer.Result.Claim
	}
	return x.report(context.WithoutCancel(ctx), event)
}

// Wait lets time pass.
func (x *Exchange) Wait(ctx context.Context, wait time.Duration) (relay.Step, error) {
	select {
	case <-x.node.Clock.After(wait):
	case <-ctx.Done():
		return relay.Step{}, ctx.Err()
	}
	return x.report(ctx, reducer.RequestWaited{Call: x.call})
}

// RequestSlot asks the owner of the service on another VM.
func (x *Exchange) RequestSlot(ctx context.Context, request dispatch.SlotRequest) (relay.Step, error) {
	owner := reducer.Owner{}
	if view := x.node.View(); view != nil {
		owner, _ = view.OwnerOf(request.Service)
	}
	event := reducer.RequestSlotAnswered{Call: x.call}
	switch {
	case owner.VM == "":
		event.Answer.Denial = &dispatch.Denial{Reason: dispatch.ReasonUnknownService}
	case owner.Peer == "":
		event.Answer.Denial = &dispatch.Denial{Reason: dispatch.ReasonNotOwner}
	default:
		event.Err = x.node.Network.Call(ctx, owner.Peer, "Ask", &peerrpc.AskArgs{Ask: request}, &event.Answer)
	}
	if event.Err != nil && ctx.Err() != nil {
		x.node.Network.Send(owner.Peer, reducer.Message{Cancel: &reducer.CancelSlotRequest{
			Service: request.Service,
			From:    request.From,
			Ask:     request.ID,
		}})
		return relay.Step{}, ctx.Err()
	}
	return x.report(ctx, event)
}

// ReportSend reports the head of an answer or a failed send.
func (x *Exchange) ReportSend(ctx context.Context, sent reducer.RequestSent) (relay.Step, error) {
	sent.Call = x.call
	return x.report(ctx, sent)
}

// End tells that the exchange is over; the result counts when an answer was
// streamed.
func (x *Exchange) End(result routing.Result, latency time.Duration) {
	x.node.Apply(reducer.RequestEnded{Call: x.call, Result: result, Latency: latency})
	x.node.calls.close(x.call)
}

const settleLimit = 30 * time.Second

// ResolveClaim settles or releases a claim in the background, trying until it is
// replicated or the claim would be unknown anyway.
func (n *Node) ResolveClaim(command ledger.Command) {
	n.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		if _, err := n.Propose(ctx, command); err != nil {
			n.logEvent(reducer.Log{Code: reducer.CodeClaimUnresolved, Detail: err.Error()})
		}
	})
}

// Announce takes a backend server's announcement and passes it on to the owner
// of the service where that is another VM.
func (n *Node) Announce(ctx context.Context, announcement routing.Announcement, gone bool) (reducer.AnnouncementResult, error) {
	answer, err := ask[reducer.AnnouncementResult](ctx, n, func(call uint64) reducer.Event {
		return reducer.ServerAnnounced{Call: call, Announcement: announcement, Withdrawn: gone}
	})
	if err != nil || answer.Forward == "" {
		return answer, err
	}
	args := &peerrpc.AnnounceArgs{Announcement: announcement, Gone: gone}
	var forwarded reducer.AnnouncementResult
	if err := n.Network.Call(ctx, answer.Forward, "Announce", args, &forwarded); err != nil {
		return reducer.AnnouncementResult{}, err
	}
	return forwarded, nil
}

// AnnounceRecord takes the announcement of a server that entries choose themselves.
func (n *Node) AnnounceRecord(ctx context.Context, record roster.Record, gone bool) (reducer.ServerRecordResult, error) {
	return ask[reducer.ServerRecordResult](ctx, n, func(call uint64) reducer.Event {
		return reducer.ServerRecordAnnounced{Call: call, Record: record, Withdrawn: gone}
	})
}

// SetClosure keeps new work from a failure domain or server, or opens it again. It
// returns once a quorum has recorded it.
func (n *Node) SetClosure(ctx context.Context, closure document.Closure, open bool) error {
	_, err := n.Propose(ctx, ledger.Command{Close: &ledger.Close{Closure: closure, Open: open}})
	return err
}

// PutEdition replaces sections in one step and returns how that ended.
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
	return ask[reducer.Status](ctx, n, func(call uint64) reducer.Event { return reducer.StatusAsked{Call: call} })
}
