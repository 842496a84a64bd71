package quorum

import (
	"slices"
	"time"
)

// ID names a VM that holds a control replica.
type ID string

// EntryKind tells how an entry of the log is applied.
type EntryKind uint8

// The kinds of entry.
const (
	EntryData   EntryKind = iota // applied by the state machine above
	EntryConfig                  // Config holds the new set of replicas
	EntryNoop                    // first entry of a leader's term
)

// Entry is one position of the replicated log.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte
	Config Config
}

// Config is the set of replicas; learners receive the log but do not vote.
type Config struct {
	Voters   []Replica
	Learners []Replica
}

// Replica is one member of the quorum with its peer address.
type Replica struct {
	ID      ID
	Address string // host:port for calls between VMs
}

// HardState is what a replica must not forget between restarts.
type HardState struct {
	Term uint64
	Vote ID
}

// Snapshot is the applied state up to Index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// MessageKind tells what a message between replicas asks or answers.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshotChunk
	MessageSnapshotChunkReply
)

// Message travels between two replicas.
type Message struct {
	Kind    MessageKind
	From    ID
	To      ID
	Term    uint64
	Index   uint64 // index before Entries, last index of a candidate, or match of a reply
	LogTerm uint64 // term of the entry at Index
	Entries []Entry
	Commit  uint64
	Reject  bool
	Round   uint64 // heartbeat round that a reply confirms
	Piece   SnapshotChunk
}

// SnapshotChunk is a bounded part of a snapshot in transfer.
type SnapshotChunk struct {
	Index  uint64
	Term   uint64
	Config Config
	Offset uint64
	Total  uint64
	Data   []byte
}

// Role is the part that a replica plays in its term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Settings are the timings and bounds of a replica.
type Settings struct {
	ID                ID
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // shortest wait for a leader; the longest is twice this
	MaxBatchBytes     int           // bytes of entries in one message
	ChunkBytes        int           // bytes of snapshot in one message
	Seed              uint64
}

// DefaultSettings returns timings for one-way delays up to about 100 ms.
func DefaultSettings(id ID) Settings {
	return Settings{
		ID:                id,
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   700 * time.Millisecond,
		MaxBatchBytes:     256 << 10,
		ChunkBytes:        128 << 10,
	}
}

func (c Config) clone() Config {
	return Config{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// IsVoter reports whether the replica votes.
func (c Config) IsVoter(id ID) bool { return containsReplica(c.Voters, id) }

// IsLearner reports whether the replica only follows the log.
func (c Config) IsLearner(id ID) bool { return containsReplica(c.Learners, id) }

// Replicas returns all replicas, voters first.
func (c Config) Replicas() []Replica { return slices.Concat(c.Voters, c.Learners) }

func containsReplica(replicas []Replica, id ID) bool {
	return slices.ContainsFunc(replicas, func(r Replica) bool { return r.ID == id })
}

func without(replicas []Replica, id ID) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool { return r.ID == id })
}

func (e Entry) size() int {
	const overhead = 64 // bytes of index, term, kind and framing
	return overhead + len(e.Data)
}
