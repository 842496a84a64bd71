package customer

import (
	"testing"
	"time"
)

// The limit of the customers of these tests is 1.6 times what they usually send.
const usualShare = 1 / 1.6

// termsOf returns the terms of a customer by what it usually sends in a second.
func termsOf(usual float64) Terms {
	limit := usual / usualShare
	return Terms{Rate: limit, Burst: limit, Window: 5 * time.Second, Overage: 0.1, Slack: 20}
}

// forAll runs a test for fleets and customers of several sizes.
func forAll(t *testing.T, run func(t *testing.T, f *fleet, usual float64)) {
	fleets := map[string]struct{ entries, domains int }{
		"10 entries in 6 domains":   {10, 6},
		"84 entries in 6 domains":   {84, 6},
		"300 entries in 10 domains": {300, 10},
	}
	customers := map[string]float64{"small": 2, "middle": 20, "large": 400}
	for fleetName, size := range fleets {
		for name, usual := range customers {
			t.Run(name+" customer at "+fleetName, func(t *testing.T) {
				f := newFleet(size.entries, size.domains, termsOf(usual), 7)
				run(t, f, usual)
				if got, bound := most(f.sent, f.terms.Window), f.terms.Bound(); float64(got) > bound {
					t.Errorf("%d requests in a window, at most %.1f are allowed", got, bound)
				}
			})
		}
	}
}

func evenDemand(f *fleet) func() []int {
	var all []int
	for d := range f.domains {
		all = append(all, d)
	}
	return func() []int { return all }
}

func oneDomain(*fleet) func() []int { return func() []int { return []int{0} } }

// A customer whose callers move from region to region, or all use one failure domain, gets
// what one bucket would allow it, with the shares of the other domains.
func TestAllowanceIsUsedWhereTheDemandIs(t *testing.T) {
	demands := map[string]struct {
		times   float64 // of what is usual
		least   float64 // share that is served
		domains func(f *fleet) func() []int
	}{
		"even":                  {1, 0.95, evenDemand},
		"one domain":            {1, 0.95, oneDomain},
		"moving":                {1, 0.95, movingDemand},
		"six times, even":       {6, 0.95, evenDemand},
		"six times, one domain": {6, 0.95, oneDomain},
		// A domain that the demand has left keeps its tokens until it sees that.
		"six times, moving": {6, 0.85, movingDemand},
	}
	for name, demand := range demands {
		t.Run(name, func(t *testing.T) {
			forAll(t, func(t *testing.T, f *fleet, usual float64) {
				const settled, end = 5 * time.Second, 45 * time.Second
				r := newReference(f.terms, 1)
				before, requests := 0, 0
				f.measures = func(*vm) {
					r.arrive(f.now)
					requests++
				}
				f.load(usual*demand.times, end, demand.domains(f))
				f.run(settled)
				before, r.allowed, f.messages, requests = len(f.sent), 0, 0, 0
				f.run(end + time.Second)
				served := float64(len(f.sent) - before)
				if share := served / float64(r.allowed); share < demand.least {
					t.Errorf("served %.3f of what one bucket allows (%v of %d), refused %d, unknown %d", share, served, r.allowed, f.refused, f.unknown)
				}
				t.Logf("served %.3f, %.2f messages per request", served/float64(r.allowed), float64(f.messages)/float64(requests))
			})
		})
	}
}

// movingDemand moves to another region every 2 seconds.
func movingDemand(f *fleet) func() []int {
	return func() []int {
		region := int(f.now/(2*time.Second)) % f.regions
		var domains []int
		for d := range f.domains {
			if f.region(d) == region {
				domains = append(domains, d)
			}
		}
		return domains
	}
}
