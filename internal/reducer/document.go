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
	relaysPerDomain      = 2                      // VMs of another failure domain that get a message
	leaderStaleAfter     = 5 * time.Second        // without a heartbeat of the control leader
	documentSearchTime   = 600 * time.Millisecond // after the start, to find the newest document
	membershipSettleTime = time.Second            // after the start, for the VMs of a failure domain to learn of each other
)

// adoptSections replaces the present sections with newer ones and has them
// parsed; it returns false if position is not newer.
func (s *State) adoptSections(position ledger.Position, sections []ledger.Section) bool {
	if !position.After(s.sectionsAt) {
		return false
	}
	s.transfers.rememberOlder(s.sections, sections)
	s.sectionsAt = position
	s.sections = slices.Clone(sections)
	s.emit(LoadDocument{Position: position, Sections: s.sections})
	s.publish()
	s.offerRelayed()
	s.endFinished()
	return true
}

// sendChange sends an accepted change to other VMs: each control VM to its own
// failure domain, and the leader also to two VMs of each other failure domain,
// which relay it within theirs. A large change is offered instead. A VM that misses
// the change fetches the document later.
func (s *State) sendChange(names ...document.Section) {
	closed := s.takeAddedClosures()
	before := s.sections
	isLeader := s.quorum.Role == quorum.RoleLeader
	if !s.ledger.Document.After(s.sectionsAt) {
		// It was fetched before the log brought it; other VMs may lack it.
		s.offerChange(closed, isLeader)
		return
	}
	if !s.transfers.relaying.After(s.ledger.Document) {
		s.transfers.relaying = ledger.Position{} // the change is sent to the failure domain below
	}
	s.adoptSections(s.ledger.Document, s.ledger.Sections)
	update := s.buildUpdate(before, names)
	update.Closed = closed
	if update.bytes() > maxPushedBytes {
		s.offerChange(closed, isLeader)
		return
	}
	s.sendUpdateToDomain(update)
	if !isLeader {
		return
	}
	update.Relay = true
	s.sendToOtherDomains(Message{Spread: &update})
}

func (s *State) sendUpdateToDomain(update DocumentUpdate) {
	update.Relay = false
	s.sendToDomain(Message{Spread: &update})
}

// buildUpdate returns the patches that turn the named sections of before into
// the present ones.
func (s *State) buildUpdate(before []ledger.Section, names []document.Section) DocumentUpdate {
	update := DocumentUpdate{From: s.Settings.Peer, Position: s.sectionsAt, Versions: s.Versions(), Parts: true}
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
		update.Sections = append(update.Sections, NewPatch(old, section))
	}
	return update
}

// NewPatch returns the patch that replaces the part between the common prefix
// and suffix of two texts.
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

// ApplyPatch applies a patch to a section; it returns false if the patch is for
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

// outdatedFor is how long a VM counts its document as outdated after it heard of a newer
// one that does not come: a faulty VM may name an index that does not exist.
const outdatedFor = 10 * time.Second

// noteNewer notes that another VM holds the document at a log index.
func (s *State) noteNewer(index uint64) {
	if index > max(s.newestIndex, s.documentAt.Index) {
		s.newestIndex, s.newestHeardAt = index, s.now
	}
}

// isOutdated reports whether this VM knows of a newer document than the one in force.
func (s *State) isOutdated() bool {
	if s.sectionsAt.After(s.documentAt) {
		return true
	}
	return s.newestIndex > s.documentAt.Index && s.now.Sub(s.newestHeardAt) < outdatedFor
}

func (s *State) receiveUpdate(update DocumentUpdate) {
	s.noteNewer(update.Position.Index)
	update = s.receiveClosures(update)
	if !s.applyUpdate(update) {
		s.holdUpdate(update)
		return
	}
	s.applyHeld()
}

// applyUpdate applies an update that is newer than the sections held; it
// returns false if an earlier change is missing.
func (s *State) applyUpdate(update DocumentUpdate) bool {
	if !update.Position.After(s.sectionsAt) {
		return true
	}
	sections, fits := s.patchSections(update)
	if !fits {
		return false
	}
	if s.adoptSections(update.Position, sections) {
		s.logUpdate("adopted", update)
		if update.Relay {
			s.sendUpdateToDomain(update)
		}
	}
	return true
}

// Changes in quick succession reach a VM over several paths and out of order.
// Those that arrive too early are held.
const (
	maxHeldUpdates = 64                     // updates that wait for earlier ones
	maxHoldTime    = 150 * time.Millisecond // after which the document is fetched instead
)

// logUpdate logs what became of an update.
func (s *State) logUpdate(outcome string, update DocumentUpdate) {
	s.emit(Decision{Code: CodeDocumentReceived, Outcome: outcome, Fields: []Field{
		{"index", int64(update.Position.Index)},
		{"from", update.From},
		{"bytes", int64(update.bytes())},
		{"sections", int64(len(update.Sections))},
		{"held_index", int64(s.sectionsAt.Index)},
	}})
}

func (s *State) holdUpdate(update DocumentUpdate) {
	s.logUpdate("held", update)
	if len(s.heldUpdates) == 0 {
		s.heldSince = s.now
	}
	s.heldUpdates = append(s.heldUpdates, update)
	if len(s.heldUpdates) > maxHeldUpdates {
		s.heldUpdates = s.heldUpdates[1:]
	}
}

// applyHeld applies the held updates whose earlier changes have arrived by now.
func (s *State) applyHeld() {
	if len(s.heldUpdates) == 0 {
		return
	}
	slices.SortStableFunc(s.heldUpdates, func(a, b DocumentUpdate) int { return cmp.Compare(a.Position.Index, b.Position.Index) })
	waiting := s.heldUpdates[:0]
	for _, update := range s.heldUpdates {
		if !s.applyUpdate(update) {
			waiting = append(waiting, update)
		}
	}
	s.heldUpdates = waiting
	s.heldSince = s.now
}

// fetchMissing fetches the document when a change has been missing for
// maxHoldTime.
func (s *State) fetchMissing() {
	if len(s.heldUpdates) == 0 || s.now.Sub(s.heldSince) < maxHoldTime {
		return
	}
	newest := s.heldUpdates[len(s.heldUpdates)-1]
	s.wantDocument(documentSource{peer: newest.From, position: newest.Position.Index, inParts: newest.Parts})
}

// patchSections returns the sections held with an update applied. It returns
// false unless every section then has the version that it has in the sender's
// document.
func (s *State) patchSections(update DocumentUpdate) ([]ledger.Section, bool) {
	sections := s.heldSections()
	for _, patch := range update.Sections {
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
		if section.Version != update.Versions.Get(section.Name) {
			return nil, false
		}
	}
	return sections, true
}

// receiveDocumentRequest sends what differs from the document of the requesting
// VM, if the document here is newer: a part of it, or to a VM of an earlier
// release whole sections.
func (s *State) receiveDocumentRequest(request DocumentRequest) {
	switch {
	case !s.sectionsAt.After(request.Have):
		if request.Parts {
			s.transmit(request.Peer, Message{Part: &DocumentPart{From: s.Settings.Peer, Behind: true}})
		}
		return
	case request.Parts:
		s.sendPart(request)
		return
	case !s.servesWhole(request.Peer):
		return
	}
	update := DocumentUpdate{From: s.Settings.Peer, Position: s.sectionsAt, Versions: s.Versions(), Parts: true}
	for _, section := range s.sections {
		if section.Version == request.Versions.Get(section.Name) {
			continue
		}
		update.Sections = append(update.Sections, SectionPatch{
			Name:     section.Name,
			Version:  section.Version,
			Position: section.Position,
			Middle:   section.Text,
		})
	}
	s.transmit(request.Peer, Message{Spread: &update})
}

func (s *State) applyDocument(e DocumentLoaded) {
	if !e.Position.After(s.documentAt) {
		return
	}
	s.documentAt = e.Position
	s.presumeCold(e.Document)
	s.document, s.blocks = e.Document, e.Blocks
	s.members.Self.Document = e.Position.Index
	s.log(CodeDocumentInForce, "", int64(e.Position.Index))
	s.recordInForce()
	s.configurePools()
	s.configurePlacingPools()
	s.followCustomers(e.Document)
	s.tickPlan()
	s.tickOwners()
	s.configureShares()
	s.releaseParked()
	s.retryAllWaits()
}

// recordInForce records which document is in force on this VM; control VMs also
// record the regions in which each service may run, and the region of each
// failure domain.
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

// checkStale logs and publishes when heartbeats of the control leader stop or
// return.
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
