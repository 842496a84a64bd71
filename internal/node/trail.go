package node

import (
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// trail takes the audit records of this VM.
type trail struct{ node *Node }

func newTrail(node *Node) (*trail, error) { return &trail{node: node}, nil }

func (t *trail) add(reducer.Audit) {}

func (t *trail) run() {}

func (t *trail) close() {}

func (t *trail) receive(peerrpc.ShipArgs) (peerrpc.ShipReply, error) {
	return peerrpc.ShipReply{}, nil
}

// Audit adds a record to the trail of this VM.
func (n *Node) Audit(entry reducer.Audit) {
	entry.At = n.Clock.Now()
	n.trail.add(entry)
}

// RecentAudit returns the latest records of this VM, the newest last.
func (n *Node) RecentAudit(limit int) []reducer.Audit { return nil }
