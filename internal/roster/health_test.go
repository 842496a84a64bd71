package roster

import (
	"strings"
	"testing"
	"time"
)

func healthRecord(start int64, sequence uint64, path string) Record {
	r := record("s", start, sequence)
	r.Health = path
	return r
}

func TestHealthPathOfAServer(t *testing.T) {
	other := healthRecord(5, 1, "/other")
	other.ID, other.Address = "t", "10.0.0.2:80"
	elsewhere := other
	elsewhere.Service = "pay"
	moved := healthRecord(6, 1, "")
	moved.Service = "pay"
	announce := func(r Record) func(*State) { return func(s *State) { s.Announce(r, now.Add(time.Second)) } }
	merge := func(r Record) func(*State) { return func(s *State) { s.Merge([]Record{r}, now.Add(time.Second)) } }
	tests := map[string]struct {
		held  string
		event func(*State)
		want  string
		told  bool
	}{
		"announced, unchanged":                  {held: "/old", event: announce(healthRecord(5, 2, "/old")), want: "/old"},
		"announced, changed":                    {held: "/old", event: announce(healthRecord(5, 2, "/new")), want: "/new", told: true},
		"announced, first known":                {event: announce(healthRecord(5, 2, "/new")), want: "/new", told: true},
		"announced, unknown":                    {held: "/old", event: announce(healthRecord(5, 2, "")), want: "/old"},
		"announced, no path":                    {held: "/old", event: announce(healthRecord(5, 2, "new")), want: "/old"},
		"announced, too long":                   {held: "/old", event: announce(healthRecord(5, 2, "/"+strings.Repeat("a", maxHealthBytes))), want: "/old"},
		"announced, as long as allowed":         {held: "/old", event: announce(healthRecord(5, 2, "/"+strings.Repeat("a", maxHealthBytes-1))), want: "/" + strings.Repeat("a", maxHealthBytes-1), told: true},
		"merged, changed":                       {held: "/old", event: merge(healthRecord(5, 2, "/new")), want: "/new", told: true},
		"merged, of an earlier build":           {held: "/old", event: merge(healthRecord(5, 2, "")), want: "/old"},
		"merged, new start, of an earlier one":  {held: "/old", event: merge(healthRecord(6, 1, "")), want: "/old", told: true},
		"merged, other service":                 {held: "/old", event: merge(moved), told: true},
		"merged, not newer":                     {held: "/old", event: merge(healthRecord(5, 1, "/new")), want: "/old"},
		"merged, not newer, but first known":    {event: merge(healthRecord(5, 1, "/new")), want: "/new"},
		"another server of its service has one": {event: merge(other), want: "/other", told: true},
		"another server of another service":     {event: merge(elsewhere), told: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			s.Announce(healthRecord(5, 1, test.held), now)
			digest := s.Digests()[0]
			s.TakeUpdates()
			test.event(&s)
			if path := s.HealthPath("s"); path != test.want {
				t.Errorf("path %q, want %q", path, test.want)
			}
			if told := len(s.TakeUpdates()) == 1; told != test.told {
				t.Errorf("told %v, want %v", told, test.told)
			}
			if held := s.Find("s"); held.Start == 5 && s.Find("t") == nil && !s.Matches(digest) {
				t.Error("the path is part of the digest")
			}
		})
	}
}

// The records of all servers of a service change with its path.
func TestChangesOfHealthPathsAreSpread(t *testing.T) {
	const (
		servers  = 30
		interval = 300 * time.Millisecond // of announcements
	)
	var s State
	announce := func(sequence uint64, path string, now time.Time) {
		for i := range servers {
			r := healthRecord(5, sequence, path)
			r.ID, r.Address = string(rune('A'+i)), string(rune('A'+i))+":80"
			s.Announce(r, now)
		}
	}
	announce(1, "/old", now)
	s.TakeUpdates()
	changed := 0
	for sequence := uint64(2); changed < servers && sequence < 2*servers; sequence++ {
		announce(sequence, "/new", now.Add(time.Duration(sequence)*interval))
		updates := len(s.TakeUpdates())
		changed += updates
		if updates != 1 {
			t.Fatalf("%d records are sent for the announcements of one moment, want 1", updates)
		}
	}
	if changed != servers {
		t.Errorf("%d of %d servers have the new path", changed, servers)
	}
	for _, e := range s.Entries {
		if e.Health != "/new" {
			t.Errorf("%s has the path %q", e.ID, e.Health)
		}
	}
}
