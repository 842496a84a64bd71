package placing

import (
	"time"
)

// runTimes holds the usual run times of a class of requests, in seconds.
type runTimes struct {
	cold float64 // on a server that did not handle the object recently
	warm float64 // on one that did

	mean     float64 // of all runs, cold and warm; 0 before the first
	warmRuns int     // counted in warm

	longest float64 // of late runs: each shorter one brings it closer to itself
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// usualRunTimes returns the measured run times of the request's class, or
// defaults in proportion to its target before any is measured.
func (p *Pool) usualRunTimes(req Request) runTimes {
	return usualRunTimes(p.classes, req.Class, req.Target)
}

func usualRunTimes(classes map[string]*runTimes, class string, targetTime time.Duration) runTimes {
	if known := classes[class]; known != nil {
		return *known
	}
	target := max(targetTime, minRetryAfter).Seconds()
	return runTimes{cold: defaultColdTargets * target, warm: defaultWarmTargets * target}
}

// estimate returns the expected seconds until the answer, and whether the
// server may take one more request of the rank.
func (p *Pool) estimate(s *Server, req Request, usual runTimes, warm bool, now time.Time) (float64, bool) {
	run := usual.cold
	if warm || req.Object == "" {
		run = usual.warm
	}
	slow := max(1, s.slowness)
	load := s.Load(now)
	slots := float64(s.Slots)
	pace := s.Pace(now)
	expected := 2*p.oneWay(s) + run*slow*pace
	if excess := load + 1 - slots; excess > 0 {
		expected += excess / slots * p.queuedRun(s, usual, req, load, now) * max(slow, s.meanRunRatio) * pace
		if expected > maxQueueTargets*req.Target.Seconds() && req.Object != "" {
			return expected, false
		}
	}
	coldRun := !warm && req.Object != ""
	if p.mustSpare(req, usual) {
		if coldRun && !req.noneWarm && req.Target.Seconds() > usual.warm {
			// A warm server may have room in time, and a cold run takes the slot time of several warm ones.
			return expected, false
		}
		room := slots - float64(p.Reserved(s))
		if coldRun {
			room *= longColdPart
		}
		if load+1 > room {
			return expected, false
		}
	}
	if coldRun {
		// A cold run uses as much slot time as several warm ones. When the slots
		// are nearly all in use, running the object on further servers would only
		// increase the load.
		return expected, load+1 <= slots*maxColdLoad
	}
	queue := max(maxQueuePerSlot-queuePerSlotStep*float64(req.Rank), minQueuePerSlot)
	return expected, load < slots*(1+queue)
}

// distanceCost returns the cost, in seconds, of using a link to another failure
// domain or region, in addition to its latency.
func (p *Pool) distanceCost(s *Server, usual runTimes) float64 {
	switch {
	case s.Region != p.Own.Region:
		return otherRegionCost * usual.cold
	case s.Domain != p.Own.Domain:
		return otherDomainCost * usual.cold
	default:
		return 0
	}
}

// oneWay returns the one-way latency to a server in seconds, as measured for its
// failure domain.
func (p *Pool) oneWay(s *Server) float64 { return p.oneWays[s.Domain] }

// RecordRoundTrip updates the one-way latency of a failure domain from the round
// trip of a new connection. A shorter one counts at once, a longer one slowly.
func (p *Pool) RecordRoundTrip(domain string, roundTrip time.Duration) {
	oneWay := roundTrip.Seconds() / 2
	previous, found := p.oneWays[domain]
	if !found || oneWay < previous {
		p.oneWays[domain] = oneWay
		return
	}
	p.oneWays[domain] = previous + oneWayWeight*(oneWay-previous)
}
