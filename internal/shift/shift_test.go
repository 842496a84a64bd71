package shift

import (
	"testing"
	"time"
)

// All requests ask to be sent elsewhere; the share must rise by at most the cap
// per interval.
func TestShareRisesByTheCap(t *testing.T) {
	const (
		perInterval = 1000
		cap         = 0.1
	)
	l := Limiter{Cap: cap, Interval: time.Second}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	before := 0.0
	for interval := range 12 {
		l.Tick(now)
		shifted := 0
		for range perInterval {
			l.CountRequest()
			if l.AllowShift(0) {
				l.CountShift(0)
				shifted++
			}
		}
		share := float64(shifted) / perInterval
		if share > before+cap+1e-9 {
			t.Fatalf("interval %d: share rose from %.3f to %.3f", interval, before, share)
		}
		if want := min(float64(interval+1)*cap, 1); share < want-0.02 {
			t.Fatalf("interval %d: share %.3f, want about %.3f", interval, share, want)
		}
		before = share
		now = now.Add(time.Second)
	}
}

// A service with ten requests per interval moves too, although its cap is less
// than one request per interval.
func TestServiceWithFewRequestsMoves(t *testing.T) {
	const perInterval, cap = 10, 0.05
	l := Limiter{Cap: cap, Interval: time.Second}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	share := 0.0
	for interval := range 40 {
		stats, over := l.Tick(now)
		if over && stats.Share() > stats.Limit()+1e-9 {
			t.Fatalf("interval %d: share %.3f above its limit %.3f", interval, stats.Share(), stats.Limit())
		}
		shifted := 0
		for range perInterval {
			l.CountRequest()
			if l.AllowShift(0) {
				l.CountShift(0)
				shifted++
			}
		}
		share = float64(shifted) / perInterval
		if limit := float64(interval+1)*cap + 2.0/perInterval; share > limit {
			t.Fatalf("interval %d: share %.2f, the cap allows %.2f by then", interval, share, limit)
		}
		now = now.Add(time.Second)
	}
	if share < 0.9 {
		t.Errorf("share %.2f after 40 intervals, want nearly all", share)
	}
}

// Two ranks ask to be sent elsewhere; the more urgent one gets the limit first.
func TestUrgentRankMovesFirst(t *testing.T) {
	const perInterval = 1000
	l := Limiter{Cap: 0.1, Interval: time.Second}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var shifted [2]int
	for range 3 {
		l.Tick(now)
		shifted = [2]int{}
		for i := range perInterval {
			rank := 1
			if i%5 == 0 {
				rank = 0
			}
			l.CountRequest()
			if l.AllowShift(rank) {
				l.CountShift(rank)
				shifted[rank]++
			}
		}
		now = now.Add(time.Second)
	}
	if shifted[0] < 180 {
		t.Errorf("%d of 200 urgent requests moved, and %d others", shifted[0], shifted[1])
	}
}
