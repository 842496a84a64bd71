package node

import (
	"bytes"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"github.com/heatherwood/heatherwood/internal/ledger"
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

	last     []ledger.Section // of the document parsed last
	document *document.Document
	blocks   *plan.Blocks
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
	if l.onlyClosures(job.Sections) {
		l.loadClosures(job)
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
	l.last, l.document, l.blocks = job.Sections, parsed, blocks
	l.node.Apply(reducer.DocumentLoaded{Position: job.Position, Document: parsed, Blocks: blocks})
}

// onlyClosures reports whether the written sections are those parsed last:
// servers that leave change the closures alone, and often.
func (l *loader) onlyClosures(sections []ledger.Section) bool {
	if l.document == nil || len(sections) != len(l.last) {
		return false
	}
	for i, section := range sections {
		if section.Name != document.SectionClosures && !bytes.Equal(section.Text, l.last[i].Text) {
			return false
		}
	}
	return true
}

func (l *loader) loadClosures(job *reducer.LoadDocument) {
	changed := *l.document
	for _, section := range job.Sections {
		if section.Name != document.SectionClosures {
			continue
		}
		changed.Closures = document.Closures{}
		if err := toml.Unmarshal(section.Text, &changed.Closures); err != nil {
			l.node.logEvent(reducer.Log{Code: reducer.CodeDocumentInvalid, Detail: err.Error()})
			return
		}
	}
	l.document = &changed
	l.node.Apply(reducer.DocumentLoaded{Position: job.Position, Document: &changed, Blocks: l.blocks})
}
