package reducer

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/seats"
)

const joinInterval = 500 * time.Millisecond

// tickSeats lets a control VM without a seat apply, and the leader decide.
func (s *State) tickSeats() {
	if s.quorum == nil || !s.Settings.ManageReplicas || s.now.Before(s.joinDue) {
		return
	}
	s.joinDue = s.now.Add(joinInterval)
	if s.quorum.Role == quorum.RoleLeader {
		s.decideSeats()
		return
	}
	if s.seated() {
		return
	}
	join := Message{Join: &Join{Replica: quorum.Replica{ID: s.Settings.replica(), Address: s.Settings.Peer}}}
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

// seated reports whether the newest known set holds this VM's replica. The
// leader's word goes before the own log, which may end before a removal.
func (s *State) seated() bool {
	members := s.leader.Replicas
	if len(members) == 0 {
		members = s.quorum.Config().Replicas()
	}
	return slices.ContainsFunc(members, func(r quorum.Replica) bool { return r.ID == s.Settings.replica() })
}

func (s *State) receiveJoin(m Message) {
	if s.quorum != nil && s.quorum.Role == quorum.RoleLeader {
		s.seats.RecordJoin(m.Join.Replica, s.now)
		return
	}
	if m.Hops < maxHops && s.leader.Peer != "" && s.leader.Peer != s.Settings.Peer {
		m.Hops++
		s.transmit(s.leader.Peer, m)
	}
}

func (s *State) decideSeats() {
	config := s.quorum.Config()
	var members []seats.Member
	for _, replica := range config.Replicas() {
		members = append(members, seats.Member{
			Replica:  replica,
			Voter:    config.IsVoter(replica.ID),
			Self:     replica.ID == s.Settings.replica(),
			CaughtUp: s.quorum.CaughtUp(replica.ID),
			HeardAt:  s.quorum.LastHeard(replica.ID),
		})
	}
	change := s.seats.NextChange(members, s.now)
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
	// No caller waits: the next look shows whether the change was made.
	s.fromQuorum(s.quorum.ProposeChange(0, *change, s.now))
}
