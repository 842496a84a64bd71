package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// heavyLoad returns a scenario whose requests need a bit more than half of the
// slots if all runs are warm, and more than twice the slots if all are cold.
func heavyLoad() scenario {
	return scenario{
		domains:          []int{4, 4, 1, 1, 3, 3},
		slots:            9,
		objectsPerServer: 39,
		entries:          10,
		objects:          53,
		rate:             func(time.Duration) float64 { return 300 },
		coldRun:          880 * time.Millisecond,
		warmRun:          264 * time.Millisecond,
		target:           600 * time.Millisecond,
		timeout:          2500 * time.Millisecond,
		regionOneWay:     20 * time.Millisecond,
		duration:         30 * time.Second,
		seed:             1,
	}
}

// If the slots suffice for warm runs, nearly all requests of a steady heavy load
// are answered in target once the objects are warm.
func TestSteadyHeavyLoad(t *testing.T) {
	tests := map[string]func(*scenario){
		"long runs": func(*scenario) {},
		"short runs": func(sc *scenario) {
			sc.domains, sc.slots, sc.objectsPerServer, sc.objects = []int{1, 1, 4, 4, 5, 5}, 5, 49, 75
			sc.coldRun, sc.warmRun, sc.target, sc.timeout = 360*time.Millisecond, 108*time.Millisecond, 300*time.Millisecond, 1200*time.Millisecond
			sc.regionOneWay, sc.rate = 35*time.Millisecond, func(time.Duration) float64 { return 450 }
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			sc := heavyLoad()
			change(&sc)
			sm := newSimulation(sc)
			sm.run()
			warm := sm.between(10, 30)
			t.Logf("from the start %+v, once warm %+v, cold runs %d", sm.between(0, 10), warm, sm.coldRuns)
			if warm.share() < 0.9 {
				t.Errorf("%.2f of the callers were answered in target, want 0.90", warm.share())
			}
			if warm.refused > 0 {
				t.Errorf("%d callers were refused although the slots suffice", warm.refused)
			}
		})
	}
}

// A burst that exceeds all slots must not leave so many cold runs behind that the
// servers stay overloaded after it.
func TestRecoveryAfterBurst(t *testing.T) {
	sc := heavyLoad()
	sc.rate = func(at time.Duration) float64 {
		if at > 10*time.Second && at < 14*time.Second {
			return 800
		}
		return 300
	}
	sm := newSimulation(sc)
	sm.run()
	after := sm.between(17, 30)
	t.Logf("in the burst %+v, after it %+v", sm.between(10, 14), after)
	if after.share() < 0.9 {
		t.Errorf("%.2f of the callers were answered in target after the burst, want 0.90", after.share())
	}
}

// When servers are lost, only their objects become cold; those of the other
// servers stay warm.
func TestLostServers(t *testing.T) {
	sc := heavyLoad()
	sc.rate = func(time.Duration) float64 { return 200 }
	sc.events = map[time.Duration]func(*simulation){10 * time.Second: func(sm *simulation) {
		for i, s := range sm.servers {
			s.down = i%4 == 0
		}
		sm.announce()
	}}
	sm := newSimulation(sc)
	sm.run()
	after := sm.between(14, 30)
	t.Logf("when servers are lost %+v, later %+v", sm.between(10, 14), after)
	if after.share() < 0.9 {
		t.Errorf("%.2f of the callers were answered in target after the loss, want 0.90", after.share())
	}
}

// Callers in a region with few servers must be served about as well as others:
// their requests also go to servers of other regions.
func TestRegionWithFewServersIsServed(t *testing.T) {
	sm := newSimulation(heavyLoad())
	sm.run()
	for region, tally := range sm.byRegion {
		t.Logf("region %d: %+v", region, tally)
		if tally.share() < 0.8 {
			t.Errorf("%.2f of region %d was answered in target, want 0.80", tally.share(), region)
		}
	}
}

// A server that runs far slower than the others must not keep getting the
// requests of its objects.
func TestSlowServers(t *testing.T) {
	sc := heavyLoad()
	sc.rate = func(time.Duration) float64 { return 200 }
	sc.events = map[time.Duration]func(*simulation){10 * time.Second: func(sm *simulation) {
		for i, s := range sm.servers {
			if i%6 == 0 {
				s.slow = 8
			}
		}
	}}
	sm := newSimulation(sc)
	sm.run()
	after := sm.between(15, 30)
	t.Logf("when servers become slow %+v, later %+v", sm.between(10, 15), after)
	if after.share() < 0.85 {
		t.Errorf("%.2f of the callers were answered in target despite slow servers, want 0.85", after.share())
	}
}

func BenchmarkChoose(b *testing.B) {
	sc := heavyLoad()
	sc.domains = []int{10, 10, 10, 10, 10, 10}
	sc.objects, sc.duration = 50, 10*time.Second
	sm := newSimulation(sc)
	sm.run()
	now := sm.clock.Now()
	objects := make([]string, sc.objects)
	for i := range objects {
		objects[i] = strconv.Itoa(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sm.pools[0].Choose(Request{Class: "page", Object: objects[i%len(objects)], Remaining: time.Second, Target: time.Second}, now)
	}
}

// Requests of a class with few measurements and without objects are sent, not
// refused because of a guessed run time.
func TestRarelyMeasuredClassIsNotRefused(t *testing.T) {
	sm := newSimulation(heavyLoad())
	pool := sm.pools[0]
	req := Request{Class: "rare", Remaining: 400 * time.Millisecond, Target: time.Second}
	for i := range 3 {
		choice := pool.Choose(req, start)
		if choice.Server == nil {
			t.Fatalf("request %d was refused: %s", i, choice.Refused)
		}
		pool.Begin(choice.Server, start)
		pool.End(choice.Server, Outcome{Class: "rare", Target: time.Second, Unqueued: true, Result: routing.ResultOK, Latency: 2 * time.Millisecond}, start)
	}
}

// A server that stops answering without closing its connections gets only a few
// more requests from each entry.
func TestUnresponsiveServersGetFewRequests(t *testing.T) {
	sc := heavyLoad()
	sc.rate = func(time.Duration) float64 { return 200 }
	sc.events = map[time.Duration]func(*simulation){10 * time.Second: func(sm *simulation) {
		for i, s := range sm.servers {
			s.silent = i%5 == 0
		}
	}}
	sm := newSimulation(sc)
	sm.run()
	first, after := sm.between(10, 13), sm.between(13, 30)
	t.Logf("when servers stop answering %+v, later %+v", first, after)
	if lost := float64(after.failed) / float64(after.requests); lost > 0.02 {
		t.Errorf("%.3f of the later requests got no answer, want at most 0.02", lost)
	}
	if after.share() < 0.85 {
		t.Errorf("%.2f of the later callers were answered in target, want 0.85", after.share())
	}
}

// All entries together keep to the rate limit of a cold server in every second.
func TestColdRateHoldsOverAllEntries(t *testing.T) {
	sc := heavyLoad()
	const allowed = 17 // requests in one second
	sc.coldRate = 1 / 1.02
	sc.events = map[time.Duration]func(*simulation){10 * time.Second: func(sm *simulation) {
		for i, s := range sm.servers {
			if i%4 == 0 {
				s.ColdUntil = sm.clock.Now().Add(3 * time.Second)
				s.warm = nil
			}
		}
		sm.announce()
	}}
	sm := newSimulation(sc)
	sm.run()
	if sm.maxColdPerSecond > allowed {
		t.Errorf("a cold server got %d requests in one second, want at most %d", sm.maxColdPerSecond, allowed)
	}
	if sm.maxColdPerSecond == 0 {
		t.Error("cold servers got nothing at all")
	}
}

// Entries that may each send less than one request a second to a cold server
// spread their requests over time, including their first ones.
func TestManyEntriesStaggerColdRequests(t *testing.T) {
	const allowed = 12 // requests in one second
	sc := heavyLoad()
	sc.entries = 76
	sc.coldRate = 12.5 / 76 * 0.4
	sc.events = map[time.Duration]func(*simulation){10 * time.Second: func(sm *simulation) {
		for i, s := range sm.servers {
			if i%2 == 0 {
				s.ColdUntil = sm.clock.Now().Add(3 * time.Second)
				s.warm = nil
			}
		}
		sm.announce()
	}}
	sm := newSimulation(sc)
	for i, pool := range sm.pools {
		pool.Policy.ColdEntryIndex, pool.Policy.ColdEntries = i, len(sm.pools)
	}
	sm.run()
	t.Logf("a cold server got at most %d requests in one second", sm.maxColdPerSecond)
	if sm.maxColdPerSecond > allowed {
		t.Errorf("a cold server got %d requests in one second, want at most %d", sm.maxColdPerSecond, allowed)
	}
	if sm.maxColdPerSecond == 0 {
		t.Error("cold servers got nothing at all")
	}
}

// A server that refused connections may have restarted and be cold before its
// announcement says so. It must get requests only at the rate of a cold server.
func TestRateLimitAfterRefusedDial(t *testing.T) {
	p := NewPool(Policy{Service: "web", ColdRate: 1}, site(0))
	p.Update([]ServerInfo{{ID: "s1", Address: "a", Start: 1, Slots: 9, Site: site(0)}})
	req := Request{Class: "page", Object: "o", Remaining: 10 * time.Second, Target: 10 * time.Second}
	send := func(now time.Time, result routing.Result) bool {
		choice := p.Choose(req, now)
		if choice.Server == nil {
			return false
		}
		p.Begin(choice.Server, now)
		p.End(choice.Server, Outcome{Class: "page", Result: result}, now)
		return true
	}
	send(start, routing.ResultDialFailed)
	returnedAt := start.Add(backoff.Max)
	sent := 0
	for i := range 100 {
		if send(returnedAt.Add(time.Duration(i)*10*time.Millisecond), routing.ResultOK) {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d requests in the second after it came back, want at most 2", sent)
	}
}

// When a third of many servers cannot be reached, an entry with few requests
// must not spend them on probing those servers over and over.
func TestUnreachableServersAreProbedSeldom(t *testing.T) {
	sc := heavyLoad()
	sc.domains = []int{20, 20, 20, 20, 20, 20}
	sc.entries, sc.objects, sc.rate = 20, 120, func(time.Duration) float64 { return 300 }
	sc.events = map[time.Duration]func(*simulation){8 * time.Second: func(sm *simulation) {
		for i, s := range sm.servers {
			s.unreachable = i%3 == 0
		}
	}}
	sm := newSimulation(sc)
	sm.run()
	later := sm.between(14, 30)
	t.Logf("when servers become unreachable %+v, later %+v", sm.between(8, 14), later)
	if later.share() < 0.85 {
		t.Errorf("%.2f of the later callers were answered in target, want 0.85", later.share())
	}
}

// One connection that times out may be due to a full link of this VM; a server
// whose connections time out several times in a row is ejected, and may have started again
// when it is back, unless it says that it is warm.
func TestDialTimeouts(t *testing.T) {
	p := NewPool(Policy{Service: "s", ColdRate: 5}, site(0))
	p.Update([]ServerInfo{{ID: "s1", Address: "a", Start: 1, Slots: 9, Site: site(0)}})
	s := p.Servers[0]
	timeOut := func() {
		p.Begin(s, start)
		p.End(s, Outcome{Class: "page", Result: routing.ResultDialTimeout, Latency: 300 * time.Millisecond}, start)
	}
	req := Request{Class: "page", Remaining: time.Second, Target: time.Second}
	timeOut()
	if choice := p.Choose(req, start); choice.Server == nil {
		t.Errorf("refused after one connection timed out: %s", choice.Refused)
	}
	timeOut()
	if choice := p.Choose(req, start); choice.Server != nil {
		t.Error("chosen after two connections in a row timed out")
	}
	back := start.Add(backoff.Max)
	if cold, word := s.Cold(back); !cold || word.Source != roster.FromConnection {
		t.Errorf("counts as cold: %v, on the word of %q", cold, word.Source)
	}
	if asked := p.Questions(1, back); len(asked) != 1 || !p.TakeAnswer(s, back, 0, back) || s.isPaced(back) {
		t.Errorf("%d servers asked; warm as it says: %v", len(asked), !s.isPaced(back))
	}
}

// A single connection that times out is no sign of a restart.
func TestOneDialTimeoutRaisesNoDoubt(t *testing.T) {
	p := NewPool(Policy{Service: "s", ColdRate: 5}, site(0))
	p.Update([]ServerInfo{{ID: "s1", Address: "a", Start: 1, Slots: 9, Site: site(0)}})
	p.Begin(p.Servers[0], start)
	p.End(p.Servers[0], Outcome{Class: "page", Result: routing.ResultDialTimeout}, start)
	if p.Servers[0].isPaced(start) {
		t.Error("the server is limited after one connection timed out")
	}
}
