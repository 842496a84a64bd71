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
				const settled, end = 3 * time.Second, 23 * time.Second
				r := &reference{rate: f.terms.Rate, burst: f.terms.Burst, tokens: f.terms.Burst}
				f.measures = func(*vm) { r.arrive(f.now) }
				f.load(usual*demand.times, end, demand.domains(f))
				f.run(settled)
				before := len(f.sent)
				r.allowed = 0
				f.run(end + time.Second)
				served := float64(len(f.sent) - before)
				if share := served / float64(r.allowed); share < demand.least {
					t.Errorf("served %.3f of what one bucket allows (%v of %d), refused %d, unknown %d", share, served, r.allowed, f.refused, f.unknown)
				}
				t.Logf("%.2f messages for each request", float64(f.messages)/float64(f.requests))
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

// measureParts counts from now on what is served in parts of the fleet. It returns the least
// share that a part was served of what one bucket with the share of its domains allows.
func (f *fleet) measureParts(partOf func(domain int) int) func() float64 {
	parts, sentBefore := make(map[int]*reference), len(f.sent)
	for d := range f.domains {
		if parts[partOf(d)] == nil {
			parts[partOf(d)] = &reference{at: f.now}
		}
		parts[partOf(d)].rate += f.terms.Rate / float64(len(f.domains))
		parts[partOf(d)].burst += f.terms.Burst / float64(len(f.domains))
	}
	f.measures = func(v *vm) { parts[partOf(v.domain)].arrive(f.now) }
	return func() float64 {
		served, least := make(map[int]int), 1.0
		for _, sent := range f.sent[sentBefore:] {
			served[partOf(sent.domain)]++
		}
		for part, r := range parts {
			if r.allowed > 0 {
				least = min(least, float64(served[part])/float64(r.allowed))
			}
		}
		return least
	}
}

// The bound holds whatever fails, and what is left of the fleet uses its share.
func TestBoundHoldsWhateverFails(t *testing.T) {
	const failsAt, measuredFrom = 3 * time.Second, 8 * time.Second
	whole := func(int) int { return 0 }
	every := func(f *fleet, interval time.Duration, fail func(v *vm)) {
		var next func()
		next = func() {
			members := f.members[f.random.IntN(len(f.members))]
			v := members[0] // the allocator, unless it was replaced
			if f.random.IntN(2) == 0 {
				v = members[f.random.IntN(len(members))]
			}
			if v.quietSince == 0 {
				fail(v)
			}
			f.after(interval, next)
		}
		f.after(interval, next)
	}
	faults := map[string]struct {
		least float64 // share of what is due that each part is served with usual demand; 0 is not checked
		part  func(domain int) int
		fail  func(f *fleet)
	}{
		"messages lost":     {0.95, whole, func(f *fleet) { f.lost = 0.05 }},
		"messages repeated": {0.95, whole, func(f *fleet) { f.repeated = 0.2 }},
		"one domain cut off": {0.8, func(d int) int { return min(d, 1) }, func(f *fleet) {
			f.divide(func(a, b *vm) bool { return (a.domain == 0) != (b.domain == 0) })
		}},
		"half of the domains cut off": {0.8, func(d int) int { return d % 2 }, func(f *fleet) {
			f.divide(func(a, b *vm) bool { return a.domain%2 != b.domain%2 })
		}},
		"every domain alone": {0.8, func(d int) int { return d }, func(f *fleet) {
			f.divide(func(a, b *vm) bool { return a.domain != b.domain })
		}},
		"divided domain": {0.8, whole, func(f *fleet) {
			f.divide(func(a, b *vm) bool { return a.domain == 0 && b.domain == 0 && a.index%2 != b.index%2 })
		}},
		"fleet divided through its domains": {0.8, whole, func(f *fleet) {
			f.divide(func(a, b *vm) bool { return a.index%2 != b.index%2 })
		}},
		"allocators lost and replaced": {0, whole, func(f *fleet) {
			every(f, 700*time.Millisecond, func(v *vm) { f.kill(v, time.Duration(1+f.random.IntN(6))*time.Second) })
		}},
		"VMs frozen": {0, whole, func(f *fleet) {
			every(f, 500*time.Millisecond, func(v *vm) { f.freeze(v, time.Duration(100+f.random.IntN(5000))*time.Millisecond) })
		}},
	}
	for name, fault := range faults {
		for load, times := range map[string]float64{"usual": 1, "six times": 6} {
			t.Run(name+", "+load, func(t *testing.T) {
				forAll(t, func(t *testing.T, f *fleet, usual float64) {
					end := 18 * time.Second
					if usual < 10 && fault.part(0) == fault.part(1) {
						end = 68 * time.Second // enough requests for a share
					}
					f.load(usual*times, end, evenDemand(f))
					f.run(failsAt)
					fault.fail(f)
					f.run(measuredFrom)
					leastServed := f.measureParts(fault.part)
					f.run(end)
					if least := leastServed(); times == 1 && least < fault.least {
						t.Errorf("a part was served %.3f of what is due, refused %d, unknown %d", least, f.refused, f.unknown)
					}
				})
			})
		}
	}
}

// A lowered rate binds one window after all VMs have the document, also where buckets were
// full and allowances of the old rate were given out.
func TestLoweredRateBindsWithinOneWindow(t *testing.T) {
	forAll(t, func(t *testing.T, f *fleet, usual float64) {
		const loweredAt, end = 8 * time.Second, 25 * time.Second
		f.load(usual*6, end, evenDemand(f))
		f.run(loweredAt)
		f.terms.Rate, f.terms.Burst = f.terms.Rate/4, f.terms.Burst/4
		f.document++
		f.run(end)
		var late []dispatched
		for _, s := range f.sent {
			if s.at >= loweredAt+f.terms.Window {
				late = append(late, s)
			}
		}
		f.sent = late
	})
}

// What the buckets hold and gain, in the worst of cases, stays within the bound for every
// document, and each holder has whole tokens.
func TestDivisionStaysWithinTheBound(t *testing.T) {
	for _, rate := range []float64{0.01, 0.3, 2, 20, 400, 1e5} {
		for _, burst := range []float64{0, 0.5, 2, 20, 400, 1e6} {
			for _, slack := range []float64{0, 1, 20, 1000} {
				for _, overage := range []float64{0, 0.1, 1} {
					for _, domains := range []int{0, 1, 6, 10, 200} {
						terms := Terms{Rate: rate, Burst: burst, Window: 5 * time.Second, Overage: overage, Slack: slack, Domains: domains}
						d := Divide(terms, 0)
						lifetimes := (terms.Window + d.TTL + d.LoanTTL).Seconds() + handoverTime.Seconds()/float64(d.Holders)
						if most := d.Rate*lifetimes + d.Capacity; most > terms.Bound()*(1+1e-9) {
							t.Errorf("%+v: up to %v requests in a window, at most %v are allowed", terms, most, terms.Bound())
						}
						for _, entries := range []int{10, 84, 300} {
							with := Divide(terms, entries)
							if given, before := with.Capacity+float64(with.Standing*entries), d.Capacity; given > before*(1+1e-9) || with.Capacity < min(before, 2*float64(d.Holders))*(1-1e-9) {
								t.Errorf("%+v with %d entries: divided as %+v, without standing allowances as %+v", terms, entries, with, d)
							}
						}
						if d.Holders > 1 && d.Capacity < 2*float64(d.Holders)*(1-1e-9) {
							t.Errorf("%+v: %d holders of %v tokens", terms, d.Holders, d.Capacity)
						}
						if d.Rate < 0 || d.Capacity < 0 || d.Holders < 1 || d.TTL < minTTL || d.TTL > maxTTL || d.LoanTTL < minTTL || d.LoanTTL > maxTTL {
							t.Errorf("%+v: divided as %+v", terms, d)
						}
					}
				}
			}
		}
	}
}

// A repeated or late answer must add nothing, a paused VM must keep nothing, and what a
// caller that left had asked for serves the next.
func TestCreditCountsEachAnswerOnce(t *testing.T) {
	limit := Limit{Customer: "acme", Document: 1, Terms: termsOf(20)}
	limit.Terms.Domains = 6
	ttl := Divide(limit.Terms, 0).TTL
	tests := map[string]struct {
		act  func(c *Credit, g Grant)
		held int
	}{
		"answered":             {func(c *Credit, g Grant) { c.Receive(g, testStart) }, 2},
		"repeated":             {func(c *Credit, g Grant) { c.Receive(g, testStart); c.Receive(g, testStart) }, 2},
		"of another question":  {func(c *Credit, g Grant) { g.ID += 7; c.Receive(g, testStart) }, 0},
		"late":                 {func(c *Credit, g Grant) { c.Receive(g, testStart.Add(ttl)) }, 0},
		"paused before it":     {func(c *Credit, g Grant) { c.Reset(); c.Receive(g, testStart) }, 0},
		"paused after it":      {func(c *Credit, g Grant) { c.Receive(g, testStart); c.Reset() }, 0},
		"caller left before":   {func(c *Credit, g Grant) { c.Leave("acme", 1); c.Receive(g, testStart) }, 3},
		"crossed by the next":  {func(c *Credit, g Grant) { c.Ask(testStart.Add(askAgainAfter)); c.Receive(g, testStart) }, 2},
		"for a forgotten name": {func(c *Credit, g Grant) { g.Customer = "other"; c.Receive(g, testStart) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCredit("a1:1", 5)
			if c.Take(limit, testStart) {
				t.Fatal("an allowance was taken that nobody gave")
			}
			c.Park("acme", 1, maxPatience, testStart)
			requests := c.Ask(testStart)
			if len(requests) != 1 || len(c.Ask(testStart)) != 0 {
				t.Fatalf("asked %v, want one question while it is unanswered", requests)
			}
			test.act(c, Grant{ID: requests[0].ID, Customer: "acme", Count: 3})
			if held := c.Held("acme", testStart); held != test.held {
				t.Errorf("holds %d allowances, want %d", held, test.held)
			}
		})
	}
}

// Callers that are refused together must not return together.
func TestRefusedCallersGetTurns(t *testing.T) {
	limit := Limit{Customer: "acme", Document: 1, Terms: termsOf(20)}
	limit.Terms.Domains = 1
	c, a := NewCredit("a1:1", 1), NewAllocator("a1:1", 1, testStart)
	a.SetFleet(Fleet{Domain: "a", Domains: []string{"a"}, Share: 1}, testStart)
	for call := range uint64(200) {
		c.Take(limit, testStart)
		c.Park("acme", call, maxPatience, testStart)
	}
	grant, answered := a.Allow(c.Ask(testStart)[0], limit, testStart)
	if !answered || grant.Count != 0 {
		t.Fatalf("got %+v of an empty bucket, answered %v", grant, answered)
	}
	_, refused := c.Receive(grant, testStart)
	if len(refused) != 200 {
		t.Fatalf("%d requests are refused, want all", len(refused))
	}
	for i, r := range refused {
		if want := min(seconds(float64(i+1)/limit.Terms.Rate), maxWait); (r.Wait - want).Abs() > time.Microsecond {
			t.Errorf("caller %d returns after %v, want %v", i, r.Wait, want)
		}
	}
	if wait, parked := c.Park("acme", 999, maxPatience, testStart); parked || wait != maxWait {
		t.Errorf("parked %v, wait %v: a flood is passed on to the allocator", parked, wait)
	}
}

// A metric for each of thousands of customers would not be bounded.
func TestReportOfCountsIsBounded(t *testing.T) {
	var c Counts
	for i := range 1000 {
		c.Of(string(rune('a'+i%26)) + string(rune('a'+i/26))).Asked = int64(2000 - i)
	}
	c.Of("worst").Asked, c.Of("worst").Refused = 10, 9
	report := c.Report()
	if len(report) != 2*listed+1 || report[listed].Customer != "worst" || report[2*listed].Customer != Rest {
		t.Fatalf("%d lines, the worst is %q", len(report), report[listed].Customer)
	}
	if got, want := report[2*listed].Asked, int64((1001+1961)*961/2); got != want {
		t.Errorf("%d requests of the rest, want %d", got, want)
	}
}

func BenchmarkCreditTake(b *testing.B) {
	limit := Limit{Customer: "acme", Document: 1, Terms: termsOf(400)}
	c := NewCredit("a1:1", 1)
	c.Take(limit, testStart)
	c.accounts["acme"].lots = []lot{{1 << 40, testStart.Add(time.Hour)}}
	b.ReportAllocs()
	for b.Loop() {
		c.Take(limit, testStart)
	}
}

func BenchmarkAllocatorAllow(b *testing.B) {
	limit := Limit{Customer: "acme", Document: 1, Terms: termsOf(400)}
	limit.Terms.Domains = 1
	a := NewAllocator("a1:1", 1, testStart)
	a.SetFleet(Fleet{Domain: "a", Domains: []string{"a"}, Share: 1}, testStart)
	now := testStart
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now = now.Add(time.Millisecond)
		a.Allow(Request{ID: id, Peer: "b1:1", Customer: "acme", Document: 1, Waiting: 1, Arrived: 1}, limit, now)
		a.Wanted(false, now)
	}
}
