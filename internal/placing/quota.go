package placing

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/allowance"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// quota holds the allowances of this entry for a server that names a limit, and the
// demand from which the next request for allowances follows.
type quota struct {
	batches []batch // unexpired, oldest first
	size    int     // allowances to ask for next
	skipped int     // requests since the last Request that could not go to the server for want of an allowance
	used    int     // allowances used since the last Request
	wasted  int     // allowances that expired since the last Request
	idle    int     // Requests in a row whose allowances were not used
	lastID  uint64  // of the last Request
	askedAt time.Time
	pending bool      // the last Request is unanswered
	nextAsk time.Time // earliest next Request
}

// batch holds the allowances of one Grant that are left.
type batch struct {
	left  int
	until time.Time
}

const firstIdleWait = 250 * time.Millisecond // before the next Request after allowances that were not used; doubled each time

const maxIdleWait = 4 * time.Second

// expire drops the allowances that have ended.
func (q *quota) expire(now time.Time) {
	for len(q.batches) > 0 && (q.batches[0].left == 0 || !now.Before(q.batches[0].until)) {
		q.wasted += q.batches[0].left
		q.batches = q.batches[1:]
	}
}

func (q *quota) available(now time.Time) int {
	q.expire(now)
	total := 0
	for _, b := range q.batches {
		total += b.left
	}
	return total
}

// use takes one allowance; the caller has checked that there is one.
func (q *quota) use(now time.Time) {
	q.expire(now)
	if len(q.batches) > 0 {
		q.batches[0].left--
		q.used++
	}
}

// ask returns how many allowances to ask for, or 0 for no Request now.
func (q *quota) ask(limit routing.Limit, now time.Time) int {
	available := q.available(now)
	unanswered := q.pending && now.Sub(q.askedAt) < allowance.TTL
	if unanswered || now.Before(q.nextAsk) || q.used == 0 && q.skipped == 0 && q.wasted == 0 || 2*available > q.size {
		return 0
	}
	if !q.adapt(limit, now) {
		return 0
	}
	q.skipped, q.used, q.wasted = 0, 0, 0
	q.lastID++
	q.askedAt, q.pending = now, true
	return q.size
}

// adapt changes the size of Requests with the use of the last allowances. It returns
// false if none was used and the next Request has to wait, so that others get them.
func (q *quota) adapt(limit routing.Limit, now time.Time) bool {
	switch {
	case q.wasted > 0 && q.used == 0:
		q.size = 1
		q.nextAsk = now.Add(min(firstIdleWait<<min(q.idle, 8), maxIdleWait))
		q.idle++
		q.wasted, q.skipped = 0, 0
		return false
	case q.wasted > 0:
		q.size = max(1, min(q.size, q.used))
	case q.used >= q.size:
		q.size = max(1, min(2*q.size, int(limit.PerSecond*allowance.TTL.Seconds())))
	}
	if q.used > 0 {
		q.idle = 0
	}
	q.size = max(1, q.size)
	return true
}

// take adds the allowances of a Grant. Only the answer to the last Request counts, once.
func (q *quota) take(g allowance.Grant, now time.Time) {
	if !q.pending || g.ID != q.lastID {
		return
	}
	q.pending = false
	if g.Count == 0 {
		q.nextAsk = now.Add(g.Wait)
		return
	}
	if until := q.askedAt.Add(allowance.TTL); now.Before(until) {
		q.batches = append(q.batches, batch{left: g.Count, until: until})
	}
}

// wait returns after which time an allowance may be there.
func (q *quota) wait(now time.Time) time.Duration {
	return max(minRetryAfter, q.nextAsk.Sub(now))
}

// setLimit applies a limit that the server names, or that it names none any more. The
// ids of Requests go on, so that no answer to an earlier one is taken for a later.
func (s *Server) setLimit(limit routing.Limit) {
	if s.Limit.Named != limit.Named {
		s.quota = quota{lastID: s.quota.lastID}
	}
	s.Limit = limit
}

// SetLimit applies a limit to a start of a server, ahead of the next Update.
func (p *Pool) SetLimit(id string, start int64, limit routing.Limit) {
	if s := p.Find(id); s != nil && s.Start == start && s.Limit != limit {
		s.setLimit(limit)
		p.weighLimited()
	}
}

// mayUseQuota reports whether the limit that the server names, if any, leaves room for
// a request of this entry.
func (s *Server) mayUseQuota(now time.Time) bool {
	return !s.Limit.Named || s.quota.available(now) > 0
}

// AllowanceRequests returns the Requests to send now, without the address of this VM.
func (p *Pool) AllowanceRequests(now time.Time) []allowance.Request {
	var requests []allowance.Request
	for _, s := range p.Servers {
		if !s.Limit.Named || s.Closed || s.SaidLeaving() {
			continue
		}
		if count := s.quota.ask(s.Limit, now); count > 0 {
			requests = append(requests, allowance.Request{
				ID:    s.quota.lastID,
				Start: allowance.Start{Server: s.ID, Time: s.Start},
				Limit: s.Limit,
				Count: count,
			})
		}
	}
	return requests
}

// TakeAllowances adds the allowances of a Grant.
func (p *Pool) TakeAllowances(g allowance.Grant, now time.Time) {
	if s := p.Find(g.Start.Server); s != nil && s.Start == g.Start.Time && s.Limit.Named {
		s.quota.take(g, now)
	}
}

// Allowances returns how many allowances this entry holds for a server, and the time
// since it asked for some, or -1 if it never did.
func (p *Pool) Allowances(id string, now time.Time) (int, time.Duration) {
	s := p.Find(id)
	if s == nil || s.quota.askedAt.IsZero() {
		return 0, -1
	}
	return s.quota.available(now), now.Sub(s.quota.askedAt)
}
