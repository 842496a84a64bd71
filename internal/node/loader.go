package node

import (
	"sync"

	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// loader parses documents outside the reducer's lock; only the latest counts.
type loader struct {
	node  *Node
	mutex sync.Mutex
	next  *reducer.LoadDocument
	wake  chan struct{}
}

func newLoader(node *Node) *loader { return &loader{node: node, wake: make(chan struct{}, 1)} }

func (l *loader) add(e reducer.LoadDocument) {
	l.mutex.Lock()
	l.next = &e
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *loader) run() {
	for {
		select {
		case <-l.wake:
			l.load()
		case <-l.node.stopped:
			return
		}
	}
}

func (l *loader) load() {
	l.mutex.Lock()
	job := l.next
	l.next = nil
	l.mutex.Unlock()
	if job == nil {
		return
	}
	texts := make(document.Texts)
	for _, section := range job.Sections {
		texts[section.Name] = document.Text{Bytes: section.Text}
	}
	parsed, messages := document.Parse(texts)
	if err := messages.Err(); err != nil {
		l.node.logEvent(reducer.Log{Code: reducer.CodeDocumentInvalid, Detail: err.Error()})
		return
	}
	blocks := plan.NewBlocks(parsed.Places.Places)
	for i := range parsed.Places.Places {
		// The table holds the blocks from here on.
		parsed.Places.Places[i].Blocks = nil
	}
	l.node.Apply(reducer.DocumentLoaded{Position: job.Position, Document: parsed, Blocks: blocks})
}
