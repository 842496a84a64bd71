package callerhttp

import (
	"context"
	"sync/atomic"

	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// stalledSend is an attempt whose way is lost and that goes on beside the tries that follow: the silence of a
// way does not show that no answer comes on it.
type stalledSend struct {
	*attempt
	others    context.Context // of the steps that follow
	endOthers context.CancelCauseFunc
	chosen    atomic.Bool // whose answer the caller gets is settled
	won       atomic.Bool // it is that of the stalled send
}

// loseWay lets the attempt go on beside another try, or ends it if its server got nothing yet.
func (a *attempt) loseWay() {
	if a.wayLost == nil || !a.connect.mayHaveWritten() {
		a.abandon(errAbandoned)
		return
	}
	a.losing.Do(func() { close(a.wayLost) })
}

// stall lets an attempt go on whose way is lost, and returns the next step. An answer of the attempt ends
// the steps that follow.
func (in *inbound) stall(ctx context.Context, a *attempt) (relay.Step, error) {
	in.exchange.OnAbandon(nil)
	k := &stalledSend{attempt: a}
	k.others, k.endOthers = context.WithCancelCause(ctx)
	in.stalled = k
	go func() {
		<-a.done
		if a.hasAnswer() && k.choose() {
			k.won.Store(true)
			k.endOthers(errHedged)
		}
	}()
	in.relay.Node.Metrics.CountSend(string(relay.EvidenceWritten))
	in.relay.Node.Metrics.CountBelief(a.grant.Cold, a.grant.Word)
	in.noteSend(a.grant.Server, relay.EvidenceWritten)
	return in.exchange.ReportSend(context.WithoutCancel(ctx), reducer.RequestSent{
		Result:   routing.ResultBroken,
		Evidence: relay.EvidenceWritten,
		Cause:    errAbandoned.Error(),
		Latency:  in.relay.Node.Clock.Now().Sub(a.sentAt),
		Conn:     a.connect.localAddress(),
		Stalled:  true,
	})
}

// choose settles that the caller gets the answer of the one who calls it, unless the other did before.
func (k *stalledSend) choose() bool { return k.chosen.CompareAndSwap(false, true) }

// stalledWon reports whether the caller gets the answer of the stalled send.
func (in *inbound) stalledWon() bool { return in.stalled != nil && in.stalled.won.Load() }

// awaitStalled waits for the end of the stalled send, which is all that may still bring an answer. It returns
// the next step, or true once the caller has been answered.
func (in *inbound) awaitStalled(ctx context.Context) (relay.Step, error, bool) {
	a := in.stalled.attempt
	in.exchange.OnAbandon(func() { a.abandon(errAbandoned) })
	<-a.done
	in.exchange.OnAbandon(nil)
	if a.sent.response != nil {
		return in.useStalled(ctx)
	}
	step, err := in.reportStalled(ctx)
	return step, err, false
}

// useStalled passes the answer of the stalled send on to the caller. Its results are those of awaitStalled.
func (in *inbound) useStalled(ctx context.Context) (relay.Step, error, bool) {
	k := in.stalled
	step, err := in.reportStalled(ctx)
	if err != nil || !step.Stream {
		return step, err, false
	}
	in.stalled = nil
	defer k.abandon(nil)
	defer k.sent.response.Body.Close()
	in.server, in.domain = k.grant.Server, k.grant.Domain
	in.stream(k.sent.response, k.sent.Result, k.sent.Latency)
	return relay.Step{}, nil, true
}

func (in *inbound) reportStalled(ctx context.Context) (relay.Step, error) {
	sent := &in.stalled.sent
	sent.Latency = in.relay.Node.Clock.Now().Sub(in.stalled.sentAt)
	return in.exchange.ReportStalled(context.WithoutCancel(ctx), sent.RequestSent)
}

// outrunStalled ends the stalled send because the present step has brought an answer, and reports false if the
// stalled send was faster.
func (in *inbound) outrunStalled() bool {
	if in.stalled != nil && !in.stalled.choose() {
		return false
	}
	in.endStalled()
	return true
}

// endStalled ends a stalled send that is not needed any more.
func (in *inbound) endStalled() {
	k := in.stalled
	if k == nil {
		return
	}
	in.stalled = nil
	k.abandon(errHedged)
	<-k.done
	if k.sent.response != nil {
		k.sent.response.Body.Close()
	}
}
