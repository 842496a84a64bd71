package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/heatherwood/heatherwood/internal/codec"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Bounds on what the state machine keeps.
const (
	MaxClaims       = 200_000  // keys remembered at once
	MaxClaimBytes   = 64 << 20 // bytes of keys and outcomes
	MaxOutcomeBytes = 16 << 10 // bytes of one stored answer
	MaxKeyBytes     = 256      // bytes of an Idempotency-Key or Change-Id
	maxChanges      = 20_000   // remembered change ids
	maxHistory      = 50       // versions per section
	maxHistoryBytes = 1 << 20  // bytes of older texts per section
	maxAnchors      = 4096     // trails, the oldest go first
)

// Position is a place in the replicated log; later changes have higher ones.
type Position struct {
	Term  uint64
	Index uint64
}

// After reports whether the position is later than the other.
func (p Position) After(other Position) bool { return p.Index > other.Index }

// Section is the present text of one section.
type Section struct {
	Name     document.Section
	Version  uint64
	Position Position
	Text     []byte
}

// Version describes one accepted change of a section.
type Version struct {
	Version  uint64
	At       time.Time
	Team     string
	ChangeID string
	Position Position
	Digest   uint64
	Text     []byte // empty once dropped for space
}

// PutCode tells how a Put ended.
type PutCode uint8

// The outcomes of a Put.
const (
	PutAccepted        PutCode = iota + 1
	PutVersionConflict         // the base version is not the present one
	PutChangeIDReused          // the change id was used for another change
	PutRecheck                 // another section changed after the check
)

// PutResult is the answer to a Put.
type PutResult struct {
	Code     PutCode
	Version  uint64 // version after the change, or the present one
	Position Position
	Replayed bool // the first answer, given again
}

// changeRecord is what is kept of a change id.
type changeRecord struct {
	ID     string
	Digest uint64
	Result PutResult
}

// State is the state machine; the exported fields are part of a snapshot.
type State struct {
	Now      time.Time // highest command time seen
	Position Position  // last applied entry
	Document Position  // last accepted change of a section
	Sections []Section
	History  []SectionHistory
	Changes  []changeRecord
	Claims   []ClaimRecord
	Anchors  []Anchor
	Edition  Edition // newest whole document, without its sections
	Closures []document.Closure
	Reopened []document.Reopened // one for each failure domain

	changeIndex map[string]int
	claims      claimTable
	dropped     int // change records removed from the front
}

// SectionHistory holds the versions of one section, oldest first.
type SectionHistory struct {
	Name     document.Section
	Versions []Version
}

// New returns an empty state machine.
func New() *State {
	s := &State{changeIndex: make(map[string]int), claims: newClaimTable()}
	s.addSections()
	return s
}

// addSections adds the sections that are missing: a snapshot of an earlier
// version knows fewer.
func (s *State) addSections() {
	for _, name := range document.Sections() {
		if s.section(name) != nil {
			continue
		}
		s.Sections = append(s.Sections, Section{Name: name})
		s.History = append(s.History, SectionHistory{Name: name})
	}
}

// Apply carries out one command at its log position.
func (s *State) Apply(position Position, command Command) Result {
	s.Position = position
	if command.At.After(s.Now) {
		s.Now = command.At
	}
	s.claims.sweep(s.Now)
	switch {
	case command.Put != nil:
		result := s.put(position, command.Put)
		return Result{Put: &result}
	case command.Claim != nil:
		result := s.claims.claim(s.Now, command.Claim)
		return Result{Claim: &result}
	case command.Release != nil:
		s.claims.release(s.Now, command.Release)
	case command.Settle != nil:
		s.claims.settle(s.Now, command.Settle)
	case command.Edition != nil:
		result := s.edition(position, command.Edition)
		return Result{Edition: &result}
	case command.Close != nil:
		result := s.closure(position, command.Close)
		return Result{Close: &result}
	default:
		for _, anchor := range command.Anchors {
			s.anchor(anchor)
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

// Section returns the present text of a section, or of the newest edition.
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

// PutDigest identifies the content of a change, for a reused change id.
func PutDigest(put *Put) uint64 {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%s\x00%s\x00%d\x00", put.Section, put.Team, put.Base)
	digest.Write(put.Text)
	return digest.Sum64()
}

func (s *State) put(position Position, put *Put) PutResult {
	if first, known := s.change(put); known {
		return first
	}
	section := s.section(put.Section)
	if section == nil {
		return PutResult{Code: PutVersionConflict}
	}
	if put.Base != section.Version {
		return s.remember(put, PutResult{Code: PutVersionConflict, Version: section.Version, Position: section.Position})
	}
	if put.Checked != s.Versions() {
		return PutResult{Code: PutRecheck, Version: section.Version}
	}
	section.Version++
	section.Position = position
	section.Text = put.Text
	s.Document = position
	s.addHistory(position, put, section.Version)
	return s.remember(put, PutResult{Code: PutAccepted, Version: section.Version, Position: position})
}

// change returns the first answer to a change id that was used before.
func (s *State) change(put *Put) (PutResult, bool) {
	at, known := s.changeIndex[put.ChangeID]
	if put.ChangeID == "" || !known {
		return PutResult{}, false
	}
	record := s.Changes[at-s.dropped]
	if record.Digest != PutDigest(put) {
		return PutResult{Code: PutChangeIDReused, Version: record.Result.Version}, true
	}
	result := record.Result
	result.Replayed = true
	return result, true
}

func (s *State) remember(put *Put, result PutResult) PutResult {
	if put.ChangeID == "" {
		return result
	}
	s.changeIndex[put.ChangeID] = s.dropped + len(s.Changes)
	s.Changes = append(s.Changes, changeRecord{ID: put.ChangeID, Digest: PutDigest(put), Result: result})
	if len(s.Changes) > maxChanges {
		delete(s.changeIndex, s.Changes[0].ID)
		s.Changes = s.Changes[1:]
		s.dropped++
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

func (h *SectionHistory) trim() {
	if extra := len(h.Versions) - maxHistory; extra > 0 {
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

// HistoryOf returns the kept versions of a section, oldest first.
func (s *State) HistoryOf(name document.Section) []Version {
	for _, history := range s.History {
		if history.Name == name {
			return history.Versions
		}
	}
	return nil
}

func (s *State) anchor(anchor Anchor) {
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

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.Claims = s.claims.records()
	defer func() { s.Claims = nil }()
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore decodes a snapshot; no data yields an empty state.
func Restore(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	s.Sections, s.History = nil, nil
	if err := codec.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s.addSections()
	for i, change := range s.Changes {
		s.changeIndex[change.ID] = i
	}
	s.claims.load(s.Claims)
	s.Claims = nil
	return s, nil
}
