package ledger

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// EditionSection names the source of the newest edition in a read.
const EditionSection document.Section = "edition"

// Edition replaces several sections in one step. Its number comes from outside;
// the highest number wins.
type Edition struct {
	Number uint64
	Source []byte // text as its author sent it
	Parts  []Part // empty in the state: the sections hold them
}

// Part is the new text of one section.
type Part struct {
	Section document.Section
	Text    []byte
}

// EditionCode tells how an Edition ended.
type EditionCode uint8

// The outcomes of an Edition.
const (
	EditionAccepted     EditionCode = iota + 1
	EditionDuplicate                // this number is held with the same source
	EditionNumberReused             // this number is held with another source
	EditionOlder                    // a higher number is held
)

// EditionResult is the answer to an Edition.
type EditionResult struct {
	Code   EditionCode
	Number uint64 // held after the command
}

// Close keeps new work from a failure domain or server, or opens it again.
type Close struct {
	Closure document.Closure
	Open    bool
}

// CloseResult is the answer to a Close.
type CloseResult struct{ Changed bool }

// maxServerClosures bounds the closures of servers; the oldest go first.
const maxServerClosures = 2048

func (s *State) edition(position Position, edition *Edition) EditionResult {
	held := s.Edition.Number
	switch {
	case edition.Number < held:
		return EditionResult{Code: EditionOlder, Number: held}
	case edition.Number == held && held > 0 && !bytes.Equal(edition.Source, s.Edition.Source):
		return EditionResult{Code: EditionNumberReused, Number: held}
	case edition.Number == held && held > 0:
		return EditionResult{Code: EditionDuplicate, Number: held}
	}
	s.Edition = Edition{Number: edition.Number, Source: edition.Source}
	for _, part := range edition.Parts {
		s.replace(position, part)
	}
	s.Document = position
	return EditionResult{Code: EditionAccepted, Number: edition.Number}
}

func (s *State) replace(position Position, part Part) {
	section := s.section(part.Section)
	if section == nil || bytes.Equal(section.Text, part.Text) {
		return
	}
	section.Version++
	section.Position = position
	section.Text = part.Text
}

func (s *State) closure(position Position, change *Close) CloseResult {
	at := slices.Index(s.Closures, change.Closure)
	if (at < 0) == change.Open {
		return CloseResult{}
	}
	if change.Open {
		s.Closures = slices.Delete(s.Closures, at, at+1)
		s.reopen(change.Closure)
	} else {
		s.Closures = append(s.Closures, change.Closure)
		s.boundClosures()
	}
	text, err := toml.Marshal(document.Closures{Closures: s.Closures, Reopened: s.Reopened})
	if err != nil {
		// Closures hold strings and integers only, which always encode.
		panic(fmt.Sprintf("encode closures: %v", err))
	}
	s.replace(position, Part{Section: document.SectionClosures, Text: text})
	s.Document = position
	return CloseResult{Changed: true}
}

// reopen notes when a failure domain was opened.
func (s *State) reopen(closure document.Closure) {
	if closure.Kind != document.CloseDomain {
		return
	}
	s.Reopened = slices.DeleteFunc(s.Reopened, func(r document.Reopened) bool { return r.Name == closure.Name })
	s.Reopened = append(s.Reopened, document.Reopened{Name: closure.Name, At: s.Now.UnixMilli()})
}

func (s *State) boundClosures() {
	servers := 0
	for _, closure := range s.Closures {
		if closure.Kind == document.CloseServer {
			servers++
		}
	}
	if servers <= maxServerClosures {
		return
	}
	at := slices.IndexFunc(s.Closures, func(c document.Closure) bool { return c.Kind == document.CloseServer })
	s.Closures = slices.Delete(s.Closures, at, at+1)
}
