package replicaset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

// site is a set of control VMs that send join requests to a leader. It applies the
// leader's changes at once; learners have caught up a second after they were added.
type site struct {
	state   State
	vms     []siteVM
	members []Member
	addedAt map[quorum.ID]time.Time
	leader  quorum.ID
	now     time.Time
	located bool // join requests tell where the VM is
}

type siteVM struct {
	id       quorum.ID
	address  string
	location Location
	down     bool
}

// newSite returns a site whose first voters are the given numbers of its VMs.
func newSite(regions, domains, perDomain int, seeds []int) *site {
	s := &site{addedAt: make(map[quorum.ID]time.Time), now: start, located: true}
	for r := range regions {
		for d := range domains {
			for n := range perDomain {
				id := fmt.Sprintf("r%d-d%d-%d", r, d, n)
				s.vms = append(s.vms, siteVM{id: quorum.ID(id), address: id, location: Location{Domain: fmt.Sprintf("r%d-d%d", r, d), Region: fmt.Sprintf("r%d", r)}})
			}
		}
	}
	for _, i := range seeds {
		s.members = append(s.members, Member{Replica: replica(string(s.vms[i].id), s.vms[i].address), Voter: true})
	}
	s.leader = s.members[0].Replica.ID
	return s
}

func (s *site) vm(id quorum.ID) *siteVM {
	i := slices.IndexFunc(s.vms, func(v siteVM) bool { return v.id == id })
	if i < 0 {
		return nil
	}
	return &s.vms[i]
}

func (s *site) voters() []Member {
	return slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return !m.Voter })
}

func (s *site) up(m Member) bool {
	vm := s.vm(m.Replica.ID)
	return vm != nil && !vm.down
}

// step lets half a second pass. A leader that is down is followed by a live voter,
// which knows no join requests yet.
func (s *site) step() {
	s.now = s.now.Add(500 * time.Millisecond)
	live := slices.DeleteFunc(s.voters(), func(m Member) bool { return !s.up(m) })
	if 2*len(live) <= len(s.voters()) {
		return
	}
	if vm := s.vm(s.leader); vm == nil || vm.down || !slices.ContainsFunc(live, func(m Member) bool { return m.Replica.ID == s.leader }) {
		s.leader, s.state = live[0].Replica.ID, State{}
	}
	for _, vm := range s.vms {
		if vm.down {
			continue
		}
		location := vm.location
		if !s.located {
			location = Location{}
		}
		s.state.RecordJoin(JoinRequest{Replica: replica(string(vm.id), vm.address), Location: location}, s.now)
	}
	for i, m := range s.members {
		s.members[i].Self = m.Replica.ID == s.leader
		if s.up(m) {
			s.members[i].LastReplyAt = s.now
		}
		s.members[i].CaughtUp = s.up(m) && s.now.Sub(s.addedAt[m.Replica.ID]) >= time.Second
	}
	s.apply(s.state.NextChange(s.members, s.now))
}

func (s *site) apply(change *quorum.Change) {
	if change == nil {
		return
	}
	i := slices.IndexFunc(s.members, func(m Member) bool { return m.Replica.ID == change.Replica.ID })
	switch change.Kind {
	case quorum.ChangeAdd:
		s.members = append(s.members, Member{Replica: change.Replica, LastReplyAt: s.now})
		s.addedAt[change.Replica.ID] = s.now
	case quorum.ChangePromote:
		s.members[i].Voter = true
	case quorum.ChangeRemove:
		s.members = slices.Delete(s.members, i, i+1)
	}
}

func (s *site) run(d time.Duration) {
	for range d / (500 * time.Millisecond) {
		s.step()
	}
}

// fatalLoss returns a failure domain or region whose loss leaves the voters without
// a quorum, or "".
func (s *site) fatalLoss() string {
	count := make(map[string]int)
	for _, m := range s.voters() {
		if vm := s.vm(m.Replica.ID); vm != nil {
			count[vm.location.Domain]++
			count[vm.location.Region]++
		}
	}
	for place, lost := range count {
		if 2*(len(s.voters())-lost) <= len(s.voters()) {
			return place
		}
	}
	return ""
}

var siteSizes = map[string]struct{ regions, domains, perDomain int }{
	"27 control VMs": {3, 3, 3},
	"9 control VMs":  {3, 3, 1},
	"6 control VMs":  {3, 2, 1},
}

// The seeds of a site may all be in one failure domain: losing it then takes the
// quorum, until the replica set has grown into other regions.
func TestVotersSurviveTheLossOfAnyDomainOrRegion(t *testing.T) {
	const limit = 7 * time.Second // after the start; callers come later
	for name, size := range siteSizes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				s := newSite(size.regions, size.domains, size.perDomain, []int{0, 1, 2})
				if seed > 0 {
					s = newSite(size.regions, size.domains, size.perDomain, rand.New(rand.NewPCG(seed, 0)).Perm(size.regions * size.domains * size.perDomain)[:3])
				}
				s.run(limit)
				if place := s.fatalLoss(); place != "" || len(s.voters()) != TargetVoters {
					t.Errorf("seed %d: %d voters, no quorum without %q: %+v", seed, len(s.voters()), place, s.members)
				}
			}
		})
	}
}

// Control VMs, failure domains and regions fail and return, and disks are replaced by
// empty ones, one loss after the other. Some seconds after each the voters must be
// apart again.
func TestVotersStayApartThroughLosses(t *testing.T) {
	const repairTime = 10 * time.Second // a silent voter counts for 2.5 s, a successor catches up in 1 s
	for name, size := range siteSizes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				if failure := playLosses(newSite(size.regions, size.domains, size.perDomain, []int{0, 1, 2}), seed, repairTime); failure != "" {
					t.Errorf("seed %d: %s", seed, failure)
				}
			}
		})
	}
}

// The losses must show a violation when the leader does not know where replicas are.
func TestLossesFindVotersAtUnknownPlaces(t *testing.T) {
	found := 0
	for seed := range uint64(30) {
		s := newSite(3, 3, 3, []int{0, 1, 2})
		s.located = false
		if playLosses(s, seed, 10*time.Second) != "" {
			found++
		}
	}
	if found < 25 {
		t.Errorf("%d of 30 schedules show voters that are not apart, want 25", found)
	}
}

// playLosses returns the first violation, or "".
func playLosses(s *site, seed uint64, repairTime time.Duration) string {
	random := rand.New(rand.NewPCG(seed, 1))
	s.run(repairTime)
	for round := range 12 {
		if place := s.fatalLoss(); place != "" {
			return fmt.Sprintf("round %d: no quorum without %q", round, place)
		}
		lost := s.vms[random.IntN(len(s.vms))].location
		kind := random.IntN(4)
		for i := range s.vms {
			vm := &s.vms[i]
			switch {
			case kind == 0 && vm.location.Region == lost.Region, kind == 1 && vm.location == lost:
				vm.down = true
			case kind == 2 && vm.location == lost && random.IntN(2) == 0: // an empty disk at the old address
				vm.id = quorum.ID(fmt.Sprint(vm.address, "/", round))
			}
		}
		if kind == 3 { // the VM of the oldest voter is replaced by an empty one at a new address
			vm := s.vm(s.voters()[0].Replica.ID)
			vm.address = fmt.Sprint(vm.address, "+", round)
			vm.id = quorum.ID(vm.address)
		}
		s.run(repairTime)
		for i := range s.vms {
			s.vms[i].down = false
		}
		s.run(repairTime)
		if len(s.voters()) != TargetVoters {
			return fmt.Sprintf("round %d: %d voters", round, len(s.voters()))
		}
		for _, m := range s.members {
			if s.vm(m.Replica.ID) == nil {
				return fmt.Sprintf("round %d: %s is a member and was replaced", round, m.Replica.ID)
			}
		}
	}
	return ""
}

// A site needs no more learners than can replace a voter at once: each costs the
// leader ten messages a second.
func TestLearnersAreFew(t *testing.T) {
	s := newSite(3, 3, 3, []int{0, 1, 2})
	for _, vm := range s.vms[3:] { // the set of a version that added all
		s.members = append(s.members, Member{Replica: replica(string(vm.id), vm.address)})
	}
	s.run(20 * time.Second)
	if learners := len(s.members) - len(s.voters()); learners != targetLearners {
		t.Errorf("%d learners, want %d", learners, targetLearners)
	}
}
