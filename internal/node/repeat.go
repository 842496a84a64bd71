package node

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// sharedProposals holds the repeatable proposals that this VM has under way, so that
// callers with the same change wait for one copy of it.
type sharedProposals struct {
	mutex    sync.Mutex
	underWay []*sharedProposal
}

// sharedProposal is one of them; answer and err are set once done is closed.
type sharedProposal struct {
	command ledger.Command
	done    chan struct{}
	answer  reducer.ProposalResult
	err     error
}

// join returns the proposal under way with the same change, or a new one and true.
func (p *sharedProposals) join(command ledger.Command) (*sharedProposal, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, proposal := range p.underWay {
		if command.SameChange(proposal.command) {
			return proposal, false
		}
	}
	proposal := &sharedProposal{command: command, done: make(chan struct{})}
	p.underWay = append(p.underWay, proposal)
	return proposal, true
}

func (p *sharedProposals) finish(proposal *sharedProposal, answer reducer.ProposalResult, err error) {
	p.mutex.Lock()
	p.underWay = slices.DeleteFunc(p.underWay, func(other *sharedProposal) bool { return other == proposal })
	p.mutex.Unlock()
	proposal.answer, proposal.err = answer, err
	close(proposal.done)
}

// proposeShared proposes a repeatable command, or waits for a proposal of the same
// change that is under way; if that one fails, it proposes the command itself.
func (n *Node) proposeShared(ctx context.Context, command ledger.Command) (reducer.ProposalResult, error) {
	for {
		proposal, isNew := n.proposals.join(command)
		if isNew {
			n.startShared(ctx, proposal)
		}
		select {
		case <-proposal.done:
		case <-ctx.Done():
			return reducer.ProposalResult{Lost: true}, ErrNoLeader
		case <-n.stopped:
			return reducer.ProposalResult{Lost: true}, errStopping
		}
		answer := proposal.answer
		switch {
		case proposal.err == nil && !isNew:
			answer.Result = answer.Result.Repeated()
			return answer, nil
		case proposal.err == nil, isNew, errors.Is(proposal.err, errStopping):
			return answer, proposal.err
		}
	}
}

// startShared runs a proposal until the caller's time limit, also when the caller
// gives up before: it is likely to send the same change again.
func (n *Node) startShared(ctx context.Context, proposal *sharedProposal) {
	deadline, limited := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	n.startGoroutine(func() {
		var cancel context.CancelFunc
		if limited {
			ctx, cancel = context.WithDeadline(ctx, deadline)
		} else {
			ctx, cancel = context.WithTimeout(ctx, proposeTimeout)
		}
		defer cancel()
		answer, err := n.proposeAlone(ctx, proposal.command, ledger.Fence{})
		n.proposals.finish(proposal, answer, err)
	})
}
