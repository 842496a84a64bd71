package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func address(domain string, i int) string { return fmt.Sprint(domain, "-", i) }

// world answers the probes of a tracker.
type world struct {
	Tracker
	servers map[string]int         // number of servers, by failure domain
	cut     map[string]Failure     // how connections to a domain fail
	dead    map[string]bool        // servers that are down, by address
	due     map[int][]func(*world) // results of probes, by time in ms
	probes  int
	ways    map[string][]Way // each way of a domain since the start
	now     int
}

func newWorld(domains ...string) *world {
	w := &world{servers: make(map[string]int), cut: make(map[string]Failure), dead: make(map[string]bool), due: make(map[int][]func(*world)), ways: make(map[string][]Way)}
	for _, d := range domains {
		w.servers[d] = 8
	}
	return w
}

func (w *world) addresses(domain string) []string {
	var list []string
	for i := range w.servers[domain] {
		list = append(list, address(domain, i))
	}
	return list
}

// Times of the world, in milliseconds.
const (
	tickEvery     = 50
	roundTrip     = 40
	connectBounds = 300
)

// run advances the time tick by tick, sends a request every sendEvery ms to the domains in
// turn, and carries probes out.
func (w *world) run(t *testing.T, untilMs, sendEvery int) {
	t.Helper()
	names := make([]string, 0, len(w.servers))
	for name := range w.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	for ; w.now < untilMs; w.now += 10 {
		for _, result := range w.due[w.now] {
			result(w)
		}
		if sendEvery > 0 && w.now%sendEvery == 0 {
			w.send(names[(w.now/sendEvery)%len(names)], w.now)
		}
		if w.now%tickEvery == 0 {
			w.tick()
		}
	}
}

func (w *world) tick() {
	probes, changes := w.Tick(at(w.now), w.addresses)
	for _, c := range changes {
		w.ways[c.Domain] = append(w.ways[c.Domain], c.To)
	}
	w.probes += len(probes)
	for _, p := range probes {
		w.after(w.delay(p.Domain, p.Address), func(w *world) { w.Probed(p, w.failure(p.Domain, p.Address), at(w.now)) })
	}
}

func (w *world) after(ms int, do func(*world)) { w.due[w.now+ms] = append(w.due[w.now+ms], do) }

func (w *world) failure(domain, address string) Failure {
	if w.dead[address] {
		return Refused
	}
	return w.cut[domain]
}

func (w *world) delay(domain, address string) int {
	if w.failure(domain, address) == Late {
		return connectBounds
	}
	return roundTrip
}

// send sends one request on a new connection.
func (w *world) send(domain string, call int) {
	server := address(domain, call/10%w.servers[domain])
	w.Begin(uint64(call), Flight{Domain: domain, Address: server, SentAt: at(w.now), Expected: 100 * time.Millisecond})
	w.after(w.delay(domain, server), func(w *world) {
		w.End(uint64(call))
		if f := w.failure(domain, server); f != "" {
			w.Failed(domain, server, f, at(w.now))
			return
		}
		w.Connected(domain, server, at(w.now))
		w.Answered(domain, at(w.now))
	})
}

func TestCutIsToldFromIllServers(t *testing.T) {
	tests := map[string]struct {
		cut     map[string]Failure
		dead    func(domain string, i int) bool
		want    map[string]Way
		within  int // ms after the trouble began until that is known
		backIn  int // ms after its end
		noWords bool
	}{
		"nothing fails":                     {want: map[string]Way{"a": Open, "b": Open, "c": Open}, noWords: true},
		"all refuse":                        {cut: map[string]Failure{"a": Refused, "b": Refused, "c": Refused}, want: map[string]Way{"a": Kept, "b": Kept, "c": Kept}, within: 500, backIn: 500},
		"all connections late":              {cut: map[string]Failure{"a": Late, "b": Late, "c": Late}, want: map[string]Way{"a": Lost, "b": Lost, "c": Lost}, within: 1000, backIn: 900},
		"one domain refuses":                {cut: map[string]Failure{"b": Refused}, want: map[string]Way{"a": Open, "b": Kept, "c": Open}, within: 600, backIn: 500},
		"one server of each domain is down": {dead: func(_ string, i int) bool { return i == 3 }, want: map[string]Way{"a": Open, "b": Open, "c": Open}},
		"half of the servers are down":      {dead: func(_ string, i int) bool { return i%2 == 0 }, want: map[string]Way{"a": Open, "b": Open, "c": Open}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld("a", "b", "c")
			w.run(t, 2000, 50)
			if len(w.ways) != 0 {
				t.Fatalf("ways changed without trouble: %v", w.ways)
			}
			w.cut = test.cut
			for domain, n := range w.servers {
				for i := range n {
					w.dead[address(domain, i)] = test.dead != nil && test.dead(domain, i)
				}
			}
			w.run(t, 2000+test.within, 50)
			for _, ms := range []int{0, 1000, 4000} {
				w.run(t, 2000+test.within+ms, 50)
				for domain, want := range test.want {
					got := w.Way(domain)
					if got == Doubt && want == Open {
						continue // it is being probed
					}
					if got != want {
						t.Errorf("%d ms after the start of the trouble the way to %s is %v, want %v", test.within+ms, domain, got, want)
					}
				}
			}
			w.cut, w.dead = nil, nil
			w.run(t, w.now+max(test.backIn, 1), 50)
			for domain := range test.want {
				if got := w.Way(domain); got.IsCut() {
					t.Errorf("%d ms after the end the way to %s is %v", test.backIn, domain, got)
				}
			}
			if test.noWords && w.probes != 0 {
				t.Errorf("%d probes without trouble", w.probes)
			}
		})
	}
}

func TestSilenceOfAllServersIsNoticed(t *testing.T) {
	w := newWorld("a", "b")
	w.run(t, 3000, 50)
	w.cut = map[string]Failure{"a": Late, "b": Late}
	// Requests go out on open connections and are not answered.
	for call := range uint64(6) {
		domain := []string{"a", "b"}[call%2]
		w.Begin(100_000+call, Flight{Domain: domain, Address: address(domain, int(call)), SentAt: at(w.now), Expected: 100 * time.Millisecond})
	}
	w.run(t, 4000, 0)
	if !w.AllLost() {
		t.Errorf("a second after all servers fell silent the ways are %v", w.ways)
	}
	if got := len(w.FlightsTo("a")); got != 3 {
		t.Errorf("%d flights to a, want 3", got)
	}
}

// Servers do not answer requests whose bodies callers do not end; that silence counted against the
// ways to them.
func TestAwaitedBodiesAreNoSilence(t *testing.T) {
	for name, partial := range map[string]bool{"whole bodies": false, "bodies that callers still send": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld("a", "b")
			w.run(t, 3000, 50)
			for call := range uint64(300) {
				domain := []string{"a", "b"}[call%2]
				w.Begin(100_000+call, Flight{Domain: domain, Address: address(domain, int(call%5)), SentAt: at(w.now), Expected: 100 * time.Millisecond, Partial: partial})
			}
			probes := w.probes
			w.run(t, 8000, 0)
			if (w.probes > probes) == partial {
				t.Errorf("%d probes for want of answers", w.probes-probes)
			}
			if w.Helpless(at(w.now)) == partial {
				t.Errorf("helpless: %v", !partial)
			}
			if got := len(w.FlightsTo("a")); got != 150 {
				t.Errorf("%d requests are under way to a, want 150", got)
			}
		})
	}
}

func TestSlowServersAreProbedSeldom(t *testing.T) {
	w := newWorld("a")
	w.run(t, 1000, 50)
	for call := range uint64(4) {
		w.Begin(100_000+call, Flight{Domain: "a", Address: address("a", int(call)), SentAt: at(w.now), Expected: 100 * time.Millisecond})
	}
	w.run(t, 31_000, 0)
	const most = 8 * maxProbes // doubts at 0.5 s, 1 s, 2 s, 4 s and then each 8 s
	if w.probes > most || w.probes == 0 {
		t.Errorf("%d probes in 30 s in which servers were slow, want 1 to %d", w.probes, most)
	}
	if w.Way("a").IsCut() {
		t.Errorf("the way to servers that accept connections is %v", w.Way("a"))
	}
}

func TestCutWithoutKnownServersIsTriedAgain(t *testing.T) {
	w := newWorld("a")
	w.run(t, 1000, 50)
	w.cut = map[string]Failure{"a": Refused}
	w.run(t, 2000, 50)
	w.servers["a"] = 0
	w.run(t, 13_000, 0)
	if w.Way("a").IsCut() {
		t.Error("a domain whose servers are no more known counts as cut for ever")
	}
}
