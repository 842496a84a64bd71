package quorum

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is one injected fault.
type fault struct {
	kind   int
	target int // index of the replica, modulo their number
	other  int // index of a second replica, modulo their number
	pause  int // until the next fault, in hundreds of milliseconds
}

const (
	faultCrash = iota
	faultRestart
	faultCutLink
	faultCutOneWay
	faultIsolate
	faultHeal
	faultLoss
	faultSlowDisk
	faultCompact
	faultChangeReplicas
	faultKinds
)

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:   rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			target: rapid.IntRange(0, 6).Draw(t, "target"),
			other:  rapid.IntRange(0, 6).Draw(t, "other"),
			pause:  rapid.IntRange(1, 15).Draw(t, "length"),
		}
	}), 3, 14).Draw(t, "faults")
}

func (c *cluster) inject(f fault) {
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
	case faultCutLink:
		c.cutLinks[[2]ID{r.id, other.id}] = true
		c.cutLinks[[2]ID{other.id, r.id}] = true
	case faultCutOneWay:
		c.cutLinks[[2]ID{r.id, other.id}] = true
	case faultIsolate:
		for _, peer := range c.replicas {
			c.cutLinks[[2]ID{r.id, peer.id}] = true
			c.cutLinks[[2]ID{peer.id, r.id}] = true
		}
	case faultHeal:
		c.cutLinks = make(map[[2]ID]bool)
		c.lossRate = 0
	case faultLoss:
		c.lossRate = 0.2
	case faultSlowDisk:
		r.diskDelay = 300 * time.Millisecond
	case faultCompact:
		c.compact(r)
	case faultChangeReplicas:
		c.changeReplicas(f)
	}
	c.runClients(time.Duration(f.pause) * 100 * time.Millisecond)
}

func (c *cluster) compact(r *replica) {
	if !r.up {
		return
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		c.addViolation("snapshot: %v", err)
		return
	}
	c.runEffects(r, r.state.Compact(data, c.now))
}

// changeReplicas proposes one change at the leader: promote a learner, or remove a
// voter when there are more than three, or add a new replica.
func (c *cluster) changeReplicas(f fault) {
	for _, leader := range c.replicas {
		if !leader.up || leader.state.Role != RoleLeader {
			continue
		}
		config := leader.state.Config()
		switch {
		case len(config.Learners) > 0:
			c.proposeChange(leader, Change{Kind: ChangePromote, Replica: config.Learners[0]})
		case len(config.Voters) > 3:
			c.proposeChange(leader, Change{Kind: ChangeRemove, Replica: config.Voters[f.other%len(config.Voters)]})
		case len(c.replicas) < 9:
			id := ID("n" + string(rune('0'+len(c.replicas))))
			c.add(id, Snapshot{Config: config.clone()})
			c.proposeChange(leader, Change{Kind: ChangeAdd, Replica: Replica{ID: id, Address: string(id)}})
		}
		return
	}
}

func (c *cluster) proposeChange(leader *replica, change Change) {
	c.runEffects(leader, leader.state.ProposeChange(c.startCall(&call{}), change, c.now))
}

func runScenario(size int, seed uint64, faults []fault, m mutations, prepare func(*cluster)) *cluster {
	c := newCluster(size, seed, m)
	if prepare != nil {
		prepare(c)
	}
	c.runClients(3 * time.Second)
	for _, f := range faults {
		c.inject(f)
	}
	c.heal()
	c.checkHistory()
	return c
}

// TestSafetyUnderFaults runs 3, 5 or 7 replicas through random faults: no term may
// have two leaders, no index two entries, no acknowledged change may be lost, no
// operation may run twice, and the history of calls must be linearizable.
func TestSafetyUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "replicas")
		seed := rapid.Uint64().Draw(t, "seed")
		c := runScenario(size, seed, drawFaults(t), mutations{}, nil)
		if len(c.violations) > 0 {
			t.Fatalf("violations:\n%s", strings.Join(c.violations, "\n"))
		}
	})
}

// crashFaults returns a schedule of repeated crashes, partitions and restarts
// with short pauses. Under it each mutation of TestMutationsAreFound causes a
// violation for some seed.
func crashFaults(seed uint64) []fault {
	var faults []fault
	for i := range 24 {
		kind := []int{faultIsolate, faultCrash, faultHeal, faultRestart, faultCutLink, faultCrash, faultRestart, faultLoss}[(uint64(i)*7+seed)%8]
		faults = append(faults, fault{kind: kind, target: int(seed) + i, other: i * 3, pause: 2 + i%9})
	}
	return faults
}

func slowDisks(c *cluster) {
	for _, r := range c.replicas {
		r.diskDelay = 200 * time.Millisecond
	}
}

// TestMutationsAreFound tests the checks themselves: switching off a safety rule
// must cause a violation within a fixed set of seeds; without a mutation there is
// none.
func TestMutationsAreFound(t *testing.T) {
	const seeds = 60
	tests := map[string]struct {
		mutations mutations
		prepare   func(*cluster)
		wantNone  bool
	}{
		"no mutation":             {wantNone: true},
		"no mutation, slow disks": {wantNone: true, prepare: slowDisks},
		"skip the sync":           {prepare: func(c *cluster) { c.skipSync = true }},
		"vote without log check":  {mutations: mutations{voteWithoutLogCheck: true}},
		"vote twice":              {mutations: mutations{voteTwice: true}},
		"acknowledge before sync": {mutations: mutations{ackBeforeSave: true}, prepare: slowDisks},
		"commit before quorum":    {mutations: mutations{commitBeforeQuorum: true}},
		"run before the claim":    {prepare: func(c *cluster) { c.runBeforeGrant = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := ""
			for seed := uint64(1); seed <= seeds && found == ""; seed++ {
				c := runScenario(3+2*int(seed%2), seed, crashFaults(seed), test.mutations, test.prepare)
				if len(c.violations) > 0 {
					found = c.violations[0]
				}
			}
			if test.wantNone && found != "" {
				t.Errorf("violation without a mutation: %s", found)
			}
			if !test.wantNone && found == "" {
				t.Errorf("mutation was not found in %d seeds", seeds)
			}
		})
	}
}
