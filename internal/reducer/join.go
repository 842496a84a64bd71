package reducer

import (
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/replicaset"
)

// tickReplicaSet sends join requests from a control VM: one outside the replica set
// asks to be added, a member tells the leader where it is. On the leader it proposes
// the next change of the set.
func (s *State) tickReplicaSet() {
	if s.quorum == nil || !s.Settings.ManageReplicas || s.now.Before(s.joinDue) {
		return
	}
	if s.quorum.Role == quorum.RoleLeader {
		s.joinDue = s.now.Add(replicaset.CheckInterval)
		s.replicaSet.RecordLocation(s.Settings.Peer, s.location())
		s.proposeReplicaChange()
		return
	}
	s.joinDue = s.now.Add(replicaset.ReportInterval)
	urgent := s.joinIsUrgent()
	if urgent {
		s.joinDue = s.now.Add(replicaset.UrgentInterval)
	}
	join := Message{Join: &JoinRequest{
		Replica: quorum.Replica{ID: s.Settings.replica(), Address: s.Settings.Peer},
		Start:   s.Settings.Incarnation,
		Domain:  s.Settings.Domain,
		Region:  s.Settings.Region,
	}}
	leader := s.leaderPeer()
	if leader != "" && leader != s.Settings.Peer {
		s.transmit(leader, join)
		if !urgent {
			return
		}
	}
	// The leader that this VM knows of may be gone; the others know its successor first.
	for _, seed := range s.Settings.Seeds {
		if seed != s.Settings.Peer && seed != leader {
			s.transmit(seed, join)
		}
	}
}

// leaderPeer returns the peer address of the leader, or "". The own replica knows of a new
// leader before gossip does.
func (s *State) leaderPeer() string {
	if s.quorum != nil && s.quorum.Leader != "" {
		if peer := s.peerOf(s.quorum.Leader); peer != "" {
			return peer
		}
	}
	return s.leader.Peer
}

func (s *State) location() replicaset.Location {
	return replicaset.Location{Domain: s.Settings.Domain, Region: s.Settings.Region}
}

// joinIsUrgent reports whether the set lacks replicas, or still names the one that
// this VM held before it lost its disk.
func (s *State) joinIsUrgent() bool {
	replicas := s.knownReplicas()
	for _, r := range replicas {
		if r.Address == s.Settings.Peer {
			return r.ID != s.Settings.replica()
		}
	}
	return len(replicas) < replicaset.TargetVoters
}

// knownReplicas returns the newest known replica set. The list from the leader takes
// precedence over the own log, which may end before the entry that removed a replica.
func (s *State) knownReplicas() []quorum.Replica {
	if len(s.leader.Replicas) > 0 {
		return s.leader.Replicas
	}
	return s.quorum.Config().Replicas()
}

func (s *State) receiveJoin(m Message) {
	if s.quorum != nil && s.quorum.Role == quorum.RoleLeader {
		s.replicaSet.RecordJoin(replicaset.JoinRequest{
			Replica:  m.Join.Replica,
			Start:    m.Join.Start,
			Location: replicaset.Location{Domain: m.Join.Domain, Region: m.Join.Region},
		}, s.now)
		return
	}
	if leader := s.leaderPeer(); m.Hops < maxHops && leader != "" && leader != s.Settings.Peer {
		m.Hops++
		s.transmit(leader, m)
	}
}

func (s *State) proposeReplicaChange() {
	config := s.quorum.Config()
	var members []replicaset.Member
	for _, replica := range config.Replicas() {
		members = append(members, replicaset.Member{
			Replica:     replica,
			Voter:       config.IsVoter(replica.ID),
			Self:        replica.ID == s.Settings.replica(),
			CaughtUp:    s.quorum.CaughtUp(replica.ID),
			LastReplyAt: s.quorum.LastReplyAt(replica.ID),
		})
	}
	change := s.replicaSet.NextChange(members, s.now)
	if change == nil {
		return
	}
	kinds := map[quorum.ChangeKind]string{quorum.ChangeAdd: "add", quorum.ChangePromote: "promote", quorum.ChangeRemove: "remove"}
	s.emit(Decision{Code: CodeReplicaChangeProposed, Outcome: kinds[change.Kind], Fields: []Field{
		{"replica", string(change.Replica.ID)},
		{"voters", int64(len(config.Voters))},
		{"learners", int64(len(config.Learners))},
		{"term", int64(s.quorum.Hard.Term)},
	}})
	// No caller waits for the result; the next check sees whether the change was
	// made.
	s.applyQuorumEffects(s.quorum.ProposeChange(0, *change, s.now))
}
