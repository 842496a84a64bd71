package reducer

import (
	"slices"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// ClosureUpdate carries closures ahead of the document that contains them.
type ClosureUpdate struct {
	Position ledger.Position // of that document
	Closures []document.Closure
}

// earlyClosure is a closure that the VM was told of before a document with it is in
// force: the document may wait for earlier changes of other sections, or to be parsed.
type earlyClosure struct {
	closure document.Closure
	at      ledger.Position // of a document that contains it
}

const maxEarlyClosures = 512

// closeEarly applies closures ahead of their document, unless the document in force is
// as new; it reports whether any was not known.
func (s *State) closeEarly(position ledger.Position, closures []document.Closure) bool {
	if !position.After(s.documentAt) {
		return false
	}
	added := false
	for _, closure := range closures[max(0, len(closures)-maxEarlyClosures):] {
		known := slices.IndexFunc(s.earlyClosures, func(e earlyClosure) bool { return e.closure == closure })
		if known >= 0 && !position.After(s.earlyClosures[known].at) {
			continue
		}
		if known >= 0 {
			s.earlyClosures = slices.Delete(s.earlyClosures, known, known+1)
		}
		s.earlyClosures = append(s.earlyClosures, earlyClosure{closure: closure, at: position})
		added = true
	}
	s.earlyClosures = slices.Delete(s.earlyClosures, 0, max(0, len(s.earlyClosures)-maxEarlyClosures))
	s.placingPoolsStale = s.placingPoolsStale || added
	return added
}

// closedEarly reports whether a closure applies ahead of its document.
func (s *State) closedEarly(closure document.Closure) bool {
	return slices.ContainsFunc(s.earlyClosures, func(e earlyClosure) bool { return e.closure.Covers(closure) })
}

// dropEarlyClosures leaves to the document in force the closures up to its position: it
// has them, or they were opened again.
func (s *State) dropEarlyClosures() {
	s.earlyClosures = slices.DeleteFunc(s.earlyClosures, func(e earlyClosure) bool { return !e.at.After(s.documentAt) })
}

// receiveClosures applies the closures of an update. A relay that cannot pass on the
// update yet passes on the closures alone; the returned update is then without them.
func (s *State) receiveClosures(update DocumentUpdate) DocumentUpdate {
	if !s.closeEarly(update.Position, update.Closed) || !update.Relay {
		return update
	}
	if _, fits := s.patchSections(update); fits && update.Position.After(s.sectionsAt) {
		return update
	}
	s.sendToDomain(Message{Closures: &ClosureUpdate{Position: update.Position, Closures: update.Closed}})
	update.Closed = nil
	return update
}

// takeAddedClosures applies and returns the closures that the log entries applied since
// the last change added; those opened again among them are left out.
func (s *State) takeAddedClosures() []document.Closure {
	ledgerClosures := document.Closures{Closures: s.ledger.Closures}
	added := s.addedClosures[max(0, len(s.addedClosures)-maxEarlyClosures):]
	s.addedClosures = nil
	added = slices.DeleteFunc(added, func(closure document.Closure) bool { return !ledgerClosures.Has(closure) })
	s.closeEarly(s.ledger.Document, added)
	return added
}
