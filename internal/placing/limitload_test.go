package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/allowance"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// limitServers makes a share of the servers name a limit, which entries share by an
// allocator 10 ms away.
func (sm *simulation) limitServers(share, perSecond float64) {
	for i, s := range sm.servers {
		if float64(i%8) < share*8 {
			s.Limit = routing.Limit{Named: true, PerSecond: perSecond}
		}
	}
	sm.announce()
	allocator := &allowance.Allocator{}
	const oneWay, tick = 10 * time.Millisecond, 50 * time.Millisecond
	var ask func(pool *Pool)
	ask = func(pool *Pool) {
		for _, request := range pool.AllowanceRequests(sm.clock.Now()) {
			sm.clock.Schedule(oneWay, func() {
				grant := allocator.Allow(request, request.Limit, 1, sm.clock.Now())
				sm.clock.Schedule(oneWay, func() { pool.TakeAllowances(grant, sm.clock.Now()) })
			})
		}
		sm.clock.Schedule(tick, func() { ask(pool) })
	}
	for _, pool := range sm.pools {
		ask(pool)
	}
}

// While up to half of the servers are limited, the others take their load; while all are, limits are used.
func TestLimitedServersLeaveTheirLoadToOthers(t *testing.T) {
	const (
		rate             = 214.0
		limitedAt, until = 10 * time.Second, 30 * time.Second
		settled          = 14 // seconds
		inTarget         = 0.9
		used             = 0.85
	)
	for _, share := range []float64{0.125, 0.25, 0.5, 1} {
		for _, limit := range []float64{1.3, 3, 6.5, 12} {
			t.Run(fmt.Sprint(share, " limited to ", limit), func(t *testing.T) {
				sc := heavyLoad()
				sc.rate = func(time.Duration) float64 { return rate }
				sc.events = map[time.Duration]func(*simulation){limitedAt: func(sm *simulation) { sm.limitServers(share, limit) }}
				sm := newSimulation(sc)
				sm.run()
				later := sm.between(settled, int(until/time.Second))
				t.Logf("before %+v, when limited %+v, later %+v", sm.between(6, 10), sm.between(10, settled), later)
				taken := limit * float64(len(sm.servers)) * (until.Seconds() - settled)
				switch answered := float64(later.inTarget + later.late); {
				case share < 1 && later.share() < inTarget:
					t.Errorf("%.2f of the callers were answered in target, want %v", later.share(), inTarget)
				case share == 1 && answered < used*taken:
					t.Errorf("%.0f requests answered, want %v of %.0f", answered, used, taken)
				}
			})
		}
	}
}

// An object moves from a limited server to the next one of its order, and none between
// others.
func TestLimitMovesOnlyItsObjects(t *testing.T) {
	p := noticePool(6)
	p.Policy.Entries, p.demand.perSecond = 10, 6 // ten requests a second and server
	now := start
	first := func() map[string]string {
		servers := make(map[string]string)
		for i := range 3000 {
			object := fmt.Sprint(i)
			order := p.orderOf(objectHash(Request{Object: object}), "", Request{Object: object}, now)
			servers[object] = order[0].server.ID
		}
		return servers
	}
	before := first()
	p.SetLimit("s0", 1, routing.Limit{Named: true, PerSecond: 3})
	kept, had := 0, 0
	for object, server := range first() {
		if before[object] == "s0" {
			had++
		}
		switch {
		case server == "s0" && before[object] != "s0":
			t.Fatalf("object %s moved to the limited server", object)
		case server == "s0":
			kept++
		case before[object] != "s0" && server != before[object]:
			t.Fatalf("object %s moved from %s to %s", object, before[object], server)
		}
	}
	// A server of weight w among five others keeps w/(w+5) of all objects.
	if want := 3000 * 0.3 / 5.3; float64(kept) < 0.8*want || float64(kept) > 1.2*want {
		t.Errorf("%d of %d objects kept, want about %.0f", kept, had, want)
	}
}
