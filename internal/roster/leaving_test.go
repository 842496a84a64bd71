package roster

import (
	"testing"
	"time"
)

// A server may say in an answer that it leaves while its announcements still say that
// it serves, or arrive late: within one start it is not used again on any VM.
func TestMarkOfLeavingStays(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	serving := func(sequence uint64) Record {
		return Record{ID: "s", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 2, Start: 5, Sequence: sequence}
	}
	later := serving(1)
	later.Start = 6
	tests := map[string]struct {
		then func(s *State)
		want bool
	}{
		"announced again":         {func(s *State) { s.Announce(serving(9), start) }, true},
		"newer record elsewhere":  {func(s *State) { s.Merge([]Record{serving(9)}, start) }, true},
		"silent record elsewhere": {func(s *State) { r := serving(3); r.Silent = true; s.Merge([]Record{r}, start) }, true},
		"next start":              {func(s *State) { s.Announce(later, start) }, false},
		"restored from disk":      {func(s *State) { live := s.Live(start); *s = State{}; s.Restore(live, "a", start) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			s.Announce(serving(3), start)
			s.MarkLeaving("s", 5, start)
			test.then(&s)
			if got := s.Find("s").Leaving; got != test.want {
				t.Errorf("leaving %v, want %v", got, test.want)
			}
		})
	}
}

// Two VMs, one of which heard the server and one of which holds a newer announcement,
// must agree after they have exchanged records in either order.
func TestMarkOfLeavingConverges(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	record := Record{ID: "s", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 2, Start: 5, Sequence: 3}
	newer := record
	newer.Sequence = 8
	for name, fromHearer := range map[string]bool{"hearer first": true, "other first": false} {
		t.Run(name, func(t *testing.T) {
			var hearer, other State
			hearer.Announce(record, now)
			other.Announce(newer, now)
			hearer.MarkLeaving("s", 5, now)
			for range 2 {
				if fromHearer {
					other.Merge(hearer.Live(now), now)
				}
				hearer.Merge(other.Live(now), now)
				fromHearer = true
			}
			if !hearer.Find("s").Leaving || !other.Find("s").Leaving || hearer.Digests()[0] != other.Digests()[0] {
				t.Errorf("the VMs differ: %+v, %+v", hearer.Find("s").Record, other.Find("s").Record)
			}
		})
	}
}
