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
	fetchInterval  = 300 * time.Millisecond
	relaysPerPush  = 2
	staleAfter     = 5 * time.Second
	settleDuration = 600 * time.Millisecond // after the start, in which the newest document is looked for
	meetDuration   = time.Second            // after the start, in which the VMs of a failure domain meet
)

// adopt takes over a document that is later than the present one.
func (s *State) adopt(position ledger.Position, sections []ledger.Section) bool {
	if !position.After(s.copyAt) {
		return false
	}
	s.copyAt = position
	s.copies = slices.Clone(sections)
	s.emit(LoadDocument{Position: position, Sections: s.copies})
	s.publish()
	return true
}

// changed spreads an accepted change: the leader tells two VMs of each failure
// domain, which tell the rest of theirs, and each control VM tells its own
// failure domain. All others learn by pull if that fails.
func (s *State) changed(names ...document.Section) {
	before := s.copies
	if !s.adopt(s.ledger.Document, s.ledger.Sections) {
		return
	}
	spread := s.patch(before, names)
	s.spreadWithin(spread)
	if s.quorum.Role != quorum.RoleLeader {
		return
	}
	spread.Relay = true
	s.tellOtherDomains(Message{Spread: &spread})
}

func (s *State) spreadWithin(spread Spread) {
	spread.Relay = false
	s.tellDomain(Message{Spread: &spread})
}

// patch describes the change of some sections from the copies before.
func (s *State) patch(before []ledger.Section, names []document.Section) Spread {
	spread := Spread{From: s.Settings.Peer, Position: s.copyAt, Versions: s.Versions()}
	for _, section := range s.copies {
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

// Patched applies a patch to the present text; false means that it is for
// another version.
func Patched(old ledger.Section, patch SectionPatch) (ledger.Section, bool) {
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

func (s *State) receiveSpread(spread Spread) {
	if !s.takeSpread(spread) {
		s.holdSpread(spread)
		return
	}
	s.takeHeld()
}

// takeSpread follows a spread; false means that a change before it is missing.
func (s *State) takeSpread(spread Spread) bool {
	if !spread.Position.After(s.copyAt) {
		return true
	}
	sections, fits := s.patchAll(spread)
	if !fits {
		return false
	}
	if s.adopt(spread.Position, sections) && spread.Relay {
		s.spreadWithin(spread)
	}
	return true
}

// Changes in quick succession reach a VM by several ways and out of order.
const (
	maxHeld  = 64                     // spreads that wait for the ones before them
	holdTime = 150 * time.Millisecond // after which the document is fetched instead
)

func (s *State) holdSpread(spread Spread) {
	if len(s.held) == 0 {
		s.heldSince = s.now
	}
	s.held = append(s.held, spread)
	if len(s.held) > maxHeld {
		s.held = s.held[1:]
	}
}

// takeHeld follows the spreads that waited, as far as they fit now.
func (s *State) takeHeld() {
	if len(s.held) == 0 {
		return
	}
	slices.SortStableFunc(s.held, func(a, b Spread) int { return cmp.Compare(a.Position.Index, b.Position.Index) })
	waiting := s.held[:0]
	for _, spread := range s.held {
		if !s.takeSpread(spread) {
			waiting = append(waiting, spread)
		}
	}
	s.held = waiting
	s.heldSince = s.now
}

// tickHeld fetches the document where a change stays missing.
func (s *State) tickHeld() {
	if len(s.held) == 0 || s.now.Sub(s.heldSince) < holdTime {
		return
	}
	s.fetchFrom(s.held[len(s.held)-1].From)
}

// patchAll builds all sections of a Spread. It fits when every section then has
// the version that it has in the sender's document.
func (s *State) patchAll(spread Spread) ([]ledger.Section, bool) {
	sections := slices.Clone(s.copies)
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
			patched, fits := Patched(sections[i], patch)
			if !fits {
				return nil, false
			}
			sections[i] = patched
		}
	}
	for _, section := range sections {
		if section.Version != spread.Versions.Get(section.Name) {
			return nil, false
		}
	}
	return sections, true
}

// receiveFetch sends the sections that the asking VM lacks.
func (s *State) receiveFetch(fetch Fetch) {
	if !s.copyAt.After(fetch.Have) {
		return
	}
	spread := Spread{From: s.Settings.Peer, Position: s.copyAt, Versions: s.Versions()}
	for _, section := range s.copies {
		if section.Version == fetch.Versions.Get(section.Name) {
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

// fetchFrom asks for a later document, not too often.
func (s *State) fetchFrom(peer string) {
	if s.now.Before(s.fetchDue) {
		return
	}
	s.fetchDue = s.now.Add(fetchInterval)
	s.transmit(peer, Message{Fetch: &Fetch{Peer: s.Settings.Peer, Have: s.copyAt, Versions: s.Versions()}})
}

func (s *State) documentLoaded(e DocumentLoaded) {
	if !e.Position.After(s.loadedAt) {
		return
	}
	s.loadedAt = e.Position
	s.presumeCold(e.Document.Closures)
	s.document, s.blocks = e.Document, e.Blocks
	s.members.Self.Document = e.Position.Index
	s.log(CodeDocumentInForce, "", int64(e.Position.Index))
	s.noteInForce()
	s.configurePools()
	s.configurePlaces()
	s.tickPlan()
	s.tickOwners()
}

// noteInForce records which document this VM follows; control VMs add where each
// service may run.
func (s *State) noteInForce() {
	s.record(Audit{Kind: AuditChange, Outcome: "in-force", From: s.Settings.VM, To: s.Settings.Domain, Position: s.loadedAt.Index, Term: s.loadedAt.Term})
	if s.quorum == nil {
		return
	}
	for _, service := range s.document.Services.Services {
		s.record(Audit{
			Kind:     AuditChange,
			Outcome:  "rule",
			Service:  service.Name,
			To:       strings.Join(service.Regions, ","),
			Position: s.loadedAt.Index,
		})
	}
	for _, domain := range s.document.Places.Domains {
		s.record(Audit{Kind: AuditChange, Outcome: "domain", From: domain.Name, To: domain.Region, Position: s.loadedAt.Index})
	}
}

// checkStale notices that the control leader was not heard of for a while.
func (s *State) checkStale() {
	stale := s.now.Sub(s.leaderHeard) > staleAfter
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
