package replicaset

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

// replacement is a member whose VM holds another replica now, since its disk was lost; the
// member itself can never vote again.
type replacement struct {
	member    Member
	successor quorum.Replica
}

// successorOf returns the replica that a VM holds instead of the member, or nil. A member
// that has answered since the request came, or may still do so, was not replaced: the
// request is a late copy from before the member was added.
func (s *State) successorOf(m Member, now time.Time) *quorum.Replica {
	if m.Self {
		return nil
	}
	for i, r := range s.JoinRequests {
		if r.Replica.Address != m.Replica.Address || r.Replica.ID == m.Replica.ID {
			continue
		}
		if !m.LastReplyAt.Before(r.FirstAt) {
			s.JoinRequests[i].FirstAt = time.Time{}
			return nil
		}
		if now.Sub(r.FirstAt) >= replyTime && now.Sub(r.ReceivedAt) <= maxAge {
			return &r.Replica
		}
	}
	return nil
}

// nextReplacement returns the next change that puts a successor in the place of a replaced
// member, or nil. The successor is added first, so that it catches up meanwhile. A voter is
// removed only from an odd number of voters, where the majority stays as large: entries
// that the leader commits meanwhile survive as many lost disks as before, and the voters
// that are left suffice even if the successor is lost before it has the vote. From an even
// number, one is removed only where no learner is about to make it odd; there a silent
// voter goes too, which would else count in the majority without a successor.
func (s *State) nextReplacement(set replicas, now time.Time) *quorum.Change {
	members := slices.Concat(set.voters, set.learners)
	for _, r := range set.replaced {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Replica.ID == r.successor.ID }) {
			return &quorum.Change{Kind: quorum.ChangeAdd, Replica: r.successor}
		}
	}
	promotable := slices.ContainsFunc(set.learners, func(m Member) bool { return now.Sub(m.LastReplyAt) <= voterTimeout })
	for _, r := range set.replaced {
		if !r.member.Voter || len(set.voters)%2 == 1 || !promotable {
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: r.member.Replica}
		}
	}
	if len(set.voters)%2 == 0 && len(set.silent) > 0 && !promotable {
		return &quorum.Change{Kind: quorum.ChangeRemove, Replica: s.surplusVoter(set).Replica}
	}
	return nil
}
