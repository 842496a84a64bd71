package quorum

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is one thing that goes wrong.
type fault struct {
	kind   int
	target int
	other  int
	length int // hundreds of milliseconds until the next
}

const (
	faultCrash = iota
	faultRestart
	faultCut
	faultOneWay
	faultIsolate
	faultHeal
	faultLoss
	faultSlowDisk
	faultCompact
	faultReplace
	faultKinds
)

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			target: rapid.IntRange(0, 6).Draw(t, "target"),
			other:  rapid.IntRange(0, 6).Draw(t, "other"),
			length: rapid.IntRange(1, 15).Draw(t, "length"),
		}
	}), 3, 14).Draw(t, "faults")
}

func (c *cluster) suffer(f fault) {
	r := c.replicas[f.target%len(c.replicas)]
	other := c.replicas[f.other%len(c.replicas)]
	switch f.kind {
	case faultCrash:
		if r.up {
			c.crash(r)
		}
	case faultRestart:
		for _, down := range c.replicas {
			if !down.up {
				c.start(down)
			}
		}
	case faultCut:
		c.cuts[[2]ID{r.id, other.id}] = true
		c.cuts[[2]ID{other.id, r.id}] = true
	case faultOneWay:
		c.cuts[[2]ID{r.id, other.id}] = true
	case faultIsolate:
		for _, peer := range c.replicas {
			c.cuts[[2]ID{r.id, peer.id}] = true
			c.cuts[[2]ID{peer.id, r.id}] = true
		}
	case faultHeal:
		c.cuts = make(map[[2]ID]bool)
		c.loss = 0
	case faultLoss:
		c.loss = 0.2
	case faultSlowDisk:
		r.slow = 300 * time.Millisecond
	case faultCompact:
		c.compact(r)
	case faultReplace:
		c.replace(f)
	}
	c.work(time.Duration(f.length) * 100 * time.Millisecond)
}

func (c *cluster) compact(r *replica) {
	if !r.up {
		return
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		c.violate("snapshot: %v", err)
		return
	}
	c.effects(r, r.state.Compact(data, c.now))
}

// replace asks the leader for the next replica change that makes sense: promote
// a learner, add a new one, or remove a voter when there are many.
func (c *cluster) replace(f fault) {
	for _, leader := range c.replicas {
		if !leader.up || leader.state.Role != RoleLeader {
			continue
		}
		config := leader.state.Config()
		switch {
		case len(config.Learners) > 0:
			c.change(leader, Change{Kind: ChangePromote, Replica: config.Learners[0]})
		case len(config.Voters) > 3:
			c.change(leader, Change{Kind: ChangeRemove, Replica: config.Voters[f.other%len(config.Voters)]})
		case len(c.replicas) < 9:
			id := ID("n" + string(rune('0'+len(c.replicas))))
			c.add(id, Snapshot{Config: config.clone()})
			c.change(leader, Change{Kind: ChangeAdd, Replica: Replica{ID: id, Address: string(id)}})
		}
		return
	}
}

func (c *cluster) change(leader *replica, change Change) {
	c.effects(leader, leader.state.ProposeChange(c.open(&call{}), change, c.now))
}

func scenario(size int, seed uint64, list []fault, set faults, prepare func(*cluster)) *cluster {
	c := newCluster(size, seed, set)
	if prepare != nil {
		prepare(c)
	}
	c.work(3 * time.Second)
	for _, f := range list {
		c.suffer(f)
	}
	c.heal()
	c.checkHistory()
	return c
}

// TestSafetyUnderFaults drives 3, 5 and 7 replicas through random faults.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "replicas")
		seed := rapid.Uint64().Draw(t, "seed")
		c := scenario(size, seed, drawFaults(t), faults{}, nil)
		if len(c.violations) > 0 {
			t.Fatalf("violations:\n%s", strings.Join(c.violations, "\n"))
		}
	})
}

// harshFaults crash all replicas again and again between short works, the
// schedule under which each mutation shows.
func harshFaults(seed uint64) []fault {
	var list []fault
	for i := range 24 {
		kind := []int{faultIsolate, faultCrash, faultHeal, faultRestart, faultCut, faultCrash, faultRestart, faultLoss}[(uint64(i)*7+seed)%8]
		list = append(list, fault{kind: kind, target: int(seed) + i, other: i * 3, length: 2 + i%9})
	}
	return list
}

func slowDisks(c *cluster) {
	for _, r := range c.replicas {
		r.slow = 200 * time.Millisecond
	}
}

// TestMutationsAreFound proves the checks: each broken rule must show as a
// violation within a fixed set of seeds, and none without it.
func TestMutationsAreFound(t *testing.T) {
	const seeds = 60
	tests := map[string]struct {
		set     faults
		prepare func(*cluster)
		clean   bool
	}{
		"no mutation":             {clean: true},
		"no mutation, slow disks": {clean: true, prepare: slowDisks},
		"skip the sync":           {prepare: func(c *cluster) { c.skipSync = true }},
		"vote without comparing":  {set: faults{voteWithoutCompare: true}},
		"vote twice":              {set: faults{forgetVote: true}},
		"acknowledge before sync": {set: faults{ackBeforeSave: true}, prepare: slowDisks},
		"commit before quorum":    {set: faults{commitBeforeQuorum: true}},
		"send before claim":       {prepare: func(c *cluster) { c.eagerRun = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := ""
			for seed := uint64(1); seed <= seeds && found == ""; seed++ {
				c := scenario(3+2*int(seed%2), seed, harshFaults(seed), test.set, test.prepare)
				if len(c.violations) > 0 {
					found = c.violations[0]
				}
			}
			if test.clean && found != "" {
				t.Errorf("violation without a mutation: %s", found)
			}
			if !test.clean && found == "" {
				t.Errorf("mutation was not found in %d seeds", seeds)
			}
		})
	}
}
