package detour

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Helper is a VM that may serve a request for another.
type Helper struct {
	VM     string
	Peer   string // host:port for calls between VMs
	Domain string
	Region string
	Cut    []string // failure domains whose servers it cannot connect to
}

// Site is the VM that needs help, and its place.
type Site struct {
	VM     string
	Domain string
	Region string
}

// Need is what a request needs of its helper.
type Need struct {
	Domain  string                   // whose servers it must reach; empty for any
	Domains int                      // failure domains with servers, of which it must reach one
	Allowed func(region string) bool // regions to which the request may go; nil for all
	Tried   []string                 // VMs that were tried before
}

// Weights of the distance, as requests under way at a nearer helper that make a farther one
// better, and the time for which a VM that could not help is avoided: by then word has come
// of what it reaches.
const (
	otherDomainRequests = 8
	otherRegionRequests = 24
	triedDomainRequests = 32 // of a VM in the failure domain of one that could not help: the cut may be that of the domain
	avoidFor            = time.Second
	unknownRequests     = 16 // of a VM that served none of late, where another one did: several VMs are often cut together
)

// Chooser keeps count of the requests that other VMs serve for this one.
type Chooser struct {
	running      map[string]int       // by VM
	avoidedUntil map[string]time.Time // by VM
	servedUntil  map[string]time.Time // by VM: until then, its last answer of a server shows that it has a way
}

// Choose returns the helper of least cost: near, and with few requests of this VM. Of equal
// ones, each VM prefers others, so that many that need help do not crowd a few.
func (c *Chooser) Choose(own Site, helpers []Helper, need Need, now time.Time) (Helper, bool) {
	var best Helper
	bestCost, bestHash, found := 0, uint64(0), false
	anyServes := slices.ContainsFunc(helpers, func(h Helper) bool { return c.serves(h.VM, now) })
	for _, h := range helpers {
		if !need.fits(h) || now.Before(c.avoidedUntil[h.VM]) {
			continue
		}
		cost := c.running[h.VM] + distance(own, h)
		if need.triedDomain(helpers, h.Domain) {
			cost += triedDomainRequests
		}
		if anyServes && !c.serves(h.VM, now) {
			cost += unknownRequests
		}
		hash := xxhash.Sum64String(own.VM + "\x00" + h.VM)
		if !found || cost < bestCost || cost == bestCost && hash > bestHash {
			best, bestCost, bestHash, found = h, cost, hash, true
		}
	}
	return best, found
}

// Wait returns the time until a helper that is avoided now may be chosen, or 0 if there is none.
func (c *Chooser) Wait(helpers []Helper, need Need, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, h := range helpers {
		wait := c.avoidedUntil[h.VM].Sub(now)
		if need.fits(h) && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

func (c *Chooser) serves(vm string, now time.Time) bool { return now.Before(c.servedUntil[vm]) }

func (n Need) fits(h Helper) bool {
	if n.Allowed != nil && !n.Allowed(h.Region) || slices.Contains(n.Tried, h.VM) {
		return false
	}
	if n.Domain != "" {
		return !slices.Contains(h.Cut, n.Domain)
	}
	return len(h.Cut) < max(1, n.Domains)
}

// triedDomain reports whether a VM of the failure domain was tried before.
func (n Need) triedDomain(helpers []Helper, domain string) bool {
	return len(n.Tried) > 0 && slices.ContainsFunc(helpers, func(h Helper) bool { return h.Domain == domain && slices.Contains(n.Tried, h.VM) })
}

func distance(own Site, h Helper) int {
	switch {
	case h.Region != own.Region:
		return otherRegionRequests
	case h.Domain != own.Domain:
		return otherDomainRequests
	default:
		return 0
	}
}

// Begin counts a request that a helper serves.
func (c *Chooser) Begin(vm string) {
	if c.running == nil {
		c.running, c.avoidedUntil, c.servedUntil = make(map[string]int), make(map[string]time.Time), make(map[string]time.Time)
	}
	c.running[vm]++
}

// End ends a request that Begin counted; helpless says that the VM was not reached, or reaches
// no servers either.
func (c *Chooser) End(vm string, helpless bool, now time.Time) {
	if c.running[vm]--; c.running[vm] <= 0 {
		delete(c.running, vm)
	}
	if helpless {
		c.avoidedUntil[vm] = now.Add(avoidFor)
		delete(c.servedUntil, vm)
	} else {
		delete(c.avoidedUntil, vm)
	}
}

// Shorten has a VM that could not help avoided for a shorter time: it does not know yet whether it can.
func (c *Chooser) Shorten(vm string, avoid time.Duration, now time.Time) {
	if until := now.Add(avoid); until.Before(c.avoidedUntil[vm]) {
		c.avoidedUntil[vm] = until
	}
}

// Served notes that a server answered a request that the VM served for this one.
func (c *Chooser) Served(vm string, now time.Time) {
	if c.servedUntil != nil {
		c.servedUntil[vm] = now.Add(avoidFor)
	}
}

// Running returns the number of requests that each helper serves now.
func (c *Chooser) Running() map[string]int { return maps.Clone(c.running) }
