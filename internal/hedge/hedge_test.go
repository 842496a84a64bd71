package hedge

import (
	"testing"
	"time"
)

// A second try that is late too, or that takes a slot which others wait for, costs more than it brings.
func TestWorth(t *testing.T) {
	tests := map[string]struct {
		candidate Candidate
		left      time.Duration
		want      bool
	}{
		"in time":           {Candidate{Expected: 300 * time.Millisecond, Load: 4, Slots: 9}, time.Second, true},
		"too late":          {Candidate{Expected: 900 * time.Millisecond, Load: 4, Slots: 9}, time.Second, false},
		"target has passed": {Candidate{Expected: 10 * time.Millisecond, Slots: 9}, -time.Second, false},
		"last slot":         {Candidate{Expected: 300 * time.Millisecond, Load: 8, Slots: 9}, time.Second, true},
		"no slot":           {Candidate{Expected: 300 * time.Millisecond, Load: 8.5, Slots: 9}, time.Second, false},
	}
	for name, test := range tests {
		if got := test.candidate.Worth(test.left); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	if got := Delay(10 * time.Millisecond); got != minDelay {
		t.Errorf("a short request is late after %v, want %v", got, minDelay)
	}
}
