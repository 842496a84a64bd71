package shift

import "time"

// The cap of a service limits the share of its traffic that moves between
// failure domains per interval. It is split among the three causes of such
// moves, so that together they stay within it.
const (
	PlanShare    = 0.5  // of the cap: changes of the weights that look-ups follow
	ArrivalShare = 0.25 // of the cap: requests of clients whose address block is placed elsewhere
	SpillShare   = 0.25 // of the cap: requests sent to slots borrowed from elsewhere
)

// ArrivalCap returns the part of the cap limit for requests of clients whose
// address block is placed elsewhere. While the weights do not change, it includes
// their part: such requests then come from callers whose own failure domain cannot
// be reached, and later changes of the weights only follow them.
func ArrivalCap(limit float64, weightsChange bool) float64 {
	if weightsChange {
		return limit * ArrivalShare
	}
	return limit * (ArrivalShare + PlanShare)
}

// Limiter limits the share of requests that is sent to other failure domains: in
// each interval it is at most the share of the previous interval plus Cap.
// Example: with Cap 0.1 and 5% in the previous interval, at most 15% in this
// one.
type Limiter struct {
	Cap      float64 // by which the share may rise from one interval to the next
	Interval time.Duration

	intervalStart time.Time
	requests      int
	shifted       int // of requests, those sent elsewhere
	previousShare float64
	carry         float64 // unused part of a request from the previous interval

	wantedByRank   []int // by rank: requests that asked to be sent elsewhere
	previousWanted []int // wantedByRank of the previous interval
	shiftedByRank  []int
}

// IntervalStats describes the requests of a completed interval.
type IntervalStats struct {
	Requests      int
	Shifted       int     // of Requests, those sent elsewhere
	PreviousShare float64 // share sent elsewhere in the interval before this one
	Cap           float64
	Carry         float64 // unused part of a request from the interval before this one
}

// Share returns the share of requests sent elsewhere.
func (s IntervalStats) Share() float64 { return float64(s.Shifted) / float64(s.Requests) }

// Limit returns the share that was allowed to be sent elsewhere; one request is
// always allowed.
func (s IntervalStats) Limit() float64 {
	return max(min(s.PreviousShare+s.Cap, 1)+s.Carry/float64(s.Requests), 1/float64(s.Requests))
}

// Tick begins a new interval when the current one is over. It returns the counts
// of the completed interval and true, or false while the interval runs or if it
// had no requests.
func (l *Limiter) Tick(now time.Time) (IntervalStats, bool) {
	if l.intervalStart.IsZero() {
		l.intervalStart = now
	}
	if now.Sub(l.intervalStart) < l.Interval {
		return IntervalStats{}, false
	}
	l.intervalStart = now
	stats := IntervalStats{Requests: l.requests, Shifted: l.shifted, PreviousShare: l.previousShare, Cap: l.Cap, Carry: l.carry}
	if l.requests > 0 {
		l.carry = min(max(l.allowed()-float64(l.shifted), 0), maxCarry)
		l.previousShare = stats.Share()
	}
	l.requests, l.shifted = 0, 0
	copy(l.previousWanted, l.wantedByRank)
	clear(l.wantedByRank)
	clear(l.shiftedByRank)
	return stats, stats.Requests > 0
}

// CountRequest counts a request of the current interval.
func (l *Limiter) CountRequest() { l.requests++ }

// AllowShift counts a request of the rank that asks to be sent elsewhere and
// reports whether it may. One request per interval always may, or a service with
// few requests could never move. As many requests as more urgent ranks asked for
// in the previous interval, less those already sent, are reserved for them.
func (l *Limiter) AllowShift(rank int) bool {
	l.ensureRank(rank)
	l.wantedByRank[rank]++
	if l.shifted == 0 {
		return true
	}
	reserved := 0
	for urgent := range rank {
		reserved += max(0, l.previousWanted[urgent]-l.shiftedByRank[urgent])
	}
	return float64(l.shifted+1+reserved) <= l.allowed()
}

// maxCarry is the largest unused part of a limit, in requests, that an interval
// passes on to the next one: less than one request. Without it a service with
// few requests per interval would lose the fraction of a request each time and
// never move.
const maxCarry = 0.999

// allowed returns how many of the interval's requests so far may go elsewhere.
func (l *Limiter) allowed() float64 {
	return min(l.previousShare+l.Cap, 1)*float64(l.requests) + l.carry
}

func (l *Limiter) ensureRank(rank int) {
	for len(l.wantedByRank) <= rank {
		l.wantedByRank = append(l.wantedByRank, 0)
		l.previousWanted = append(l.previousWanted, 0)
		l.shiftedByRank = append(l.shiftedByRank, 0)
	}
}

// CountShift counts a request of the rank that is sent elsewhere.
func (l *Limiter) CountShift(rank int) {
	l.ensureRank(rank)
	l.shifted++
	l.shiftedByRank[rank]++
}

// Share returns the share of requests sent elsewhere in the last completed
// interval.
func (l *Limiter) Share() float64 { return l.previousShare }
