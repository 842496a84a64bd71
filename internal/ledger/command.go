package ledger

import (
	"fmt"
	"time"

	"github.com/heatherwood/heatherwood/internal/codec"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// Command is one entry of the replicated log; exactly one field after At is set.
type Command struct {
	At      time.Time // clock of the leader that proposed the command
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
	Base     uint64 // version that the change is based on
	ChangeID string
	Team     string
	Text     []byte
	Checked  Versions // versions of all sections that the text was checked against
}

// Versions holds the version of each section; a section never written has 0.
type Versions struct {
	Places    uint64
	Services  uint64
	Ranks     uint64
	Stops     uint64
	Routes    uint64
	Closures  uint64
	Customers uint64 `msgpack:",omitempty"` // sites without customers pay no bytes for it
}

// Get returns the version of a section.
func (v Versions) Get(section document.Section) uint64 { return *v.field(section) }

// Set sets the version of a section.
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
	case document.SectionCustomers:
		return &v.Customers
	default:
		return &v.Stops
	}
}

// Key identifies a `once` operation: the service and the caller's Idempotency-Key.
type Key struct {
	Service string
	Key     string
}

// Claim asks for the right to send a `once` operation to a backend server once.
type Claim struct {
	Key     Key
	Digest  uint64        // of the request's method, path and body
	Holder  string        // VM that will send the operation
	Attempt string        // id of the request that claims
	Hold    time.Duration // the holder sends nothing later than At plus this
	Keep    time.Duration // how long the claim is stored
}

// Release releases a claim: the holder reports that nothing was run.
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
	Unknown     bool // the operation may have run, but no complete answer arrived
	Status      int
	ContentType string
	Location    string
	Body        []byte
	Truncated   bool // the body exceeded MaxOutcomeBytes and was dropped
}

// Anchor records the last entry of an audit trail, so that a later change of the
// trail can be detected.
type Anchor struct {
	Chain    string // name of the hash chain
	Sequence uint64 // of the entry
	Hash     string // of the entry
}

// Result is the answer to one command; the field for the command's kind is set.
type Result struct {
	Put     *PutResult
	Claim   *ClaimResult
	Edition *EditionResult
	Close   *CloseResult
}

// Encode encodes a command as data of a log entry.
func Encode(command Command) ([]byte, error) {
	data, err := codec.Marshal(&command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// Decode decodes a command from the data of a log entry.
func Decode(data []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	return command, nil
}
