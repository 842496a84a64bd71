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

// documentLoader parses documents in its own goroutine, outside the reducer's lock. A
// newer document replaces one that still waits.
type documentLoader struct {
	node    *Node
	mutex   sync.Mutex // guards pending
	pending *reducer.LoadDocument
	wake    chan struct{}

	parsedSections []ledger.Section // texts of the document parsed last in full
	document       *document.Document
	blocks         *plan.Blocks
}

func newDocumentLoader(node *Node) *documentLoader {
	return &documentLoader{node: node, wake: make(chan struct{}, 1)}
}

func (l *documentLoader) setPending(e reducer.LoadDocument) {
	l.mutex.Lock()
	l.pending = &e
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *documentLoader) run() {
	for {
		select {
		case <-l.wake:
			l.load()
		case <-l.node.stopped:
			return
		}
	}
}

func (l *documentLoader) load() {
	l.mutex.Lock()
	job := l.pending
	l.pending = nil
	l.mutex.Unlock()
	if job == nil {
		return
	}
	if l.onlyClosuresChanged(job.Sections) {
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
		// From here on, only blocks holds the address blocks.
		parsed.Places.Places[i].Blocks = nil
	}
	l.parsedSections, l.document, l.blocks = job.Sections, parsed, blocks
	l.node.Apply(reducer.DocumentLoaded{Position: job.Position, Document: parsed, Blocks: blocks})
}

// onlyClosuresChanged reports whether all sections but the closures are those parsed
// last. This is frequent: each backend server that leaves changes only the closures.
func (l *documentLoader) onlyClosuresChanged(sections []ledger.Section) bool {
	if l.document == nil || len(sections) != len(l.parsedSections) {
		return false
	}
	for i, section := range sections {
		if section.Name != document.SectionClosures && !bytes.Equal(section.Text, l.parsedSections[i].Text) {
			return false
		}
	}
	return true
}

// loadClosures parses the closures alone and keeps the rest of the last document.
func (l *documentLoader) loadClosures(job *reducer.LoadDocument) {
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
