package pause

import (
	"testing"
	"time"
)

// manualClock returns the time that a test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                       { return c.now }
func (c *manualClock) After(time.Duration) <-chan time.Time { return nil }

func TestJustResumed(t *testing.T) {
	const beat = 50 * time.Millisecond
	tests := map[string]struct {
		gaps []time.Duration // between observations
		want bool
	}{
		"steady":                      {gaps: []time.Duration{beat, beat, beat}},
		"late beats":                  {gaps: []time.Duration{beat, 600 * time.Millisecond, beat}},
		"noticed by the call":         {gaps: []time.Duration{beat, 3 * time.Second}, want: true},
		"noticed by a beat before":    {gaps: []time.Duration{3 * time.Second, beat, beat}, want: true},
		"time of day set back":        {gaps: []time.Duration{beat, -2 * time.Second, beat}, want: true},
		"some time after the pause":   {gaps: []time.Duration{3 * time.Second, 500 * time.Millisecond, 500 * time.Millisecond}},
		"first observation, no pause": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
			d := &Detector{Clock: c}
			d.Observe()
			for i, gap := range test.gaps {
				c.now = c.now.Add(gap)
				if i < len(test.gaps)-1 {
					d.Observe()
				}
			}
			if got := d.JustResumed(); got != test.want {
				t.Errorf("just resumed: %v, want %v", got, test.want)
			}
		})
	}
}
