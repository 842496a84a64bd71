package customer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds on how an allowance is divided.
const (
	minTTL         = 200 * time.Millisecond // covers a question across regions, 40 ms, on busy VMs
	fullLinkTTL    = 500 * time.Millisecond // of an allowance: covers a question and its answer over an entry's link at its capacity, 0.25 s each
	maxTTL         = 2 * time.Second        // demand moves between regions within this time
	handoverTime   = time.Second            // two VMs of a domain may take themselves for its allocator at a time
	maxStanding    = 8                      // standing allowances of an entry: enough for answers that take a second where it sends 8 requests a second
	standingPart   = 0.4                    // of the burst that entries may hold; the rest moves to where the demand is
	tokensPerShare = 2                      // with fewer, the fractions that all domains hold back are most of a small allowance
)

// Terms are the allowance of a customer and how it is counted.
type Terms struct {
	Rate, Burst    float64 // requests a second, and requests beyond these
	Window         time.Duration
	Overage, Slack float64
	Domains        int // failure domains of the document
}

// Bound returns the most requests in any window.
func (t Terms) Bound() float64 {
	return (t.Rate*t.Window.Seconds()+t.Burst)*(1+t.Overage) + t.Slack
}

// Division is how an allowance is divided over the failure domains.
type Division struct {
	Rate     float64       // tokens a second in all domains
	Capacity float64       // tokens in all domains
	Holders  int           // domains that hold an equal share of both
	TTL      time.Duration // of an allowance, from when it was asked for
	LoanTTL  time.Duration // the same of a borrowed token
	Standing int           // allowances that each entry may hold without an end
}

// Divide returns the division under which the requests of any window stay within the
// bound, whatever becomes of messages and VMs: of the tokens that it permits beyond the
// rate, the buckets and entries hold the burst, and the rest pays for lifetimes and changes
// of an allocator. With standing allowances an entry need not ask before it sends: on links
// at their capacity an answer takes hundreds of milliseconds. There are none for a customer
// whose burst is too small for all entries, and where their number is unknown, 0.
func Divide(t Terms, entries int) Division {
	domains := max(1, t.Domains)
	spare := t.Bound() - t.Rate*t.Window.Seconds()
	wanted := max(t.Burst, float64(tokensPerShare*domains))
	capacity := func(holders int, ttl time.Duration) float64 {
		return min(wanted, spare-t.Rate*((ttl+minTTL).Seconds()+handoverTime.Seconds()/float64(holders)))
	}
	d := Division{Rate: t.Rate, Holders: domains, TTL: fullLinkTTL, LoanTTL: minTTL}
	if capacity(domains, fullLinkTTL) < float64(tokensPerShare*domains) {
		d.TTL = minTTL // the bound pays for little: tokens at each domain are worth more than late answers
	}
	for d.Holders > 1 && capacity(d.Holders, d.TTL) < float64(tokensPerShare*d.Holders) {
		d.Holders--
	}
	d.Capacity = capacity(d.Holders, d.TTL)
	if d.Capacity < 1 {
		// The bound does not even pay for the shortest lifetimes at the full rate.
		d.Capacity = min(1, t.Bound())
		d.Rate = min(t.Rate, (t.Bound()-d.Capacity)/(t.Window+2*minTTL+handoverTime).Seconds())
		return d
	}
	if t.Rate > 0 {
		left := spare - d.Capacity - t.Rate*((d.TTL+d.LoanTTL).Seconds()+handoverTime.Seconds()/float64(d.Holders))
		both := d.TTL + d.LoanTTL + max(0, seconds(left/t.Rate))
		d.TTL = min(max(d.TTL, both/2), maxTTL)
		d.LoanTTL = min(both-d.TTL, maxTTL)
	}
	if entries > 0 {
		spare := (d.Capacity - float64(tokensPerShare*d.Holders)) * standingPart
		d.Standing = max(0, min(int(spare/float64(entries)), maxStanding))
		d.Capacity -= float64(d.Standing * entries)
	}
	return d
}

// share returns the rate and the capacity of one holder.
func (d Division) share() (rate, capacity float64) {
	return d.Rate / float64(d.Holders), d.Capacity / float64(d.Holders)
}

// refillTime returns how long an empty bucket takes to fill.
func (d Division) refillTime() time.Duration {
	if d.Rate <= 0 {
		return maxTTL
	}
	return seconds(d.Capacity / d.Rate)
}

// holders returns the domains that hold a share of a customer, chosen by rendezvous
// hashing of its name.
func holders(customer string, domains []string, count int) []string {
	if count >= len(domains) {
		return domains
	}
	sorted := slices.Clone(domains)
	hash := func(domain string) uint64 { return xxhash.Sum64String(customer + "\x00" + domain) }
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	return sorted[:count]
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
