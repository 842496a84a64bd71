package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/heatherwood/heatherwood/internal/codec"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Limits of the stored state.
const (
	MaxClaims       = 200_000  // claims
	MaxClaimBytes   = 64 << 20 // bytes of all claims with their outcomes
	MaxOutcomeBytes = 16 << 10 // bytes of the body of one outcome
	MaxKeyBytes     = 256      // bytes of an Idempotency-Key or Change-Id
	maxChangeIDs    = 20_000   // change ids, the oldest is dropped first
	maxVersions     = 50       // versions per section
	maxHistoryBytes = 1 << 20  // bytes of texts in the history of a section
	maxAnchors      = 4096     // audit trails, the oldest is dropped first
)

// Position is a position in the replicated log; later entries have a higher Index.
type Position struct {
	Term  uint64
	Index uint64
}

// After reports whether the position is after the other.
func (p Position) After(other Position) bool { return p.Index > other.Index }

// Section is the current text of a section.
type Section struct {
	Name     document.Section
	Version  uint64
	Position Position // of its last change
	Text     []byte
}

// Version describes one accepted change of a section.
type Version struct {
	Version  uint64
	At       time.Time
	Team     string
	ChangeID string
	Position Position
	Digest   uint64 // hash of the text, also once Text is dropped
	Text     []byte // empty once dropped for space
}

// PutCode is the outcome of a Put.
type PutCode uint8

// The outcomes of a Put.
const (
	PutAccepted        PutCode = iota + 1
	PutVersionConflict         // the base version is not the current one
	PutChangeIDReused          // the change id was used for another change
	PutRecheck                 // another section changed after the check
)

// PutResult is the answer to a Put.
type PutResult struct {
	Code     PutCode
	Version  uint64   // after the change, or the current one when refused; with PutChangeIDReused that of the first answer
	Position Position // of the change; with PutVersionConflict of the last change of the section
	Replayed bool     // this repeats the answer to the first Put with the change id
}

// changeRecord is the stored result of a change id.
type changeRecord struct {
	ID     string
	Digest uint64 // PutDigest of the change
	Result PutResult
}

// State is the state machine; a snapshot holds the exported fields.
type State struct {
	Now      time.Time // highest time of an applied command
	Position Position  // of the last applied entry
	Document Position  // of the last accepted change of any section
	Sections []Section
	History  []SectionHistory
	Changes  []changeRecord
	Claims   []ClaimRecord // set only while a snapshot is encoded or decoded
	Anchors  []Anchor
	Edition  Edition // newest edition, without Parts
	Closures []document.Closure
	Reopened []document.Reopened // the last reopening of each failure domain

	changeIndex    map[string]int // by change id; less droppedChanges, it is the index in Changes
	claims         claimTable
	droppedChanges int // change records dropped from the front of Changes since New or Restore
}

// SectionHistory holds the stored versions of one section, oldest first.
type SectionHistory struct {
	Name     document.Section
	Versions []Version
}

// New returns an empty state machine.
func New() *State {
	s := &State{changeIndex: make(map[string]int), claims: newClaimTable()}
	s.addMissingSections()
	return s
}

// addMissingSections adds the sections that a snapshot of an earlier release
// doesn't hold.
func (s *State) addMissingSections() {
	for _, name := range document.Sections() {
		if s.section(name) != nil {
			continue
		}
		s.Sections = append(s.Sections, Section{Name: name})
		s.History = append(s.History, SectionHistory{Name: name})
	}
}

// Apply applies one command at its log position.
func (s *State) Apply(position Position, command Command) Result {
	s.Position = position
	if command.At.After(s.Now) {
		s.Now = command.At
	}
	s.claims.expire(s.Now)
	switch {
	case command.Put != nil:
		result := s.applyPut(position, command.Put)
		return Result{Put: &result}
	case command.Claim != nil:
		result := s.claims.claim(s.Now, command.Claim)
		return Result{Claim: &result}
	case command.Release != nil:
		s.claims.release(s.Now, command.Release)
	case command.Settle != nil:
		s.claims.settle(s.Now, command.Settle)
	case command.Edition != nil:
		result := s.applyEdition(position, command.Edition)
		return Result{Edition: &result}
	case command.Close != nil:
		result := s.applyClose(position, command.Close)
		return Result{Close: &result}
	default:
		for _, anchor := range command.Anchors {
			s.applyAnchor(anchor)
		}
	}
	return Result{}
}

func (s *State) section(name document.Section) *Section {
	for i := range s.Sections {
		if s.Sections[i].Name == name {
			return &s.Sections[i]
		}
	}
	return nil
}

// Section returns the current text of a section, or the source of the newest
// edition for EditionSection.
func (s *State) Section(name document.Section) (Section, bool) {
	if name == EditionSection {
		return Section{Name: name, Version: s.Edition.Number, Position: s.Document, Text: s.Edition.Source}, true
	}
	found := s.section(name)
	if found == nil {
		return Section{}, false
	}
	return *found, true
}

// Versions returns the versions of all sections.
func (s *State) Versions() Versions {
	var versions Versions
	for _, section := range s.Sections {
		versions.Set(section.Name, section.Version)
	}
	return versions
}

// PutDigest returns a hash of a change, which detects that a change id is reused
// for another change.
func PutDigest(put *Put) uint64 {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%s\x00%s\x00%d\x00", put.Section, put.Team, put.Base)
	digest.Write(put.Text)
	return digest.Sum64()
}

func (s *State) applyPut(position Position, put *Put) PutResult {
	if first, found := s.recordedResult(put); found {
		return first
	}
	section := s.section(put.Section)
	if section == nil {
		return PutResult{Code: PutVersionConflict}
	}
	if put.Base != section.Version {
		return s.recordResult(put, PutResult{Code: PutVersionConflict, Version: section.Version, Position: section.Position})
	}
	if put.Checked != s.Versions() {
		return PutResult{Code: PutRecheck, Version: section.Version}
	}
	section.Version++
	section.Position = position
	section.Text = put.Text
	s.Document = position
	s.addHistory(position, put, section.Version)
	return s.recordResult(put, PutResult{Code: PutAccepted, Version: section.Version, Position: position})
}

// recordedResult returns the stored answer when the change id was used before.
func (s *State) recordedResult(put *Put) (PutResult, bool) {
	at, found := s.changeIndex[put.ChangeID]
	if put.ChangeID == "" || !found {
		return PutResult{}, false
	}
	record := s.Changes[at-s.droppedChanges]
	if record.Digest != PutDigest(put) {
		return PutResult{Code: PutChangeIDReused, Version: record.Result.Version}, true
	}
	result := record.Result
	result.Replayed = true
	return result, true
}

// recordResult stores the answer under the change id and returns it.
func (s *State) recordResult(put *Put, result PutResult) PutResult {
	if put.ChangeID == "" {
		return result
	}
	s.changeIndex[put.ChangeID] = s.droppedChanges + len(s.Changes)
	s.Changes = append(s.Changes, changeRecord{ID: put.ChangeID, Digest: PutDigest(put), Result: result})
	if len(s.Changes) > maxChangeIDs {
		delete(s.changeIndex, s.Changes[0].ID)
		s.Changes = s.Changes[1:]
		s.droppedChanges++
	}
	return result
}

func (s *State) addHistory(position Position, put *Put, version uint64) {
	for i := range s.History {
		history := &s.History[i]
		if history.Name != put.Section {
			continue
		}
		history.Versions = append(history.Versions, Version{
			Version:  version,
			At:       s.Now,
			Team:     put.Team,
			ChangeID: put.ChangeID,
			Position: position,
			Digest:   xxhash.Sum64(put.Text),
			Text:     put.Text,
		})
		history.trim()
	}
}

// trim keeps at most maxVersions versions, and drops the texts of older ones beyond
// maxHistoryBytes.
func (h *SectionHistory) trim() {
	if extra := len(h.Versions) - maxVersions; extra > 0 {
		h.Versions = slices.Clone(h.Versions[extra:])
	}
	size := 0
	for i := len(h.Versions) - 1; i >= 0; i-- {
		size += len(h.Versions[i].Text)
		if size > maxHistoryBytes && i < len(h.Versions)-1 {
			h.Versions[i].Text = nil
		}
	}
}

// HistoryOf returns the stored versions of a section, oldest first.
func (s *State) HistoryOf(name document.Section) []Version {
	for _, history := range s.History {
		if history.Name == name {
			return history.Versions
		}
	}
	return nil
}

func (s *State) applyAnchor(anchor Anchor) {
	for i := range s.Anchors {
		if s.Anchors[i].Chain == anchor.Chain {
			if anchor.Sequence > s.Anchors[i].Sequence {
				s.Anchors[i] = anchor
			}
			return
		}
	}
	s.Anchors = append(s.Anchors, anchor)
	if len(s.Anchors) > maxAnchors {
		s.Anchors = slices.Clone(s.Anchors[1:])
	}
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	s.Claims = s.claims.records()
	defer func() { s.Claims = nil }()
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore decodes a snapshot; without data it returns an empty state.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	s.Sections, s.History = nil, nil
	if err := codec.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s.addMissingSections()
	for i, change := range s.Changes {
		s.changeIndex[change.ID] = i
	}
	s.claims.restore(s.Claims)
	s.Claims = nil
	return s, nil
}
