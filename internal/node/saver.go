package node

import (
	"sync"

	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// saver writes the log in its own goroutine: all saves that wait are written
// with one sync.
type saver struct {
	node  *Node
	store *disk.Store
	mutex sync.Mutex
	queue []quorum.Save
	wake  chan struct{}
}

func newSaver(node *Node, store *disk.Store) *saver {
	return &saver{node: node, store: store, wake: make(chan struct{}, 1)}
}

func (s *saver) add(save quorum.Save) {
	s.mutex.Lock()
	s.queue = append(s.queue, save)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *saver) run() {
	for {
		select {
		case <-s.wake:
			s.flush()
		case <-s.node.stopped:
			return
		}
	}
}

func (s *saver) flush() {
	s.mutex.Lock()
	saves := s.queue
	s.queue = nil
	s.mutex.Unlock()
	if len(saves) == 0 {
		return
	}
	if err := s.store.Save(saves); err != nil {
		s.node.logEvent(reducer.Log{Code: reducer.CodeDiskFailed, Detail: err.Error()})
		s.node.Apply(reducer.LogFailed{})
		return
	}
	s.node.Metrics.Syncs.Inc()
	for _, save := range saves {
		for _, message := range save.Then {
			s.node.sendQuorum(message)
		}
	}
	s.node.Apply(reducer.LogSaved{Sequence: saves[len(saves)-1].Sequence})
}

// sendQuorum sends a message that had to wait for a sync.
func (n *Node) sendQuorum(message quorum.Message) {
	n.mutex.Lock()
	peer := n.state.PeerOf(message.To)
	n.mutex.Unlock()
	if peer != "" {
		n.Network.Send(peer, reducer.Message{Quorum: &message})
	}
}

func (s *saver) close() { s.store.Close() }
