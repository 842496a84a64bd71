package shift

import (
	"testing"
	"time"
)

// All requests want to move; the share must rise by at most the cap.
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
		moved := 0
		for range perInterval {
			l.Arrive()
			if l.MayMove() {
				l.Move()
				moved++
			}
		}
		share := float64(moved) / perInterval
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
