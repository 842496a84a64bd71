package shift

import "time"

// The cap of a service is split among the three ways in which traffic moves, so
// that together they stay within it.
const (
	PlanShare    = 0.5  // of the cap: weights that look-ups follow
	ArrivalShare = 0.25 // of the cap: requests of clients placed elsewhere
	SpillShare   = 0.25 // of the cap: requests sent to leased slots elsewhere
)

// Limiter bounds the share of requests that goes elsewhere: in each interval it
// may be at most the share of the interval before plus Cap. Example: Cap 0.1,
// 5% went elsewhere in the last interval, so at most 15% may now.
type Limiter struct {
	Cap      float64
	Interval time.Duration

	began     time.Time
	total     int
	moved     int
	lastShare float64
}

// Closed describes an interval that is over.
type Closed struct {
	Total  int     // requests
	Moved  int     // of them sent elsewhere
	Before float64 // share that went elsewhere in the interval before
	Cap    float64
}

// Share returns the share that went elsewhere.
func (c Closed) Share() float64 { return float64(c.Moved) / float64(c.Total) }

// Limit returns the share that was allowed; one request always is.
func (c Closed) Limit() float64 {
	return max(min(c.Before+c.Cap, 1), 1/float64(c.Total))
}

// Tick begins a new interval when the present one is over, and returns that one
// if requests came in it.
func (l *Limiter) Tick(now time.Time) (Closed, bool) {
	if l.began.IsZero() {
		l.began = now
	}
	if now.Sub(l.began) < l.Interval {
		return Closed{}, false
	}
	l.began = now
	closed := Closed{Total: l.total, Moved: l.moved, Before: l.lastShare, Cap: l.Cap}
	if l.total > 0 {
		l.lastShare = closed.Share()
	}
	l.total, l.moved = 0, 0
	return closed, closed.Total > 0
}

// Arrive counts a request.
func (l *Limiter) Arrive() { l.total++ }

// MayMove reports whether one more request may go elsewhere. One request per
// interval always may, or a quiet service could never change its place.
func (l *Limiter) MayMove() bool {
	if l.moved == 0 {
		return true
	}
	limit := min(l.lastShare+l.Cap, 1) * float64(l.total)
	return float64(l.moved+1) <= limit
}

// Move counts a request that goes elsewhere.
func (l *Limiter) Move() { l.moved++ }

// Share returns the share that went elsewhere in the last full interval.
func (l *Limiter) Share() float64 { return l.lastShare }
