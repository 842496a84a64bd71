package quorum

import (
	"fmt"
	"testing"
	"time"
)

// Where a sync takes longer than the election timeout, each election was followed by the next.
func TestLeaderIsElectedOnSlowDisks(t *testing.T) {
	tests := map[string]struct {
		delays []time.Duration // of a sync, by replica
		within time.Duration   // until an entry of a new leader is committed
	}{
		"usual":          {delays: []time.Duration{0, 0, 0, 0, 0}, within: 3 * time.Second},
		"half a second":  {delays: repeatDelay(500*time.Millisecond, 5), within: 10 * time.Second},
		"two seconds":    {delays: repeatDelay(2*time.Second, 5), within: 30 * time.Second},
		"seven seconds":  {delays: repeatDelay(7*time.Second, 5), within: 90 * time.Second},
		"two are slow":   {delays: []time.Duration{7 * time.Second, 0, 0, 7 * time.Second, 0}, within: 20 * time.Second},
		"three are slow": {delays: []time.Duration{7 * time.Second, 0, 7 * time.Second, 7 * time.Second, 0}, within: 90 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				c := newCluster(len(test.delays), seed, mutations{})
				for i, delay := range test.delays {
					c.replicas[i].diskDelay = delay
				}
				c.run(test.within)
				if len(c.committed) == 0 {
					t.Errorf("seed %d: nothing was committed within %v; %d elections were won, the terms are %s", seed, test.within, c.elections, terms(c))
				}
				if len(c.violations) > 0 {
					t.Errorf("seed %d: %v", seed, c.violations)
				}
			}
		})
	}
}

func repeatDelay(delay time.Duration, n int) []time.Duration {
	delays := make([]time.Duration, n)
	for i := range delays {
		delays[i] = delay
	}
	return delays
}

func terms(c *cluster) string {
	text := ""
	for _, r := range c.replicas {
		text += fmt.Sprint(" ", r.state.Hard.Term)
	}
	return text
}
