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

func coldRecord(sequence uint64, cold time.Duration, version uint64) Record {
	r := record("s", 5, sequence)
	r.Cold, r.ColdVersion = cold, version
	return r
}

func otherStart(r Record, start int64) Record {
	r.Start = start
	return r
}

// Of each word that a server turned cold, the version rises once, so that VMs that missed it differ.
func TestVersionRisesWhenAServerTurnsCold(t *testing.T) {
	const cold = 3 * time.Second
	announce := func(r Record) func(*State, time.Time) { return func(s *State, now time.Time) { s.Announce(r, now) } }
	turn := func(start int64, left time.Duration) func(*State, time.Time) {
		return func(s *State, now time.Time) { s.TurnCold("s", start, left, now) }
	}
	tests := map[string]struct {
		left    time.Duration // cold time known before
		gone    bool
		event   func(*State, time.Time)
		version uint64
		want    time.Duration // cold time known then
		told    bool
		source  Source
	}{
		"heartbeat, stays warm":              {event: announce(coldRecord(2, 0, 0)), source: FromServer},
		"heartbeat, turns cold":              {event: announce(coldRecord(2, cold, 0)), version: 1, want: cold, told: true, source: FromServer},
		"heartbeat, still cold":              {left: cold, event: announce(coldRecord(2, cold, 0)), want: cold, source: FromServer},
		"heartbeat, cold a trip longer":      {left: cold, event: announce(coldRecord(2, cold+coldSlack, 0)), want: cold + coldSlack, source: FromServer},
		"heartbeat, cold anew while cold":    {left: time.Second, event: announce(coldRecord(2, cold, 0)), version: 1, want: cold, told: true, source: FromServer},
		"heartbeat of a new start":           {event: announce(otherStart(coldRecord(1, cold, 0), 6)), want: cold, told: true, source: FromServer},
		"health check, turned cold":          {event: turn(5, cold), version: 1, want: cold, told: true, source: FromAnswer},
		"health check, known":                {left: cold, event: turn(5, cold), want: cold, source: FromServer},
		"health check, known a trip shorter": {left: cold, event: turn(5, cold+coldSlack), want: cold, source: FromServer},
		"health check, cold for less":        {left: cold, event: turn(5, time.Second), want: cold, source: FromServer},
		"health check, cold for longer":      {left: time.Second, event: turn(5, cold), version: 1, want: cold, told: true, source: FromAnswer},
		"health check, warm":                 {event: turn(5, 0), source: FromServer},
		"health check of another start":      {event: turn(4, cold), source: FromServer},
		"health check after its end":         {gone: true, event: turn(5, cold), source: FromVM},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			s.Announce(coldRecord(1, test.left, 0), now)
			if test.gone {
				s.End("s", now)
			}
			s.TakeUpdates()
			s.Changed = false
			test.event(&s, now)
			held := s.Find("s")
			if left := max(0, held.ColdUntil.Sub(now)); held.ColdVersion != test.version || left != test.want {
				t.Errorf("version %d, cold for %v, want version %d, %v", held.ColdVersion, left, test.version, test.want)
			}
			if told := len(s.TakeUpdates()) == 1; told != test.told || s.Changed != test.told {
				t.Errorf("told %v, changed %v, want %v", told, s.Changed, test.told)
			}
			if held.Word.Source != test.source {
				t.Errorf("known from %s, want %s", held.Word.Source, test.source)
			}
		})
	}
}

// Word that a server turned cold holds whatever an earlier build, or a VM that missed it, sends.
func TestMergedWordOfAColdServer(t *testing.T) {
	const cold = 3 * time.Second
	tests := map[string]struct {
		held    Record
		merged  Record
		version uint64
		want    time.Duration
		told    bool
	}{
		"newer":                              {held: coldRecord(2, 0, 0), merged: coldRecord(1, cold, 1), version: 1, want: cold, told: true},
		"newer, with a later sequence":       {held: coldRecord(2, 0, 0), merged: coldRecord(3, cold, 1), version: 1, want: cold, told: true},
		"newer, warm by now":                 {held: coldRecord(2, 0, 0), merged: coldRecord(1, 0, 1), version: 1, told: true},
		"newer, of another start":            {held: coldRecord(2, 0, 0), merged: otherStart(coldRecord(9, cold, 1), 4)},
		"known":                              {held: coldRecord(2, cold, 1), merged: coldRecord(1, cold+time.Second, 1), version: 1, want: cold},
		"older":                              {held: coldRecord(2, cold, 2), merged: coldRecord(1, 0, 1), version: 2, want: cold},
		"older, with a later sequence":       {held: coldRecord(2, cold, 1), merged: coldRecord(3, time.Second, 0), version: 1, want: cold},
		"older, warm, with a later sequence": {held: coldRecord(2, cold, 1), merged: coldRecord(3, 0, 0), version: 1, want: cold},
		"new start":                          {held: coldRecord(2, cold, 2), merged: otherStart(coldRecord(1, 0, 0), 6), told: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			s.Merge([]Record{test.held}, now)
			s.TakeUpdates()
			s.Merge([]Record{test.merged}, now)
			held := s.Find("s")
			if left := max(0, held.ColdUntil.Sub(now)); held.ColdVersion != test.version || left != test.want {
				t.Errorf("version %d, cold for %v, want version %d, %v", held.ColdVersion, left, test.version, test.want)
			}
			if told := len(s.TakeUpdates()) == 1; told != test.told {
				t.Errorf("told %v, want %v", told, test.told)
			}
			s.Merge([]Record{test.merged}, now)
			if updates := s.TakeUpdates(); updates != nil {
				t.Errorf("told again: %+v", updates)
			}
		})
	}
}

func TestVMThatMissedAColdServerDiffers(t *testing.T) {
	var knows, missed State
	for _, s := range []*State{&knows, &missed} {
		s.Announce(coldRecord(1, 0, 0), now)
	}
	const earlierBuilds uint64 = 0xcb2f787cc298bb4b // digest of a server that never turned cold
	if hash := knows.Digests()[0].Hash; hash != earlierBuilds {
		t.Errorf("the digest is %#x, that of earlier builds %#x", hash, earlierBuilds)
	}
	knows.TurnCold("s", 5, 3*time.Second, now)
	if knows.Matches(missed.Digests()[0]) {
		t.Fatal("the digests are equal")
	}
	later := now.Add(time.Second)
	missed.Merge(knows.Diff("a", missed.Index("a"), later), later)
	if left := missed.Find("s").ColdUntil.Sub(later); left != 2*time.Second || !knows.Matches(missed.Digests()[0]) {
		t.Errorf("cold for %v after they compared, want 2s; digests equal: %v", left, knows.Matches(missed.Digests()[0]))
	}
}
