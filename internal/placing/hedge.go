package placing

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/hedge"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// minWarmRuns is the number of warm runs of a class before its requests get second tries: while all
// servers are cold, they are late everywhere.
const minWarmRuns = 20

// ChooseHedge returns the server for a second try of a request that is late at the excluded servers,
// if it is worth one. Only warm servers that report their speed are considered, so that a service
// whose servers do not is served as before.
func (p *Pool) ChooseHedge(req Request, now time.Time) (Choice, bool) {
	usual := p.usualRunTimes(req)
	if !p.ReportsPace(now) || req.Object == "" || usual.warmRuns < minWarmRuns {
		return Choice{}, false
	}
	preferred := p.preferredServers(req, now)
	var best option
	for _, s := range p.shortlist {
		if !s.usable(req, now) || s.unresponsive(usual, req, now) || s.Probing() || s.cut || s.isPaced(now) || s.Limit.Named || !p.isWarm(s, preferred.all.position(s), req, now) {
			continue
		}
		o := option{server: s, warm: true}
		o.expected, _ = p.estimate(s, req, usual, true, now)
		candidate := hedge.Candidate{Expected: seconds(o.expected), Load: s.Load(now), Slots: s.Slots}
		if o.cost = p.cost(o, preferred.position(s), usual, req); candidate.Worth(req.Target) && best.worseThan(o) {
			best = o
		}
	}
	return Choice{Server: best.server, Expected: seconds(best.expected), Warm: true}, best.server != nil
}

// noteLate learns from a try that was cancelled because another server answered first: the run would
// have taken as long at least. It is no failure.
func (p *Pool) noteLate(s *Server, e Outcome) {
	if !e.Late || e.Result != routing.ResultCancelled {
		return
	}
	s.lateLast = true
	usual := p.usualRunTimes(Request{Class: e.Class, Target: e.Target})
	ratio := min(e.Latency.Seconds()/usual.warm, maxSlowness)
	s.slowness += slownessWeight * max(0, ratio-s.slowness)
}
