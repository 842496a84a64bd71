package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// waitingLeader answers proposals only once released is closed.
type waitingLeader struct {
	peerrpc.Handler
	arrived  chan ledger.Command
	released chan struct{}
}

func (l *waitingLeader) Deliver([]reducer.Message) {}

func (l *waitingLeader) Propose(command ledger.Command, _ ledger.Fence) reducer.ProposalResult {
	l.arrived <- command
	<-l.released
	if command.Edition == nil {
		return reducer.ProposalResult{}
	}
	return reducer.ProposalResult{Result: ledger.Result{Edition: &ledger.EditionResult{Code: ledger.EditionAccepted, Number: command.Edition.Number}}}
}

// newForwardingVM returns a VM without a replica and the leader that it forwards to.
func newForwardingVM(t *testing.T) (*Node, *waitingLeader) {
	t.Helper()
	const key = "a key for the test"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := &waitingLeader{arrived: make(chan ledger.Command, 16), released: make(chan struct{})}
	server := &peerrpc.Server{Key: []byte(key), Handler: leader}
	go server.Serve(listener)
	n, err := New(settings.Settings{
		ID:              "a1",
		Domain:          "a",
		Region:          "north",
		Peer:            "127.0.0.1:1",
		SharedKey:       key,
		InitialReplicas: []settings.Replica{{ID: "r0", Peer: listener.Addr().String()}},
	}, clock.System{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.Stop()
		server.Close()
	})
	return n, leader
}

// countArrivals returns how many proposals reach the leader while none is answered.
func (l *waitingLeader) countArrivals(t *testing.T) int {
	t.Helper()
	const (
		firstWait = 10 * time.Second       // for the first one
		quietTime = 300 * time.Millisecond // without another one
	)
	count := 0
	for wait := firstWait; ; wait = quietTime {
		select {
		case <-l.arrived:
			count++
		case <-time.After(wait):
			return count
		}
	}
}

func numberedEdition(number uint64, source string) ledger.Command {
	return ledger.Command{Edition: &ledger.Edition{Number: number, Source: []byte(source)}}
}

func TestSameProposalIsForwardedOnce(t *testing.T) {
	closing := ledger.Command{Close: &ledger.Close{Closure: document.Closure{Kind: document.CloseDomain, Name: "a"}}}
	tests := map[string]struct {
		commands []ledger.Command // proposed at once
		forwards int
		accepted int // the others are duplicates
	}{
		"the same edition": {[]ledger.Command{numberedEdition(3, "a"), numberedEdition(3, "a"), numberedEdition(3, "a")}, 1, 1},
		"another edition":  {[]ledger.Command{numberedEdition(3, "a"), numberedEdition(4, "a")}, 2, 2},
		"other source":     {[]ledger.Command{numberedEdition(3, "a"), numberedEdition(3, "b")}, 2, 2},
		"closing a zone":   {[]ledger.Command{closing, closing}, 2, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, leader := newForwardingVM(t)
			answers := make([]reducer.ProposalResult, len(tt.commands))
			errs := make([]error, len(tt.commands))
			var callers sync.WaitGroup
			for i, command := range tt.commands {
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					answers[i], errs[i] = n.Propose(ctx, command)
				})
			}
			if got := leader.countArrivals(t); got != tt.forwards {
				t.Errorf("%d proposals reached the leader, want %d", got, tt.forwards)
			}
			close(leader.released)
			callers.Wait()
			accepted := 0
			for i, answer := range answers {
				if errs[i] != nil {
					t.Errorf("call %d: %v", i, errs[i])
				}
				if result := answer.Result.Edition; result != nil && result.Code == ledger.EditionAccepted {
					accepted++
				}
			}
			if accepted != tt.accepted {
				t.Errorf("%d calls got accepted, want %d", accepted, tt.accepted)
			}
		})
	}
}

// A caller that gives up and sends the configuration again must not cause another copy.
func TestCallerThatReturnsJoinsItsFirstProposal(t *testing.T) {
	n, leader := newForwardingVM(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	firstCtx, giveUp := context.WithCancel(ctx)
	first := make(chan error, 1)
	go func() {
		_, err := n.Propose(firstCtx, numberedEdition(3, "a"))
		first <- err
	}()
	<-leader.arrived
	giveUp()
	if err := <-first; err == nil {
		t.Error("the call that was given up returned no error")
	}
	leader.arrived <- ledger.Command{} // counts as the one that has arrived
	second := make(chan error, 1)
	go func() {
		_, err := n.Propose(ctx, numberedEdition(3, "a"))
		second <- err
	}()
	if got := leader.countArrivals(t); got != 1 {
		t.Errorf("%d proposals reached the leader, want 1", got)
	}
	close(leader.released)
	if err := <-second; err != nil {
		t.Errorf("second call: %v", err)
	}
}

func TestJoinedCallerProposesAgainAfterTheFirstFailed(t *testing.T) {
	n, leader := newForwardingVM(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const firstTimeout = 500 * time.Millisecond
	firstCtx, cancelFirst := context.WithTimeout(ctx, firstTimeout)
	defer cancelFirst()
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := n.Propose(firstCtx, numberedEdition(3, "a"))
		first <- err
	}()
	<-leader.arrived
	go func() {
		_, err := n.Propose(ctx, numberedEdition(3, "a"))
		second <- err
	}()
	if err := <-first; err == nil {
		t.Error("the first call returned no error after its time limit")
	}
	close(leader.released)
	if err := <-second; err != nil {
		t.Errorf("second call: %v", err)
	}
}
