package node

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// logWriter writes the replicated log in its own goroutine. All queued saves are
// written with one sync (group commit).
type logWriter struct {
	node      *Node
	files     disk.Files
	bootstrap quorum.Snapshot // state of a replica whose folder is empty
	store     *disk.Store
	mutex     sync.Mutex // guards queue
	queue     []quorum.Save
	wake      chan struct{}
}

func newLogWriter(node *Node, files disk.Files, bootstrap quorum.Snapshot, store *disk.Store) *logWriter {
	return &logWriter{node: node, files: files, bootstrap: bootstrap, store: store, wake: make(chan struct{}, 1)}
}

func (w *logWriter) enqueue(save quorum.Save) {
	w.mutex.Lock()
	w.queue = append(w.queue, save)
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *logWriter) run() {
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-w.node.stopped:
			return
		}
	}
}

// flush writes all queued saves, sends the messages that had to wait for them, and
// reports the result to the reducer.
func (w *logWriter) flush() {
	w.mutex.Lock()
	saves := w.queue
	w.queue = nil
	w.mutex.Unlock()
	if len(saves) == 0 {
		return
	}
	if err := w.store.Save(saves); err != nil {
		w.node.logEvent(reducer.Log{Code: reducer.CodeDiskFailed, Detail: err.Error()})
		w.node.Apply(reducer.LogWriteFailed{})
		w.reopenUntilWritable()
		return
	}
	w.node.Metrics.LogSyncs.Inc()
	for _, save := range saves {
		for _, message := range save.Then {
			w.node.sendQuorum(message)
		}
	}
	w.node.Apply(reducer.LogSaved{Sequence: saves[len(saves)-1].Sequence})
}

const reopenDelay = time.Second // between attempts to reopen a failed disk

// reopenUntilWritable reopens the log until the disk takes writes again. The replica
// then continues with what it read back, as after a restart. That state is written
// again, because after a failed sync data that can be read may still not be durable.
func (w *logWriter) reopenUntilWritable() {
	for {
		select {
		case <-w.node.stopped:
			return
		case <-w.node.Clock.After(reopenDelay):
		}
		durable, err := w.reopenAndRewrite()
		if err != nil {
			w.node.logEvent(reducer.Log{Code: reducer.CodeDiskFailed, Detail: err.Error()})
			continue
		}
		w.mutex.Lock()
		w.queue = nil
		w.mutex.Unlock()
		w.node.Apply(reducer.LogReopened{Restart: durable})
		return
	}
}

// reopenAndRewrite reads the log back and writes all of it again.
func (w *logWriter) reopenAndRewrite() (quorum.DurableState, error) {
	if err := w.store.Close(); err != nil {
		w.node.logEvent(reducer.Log{Code: reducer.CodeDiskFailed, Detail: err.Error()})
	}
	store, durable, err := disk.OpenStore(w.files, w.bootstrap)
	if err != nil {
		return quorum.DurableState{}, fmt.Errorf("reopen the log: %w", err)
	}
	w.store = store
	fullSave := quorum.Save{Hard: durable.Hard, Snapshot: &durable.Snapshot, Entries: durable.Entries}
	if err := store.Save([]quorum.Save{fullSave}); err != nil {
		return quorum.DurableState{}, fmt.Errorf("rewrite the log: %w", err)
	}
	return durable, nil
}

// sendQuorum sends a replication message to the replica that it names.
func (n *Node) sendQuorum(message quorum.Message) {
	n.mutex.Lock()
	sent := n.state.QuorumTransmit(message)
	n.mutex.Unlock()
	if sent.Peer != "" {
		n.Network.Send(sent.Peer, sent.Message)
	}
}

func (w *logWriter) close() { w.store.Close() }
