package placing

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Begin counts a request of an unknown class that is sent to the server.
func (p *Pool) Begin(s *Server, now time.Time) { p.begin(s, now) }

// BeginRun counts a request that is sent to the server.
func (p *Pool) BeginRun(s *Server, run Run, now time.Time) {
	p.begin(s, now)
	if run.Partial {
		s.partial++
	}
	s.addRun(run)
	p.mix.add(run, now)
}

func (p *Pool) begin(s *Server, now time.Time) {
	if s.running == s.partial && !s.lateLast {
		s.silentSince = now
	}
	s.running++
	p.doubtUnknown(s, now)
	p.noteBegin(s, now)
	if s.Limit.Named {
		s.quota.use(now)
	}
	if s.isPaced(now) {
		s.pace.begin(true, now)
		s.pace.sentAt = now
	}
}

// Outcome describes how a request on a server ended.
type Outcome struct {
	Partial  bool // it was begun as a partial Run
	Class    string
	Object   string
	Target   time.Duration // answer time of the class after which an answer loses most of its value
	Unqueued bool          // no request was expected to wait at the server when this one was sent
	Result   routing.Result
	Latency  time.Duration
	Load     Load

	PaceAtSend float64 // of the server as it was expected then; 0 if unknown
	Late       bool    // cancelled because the answer of a second try came first
}

// End removes the request from the server's load and updates the estimates and
// the ejection from its outcome.
func (p *Pool) End(s *Server, e Outcome, now time.Time) {
	s.running = max(0, s.running-1)
	if e.Partial {
		s.partial = max(0, s.partial-1)
	}
	s.removeRun(e.Class, e.Partial)
	p.RecordReport(s, e.Load, now)
	if e.Result == routing.ResultOK || e.Result == routing.ResultError || e.Result == routing.ResultShed {
		s.silentSince, s.lateLast = now, false
	}
	switch e.Result {
	case routing.ResultOK:
		p.learnRunTimes(s, e, now)
		s.ResetFailures()
		s.answeredAt = now
		s.doubt.noteAnswer(p.ColdTime(), now)
		s.failureRate -= failureWeight * s.failureRate
	case routing.ResultError, routing.ResultBroken:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.countFailure(now, failuresToEject)
	case routing.ResultShed:
		// The server is full: its load counts as all slots and a full queue.
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.othersLoad, s.othersReportedAt = max(s.othersLoad, float64(s.Slots)*(1+maxQueuePerSlot)), now
		s.EndProbe()
	case routing.ResultDialFailed:
		p.doubt(s, now)
		s.countFailure(now, 1)
	case routing.ResultDialTimeout:
		if s.countFailure(now, dialTimeoutsToEject); s.Ejected(now) {
			p.doubt(s, now)
		}
	case routing.ResultCancelled:
		p.noteLate(s, e)
	case routing.ResultTimeout:
		s.countFailure(now, failuresToEject)
		s.slowness += slownessWeight * (maxSlowness - s.slowness)
	}
}

// recordLoad stores the load of other entries: what the server reported less the
// requests of this entry.
func (s *Server) recordLoad(load Load, now time.Time) {
	if !load.Known {
		return
	}
	s.recordPace(load.Pace, now)
	others := max(0, float64(load.Running+load.Waiting-s.running))
	s.othersLoad, s.othersReportedAt = others, now
	weight := othersLoadWeight
	if load.Pace > 0 {
		weight = pacedLoadWeight
	}
	s.meanOthersLoad += weight * (others - s.meanOthersLoad)
}

// learnRunTimes notes that the server has run the object, and updates the run
// times from a good answer if the request did not wait and the server was not
// cold.
func (p *Pool) learnRunTimes(s *Server, e Outcome, now time.Time) {
	last, found := s.objectAnsweredAt[e.Object]
	if e.Object != "" {
		s.objectAnsweredAt[e.Object] = now
		p.addRunner(e.Object, s)
		if len(s.objectAnsweredAt) > maxObjects {
			s.evictOldestObject()
		}
	}
	if !e.Unqueued || s.isPaced(now) {
		return
	}
	run := max(e.Latency.Seconds()-2*p.oneWay(s), 0.001)
	run = usualRun(run, e.PaceAtSend, e.Load.Pace)
	class := p.classes[e.Class]
	if class == nil {
		defaults := p.usualRunTimes(Request{Target: e.Target})
		class = &defaults
		p.classes[e.Class] = class
	}
	s.meanRunRatio += runRatioWeight * (min(run/class.warm, maxSlowness) - s.meanRunRatio)
	if found && now.Sub(last)-e.Latency < objectTTL {
		s.updateSlowness(run, *class)
	}
	class.record(run)
}

// updateSlowness updates how slow the server is from a run that should have been
// warm. A run about as long as a cold one is skipped: it rather means that the
// server had dropped the object.
func (s *Server) updateSlowness(run float64, usual runTimes) {
	const longestCold = 1.3 // times the usual cold run
	if run*run > usual.warm*usual.cold && run < longestCold*usual.cold {
		return
	}
	s.slowness += slownessWeight * (min(run/usual.warm, maxSlowness) - s.slowness)
}

// record counts a run as warm or cold, whichever is nearer by ratio, and updates
// that average. The sender cannot know whether the server was warm: other
// entries may have sent it the object before.
func (r *runTimes) record(run float64) {
	if r.mean == 0 {
		r.mean = run
	}
	r.mean += meanRunWeight * (run - r.mean)
	r.longest = max(run, r.longest+longestRunWeight*(run-r.longest))
	if run*run > r.warm*r.cold {
		r.cold += coldRunWeight * (min(run, 2*r.cold) - r.cold)
		return
	}
	r.warmRuns++
	// A run that waited in a queue unnoticed looks longer than it was, never
	// shorter, so the average follows short runs faster.
	weight := longerRunWeight
	if run < r.warm {
		weight = shorterRunWeight
	}
	r.warm += weight * (run - r.warm)
}
