package quorum

// Effect is what the shell must do after an event, in the order returned.
type Effect interface{ quorumEffect() }

// Save writes to disk and syncs; only then are the Then messages sent and the
// replica is told through Saved.
type Save struct {
	Sequence uint64
	Hard     HardState
	Entries  []Entry   // replace the log from the first entry's index on
	Snapshot *Snapshot // when set, it and Entries replace everything saved before
	Then     []Message
}

// Send passes a message to another replica.
type Send struct{ Message Message }

// Apply hands a committed entry to the state machine, in rising order.
type Apply struct{ Entry Entry }

// Restore replaces the state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Appended tells which index a proposal took.
type Appended struct {
	Proposal uint64
	Index    uint64
	Term     uint64
}

// Refused tells that a proposal was not appended here.
type Refused struct {
	Proposal uint64
	Reason   RefuseReason
}

// ReadReady tells that the state machine may answer a read once it has applied
// Index.
type ReadReady struct {
	Read  uint64
	Index uint64
}

// RoleChanged tells of a change of role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID
}

func (Save) quorumEffect()        {}
func (Send) quorumEffect()        {}
func (Apply) quorumEffect()       {}
func (Restore) quorumEffect()     {}
func (Appended) quorumEffect()    {}
func (Refused) quorumEffect()     {}
func (ReadReady) quorumEffect()   {}
func (RoleChanged) quorumEffect() {}

// RefuseReason tells why a proposal or read was not taken.
type RefuseReason uint8

// The reasons.
const (
	RefuseNotLeader RefuseReason = iota + 1
	RefuseConfigPending
	RefuseConfigInvalid
	RefuseNotCaughtUp
	RefuseDiskFailed
)

// Error names the reason.
func (r RefuseReason) Error() string {
	switch r {
	case RefuseNotLeader:
		return "this replica is not the leader"
	case RefuseConfigPending:
		return "another replica change is in progress"
	case RefuseConfigInvalid:
		return "the replica change does not fit the present replicas"
	case RefuseNotCaughtUp:
		return "the replica has not caught up with the log"
	default:
		return "the disk of this replica failed"
	}
}
