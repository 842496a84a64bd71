package plan

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/shift"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func twoRegions() *document.Document {
	d := &document.Document{}
	d.Places.Regions = []document.Region{{Name: "n"}, {Name: "s"}}
	d.Places.Domains = []document.Domain{{Name: "n1", Region: "n"}, {Name: "n2", Region: "n"}, {Name: "s1", Region: "s"}}
	d.Places.Latencies = []document.Latency{{From: "n", To: "s", OneWay: document.Duration(20 * time.Millisecond)}}
	for i := range 4 {
		place := document.Place{Name: fmt.Sprint("p", i), Region: "n"}
		for j := range 250 {
			place.Blocks = append(place.Blocks, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(j), 0}), 24))
		}
		d.Places.Places = append(d.Places.Places, place)
	}
	d.Services.Services = []document.Service{{Name: "web", Cap: 0.2, Interval: document.Duration(time.Second)}}
	return d
}

func statusesOf(d *document.Document, capacity int, demand float64) []DomainStatus {
	var statuses []DomainStatus
	for _, domain := range d.Places.Domains {
		statuses = append(statuses, DomainStatus{
			Name:       domain.Name,
			Region:     domain.Region,
			Alive:      true,
			LoadsFresh: true,
			Loads:      []Load{{Service: "web", Capacity: capacity, Demand: demand}},
		})
	}
	return statuses
}

func TestNestedBlocks(t *testing.T) {
	blocks := NewBlocks([]document.Place{
		{Name: "a", Blocks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("2001:db8::/32")}},
		{Name: "b", Blocks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("2001:db8:1::/48")}},
		{Name: "c", Blocks: []netip.Prefix{netip.MustParsePrefix("255.255.255.0/24")}},
	})
	tests := map[string]struct {
		address string
		want    int
	}{
		"outer":            {"10.0.0.1", 0},
		"inner":            {"10.1.2.3", 1},
		"outer after":      {"10.2.0.0", 0},
		"before all":       {"9.255.255.255", NoPlace},
		"after outer":      {"11.0.0.0", NoPlace},
		"end of addresses": {"255.255.255.255", 2},
		"v6 outer":         {"2001:db8::1", 0},
		"v6 inner":         {"2001:db8:1::1", 1},
		"v6 none":          {"2001:db9::1", NoPlace},
		"mapped":           {"::ffff:10.1.0.1", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if place, _ := blocks.Find(netip.MustParseAddr(test.address)); place != test.want {
				t.Errorf("place %d, want %d", place, test.want)
			}
		})
	}
}

// A place that consists of one large block must still be spread over its
// domains.
func TestLargeBlockIsSpread(t *testing.T) {
	d := twoRegions()
	d.Places.Places = d.Places.Places[:1]
	d.Places.Places[0].Blocks = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/16")}
	s := &State{}
	s.Tick(start, d, statusesOf(d, 10, 1))
	table := s.Table(NewBlocks(d.Places.Places))
	var counts [3]int
	for i := range 256 {
		counts[table.Lookup(0, netip.AddrFrom4([4]byte{10, 0, byte(i), 1})).Domains[0]]++
	}
	if counts[0] < 80 || counts[1] < 80 {
		t.Errorf("units per domain %v, want about half in each of the first two", counts)
	}
}

func placements(s *State, d *document.Document) map[netip.Addr]int16 {
	table := s.Table(NewBlocks(d.Places.Places))
	placed := make(map[netip.Addr]int16)
	for _, place := range d.Places.Places {
		for _, block := range place.Blocks {
			placed[block.Addr()] = table.Lookup(0, block.Addr()).Domains[0]
		}
	}
	return placed
}

// When a region dies, in each interval at most the plan's part of the cap of all
// blocks moves away from it, and after 30 intervals all have moved.
func TestFailoverMovesWithinTheCap(t *testing.T) {
	d := twoRegions()
	s := &State{}
	statuses := statusesOf(d, 10, 1)
	s.Tick(start, d, statuses)
	before := placements(s, d)
	statuses[0].Alive = false
	statuses[1].Alive = false
	now := start
	for interval := range 30 {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			s.Tick(now, d, statuses)
		}
		after := placements(s, d)
		moved := 0
		for address, domain := range after {
			if before[address] != domain {
				moved++
			}
		}
		const sampling = 0.02 // blocks are a finite sample of the hash space
		if share := float64(moved) / float64(len(after)); share > 0.2*shift.PlanShare+sampling {
			t.Fatalf("interval %d: %.3f of the blocks moved", interval, share)
		}
		before = after
	}
	for address, domain := range before {
		if domain != 2 {
			t.Fatalf("block %s still leads to domain %d", address, domain)
		}
	}
}

// Without fresh loads the weights must not move, whatever the stale loads say.
func TestMissingMeasurementsMoveNothing(t *testing.T) {
	d := twoRegions()
	s := &State{}
	statuses := statusesOf(d, 10, 1)
	s.Tick(start, d, statuses)
	before := placements(s, d)
	for i := range statuses {
		statuses[i].LoadsFresh = false
		statuses[i].Loads[0].Demand = 100
	}
	for i := range 100 {
		s.Tick(start.Add(time.Duration(i)*time.Second), d, statuses)
	}
	for address, domain := range placements(s, d) {
		if before[address] != domain {
			t.Fatalf("block %s moved while measurements were missing", address)
		}
	}
}

// Demand near the capacity is reported one second after the weights that caused
// it. The weights must settle all the same, not swing between the regions.
func TestNoOscillation(t *testing.T) {
	d := twoRegions()
	s := &State{}
	statuses := statusesOf(d, 10, 5)
	now := start
	var share []float64
	delayed := 0.0
	for range 300 {
		now = now.Add(time.Second)
		const offered = 24.0
		_, weights := s.Weights("web", "p0")
		north := 1.0
		if weights != nil {
			north = weights[0] + weights[1]
		}
		statuses[0].Loads[0].Demand = delayed / 2
		statuses[1].Loads[0].Demand = delayed / 2
		delayed = offered * north
		s.Tick(now, d, statuses)
		share = append(share, north)
	}
	low, high := 1.0, 0.0
	for _, value := range share[200:] {
		low, high = min(low, value), max(high, value)
	}
	if high-low > 0.1 {
		t.Errorf("share of the near region oscillates between %.2f and %.2f", low, high)
	}
}

func bigDocument() *document.Document {
	const places, blocksPerPlace = 120, 4250
	d := &document.Document{}
	for i := range 4 {
		d.Places.Regions = append(d.Places.Regions, document.Region{Name: fmt.Sprint("r", i)})
	}
	for i := range 10 {
		d.Places.Domains = append(d.Places.Domains, document.Domain{Name: fmt.Sprint("d", i), Region: fmt.Sprint("r", i%4)})
	}
	for i := range places {
		place := document.Place{Name: fmt.Sprint("p", i), Region: fmt.Sprint("r", i%4)}
		for j := range blocksPerPlace {
			n := i*blocksPerPlace + j
			address := netip.AddrFrom4([4]byte{byte(1 + n>>16), byte(n >> 8), byte(n), 0})
			place.Blocks = append(place.Blocks, netip.PrefixFrom(address, 24))
		}
		d.Places.Places = append(d.Places.Places, place)
	}
	d.Services.Services = []document.Service{{Name: "web", Cap: 0.2, Interval: document.Duration(time.Second)}}
	return d
}

func BenchmarkLookup(b *testing.B) {
	d := bigDocument()
	s := &State{}
	s.Tick(start, d, statusesOf(d, 10, 1))
	table := s.Table(NewBlocks(d.Places.Places))
	random := rand.New(rand.NewPCG(1, 2))
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		n := random.IntN(510_000)
		clients[i] = netip.AddrFrom4([4]byte{byte(1 + n>>16), byte(n >> 8), byte(n), 7})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		table.Lookup(0, clients[i&(len(clients)-1)])
		i++
	}
	b.ReportMetric(float64(table.Blocks.Bytes())/(1<<20), "MB-table")
}
