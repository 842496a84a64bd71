package quorum

import (
	"slices"
	"testing"
	"time"
)

// After all five VMs lost power and two of them their disks, the three that are
// left must elect a leader soon; as 3 of 5 is the smallest majority, all three
// must vote for it.
func TestLeaderAfterPowerLossWithTwoDisksLost(t *testing.T) {
	const seeds, usualLimit, limit = 100, time.Second, 3 * time.Second
	var times []time.Duration
	for seed := range uint64(seeds) {
		c := newCluster(5, seed, mutations{})
		for _, r := range c.replicas[3:] {
			r.up = false
		}
		for _, r := range c.replicas[:3] {
			r.state.Settings.Seed = seed
		}
		began := c.now
		for c.now.Sub(began) < limit && !slices.ContainsFunc(c.replicas, isLeader) {
			c.run(step)
		}
		times = append(times, c.now.Sub(began))
	}
	slices.Sort(times)
	t.Logf("leader after %v at the median, %v at the 95th percentile, %v at most", times[seeds/2], times[seeds*95/100], times[seeds-1])
	if times[seeds*95/100] > usualLimit || times[seeds-1] >= limit {
		t.Errorf("want a leader within %v in 95 of 100 runs, and within %v in all", usualLimit, limit)
	}
}

func isLeader(r *replica) bool { return r.up && r.state.Role == RoleLeader }
