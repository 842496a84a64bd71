package placing

import (
	"slices"
	"testing"
	"time"
)

// The caches of a pool must not change any decision, whatever happens to the servers.
func TestCachesChangeNoDecision(t *testing.T) {
	run := func(uncached bool) []tally {
		sc := heavyLoad()
		sc.uncached, sc.duration, sc.coldRate = uncached, 16*time.Second, 1
		sc.events = map[time.Duration]func(*simulation){
			4 * time.Second: func(sm *simulation) {
				for i, s := range sm.servers {
					s.down = i%4 == 0
				}
				sm.announce()
			},
			8 * time.Second: func(sm *simulation) {
				for i, s := range sm.servers {
					if i%4 == 0 {
						s.down, s.Start, s.ColdUntil, s.warm = false, 2, sm.clock.Now().Add(3*time.Second), nil
					}
					s.Closed = i%5 == 1
				}
				sm.announce()
			},
			10 * time.Second: func(sm *simulation) {
				for i, s := range sm.servers {
					s.Closed = false
					s.down = i%6 == 5 // without an announcement
				}
			},
			12 * time.Second: func(sm *simulation) {
				for _, s := range sm.servers {
					s.down = false
				}
				sm.announce()
			},
		}
		sm := newSimulation(sc)
		sm.run()
		return sm.bySecond
	}
	if cached, uncached := run(false), run(true); !slices.Equal(cached, uncached) {
		t.Errorf("with caches %+v, without %+v", cached, uncached)
	}
}
