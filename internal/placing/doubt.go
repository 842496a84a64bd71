package placing

import (
	"cmp"
	"slices"
	"time"
)

// doubt is that a server may have started again, and be cold, without word of it: the
// connections of this VM to it broke or were refused, or the VM stood still.
type doubt struct {
	open     bool
	since    time.Time
	until    time.Time
	answered bool // a good answer has come since then, or the VM stood still before, which bounds the start
	ofPause  bool // the VM stood still, and nothing else: an open connection ends the doubt
	single   bool // requests are sent one at a time, but not paced: the VM has just started, or contact was renewed
	wanted   bool // a request would have gone there since the last question
	asked    int  // questions since the doubt began
	askDue   time.Time
}

// maxDoubt is the time after which word of a new start has come in any case; the server's next one
// would be another matter.
const maxDoubt = 30 * time.Second

// maxAnswerAge is the age up to which an answer shows that the server has not started again, on a
// VM that may lack word of it.
const maxAnswerAge = 2 * time.Second

// Times of the questions to one server.
const (
	askTurn       = 5 * time.Millisecond   // between the first questions of two VMs: the answer to one may reach the others
	firstAskAgain = 250 * time.Millisecond // after a question without a good answer; doubled each time
	maxAskAgain   = 2 * time.Second
)

func (d *doubt) lasts(now time.Time) bool {
	return d.open && now.Before(d.until)
}

// noteAnswer notes a good answer: the server started before it, and is cold for no longer than the
// cold time.
func (d *doubt) noteAnswer(coldTime time.Duration, now time.Time) {
	if d.open && !d.answered {
		d.answered = true
		if until := now.Add(coldTime); until.Before(d.until) {
			d.until = until
		}
	}
}

// doubt limits the server to the rate of a cold one until it is known whether it started again. It
// returns whether that is new.
func (p *Pool) doubt(s *Server, now time.Time) bool {
	if p.Policy.ColdRate <= 0 {
		return false
	}
	if s.doubt.lasts(now) && !s.doubt.answered {
		s.doubt.since, s.doubt.until, s.doubt.single = now, now.Add(maxDoubt), false
		return false
	}
	if !s.isPaced(now) {
		s.pace.begun = false
	}
	s.doubt = doubt{open: true, since: now, until: now.Add(maxDoubt), askDue: now.Add(askTurn * time.Duration(p.Policy.ColdEntryIndex))}
	p.markPaced(s)
	s.pace.begin(true, now)
	return true
}

// LoseContact takes the server at an address for one that may have started again, and returns
// it, or nil if there is none, it was taken for that before, or its rate is not limited while it is cold.
func (p *Pool) LoseContact(address string, now time.Time) *Server {
	i := slices.IndexFunc(p.Servers, func(s *Server) bool { return s.Address == address })
	if i < 0 || !p.doubt(p.Servers[i], now) {
		return nil
	}
	return p.Servers[i]
}

// DoubtAll does so for all servers, if they have started again before now. A doubt that lasts goes on
// for the cold time at least.
func (p *Pool) DoubtAll(now time.Time) {
	for _, s := range p.Servers {
		if until := now.Add(p.ColdTime()); s.doubt.lasts(now) {
			s.doubt.since, s.doubt.ofPause = now, false
			if s.doubt.until.Before(until) {
				s.doubt.until = until
			}
			continue
		}
		if p.doubt(s, now) {
			s.doubt.ofPause = true
			s.doubt.noteAnswer(p.ColdTime(), now)
		}
	}
}

// RenewContact notes that a request was sent to the server at an address on a connection that was
// opened when none was open: the server may have started again before. A server that gets requests
// from this VM less often than a cold one may is not doubted before the next one. It returns the server
// if it is doubted now.
func (p *Pool) RenewContact(address string, now time.Time) *Server {
	i := slices.IndexFunc(p.Servers, func(s *Server) bool { return s.Address == address })
	if i < 0 || p.Policy.ColdRate <= 0 || !p.Servers[i].CanAsk || p.Servers[i].isPaced(now) {
		return nil
	}
	s := p.Servers[i]
	s.renewedAt = now
	if !s.wasBusy(now) || !p.doubtRenewed(s, now) {
		return nil
	}
	return s
}

// wasBusy reports whether the request before the last one was sent so lately that the rate of a cold
// server, if it applied, would not have allowed the last one.
func (s *Server) wasBusy(now time.Time) bool {
	return !s.begunBefore.IsZero() && now.Sub(s.begunBefore) < seconds(1/s.policy.ColdRate)
}

// noteBegin notes that a request is sent, and doubts a server whose contact was renewed for another
// request within the cold time: a second one may be too many for it.
func (p *Pool) noteBegin(s *Server, now time.Time) {
	s.begunBefore, s.begunAt = s.begunAt, now
	if s.renewedAt.IsZero() || s.isPaced(now) {
		return
	}
	if p.Policy.ColdRate > 0 && now.Sub(s.renewedAt) < p.ColdTime() && s.wasBusy(now) {
		p.doubtRenewed(s, now)
	}
	s.renewedAt = time.Time{}
}

// doubtRenewed has a server asked that may have started again before its contact was renewed. One that
// did not answer before is not doubted again for a while: without answers, pacing it would not end. It
// returns whether the server is doubted now.
func (p *Pool) doubtRenewed(s *Server, now time.Time) bool {
	renewedAt := s.renewedAt
	s.renewedAt = time.Time{}
	if !s.askedRenewed.IsZero() && now.Sub(s.askedRenewed) < maxDoubt || !p.doubt(s, now) {
		return false
	}
	s.askedRenewed = now
	s.doubt.noteAnswer(p.ColdTime(), renewedAt)
	// A server that ends each connection is asked once a second: paced until its answer, it would refuse
	// callers on calm days. VMs renew their contacts at different times, so that they need not ask in turn.
	s.doubt.single, s.doubt.wanted, s.doubt.askDue = true, true, now
	return true
}

// ColdTime returns how long a server that started just now may be cold.
func (p *Pool) ColdTime() time.Duration { return max(p.Policy.ColdTime, PresumedColdTime) }

// startSlack is how much earlier the cold time of a start may end than expected; times of one cold
// period differ by the trips of the messages that told them.
const startSlack = 500 * time.Millisecond

// coversStart reports whether a cold time may be that of a start at a time; one that ends sooner is
// that of an earlier start.
func (p *Pool) coversStart(coldUntil, start time.Time) bool {
	return !coldUntil.Before(start.Add(p.Policy.ColdTime - startSlack))
}

// KeepContacts ends the doubts of a DoubtAll for servers to which connections are open.
func (p *Pool) KeepContacts(addresses []string, since time.Time) {
	open := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		open[address] = true
	}
	for _, s := range p.Servers {
		if s.doubt.ofPause && s.doubt.since.Equal(since) && open[s.Address] {
			s.doubt = doubt{}
		}
	}
}

// noteWanted notes that the request might go to the server if it were known to be warm. On a VM that
// hears no other, that is known only from the server's own late answers.
func (p *Pool) noteWanted(s *Server, req Request, now time.Time) {
	if s.cut || !s.eligible(req) {
		return
	}
	if p.Policy.Isolated && s.CanAsk && !s.doubt.lasts(now) && now.Sub(s.answeredAt) > maxAnswerAge {
		p.doubt(s, now)
	}
	s.doubt.wanted = s.doubt.lasts(now)
}

// doubtUnknown raises the doubt of a VM that has just started in a server that never answered it, and
// has it asked; it returns whether that is new.
func (p *Pool) doubtUnknown(s *Server, now time.Time) bool {
	isNew := now.Before(p.Policy.InformedAt) && s.CanAsk && s.answeredAt.IsZero() && !s.doubt.lasts(now) && p.doubt(s, now)
	if isNew {
		s.doubt.until, s.doubt.wanted, s.doubt.single = p.Policy.InformedAt, true, true
	}
	return isNew
}

// maxEarlyQuestions limits the servers that are asked before a request wants them.
const maxEarlyQuestions = 16

// AskEarly has the servers asked that never answered this VM, before its callers come: requests
// that went elsewhere meanwhile would run their objects on servers where they are cold. Of many, those
// of the own region are asked.
func (p *Pool) AskEarly(now time.Time) {
	for _, s := range p.Servers {
		if p.askedEarly >= maxEarlyQuestions || !now.Before(p.Policy.InformedAt) {
			return
		}
		near := s.inOwnRegion || len(p.Servers) < minPooledServers
		if near && !s.Closed && p.doubtUnknown(s, now) {
			p.askedEarly++
		}
	}
}

// Questions returns at most so many servers that are to be asked now whether they are cold.
func (p *Pool) Questions(limit int, now time.Time) []*Server {
	var due []*Server
	for _, s := range p.cold {
		if s.doubt.lasts(now) && s.doubt.wanted && !now.Before(s.doubt.askDue) {
			due = append(due, s)
		}
	}
	if len(due) > limit {
		slices.SortStableFunc(due, func(a, b *Server) int { return cmp.Compare(a.doubt.asked, b.doubt.asked) })
		due = due[:limit]
	}
	for _, s := range due {
		s.doubt.wanted = false
		s.doubt.askDue = now.Add(min(firstAskAgain<<min(s.doubt.asked, 8), maxAskAgain))
		s.doubt.asked++
	}
	return due
}

// TakeAnswer takes the server's answer to a question of a time: how long it stays cold. It returns
// false if the answer says nothing, because contact was lost again since then.
func (p *Pool) TakeAnswer(s *Server, askedAt time.Time, coldFor time.Duration, now time.Time) bool {
	if !s.doubt.open || askedAt.Before(s.doubt.since) {
		return false
	}
	s.doubt, s.answeredAt, s.askedRenewed = doubt{}, now, time.Time{}
	if coldFor > 0 {
		s.heardColdUntil, s.heardColdAt = now.Add(coldFor), now
		p.markCold(s)
	}
	return true
}

// maxFormer limits the servers that left the pool and are remembered.
const maxFormer = 1024

// keepFormer keeps those of the servers before that left the pool while they may be cold, the last
// ones of many: they may return as they were.
func (p *Pool) keepFormer(before []*Server) {
	p.former = slices.DeleteFunc(append(p.former, before...), func(s *Server) bool {
		return !s.doubt.open && !s.pace.begun || p.Find(s.ID) != nil
	})
	p.former = slices.Delete(p.former, 0, max(0, len(p.former)-maxFormer))
}

// findFormer returns the server with the id that left the pool, or nil.
func (p *Pool) findFormer(id string) *Server {
	i := slices.IndexFunc(p.former, func(s *Server) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	return p.former[i]
}

// keepDoubt keeps the doubt of the record at the address that a newer one replaces: word of the newer
// one may have been late, and another start may have followed.
func (s *Server) keepDoubt(replaced *Server, address string) {
	if replaced != nil && replaced.Address == address {
		s.doubt = replaced.doubt
	}
}
