package placing

import (
	"strconv"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// heavy is a load whose warm work needs a bit more than half of the slots, and
// whose cold work would need more than twice of all.
func heavy() load {
	return load{
		domains:   []int{4, 4, 1, 1, 3, 3},
		slots:     9,
		keeps:     39,
		entries:   10,
		objects:   53,
		rate:      func(time.Duration) float64 { return 300 },
		cold:      880 * time.Millisecond,
		warm:      264 * time.Millisecond,
		target:    600 * time.Millisecond,
		timeout:   2500 * time.Millisecond,
		regionWay: 20 * time.Millisecond,
		length:    30 * time.Second,
		seed:      1,
	}
}

// Where warm work fits, the callers of a steady heavy load are nearly all
// answered in target once the objects are warm.
func TestSteadyHeavyLoad(t *testing.T) {
	tests := map[string]func(*load){
		"plaques": func(*load) {},
		"pottery": func(l *load) {
			l.domains, l.slots, l.keeps, l.objects = []int{1, 1, 4, 4, 5, 5}, 5, 49, 75
			l.cold, l.warm, l.target, l.timeout = 360*time.Millisecond, 108*time.Millisecond, 300*time.Millisecond, 1200*time.Millisecond
			l.regionWay, l.rate = 35*time.Millisecond, func(time.Duration) float64 { return 450 }
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			l := heavy()
			change(&l)
			w := newWorld(l)
			w.play()
			warm := w.between(10, 30)
			t.Logf("from the start %+v, once warm %+v, cold runs %d", w.between(0, 10), warm, w.colds)
			if warm.share() < 0.9 {
				t.Errorf("%.2f of the callers were answered in target, want 0.90", warm.share())
			}
			if warm.refused > 0 {
				t.Errorf("%d callers were refused though all work fits", warm.refused)
			}
		})
	}
}

// A burst beyond all slots must not leave the servers with cold work that keeps
// the load above them when the burst is over.
func TestBurstDoesNotOutlastItself(t *testing.T) {
	l := heavy()
	l.rate = func(at time.Duration) float64 {
		if at > 10*time.Second && at < 14*time.Second {
			return 800
		}
		return 300
	}
	w := newWorld(l)
	w.play()
	after := w.between(17, 30)
	t.Logf("in the burst %+v, after it %+v", w.between(10, 14), after)
	if after.share() < 0.9 {
		t.Errorf("%.2f of the callers were answered in target after the burst, want 0.90", after.share())
	}
}

// Servers that go take their objects with them: those of the others stay warm.
func TestLostServers(t *testing.T) {
	l := heavy()
	l.rate = func(time.Duration) float64 { return 200 }
	l.at = map[time.Duration]func(*world){10 * time.Second: func(w *world) {
		for i, s := range w.servers {
			s.down = i%4 == 0
		}
		w.announce()
	}}
	w := newWorld(l)
	w.play()
	after := w.between(14, 30)
	t.Logf("at the loss %+v, after it %+v", w.between(10, 14), after)
	if after.share() < 0.9 {
		t.Errorf("%.2f of the callers were answered in target after the loss, want 0.90", after.share())
	}
}

// One region with few servers must not leave its callers behind the others.
func TestLopsidedRegionIsServed(t *testing.T) {
	w := newWorld(heavy())
	w.play()
	for region, tally := range w.regions {
		t.Logf("region %d: %+v", region, tally)
		if tally.share() < 0.8 {
			t.Errorf("%.2f of region %d was answered in target, want 0.80", tally.share(), region)
		}
	}
}

// A server that runs far slower than the others keeps no objects for itself.
func TestSlowServers(t *testing.T) {
	l := heavy()
	l.rate = func(time.Duration) float64 { return 200 }
	l.at = map[time.Duration]func(*world){10 * time.Second: func(w *world) {
		for i, s := range w.servers {
			if i%6 == 0 {
				s.slow = 8
			}
		}
	}}
	w := newWorld(l)
	w.play()
	after := w.between(15, 30)
	t.Logf("when they turn slow %+v, later %+v", w.between(10, 15), after)
	if after.share() < 0.85 {
		t.Errorf("%.2f of the callers were answered in target beside slow servers, want 0.85", after.share())
	}
}

func BenchmarkChoose(b *testing.B) {
	l := heavy()
	l.domains = []int{10, 10, 10, 10, 10, 10}
	l.objects, l.length = 50, 10*time.Second
	w := newWorld(l)
	w.play()
	now := w.time.Now()
	objects := make([]string, l.objects)
	for i := range objects {
		objects[i] = strconv.Itoa(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.pools[0].Choose(Request{Class: "page", Object: objects[i%len(objects)], Remaining: time.Second, Target: time.Second}, now)
	}
}

// A class of which little is known, and without objects, is tried and not
// refused by a guess at its length.
func TestRareClassIsTried(t *testing.T) {
	w := newWorld(heavy())
	pool := w.pools[0]
	ask := Request{Class: "rare", Remaining: 400 * time.Millisecond, Target: time.Second}
	for i := range 3 {
		choice := pool.Choose(ask, start)
		if choice.Server == nil {
			t.Fatalf("request %d was refused: %s", i, choice.Refused)
		}
		pool.Begin(choice.Server, start)
		pool.End(choice.Server, Outcome{Class: "rare", Target: time.Second, Unqueued: true, Result: routing.ResultOK, Latency: 2 * time.Millisecond}, start)
	}
}

// A server that is gone without a word gets no more than a few requests of each
// entry.
func TestServerGoneWithoutAWord(t *testing.T) {
	l := heavy()
	l.rate = func(time.Duration) float64 { return 200 }
	l.at = map[time.Duration]func(*world){10 * time.Second: func(w *world) {
		for i, s := range w.servers {
			s.dark = i%5 == 0
		}
	}}
	w := newWorld(l)
	w.play()
	first, after := w.between(10, 13), w.between(13, 30)
	t.Logf("when they go %+v, later %+v", first, after)
	if lost := float64(after.failed) / float64(after.asked); lost > 0.02 {
		t.Errorf("%.3f of the later requests got no answer, want at most 0.02", lost)
	}
	if after.share() < 0.85 {
		t.Errorf("%.2f of the later callers were answered in target, want 0.85", after.share())
	}
}

// The rate of a cold server holds over all entries, in every second.
func TestColdServersAreSpared(t *testing.T) {
	l := heavy()
	const allowed = 17 // requests in one second
	l.coldRate = 1 / 1.02
	l.at = map[time.Duration]func(*world){10 * time.Second: func(w *world) {
		for i, s := range w.servers {
			if i%4 == 0 {
				s.ColdUntil = w.time.Now().Add(3 * time.Second)
				s.warm = nil
			}
		}
		w.announce()
	}}
	w := newWorld(l)
	w.play()
	if w.coldMost > allowed {
		t.Errorf("a cold server got %d requests in one second, want at most %d", w.coldMost, allowed)
	}
	if w.coldMost == 0 {
		t.Error("cold servers got nothing at all")
	}
}

// Many entries that each may send less than once a second take turns, also with
// their first requests.
func TestManyEntriesTakeTurnsAtColdServers(t *testing.T) {
	const allowed = 12 // requests in one second
	l := heavy()
	l.entries = 76
	l.coldRate = 12.5 / 76 * 0.4
	l.at = map[time.Duration]func(*world){10 * time.Second: func(w *world) {
		for i, s := range w.servers {
			if i%2 == 0 {
				s.ColdUntil = w.time.Now().Add(3 * time.Second)
				s.warm = nil
			}
		}
		w.announce()
	}}
	w := newWorld(l)
	for i, pool := range w.pools {
		pool.Policy.ColdEntryIndex, pool.Policy.ColdEntries = i, len(w.pools)
	}
	w.play()
	t.Logf("a cold server got at most %d requests in one second", w.coldMost)
	if w.coldMost > allowed {
		t.Errorf("a cold server got %d requests in one second, want at most %d", w.coldMost, allowed)
	}
	if w.coldMost == 0 {
		t.Error("cold servers got nothing at all")
	}
}

// A server that was down may come back cold before it can say so.
func TestServerThatWasDownIsSpared(t *testing.T) {
	p := NewPool(Policy{Service: "web", ColdRate: 1}, site(0))
	p.Update([]ServerInfo{{ID: "s1", Address: "a", Start: 1, Slots: 9, Site: site(0)}})
	ask := Request{Class: "page", Object: "o", Remaining: 10 * time.Second, Target: 10 * time.Second}
	send := func(now time.Time, result routing.Result) bool {
		choice := p.Choose(ask, now)
		if choice.Server == nil {
			return false
		}
		p.Begin(choice.Server, now)
		p.End(choice.Server, Outcome{Class: "page", Result: result}, now)
		return true
	}
	send(start, routing.ResultDialFailed)
	back := start.Add(backoff.Max)
	sent := 0
	for i := range 100 {
		if send(back.Add(time.Duration(i)*10*time.Millisecond), routing.ResultOK) {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d requests in the second after it came back, want at most 2", sent)
	}
}

// Where a third of many servers is gone without a word, an entry with few requests
// does not spend them on trying the gone ones again and again.
func TestManyGoneServersAreTriedSeldom(t *testing.T) {
	l := heavy()
	l.domains = []int{20, 20, 20, 20, 20, 20}
	l.entries, l.objects, l.rate = 20, 120, func(time.Duration) float64 { return 300 }
	l.at = map[time.Duration]func(*world){8 * time.Second: func(w *world) {
		for i, s := range w.servers {
			s.unreachable = i%3 == 0
		}
	}}
	w := newWorld(l)
	w.play()
	later := w.between(14, 30)
	t.Logf("when they go %+v, later %+v", w.between(8, 14), later)
	if later.share() < 0.85 {
		t.Errorf("%.2f of the later callers were answered in target, want 0.85", later.share())
	}
}

// One connection that comes late may be the fault of the own link; a server whose
// connections come late again and again gets nothing for a while. Neither counts as a
// start anew.
func TestLateDials(t *testing.T) {
	p := NewPool(Policy{Service: "s", ColdRate: 5}, site(0))
	p.Update([]ServerInfo{{ID: "s1", Address: "a", Start: 1, Slots: 9, Site: site(0)}})
	s := p.Servers[0]
	late := func() {
		p.Begin(s, start)
		p.End(s, Outcome{Class: "page", Result: routing.ResultDialTimeout, Latency: 300 * time.Millisecond}, start)
	}
	ask := Request{Class: "page", Remaining: time.Second, Target: time.Second}
	late()
	if choice := p.Choose(ask, start); choice.Server == nil {
		t.Errorf("refused after one late connection: %s", choice.Refused)
	}
	late()
	if choice := p.Choose(ask, start); choice.Server != nil {
		t.Error("chosen after two late connections in a row")
	}
	if s.wasDown {
		t.Error("a late connection counts as a server that was down")
	}
}
