package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a model of entries that place requests on shared servers. An object has two servers;
// placing refuses a request when the queues of both are full, as of the last report of the load.
type fleet struct {
	entries  []*Shares // nil entries place everything
	flows    []flow
	capacity float64 // requests a second of all servers
	warmUp   time.Duration
	length   time.Duration

	growth  float64 // of the capacity, at a time
	growsAt time.Duration
}

// flow is the demand of a customer in one failure domain.
type flow struct {
	customer string
	rate     float64
	from     []int // entries that its callers use
	rank     int

	begins time.Duration // of a flood; the rate is a sixth before
}

func (f flow) rateAt(at time.Duration) float64 {
	if at < f.begins {
		return f.rate / 6
	}
	return f.rate
}

// outcome counts what became of the requests after the warm-up.
type outcome struct {
	asked, served []float64 // by flow
	fair, full    float64   // refused
	used          []float64 // part of the capacity, by second
}

const (
	servers     = 30
	objects     = 400
	slotTime    = 200 * time.Millisecond // of work that a server's slots hold
	queueTime   = 500 * time.Millisecond // of work that fills a server's queue
	reportEvery = 200 * time.Millisecond
	step        = 5 * time.Millisecond
	minAsked    = 300  // requests from which a served share is no matter of chance
	reference   = 2900 // four times the largest rate limit of the customers below
)

var start = time.Unix(1_000_000, 0)

func (f fleet) run(seed uint64) outcome {
	random, arrivals := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	o := outcome{asked: make([]float64, len(f.flows)), served: make([]float64, len(f.flows))}
	var backlog, reported [servers]float64
	limit := f.capacity / servers * queueTime.Seconds()
	due := make([]float64, len(f.flows))
	placed, second := 0.0, 0
	for at := time.Duration(0); at < f.length; at += step {
		now := start.Add(at)
		if f.growth > 0 && at == f.growsAt {
			f.capacity *= f.growth
		}
		if at%reportEvery == 0 {
			reported = backlog
		}
		for i := range backlog {
			done := min(backlog[i], f.capacity/servers*step.Seconds())
			backlog[i] -= done
			placed += done
		}
		if at > 0 && at%time.Second == 0 {
			if second++; at >= f.warmUp {
				o.used = append(o.used, placed/f.capacity)
			}
			placed = 0
		}
		for i, fl := range f.flows {
			for due[i] += fl.rateAt(at) * step.Seconds() * 2 * arrivals.Float64(); due[i] >= 1; due[i]-- {
				entry := f.entries[fl.from[random.IntN(len(fl.from))]]
				counts := at >= f.warmUp
				if counts {
					o.asked[i]++
				}
				object := random.IntN(objects)
				server := object % servers
				if second := (object * 7) / 3 % servers; reported[second] < reported[server] {
					server = second
				}
				queue := limit * max(1-0.15*float64(fl.rank), 0.2)
				result := Queued
				if reported[server] < f.capacity/servers*slotTime.Seconds() {
					result = Room
				}
				request := Request{Customer: fl.customer, Route: "route", Rank: fl.rank, Demand: fl.rateAt(at), Room: result == Room}
				if entry != nil {
					if ok, retry := entry.Admit(request, now); !ok {
						if retry < minRetryAfter || retry > maxRetryAfter {
							panic(retry)
						}
						if counts {
							o.fair++
						}
						continue
					}
				}
				refused := reported[server] >= queue || backlog[server] >= 2*limit
				if refused {
					result = Refused
				} else {
					backlog[server]++
				}
				if counts && refused {
					o.full++
				}
				if counts && !refused {
					o.served[i]++
				}
				if entry != nil {
					entry.Placed(request, result, now)
				}
			}
		}
	}
	return o
}

func (o outcome) refused() float64 { return o.fair + o.full }

// level returns the max-min level of the flows at a capacity.
func level(flows []flow, capacity float64) float64 {
	rates := make([]float64, 0, len(flows))
	for _, f := range flows {
		rates = append(rates, f.rate)
	}
	slices.Sort(rates)
	for i, rate := range rates {
		if equal := capacity / float64(len(rates)-i); rate > equal {
			return equal
		}
		capacity -= rate
	}
	return math.Inf(1)
}

func newShares(count int, with bool) []*Shares {
	entries := make([]*Shares, count)
	for i := range entries {
		if with {
			entries[i] = New(uint64(i + 1))
			entries[i].Reference = reference
		}
	}
	return entries
}

// zipfFlows returns 76 customers with a total rate, whose callers use all entries.
func zipfFlows(total float64, entries int) []flow {
	const customers = 76
	flows, sum := make([]flow, customers), 0.0
	all := make([]int, entries)
	for i := range all {
		all[i] = i
	}
	for i := range flows {
		size := math.Pow(float64(i+1), -1.2)
		sum += size
		flows[i] = flow{customer: fmt.Sprintf("customer-%d", i), rate: size, from: all}
	}
	for i := range flows {
		flows[i].rate *= total / sum
	}
	return flows
}

// total returns the rate of all flows.
func total(flows []flow) float64 {
	sum := 0.0
	for _, f := range flows {
		sum += f.rate
	}
	return sum
}

// The level once fell too far when a flood began, or rose too slowly when there was room again, so
// that capacity was left unused.
func TestChangesLeaveNoCapacityUnused(t *testing.T) {
	cases := map[string]struct {
		begins time.Duration
		growth float64
	}{
		"flood begins":    {begins: 5 * time.Second},
		"capacity rises":  {growth: 1.4},
		"no longer short": {growth: 2},
		"capacity falls":  {growth: 0.7},
	}
	for name, c := range cases {
		for _, entries := range []int{10, 84, 300} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				flows := zipfFlows(1600, entries)
				flows[1].rate *= 6
				flows[1].begins = c.begins
				f := fleet{flows: flows, capacity: 0.6 * total(flows), warmUp: 2 * time.Second, length: 30 * time.Second, growth: c.growth, growsAt: 10 * time.Second}
				f.entries = newShares(entries, false)
				alone := f.run(3)
				f.entries = newShares(entries, true)
				shared := f.run(3)
				if got, limit := shared.refused(), alone.refused()*1.02; got > limit {
					t.Errorf("%.0f refused, %.0f by placing alone", got, alone.refused())
				}
				for i, used := range shared.used {
					if used < 0.9*min(alone.used[i], 1) {
						t.Errorf("used %.2f of the capacity in second %d, %.2f by placing alone", used, i+3, alone.used[i])
					}
				}
			})
		}
	}
}

// A customer at six times its usual rate takes from others what they were owed.
func TestFloodCostsOthersNothing(t *testing.T) {
	cases := map[string]struct {
		entries int
		flooder int
		few     int  // entries that the flooder's callers use; 0 for all
		ofUsual bool // capacity in parts of the usual demand instead of that with the flood
	}{
		"10 entries, largest customer at all":  {entries: 10},
		"10 entries, largest at 2":             {entries: 10, few: 2},
		"84 entries, largest at all":           {entries: 84},
		"84 entries, largest at 4":             {entries: 84, few: 4},
		"84 entries, third at 4":               {entries: 84, few: 4, flooder: 2},
		"84 entries, third, short without it":  {entries: 84, few: 4, flooder: 2, ofUsual: true},
		"300 entries, largest at all":          {entries: 300},
		"300 entries, largest at 6":            {entries: 300, few: 6},
		"300 entries, tenth, short without it": {entries: 300, few: 6, flooder: 9, ofUsual: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			total := 1600.0
			flows := zipfFlows(total, c.entries)
			usual := slices.Clone(flows)
			flood := &flows[c.flooder]
			total += 5 * flood.rate
			flood.rate *= 6
			if c.few > 0 {
				flood.from = flood.from[:c.few]
			}
			capacity := 0.6 * total
			if c.ofUsual {
				capacity = 0.6 * 1600
			}
			f := fleet{flows: flows, capacity: capacity, warmUp: 10 * time.Second, length: 40 * time.Second}
			f.entries = newShares(c.entries, false)
			alone := f.run(7)
			f.entries = newShares(c.entries, true)
			shared := f.run(7)
			calm := f
			calm.flows, calm.entries = usual, newShares(c.entries, true)
			without := calm.run(7)
			if got, limit := shared.refused(), alone.refused()*1.02; got > limit {
				t.Errorf("%.0f refused, %.0f by placing alone", got, alone.refused())
			}
			if least := slices.Min(shared.used); least < 0.9 {
				t.Errorf("used %.2f of the capacity in one second", least)
			}
			fair := level(flows, capacity)
			var below, belowWithout, got, owed float64
			for i, fl := range flows {
				share, shareWithout := shared.served[i]/shared.asked[i], without.served[i]/without.asked[i]
				if fl.rate < 0.8*fair && i != c.flooder {
					below += shared.served[i]
					belowWithout += without.served[i]
					if shared.asked[i] > minAsked && share < 0.9*shareWithout {
						t.Errorf("customer %d got %.3f, %.3f without the flood", i, share, shareWithout)
					}
				}
				if fl.rate > fair {
					got += shared.served[i]
					owed += fair * (f.length - f.warmUp).Seconds()
				}
			}
			if below < 0.95*belowWithout {
				t.Errorf("customers below the level got %.3f of what they get without the flood", below/belowWithout)
			}
			if got > 1.25*owed || got < 0.8*owed {
				t.Errorf("customers above the level got %.2f of what they were owed", got/owed)
			}
		})
	}
}

// Customers were refused by a level left over from a single refusal, or by one of another rank.
func TestNothingIsRefusedWithoutNeed(t *testing.T) {
	cases := map[string]struct {
		capacity float64 // in parts of the demand
		urgent   int     // customers of rank 0, which need less than the capacity
	}{
		"capacity for all":       {capacity: 1.25},
		"only rank 1 is short":   {capacity: 0.6, urgent: 40},
		"capacity for just less": {capacity: 1.05},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			flows := zipfFlows(1600, 84)
			slices.Reverse(flows)
			for i := range flows[c.urgent:] {
				flows[c.urgent+i].rank = 1
			}
			f := fleet{flows: flows, capacity: c.capacity * 1600, warmUp: 5 * time.Second, length: 20 * time.Second, entries: newShares(84, true)}
			o := f.run(5)
			if c.urgent == 0 && o.fair > 0 {
				t.Errorf("%.0f requests were refused for fair share", o.fair)
			}
			for _, entry := range f.entries {
				if refused := entry.Refused(0); refused > 0 {
					t.Errorf("%d requests of the urgent rank were refused for fair share", refused)
				}
			}
		})
	}
}

// shortShares returns shares of one entry at which placing has refused half of 100 requests a
// second of many customers for seconds.
func shortShares(now time.Time) *Shares {
	s := New(1)
	for i := range 500 {
		s.Placed(Request{Customer: "others", Route: "usual"}, Result(i%2), now.Add(time.Duration(i-500)*10*time.Millisecond))
	}
	return s
}

// A less urgent rank would be refused nothing while a more urgent one is short.
func TestLevelsFollowTheRanks(t *testing.T) {
	s := shortShares(start)
	if urgent, other := s.Level(0, start), s.Level(3, start); other > urgent || math.IsInf(urgent, 1) {
		t.Errorf("level %.1f of the urgent rank, %.1f of the other", urgent, other)
	}
}

// A table that grows with the names that requests carry exhausts the memory of an entry.
func TestMemoryIsBounded(t *testing.T) {
	s := shortShares(start)
	for i := range 200_000 {
		name := fmt.Sprint(i % 10_000)
		q := Request{Customer: name, Route: name, Demand: 5}
		now := start.Add(time.Duration(i) * time.Millisecond)
		if ok, _ := s.Admit(q, now); ok {
			s.Placed(q, Queued, now)
		}
	}
	if len(s.customers) > maxCustomers || len(s.routes) > maxRoutes {
		t.Errorf("%d customers and %d routes are remembered", len(s.customers), len(s.routes))
	}
	s.Admit(Request{Customer: "late"}, start.Add(10*time.Minute))
	if len(s.customers) != 1 {
		t.Errorf("%d customers are remembered after minutes without requests", len(s.customers))
	}
}

// A customer far above the level, or the only route of one, would be served next to never.
func TestNoneIsStarved(t *testing.T) {
	s := shortShares(start)
	served, all := 0.0, 2000.0
	for i := range int(all) {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		s.Placed(Request{Customer: "others", Route: "usual"}, Result(i%2), now)
		q := Request{Customer: "large", Route: "rare", Demand: 1e6}
		if ok, _ := s.Admit(q, now); ok {
			s.Placed(q, Queued, now)
			served++
		}
	}
	if share := served / all; share < 0.25*(0.5+share)/2 || share > 0.3 {
		t.Errorf("served %.2f of the requests", share)
	}
}

// Callers that are all asked to return at one time are refused again together.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	s := shortShares(start)
	var times []time.Duration
	for range 200 {
		q := Request{Customer: "large", Demand: 2 * s.Level(0, start)}
		ok, retry := s.Admit(q, start)
		if ok {
			s.Placed(q, Queued, start)
			continue
		}
		times = append(times, retry)
	}
	slices.Sort(times)
	refused := len(times)
	if distinct := len(slices.Compact(times)); distinct < refused/2 || refused < 50 {
		t.Errorf("%d refused, %d different times", refused, distinct)
	}
}

func BenchmarkAdmit(b *testing.B) {
	s := shortShares(start)
	q := Request{Customer: "large", Route: "usual", Demand: 100}
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if ok, _ := s.Admit(q, now); ok {
			s.Placed(q, Result(i%3), now)
		}
	}
}

// The load at the choice of a server may be many seconds old where an entry sends little: the level
// stayed low long after a flood.
func TestReportsOfRoomEndTheShortage(t *testing.T) {
	s, now := shortShares(start), start
	for range 40 * 10 {
		now = now.Add(100 * time.Millisecond)
		s.Placed(Request{Customer: "others", Route: "usual"}, Queued, now)
		s.Reported(0, true, now)
	}
	if level := s.Level(0, now); !math.IsInf(level, 1) {
		t.Errorf("level %.1f after 40 s with free slots", level)
	}
}
