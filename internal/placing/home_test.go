package placing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func TestHomeSharesFollowSlots(t *testing.T) {
	even := map[string]float64{"a": 3, "b": 3, "c": 3}
	tests := map[string]struct {
		own   string
		slots map[string]float64
		want  map[string]float64
	}{
		"region with many slots keeps its objects":  {"a", map[string]float64{"a": 50, "b": 10, "c": 40}, map[string]float64{"a": 1}},
		"region with few slots sends the rest away": {"b", map[string]float64{"a": 50, "b": 10, "c": 40}, map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}},
		"region without servers":                    {"b", map[string]float64{"a": 50, "c": 50}, map[string]float64{"a": 0.5, "c": 0.5}},
		"one region":                                {"a", map[string]float64{"a": 50}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := make(map[string]float64)
			for _, s := range homeShares(test.own, test.slots, even) {
				got[s.region] += s.share
			}
			for _, region := range []string{"a", "b", "c"} {
				if math.Abs(got[region]-test.want[region]) > 0.01 {
					t.Errorf("region %s has %.2f of the objects, want %.2f", region, got[region], test.want[region])
				}
			}
		})
	}
}

// When many servers are added in one region, the share of another region's objects that
// get a home there in any two seconds stays below the cap on shifts.
func TestHomesMoveWithinTheCapOnShifts(t *testing.T) {
	const shiftCap = 0.15 // of the requests from one region, in two seconds
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	even := map[string]float64{"a": 1, "b": 1, "c": 1}
	h := homes{target: homeShares("b", map[string]float64{"a": 50, "b": 10, "c": 40}, even)}
	h.advance(now)
	now = now.Add(homeSettleTime)
	h.advance(now)
	h.target = homeShares("b", map[string]float64{"a": 50, "b": 90, "c": 40}, even)
	const objects = 2000
	homeNow := func() []string {
		var list []string
		for i := range objects {
			list = append(list, homeOf(h.shares, xxhash.Sum64String(fmt.Sprint(i))))
		}
		return list
	}
	before := homeNow()
	for range 60 {
		for range 8 {
			now = now.Add(250 * time.Millisecond)
			h.advance(now)
		}
		moved, after := 0, homeNow()
		for i := range after {
			if after[i] != before[i] {
				moved++
			}
		}
		if share := float64(moved) / objects; share > shiftCap {
			t.Fatalf("%.2f of the objects got another home in two seconds, want at most %.2f", share, shiftCap)
		}
		before = after
	}
	if math.Abs(h.shares[0].share-1) > 0.01 {
		t.Errorf("the own region has %.2f of the objects in the end, want all", h.shares[0].share)
	}
}
