package callerhttp

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// A list names the callers' own failure domain, and more distant entries while too few
// of the domain are known to be ready.
func TestListNearby(t *testing.T) {
	type counts struct{ ready, starting int }
	started := time.Unix(1000, 0)
	tests := map[string]struct {
		own, near, far counts
		age            time.Duration // since the start of the VM that is asked
		want           int           // entries
		ttl            time.Duration
	}{
		"own domain":                   {counts{9, 0}, counts{17, 0}, counts{50, 0}, time.Hour, 9, listTTL},
		"one entry":                    {counts{1, 0}, counts{3, 0}, counts{6, 0}, time.Hour, 4, listTTL},
		"region without entries":       {counts{0, 0}, counts{1, 0}, counts{6, 0}, time.Hour, 7, listTTL},
		"few of the domain ready":      {counts{2, 7}, counts{17, 0}, counts{50, 0}, time.Hour, 19, startingListTTL},
		"half of the domain ready":     {counts{5, 4}, counts{9, 8}, counts{50, 0}, time.Hour, 5, listTTL},
		"few of the region ready":      {counts{2, 7}, counts{4, 13}, counts{20, 30}, time.Hour, 26, startingListTTL},
		"asked VM has just started":    {counts{9, 0}, counts{17, 0}, counts{30, 0}, time.Second, 26, startingListTTL},
		"all have just started":        {counts{1, 8}, counts{0, 17}, counts{2, 28}, time.Second, 26, startingListTTL},
		"no entry of the region known": {counts{0, 0}, counts{0, 0}, counts{10, 20}, time.Second, 30, startingListTTL},
		"asked VM started a while ago": {counts{9, 0}, counts{17, 0}, counts{30, 0}, gossipStartupTime, 9, listTTL},
		"at most the limit":            {counts{2, 7}, counts{4, 13}, counts{90, 0}, time.Hour, 64, startingListTTL},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := &reducer.View{Ready: true, StartedAt: started}
			for i, c := range []counts{test.own, test.near, test.far} {
				domain := reducer.ViewDomain{
					Name:   []string{"a-1", "a-2", "b-1"}[i],
					Region: []string{"a", "a", "b"}[i],
					Alive:  true,
				}
				for n := range c.ready {
					domain.Entries = append(domain.Entries, fmt.Sprintf("10.%d.0.%d:80", i, n))
				}
				for n := range c.starting {
					domain.Starting = append(domain.Starting, fmt.Sprintf("10.%d.1.%d:80", i, n))
				}
				view.Domains = append(view.Domains, domain)
			}
			got := ListNearby(view, "a", "a-1", 64, started.Add(test.age))
			if len(got.Entries) != test.want || got.TTL != test.ttl {
				t.Errorf("%d entries for %v, want %d for %v", len(got.Entries), got.TTL, test.want, test.ttl)
			}
		})
	}
}
