package seats

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

// Timings and bounds.
const (
	TargetVoters   = 5                       // two may be lost at once
	applicantFresh = 2 * time.Second         // an applicant repeats itself twice a second
	silentVoter    = 2500 * time.Millisecond // leaves 1.5 s for both changes: a dead voter is out within 4 s
	silentLearner  = 10 * time.Second
	settleTime     = 300 * time.Millisecond // between two changes: a few rounds of replication
)

// JoinRequest is a control VM that wants to hold a replica.
type JoinRequest struct {
	Replica quorum.Replica
	HeardAt time.Time
}

// Member is a replica of the present set as the leader sees it.
type Member struct {
	Replica  quorum.Replica
	Voter    bool
	Self     bool
	CaughtUp bool
	HeardAt  time.Time
}

// State remembers who applied.
type State struct {
	JoinRequests []JoinRequest // by replica id

	changedAt time.Time
}

// RecordJoin notes an application.
func (s *State) RecordJoin(replica quorum.Replica, now time.Time) {
	at, found := slices.BinarySearchFunc(s.JoinRequests, replica.ID, func(a JoinRequest, id quorum.ID) int {
		return cmp.Compare(a.Replica.ID, id)
	})
	if !found {
		s.JoinRequests = slices.Insert(s.JoinRequests, at, JoinRequest{})
	}
	s.JoinRequests[at] = JoinRequest{Replica: replica, HeardAt: now}
	s.JoinRequests = slices.DeleteFunc(s.JoinRequests, func(a JoinRequest) bool { return now.Sub(a.HeardAt) > silentLearner })
}

// NextChange returns the next change of the replica set, or nil. One change is made
// at a time; none takes a vote from a live replica, but where a silent voter has
// a live successor.
func (s *State) NextChange(members []Member, now time.Time) *quorum.Change {
	if now.Sub(s.changedAt) < settleTime {
		return nil
	}
	change := s.decide(members, now)
	if change != nil {
		s.changedAt = now
	}
	return change
}

func (s *State) decide(members []Member, now time.Time) *quorum.Change {
	if replaced := s.replaced(members, now); replaced != nil {
		return &quorum.Change{Kind: quorum.ChangeRemove, Replica: *replaced}
	}
	voters, silent := 0, (*Member)(nil)
	for i, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if !m.Self && now.Sub(m.HeardAt) > silentVoter {
			silent = &members[i]
		}
	}
	if voters > TargetVoters && silent != nil {
		return &quorum.Change{Kind: quorum.ChangeRemove, Replica: silent.Replica}
	}
	for _, m := range members {
		if m.Voter {
			continue
		}
		switch quiet := now.Sub(m.HeardAt); {
		case quiet > silentLearner:
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: m.Replica}
		case m.CaughtUp && quiet < applicantFresh && (voters < TargetVoters || silent != nil && voters == TargetVoters):
			return &quorum.Change{Kind: quorum.ChangePromote, Replica: m.Replica}
		}
	}
	return s.newcomer(members, now)
}

// replaced returns a member whose address a live applicant with another id uses:
// its disk is gone, and it can never vote again.
func (s *State) replaced(members []Member, now time.Time) *quorum.Replica {
	for _, a := range s.JoinRequests {
		if now.Sub(a.HeardAt) > applicantFresh {
			continue
		}
		for _, m := range members {
			if m.Replica.Address == a.Replica.Address && m.Replica.ID != a.Replica.ID && !m.Self {
				return &m.Replica
			}
		}
	}
	return nil
}

func (s *State) newcomer(members []Member, now time.Time) *quorum.Change {
	for _, a := range s.JoinRequests {
		known := slices.ContainsFunc(members, func(m Member) bool { return m.Replica.ID == a.Replica.ID })
		if !known && now.Sub(a.HeardAt) < applicantFresh {
			return &quorum.Change{Kind: quorum.ChangeAdd, Replica: a.Replica}
		}
	}
	return nil
}
