package placing

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Numbers of servers from which objects have homes.
const (
	minPooledServers = 100 // of the service: fewer may not have room to keep the objects of all regions' callers apart
	minPooledAfter   = 80  // the same for a service whose objects have homes, so that a loss of some servers does not end them
	minHomeServers   = 12  // of a region that is a home: with fewer, one that is lost or busy leaves too much to the others
)

// Limits on how fast homes change. An object that gets another home is cold there, and
// the share of a region's callers that are served in another one may not jump. All
// entries see a change of the servers at about the same time.
const (
	homeStep       = 0.01                   // of the objects, for each region's share
	homeInterval   = 500 * time.Millisecond // between two steps
	homeSettleTime = 5 * time.Second        // after the first request, in which an entry still learns which servers there are
)

// homes holds the shares in use, which follow the target in steps.
type homes struct {
	shares, target []homeShare
	startedAt      time.Time
	movedAt        time.Time
}

// advance moves the shares by a step where one is due. They follow at once while the
// entry still learns, and where a region has no servers left or another set of regions
// has homes.
func (h *homes) advance(now time.Time) {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	if now.Sub(h.startedAt) < homeSettleTime || !sameRegions(h.shares, h.target) {
		h.shares = slices.Clone(h.target)
		return
	}
	if now.Sub(h.movedAt) < homeInterval {
		return
	}
	h.movedAt = now
	for i := range h.shares {
		distance := h.target[i].share - h.shares[i].share
		h.shares[i].share += math.Max(-homeStep, math.Min(homeStep, distance))
	}
}

func sameRegions(a, b []homeShare) bool {
	return slices.EqualFunc(a, b, func(x, y homeShare) bool { return x.region == y.region })
}

// homeShare is the share of the objects that callers in the own region have at home in
// a region.
type homeShare struct {
	region string
	share  float64
}

// homeShares divides the objects of callers in the own region over the regions: the own
// region keeps what brings it to the mean load of all regions, and the rest goes where
// the load is below that. slots and demand are by region, in any unit. It returns nil
// where the service is too small for homes.
func homeShares(own string, slots, demand map[string]float64) []homeShare {
	totalSlots, totalDemand := sum(slots), sum(demand)
	if len(slots) < 2 || totalDemand == 0 {
		return nil
	}
	excess := func(region string) float64 { return demand[region]/totalDemand - slots[region]/totalSlots }
	kept := 1.0
	if ownDemand := demand[own] / totalDemand; ownDemand > 0 {
		kept = math.Min(1, slots[own]/totalSlots/ownDemand)
	}
	var shares []homeShare
	if slots[own] > 0 {
		shares = append(shares, homeShare{own, kept})
	}
	regions := slices.Sorted(maps.Keys(slots)) // the same order on all entries
	spare := 0.0
	for _, region := range regions {
		spare += max(0, -excess(region))
	}
	for _, region := range regions {
		if region != own {
			shares = append(shares, homeShare{region, (1 - kept) * max(0, -excess(region)) / max(spare, math.SmallestNonzeroFloat64)})
		}
	}
	return shares
}

// homeOf returns the home region of an object for callers in the own region, or "" where
// the service has no homes.
func homeOf(shares []homeShare, object uint64) string {
	const multiplier = 0xd6e8feb86659fd93 // other bits of the hash than the order of servers uses
	fraction := float64((object*multiplier)>>11) / (1 << 53)
	for _, s := range shares {
		if fraction < s.share {
			return s.region
		}
		fraction -= s.share
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].region
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, region := range slices.Sorted(maps.Keys(values)) {
		total += values[region]
	}
	return total
}
