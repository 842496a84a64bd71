package quorum

import (
	"slices"
	"time"
)

// ChangeKind tells how a replica change alters the set.
type ChangeKind uint8

// The kinds of replica change; a new replica is first a learner.
const (
	ChangeAdd ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change alters the set of replicas by one.
type Change struct {
	Kind    ChangeKind
	Replica Replica
}

// ProposeChange appends a new replica set. One change at a time keeps any two
// successive majorities overlapping; a learner is promoted only when it holds
// every committed entry, so losing another VM right after loses nothing.
func (s *State) ProposeChange(proposal uint64, change Change, now time.Time) []Effect {
	config, reason := s.nextConfig(change)
	if reason != 0 {
		s.emit(Refused{Proposal: proposal, Reason: reason})
		return s.take()
	}
	index := s.appendEntry(Entry{Kind: EntryConfig, Config: config})
	s.emit(Appended{Proposal: proposal, Index: index, Term: s.Hard.Term})
	s.ensurePeers(now)
	s.replicateAll(now)
	s.advanceCommit()
	return s.take()
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
		return s.promoted(next, id)
	case ChangeRemove:
		if !next.IsVoter(id) && !next.IsLearner(id) || len(next.Voters) == 1 && next.IsVoter(id) {
			return Config{}, RefuseConfigInvalid
		}
		next.Voters = without(next.Voters, id)
		next.Learners = without(next.Learners, id)
	default:
		return Config{}, RefuseConfigInvalid
	}
	return next, 0
}

func (s *State) promoted(next Config, id ID) (Config, RefuseReason) {
	at := slices.IndexFunc(next.Learners, func(r Replica) bool { return r.ID == id })
	if at < 0 {
		return Config{}, RefuseConfigInvalid
	}
	if p := s.peers[id]; p == nil || p.match < s.Commit {
		return Config{}, RefuseNotCaughtUp
	}
	next.Voters = append(next.Voters, next.Learners[at])
	next.Learners = without(next.Learners, id)
	return next, 0
}

// LastHeard returns when the leader last heard of a replica; the zero time means
// never in this term.
func (s *State) LastHeard(id ID) time.Time {
	if p := s.peers[id]; p != nil {
		return p.heardAt
	}
	return time.Time{}
}

// CaughtUp reports whether a learner holds every committed entry.
func (s *State) CaughtUp(id ID) bool {
	p := s.peers[id]
	return s.Role == RoleLeader && p != nil && p.match >= s.Commit
}
