package placing

import (
	"math"
	"strconv"
	"testing"
	"time"
)

// largeFleet returns a scenario of hundreds of servers whose slots are spread very
// unevenly over the regions, while each region has a third of the entries.
func largeFleet() scenario {
	return scenario{
		domains:          []int{204, 204, 42, 42, 171, 171},
		slots:            9,
		objectsPerServer: 14,
		entries:          270,
		objects:          642,
		rate:             func(time.Duration) float64 { return 1860 },
		coldRun:          3024 * time.Millisecond,
		warmRun:          756 * time.Millisecond,
		target:           1500 * time.Millisecond,
		timeout:          6 * time.Second,
		regionOneWay:     20 * time.Millisecond,
		duration:         16 * time.Second,
		seed:             1,
	}
}

func (sm *simulation) otherRegionShare() float64 {
	return float64(sm.otherRegionSends) / math.Max(1, float64(sm.sends))
}

// Where each region can hold the objects, callers are served within it, up to what the
// servers there can take.
func TestLargeFleetServesInOwnRegions(t *testing.T) {
	sm := newSimulation(largeFleet())
	sm.run()
	warm := sm.between(6, 16)
	t.Logf("first two seconds %+v, then %+v, warm %+v (%.3f in target), cold runs %d, other regions %.3f", sm.between(0, 2), sm.between(2, 6), warm, warm.share(), sm.coldRuns, sm.otherRegionShare())
	if warm.share() < 0.95 {
		t.Errorf("%.3f of the callers were answered in target, want 0.95", warm.share())
	}
	if share := sm.otherRegionShare(); share > 0.35 {
		t.Errorf("%.3f of the requests went to other regions, want 0.35", share)
	}
	for region, tally := range sm.byRegion {
		t.Logf("region %d: %+v", region, tally)
	}
}

// BenchmarkChooseLarge measures one decision among 1,084 servers that know 642 objects.
func BenchmarkChooseLarge(b *testing.B) {
	sc := largeFleet()
	sc.domains, sc.duration, sc.entries = []int{265, 265, 55, 55, 222, 222}, 5*time.Second, 6
	sm := newSimulation(sc)
	sm.run()
	now := sm.clock.Now()
	objects := make([]string, sc.objects)
	for i := range objects {
		objects[i] = strconv.Itoa(i)
	}
	pool := sm.pools[0]
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		pool.Choose(Request{Class: "page", Rank: 1, Object: objects[i%len(objects)], Remaining: sc.timeout, Target: sc.target}, now)
	}
}
