package roster

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(id string, start int64, sequence uint64) Record {
	return Record{ID: id, Service: "web", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Start: start, Sequence: sequence}
}

func TestNewerRecordWins(t *testing.T) {
	leaving := record("s1", 5, 9)
	leaving.Leaving = true
	sameAddress := record("s2", 6, 1)
	tests := map[string]struct {
		announcements []Record
		want          func(s *State) bool
	}{
		"a delayed announcement is ignored": {
			announcements: []Record{leaving, record("s1", 5, 8)},
			want:          func(s *State) bool { return s.Find("s1").Leaving },
		},
		"a later start replaces the record": {
			announcements: []Record{leaving, record("s1", 6, 1)},
			want:          func(s *State) bool { return !s.Find("s1").Leaving && s.Find("s1").Start == 6 },
		},
		"a delayed announcement of an earlier start is ignored": {
			announcements: []Record{record("s1", 6, 1), record("s1", 5, 100)},
			want:          func(s *State) bool { return s.Find("s1").Start == 6 },
		},
		"a later start takes the address": {
			announcements: []Record{record("s1", 5, 1), sameAddress},
			want:          func(s *State) bool { return s.Find("s1").Gone && !s.Find("s2").Gone },
		},
		"a delayed announcement of the earlier user of the address is ignored": {
			announcements: []Record{sameAddress, record("s1", 5, 50)},
			want:          func(s *State) bool { return s.Find("s1") == nil },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, announcement := range test.announcements {
				s.Announce(announcement, now)
			}
			if !test.want(&s) {
				t.Errorf("roster holds %+v", s.Live(now))
			}
		})
	}
}

func TestEndedStartStaysGone(t *testing.T) {
	var s State
	s.Announce(record("s1", 5, 1), now)
	s.End("s1", now)
	if s.Announce(record("s1", 5, 2), now) || !s.Find("s1").Gone {
		t.Error("a delayed announcement brought back a server that ended")
	}
	if !s.Announce(record("s1", 6, 1), now) || s.Find("s1").Gone {
		t.Error("a new start was not stored")
	}
}

// Only the VM that got the announcements of a server marks it silent, and another
// VM that got a later one refutes that.
func TestSilentServerAndItsRefutation(t *testing.T) {
	var here, there State
	here.Announce(record("s1", 5, 1), now)
	there.Merge(here.TakeUpdates(), now)
	later := now.Add(SilentAfter)
	here.Tick(later)
	there.Tick(later)
	if there.Find("s1").Silent {
		t.Error("a VM that gets no announcements marked the server silent")
	}
	updates := here.TakeUpdates()
	if len(updates) != 1 || !updates[0].Silent {
		t.Fatalf("updates %+v, want the silent server", updates)
	}
	there.Announce(record("s1", 5, 7), later)
	there.TakeUpdates()
	there.Merge(updates, later)
	if refuted := there.TakeUpdates(); there.Find("s1").Silent || len(refuted) != 1 || refuted[0].Sequence != 7 {
		t.Errorf("the silent record of sequence 1 was not refuted by sequence 7: %+v", refuted)
	}
}

func TestStalledVMMarksNoServerSilent(t *testing.T) {
	var s State
	s.Announce(record("s1", 5, 1), now)
	later := now.Add(2 * SilentAfter)
	s.ResetTimeouts(later)
	s.Tick(later)
	if s.Find("s1").Silent {
		t.Error("the server was marked silent for the time in which this VM was stalled")
	}
}

func TestDifferingVMsExchangeRecords(t *testing.T) {
	var a, b State
	a.Announce(record("s1", 5, 1), now)
	differing := b.DifferingDomains(a.Digests(), now)
	if len(differing) != 1 || differing[0] != "a" {
		t.Fatalf("differing domains %v, want a", differing)
	}
	if again := b.DifferingDomains(a.Digests(), now); again != nil {
		t.Errorf("returned %v again within syncInterval", again)
	}
	b.Merge(a.Diff("a", b.Index("a"), now), now)
	if differing := b.DifferingDomains(a.Digests(), now.Add(time.Second)); len(differing) > 0 {
		t.Errorf("still differing after the exchange: %v", differing)
	}
}

// The cold time left is sent on, less the time that passed, and a warm server that
// became cold is sent to other VMs at once.
func TestColdTimeIsPassedOn(t *testing.T) {
	var a, b State
	cold := record("s1", 5, 1)
	cold.Cold = 3 * time.Second
	a.Announce(cold, now)
	a.TakeUpdates()
	b.Merge(a.Live(now.Add(time.Second)), now.Add(time.Second))
	if got := b.Find("s1").ColdUntil.Sub(now); got != 3*time.Second {
		t.Errorf("cold for %v after the announcement, want 3s", got)
	}
	warm := record("s1", 5, 2)
	a.Announce(warm, now.Add(10*time.Second))
	coldAgain := record("s1", 5, 3)
	coldAgain.Cold = 3 * time.Second
	a.TakeUpdates()
	a.Announce(coldAgain, now.Add(11*time.Second))
	if updates := a.TakeUpdates(); len(updates) != 1 {
		t.Errorf("updates %+v, want one for the server that is cold again", updates)
	}
}

// Servers restored after a start are used at once, and become silent unless they
// announce themselves again.
func TestRestoredServers(t *testing.T) {
	var before, after State
	before.Announce(record("s1", 5, 3), now)
	other := record("s2", 6, 3)
	other.Address = "10.0.0.2:80"
	before.Announce(other, now)
	after.Restore(before.Live(now), "a", now)
	if len(after.Entries) != 2 || after.Find("s1").Silent {
		t.Fatalf("restored %+v", after.Live(now))
	}
	if updates := after.TakeUpdates(); updates != nil {
		t.Errorf("restored records were queued as updates: %+v", updates)
	}
	later := now.Add(SilentAfter)
	after.Announce(record("s1", 5, 9), later)
	after.Tick(later)
	if after.Find("s1").Silent || !after.Find("s2").Silent {
		t.Errorf("after SilentAfter: %+v", after.Live(later))
	}
}

// A server that announces itself to another VM is not marked silent by the VM
// that received its announcements before.
func TestServerMovesToAnotherVM(t *testing.T) {
	var first, second State
	exchange := func(now time.Time) {
		for range 3 {
			second.Merge(first.TakeUpdates(), now)
			first.Merge(second.TakeUpdates(), now)
		}
	}
	first.Announce(record("s1", 5, 1), now)
	exchange(now)
	for sequence := uint64(2); sequence < 40; sequence++ {
		at := now.Add(time.Duration(sequence) * 1500 * time.Millisecond)
		second.Announce(record("s1", 5, sequence), at)
		for range 10 {
			first.Tick(at)
			second.Tick(at)
			exchange(at)
		}
		if first.Find("s1").Silent || second.Find("s1").Silent {
			t.Fatalf("the server is silent %v after it moved, although it announces itself", at.Sub(now))
		}
	}
}

// VMs send each other exactly the records that differ, gone servers included.
func TestDiffReturnsWhatDiffers(t *testing.T) {
	var a, b State
	for i, id := range []string{"s1", "s2", "s3", "s4"} {
		r := record(id, 5, 1)
		r.Address = fmt.Sprintf("10.0.0.%d:80", i+1)
		a.Announce(r, now)
		if id != "s4" {
			b.Announce(r, now)
		}
	}
	a.End("s1", now)
	leaving := record("s2", 5, 2)
	leaving.Address, leaving.Leaving = "10.0.0.2:80", true
	a.Announce(leaving, now)
	records := a.Diff("a", b.Index("a"), now)
	if len(records) != 3 {
		t.Fatalf("sends %+v, want s1, s2 and s4", records)
	}
	b.Merge(records, now)
	if rest := a.Diff("a", b.Index("a"), now); len(rest) > 0 {
		t.Errorf("still differing after the exchange: %+v", rest)
	}
}
