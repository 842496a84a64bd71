package placing

import (
	"time"
)

// runs is how long requests of a class run, in seconds.
type runs struct {
	cold float64 // on a server that did not handle the object lately
	warm float64 // on one that did
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// usual returns how long requests of the class run.
func (p *Pool) usual(ask Request) runs {
	if known := p.classes[ask.Class]; known != nil {
		return *known
	}
	target := max(ask.Target, minRetry).Seconds()
	return runs{cold: coldTargets * target, warm: warmTargets * target}
}

// expect estimates the time until the answer, and whether the server may take
// one more request of the rank.
func (p *Pool) expect(s *Server, ask Request, usual runs, warm bool, now time.Time) (float64, bool) {
	run := usual.cold
	if warm || ask.Object == "" {
		run = usual.warm
	}
	slow := max(1, s.slow)
	load := s.Load(now)
	slots := float64(s.Slots)
	expected := 2*p.way(s) + run*slow
	if over := load + 1 - slots; over > 0 {
		expected += over / slots * usual.warm * max(slow, s.mix)
		if expected > queueTargets*ask.Target.Seconds() && ask.Object != "" {
			return expected, false
		}
	}
	if !warm && ask.Object != "" {
		// A cold run takes the slots of several warm ones. Where all slots are in
		// use, copies would only make the load grow.
		return expected, load+1 <= slots*coldLoad
	}
	queue := max(defaultQueue-queueStep*float64(ask.Rank), minQueue)
	return expected, load < slots*(1+queue)
}

// charge is what a longer way costs beyond its time.
func (p *Pool) charge(s *Server, usual runs) float64 {
	switch {
	case s.Region != p.Own.Region:
		return otherRegion * usual.cold
	case s.Domain != p.Own.Domain:
		return otherDomain * usual.cold
	default:
		return 0
	}
}

// way is the one-way delay to a server, measured for its failure domain.
func (p *Pool) way(s *Server) float64 { return p.ways[s.Domain] }

// RecordRoundTrip takes the round trip of a new connection to a failure domain.
func (p *Pool) RecordRoundTrip(domain string, roundTrip time.Duration) {
	oneWay := roundTrip.Seconds() / 2
	known, found := p.ways[domain]
	if !found || oneWay < known {
		p.ways[domain] = oneWay
		return
	}
	p.ways[domain] = known + wayWeight*(oneWay-known)
}
