package placing

import (
	"testing"
	"time"
)

// While warm servers were full, cold ones got 1.4 requests a second of the 10 allowed, as requests
// only queued at the servers of their orders.
func TestColdServersAreUsedWhileWarmOnesAreFull(t *testing.T) {
	const (
		allowed  = 10.0 // requests per second of all entries to a cold server
		part     = 0.4  // of them that entries use by turns
		used     = 0.8  // of that, at least
		fullFrom = 20 * time.Second
		coldFor  = 9 * time.Second
	)
	sc := mixedLoad(1, 1)
	sc.waits, sc.duration, sc.coldRate = false, 30*time.Second, allowed*part/73
	sc.routes = []simRoute{{class: "page", rate: 1, coldRun: 1280 * time.Millisecond, warmRun: 384 * time.Millisecond, target: 800 * time.Millisecond, timeout: 6 * time.Second}}
	sc.rate = func(at time.Duration) float64 {
		if at > fullFrom {
			return 2800
		}
		return 1116
	}
	var cold []*fakeServer
	received := 0
	sc.events = map[time.Duration]func(*simulation){
		fullFrom: func(sm *simulation) {
			for i, s := range sm.servers {
				if i%12 == 0 {
					s.ColdUntil, s.warm = sm.clock.Now().Add(coldFor), nil
					cold = append(cold, s)
					received -= s.received
				}
			}
			sm.announce()
		},
		fullFrom + coldFor: func(*simulation) {
			for _, s := range cold {
				received += s.received
			}
		},
	}
	sm := newSimulation(sc)
	for i, pool := range sm.pools {
		pool.Policy.ColdEntryIndex, pool.Policy.ColdEntries = i, len(sm.pools)
	}
	sm.run()
	perSecond := float64(received) / coldFor.Seconds() / float64(len(cold))
	t.Logf("%.2f requests/s of a cold server, at most %d in one second; meanwhile %+v", perSecond, sm.maxColdPerSecond, sm.between(20, 29))
	if perSecond < used*part*allowed {
		t.Errorf("a cold server got %.2f requests/s, want %.2f", perSecond, used*part*allowed)
	}
	if sm.maxColdPerSecond > allowed {
		t.Errorf("a cold server got %d requests in one second, want at most %v", sm.maxColdPerSecond, allowed)
	}
}
