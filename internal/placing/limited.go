package placing

import (
	"math"
	"time"
)

// A limited server comes first in the order of only so many objects as its limit serves.
// The others move to the next server of their order at all entries alike, and are warm
// there, instead of running now on one and now on the other.

// demand is the rate of the requests of this entry.
type demand struct {
	perSecond float64 // moving average
	counted   int     // since countedAt
	countedAt time.Time
}

const (
	demandInterval = time.Second
	demandWeight   = 0.3 // of a new value in the moving average
)

// count counts a request, and reports whether the rate was updated.
func (d *demand) count(now time.Time) bool {
	d.counted++
	elapsed := now.Sub(d.countedAt)
	if elapsed < demandInterval {
		return false
	}
	if !d.countedAt.IsZero() && elapsed < 10*demandInterval {
		rate := float64(d.counted) / elapsed.Seconds()
		if d.perSecond == 0 {
			d.perSecond = rate
		}
		d.perSecond += demandWeight * (rate - d.perSecond)
	}
	d.counted, d.countedAt = 0, now
	return true
}

const (
	minLimitWeight    = 1.0 / 64
	limitWeightFactor = 1.5 // by which a weight must have changed to be taken up, since objects move with it
)

// weighLimited sets the weights of limited servers: the limit as a part of what each
// server would get of the requests of all entries.
func (p *Pool) weighLimited() {
	changed := false
	for _, s := range p.Servers {
		weight := 1.0
		fair := p.demand.perSecond * float64(max(1, p.Policy.Entries)) / float64(len(p.Servers))
		if s.Limit.Named && fair > 0 {
			weight = min(1, max(minLimitWeight, s.Limit.Rate()/fair))
		}
		held := s.weight()
		if s.Limit.Named == (s.limitWeight > 0) && weight < held*limitWeightFactor && weight > held/limitWeightFactor {
			continue
		}
		s.limitWeight = weight
		if !s.Limit.Named {
			s.limitWeight = 0
		}
		changed = true
	}
	if changed {
		clear(p.orders)
	}
}

// weight returns the share of its objects for which the server is considered.
func (s *Server) weight() float64 {
	if s.limitWeight == 0 {
		return 1
	}
	return s.limitWeight
}

// weigh lowers a rendezvous hash so that a server of the weight comes first for as many
// objects as that part of another one (weighted rendezvous hashing).
func weigh(hash uint64, weight float64) uint64 {
	if weight >= 1 {
		return hash
	}
	const scale = 1 << 64
	return uint64(math.Pow(float64(hash)/scale, 1/weight) * (scale - 1<<11))
}
