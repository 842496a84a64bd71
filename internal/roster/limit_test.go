package roster

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

func limitOf(perSecond float64) routing.Limit {
	return routing.Limit{Named: true, PerSecond: perSecond}
}

// A limit holds until the server itself says otherwise, whatever is announced or merged.
func TestLimitOfAStart(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	record := Record{ID: "s", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: 1, Sequence: 5}
	announced := record
	announced.Sequence = 6
	restarted := record
	restarted.Start, restarted.Sequence = 2, 1
	merged := func(version uint64, limit routing.Limit) func(*State, time.Time) {
		return func(s *State, now time.Time) {
			r := record
			r.Sequence, r.Limit, r.LimitVersion = 1, limit, version
			s.Merge([]Record{r}, now)
		}
	}
	tests := map[string]struct {
		change func(*State, time.Time)
		want   routing.Limit
	}{
		"nothing":               {change: func(*State, time.Time) {}, want: limitOf(4)},
		"announced again":       {change: func(s *State, now time.Time) { s.Announce(announced, now) }, want: limitOf(4)},
		"restarted":             {change: func(s *State, now time.Time) { s.Announce(restarted, now) }},
		"merged, older":         {change: merged(0, routing.Limit{}), want: limitOf(4)},
		"merged, newer":         {change: merged(2, limitOf(9)), want: limitOf(9)},
		"merged, ended":         {change: merged(2, routing.Limit{}), want: routing.Limit{}},
		"merged, same, lower":   {change: merged(1, limitOf(3)), want: limitOf(3)},
		"merged, same, higher":  {change: merged(1, limitOf(5)), want: limitOf(4)},
		"heard, lower":          {change: func(s *State, now time.Time) { s.NoteLimit("s", 1, limitOf(2), now) }, want: limitOf(2)},
		"heard, ended at once":  {change: func(s *State, now time.Time) { s.NoteLimit("s", 1, routing.Limit{}, now) }, want: limitOf(4)},
		"heard, ended":          {change: func(s *State, now time.Time) { s.NoteLimit("s", 1, routing.Limit{}, now.Add(limitInterval)) }},
		"heard of other start":  {change: func(s *State, now time.Time) { s.NoteLimit("s", 2, limitOf(2), now) }, want: limitOf(4)},
		"heard, a little lower": {change: func(s *State, now time.Time) { s.NoteLimit("s", 1, limitOf(3.9), now) }, want: limitOf(4)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &State{}
			s.Announce(record, now)
			s.NoteLimit("s", 1, limitOf(4), now)
			test.change(s, now)
			if held := s.Find("s"); held.Limit != test.want || !held.AnnouncedHere() && name != "restarted" {
				t.Errorf("limit %+v, announced here %v, want %+v", held.Limit, held.AnnouncedHere(), test.want)
			}
		})
	}
}

// Two VMs that heard different limits at once agree after they exchanged their records.
func TestLimitsHeardAtOnceConverge(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	record := Record{ID: "s", Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: 1, Sequence: 5}
	a, b := &State{}, &State{}
	a.Announce(record, now)
	b.Merge([]Record{record}, now)
	a.TakeUpdates()
	b.TakeUpdates()
	a.NoteLimit("s", 1, limitOf(4), now)
	b.NoteLimit("s", 1, limitOf(3), now)
	fromA, fromB := a.TakeUpdates(), b.TakeUpdates()
	a.Merge(fromB, now)
	b.Merge(fromA, now)
	if a.Find("s").Limit != limitOf(3) || b.Find("s").Limit != limitOf(3) {
		t.Errorf("limits %+v and %+v, want the lower on both", a.Find("s").Limit, b.Find("s").Limit)
	}
	if !a.Matches(b.Digests()[0]) {
		t.Error("the digests differ")
	}
}
