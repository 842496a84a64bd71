package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/intake"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// attempt is one send of a request to a server.
type attempt struct {
	grant   *dispatch.Grant
	sentAt  time.Time
	ctx     context.Context
	abandon context.CancelCauseFunc
	connect *connectAttempt
	sent    sendResult    // valid once done is closed, where the attempt runs in the background
	done    chan struct{} // nil for an attempt that does not
	wayLost chan struct{} // closed when it is to go on beside another try; nil for one that never does
	losing  sync.Once
}

// errHedged is the cause of the end of a try of which another one brought the answer.
var errHedged = errors.New("the answer of another try came first")

func (in *inbound) newAttempt(ctx context.Context, grant *dispatch.Grant, sentAt time.Time) *attempt {
	a := &attempt{grant: grant, sentAt: sentAt, connect: in.newConnectAttempt(&in.relay.ConnectTimeout, in.mayWriteToServer)}
	a.connect.chosen = choice{at: grant.ChosenAt, cold: grant.Cold}
	if grant.MayStall {
		a.wayLost = make(chan struct{})
	}
	a.ctx, a.abandon = context.WithCancelCause(withOpenOnly(ctx, grant.OpenOnly))
	return a
}

func (in *inbound) newConnectAttempt(timeout *ConnectTimeout, mayWrite func() bool) *connectAttempt {
	return &connectAttempt{id: in.id, now: in.relay.Node.Clock.Now, timeout: timeout, onConnected: func() { in.caller.enter(stageServer) }, mayWrite: mayWrite}
}

// countAttempt counts an attempt that has ended.
func (in *inbound) countAttempt(a *attempt) {
	in.relay.Node.Metrics.CountSend(string(a.sent.Evidence))
	in.relay.Node.Metrics.CountBelief(a.grant.Cold, a.grant.Word)
	in.noteSend(a.grant.Server, a.sent.Evidence)
}

func (in *inbound) keepShare(share *intake.Share) {
	in.sharesMutex.Lock()
	defer in.sharesMutex.Unlock()
	in.shares = append(in.shares, share)
}

// start carries out an attempt in the background.
func (in *inbound) start(a *attempt) {
	a.done = make(chan struct{})
	go func() {
		defer close(a.done)
		defer func() {
			// net/http recovers panics in the goroutine of the request only.
			if p := recover(); p != nil {
				in.relay.Node.LogError(reducer.CodePanicRecovered, fmt.Errorf("%v\n%s", p, debug.Stack()))
				a.sent.response = nil
				a.sent.Result, a.sent.Evidence, a.sent.Cause = routing.ResultBroken, relay.EvidenceWritten, "handler failed"
			}
		}()
		a.sent = in.try(a)
	}()
}

// await waits until the attempt has ended, or its way is lost.
func (a *attempt) await() {
	select {
	case <-a.done:
	case <-a.wayLost:
	}
}

// hasEnded reports whether the attempt has ended; one that runs alone has.
func (a *attempt) hasEnded() bool {
	if a.done == nil {
		return true
	}
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// tryHedged sends the request to the server of the first attempt and, once that is late, to a second
// one if there is one worth it. It returns the attempt that counts once both have ended: the first one
// with a whole answer, or else the last one. The connection of the other one is closed. One is
// returned before its end if its way is lost while no other is under way.
func (in *inbound) tryHedged(ctx context.Context, first *attempt) *attempt {
	in.start(first)
	select {
	case <-first.done:
		return first
	case <-first.wayLost:
		return first
	case <-in.relay.Node.Clock.After(first.grant.HedgeAfter):
	}
	grant, err := in.exchange.ReportLate(context.WithoutCancel(ctx))
	if err != nil || grant == nil {
		first.await()
		return first
	}
	in.server, in.domain = grant.Server, grant.Domain
	in.countSend()
	second := in.newAttempt(ctx, grant, in.relay.Node.Clock.Now())
	in.start(second)
	ended, other := first, second
	select {
	case <-first.done:
	case <-second.done:
		ended, other = second, first
	}
	winner, loser := ended, other
	if ended.hasAnswer() {
		other.abandon(errHedged)
		<-other.done
	} else {
		winner, loser = other, ended
	}
	in.endLoser(loser)
	won := winner == second
	in.relay.Node.Metrics.CountHedge(won)
	in.exchange.ReportHedge(reducer.RequestHedged{Won: won, Late: won && loser.sent.Result == routing.ResultCancelled && ended == winner, Loser: loser.sent.RequestSent})
	in.exchange.OnAbandon(winner.loseWay)
	winner.await()
	in.server, in.domain = winner.grant.Server, winner.grant.Domain
	return winner
}

// hasAnswer reports whether the attempt brought an answer that is not an error.
func (a *attempt) hasAnswer() bool {
	return a.sent.response != nil && a.sent.Result == routing.ResultOK
}

// endLoser drops what a try brought that is not used, and completes its result.
func (in *inbound) endLoser(a *attempt) {
	if a.sent.response != nil {
		a.sent.response.Body.Close()
		a.sent.response = nil
	}
	cancelled := errors.Is(context.Cause(a.ctx), errHedged)
	switch {
	case cancelled && (a.sent.Evidence == relay.EvidenceWritten || a.sent.Evidence == relay.EvidenceAnswered && a.sent.Result != routing.ResultOK):
		a.sent.Result, a.sent.Cause = routing.ResultCancelled, errHedged.Error()
	case cancelled && a.sent.Evidence != relay.EvidenceStated && a.sent.Evidence != relay.EvidenceAnswered:
		a.sent.Result, a.sent.Cause = routing.ResultUnused, errHedged.Error()
	case !cancelled:
		a.sent.ServerDied = a.sent.Result == routing.ResultBroken && a.ctx.Err() == nil && in.relay.connectionRefused(a.grant.Address)
	}
	a.sent.Latency = in.relay.Node.Clock.Now().Sub(a.sentAt)
	in.countAttempt(a)
	a.abandon(nil)
}
