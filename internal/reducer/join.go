package reducer

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/replicaset"
)

const joinInterval = 500 * time.Millisecond

// tickReplicaSet sends a join request from a control VM outside the replica
// set; on the leader it proposes the next change of the set.
func (s *State) tickReplicaSet() {
	if s.quorum == nil || !s.Settings.ManageReplicas || s.now.Before(s.joinDue) {
		return
	}
	s.joinDue = s.now.Add(joinInterval)
	if s.quorum.Role == quorum.RoleLeader {
		s.proposeReplicaChange()
		return
	}
	if s.isReplica() {
		return
	}
	join := Message{Join: &JoinRequest{Replica: quorum.Replica{ID: s.Settings.replica(), Address: s.Settings.Peer}}}
	if s.leader.Peer != "" && s.leader.Peer != s.Settings.Peer {
		s.transmit(s.leader.Peer, join)
		return
	}
	for _, seed := range s.Settings.Seeds {
		if seed != s.Settings.Peer {
			s.transmit(seed, join)
		}
	}
}

// isReplica reports whether the newest known replica set contains this VM's
// replica. The list from the leader takes precedence over the own log, which
// may end before the entry that removed the replica.
func (s *State) isReplica() bool {
	replicas := s.leader.Replicas
	if len(replicas) == 0 {
		replicas = s.quorum.Config().Replicas()
	}
	return slices.ContainsFunc(replicas, func(r quorum.Replica) bool { return r.ID == s.Settings.replica() })
}

func (s *State) receiveJoin(m Message) {
	if s.quorum != nil && s.quorum.Role == quorum.RoleLeader {
		s.replicaSet.RecordJoin(m.Join.Replica, s.now)
		return
	}
	if m.Hops < maxHops && s.leader.Peer != "" && s.leader.Peer != s.Settings.Peer {
		m.Hops++
		s.transmit(s.leader.Peer, m)
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
