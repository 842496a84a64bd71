package placing

import "time"

// Rules of the questions for the load of a server. An entry of a large fleet sends to one server
// only every few seconds, so that what it heard of the server's load and pace is mostly out of date.
const (
	freshReport    = 100 * time.Millisecond // age of a report up to which a question would tell little new
	maxAskTrip     = 0.05                   // of a usual warm run that the round trip of a question may take
	paceReportsFor = 10 * time.Second       // after a report of a pace, the servers of the pool count as reporting it
	firstOfPaced   = 2                      // servers in the order of an object that count as warm in such a pool
	firstOfOthers  = 1                      // the same in other pools
)

// ReportsPace reports whether servers of the pool report their pace.
func (p *Pool) ReportsPace(now time.Time) bool {
	return !p.paceReportedAt.IsZero() && now.Sub(p.paceReportedAt) < paceReportsFor
}

// isWarm reports whether a server, at its position in the order of the object, counts as warm. Where
// servers report their pace, the second one counts as well, so that a request has an alternative to
// a first one that is slow or full just now: the cold runs that this costs are fewer than the late answers.
func (p *Pool) isWarm(s *Server, position int, req Request, now time.Time) bool {
	first := firstOfOthers
	if p.ReportsPace(now) {
		first = firstOfPaced
	}
	return req.Object != "" && (position < first || s.ranObject(req.Object, now))
}

// WorthAsking returns the server that should be asked for its load before one is chosen for the
// request, or nil: the one that would be chosen, where another warm one could take the request, where
// little is known of its present load, and the question takes little time.
func (p *Pool) WorthAsking(req Request, now time.Time) *Server {
	if !p.ReportsPace(now) || req.Object == "" {
		return nil
	}
	usual := p.usualRunTimes(req)
	preferred := p.preferredServers(req, now)
	var best option
	warm := 0
	for _, s := range p.shortlist {
		if !p.isWarm(s, preferred.all.position(s), req, now) || !s.usable(req, now) || s.unresponsive(usual, req, now) || s.Probing() || s.cut || s.isPaced(now) || s.Limit.Named {
			continue
		}
		o := option{server: s, warm: true}
		var accepts bool
		if o.expected, accepts = p.estimate(s, req, usual, true, now); !accepts {
			continue
		}
		warm++
		o.cost = p.cost(o, preferred.position(s), usual, req)
		if best.worseThan(o) {
			best = o
		}
	}
	s := best.server
	if warm < 2 || !s.CanAsk || s.speed.pace > 0 && now.Sub(s.speed.at) <= freshReport || 2*p.oneWay(s) > maxAskTrip*usual.warm {
		return nil
	}
	return s
}

// RecordReport stores the load that a server reported.
func (p *Pool) RecordReport(s *Server, load Load, now time.Time) {
	s.recordLoad(load, now)
	if load.Known && load.Pace > 0 {
		p.paceReportedAt = now
	}
}

// HearCold notes that a server that nothing else told of said that it stays cold for a time; it
// returns whether that is new.
func (p *Pool) HearCold(s *Server, coldFor time.Duration, now time.Time) bool {
	if coldFor <= 0 || s.isCold(now) {
		return false
	}
	s.heardColdUntil, s.heardColdAt = now.Add(coldFor), now
	p.markCold(s)
	return true
}

// AskBudget bounds the questions of one VM for the load of servers.
type AskBudget struct {
	tokens  float64
	at      time.Time
	late    int       // answers in a row that came too late, or not at all
	pausing time.Time // until then, nothing is asked
}

// A question costs about 0.5 KB on the link of the VM, of the 17 KB/s that control traffic may take.
const (
	asksPerSecond = 16.0
	maxSavedAsks  = 4.0 // questions that unused tokens can pay for

	maxLateAnswers = 8               // in a row, after which questions only delay requests
	askPause       = 5 * time.Second // without questions then
)

// NoteAnswer notes whether an answer came in time.
func (b *AskBudget) NoteAnswer(inTime bool, now time.Time) {
	b.late++
	if inTime {
		b.late = 0
	}
	if b.late >= maxLateAnswers {
		b.late, b.pausing = 0, now.Add(askPause)
	}
}

// Take spends a token on a question; it returns false when none is left.
func (b *AskBudget) Take(now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = maxSavedAsks
	} else {
		b.tokens = min(maxSavedAsks, b.tokens+now.Sub(b.at).Seconds()*asksPerSecond)
	}
	b.at = now
	if b.tokens < 1 || now.Before(b.pausing) {
		return false
	}
	b.tokens--
	return true
}
