package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is one replica. Its methods are the events; each returns the effects.
type State struct {
	Settings Settings
	Role     Role
	Leader   ID
	Hard     HardState
	Commit   uint64
	Applied  uint64

	log         log
	config      Config
	configIndex uint64
	random      *rand.Rand
	effects     []Effect
	faults      faults

	saveSequence uint64
	savedIndex   uint64 // highest index known to be synced here
	unsaved      []pendingSave
	diskFailed   bool

	heardLeader  time.Time
	electionDue  time.Time
	heartbeatDue time.Time
	votes        map[ID]bool
	peers        map[ID]*progress
	round        uint64
	reads        []pendingRead
	incoming     []byte // snapshot being received
	incomingAt   SnapshotChunk
}

// pendingSave remembers what a Save makes durable once it is confirmed.
type pendingSave struct {
	sequence  uint64
	lastIndex uint64
	lastTerm  uint64
	hard      HardState
}

// progress is what the leader knows of another replica.
type progress struct {
	match   uint64
	next    uint64
	heardAt time.Time
	round   uint64
	flying  int    // messages with entries that are not answered yet
	piece   uint64 // next offset of the snapshot in transfer
	sending uint64 // index of the snapshot in transfer, 0 when none
	pieceAt time.Time
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// faults switches off single safety rules; only tests set them.
type faults struct {
	voteWithoutCompare bool
	ackBeforeSave      bool
	commitBeforeQuorum bool
	commitOldTerms     bool
	forgetVote         bool
}

// DurableState is what a replica finds on its disk.
type DurableState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// ApplySave adds what a Save makes durable.
func (r *DurableState) ApplySave(save Save) {
	r.Hard = save.Hard
	if save.Snapshot != nil {
		r.Snapshot = *save.Snapshot
		r.Entries = slices.Clone(save.Entries)
		return
	}
	r.AppendEntries(save.Entries)
}

// AppendEntries replaces the log from the first entry's index on. It returns false
// when the entries do not follow those held.
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

// New builds a replica from what its disk holds; a first start passes a
// snapshot at index 0 that holds the first set of replicas.
func New(settings Settings, restart DurableState, now time.Time) *State {
	seed := settings.Seed
	s := &State{
		Settings: settings,
		Hard:     restart.Hard,
		log:      log{snapshot: restart.Snapshot, entries: restart.Entries},
		random:   rand.New(rand.NewPCG(xxhash.Sum64String(string(settings.ID)), seed)),
		Commit:   restart.Snapshot.Index,
		Applied:  restart.Snapshot.Index,
		peers:    make(map[ID]*progress),
	}
	s.savedIndex = s.log.last()
	s.config, s.configIndex = s.log.config(s.log.last())
	s.soonElection(now)
	return s
}

// soonElection is for a replica without a leader, at its start and after an
// election that nobody won. A live leader makes itself heard within its heartbeat,
// and a pre-vote does not disturb it. The spread is several rounds of votes wide,
// so that two candidates rarely meet.
func (s *State) soonElection(now time.Time) {
	const spread = 2
	base := 2 * s.Settings.HeartbeatInterval
	s.electionDue = now.Add(base + time.Duration(s.random.Int64N(int64(spread*base))))
}

// Config returns the replica set in use, which may not be committed yet.
func (s *State) Config() Config { return s.config }

// LastIndex returns the index of the newest entry held.
func (s *State) LastIndex() uint64 { return s.log.last() }

// SnapshotIndex returns the index up to which the log is compacted.
func (s *State) SnapshotIndex() uint64 { return s.log.snapshot.Index }

// TermAt returns the term of an entry still held, else 0.
func (s *State) TermAt(index uint64) uint64 {
	term, _ := s.log.term(index)
	return term
}

func (s *State) take() []Effect {
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

// save makes the hard state and entries durable; the messages in then leave
// only afterwards.
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
	pending := pendingSave{sequence: s.saveSequence, hard: s.Hard}
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		pending.lastIndex, pending.lastTerm = last.Index, last.Term
	}
	s.unsaved = append(s.unsaved, pending)
	if s.faults.ackBeforeSave {
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

// Saved tells that all saves up to the sequence are on disk and synced.
func (s *State) Saved(sequence uint64, now time.Time) []Effect {
	done := 0
	for _, pending := range s.unsaved {
		if pending.sequence > sequence {
			break
		}
		done++
		if term, held := s.log.term(pending.lastIndex); held && term == pending.lastTerm {
			s.savedIndex = max(s.savedIndex, pending.lastIndex)
		}
		ownVote := pending.hard == s.Hard && s.Hard.Vote == s.Settings.ID
		if ownVote && s.Role == RoleCandidate {
			s.countVote(s.Settings.ID, true, now)
		}
	}
	s.unsaved = s.unsaved[done:]
	if s.Role == RoleLeader {
		s.advanceCommit()
	}
	return s.take()
}

// DiskFailed tells that a write or sync failed; the replica acknowledges
// nothing from then on and gives up leadership.
func (s *State) DiskFailed(now time.Time) []Effect {
	s.diskFailed = true
	if s.Role == RoleLeader {
		s.become(RoleFollower, "", now)
	}
	return s.take()
}

// DiskHealthy reports whether the replica's disk still works.
func (s *State) DiskHealthy() bool { return !s.diskFailed }

func (s *State) become(role Role, leader ID, now time.Time) {
	changed := s.Role != role || s.Leader != leader
	if s.Role == RoleLeader && role != RoleLeader {
		s.dropReads()
	}
	s.Role, s.Leader = role, leader
	if role != RoleLeader {
		s.resetElection(now)
	}
	if changed {
		s.emit(RoleChanged{Role: role, Term: s.Hard.Term, Leader: leader})
	}
}

func (s *State) dropReads() {
	for _, read := range s.reads {
		s.emit(Refused{Proposal: read.id, Reason: RefuseNotLeader})
	}
	s.reads = nil
}

func (s *State) resetElection(now time.Time) {
	base := s.Settings.ElectionTimeout
	s.electionDue = now.Add(base + time.Duration(s.random.Int64N(int64(base))))
}

// newTerm adopts a higher term without a vote.
func (s *State) newTerm(term uint64, now time.Time) {
	s.Hard = HardState{Term: term}
	s.become(RoleFollower, "", now)
}

// Tick drives elections, heartbeats and the leader's check of its quorum.
func (s *State) Tick(now time.Time) []Effect {
	if s.Role == RoleLeader {
		s.tickLeader(now)
		return s.take()
	}
	if !now.Before(s.electionDue) && s.config.IsVoter(s.Settings.ID) && !s.diskFailed {
		s.startPreVote(now)
	}
	return s.take()
}

func (s *State) tickLeader(now time.Time) {
	if !s.quorumHeard(now) {
		s.become(RoleFollower, "", now)
		return
	}
	if !now.Before(s.heartbeatDue) {
		s.heartbeat(now)
	}
}

// quorumHeard reports whether a majority answered within the election time.
func (s *State) quorumHeard(now time.Time) bool {
	heard := 0
	for _, voter := range s.config.Voters {
		if voter.ID == s.Settings.ID {
			heard++
			continue
		}
		if p := s.peers[voter.ID]; p != nil && now.Sub(p.heardAt) < s.Settings.ElectionTimeout {
			heard++
		}
	}
	return heard >= s.majority()
}

func (s *State) majority() int { return len(s.config.Voters)/2 + 1 }

// Receive handles a message from another replica.
func (s *State) Receive(m Message, now time.Time) []Effect {
	if m.Kind == MessagePreVote {
		s.onPreVote(m, now)
		return s.take()
	}
	if m.Kind == MessageVote && s.leaderFresh(now) {
		// A live leader is not disturbed by a replica that lost sight of it.
		return nil
	}
	if m.Term > s.Hard.Term && m.Kind != MessagePreVoteReply {
		s.newTerm(m.Term, now)
	}
	if m.Kind == MessagePreVoteReply && m.Reject && m.Term > s.Hard.Term {
		s.newTerm(m.Term, now)
	}
	s.dispatch(m, now)
	return s.take()
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
		s.onPiece(m, now)
	case MessageSnapshotChunkReply:
		s.onPieceReply(m, now)
	}
}

// leaderFresh reports whether a leader was heard within the election time.
func (s *State) leaderFresh(now time.Time) bool {
	if s.Role == RoleLeader {
		return s.quorumHeard(now)
	}
	return s.Leader != "" && now.Sub(s.heardLeader) < s.Settings.ElectionTimeout
}
