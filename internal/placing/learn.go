package placing

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Begin notes that a request goes to the server.
func (p *Pool) Begin(s *Server, now time.Time) {
	if s.running == 0 {
		s.quietSince = now
	}
	s.running++
	if s.isCold(now) && p.Policy.ColdRate > 0 {
		s.paceCold(p.Policy.ColdRate, now)
	}
}

// Outcome is how a request on a server ended.
type Outcome struct {
	Class    string
	Object   string
	Target   time.Duration // of the class
	Unqueued bool          // no other request was thought to wait at the server at the send
	Result   routing.Result
	Latency  time.Duration
	Load     Load
}

// End gives the place at the server back and learns from the answer.
func (p *Pool) End(s *Server, e Outcome, now time.Time) {
	s.running = max(0, s.running-1)
	s.hear(e.Load, now)
	if e.Result == routing.ResultOK || e.Result == routing.ResultError || e.Result == routing.ResultShed {
		s.quietSince = now
	}
	switch e.Result {
	case routing.ResultOK:
		p.learn(s, e, now)
		s.ResetFailures()
		p.returned(s, now)
		s.failing -= failWeight * s.failing
	case routing.ResultError, routing.ResultBroken:
		s.failing += failWeight * (1 - s.failing)
		s.fail(now, failuresToEject)
	case routing.ResultShed:
		// A full server says so; its load counts as its slots and queue.
		s.failing += failWeight * (1 - s.failing)
		s.others, s.othersAt = max(s.others, float64(s.Slots)*(1+defaultQueue)), now
		s.EndProbe()
	case routing.ResultDialFailed:
		s.wasDown = true
		s.fail(now, 1)
	case routing.ResultDialTimeout:
		s.fail(now, lateDialsToEject)
	case routing.ResultTimeout:
		s.fail(now, failuresToEject)
		s.slow += slowWeight * (slowMost - s.slow)
	}
}

// returned holds a server that was down to the rate of a cold one until it has
// announced itself: it may have started anew.
func (p *Pool) returned(s *Server, now time.Time) {
	if s.wasDown && p.Policy.ColdRate > 0 {
		s.presumed = now.Add(PresumedColdTime)
		s.paceCold(p.Policy.ColdRate, now)
	}
	s.wasDown = false
}

func (s *Server) hear(load Load, now time.Time) {
	if !load.Known {
		return
	}
	others := max(0, float64(load.Running+load.Waiting-s.running))
	s.others, s.othersAt = others, now
	s.othersMean += othersWeight * (others - s.othersMean)
}

// learn takes the time of a good answer that did not wait.
func (p *Pool) learn(s *Server, e Outcome, now time.Time) {
	last, known := s.objects[e.Object]
	if e.Object != "" {
		s.objects[e.Object] = now
		if len(s.objects) > objectsKept {
			s.forgetOldest()
		}
	}
	if !e.Unqueued || s.isCold(now) {
		return
	}
	run := max(e.Latency.Seconds()-2*p.way(s), 0.001)
	class := p.classes[e.Class]
	if class == nil {
		first := p.usual(Request{Target: e.Target})
		class = &first
		p.classes[e.Class] = class
	}
	s.mix += mixWeight * (min(run/class.warm, slowMost) - s.mix)
	if known && now.Sub(last)-e.Latency < objectKept {
		s.judge(run, *class)
	}
	class.learn(run)
}

// judge learns from a run that should have been warm whether the server is slow. One
// as long as a cold run tells rather that the server no longer kept the object.
func (s *Server) judge(run float64, usual runs) {
	const longestCold = 1.3 // times the usual cold run
	if run*run > usual.warm*usual.cold && run < longestCold*usual.cold {
		return
	}
	s.slow += slowWeight * (min(run/usual.warm, slowMost) - s.slow)
}

// learn assigns a run to the warm or the cold ones, whichever are nearer by
// ratio, and moves their average. Who sent a request cannot know whether the
// server was warm: others may have sent it the object before.
func (r *runs) learn(run float64) {
	if run*run > r.warm*r.cold {
		r.cold += coldWeight * (min(run, 2*r.cold) - r.cold)
		return
	}
	// A run that waited unseen looks longer than it was, never shorter, so the
	// average follows short runs sooner.
	weight := longerWeight
	if run < r.warm {
		weight = shorterWeight
	}
	r.warm += weight * (run - r.warm)
}
