package ledger

import (
	"fmt"
	"time"

	"github.com/heatherwood/heatherwood/internal/codec"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Command is one entry of the replicated log; exactly one field after At is set.
type Command struct {
	At      time.Time // clock of the leader that proposed it
	Put     *Put
	Claim   *Claim
	Release *Release
	Settle  *Settle
	Edition *Edition
	Close   *Close
	Anchors []Anchor
}

// Put replaces the text of a section.
type Put struct {
	Section  document.Section
	Base     uint64 // version that the writer saw
	ChangeID string
	Team     string
	Text     []byte
	Checked  Versions // versions of all sections that the text was checked with
}

// Versions holds the version of each section; a section never written has 0.
type Versions struct {
	Places   uint64
	Services uint64
	Ranks    uint64
	Stops    uint64
	Routes   uint64
	Closures uint64
}

// Get returns the version of one section.
func (v Versions) Get(section document.Section) uint64 { return *v.field(section) }

// Set changes the version of one section.
func (v *Versions) Set(section document.Section, version uint64) { *v.field(section) = version }

func (v *Versions) field(section document.Section) *uint64 {
	switch section {
	case document.SectionPlaces:
		return &v.Places
	case document.SectionServices:
		return &v.Services
	case document.SectionRanks:
		return &v.Ranks
	case document.SectionRoutes:
		return &v.Routes
	case document.SectionClosures:
		return &v.Closures
	default:
		return &v.Stops
	}
}

// Key names a `once` operation: the service and the caller's Idempotency-Key.
type Key struct {
	Service string
	Key     string
}

// Claim asks for the right to send a `once` operation one time.
type Claim struct {
	Key     Key
	Digest  uint64        // of method, path and body
	Holder  string        // VM that will send it
	Attempt string        // id of the request that asks
	Hold    time.Duration // the holder sends nothing later than this after At
	Keep    time.Duration // how long the key is remembered
}

// Release gives a claim back: the holder states that nothing was run.
type Release struct {
	Key     Key
	Attempt string
}

// Settle records the outcome of a claimed operation.
type Settle struct {
	Key     Key
	Attempt string
	Outcome Outcome
}

// Outcome is the answer of a backend server to a `once` operation.
type Outcome struct {
	Unknown     bool // the operation may have run and no whole answer is known
	Status      int
	ContentType string
	Location    string
	Body        []byte
	Truncated   bool // the body was larger than MaxOutcomeBytes and is not kept
}

// Anchor fixes the head of an audit trail.
type Anchor struct {
	Chain    string
	Sequence uint64
	Hash     string
}

// Result is the answer of the state machine to one command.
type Result struct {
	Put     *PutResult
	Claim   *ClaimResult
	Edition *EditionResult
	Close   *CloseResult
}

// Encode writes a command for the log.
func Encode(command Command) ([]byte, error) {
	data, err := codec.Marshal(&command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// Decode reads a command from the log.
func Decode(data []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	return command, nil
}
