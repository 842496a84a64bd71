package placing

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

const (
	longRoute, shortRoute = "report", "download"
	burstFrom, burstTo    = 20 * time.Second, 25 * time.Second
)

// mixedLoad returns the service of docs/customers-and-load.md, part B, on which routes of long and
// of short runs share servers, with a burst of the long one.
func mixedLoad(burst float64, seed uint64) scenario {
	longRate := func(at time.Duration) float64 {
		if at >= burstFrom && at < burstTo {
			return burst
		}
		return 1
	}
	return scenario{
		domains:          []int{21, 21, 21, 21, 21, 21},
		slots:            9,
		objectsPerServer: 14,
		entries:          73,
		objects:          350,
		rate:             func(at time.Duration) float64 { return 159 + 248*longRate(at) },
		timeout:          25 * time.Second,
		regionOneWay:     20 * time.Millisecond,
		duration:         35 * time.Second,
		seed:             seed,
		waits:            true,
		routes: []simRoute{
			{class: shortRoute, rate: 159, coldRun: 1040 * time.Millisecond, warmRun: 312 * time.Millisecond, target: 800 * time.Millisecond, timeout: 5 * time.Second},
			{class: longRoute, rate: 248, coldRun: 5200 * time.Millisecond, warmRun: 1560 * time.Millisecond, target: 6 * time.Second, timeout: 25 * time.Second, factor: longRate},
		},
	}
}

// routeRun is what the callers of a route got from the start of a burst until its load had run.
type routeRun struct {
	tally
	worst float64 // share in target in the worst two seconds
}

func runMixedSeconds(sc scenario, reserve bool) (map[string][]tally, *simulation) {
	sm := newSimulation(sc)
	for _, pool := range sm.pools {
		pool.reservation.off = !reserve
	}
	sm.run()
	return sm.byRoute, sm
}

func runMixed(sc scenario, reserve bool) (map[string]routeRun, *simulation) {
	_, sm := runMixedSeconds(sc, reserve)
	runs := make(map[string]routeRun)
	for class, seconds := range sm.byRoute {
		r := routeRun{tally: sumOf(seconds[20:32])}
		byShare := slices.Clone(seconds[20:32])
		slices.SortFunc(byShare, func(a, b tally) int { return cmp.Compare(a.share(), b.share()) })
		r.worst = sumOf(byShare[:2]).share()
		runs[class] = r
	}
	return runs, sm
}

// A burst of long runs took the slots that short work needs: of the short requests, 0.76 were answered
// in target, and 0.54 in the worst two seconds.
func TestShortWorkHasSlotsInBurstsOfLongWork(t *testing.T) {
	const (
		short, shortWorst = 0.95, 0.9 // in target
		long, unanswered  = 0.9, 0.01
	)
	for name, burst := range map[string]float64{"twice": 2, "2.5 times": 2.5} {
		t.Run(name, func(t *testing.T) {
			before, _ := runMixed(mixedLoad(burst, 1), false)
			with, sm := runMixed(mixedLoad(burst, 1), true)
			inTarget := func(runs map[string]routeRun) float64 {
				all := sumOf([]tally{runs[shortRoute].tally, runs[longRoute].tally})
				return all.share()
			}
			for _, class := range []string{shortRoute, longRoute} {
				b, w := before[class], with[class]
				t.Logf("%s: before %+v %.3f in target, worst %.3f; now %+v %.3f, worst %.3f", class, b.tally, b.share(), b.worst, w.tally, w.share(), w.worst)
			}
			t.Logf("all: before %.3f in target, now %.3f; %.1f questions/s of an entry", inTarget(before), inTarget(with), float64(sm.questions)/sm.duration.Seconds()/float64(sm.entries))
			if w := with[shortRoute]; w.share() < short || w.worst < shortWorst {
				t.Errorf("%.3f of the short requests in target, %.3f in the worst two seconds, want %v and %v", w.share(), w.worst, short, shortWorst)
			}
			if w := with[longRoute]; w.share() < long || float64(w.refused+w.failed) > unanswered*float64(w.requests) {
				t.Errorf("%.3f of the long requests in target, %d not answered of %d, want %v and at most %v", w.share(), w.refused+w.failed, w.requests, long, unanswered)
			}
			if inTarget(with) < inTarget(before) {
				t.Errorf("%.3f of all requests in target, want at least %.3f as without reservation", inTarget(with), inTarget(before))
			}
		})
	}
}

// Where no class is long, reservations must not change any decision.
func TestNoReservationWithoutLongWork(t *testing.T) {
	sc := mixedLoad(2, 1)
	sc.duration = 15 * time.Second
	sc.routes[1].coldRun, sc.routes[1].warmRun, sc.routes[1].target = 1680*time.Millisecond, 504*time.Millisecond, time.Second
	with, _ := runMixedSeconds(sc, true)
	without, _ := runMixedSeconds(sc, false)
	for class := range without {
		if !slices.Equal(with[class], without[class]) {
			t.Errorf("%s: %v, want %v as without reservations", class, with[class], without[class])
		}
	}
}

// Requests that can still be answered in target go first, and the queue is bounded in requests and bytes.
func TestWaitingIsOrderedAndBounded(t *testing.T) {
	p := noticePool(1)
	p.classes[longRoute] = &runTimes{cold: 5, warm: 1.5}
	for range 1000 {
		p.mix.add(Run{Class: longRoute, Target: time.Second}, start)
	}
	hold := func(id uint64, rank int, target, deadline time.Duration, bytes int) bool {
		return p.Hold(Waiter{ID: id, Class: longRoute, Rank: rank, TargetTime: start.Add(target), Deadline: start.Add(deadline), Bytes: bytes}, start)
	}
	hold(1, 0, time.Second, 20*time.Second, 0) // late even on a free warm slot
	hold(2, 1, 3*time.Second, 20*time.Second, 0)
	hold(3, 0, 5*time.Second, 20*time.Second, 0)
	hold(4, 0, 4*time.Second, 20*time.Second, 0)
	hold(5, 0, time.Second, 10*time.Second, 0)
	if due := p.Due(true, start); !slices.Equal(due, []uint64{4, 3, 2, 5, 1}) {
		t.Errorf("order %v, want 4, 3, 2, 5, 1", due)
	}
	if due := p.Due(false, start.Add(tryInterval/2)); len(due) > 0 {
		t.Errorf("%v tried again at once", due)
	}
	if hold(6, 0, time.Second, time.Second, 0) {
		t.Error("a request waits that cannot be answered in time")
	}
	if hold(7, 0, time.Second, 20*time.Second, maxWaitingBytes+1) {
		t.Error("a request waits whose body is larger than all that may wait")
	}
	if expired := p.Expired(start.Add(9 * time.Second)); !slices.Equal(expired, []uint64{5}) {
		t.Errorf("expired %v, want 5", expired)
	}
	for id := uint64(10); id < 10+2*maxWaiters; id++ {
		hold(id, 0, time.Second, time.Hour, 1)
	}
	if _, found := p.Waiting.Remove(1); p.Waiting.Len() != maxWaiters-1 || !found || p.Waiting.Bytes() != maxWaiters-5 {
		t.Errorf("%d requests with %d bytes wait after one left, want %d and %d", p.Waiting.Len(), p.Waiting.Bytes(), maxWaiters-1, maxWaiters-5)
	}
}

// A long request must not wait for the first server of its order while that one gets no requests.
func TestLongRequestsLeaveEjectedServers(t *testing.T) {
	p := noticePool(4)
	p.classes[longRoute] = &runTimes{cold: 5.2, warm: 1.56}
	p.classes[shortRoute] = &runTimes{cold: 1.04, warm: 0.312}
	p.mix.add(Run{Class: longRoute, Target: 6 * time.Second}, start)
	p.mix.add(Run{Class: shortRoute, Target: 800 * time.Millisecond}, start)
	req := Request{Class: longRoute, Object: "o", Remaining: 25 * time.Second, Target: 6 * time.Second}
	first := p.Choose(req, start).Server
	if first == nil || !p.isLong(longRoute) {
		t.Fatalf("sent to %v, long classes %v", first, p.LongClasses())
	}
	first.Eject(backoff, start)
	if choice := p.Choose(req, start); choice.Server == nil || choice.Server == first {
		t.Errorf("sent to %v, want another server than %s", choice.Server, first.ID)
	}
	first.ResetFailures()
	for range first.Slots {
		p.BeginRun(first, Run{Class: longRoute, Target: 6 * time.Second}, start)
	}
	if choice := p.Choose(req, start.Add(backoff.Max)); choice.Server != nil || !choice.MayWait {
		t.Errorf("sent to %v, want a wait for the warm server", choice.Server)
	}
}

// Callers of long requests were all told to return after the same 3 s at most, more of them than the
// servers had room for then.
func TestRefusedLongRequestsGetSuccessivePlaces(t *testing.T) {
	const rate, refused = 4.0, 60
	p := noticePool(1)
	now := start
	for range 60 * int(rate) {
		now = now.Add(time.Duration(float64(time.Second) / rate))
		p.mix.add(Run{Class: longRoute, Target: 6 * time.Second}, now)
	}
	req := Request{Class: longRoute, Remaining: 24 * time.Second, Target: 6 * time.Second}
	longest := req.Remaining / retryPart
	places := make(map[int]int) // by second
	beyond := 0
	for range refused {
		after := p.Promise(req, now)
		if after < minRetryAfter || after > longest {
			t.Fatalf("told to return after %v, want %v to %v", after, minRetryAfter, longest)
		}
		if after == longest {
			beyond++
		} else {
			places[int(after/time.Second)]++
		}
	}
	for second, count := range places {
		if float64(count) > rate+1 {
			t.Errorf("%d callers told to return in second %d, want at most %v", count, second, rate+1)
		}
	}
	if want := refused - int(rate*longest.Seconds()); beyond < want-2 || beyond > want+2 {
		t.Errorf("%d callers told no place, want %d", beyond, want)
	}
}
