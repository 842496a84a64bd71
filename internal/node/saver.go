package node

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// saver writes the log in its own goroutine: all saves that wait are written
// with one sync.
type saver struct {
	node  *Node
	files disk.Files
	first quorum.Snapshot // of an empty folder
	store *disk.Store
	mutex sync.Mutex
	queue []quorum.Save
	wake  chan struct{}
}

func newSaver(node *Node, files disk.Files, first quorum.Snapshot, store *disk.Store) *saver {
	return &saver{node: node, files: files, first: first, store: store, wake: make(chan struct{}, 1)}
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
		s.node.Apply(reducer.LogWriteFailed{})
		s.reopen()
		return
	}
	s.node.Metrics.LogSyncs.Inc()
	for _, save := range saves {
		for _, message := range save.Then {
			s.node.sendQuorum(message)
		}
	}
	s.node.Apply(reducer.LogSaved{Sequence: saves[len(saves)-1].Sequence})
}

const reopenPause = time.Second // between tries of a disk that failed

// reopen tries the disk until it takes writes again. What the replica holds is then
// what was read back, as after a restart, and it is written anew: after a failed
// sync, what can be read need not be durable.
func (s *saver) reopen() {
	for {
		select {
		case <-s.node.stopped:
			return
		case <-s.node.Clock.After(reopenPause):
		}
		restart, err := s.rewrite()
		if err != nil {
			s.node.logEvent(reducer.Log{Code: reducer.CodeDiskFailed, Detail: err.Error()})
			continue
		}
		s.mutex.Lock()
		s.queue = nil
		s.mutex.Unlock()
		s.node.Apply(reducer.LogReopened{Restart: restart})
		return
	}
}

func (s *saver) rewrite() (quorum.DurableState, error) {
	if err := s.store.Close(); err != nil {
		s.node.logEvent(reducer.Log{Code: reducer.CodeDiskFailed, Detail: err.Error()})
	}
	store, restart, err := disk.OpenStore(s.files, s.first)
	if err != nil {
		return quorum.DurableState{}, fmt.Errorf("open the log again: %w", err)
	}
	s.store = store
	whole := quorum.Save{Hard: restart.Hard, Snapshot: &restart.Snapshot, Entries: restart.Entries}
	if err := store.Save([]quorum.Save{whole}); err != nil {
		return quorum.DurableState{}, fmt.Errorf("write the log again: %w", err)
	}
	return restart, nil
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
