package reducer

import (
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var editionOutcomes = map[ledger.EditionCode]string{
	ledger.EditionAccepted:     "accepted",
	ledger.EditionDuplicate:    "held",
	ledger.EditionNumberReused: "number-reused",
	ledger.EditionOlder:        "older",
}

// Edition returns the newest edition, without its parts. Its number is 0 if there is none or if this
// VM may not hold it: without a ledger, or with one that is behind, as after it left the replica set.
// The source must not be changed.
func (s *State) Edition() ledger.Edition {
	if s.ledger == nil || s.sectionsAt.After(s.ledger.Document) {
		return ledger.Edition{}
	}
	return s.ledger.Edition
}

// recordEdition records an applied edition and marks all of its sections as
// changed in one step.
func (s *State) recordEdition(edition *ledger.Edition, result *ledger.EditionResult, position ledger.Position) {
	outcome := editionOutcomes[result.Code]
	s.record(Audit{
		Kind:     AuditChange,
		Section:  string(ledger.EditionSection),
		Version:  edition.Number,
		Outcome:  outcome,
		Position: position.Index,
		Term:     position.Term,
	})
	s.emit(Decision{Code: CodeEdition, Outcome: outcome, Fields: []Field{
		{"number", int64(edition.Number)},
		{"held", int64(result.Number)},
		{"bytes", int64(len(edition.Source))},
		{"index", int64(position.Index)},
		{"term", int64(position.Term)},
	}})
	if result.Code != ledger.EditionAccepted {
		return
	}
	names := []document.Section{document.SectionCustomers}
	for _, part := range edition.Parts {
		names = append(names, part.Section)
	}
	s.markChanged(names...)
}

// recordClosure records an applied closure and marks the section of closures as
// changed.
func (s *State) recordClosure(change *ledger.Close, result *ledger.CloseResult, position ledger.Position) {
	outcome := "closed"
	if change.Open {
		outcome = "opened"
	}
	if !result.Changed {
		outcome += "-before"
	}
	s.record(Audit{
		Kind:     AuditDrain,
		Key:      string(change.Closure.Kind),
		Server:   change.Closure.Name,
		Outcome:  outcome,
		Position: position.Index,
		Term:     position.Term,
	})
	s.emit(Decision{Code: CodeClosure, Outcome: outcome, Fields: []Field{
		{"kind", string(change.Closure.Kind)},
		{"name", change.Closure.Name},
		{"start", change.Closure.Start},
		{"index", int64(position.Index)},
		{"term", int64(position.Term)},
	}})
	if result.Changed {
		s.markChanged(document.SectionClosures)
		if !change.Open {
			s.addedClosures = append(s.addedClosures, change.Closure)
		}
	}
}
