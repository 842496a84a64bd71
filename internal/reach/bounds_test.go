package reach

import "testing"

func eightServers(domain string) []string {
	var list []string
	for i := range 8 {
		list = append(list, address(domain, i))
	}
	return list
}

// flight returns a request to a server of the domain a that is sent at a time and expected so many ms later.
func flight(sentMs, expectedMs int) Flight {
	return Flight{Domain: "a", Address: address("a", 0), SentAt: at(sentMs), Expected: at(expectedMs).Sub(at(0))}
}

// Each bound of docs/design/detour.md is seen from both sides.
func TestBoundsOfADoubt(t *testing.T) {
	tests := map[string]struct {
		play func(*Tracker)
		at   int // ms
		want int // probes
	}{
		"one server fails again and again": {func(w *Tracker) {
			for ms := range 5 {
				w.Failed("a", address("a", 0), Refused, at(ms))
			}
		}, 10, 0},
		"two servers fail":             {func(w *Tracker) { failTwo(w, 0, 5) }, 10, 3},
		"two servers 1.4 s apart":      {func(w *Tracker) { failTwo(w, 0, 1400) }, 1400, 3},
		"two servers 1.6 s apart":      {func(w *Tracker) { failTwo(w, 0, 1600) }, 1600, 0},
		"answer not overdue after 1 s": {func(w *Tracker) { w.Begin(1, flight(0, 1000)) }, 1450, 0},
		"answer overdue after 1 s":     {func(w *Tracker) { w.Begin(1, flight(0, 1000)) }, 1550, 3},
		"quick answer not overdue":     {func(w *Tracker) { w.Begin(1, flight(0, 10)) }, 350, 0},
		"quick answer overdue":         {func(w *Tracker) { w.Begin(1, flight(0, 10)) }, 450, 3},
		"overdue, another one came":    {func(w *Tracker) { w.Begin(1, flight(0, 10)); w.Answered("a", at(100)) }, 450, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &Tracker{}
			w.Connected("a", address("a", 7), at(0))
			test.play(w)
			if probes, _ := w.Tick(at(test.at), eightServers); len(probes) != test.want {
				t.Errorf("%d probes at %d ms, want %d", len(probes), test.at, test.want)
			}
		})
	}
}

// failTwo lets connections to two servers of the domain a fail.
func failTwo(w *Tracker, firstMs, secondMs int) {
	w.Failed("a", address("a", 0), Refused, at(firstMs))
	w.Failed("a", address("a", 1), Refused, at(secondMs))
}

func TestDoubtEndsUnconfirmed(t *testing.T) {
	w := &Tracker{}
	failTwo(w, 0, 0)
	w.Tick(at(0), eightServers)
	ways := map[int]Way{1950: Doubt, 2050: Open}
	for _, ms := range []int{1950, 2050} {
		w.Tick(at(ms), eightServers)
		if got := w.Way("a"); got != ways[ms] {
			t.Errorf("at %d ms the way is %v, want %v", ms, got, ways[ms])
		}
	}
	for ms, want := range map[int]Way{2500: Open, 2600: Doubt} {
		next := &Tracker{}
		*next = *w
		d := *w.domains[0]
		next.domains = []*domain{&d}
		failTwo(next, ms, ms)
		next.Tick(at(ms), eightServers)
		if got := next.Way("a"); got != want {
			t.Errorf("two servers that fail again at %d ms: the way is %v, want %v", ms, got, want)
		}
	}
}

func TestCutNeedsThreeServersThatFailedLately(t *testing.T) {
	for name, test := range map[string]struct {
		last int // ms at which the last probe fails
		want Way
	}{
		"all at once":    {100, Kept},
		"one much later": {1700, Doubt},
	} {
		t.Run(name, func(t *testing.T) {
			w := &Tracker{}
			failTwo(w, 0, 0)
			probes, _ := w.Tick(at(0), eightServers)
			if len(probes) != 3 {
				t.Fatalf("%d probes, want 3", len(probes))
			}
			for i, p := range probes {
				ms := 50
				if i == len(probes)-1 {
					ms = test.last
				}
				w.Probed(p, Refused, at(ms))
			}
			w.Tick(at(test.last), eightServers)
			if got := w.Way("a"); got != test.want {
				t.Errorf("the way is %v, want %v", got, test.want)
			}
		})
	}
}

// cutAt returns a tracker whose way to the domain a is cut at a time.
func cutAt(t *testing.T, ms int) *Tracker {
	t.Helper()
	w := &Tracker{}
	failTwo(w, ms-100, ms-100)
	probes, _ := w.Tick(at(ms-100), eightServers)
	for _, p := range probes {
		w.Probed(p, Refused, at(ms))
	}
	w.Tick(at(ms), eightServers)
	if !w.Way("a").IsCut() {
		t.Fatalf("the way is %v, want it cut", w.Way("a"))
	}
	return w
}

func TestCutDomainIsProbedEach400ms(t *testing.T) {
	w := cutAt(t, 0)
	total := 0
	for ms := 10; ms <= 4000; ms += 10 {
		probes, _ := w.Tick(at(ms), eightServers)
		for _, p := range probes {
			w.Probed(p, Refused, at(ms))
		}
		total += len(probes)
	}
	if total != 10 {
		t.Errorf("%d probes in 4 s, want 10", total)
	}
}

func TestCutLasts10sWithoutServersToProbe(t *testing.T) {
	used := func(string) []string { return nil }
	w := cutAt(t, 0)
	w.Begin(1, flight(0, 60_000))
	w.End(1)
	for ms, want := range map[int]bool{9900: true, 10_100: false} {
		next := &Tracker{}
		d := *w.domains[0]
		next.domains = []*domain{&d}
		next.Tick(at(ms), used)
		if got := next.Way("a").IsCut(); got != want {
			t.Errorf("at %d ms cut is %v, want %v", ms, got, want)
		}
	}
}

func TestOthersAreProbedOnACutUnlessJustConnected(t *testing.T) {
	for ms, want := range map[int]Way{250: Open, 350: Doubt} {
		w := &Tracker{}
		failTwo(w, 900, 900)
		probes, _ := w.Tick(at(900), eightServers)
		for _, p := range probes {
			w.Probed(p, Refused, at(1000))
		}
		w.Connected("b", address("b", 0), at(1000-ms))
		w.Tick(at(1000), eightServers)
		if got := w.Way("b"); got != want {
			t.Errorf("connected %d ms before the cut of another: the way is %v, want %v", ms, got, want)
		}
	}
}

func TestBoundsOfSilence(t *testing.T) {
	tests := map[string]struct {
		flights int
		gap     int // ms between answers
		silence int // ms since the last one
		want    bool
	}{
		"two requests wait":               {2, 10, 5000, false},
		"three requests wait":             {3, 10, 5000, true},
		"240 ms of frequent answers":      {3, 10, 240, false},
		"260 ms of frequent answers":      {3, 10, 260, true},
		"1.9 s of answers twice a second": {3, 500, 1900, false},
		"2.1 s of answers twice a second": {3, 500, 2100, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const answers = 200
			w := &Tracker{}
			for i := range answers {
				w.Answered("a", at(i*test.gap))
			}
			last := (answers - 1) * test.gap
			for call := range test.flights {
				w.Begin(uint64(call), flight(last, 60_000))
			}
			if got := w.Helpless(at(last + test.silence)); got != test.want {
				t.Errorf("silent: %v, want %v", got, test.want)
			}
		})
	}
}
