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
	targetLearners = 2                       // replicas that can replace a voter at once; with the voters seven VMs, as many as a site may set aside for control
	maxAge         = 2 * time.Second         // of the last reply of a learner to be promoted, or of the join request of a VM that replaces a member
	maxJoinAge     = 5 * time.Second         // of a join request; one may be lost
	voterTimeout   = 2500 * time.Millisecond // leaves 1.5 s to promote a successor and remove the voter: a failed voter is replaced within 4 s
	learnerTimeout = 10 * time.Second        // of a learner without a reply
	changeInterval = 300 * time.Millisecond  // shortest time between two changes: a few rounds of replication
	settleTime     = time.Second             // after the first join request, until all control VMs of a new site have sent theirs
)

// Intervals at which control VMs send join requests; those of members tell a new
// leader where they are.
const (
	CheckInterval  = 300 * time.Millisecond // between two checks of the leader
	UrgentInterval = 500 * time.Millisecond // while the set is incomplete, or the VM's disk was replaced
	ReportInterval = 2 * time.Second        // otherwise
)

// Location is the failure domain and region of a control VM; the zero value is
// unknown.
type Location struct {
	Domain string
	Region string
}

// JoinRequest is the request of a control VM to join the replica set, or the report
// of a member of where it is.
type JoinRequest struct {
	Replica    quorum.Replica
	Location   Location
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

// State holds the join requests and the time of the last change.
type State struct {
	JoinRequests []JoinRequest // sorted by replica id

	locations    map[string]Location // by peer address
	firstJoinAt  time.Time
	lastChangeAt time.Time
}

// RecordJoin records a join request and drops those that are too old.
func (s *State) RecordJoin(replica quorum.Replica, location Location, now time.Time) {
	at, found := slices.BinarySearchFunc(s.JoinRequests, replica.ID, func(r JoinRequest, id quorum.ID) int {
		return cmp.Compare(r.Replica.ID, id)
	})
	if !found {
		s.JoinRequests = slices.Insert(s.JoinRequests, at, JoinRequest{})
	}
	s.JoinRequests[at] = JoinRequest{Replica: replica, Location: location, ReceivedAt: now}
	s.JoinRequests = slices.DeleteFunc(s.JoinRequests, func(r JoinRequest) bool { return now.Sub(r.ReceivedAt) > maxJoinAge })
	s.RecordLocation(replica.Address, location)
	if s.firstJoinAt.IsZero() {
		s.firstJoinAt = now
	}
}

// RecordLocation records where the control VM with a peer address is; an unknown
// location, as older versions send it, replaces none.
func (s *State) RecordLocation(address string, location Location) {
	if location == (Location{}) {
		return
	}
	if s.locations == nil {
		s.locations = make(map[string]Location)
	}
	s.locations[address] = location
}

// NextChange returns the next change of the replica set, or nil. Changes are made one
// at a time, and a voter's successor is promoted before the voter is removed.
//
// The voters are kept apart: as few as possible in one region, then in one failure
// domain. With five voters in three regions, or in two regions and a domain of a
// third, the loss of any one of them leaves a quorum.
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
	set := s.divide(members, now)
	if len(set.voters) > TargetVoters {
		if surplus := s.surplusVoter(set); surplus != nil {
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: surplus.Replica}
		}
		return nil
	}
	if promoted := s.nextVoter(set); promoted != nil {
		return &quorum.Change{Kind: quorum.ChangePromote, Replica: promoted.Replica}
	}
	for _, m := range set.learners {
		if now.Sub(m.LastReplyAt) > learnerTimeout {
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: m.Replica}
		}
	}
	return s.nextLearnerChange(set, now)
}

// replicas divides the members of the set by what they are used for.
type replicas struct {
	voters, learners []Member
	silent           []Member // voters that do not answer
	ready            []Member // learners that can be promoted
}

func (s *State) divide(members []Member, now time.Time) replicas {
	var set replicas
	for _, m := range members {
		silence := now.Sub(m.LastReplyAt)
		switch {
		case m.Voter:
			set.voters = append(set.voters, m)
			if !m.Self && silence > voterTimeout {
				set.silent = append(set.silent, m)
			}
		default:
			set.learners = append(set.learners, m)
			if m.CaughtUp && silence < maxAge {
				set.ready = append(set.ready, m)
			}
		}
	}
	return set
}

// surplusVoter returns the voter that the set needs least: a silent one, or else the
// one without which the others are farthest apart. The leader never removes itself.
func (s *State) surplusVoter(set replicas) *Member {
	candidates := set.silent
	if len(candidates) == 0 {
		candidates = set.voters
	}
	var surplus *Member
	var best spread
	for i, m := range candidates {
		if m.Self {
			continue
		}
		if without := s.spreadOf(without(set.voters, m)); surplus == nil || without.compare(best) < 0 {
			surplus, best = &candidates[i], without
		}
	}
	return surplus
}

// nextVoter returns the learner to promote: for a vacancy, for a silent voter, or to
// bring the voters farther apart in exchange for one of them.
func (s *State) nextVoter(set replicas) *Member {
	live := set.voters
	for _, m := range set.silent {
		live = without(live, m)
	}
	if len(set.voters) < TargetVoters || len(set.silent) > 0 {
		return s.farthest(set.ready, live)
	}
	present := s.spreadOf(set.voters)
	var promoted *Member
	for i, m := range set.ready {
		if exchanged, found := s.spreadAfterExchange(set.voters, m.Replica); found && exchanged.compare(present) < 0 {
			promoted, present = &set.ready[i], exchanged
		}
	}
	return promoted
}

// spreadAfterExchange returns the spread of the voters once the replica has replaced
// the one that it replaces best. It returns false for a replica at an unknown place.
func (s *State) spreadAfterExchange(voters []Member, replica quorum.Replica) (spread, bool) {
	if _, known := s.locations[replica.Address]; !known {
		return spread{}, false
	}
	var best spread
	found := false
	for _, m := range voters {
		if m.Self {
			continue
		}
		exchanged := s.spreadOf(append(without(voters, m), Member{Replica: replica}))
		if !found || exchanged.compare(best) < 0 {
			best, found = exchanged, true
		}
	}
	return best, found
}

// nextLearnerChange adds a learner where the set has too few, or where a VM outside
// the set would bring the voters farther apart than any learner, and removes one
// where it has too many.
func (s *State) nextLearnerChange(set replicas, now time.Time) *quorum.Change {
	var outside []Member
	for _, r := range s.JoinRequests {
		isMember := func(m Member) bool { return m.Replica.ID == r.Replica.ID }
		if now.Sub(r.ReceivedAt) < maxJoinAge && !slices.ContainsFunc(set.voters, isMember) && !slices.ContainsFunc(set.learners, isMember) {
			outside = append(outside, Member{Replica: r.Replica})
		}
	}
	vacancies := max(0, TargetVoters-len(set.voters)) + targetLearners - len(set.learners)
	var added *Member
	switch {
	case now.Sub(s.firstJoinAt) < settleTime:
		return nil
	case vacancies > 0:
		added = s.farthest(outside, slices.Concat(set.voters, set.learners))
	case len(set.ready) == len(set.learners):
		added = s.betterVoter(outside, set)
	}
	switch {
	case added != nil:
		return &quorum.Change{Kind: quorum.ChangeAdd, Replica: added.Replica}
	case vacancies < 0 && len(set.ready) == len(set.learners):
		return &quorum.Change{Kind: quorum.ChangeRemove, Replica: s.surplusLearner(set).Replica}
	default:
		return nil
	}
}

// betterVoter returns the VM outside the set that would bring the voters farther
// apart, if there is one; as nextVoter promoted none, no learner would.
func (s *State) betterVoter(outside []Member, set replicas) *Member {
	present := s.spreadOf(set.voters)
	var better *Member
	for i, m := range outside {
		if exchanged, found := s.spreadAfterExchange(set.voters, m.Replica); found && exchanged.compare(present) < 0 {
			better, present = &outside[i], exchanged
		}
	}
	return better
}

// surplusLearner returns the learner without which the set is farthest apart.
func (s *State) surplusLearner(set replicas) Member {
	all := slices.Concat(set.voters, set.learners)
	return slices.MinFunc(set.learners, func(a, b Member) int {
		return cmp.Or(s.spreadOf(without(all, a)).compare(s.spreadOf(without(all, b))), cmp.Compare(b.Replica.ID, a.Replica.ID))
	})
}

// farthest returns the candidate with which the others are farthest apart, or nil
// without candidates.
func (s *State) farthest(candidates, others []Member) *Member {
	var chosen *Member
	var best spread
	for i, m := range candidates {
		if with := s.spreadOf(append(slices.Clone(others), m)); chosen == nil || with.compare(best) < 0 {
			chosen, best = &candidates[i], with
		}
	}
	return chosen
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

func without(members []Member, removed Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Replica.ID == removed.Replica.ID })
}

// spread measures how close together replicas are; lower is better. Each field is the
// number of pairs of replicas that share a place, which falls with every exchange
// that brings replicas apart, where the highest count of a place may stay the same.
type spread struct {
	regionPairs int
	domainPairs int
}

// spreadOf counts the pairs of replicas in one region and in one failure domain.
// Replicas at unknown places count in none.
func (s *State) spreadOf(members []Member) spread {
	regions, domains := make(map[string]int), make(map[string]int)
	var result spread
	for _, m := range members {
		location, known := s.locations[m.Replica.Address]
		if !known {
			continue
		}
		result.regionPairs += regions[location.Region]
		result.domainPairs += domains[location.Domain]
		regions[location.Region]++
		domains[location.Domain]++
	}
	return result
}

func (s spread) compare(other spread) int {
	return cmp.Or(cmp.Compare(s.regionPairs, other.regionPairs), cmp.Compare(s.domainPairs, other.domainPairs))
}
