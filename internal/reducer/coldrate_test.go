package reducer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const (
	coldRateOfTest = 10.1 // requests per second
	coldTimeOfTest = 10 * time.Second
	simulationStep = 20 * time.Millisecond
)

// coldEntry is one entry as it appears in a simulation of all that send to one cold server.
type coldEntry struct {
	count, index int           // as the entry knows them
	learnsAt     time.Duration // that the server is cold
	heldUntil    time.Duration // before its share is known
	endsAt       time.Duration // 0 for never
	rate         float64       // of the server, as configured
	rank         int           // among all entries
	state        *State
	pool         *placing.Pool
}

// coldFleet simulates entries that all have requests for one cold server only.
type coldFleet struct {
	entries  []*coldEntry
	random   *rand.Rand
	demand   float64       // probability of a request for the server, at one entry in one step
	wantedAt time.Duration // before it, requests are for other servers
	each     func(f *coldFleet, e *coldEntry, now time.Duration)
	arrivals []time.Duration
	server   placing.ServerInfo
}

func newColdFleet(count int, seed uint64) *coldFleet {
	f := &coldFleet{demand: 1, random: rand.New(rand.NewPCG(uint64(count), seed))}
	f.server = placing.ServerInfo{ID: "s1", Address: "a", Start: 1, Slots: 1000, ColdUntil: testStart.Add(coldTimeOfTest), Site: placing.Site{Domain: "a", Region: "north"}}
	for i := range count {
		f.entries = append(f.entries, &coldEntry{count: count, index: i, rank: i, rate: coldRateOfTest})
	}
	return f
}

// policy sets the share of the entry by what it knows now.
func (e *coldEntry) policy(now time.Duration) {
	e.state.entryCount, e.state.entryIndex = e.count, e.index
	e.state.limitColdRate(&e.pool.Policy, e.rate)
	e.pool.Policy.ColdHeld = now < e.heldUntil
}

func (f *coldFleet) run() {
	for now := time.Duration(0); now < coldTimeOfTest; now += simulationStep {
		at := testStart.Add(now)
		for _, i := range f.random.Perm(len(f.entries)) {
			e := f.entries[i]
			if now < e.learnsAt || e.endsAt > 0 && now >= e.endsAt {
				continue
			}
			if e.pool == nil {
				e.state = &State{}
				e.pool = placing.NewPool(placing.Policy{Service: "web", ColdTime: coldTimeOfTest}, f.server.Site)
				e.pool.Update([]placing.ServerInfo{f.server})
			}
			if f.each != nil {
				f.each(f, e, now)
			}
			e.policy(now)
			request := placing.Request{Class: "page", Object: "o", Remaining: 100 * time.Second, Target: 100 * time.Second}
			if now < f.wantedAt || f.random.Float64() >= f.demand {
				request.Exclude = []string{f.server.ID}
			}
			choice := e.pool.Choose(request, at)
			if choice.Server == nil {
				continue
			}
			e.pool.Begin(choice.Server, at)
			e.pool.End(choice.Server, placing.Outcome{Class: "page", Result: routing.ResultOK}, at)
			f.arrivals = append(f.arrivals, now+time.Duration(f.random.IntN(50))*time.Millisecond)
		}
	}
	slices.Sort(f.arrivals)
}

// most returns the most requests in any second that begins from a time on.
func (f *coldFleet) most(from time.Duration) int {
	most := 0
	for i, first := range f.arrivals {
		if first < from {
			continue
		}
		count := 0
		for _, at := range f.arrivals[i:] {
			if at >= first+time.Second {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

func TestColdServerGetsItsRateAtMostWhateverEntriesKnow(t *testing.T) {
	const seeds = 3
	tests := map[string]struct {
		setUp func(*coldFleet)
		from  time.Duration // of the seconds that are checked
	}{
		"all know all": {setUp: func(*coldFleet) {}},
		"half know half": {setUp: func(f *coldFleet) {
			for i, e := range f.entries {
				if i%2 == 1 {
					e.count, e.index = max(1, len(f.entries)/2), i/2
				}
			}
		}},
		"one failure domain of three knows two": {setUp: func(f *coldFleet) {
			n := len(f.entries)
			for i, e := range f.entries {
				if i >= n-n/3 {
					e.count, e.index = n-n/3, i-n/3
				}
			}
		}},
		"counts differ by a tenth": {setUp: func(f *coldFleet) {
			n := len(f.entries)
			for _, e := range f.entries {
				e.count = n - f.random.IntN(1+n/10)
			}
		}},
		"two have the same index": {setUp: func(f *coldFleet) { f.entries[1].index = f.entries[0].index }},
		"each two have the same index": {setUp: func(f *coldFleet) {
			for i, e := range f.entries {
				e.index = i &^ 1
			}
		}},
		"a tenth is not counted by the others": {setUp: func(f *coldFleet) {
			n := len(f.entries)
			for _, e := range f.entries {
				e.count = n - n/10
				e.index = min(e.index, e.count-1)
			}
		}},
		"one more than the others count": {setUp: func(f *coldFleet) {
			n := len(f.entries)
			f.entries = append(f.entries, &coldEntry{count: n + 1, index: n, rank: n, rate: coldRateOfTest})
		}},
		"a quarter has just started": {setUp: func(f *coldFleet) {
			for i, e := range f.entries {
				if i%4 == 0 {
					e.learnsAt = time.Duration(f.random.IntN(3000)) * time.Millisecond
					e.heldUntil = e.learnsAt + time.Duration(1000+f.random.IntN(3000))*time.Millisecond
				}
			}
		}},
		"they learn of it one after the other": {setUp: func(f *coldFleet) {
			for _, e := range f.entries {
				e.learnsAt = time.Duration(f.random.IntN(2000)) * time.Millisecond
			}
		}},
		"one failure domain after the other learns of it": {setUp: func(f *coldFleet) {
			for i, e := range f.entries {
				e.learnsAt = time.Duration(2-3*i/len(f.entries)) * time.Second
			}
		}},
		"no request wants it for a while": {setUp: func(f *coldFleet) { f.wantedAt = 5 * time.Second }},
		"requests want it now and then":   {setUp: func(f *coldFleet) { f.demand = 0.05 }},
		"the configured rate is halved": {from: 5 * time.Second, setUp: func(f *coldFleet) {
			for _, e := range f.entries {
				e.rate *= 2
			}
			f.each = func(_ *coldFleet, e *coldEntry, now time.Duration) {
				if now >= 4*time.Second+time.Duration(e.rank%50)*20*time.Millisecond {
					e.rate = coldRateOfTest
				}
			}
		}},
		"the configured rate is raised for a while": {from: 5 * time.Second, setUp: func(f *coldFleet) {
			f.each = func(_ *coldFleet, e *coldEntry, now time.Duration) {
				e.rate = coldRateOfTest
				if now >= 2*time.Second && now < 4*time.Second {
					e.rate = 20 * coldRateOfTest
				}
			}
		}},
		"entries come and go": {setUp: func(f *coldFleet) {
			n := len(f.entries)
			for i := range n / 2 {
				ends := time.Duration(1000+f.random.IntN(7000)) * time.Millisecond
				f.entries[i].endsAt = ends
				f.entries = append(f.entries, &coldEntry{
					count: n, index: i, rank: n + i, rate: coldRateOfTest,
					learnsAt: ends + 100*time.Millisecond, heldUntil: ends + time.Duration(1100+f.random.IntN(3000))*time.Millisecond,
				})
			}
			f.each = func(f *coldFleet, e *coldEntry, now time.Duration) {
				// Those that ended stay in the count.
				e.count = n
				for _, other := range f.entries[n:] {
					if other.learnsAt+500*time.Millisecond <= now {
						e.count++
					}
				}
			}
		}},
		"its record is replaced again and again": {setUp: func(f *coldFleet) {
			f.each = func(f *coldFleet, e *coldEntry, now time.Duration) {
				if now%(500*time.Millisecond) == 0 {
					info := f.server
					info.Start, info.Address = int64(now), fmt.Sprint("a", now)
					e.pool.Update([]placing.ServerInfo{info})
				}
			}
		}},
		"its record disappears and returns": {setUp: func(f *coldFleet) {
			f.each = func(f *coldFleet, e *coldEntry, now time.Duration) {
				if now%(500*time.Millisecond) == 0 {
					e.pool.Update(nil)
					e.pool.Update([]placing.ServerInfo{f.server})
				}
			}
		}},
	}
	for name, test := range tests {
		for _, count := range []int{8, 9, 10, 24, 84, 300} {
			t.Run(fmt.Sprint(name, ", ", count, " entries"), func(t *testing.T) {
				for seed := range uint64(seeds) {
					f := newColdFleet(count, seed)
					test.setUp(f)
					f.run()
					if most := f.most(test.from); float64(most) > coldRateOfTest {
						t.Errorf("seed %d: %d requests in a second, %v allowed", seed, most, coldRateOfTest)
					}
					if len(f.arrivals) == 0 {
						t.Errorf("seed %d: it got nothing at all", seed)
					}
				}
			})
		}
	}
}

func TestPaceSurvivesChangesOfTheDocumentAndOfTheRecord(t *testing.T) {
	const allowed = 1 // request in the second of the changes
	load := func(s *State, index uint64, now time.Time, rate float64, services ...string) {
		d := &document.Document{Places: document.Places{Domains: []document.Domain{{Name: "a", Region: "north"}}}}
		for _, name := range services {
			d.Services.Services = append(d.Services.Services, document.Service{
				Name: name, Placing: document.PlacingEntry, ColdRate: rate, Cold: document.Duration(30 * time.Second),
			})
		}
		s.Apply(now, DocumentLoaded{Position: ledger.Position{Term: 2, Index: index}, Document: d})
	}
	record := roster.Record{ID: "s1", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: 5, Sequence: 1, Cold: 30 * time.Second}
	tests := map[string]func(s *State, now time.Time){
		"nothing changes": func(*State, time.Time) {},
		"its service leaves and returns": func(s *State, now time.Time) {
			load(s, 6, now, 10, "other")
			load(s, 7, now, 10, "web", "other")
		},
		"the rate changes": func(s *State, now time.Time) { load(s, 6, now, 9, "web") },
		"the rate is lifted and set again": func(s *State, now time.Time) {
			load(s, 6, now, 0, "web")
			load(s, 7, now, 10, "web")
		},
		"it starts again": func(s *State, now time.Time) {
			again := record
			again.Start, again.Sequence = 6, 2
			s.Apply(now, ServerRecordAnnounced{Record: again})
		},
		"it moves to another address": func(s *State, now time.Time) {
			again := record
			again.Address, again.Sequence = "10.0.0.1:81", 2
			s.Apply(now, ServerRecordAnnounced{Record: again})
		},
		"it ends and starts again": func(s *State, now time.Time) {
			s.Apply(now, ServerRecordAnnounced{Record: record, Withdrawn: true})
			s.Apply(now, Tick{})
			again := record
			again.Start, again.Sequence = 6, 2
			s.Apply(now, ServerRecordAnnounced{Record: again})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := New(Settings{VM: "a1", Peer: "a1:1", Entry: "a1:2", Domain: "a", Region: "north"}, nil, testStart)
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(testStart, ServerRecordAnnounced{Record: record})
			load(s, 5, testStart, 10, "web")
			sent, changed := 0, time.Time{}
			for now := testStart; now.Before(testStart.Add(3 * time.Second)); now = now.Add(20 * time.Millisecond) {
				if !changed.IsZero() && now.Sub(changed) >= time.Second {
					break
				}
				s.Apply(now, Tick{})
				choice := s.placingPools["web"].Choose(placing.Request{Class: "page", Object: "o", Remaining: 100 * time.Second, Target: 100 * time.Second}, now)
				if choice.Server == nil {
					continue
				}
				s.placingPools["web"].Begin(choice.Server, now)
				sent++
				if changed.IsZero() {
					changed = now
					change(s, now)
				}
			}
			if sent != allowed {
				t.Errorf("%d requests in the second of the change, want %d", sent, allowed)
			}
		})
	}
}
