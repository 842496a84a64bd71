package customer

import (
	"math"
	"time"
)

// meterTime is the time over which rates are averaged: shorter than the 2 s in which
// demand moves between regions.
const meterTime = time.Second

// Demand that was reported often and is reported no more has moved to other domains, and
// falls faster than the average.
const (
	goneAfter   = 2                      // usual intervals without a report
	minGoneTime = 100 * time.Millisecond // in which it falls by e, at least: entries keep back reports for 50 ms
)

// meter is a moving average of a rate, from reports of how many came.
type meter struct {
	perSecond float64
	batch     float64 // moving average of what a report counts
	at        time.Time
}

func (m *meter) add(n int, now time.Time) {
	if n == 0 {
		return
	}
	m.perSecond = m.average(now) + float64(n)/meterTime.Seconds()
	if m.batch == 0 {
		m.batch = float64(n)
	}
	m.batch += (float64(n) - m.batch) / 8
	m.at = now
}

func (m *meter) average(now time.Time) float64 {
	if m.perSecond == 0 {
		return 0
	}
	return m.perSecond * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTime.Seconds())
}

func (m *meter) rate(now time.Time) float64 {
	average := m.average(now)
	if average == 0 {
		return 0
	}
	interval := m.batch / m.perSecond
	gone := now.Sub(m.at).Seconds() - goneAfter*interval
	if gone <= 0 {
		return average
	}
	return average * math.Exp(-gone/max(interval, minGoneTime.Seconds()))
}

// surely returns how many of an expected number of requests come with near certainty, two
// standard deviations below the mean: what is asked for ahead and not used is lost.
func surely(expected float64) int {
	return int(max(0, expected-2*math.Sqrt(expected)))
}

// lot is a number of tokens or allowances that end at the same time.
type lot struct {
	count int
	until time.Time
}

// dropEnded removes the lots that have ended; they are in no order.
func dropEnded(lots []lot, now time.Time) []lot {
	kept := lots[:0]
	for _, l := range lots {
		if l.count > 0 && now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	return kept
}

func countOf(lots []lot) int {
	n := 0
	for _, l := range lots {
		n += l.count
	}
	return n
}

// takeFrom takes up to n, those that end first before others, and returns how many.
func takeFrom(lots []lot, n int) int {
	taken := 0
	for taken < n {
		first := -1
		for i := range lots {
			if lots[i].count > 0 && (first < 0 || lots[i].until.Before(lots[first].until)) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		part := min(n-taken, lots[first].count)
		lots[first].count -= part
		taken += part
	}
	return taken
}

// maxCount is above the requests of a customer that wait or arrive at one VM at a time; a message
// with more is faulty.
const maxCount = 1 << 20

// inBounds returns a count of a message, limited to what can be true: a negative one would create
// tokens.
func inBounds(count int) int { return min(max(count, 0), maxCount) }

// finite returns a number of a message, and 0 for one that would remain in all sums and comparisons.
func finite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return x
}
