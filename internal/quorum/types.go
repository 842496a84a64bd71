package quorum

import (
	"slices"
	"time"
)

// ID identifies the VM that holds a control replica.
type ID string

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of entry.
const (
	EntryData   EntryKind = iota // Data holds a command of the replicated state machine
	EntryConfig                  // Config holds the new replica set
	EntryNoop                    // first entry of a leader's term
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte
	Config Config
}

// Config is the replica set; learners receive the log but do not vote.
type Config struct {
	Voters   []Replica
	Learners []Replica
}

// Replica is one member of the replica set.
type Replica struct {
	ID      ID
	Address string // peer address, host:port
}

// HardState is the term and vote that a replica must keep across restarts.
type HardState struct {
	Term uint64
	Vote ID
}

// Snapshot is the state of the replicated state machine up to Index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// MessageKind is the kind of a message between replicas.
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

// Message is a message from one replica to another. Index is the index before
// Entries in an append, the candidate's last index in a vote request, and the
// matched index in an append reply; a reply with Reject set carries the last
// index at which the logs may match.
type Message struct {
	Kind    MessageKind
	From    ID
	To      ID
	Term    uint64
	Index   uint64
	LogTerm uint64 // term of the entry at Index, in an append or vote request
	Entries []Entry
	Commit  uint64
	Reject  bool
	Round   uint64        // heartbeat round; the reply repeats it
	Piece   SnapshotChunk // in a snapshot chunk and its reply
	Wait    time.Duration // in a refused pre-vote: until the election under way should have ended
}

// SnapshotChunk is a part of a snapshot in transfer; in a reply, Offset is the
// number of bytes received.
type SnapshotChunk struct {
	Index  uint64
	Term   uint64
	Config Config
	Offset uint64
	Total  uint64
	Data   []byte
}

// Role is the role of a replica in its term.
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

// Settings holds the timings and limits of a replica.
type Settings struct {
	ID                ID
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // a random timer lasts between this and twice this
	MaxBatchBytes     int           // bytes of entries in one message; a single larger entry is still sent
	ChunkBytes        int           // bytes of snapshot data in one message
	Seed              uint64        // for the random election timers
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

// IsVoter reports whether the replica is a voter.
func (c Config) IsVoter(id ID) bool { return containsReplica(c.Voters, id) }

// IsLearner reports whether the replica is a learner.
func (c Config) IsLearner(id ID) bool { return containsReplica(c.Learners, id) }

// Replicas returns all replicas, voters first.
func (c Config) Replicas() []Replica { return slices.Concat(c.Voters, c.Learners) }

func containsReplica(replicas []Replica, id ID) bool {
	return slices.ContainsFunc(replicas, func(r Replica) bool { return r.ID == id })
}

func withoutReplica(replicas []Replica, id ID) []Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r Replica) bool { return r.ID == id })
}

func (e Entry) size() int {
	const overhead = 64 // bytes of index, term, kind and framing
	return overhead + len(e.Data)
}
