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
	changeInterval = 100 * time.Millisecond  // shortest time between two changes: a round of replication
	replyTime      = 250 * time.Millisecond  // in which a member that is up answers a heartbeat of the leader
	settleTime     = time.Second             // after the first join request, until all control VMs of a new site have sent theirs
)

// Intervals at which control VMs send join requests; those of members tell a new
// leader where they are.
const (
	CheckInterval  = 100 * time.Millisecond // between two checks of the leader
	UrgentInterval = 500 * time.Millisecond // while the set is incomplete, or the VM's disk was replaced
	ReportInterval = 2 * time.Second        // otherwise
)

// candidateAge is the age up to which a join request shows that its VM is there: reports
// come at ReportInterval, and one may be delayed.
const candidateAge = ReportInterval + UrgentInterval

// lateJoinTime is how long the request of an earlier start counts as a late copy after
// one of a later start. After it, the clock of the VM may have been set back between them.
const lateJoinTime = ReportInterval + UrgentInterval

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
	Start      uint64 // incarnation of the VM, which rises with each start; 0 from older versions
	Location   Location
	ReceivedAt time.Time // when the latest request arrived
	FirstAt    time.Time // when the first one did since a member at the address last replied; zero for none
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
	JoinRequests []JoinRequest // by address, one of each

	locations    map[string]Location // by peer address
	firstJoinAt  time.Time
	lastChangeAt time.Time
}

// BeginTerm drops the requests that an earlier term of this leader left: the times of replies
// start anew with a term, so that they can't be compared.
func (s *State) BeginTerm() { s.JoinRequests = nil }

// RecordJoin records a join request and drops those that are too old. A VM holds one
// replica at a time: its request replaces that of an earlier start at the same address. A
// late copy from an earlier start is ignored as long as the later start sends its own.
func (s *State) RecordJoin(request JoinRequest, now time.Time) {
	request.FirstAt, request.ReceivedAt = now, now
	s.JoinRequests = slices.DeleteFunc(s.JoinRequests, func(r JoinRequest) bool { return now.Sub(r.ReceivedAt) > maxJoinAge })
	at, found := slices.BinarySearchFunc(s.JoinRequests, request.Replica.Address, func(r JoinRequest, address string) int {
		return cmp.Compare(r.Replica.Address, address)
	})
	switch {
	case !found:
		s.JoinRequests = slices.Insert(s.JoinRequests, at, request)
	case request.Start < s.JoinRequests[at].Start && now.Sub(s.JoinRequests[at].ReceivedAt) < lateJoinTime:
		return
	default:
		if held := s.JoinRequests[at]; held.Replica.ID == request.Replica.ID && !held.FirstAt.IsZero() {
			request.FirstAt = held.FirstAt
		}
		s.JoinRequests[at] = request
	}
	s.RecordLocation(request.Replica.Address, request.Location)
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
// at a time. The successor of a silent voter is promoted before that is removed; for
// voters whose disk was lost see nextReplacement.
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
	set := s.divide(members, now)
	if change := s.nextReplacement(set, now); change != nil {
		return change
	}
	if len(set.voters) > TargetVoters {
		if surplus := s.surplusVoter(set); surplus != nil {
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: surplus.Replica}
		}
		return nil
	}
	if promoted := s.nextVoter(set); promoted != nil {
		return &quorum.Change{Kind: quorum.ChangePromote, Replica: promoted.Replica}
	}
	outside := s.outside(set, now)
	for _, m := range set.learners {
		silence := now.Sub(m.LastReplyAt)
		if silence > learnerTimeout || silence > voterTimeout && len(outside) > 0 {
			return &quorum.Change{Kind: quorum.ChangeRemove, Replica: m.Replica}
		}
	}
	return s.nextLearnerChange(set, outside, now)
}

// outside returns the VMs that ask to join. VMs are told apart by address: where a member
// has the address, another replica either is in nextReplacement or is gone.
func (s *State) outside(set replicas, now time.Time) []Member {
	members := slices.Concat(set.voters, set.learners)
	var outside []Member
	for _, r := range s.JoinRequests {
		isMember := func(m Member) bool { return m.Replica.Address == r.Replica.Address }
		if now.Sub(r.ReceivedAt) < candidateAge && !slices.ContainsFunc(members, isMember) {
			outside = append(outside, Member{Replica: r.Replica})
		}
	}
	return outside
}

// replicas divides the members of the set by what they are used for.
type replicas struct {
	voters, learners []Member
	silent           []Member // voters that do not answer
	ready            []Member // learners that can be promoted
	replaced         []replacement
}

func (s *State) divide(members []Member, now time.Time) replicas {
	var set replicas
	for _, m := range members {
		silence := now.Sub(m.LastReplyAt)
		successor := s.successorOf(m, now)
		if successor != nil {
			set.replaced = append(set.replaced, replacement{m, *successor})
		}
		switch {
		case m.Voter:
			set.voters = append(set.voters, m)
			if !m.Self && silence > voterTimeout || successor != nil {
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
func (s *State) nextLearnerChange(set replicas, outside []Member, now time.Time) *quorum.Change {
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
