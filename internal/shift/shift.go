package shift

import "time"

// The cap of a service is split among the three ways in which traffic moves, so
// that together they stay within it.
const (
	PlanShare    = 0.5  // of the cap: weights that look-ups follow
	ArrivalShare = 0.25 // of the cap: requests of clients placed elsewhere
	SpillShare   = 0.25 // of the cap: requests sent to leased slots elsewhere
)

// ArrivalCap is the part of a cap for requests of clients placed elsewhere. While
// the plan does not move, its part is free: such requests then come from callers
// whose own failure domain is gone, and the plan will only follow them.
func ArrivalCap(limit float64, planMoves bool) float64 {
	if planMoves {
		return limit * ArrivalShare
	}
	return limit * (ArrivalShare + PlanShare)
}

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
	carry     float64

	wanted     []int // requests that wanted to move, by rank
	lastWanted []int // of the interval before
	movedBy    []int
}

// IntervalStats describes an interval that is over.
type IntervalStats struct {
	Requests      int     // requests
	Shifted       int     // of them sent elsewhere
	PreviousShare float64 // share that went elsewhere in the interval before
	Cap           float64
	Carry         float64 // part of a request that the interval before left over
}

// Share returns the share that went elsewhere.
func (c IntervalStats) Share() float64 { return float64(c.Shifted) / float64(c.Requests) }

// Limit returns the share that was allowed; one request always is.
func (c IntervalStats) Limit() float64 {
	return max(min(c.PreviousShare+c.Cap, 1)+c.Carry/float64(c.Requests), 1/float64(c.Requests))
}

// Tick begins a new interval when the present one is over, and returns that one
// if requests came in it.
func (l *Limiter) Tick(now time.Time) (IntervalStats, bool) {
	if l.began.IsZero() {
		l.began = now
	}
	if now.Sub(l.began) < l.Interval {
		return IntervalStats{}, false
	}
	l.began = now
	closed := IntervalStats{Requests: l.total, Shifted: l.moved, PreviousShare: l.lastShare, Cap: l.Cap, Carry: l.carry}
	if l.total > 0 {
		l.carry = min(max(l.limit()-float64(l.moved), 0), mostCarry)
		l.lastShare = closed.Share()
	}
	l.total, l.moved = 0, 0
	copy(l.lastWanted, l.wanted)
	clear(l.wanted)
	clear(l.movedBy)
	return closed, closed.Requests > 0
}

// CountRequest counts a request.
func (l *Limiter) CountRequest() { l.total++ }

// AllowShift reports whether one more request of the rank may go elsewhere. One
// request per interval always may, or a quiet service could never change its
// place. What the more urgent ranks wanted in the interval before is kept free
// for them.
func (l *Limiter) AllowShift(rank int) bool {
	l.grow(rank)
	l.wanted[rank]++
	if l.moved == 0 {
		return true
	}
	kept := 0
	for urgent := range rank {
		kept += max(0, l.lastWanted[urgent]-l.movedBy[urgent])
	}
	return float64(l.moved+1+kept) <= l.limit()
}

// mostCarry is what an interval passes on of a limit that it could not use up:
// less than one request, or a service with few requests per interval would lose
// the fraction each time and never move.
const mostCarry = 0.999

// limit is the number of requests of the interval so far that may go elsewhere.
func (l *Limiter) limit() float64 {
	return min(l.lastShare+l.Cap, 1)*float64(l.total) + l.carry
}

func (l *Limiter) grow(rank int) {
	for len(l.wanted) <= rank {
		l.wanted = append(l.wanted, 0)
		l.lastWanted = append(l.lastWanted, 0)
		l.movedBy = append(l.movedBy, 0)
	}
}

// CountShift counts a request of the rank that goes elsewhere.
func (l *Limiter) CountShift(rank int) {
	l.grow(rank)
	l.moved++
	l.movedBy[rank]++
}

// Share returns the share that went elsewhere in the last full interval.
func (l *Limiter) Share() float64 { return l.lastShare }
