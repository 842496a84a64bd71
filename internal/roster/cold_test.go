package roster

import (
	"testing"
	"time"
)

func TestChangeOfAnotherFieldKeepsTheColdTime(t *testing.T) {
	cold := record("s", 5, 1)
	cold.Cold = 3 * time.Second
	limited := cold
	limited.Limit, limited.LimitVersion = limitOf(4), 1
	tests := map[string]func(s *State, now time.Time){
		"limit heard":    func(s *State, now time.Time) { s.NoteLimit("s", 5, limitOf(4), now) },
		"limit merged":   func(s *State, now time.Time) { s.Merge([]Record{limited}, now) },
		"marked leaving": func(s *State, now time.Time) { s.MarkLeaving("s", 5, now) },
		"turned silent":  func(s *State, now time.Time) { s.Tick(now) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			s.Announce(cold, now)
			s.TakeUpdates()
			change(&s, now.Add(time.Minute))
			if left := s.Find("s").ColdUntil.Sub(now); left != 3*time.Second {
				t.Errorf("cold for %v after the announcement, want 3s", left)
			}
			for _, r := range s.TakeUpdates() {
				if r.Cold != 0 {
					t.Errorf("sends that it is cold for %v a minute later", r.Cold)
				}
			}
		})
	}
}
