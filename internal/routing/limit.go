package routing

import "time"

// Limit is the rate of requests that a server takes from all VMs together. The zero
// value is that of a server without a limit.
type Limit struct {
	Named     bool    `json:"named"`
	PerSecond float64 `json:"perSecond"` // requests a second, 0 or more
}

const (
	minRate   = 0.1                    // requests a second, sent to a server that names less: only an answer can say that a limit has ended
	burstBase = 1.0                    // requests that may be saved up
	burstTime = 250 * time.Millisecond // of the rate, which may be saved up besides
)

// Rate returns the requests a second that go by the limit, more than 0.
func (l Limit) Rate() float64 { return max(l.PerSecond, minRate) }

// Burst returns how many requests may be saved up at a rate in requests a second.
func Burst(rate float64) float64 { return burstBase + rate*burstTime.Seconds() }

// TokenBucket counts the requests that a rate allows.
type TokenBucket struct {
	Tokens     float64
	RefilledAt time.Time // a later time holds the bucket until then
}

// Refill adds what the rate, in requests a second, allowed since the last call, up to
// the burst.
func (b *TokenBucket) Refill(rate float64, now time.Time) {
	if now.After(b.RefilledAt) {
		b.Tokens += rate * now.Sub(b.RefilledAt).Seconds()
		b.RefilledAt = now
	}
	b.Tokens = min(b.Tokens, Burst(rate))
}

// SetLimit applies a limit that the server names, or that it names none any more.
func (s *Server) SetLimit(limit Limit, now time.Time) {
	if limit.Named && !s.Limit.Named {
		s.bucket = TokenBucket{RefilledAt: now}
	}
	s.Limit = limit
}

// limitReached reports whether the limit of the server leaves room for no request. The
// owner of the server counts for all VMs; nobody counts for slots lent to others.
func (s *Server) limitReached(own string, now time.Time) bool {
	if !s.Limit.Named {
		return false
	}
	s.bucket.Refill(s.Limit.Rate(), now)
	return s.Borrowed(own) || s.bucket.Tokens < 1
}

// LimitedWait returns how long the next of a number of waiting requests has to wait, at
// the rates of the limited servers, or 0 if a server without a limit has slots.
func (p *Pool) LimitedWait(waiting int, now time.Time) time.Duration {
	rate, tokens := 0.0, 0.0
	for _, s := range p.Servers {
		switch {
		case !s.Usable(now):
		case !s.Limit.Named:
			return 0
		case !s.Borrowed(p.Domain):
			rate += s.Limit.Rate()
			tokens += s.bucket.Tokens
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(max(0, float64(waiting+1)-tokens) / rate * float64(time.Second))
}
