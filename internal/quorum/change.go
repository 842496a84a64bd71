package quorum

import (
	"slices"
	"time"
)

// ChangeKind is the kind of a replica change.
type ChangeKind uint8

// The kinds of replica change; a new replica starts as a learner.
const (
	ChangeAdd ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change adds, promotes or removes one replica.
type Change struct {
	Kind    ChangeKind
	Replica Replica
}

// ProposeChange appends a new replica set. Only one change is made at a time, so
// that the majorities of successive sets overlap. A learner is promoted only when
// it holds every committed entry, so that losing another VM right after the
// promotion loses no entry.
func (s *State) ProposeChange(proposal uint64, change Change, now time.Time) []Effect {
	config, reason := s.nextConfig(change)
	if reason != 0 {
		s.emit(Refused{Proposal: proposal, Reason: reason})
		return s.takeEffects()
	}
	index := s.appendEntry(Entry{Kind: EntryConfig, Config: config})
	s.emit(Appended{Proposal: proposal, Index: index, Term: s.Hard.Term})
	s.trackPeers(now)
	s.replicateAll(now)
	s.advanceCommit(now)
	return s.takeEffects()
}

func (s *State) nextConfig(change Change) (Config, RefuseReason) {
	committedTerm, _ := s.log.term(s.Commit)
	switch {
	case s.Role != RoleLeader || s.diskFailed:
		return Config{}, RefuseNotLeader
	case s.configIndex > s.Commit || committedTerm != s.Hard.Term:
		return Config{}, RefuseConfigPending
	}
	next := s.config.clone()
	id := change.Replica.ID
	switch change.Kind {
	case ChangeAdd:
		if next.IsVoter(id) || next.IsLearner(id) {
			return Config{}, RefuseConfigInvalid
		}
		next.Learners = append(next.Learners, change.Replica)
	case ChangePromote:
		return s.promote(next, id)
	case ChangeRemove:
		if !next.IsVoter(id) && !next.IsLearner(id) || len(next.Voters) == 1 && next.IsVoter(id) {
			return Config{}, RefuseConfigInvalid
		}
		next.Voters = withoutReplica(next.Voters, id)
		next.Learners = withoutReplica(next.Learners, id)
	default:
		return Config{}, RefuseConfigInvalid
	}
	return next, 0
}

func (s *State) promote(next Config, id ID) (Config, RefuseReason) {
	at := slices.IndexFunc(next.Learners, func(r Replica) bool { return r.ID == id })
	if at < 0 {
		return Config{}, RefuseConfigInvalid
	}
	if p := s.peers[id]; p == nil || p.matchIndex < s.Commit {
		return Config{}, RefuseNotCaughtUp
	}
	next.Voters = append(next.Voters, next.Learners[at])
	next.Learners = withoutReplica(next.Learners, id)
	return next, 0
}

// LastReplyAt returns when the leader last got a reply from a replica, or else when
// it began to track the replica; the zero time when it never tracked it.
func (s *State) LastReplyAt(id ID) time.Time {
	if p := s.peers[id]; p != nil {
		return p.lastReplyAt
	}
	return time.Time{}
}

// CaughtUp reports whether a learner holds every committed entry.
func (s *State) CaughtUp(id ID) bool {
	p := s.peers[id]
	return s.Role == RoleLeader && p != nil && p.matchIndex >= s.Commit
}
