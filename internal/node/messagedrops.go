package node

import (
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

const dropLogInterval = time.Second // at least, between two lines about dropped messages

// messageDrops holds the messages to other VMs that were dropped and are not logged yet.
type messageDrops struct {
	mutex      sync.Mutex
	unreported int64
	lastPeer   string
	loggedAt   time.Time
}

// countDrop counts a message that did not fit the backlog of a peer.
func (n *Node) countDrop(peer string, message reducer.Message) {
	n.Metrics.CountDropped(message)
	n.drops.mutex.Lock()
	defer n.drops.mutex.Unlock()
	n.drops.unreported++
	n.drops.lastPeer = peer
}

// logDrops logs how many messages were dropped since the last line, unless that line was
// logged less than dropLogInterval ago.
func (n *Node) logDrops() {
	now := n.Clock.Now()
	n.drops.mutex.Lock()
	defer n.drops.mutex.Unlock()
	if n.drops.unreported == 0 || now.Sub(n.drops.loggedAt) < dropLogInterval {
		return
	}
	n.logEvent(reducer.Log{Code: reducer.CodeMessagesDropped, Detail: n.drops.lastPeer, Count: n.drops.unreported})
	n.drops.unreported, n.drops.loggedAt = 0, now
}
