package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state machine of one replica. Its event methods return the
// effects that the caller must carry out.
type State struct {
	Settings Settings
	Role     Role
	Leader   ID // empty when unknown
	Hard     HardState
	Commit   uint64 // highest index known to be committed
	Applied  uint64 // highest index passed on through Apply or Restore

	log         log
	config      Config
	configIndex uint64 // of the entry or snapshot that holds config
	random      *rand.Rand
	effects     []Effect
	mutations   mutations

	saveSequence uint64
	savedIndex   uint64 // highest index synced on this replica
	pendingSaves []pendingSave
	syncTime     time.Duration // that saves took lately
	diskFailed   bool

	leaderMessageAt time.Time // when the last message of a leader arrived
	electionDue     time.Time
	heldUntil       time.Time // while an election that another replica knows of is under way
	heartbeatDue    time.Time
	votes           map[ID]bool // of the running pre-vote or election; false for a rejection
	peers           map[ID]*progress
	round           uint64 // last heartbeat round that this leader started
	reads           []pendingRead
	incomingData    []byte // data of the snapshot being received
	incomingChunk   SnapshotChunk
}

// pendingSave is a Save that is not confirmed yet.
type pendingSave struct {
	sequence  uint64
	lastIndex uint64
	lastTerm  uint64
	hard      HardState
	snapshot  bool      // it replaces the log
	since     time.Time // first tick after it was emitted
}

// progress is what the leader knows of the log of another replica.
type progress struct {
	matchIndex     uint64
	nextIndex      uint64
	lastReplyAt    time.Time
	confirmedRound uint64 // highest heartbeat round it replied to
	inFlight       int    // messages with entries that are not answered yet
	sent           []sentAppend
	firstSent      uint64 // lowest index whose entry was sent to the peer in this term
	probing        bool   // entries are held back until a message of probeRound or later is answered
	probeRound     uint64
	chunkOffset    uint64 // next offset of the snapshot in transfer
	snapshotIndex  uint64 // index of the snapshot in transfer, 0 when none
	chunkSentAt    time.Time
	chunkRound     uint64 // heartbeat round in which the chunk was sent
}

// sentAppend is a message with entries that the peer has not matched yet.
type sentAppend struct {
	lastIndex uint64
	bytes     int
}

// pendingRead is a read that waits until a quorum confirms its heartbeat round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// mutations switches off single safety rules; only tests set it.
type mutations struct {
	voteWithoutLogCheck bool
	ackBeforeSave       bool
	commitBeforeQuorum  bool
	commitOldTerms      bool
	voteTwice           bool
}

// DurableState is the state of a replica on its disk.
type DurableState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// ApplySave applies the writes of a Save.
func (r *DurableState) ApplySave(save Save) {
	r.Hard = save.Hard
	if save.Snapshot != nil {
		r.Snapshot = *save.Snapshot
		r.Entries = slices.Clone(save.Entries)
		return
	}
	r.AppendEntries(save.Entries)
}

// AppendEntries replaces the log from the first entry's index on. It returns
// false when the entries leave a gap after those held.
func (r *DurableState) AppendEntries(entries []Entry) bool {
	for _, entry := range entries {
		if entry.Index <= r.Snapshot.Index {
			continue
		}
		at := entry.Index - r.Snapshot.Index - 1
		if at > uint64(len(r.Entries)) {
			return false
		}
		r.Entries = append(r.Entries[:at], entry)
	}
	return true
}

// New returns a replica that starts from its durable state. At a first start,
// this is a snapshot at index 0 with the first replica set.
func New(settings Settings, stored DurableState, now time.Time) *State {
	seed := settings.Seed
	s := &State{
		Settings: settings,
		Hard:     stored.Hard,
		log:      log{snapshot: stored.Snapshot, entries: stored.Entries},
		random:   rand.New(rand.NewPCG(xxhash.Sum64String(string(settings.ID)), seed)),
		Commit:   stored.Snapshot.Index,
		Applied:  stored.Snapshot.Index,
		peers:    make(map[ID]*progress),
	}
	s.savedIndex = s.log.lastIndex()
	s.config, s.configIndex = s.log.configAt(s.log.lastIndex())
	s.scheduleEarlyElection(now)
	return s
}

// scheduleEarlyElection sets a short election timer for a replica without a
// leader: at its start, and around a pre-vote of its own or of another replica.
// A live leader sends a heartbeat before the timer ends, and a pre-vote doesn't
// disturb it. The jitter spans several rounds of votes, so that two candidates
// rarely collide.
func (s *State) scheduleEarlyElection(now time.Time) {
	const jitter = 2 // times the shortest wait
	base := 2 * s.Settings.HeartbeatInterval
	s.electionDue = now.Add(base + time.Duration(s.random.Int64N(int64(jitter*base))))
}

// Config returns the replica set in use, which may not be committed yet.
func (s *State) Config() Config { return s.config }

// LastIndex returns the index of the newest entry.
func (s *State) LastIndex() uint64 { return s.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (s *State) SnapshotIndex() uint64 { return s.log.snapshot.Index }

// TermAt returns the term at the index, or 0 when the log does not hold it.
func (s *State) TermAt(index uint64) uint64 {
	term, _ := s.log.term(index)
	return term
}

func (s *State) takeEffects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *State) send(message Message) {
	message.From = s.Settings.ID
	if message.Term == 0 {
		message.Term = s.Hard.Term
	}
	s.emit(Send{Message: message})
}

// save emits a Save of the hard state, entries and snapshot; the messages in then
// are sent only after its sync.
func (s *State) save(entries []Entry, snapshot *Snapshot, then ...Message) {
	for i := range then {
		then[i].From = s.Settings.ID
		if then[i].Term == 0 {
			then[i].Term = s.Hard.Term
		}
	}
	if s.diskFailed {
		return
	}
	s.saveSequence++
	pending := pendingSave{sequence: s.saveSequence, hard: s.Hard, snapshot: snapshot != nil}
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		pending.lastIndex, pending.lastTerm = last.Index, last.Term
	}
	s.pendingSaves = append(s.pendingSaves, pending)
	if s.mutations.ackBeforeSave {
		for _, message := range then {
			s.emit(Send{Message: message})
		}
		then = nil
	}
	s.emit(Save{
		Sequence: s.saveSequence,
		Hard:     s.Hard,
		Entries:  slices.Clone(entries),
		Snapshot: snapshot,
		Then:     then,
	})
}

// Saved handles the confirmation that all saves up to the sequence are synced.
func (s *State) Saved(sequence uint64, now time.Time) []Effect {
	done := 0
	for _, pending := range s.pendingSaves {
		if pending.sequence > sequence {
			break
		}
		done++
		s.recordSyncTime(pending, now)
		if term, found := s.log.term(pending.lastIndex); found && term == pending.lastTerm {
			s.savedIndex = max(s.savedIndex, pending.lastIndex)
		}
		ownVote := pending.hard == s.Hard && s.Hard.Vote == s.Settings.ID
		if ownVote && s.Role == RoleCandidate {
			s.awaitVotes(now)
			s.countVote(s.Settings.ID, true, now)
		}
	}
	s.pendingSaves = s.pendingSaves[done:]
	if s.Role == RoleLeader {
		s.advanceCommit(now)
	}
	return s.takeEffects()
}

// DiskFailed handles a failed write or sync: from then on the replica
// acknowledges nothing, and a leader steps down.
func (s *State) DiskFailed(now time.Time) []Effect {
	s.diskFailed = true
	if s.Role == RoleLeader {
		s.become(RoleFollower, "", now)
	}
	return s.takeEffects()
}

// DiskHealthy reports whether no write or sync has failed.
func (s *State) DiskHealthy() bool { return !s.diskFailed }

func (s *State) become(role Role, leader ID, now time.Time) {
	changed := s.Role != role || s.Leader != leader
	if s.Role == RoleLeader && role != RoleLeader {
		s.refuseReads()
	}
	s.Role, s.Leader = role, leader
	if role != RoleLeader {
		s.resetElectionTimer(now)
	}
	if changed {
		s.emit(RoleChanged{Role: role, Term: s.Hard.Term, Leader: leader})
	}
}

func (s *State) refuseReads() {
	for _, read := range s.reads {
		s.emit(Refused{Proposal: read.id, Reason: RefuseNotLeader})
	}
	s.reads = nil
}

func (s *State) resetElectionTimer(now time.Time) {
	base := s.Settings.ElectionTimeout
	s.electionDue = now.Add(base + time.Duration(s.random.Int64N(int64(base))))
}

// adoptTerm adopts a higher term, with no vote cast in it yet.
func (s *State) adoptTerm(term uint64, now time.Time) {
	s.Hard = HardState{Term: term}
	s.become(RoleFollower, "", now)
}

// Tick handles the passing of time: elections, heartbeats and the leader's check
// that it still reaches a quorum.
func (s *State) Tick(now time.Time) []Effect {
	s.timeSaves(now)
	if s.Role == RoleLeader {
		s.tickLeader(now)
		return s.takeEffects()
	}
	if !now.Before(s.electionDue) && s.savesVote() {
		s.awaitVotes(now)
	}
	if !now.Before(s.electionDue) && s.config.IsVoter(s.Settings.ID) && !s.diskFailed {
		s.startPreVote(now)
	}
	return s.takeEffects()
}

func (s *State) tickLeader(now time.Time) {
	if !s.quorumActive(now) {
		s.become(RoleFollower, "", now)
		return
	}
	if !now.Before(s.heartbeatDue) {
		s.heartbeat(now)
	}
}

// quorumActive reports whether a majority, with this replica, answered within
// the election timeout.
func (s *State) quorumActive(now time.Time) bool {
	active := 0
	for _, voter := range s.config.Voters {
		if voter.ID == s.Settings.ID {
			active++
			continue
		}
		if p := s.peers[voter.ID]; p != nil && now.Sub(p.lastReplyAt) < s.Settings.ElectionTimeout {
			active++
		}
	}
	return active >= s.majority()
}

func (s *State) majority() int { return len(s.config.Voters)/2 + 1 }

// Receive handles a message from another replica. One that is for another replica than
// this one was sent to the address of a replica whose disk was lost; it is dropped.
func (s *State) Receive(m Message, now time.Time) []Effect {
	if m.To != s.Settings.ID {
		return nil
	}
	if m.Kind == MessagePreVote {
		s.onPreVote(m, now)
		return s.takeEffects()
	}
	if m.Kind == MessageVote && s.leaderActive(now) {
		// A replica that lost contact with a live leader must not depose it.
		return nil
	}
	if m.Term > s.Hard.Term && m.Kind != MessagePreVoteReply {
		s.adoptTerm(m.Term, now)
	}
	if m.Kind == MessagePreVoteReply && m.Reject && m.Term > s.Hard.Term {
		s.adoptTerm(m.Term, now)
	}
	s.dispatch(m, now)
	return s.takeEffects()
}

func (s *State) dispatch(m Message, now time.Time) {
	switch m.Kind {
	case MessagePreVoteReply:
		s.onPreVoteReply(m, now)
	case MessageVote:
		s.onVote(m, now)
	case MessageVoteReply:
		if m.Term == s.Hard.Term && s.Role == RoleCandidate {
			s.countVote(m.From, !m.Reject, now)
		}
	case MessageAppend:
		s.onAppend(m, now)
	case MessageAppendReply:
		s.onAppendReply(m, now)
	case MessageSnapshotChunk:
		s.onSnapshotChunk(m, now)
	case MessageSnapshotChunkReply:
		s.onSnapshotChunkReply(m, now)
	}
}

// leaderActive reports whether a leader sent a message within the election
// timeout; a leader checks its own quorum.
func (s *State) leaderActive(now time.Time) bool {
	if s.Role == RoleLeader {
		return s.quorumActive(now)
	}
	return s.Leader != "" && now.Sub(s.leaderMessageAt) < s.Settings.ElectionTimeout
}
