package share

import (
	"math"
	"time"
)

// rate is a moving average of events a second, with exponential weights.
type rate struct {
	value float64
	at    time.Time
}

// add counts n events and returns the rate.
func (r *rate) add(n float64, constant time.Duration, now time.Time) float64 {
	r.value = r.get(constant, now) + n/constant.Seconds()
	r.at = now
	return r.value
}

// get returns the rate.
func (r *rate) get(constant time.Duration, now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/constant.Seconds())
}

// tally counts requests and those that were served.
type tally struct {
	asked  rate
	served rate
}

func (t *tally) add(served float64, now time.Time) {
	t.asked.add(1, servedTime, now)
	t.served.add(served, servedTime, now)
}

// share returns the served share, and whether there were enough requests to judge it.
func (t *tally) share(now time.Time) (float64, bool) {
	asked := t.asked.get(servedTime, now)
	if asked*servedTime.Seconds() < minJudged {
		return 0, false
	}
	return t.served.get(servedTime, now) / asked, true
}

// count notes a request that was served, or refused.
func (s *Shares) count(c *customer, route string, served float64, now time.Time) {
	s.all.add(served, now)
	c.served.add(served, now)
	t := s.routes[route]
	if t == nil && len(s.routes) >= maxRoutes {
		s.forgetIdle(now)
	}
	if t == nil && len(s.routes) < maxRoutes {
		t = &tally{}
		s.routes[route] = t
	}
	if t != nil {
		t.add(served, now)
	}
}

// starved reports whether requests are served so much less often than all that the next one
// goes first.
func (s *Shares) starved(t *tally, now time.Time) bool {
	if t == nil {
		return false
	}
	served, known := t.share(now)
	all, allKnown := s.all.share(now)
	return known && allKnown && served < starvedShare*all
}

// nextTurn returns the time until a caller's turn at a customer's admitted rate: callers get
// successive turns.
func (s *Shares) nextTurn(c *customer, perSecond float64, now time.Time) time.Duration {
	if c.turnAt.Before(now) {
		c.turnAt = now
	}
	interval := time.Duration(min(1/max(perSecond, 1e-3), maxRetryAfter.Seconds()) * float64(time.Second))
	last := now.Add(maxRetryAfter)
	if c.turnAt = c.turnAt.Add(interval); c.turnAt.After(last) {
		c.turnAt = last
		return time.Duration((1 - retrySpread*s.random.Float64()) * float64(maxRetryAfter))
	}
	return max(c.turnAt.Sub(now), minRetryAfter)
}
