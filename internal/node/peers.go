package node

import (
	"context"
	"errors"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// peerHandler serves calls from other VMs.
type peerHandler struct{ node *Node }

const (
	proposeTimeout = 5 * time.Second // for a commit that a peer asked for
	readTimeout    = 3 * time.Second // for a read that a peer asked for
)

// Deliver implements peerrpc.Handler.
func (h peerHandler) Deliver(messages []reducer.Message) {
	for _, message := range messages {
		h.node.Metrics.DocumentBytesReceived.Add(message.DocumentBytes())
		h.node.Apply(reducer.Received{Message: message})
	}
}

// Propose implements peerrpc.Handler.
func (h peerHandler) Propose(command ledger.Command, fence ledger.Fence) reducer.ProposalResult {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return h.node.proposeLocally(ctx, command, fence)
}

// Change implements peerrpc.Handler.
func (h peerHandler) Change(change quorum.Change) reducer.ProposalResult {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return h.node.changeLocally(ctx, change)
}

// Read implements peerrpc.Handler.
func (h peerHandler) Read(section document.Section) reducer.ReadResult {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return h.node.readLocally(ctx, section)
}

// History implements peerrpc.Handler.
func (h peerHandler) History(section document.Section) []ledger.Version {
	versions, err := callReducer[[]ledger.Version](context.Background(), h.node, func(call uint64) reducer.Event {
		return reducer.HistoryAsked{Call: call, Section: section}
	})
	if err != nil {
		return nil
	}
	return versions
}

// Ask implements peerrpc.Handler.
func (h peerHandler) Ask(request dispatch.SlotRequest) dispatch.Answer {
	const grace = time.Second // beyond the request's own deadline
	ctx, cancel := context.WithTimeout(context.Background(), request.Remaining+grace)
	defer cancel()
	answer, err := callReducer[dispatch.Answer](ctx, h.node, func(call uint64) reducer.Event {
		return reducer.SlotRequested{Call: call, Request: request}
	})
	if err != nil {
		return dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonOwnerUnreachable}}
	}
	return answer
}

// Announce implements peerrpc.Handler.
func (h peerHandler) Announce(announcement routing.Announcement, withdrawn bool) reducer.AnnouncementResult {
	answer, err := callReducer[reducer.AnnouncementResult](context.Background(), h.node, func(call uint64) reducer.Event {
		return reducer.ServerAnnounced{Call: call, Announcement: announcement, Withdrawn: withdrawn, Forwarded: true}
	})
	if err != nil {
		return reducer.AnnouncementResult{Refused: err.Error()}
	}
	return answer
}

// Ship implements peerrpc.Handler.
func (h peerHandler) Ship(args peerrpc.ShipArgs) (peerrpc.ShipReply, error) {
	return h.node.trail.receive(args)
}

func (n *Node) proposeLocally(ctx context.Context, command ledger.Command, fence ledger.Fence) reducer.ProposalResult {
	return n.awaitProposal(ctx, func(call uint64) reducer.Event {
		return reducer.Propose{Call: call, Command: command, Fence: fence}
	})
}

func (n *Node) changeLocally(ctx context.Context, change quorum.Change) reducer.ProposalResult {
	return n.awaitProposal(ctx, func(call uint64) reducer.Event {
		return reducer.ChangeReplica{Call: call, Change: change}
	})
}

// awaitProposal applies a proposal on this VM and waits for its commit. A result with
// Lost set means that the proposal may still commit.
func (n *Node) awaitProposal(ctx context.Context, event func(call uint64) reducer.Event) reducer.ProposalResult {
	answer, err := callReducer[reducer.ProposalResult](ctx, n, event)
	if err != nil {
		return reducer.ProposalResult{Lost: true}
	}
	return answer
}

func (n *Node) readLocally(ctx context.Context, section document.Section) reducer.ReadResult {
	answer, err := callReducer[reducer.ReadResult](ctx, n, func(call uint64) reducer.Event {
		return reducer.ReadSection{Call: call, Section: section}
	})
	if err != nil {
		return reducer.ReadResult{Refused: quorum.RefuseNotLeader}
	}
	return answer
}

// ErrNoLeader reports that no control leader confirmed the call in time; a proposal
// may still commit.
var ErrNoLeader = errors.New("no control leader confirmed it")

// Propose replicates a command through the control leader, on this VM or another. It
// may propose the command more than once, so applying it twice must be safe. The
// error is ErrNoLeader, or that the VM is stopping.
func (n *Node) Propose(ctx context.Context, command ledger.Command) (reducer.ProposalResult, error) {
	if command.Repeatable() {
		return n.proposeShared(ctx, command)
	}
	return n.proposeAlone(ctx, command, ledger.Fence{})
}

func (n *Node) proposeAlone(ctx context.Context, command ledger.Command, fence ledger.Fence) (reducer.ProposalResult, error) {
	return viaLeader(ctx, n, func(ctx context.Context, peer string) (reducer.ProposalResult, reducer.Leader, bool) {
		answer := n.callLeader(ctx, peer, "Propose", &peerrpc.ProposeArgs{Command: command, Fence: fence}, func() reducer.ProposalResult {
			return n.proposeLocally(ctx, command, fence)
		})
		return answer, answer.Leader, !answer.Lost && answer.Refused == 0
	})
}

// ChangeReplica changes the set of control replicas through the leader.
func (n *Node) ChangeReplica(ctx context.Context, change quorum.Change) (reducer.ProposalResult, error) {
	return viaLeader(ctx, n, func(ctx context.Context, peer string) (reducer.ProposalResult, reducer.Leader, bool) {
		answer := n.callLeader(ctx, peer, "Change", &peerrpc.ChangeArgs{Change: change}, func() reducer.ProposalResult {
			return n.changeLocally(ctx, change)
		})
		final := !answer.Lost && answer.Refused != quorum.RefuseNotLeader
		return answer, answer.Leader, final
	})
}

func (n *Node) callLeader(ctx context.Context, peer, method string, args any, callLocal func() reducer.ProposalResult) reducer.ProposalResult {
	if peer == n.Settings.Peer {
		return callLocal()
	}
	var answer reducer.ProposalResult
	if err := n.Network.Call(ctx, peer, method, args, &answer); err != nil {
		return reducer.ProposalResult{Lost: true}
	}
	return answer
}

// ReadSection reads a section through the leader, so that the result includes every
// change acknowledged before the call.
func (n *Node) ReadSection(ctx context.Context, section document.Section) (reducer.ReadResult, error) {
	return viaLeader(ctx, n, func(ctx context.Context, peer string) (reducer.ReadResult, reducer.Leader, bool) {
		var answer reducer.ReadResult
		if peer == n.Settings.Peer {
			answer = n.readLocally(ctx, section)
		} else if err := n.Network.Call(ctx, peer, "Read", &peerrpc.ReadArgs{Section: section}, &answer); err != nil {
			answer.Refused = quorum.RefuseNotLeader
		}
		return answer, answer.Leader, answer.Refused == 0
	})
}

// History returns the versions of a section that a control replica holds, this VM if
// it is one.
func (n *Node) History(ctx context.Context, section document.Section) ([]ledger.Version, error) {
	if n.Settings.DataDir != "" {
		return peerHandler{n}.History(section), nil
	}
	for _, peer := range n.controlPeers() {
		var reply peerrpc.HistoryReply
		if err := n.Network.Call(ctx, peer, "History", &peerrpc.HistoryArgs{Section: section}, &reply); err == nil {
			return reply.Versions, nil
		}
	}
	return nil, ErrNoLeader
}

const (
	leaderRetryDelay     = 50 * time.Millisecond
	leaderAttemptTimeout = 2 * time.Second
)

// viaLeader calls the known leader, then the leader that a replica names, then each
// control replica in turn, until an answer is final or the context ends. The answer
// of the last attempt is returned also with an error.
func viaLeader[T any](ctx context.Context, n *Node, call func(context.Context, string) (T, reducer.Leader, bool)) (T, error) {
	var lastAnswer T
	leaderHint := ""
	if view := n.View(); view != nil {
		leaderHint = view.Leader.Peer
	}
	for attempt := 0; ; attempt++ {
		peers := n.controlPeers()
		if len(peers) == 0 {
			return lastAnswer, ErrNoLeader
		}
		peer := peers[attempt%len(peers)]
		if leaderHint != "" {
			peer = leaderHint
		}
		attemptCtx, cancel := context.WithTimeout(ctx, leaderAttemptTimeout)
		answer, leader, final := call(attemptCtx, peer)
		cancel()
		lastAnswer = answer
		if final {
			return answer, nil
		}
		leaderHint = ""
		if leader.Peer != peer {
			leaderHint = leader.Peer
		}
		select {
		case <-ctx.Done():
			return lastAnswer, ErrNoLeader
		case <-n.stopped:
			return lastAnswer, errStopping
		case <-n.Clock.After(leaderRetryDelay):
		}
	}
}

// controlPeers returns the peer addresses of the control replicas.
func (n *Node) controlPeers() []string {
	var peers []string
	if view := n.View(); view != nil {
		for _, replica := range view.Leader.Replicas {
			peers = append(peers, replica.Address)
		}
	}
	if len(peers) > 0 {
		return peers
	}
	for _, replica := range n.Settings.InitialReplicas {
		peers = append(peers, replica.Peer)
	}
	return peers
}
