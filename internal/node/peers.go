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

// peerHandler serves the calls of other VMs.
type peerHandler struct{ node *Node }

const (
	proposeLimit = 5 * time.Second // a call of a peer waits no longer for a commit
	readLimit    = 3 * time.Second
)

// Deliver implements peerrpc.Handler.
func (h peerHandler) Deliver(messages []reducer.Message) {
	for _, message := range messages {
		h.node.Apply(reducer.Received{Message: message})
	}
}

// Propose implements peerrpc.Handler.
func (h peerHandler) Propose(command ledger.Command) reducer.ProposalResult {
	ctx, cancel := context.WithTimeout(context.Background(), proposeLimit)
	defer cancel()
	return h.node.proposeHere(ctx, command)
}

// Change implements peerrpc.Handler.
func (h peerHandler) Change(change quorum.Change) reducer.ProposalResult {
	ctx, cancel := context.WithTimeout(context.Background(), proposeLimit)
	defer cancel()
	return h.node.changeHere(ctx, change)
}

// Read implements peerrpc.Handler.
func (h peerHandler) Read(section document.Section) reducer.ReadResult {
	ctx, cancel := context.WithTimeout(context.Background(), readLimit)
	defer cancel()
	return h.node.readHere(ctx, section)
}

// History implements peerrpc.Handler.
func (h peerHandler) History(section document.Section) []ledger.Version {
	versions, err := ask[[]ledger.Version](context.Background(), h.node, func(call uint64) reducer.Event {
		return reducer.HistoryAsked{Call: call, Section: section}
	})
	if err != nil {
		return nil
	}
	return versions
}

// Ask implements peerrpc.Handler.
func (h peerHandler) Ask(request dispatch.SlotRequest) dispatch.Answer {
	const grace = time.Second // after the request's own deadline
	ctx, cancel := context.WithTimeout(context.Background(), request.Remaining+grace)
	defer cancel()
	answer, err := ask[dispatch.Answer](ctx, h.node, func(call uint64) reducer.Event {
		return reducer.SlotRequested{Call: call, Request: request}
	})
	if err != nil {
		return dispatch.Answer{Denial: &dispatch.Denial{Reason: dispatch.ReasonOwnerUnreachable}}
	}
	return answer
}

// Announce implements peerrpc.Handler.
func (h peerHandler) Announce(announcement routing.Announcement, gone bool) reducer.AnnouncementResult {
	answer, err := ask[reducer.AnnouncementResult](context.Background(), h.node, func(call uint64) reducer.Event {
		return reducer.ServerAnnounced{Call: call, Announcement: announcement, Withdrawn: gone, Forwarded: true}
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

func (n *Node) proposeHere(ctx context.Context, command ledger.Command) reducer.ProposalResult {
	return n.proposed(ctx, func(call uint64) reducer.Event {
		return reducer.Propose{Call: call, Command: command}
	})
}

func (n *Node) changeHere(ctx context.Context, change quorum.Change) reducer.ProposalResult {
	return n.proposed(ctx, func(call uint64) reducer.Event {
		return reducer.ChangeReplica{Call: call, Change: change}
	})
}

// proposed waits for a commit here; without an answer it may still come.
func (n *Node) proposed(ctx context.Context, event func(call uint64) reducer.Event) reducer.ProposalResult {
	answer, err := ask[reducer.ProposalResult](ctx, n, event)
	if err != nil {
		return reducer.ProposalResult{Lost: true}
	}
	return answer
}

func (n *Node) readHere(ctx context.Context, section document.Section) reducer.ReadResult {
	answer, err := ask[reducer.ReadResult](ctx, n, func(call uint64) reducer.Event {
		return reducer.ReadSection{Call: call, Section: section}
	})
	if err != nil {
		return reducer.ReadResult{Refused: quorum.RefuseNotLeader}
	}
	return answer
}

// ErrNoLeader tells that no control leader confirmed the call in time; a
// proposal may still commit.
var ErrNoLeader = errors.New("no control leader confirmed it")

// Propose replicates a command through the leader, wherever it is. The command
// must be safe to propose again. The error is ErrNoLeader or the context's.
func (n *Node) Propose(ctx context.Context, command ledger.Command) (reducer.ProposalResult, error) {
	return viaLeader(ctx, n, func(ctx context.Context, peer string) (reducer.ProposalResult, reducer.Leader, bool) {
		answer := n.callLeader(ctx, peer, "Propose", &peerrpc.ProposeArgs{Command: command}, func() reducer.ProposalResult {
			return n.proposeHere(ctx, command)
		})
		return answer, answer.Leader, !answer.Lost && answer.Refused == 0
	})
}

// ChangeReplica changes the control replicas through the leader.
func (n *Node) ChangeReplica(ctx context.Context, change quorum.Change) (reducer.ProposalResult, error) {
	return viaLeader(ctx, n, func(ctx context.Context, peer string) (reducer.ProposalResult, reducer.Leader, bool) {
		answer := n.callLeader(ctx, peer, "Change", &peerrpc.ChangeArgs{Change: change}, func() reducer.ProposalResult {
			return n.changeHere(ctx, change)
		})
		final := !answer.Lost && answer.Refused != quorum.RefuseNotLeader
		return answer, answer.Leader, final
	})
}

func (n *Node) callLeader(ctx context.Context, peer, method string, args any, here func() reducer.ProposalResult) reducer.ProposalResult {
	if peer == n.Settings.Peer {
		return here()
	}
	var answer reducer.ProposalResult
	if err := n.Network.Call(ctx, peer, method, args, &answer); err != nil {
		return reducer.ProposalResult{Lost: true}
	}
	return answer
}

// ReadSection reads a section through the leader, so that every change that was
// acknowledged before shows.
func (n *Node) ReadSection(ctx context.Context, section document.Section) (reducer.ReadResult, error) {
	return viaLeader(ctx, n, func(ctx context.Context, peer string) (reducer.ReadResult, reducer.Leader, bool) {
		var answer reducer.ReadResult
		if peer == n.Settings.Peer {
			answer = n.readHere(ctx, section)
		} else if err := n.Network.Call(ctx, peer, "Read", &peerrpc.ReadArgs{Section: section}, &answer); err != nil {
			answer.Refused = quorum.RefuseNotLeader
		}
		return answer, answer.Leader, answer.Refused == 0
	})
}

// History lists the versions of a section from any control replica.
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
	leaderPause   = 50 * time.Millisecond
	leaderAttempt = 2 * time.Second
)

// viaLeader tries the leader that is known, then whom it names, then every
// control replica in turn, until one answers for good or the context ends.
func viaLeader[T any](ctx context.Context, n *Node, try func(context.Context, string) (T, reducer.Leader, bool)) (T, error) {
	var last T
	hint := ""
	if view := n.View(); view != nil {
		hint = view.Leader.Peer
	}
	for turn := 0; ; turn++ {
		peers := n.controlPeers()
		if len(peers) == 0 {
			return last, ErrNoLeader
		}
		peer := peers[turn%len(peers)]
		if hint != "" {
			peer = hint
		}
		attempt, cancel := context.WithTimeout(ctx, leaderAttempt)
		answer, leader, final := try(attempt, peer)
		cancel()
		last = answer
		if final {
			return answer, nil
		}
		hint = ""
		if leader.Peer != peer {
			hint = leader.Peer
		}
		select {
		case <-ctx.Done():
			return last, ErrNoLeader
		case <-n.stopped:
			return last, errStopped
		case <-n.Clock.After(leaderPause):
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
