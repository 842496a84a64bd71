package quorum

// Effect is an action for the caller after an event; actions are carried out in
// the order returned.
type Effect interface{ quorumEffect() }

// Save writes to disk and syncs. Only after the sync does the caller send the
// Then messages and call State.Saved with the sequence.
type Save struct {
	Sequence uint64
	Hard     HardState
	Entries  []Entry   // replace the stored log from the index of the first one
	Snapshot *Snapshot // when set, it and Entries replace everything saved before
	Then     []Message // sent after the sync
}

// Send sends a message to another replica.
type Send struct{ Message Message }

// Apply passes a committed entry to the replicated state machine, in order of
// the index.
type Apply struct{ Entry Entry }

// Restore replaces the replicated state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Appended reports the index and term of a proposal in the log.
type Appended struct {
	Proposal uint64
	Index    uint64
	Term     uint64
}

// Refused reports that a proposal or read was refused.
type Refused struct {
	Proposal uint64 // id of the proposal or read
	Reason   RefuseReason
}

// ReadReady reports that a read may be answered once the replicated state
// machine has applied Index.
type ReadReady struct {
	Read  uint64 // id of the read
	Index uint64
}

// RoleChanged reports a change of role or leader, with the current term.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID // empty when unknown
}

func (Save) quorumEffect()        {}
func (Send) quorumEffect()        {}
func (Apply) quorumEffect()       {}
func (Restore) quorumEffect()     {}
func (Appended) quorumEffect()    {}
func (Refused) quorumEffect()     {}
func (ReadReady) quorumEffect()   {}
func (RoleChanged) quorumEffect() {}

// RefuseReason is why a proposal or read was refused; 0 means it was not.
type RefuseReason uint8

// The reasons.
const (
	RefuseNotLeader RefuseReason = iota + 1
	RefuseConfigPending
	RefuseConfigInvalid
	RefuseNotCaughtUp
	RefuseDiskFailed
)

// Error returns the reason as text.
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
