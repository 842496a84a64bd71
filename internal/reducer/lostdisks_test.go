package reducer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/virtual"
)

// lostDisks is a site of control VMs that manage their replica set.
type lostDisks struct {
	*session
	number uint64 // of the last edition that was acknowledged
}

// newLostDisks starts a site whose first voters are the first three VMs.
func newLostDisks(ids []string) *lostDisks {
	s := &lostDisks{session: &session{
		clock:        virtual.New(sessionStart),
		cuts:         make(map[string]bool),
		answers:      make(map[uint64]func(any)),
		warningsOnly: true,
	}}
	const first = 3
	var replicas []quorum.Replica
	for _, id := range ids[:first] {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(id), Address: id})
	}
	for i, id := range ids {
		s.addVM(id, true, replicas, ids[:first])
		vm := s.findVM(id)
		vm.settings.ManageReplicas = true
		if i >= first {
			s.loseDisk(vm, 0)
		}
		s.boot(vm)
	}
	s.run(7 * time.Second)
	return s
}

// loseDisk gives a VM that is down an empty disk, and so a new replica.
func (s *lostDisks) loseDisk(vm *sessionVM, round int) {
	vm.up = false
	vm.disk = &quorum.DurableState{}
	vm.settings.Replica = fmt.Sprintf("%s/%d", vm.settings.VM, round)
}

// replaceDisks starts VMs again on empty disks, at other addresses if moved.
func (s *lostDisks) replaceDisks(vms []*sessionVM, round int, downTime time.Duration, moved bool) {
	var seeds []string
	for _, vm := range s.vms {
		seeds = append(seeds, vm.settings.Peer)
	}
	for i, vm := range vms {
		s.loseDisk(vm, round)
		if moved {
			vm.settings.VM = fmt.Sprintf("%c-%d-%d", vm.settings.VM[0], round, i)
			vm.settings.Peer, vm.settings.Replica, vm.settings.Seeds = vm.settings.VM, vm.settings.VM+"/1", seeds
		}
	}
	s.run(downTime)
	for _, vm := range vms {
		s.boot(vm)
	}
}

func (s *lostDisks) leader() *sessionVM {
	var leader *sessionVM
	for _, vm := range s.vms {
		if vm.up && vm.state.quorum.Role == quorum.RoleLeader && (leader == nil || vm.state.quorum.Hard.Term > leader.state.quorum.Hard.Term) {
			leader = vm
		}
	}
	return leader
}

// acknowledge sends an edition until it is acknowledged, and returns whether it was.
func (s *lostDisks) acknowledge(limit time.Duration) bool {
	const attemptTimeout = time.Second
	number, done := s.number+1, false
	for deadline := s.now().Add(limit); !done && s.now().Before(deadline); {
		vm := s.leader()
		if vm == nil {
			s.run(sessionTick)
			continue
		}
		call := s.openCall(func(value any) {
			answer := value.(ProposalResult)
			done = done || answer.Refused == 0 && !answer.Lost
		})
		s.apply(vm, Propose{Call: call, Command: ledger.Command{Edition: &ledger.Edition{Number: number, Source: []byte(fmt.Sprint(number))}}})
		for attempt := s.now().Add(attemptTimeout); !done && s.now().Before(attempt); {
			s.run(time.Millisecond)
		}
	}
	if done {
		s.number = number
	}
	return done
}

// readBack reports whether a leader returns the edition acknowledged last within the limit.
func (s *lostDisks) readBack(limit time.Duration) bool {
	read := uint64(0)
	for deadline := s.now().Add(limit); read < s.number && s.now().Before(deadline); s.run(10 * sessionTick) {
		if vm := s.leader(); vm != nil {
			call := s.openCall(func(value any) {
				if answer := value.(ReadResult); answer.Refused == 0 {
					read = max(read, answer.Section.Version)
				}
			})
			s.apply(vm, ReadSection{Call: call, Section: ledger.EditionSection})
		}
	}
	return read >= s.number
}

// Control VMs that lost their disks in turn, each time once the last ones were back, ended the quorum.
func TestDisksLostInTurnKeepTheQuorum(t *testing.T) {
	const (
		downTime    = 400 * time.Millisecond
		catchUpTime = 4 * time.Second
		readLimit   = 15 * time.Second
		rounds      = 14
		seeds       = 8
	)
	three, six := []string{"a1", "b1", "c1"}, []string{"a1", "b1", "c1", "d1", "a2", "b2"}
	tests := map[string]struct {
		vms    []string
		lost   int  // disks at once
		leader bool // one of them is the leader's
		again  bool // they lose the new disks too, before they have caught up
		moved  bool // the VMs come back at other addresses
	}{
		"leader of three":              {vms: three, lost: 1, leader: true},
		"any one of three":             {vms: three, lost: 1},
		"leader of six and another":    {vms: six, lost: 2, leader: true},
		"any two of six":               {vms: six, lost: 2},
		"leader of nine and another":   {vms: append(slices.Clone(six), "c2", "d2", "a3"), lost: 2, leader: true},
		"leader of five and one other": {vms: six[:5], lost: 2, leader: true},
		"twice, any one of three":      {vms: three, lost: 1, again: true},
		"twice, any two of six":        {vms: six, lost: 2, again: true},
		"one of three moves":           {vms: three, lost: 1, moved: true},
		"two of six move":              {vms: six, lost: 2, moved: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s, random := newLostDisks(test.vms), rand.New(rand.NewPCG(seed, 0))
				for round := 1; round <= rounds; round++ {
					if !s.acknowledge(readLimit) {
						t.Errorf("seed %d, round %d: no change is acknowledged", seed, round)
						break
					}
					leader := s.leader()
					targets := slices.Clone(s.vms)
					random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
					if at := slices.Index(targets, leader); test.leader && leader != nil {
						targets[0], targets[at] = targets[at], targets[0]
					}
					s.replaceDisks(targets[:test.lost], round, downTime, test.moved)
					if test.again {
						s.run(time.Duration(random.IntN(1500)) * time.Millisecond)
						s.replaceDisks(targets[:test.lost], -round, downTime, false)
					}
					s.run(catchUpTime + time.Duration(random.IntN(300))*time.Millisecond)
					if !s.readBack(readLimit) {
						t.Errorf("seed %d, round %d: edition %d was acknowledged and can't be read back", seed, round, s.number)
						break
					}
				}
			}
		})
	}
}
