package reducer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const (
	fetchInterval        = 300 * time.Millisecond
	relaysPerDomain      = 2
	leaderStaleAfter     = 5 * time.Second
	documentSearchTime   = 600 * time.Millisecond // after the start, in which the newest document is looked for
	membershipSettleTime = time.Second            // after the start, in which the VMs of a failure domain meet
)

// adoptSections takes over a document that is later than the present one.
func (s *State) adoptSections(position ledger.Position, sections []ledger.Section) bool {
	if !position.After(s.sectionsAt) {
		return false
	}
	s.sectionsAt = position
	s.sections = slices.Clone(sections)
	s.emit(LoadDocument{Position: position, Sections: s.sections})
	s.publish()
	return true
}

// sendChange spreads an accepted change: the leader tells two VMs of each failure
// domain, which tell the rest of theirs, and each control VM tells its own
// failure domain. All others learn by pull if that fails.
func (s *State) sendChange(names ...document.Section) {
	before := s.sections
	if !s.adoptSections(s.ledger.Document, s.ledger.Sections) {
		return
	}
	spread := s.buildUpdate(before, names)
	s.sendUpdateToDomain(spread)
	if s.quorum.Role != quorum.RoleLeader {
		return
	}
	spread.Relay = true
	s.sendToOtherDomains(Message{Spread: &spread})
}

func (s *State) sendUpdateToDomain(spread DocumentUpdate) {
	spread.Relay = false
	s.sendToDomain(Message{Spread: &spread})
}

// buildUpdate describes the change of some sections from the copies before.
func (s *State) buildUpdate(before []ledger.Section, names []document.Section) DocumentUpdate {
	spread := DocumentUpdate{From: s.Settings.Peer, Position: s.sectionsAt, Versions: s.Versions()}
	for _, section := range s.sections {
		if !slices.Contains(names, section.Name) {
			continue
		}
		var old ledger.Section
		for _, candidate := range before {
			if candidate.Name == section.Name {
				old = candidate
			}
		}
		spread.Sections = append(spread.Sections, NewPatch(old, section))
	}
	return spread
}

// NewPatch finds the part between the common start and end of two texts.
func NewPatch(old, section ledger.Section) SectionPatch {
	limit := min(len(old.Text), len(section.Text))
	prefix := 0
	for prefix < limit && old.Text[prefix] == section.Text[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < limit-prefix && old.Text[len(old.Text)-1-suffix] == section.Text[len(section.Text)-1-suffix] {
		suffix++
	}
	return SectionPatch{
		Name:     section.Name,
		Base:     old.Version,
		Version:  section.Version,
		Position: section.Position,
		Prefix:   prefix,
		Suffix:   suffix,
		Middle:   section.Text[prefix : len(section.Text)-suffix],
	}
}

// ApplyPatch applies a patch to the present text; false means that it is for
// another version.
func ApplyPatch(old ledger.Section, patch SectionPatch) (ledger.Section, bool) {
	section := ledger.Section{Name: patch.Name, Version: patch.Version, Position: patch.Position}
	if patch.Base == 0 {
		section.Text = patch.Middle
		return section, true
	}
	if old.Version == patch.Version {
		return old, true
	}
	if old.Version != patch.Base || patch.Prefix+patch.Suffix > len(old.Text) || patch.Prefix < 0 || patch.Suffix < 0 {
		return ledger.Section{}, false
	}
	section.Text = slices.Concat(old.Text[:patch.Prefix], patch.Middle, old.Text[len(old.Text)-patch.Suffix:])
	return section, true
}

func (s *State) receiveUpdate(spread DocumentUpdate) {
	if !s.applyUpdate(spread) {
		s.holdUpdate(spread)
		return
	}
	s.applyHeld()
}

// applyUpdate follows a spread; false means that a change before it is missing.
func (s *State) applyUpdate(spread DocumentUpdate) bool {
	if !spread.Position.After(s.sectionsAt) {
		return true
	}
	sections, fits := s.patchSections(spread)
	if !fits {
		return false
	}
	if s.adoptSections(spread.Position, sections) && spread.Relay {
		s.sendUpdateToDomain(spread)
	}
	return true
}

// Changes in quick succession reach a VM by several ways and out of order.
const (
	maxHeldUpdates = 64                     // spreads that wait for the ones before them
	maxHoldTime    = 150 * time.Millisecond // after which the document is fetched instead
)

func (s *State) holdUpdate(spread DocumentUpdate) {
	if len(s.heldUpdates) == 0 {
		s.heldSince = s.now
	}
	s.heldUpdates = append(s.heldUpdates, spread)
	if len(s.heldUpdates) > maxHeldUpdates {
		s.heldUpdates = s.heldUpdates[1:]
	}
}

// applyHeld follows the spreads that waited, as far as they fit now.
func (s *State) applyHeld() {
	if len(s.heldUpdates) == 0 {
		return
	}
	slices.SortStableFunc(s.heldUpdates, func(a, b DocumentUpdate) int { return cmp.Compare(a.Position.Index, b.Position.Index) })
	waiting := s.heldUpdates[:0]
	for _, spread := range s.heldUpdates {
		if !s.applyUpdate(spread) {
			waiting = append(waiting, spread)
		}
	}
	s.heldUpdates = waiting
	s.heldSince = s.now
}

// fetchMissing fetches the document where a change stays missing.
func (s *State) fetchMissing() {
	if len(s.heldUpdates) == 0 || s.now.Sub(s.heldSince) < maxHoldTime {
		return
	}
	s.fetchDocument(s.heldUpdates[len(s.heldUpdates)-1].From)
}

// patchSections builds all sections of a Spread. It fits when every section then has
// the version that it has in the sender's document.
func (s *State) patchSections(spread DocumentUpdate) ([]ledger.Section, bool) {
	sections := slices.Clone(s.sections)
	if len(sections) == 0 {
		for _, name := range document.Sections() {
			sections = append(sections, ledger.Section{Name: name})
		}
	}
	for _, patch := range spread.Sections {
		for i := range sections {
			if sections[i].Name != patch.Name {
				continue
			}
			patched, fits := ApplyPatch(sections[i], patch)
			if !fits {
				return nil, false
			}
			sections[i] = patched
		}
	}
	for _, section := range sections {
		if section.Version != spread.Versions.Of(section.Name) {
			return nil, false
		}
	}
	return sections, true
}

// receiveDocumentRequest sends the sections that the asking VM lacks.
func (s *State) receiveDocumentRequest(fetch DocumentRequest) {
	if !s.sectionsAt.After(fetch.Have) {
		return
	}
	spread := DocumentUpdate{From: s.Settings.Peer, Position: s.sectionsAt, Versions: s.Versions()}
	for _, section := range s.sections {
		if section.Version == fetch.Versions.Of(section.Name) {
			continue
		}
		spread.Sections = append(spread.Sections, SectionPatch{
			Name:     section.Name,
			Version:  section.Version,
			Position: section.Position,
			Middle:   section.Text,
		})
	}
	s.transmit(fetch.Peer, Message{Spread: &spread})
}

// fetchDocument asks for a later document, not too often.
func (s *State) fetchDocument(peer string) {
	if s.now.Before(s.fetchDue) {
		return
	}
	s.fetchDue = s.now.Add(fetchInterval)
	s.transmit(peer, Message{Fetch: &DocumentRequest{Peer: s.Settings.Peer, Have: s.sectionsAt, Versions: s.Versions()}})
}

func (s *State) applyDocument(e DocumentLoaded) {
	if !e.Position.After(s.documentAt) {
		return
	}
	s.documentAt = e.Position
	s.presumeCold(e.Document.Closures)
	s.document, s.blocks = e.Document, e.Blocks
	s.members.Self.Document = e.Position.Index
	s.log(CodeDocumentInForce, "", int64(e.Position.Index))
	s.recordInForce()
	s.configurePools()
	s.configurePlacingPools()
	s.tickPlan()
	s.tickOwners()
}

// recordInForce records which document this VM follows; control VMs add where each
// service may run.
func (s *State) recordInForce() {
	s.record(Audit{Kind: AuditChange, Outcome: "in-force", From: s.Settings.VM, To: s.Settings.Domain, Position: s.documentAt.Index, Term: s.documentAt.Term})
	if s.quorum == nil {
		return
	}
	for _, service := range s.document.Services.Services {
		s.record(Audit{
			Kind:     AuditChange,
			Outcome:  "rule",
			Service:  service.Name,
			To:       strings.Join(service.Regions, ","),
			Position: s.documentAt.Index,
		})
	}
	for _, domain := range s.document.Places.Domains {
		s.record(Audit{Kind: AuditChange, Outcome: "domain", From: domain.Name, To: domain.Region, Position: s.documentAt.Index})
	}
}

// checkStale notices that the control leader was not heard of for a while.
func (s *State) checkStale() {
	stale := s.now.Sub(s.leaderHeardAt) > leaderStaleAfter
	if stale == s.stale {
		return
	}
	s.stale = stale
	if stale {
		s.log(CodeDocumentStale, "", 0)
	} else {
		s.log(CodeDocumentFresh, "", 0)
	}
	s.publish()
}
