package quorum

import (
	"slices"
	"testing"
	"time"
)

// A site that lost power, and two of its five disks with it, has a leader again
// soon: the three that are left must all agree.
func TestLeaderAfterTheLossOfAllVMsAndTwoDisks(t *testing.T) {
	const seeds, usual, most = 100, time.Second, 3 * time.Second
	var times []time.Duration
	for seed := range uint64(seeds) {
		c := newCluster(5, seed, faults{})
		for _, r := range c.replicas[3:] {
			r.up = false
		}
		for _, r := range c.replicas[:3] {
			r.state.Settings.Seed = seed
		}
		began := c.now
		for c.now.Sub(began) < most && !slices.ContainsFunc(c.replicas, leads) {
			c.run(step)
		}
		times = append(times, c.now.Sub(began))
	}
	slices.Sort(times)
	t.Logf("leader after %v at the median, %v at the 95th percentile, %v at most", times[seeds/2], times[seeds*95/100], times[seeds-1])
	if times[seeds*95/100] > usual || times[seeds-1] >= most {
		t.Errorf("want a leader within %v in 95 of 100 runs, and within %v in all", usual, most)
	}
}

func leads(r *replica) bool { return r.up && r.state.Role == RoleLeader }
