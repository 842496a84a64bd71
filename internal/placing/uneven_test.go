package placing

import (
	"math"
	"testing"
	"time"
)

// unevenLoad returns the load and the fleet of docs/customers-and-load.md, part C: warm runs need
// two fifths of the slots, cold ones more than there are.
func unevenLoad() scenario {
	route := func(class string, rate, work, target float64) simRoute {
		cold := seconds(work)
		return simRoute{class: class, rate: rate, coldRun: cold, warmRun: cold * 3 / 10, target: seconds(target), timeout: 6 * time.Second}
	}
	return scenario{
		domains:          []int{51, 51, 51, 51, 51, 51},
		slots:            9,
		objectsPerServer: 14,
		entries:          69,
		objects:          350,
		rate:             func(time.Duration) float64 { return 2000 },
		timeout:          6 * time.Second,
		regionOneWay:     20 * time.Millisecond,
		duration:         30 * time.Second,
		seed:             1,
		uneven:           true,
		routes: []simRoute{
			route("a", 1138, 1.5, 1.2),
			route("b", 448, 1.9, 1.5),
			route("c", 298, 1.0, 0.8),
			route("d", 114, 1.2, 0.8),
		},
	}
}

// fleetRun is what callers got in a run of a scenario with a burst from 20 to 25 s.
type fleetRun struct {
	warm, burst              tally
	worstSecond, worstDomain float64
	asked                    float64 // questions per second of an entry
	full, busiest            float64 // sends to a server whose slots were all in use, and sends to the busiest server over their mean
	hedged, hedgesWon        int     // second tries, and those whose answers came first
}

func runUneven(change func(*scenario)) fleetRun {
	sc := unevenLoad()
	sc.duration = 30 * time.Second
	sc.rate = func(at time.Duration) float64 {
		if at > 20*time.Second && at < 25*time.Second {
			return 3400
		}
		return 2000
	}
	change(&sc)
	sm := newSimulation(sc)
	sm.run()
	r := fleetRun{warm: sm.between(10, 20), burst: sm.between(20, 26), worstSecond: 1, worstDomain: 1}
	for _, second := range sm.bySecond[10:20] {
		r.worstSecond = min(r.worstSecond, second.share())
	}
	for _, domain := range sm.byDomain {
		r.worstDomain = min(r.worstDomain, domain.share())
	}
	r.full = float64(sm.fullSends) / float64(sm.sends)
	for _, s := range sm.servers {
		r.busiest = max(r.busiest, float64(s.received)*float64(len(sm.servers))/float64(sm.sends))
	}
	r.hedged, r.hedgesWon = sm.hedged, sm.hedgesWon
	r.asked = float64(sm.questions) / sm.duration.Seconds() / float64(sm.entries)
	return r
}

// An entry that sends to each of 306 servers every ten seconds knows neither their speed nor their
// load when it chooses: a fifth of the sends and more reach a server whose slots are all in use.
func TestAskingForLoadServesMoreInTarget(t *testing.T) {
	tests := map[string]struct {
		skewed              bool
		warmGain, burstGain float64 // of the share in target
		leastInBurst        float64 // share in target
	}{
		"objects alike":  {false, 0.01, 0.05, 0.9},
		"skewed objects": {true, 0.01, 0.05, 0.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plain := runUneven(func(sc *scenario) { sc.skewed = test.skewed })
			asking := runUneven(func(sc *scenario) { sc.skewed, sc.reports, sc.asks = test.skewed, true, true })
			for name, r := range map[string]fleetRun{"plain": plain, "asking": asking} {
				t.Logf("%s: %.4f in target once warm, %.4f in the burst, worst second %.3f, worst failure domain %.3f, %.3f to full servers, busiest %.2f times the mean, %.1f questions/s of an entry",
					name, r.warm.share(), r.burst.share(), r.worstSecond, r.worstDomain, r.full, r.busiest, r.asked)
			}
			if asking.warm.share() < plain.warm.share()+test.warmGain || asking.burst.share() < plain.burst.share()+test.burstGain {
				t.Errorf("%.4f in target and %.4f in the burst, want %.2f and %.2f more than %.4f and %.4f", asking.warm.share(), asking.burst.share(), test.warmGain, test.burstGain, plain.warm.share(), plain.burst.share())
			}
			if asking.burst.share() < test.leastInBurst {
				t.Errorf("%.4f in target in the burst, want %.2f", asking.burst.share(), test.leastInBurst)
			}
			if asking.worstSecond < plain.worstSecond || asking.worstDomain < plain.worstDomain {
				t.Errorf("worst second %.3f, worst failure domain %.3f, want no less than %.3f and %.3f", asking.worstSecond, asking.worstDomain, plain.worstSecond, plain.worstDomain)
			}
			if asking.full > 0.8*plain.full || asking.busiest > plain.busiest {
				t.Errorf("%.3f of the sends to full servers, busiest %.2f times the mean, want 0.8 of %.3f and no more than %.2f", asking.full, asking.busiest, plain.full, plain.busiest)
			}
			if asking.asked > asksPerSecond {
				t.Errorf("%.1f questions/s of an entry, want at most %g", asking.asked, asksPerSecond)
			}
		})
	}
}

// Runs on a server that was slow must not make the class, or the server, look slow for good.
func TestUsualRun(t *testing.T) {
	tests := map[string]struct{ run, paceAtSend, paceAtEnd, want float64 }{
		"no pace reported": {run: 0.5, paceAtSend: 1, want: 0.5},
		"usual pace":       {run: 0.5, paceAtSend: 1, paceAtEnd: 1, want: 0.5},
		"slow throughout":  {run: 0.1, paceAtSend: 2.5, paceAtEnd: 2.5, want: 0.045},
		"slow at its end":  {run: 2, paceAtSend: 1, paceAtEnd: 2.5, want: 1.76},
	}
	for name, test := range tests {
		if got := usualRun(test.run, test.paceAtSend, test.paceAtEnd); math.Abs(got-test.want) > 0.005 {
			t.Errorf("%s: %.3f s, want %.3f", name, got, test.want)
		}
	}
}

// A pace that was reported too long ago says nothing of a server.
func TestPaceLosesWeight(t *testing.T) {
	s := &Server{}
	s.recordPace(3, start)
	for age, want := range map[time.Duration]float64{0: 3, paceHalfWeightAge: 2, maxPaceAge: 1} {
		if got := s.Pace(start.Add(age)); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v: pace %.2f, want %.2f", age, got, want)
		}
	}
}

// Of work with a target of several run times, a request that takes seven times as long must be
// served by a second try in time, and few second tries may be for nothing.
func TestHedgesServeLateRequests(t *testing.T) {
	run := func(hedges bool) fleetRun {
		return runUneven(func(sc *scenario) {
			sc.reports, sc.asks, sc.hedges = true, true, hedges
			long := simRoute{class: "e", rate: 500, coldRun: 5200 * time.Millisecond, warmRun: 1560 * time.Millisecond, target: 6 * time.Second, timeout: 25 * time.Second}
			sc.routes = append(sc.routes[1:], long)
			sc.rate = func(time.Duration) float64 { return 1000 }
		})
	}
	plain, hedged := run(false), run(true)
	t.Logf("in target %.4f and %.4f with second tries: %d of them, %d answered first", plain.burst.share(), hedged.burst.share(), hedged.hedged, hedged.hedgesWon)
	if hedged.burst.share() < plain.burst.share()+0.002 {
		t.Errorf("%.4f in target, want 0.002 more than %.4f", hedged.burst.share(), plain.burst.share())
	}
	if float64(hedged.hedgesWon) < 0.6*float64(hedged.hedged) || hedged.hedged == 0 {
		t.Errorf("%d of %d second tries answered first, want 0.6", hedged.hedgesWon, hedged.hedged)
	}
}

// Where the target is less than three run times, a second try would be late as well.
func TestNoHedgeThatWouldBeLate(t *testing.T) {
	r := runUneven(func(sc *scenario) { sc.reports, sc.asks, sc.hedges = true, true, true })
	if r.hedged > 50 {
		t.Errorf("%d second tries that come too late", r.hedged)
	}
}

// Where health checks are answered late, questions must not delay one request after another.
func TestQuestionsPauseWhereAnswersAreLate(t *testing.T) {
	var b AskBudget
	asked := 0
	for i := range 200 { // in 10 s
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		if b.Take(now) {
			asked++
			b.NoteAnswer(false, now)
		}
	}
	if asked > 3*maxLateAnswers || asked < maxLateAnswers {
		t.Errorf("%d questions, want at most %d", asked, 3*maxLateAnswers)
	}
}
