package ledger

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// EditionSection is the section name under which a read returns the source of the
// newest edition.
const EditionSection document.Section = "edition"

// Edition replaces several sections in one step. The sender assigns its number;
// only a higher number replaces the stored edition.
type Edition struct {
	Number uint64
	Source []byte // text as the author sent it
	Parts  []Part // empty in the stored state, where the sections hold the texts; without customers there is no part for them
}

func (e *Edition) hasPart(section document.Section) bool {
	return slices.ContainsFunc(e.Parts, func(p Part) bool { return p.Section == section })
}

// Part is the new text of one section.
type Part struct {
	Section document.Section
	Text    []byte
}

// EditionCode is the outcome of an Edition.
type EditionCode uint8

// The outcomes of an Edition.
const (
	EditionAccepted     EditionCode = iota + 1
	EditionDuplicate                // the number is stored, with the same source
	EditionNumberReused             // the number is stored, with another source
	EditionOlder                    // a higher number is stored
)

// EditionResult is the answer to an Edition.
type EditionResult struct {
	Code   EditionCode
	Number uint64 // stored after the command
}

// Close closes a failure domain or server for new requests, or reopens it.
type Close struct {
	Closure document.Closure
	Open    bool // reopen
}

// OfDomain reports whether a failure domain is closed or reopened.
func (c *Close) OfDomain() bool { return c != nil && c.Closure.Kind == document.CloseDomain }

// CloseResult is the answer to a Close.
type CloseResult struct{ Changed bool }

// maxServerClosures limits the closures of servers; the oldest is dropped first.
const maxServerClosures = 2048

func (s *State) applyEdition(position Position, edition *Edition) EditionResult {
	stored := s.Edition.Number
	switch {
	case edition.Number < stored:
		return EditionResult{Code: EditionOlder, Number: stored}
	case edition.Number == stored && stored > 0 && !bytes.Equal(edition.Source, s.Edition.Source):
		return EditionResult{Code: EditionNumberReused, Number: stored}
	case edition.Number == stored && stored > 0:
		return EditionResult{Code: EditionDuplicate, Number: stored}
	}
	s.Edition = Edition{Number: edition.Number, Source: edition.Source}
	for _, part := range edition.Parts {
		s.replaceText(position, part)
	}
	if !edition.hasPart(document.SectionCustomers) {
		s.replaceText(position, Part{Section: document.SectionCustomers})
	}
	s.Document = position
	return EditionResult{Code: EditionAccepted, Number: edition.Number}
}

func (s *State) replaceText(position Position, part Part) {
	section := s.section(part.Section)
	if section == nil || bytes.Equal(section.Text, part.Text) {
		return
	}
	section.Version++
	section.Position = position
	section.Text = part.Text
}

func (s *State) applyClose(position Position, change *Close) CloseResult {
	at := slices.Index(s.Closures, change.Closure)
	if (at < 0) == change.Open {
		return CloseResult{}
	}
	if change.Open {
		s.Closures = slices.Delete(s.Closures, at, at+1)
		s.recordReopened(change.Closure)
	} else {
		s.Closures = append(s.Closures, change.Closure)
		s.limitServerClosures()
	}
	text, err := toml.Marshal(document.Closures{Closures: s.Closures, Reopened: s.Reopened})
	if err != nil {
		// Closures hold only strings and integers, which can always be encoded.
		panic(fmt.Sprintf("encode closures: %v", err))
	}
	s.replaceText(position, Part{Section: document.SectionClosures, Text: text})
	s.Document = position
	return CloseResult{Changed: true}
}

// recordReopened records when a failure domain was last reopened.
func (s *State) recordReopened(closure document.Closure) {
	if closure.Kind != document.CloseDomain {
		return
	}
	s.Reopened = slices.DeleteFunc(s.Reopened, func(r document.Reopened) bool { return r.Name == closure.Name })
	s.Reopened = append(s.Reopened, document.Reopened{Name: closure.Name, At: s.Now.UnixMilli()})
}

// limitServerClosures drops the oldest closure of a server when there are more
// than maxServerClosures.
func (s *State) limitServerClosures() {
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
