package replicaset

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

// Timings and limits of replica changes.
const (
	TargetVoters   = 5                       // a quorum is left after the loss of two
	maxAge         = 2 * time.Second         // of a join request, or of the last reply of a learner to be promoted; a VM repeats its join request twice a second
	voterTimeout   = 2500 * time.Millisecond // leaves 1.5 s to promote a successor and remove the voter: a failed voter is replaced within 4 s
	learnerTimeout = 10 * time.Second        // also for a join request that is not repeated
	changeInterval = 300 * time.Millisecond  // shortest time between two changes: a few rounds of replication
)

// JoinRequest is the request of a control VM to join the replica set.
type JoinRequest struct {
	Replica    quorum.Replica
	ReceivedAt time.Time // when the latest request arrived
}

// Member is a replica of the current set as the leader sees it.
type Member struct {
	Replica     quorum.Replica
	Voter       bool
	Self        bool      // the leader itself
	CaughtUp    bool      // holds every committed entry
	LastReplyAt time.Time // of its last reply to the leader
}

// State holds the open join requests and the time of the last change.
type State struct {
	JoinRequests []JoinRequest // sorted by replica id

	lastChangeAt time.Time
}

// RecordJoin records a join request and drops the requests that were not
// repeated within learnerTimeout.
func (s *State) RecordJoin(replica quorum.Replica, now time.Time) {
	at, found := slices.BinarySearchFunc(s.JoinRequests, replica.ID, func(r JoinRequest, id quorum.ID) int {
		return cmp.Compare(r.Replica.ID, id)
	})
	if !found {
		s.JoinRequests = slices.Insert(s.JoinRequests, at, JoinRequest{})
	}
	s.JoinRequests[at] = JoinRequest{Replica: replica, ReceivedAt: now}
	s.JoinRequests = slices.DeleteFunc(s.JoinRequests, func(r JoinRequest) bool { return now.Sub(r.ReceivedAt) > learnerTimeout })
}

// NextChange returns the next change of the replica set, or nil. Changes are made
// one at a time. A voter is removed only when its disk was replaced, or when it is
// silent and there are more than TargetVoters voters, as its successor votes by
// then.
func (s *State) NextChange(members []Member, now time.Time) *quorum.Change {
	if now.Sub(s.lastChangeAt) < changeInterval {
		return nil
	}
	change := s.nextChange(members, now)
	if change != nil {
		s.lastChangeAt = now
	}
	return change
}

func (s *State) nextChange(members []Member, now time.Time) *quorum.Change {
	if replaced := s.replacedMember(members, now); replaced != nil {
		return &quorum.Change{Kind: quorum.ChangeRemove, Replica: *replaced}
	}
	voters, silentVoter := 0, (*Member)(nil)
	for i, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if !m.Self && now.Sub(m.LastReplyAt) > voterTimeout {
			silentVoter = &members[i]
		}
	}
	if voters > TargetVoters && silentVoter != nil {
		return &quorum.Change{Kind: quorum.ChangeRemove, Replica: silentVoter.Replica}
	}
	for _, m := range members {
		if m.Voter {
			continue
		}
		switch silence := now.Sub(m.LastReplyAt); {
		case silence > learnerTimeout:
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: m.Replica}
		case m.CaughtUp && silence < maxAge && (voters < TargetVoters || silentVoter != nil && voters == TargetVoters):
			return &quorum.Change{Kind: quorum.ChangePromote, Replica: m.Replica}
		}
	}
	return s.newLearner(members, now)
}

// replacedMember returns a member whose address a VM with another replica id uses
// in a recent join request: the member's disk is lost, so it can never vote again.
func (s *State) replacedMember(members []Member, now time.Time) *quorum.Replica {
	for _, r := range s.JoinRequests {
		if now.Sub(r.ReceivedAt) > maxAge {
			continue
		}
		for _, m := range members {
			if m.Replica.Address == r.Replica.Address && m.Replica.ID != r.Replica.ID && !m.Self {
				return &m.Replica
			}
		}
	}
	return nil
}

// newLearner returns the addition of the first VM with a recent join request that
// is not a member yet, or nil.
func (s *State) newLearner(members []Member, now time.Time) *quorum.Change {
	for _, r := range s.JoinRequests {
		isMember := slices.ContainsFunc(members, func(m Member) bool { return m.Replica.ID == r.Replica.ID })
		if !isMember && now.Sub(r.ReceivedAt) < maxAge {
			return &quorum.Change{Kind: quorum.ChangeAdd, Replica: r.Replica}
		}
	}
	return nil
}
