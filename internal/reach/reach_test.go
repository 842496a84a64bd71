package reach

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func address(i int) string { return fmt.Sprint("10.0.0.", i, ":80") }

func TestChangesOfAWayAreToldOnce(t *testing.T) {
	type step struct {
		ms      int
		act     func(t *Tracker, now time.Time)
		failing []bool // of the changes at this step
	}
	fail := func(i int) func(*Tracker, time.Time) {
		return func(t *Tracker, now time.Time) { t.Failed("a", address(i), Refused, now) }
	}
	tests := map[string][]step{
		"one server fails often": {
			{ms: 0, act: fail(1)}, {ms: 100, act: fail(1)}, {ms: 200, act: fail(1)},
		},
		"two servers fail, then one is reached": {
			{ms: 0, act: fail(1)},
			{ms: 100, act: fail(2), failing: []bool{true}},
			{ms: 200, act: fail(3)},
			{ms: 300, act: func(t *Tracker, now time.Time) { t.Connected("a", address(1), now); t.Connected("a", address(2), now) }, failing: []bool{false}},
		},
		"two servers fail far apart": {
			{ms: 0, act: fail(1)}, {ms: 1600, act: fail(2)},
		},
		"failures grow old": {
			{ms: 0, act: fail(1)},
			{ms: 10, act: fail(2), failing: []bool{true}},
			{ms: 1600, act: func(*Tracker, time.Time) {}, failing: []bool{false}},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			for _, s := range steps {
				s.act(&tracker, at(s.ms))
				changes := tracker.Tick(at(s.ms))
				if len(changes) != len(s.failing) {
					t.Fatalf("at %d ms: changes %+v, want %v", s.ms, changes, s.failing)
				}
				for i, c := range changes {
					if c.Failing != s.failing[i] || c.Domain != "a" {
						t.Errorf("at %d ms: %+v, want failing %v", s.ms, c, s.failing[i])
					}
				}
			}
		})
	}
}
