package placing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Orders were computed anew for each request that only some regions may run, and one set of regions
// must not get the order of another.
func TestOrdersAreCachedPerSetOfRegions(t *testing.T) {
	p := NewPool(Policy{}, Site{Domain: "d0", Region: "r0"})
	var infos []ServerInfo
	for i := range 30 {
		infos = append(infos, ServerInfo{ID: fmt.Sprint("s", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: 4, Start: 1, Site: Site{Domain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%3)}})
	}
	p.Update(infos)
	request := func(key string, regions ...string) Request {
		return Request{Class: "c", Object: "o", Remaining: time.Second, Target: time.Second, AllowedKey: key, Allowed: func(region string) bool { return slices.Contains(regions, region) }}
	}
	tests := map[string][]string{"first": {"r0"}, "second": {"r1", "r2"}, "third": {"r2"}}
	for range 2 { // computed, then cached
		for key, regions := range tests {
			got := p.orderOf(1, "", request(key, regions...), start)
			if want := p.orderOf(1, "", request("", regions...), start); got != want {
				t.Errorf("order %v for %v, without the cache %v", got, regions, want)
			}
		}
	}
	if len(p.orders) != len(tests) {
		t.Errorf("%d orders are cached, want %d", len(p.orders), len(tests))
	}
}
