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

func TestLaterWordWins(t *testing.T) {
	leaving := record("s1", 5, 9)
	leaving.Leaving = true
	elsewhere := record("s2", 6, 1)
	tests := map[string]struct {
		words []Record
		want  func(s *State) bool
	}{
		"a late announcement changes nothing": {
			words: []Record{leaving, record("s1", 5, 8)},
			want:  func(s *State) bool { return s.Find("s1").Leaving },
		},
		"a later start begins anew": {
			words: []Record{leaving, record("s1", 6, 1)},
			want:  func(s *State) bool { return !s.Find("s1").Leaving && s.Find("s1").Start == 6 },
		},
		"an announcement of an earlier start comes late": {
			words: []Record{record("s1", 6, 1), record("s1", 5, 100)},
			want:  func(s *State) bool { return s.Find("s1").Start == 6 },
		},
		"a later start takes the address": {
			words: []Record{record("s1", 5, 1), elsewhere},
			want:  func(s *State) bool { return s.Find("s1").Gone && !s.Find("s2").Gone },
		},
		"the earlier user of the address comes late": {
			words: []Record{elsewhere, record("s1", 5, 50)},
			want:  func(s *State) bool { return s.Find("s1") == nil },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, word := range test.words {
				s.Announce(word, now)
			}
			if !test.want(&s) {
				t.Errorf("roster holds %+v", s.Live(now))
			}
		})
	}
}

func TestEndIsForGood(t *testing.T) {
	var s State
	s.Announce(record("s1", 5, 1), now)
	s.End("s1", now)
	if s.Announce(record("s1", 5, 2), now) || !s.Find("s1").Gone {
		t.Error("a late announcement brought back a server that ended")
	}
	if !s.Announce(record("s1", 6, 1), now) || s.Find("s1").Gone {
		t.Error("a new start was not taken")
	}
}

func TestSilence(t *testing.T) {
	var here, there State
	here.Announce(record("s1", 5, 1), now)
	there.Merge(here.TakeUpdates(), now)
	later := now.Add(SilentAfter)
	here.Tick(later)
	there.Tick(later)
	if there.Find("s1").Silent {
		t.Error("a VM that gets no announcements judged the silence")
	}
	news := here.TakeUpdates()
	if len(news) != 1 || !news[0].Silent {
		t.Fatalf("news %+v, want the silence", news)
	}
	there.Announce(record("s1", 5, 7), later)
	there.TakeUpdates()
	there.Merge(news, later)
	if refuted := there.TakeUpdates(); there.Find("s1").Silent || len(refuted) != 1 || refuted[0].Sequence != 7 {
		t.Errorf("a silence of sequence 1 was not refuted by sequence 7: %+v", refuted)
	}
}

func TestStandingStillProvesNoSilence(t *testing.T) {
	var s State
	s.Announce(record("s1", 5, 1), now)
	later := now.Add(2 * SilentAfter)
	s.ResetTimeouts(later)
	s.Tick(later)
	if s.Find("s1").Silent {
		t.Error("silence was judged over the time in which this VM stood still")
	}
}

func TestVMsThatDifferExchange(t *testing.T) {
	var a, b State
	a.Announce(record("s1", 5, 1), now)
	differing := b.DifferingDomains(a.Digests(), now)
	if len(differing) != 1 || differing[0] != "a" {
		t.Fatalf("differing domains %v, want a", differing)
	}
	if again := b.DifferingDomains(a.Digests(), now); again != nil {
		t.Errorf("asked for %v twice within the interval", again)
	}
	b.Merge(a.Diff("a", b.Index("a"), now), now)
	if differing := b.DifferingDomains(a.Digests(), now.Add(time.Second)); len(differing) > 0 {
		t.Errorf("still differing after the exchange: %v", differing)
	}
}

func TestColdTimeTravels(t *testing.T) {
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
	if news := a.TakeUpdates(); len(news) != 1 {
		t.Errorf("a server that is cold again is no news: %+v", news)
	}
}

// Servers kept from before a start are used at once, and go silent unless they
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
	if news := after.TakeUpdates(); news != nil {
		t.Errorf("restored records are no news: %+v", news)
	}
	later := now.Add(SilentAfter)
	after.Announce(record("s1", 5, 9), later)
	after.Tick(later)
	if after.Find("s1").Silent || !after.Find("s2").Silent {
		t.Errorf("after the wait: %+v", after.Live(later))
	}
}

// A server that announces itself at another VM is not declared silent by the one
// that heard it before.
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

// VMs that compare send each other what differs, ends included, and no more.
func TestLackingIsWhatDiffers(t *testing.T) {
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
	lacking := a.Diff("a", b.Index("a"), now)
	if len(lacking) != 3 {
		t.Fatalf("sends %+v, want s1, s2 and s4", lacking)
	}
	b.Merge(lacking, now)
	if rest := a.Diff("a", b.Index("a"), now); len(rest) > 0 {
		t.Errorf("still lacking after the exchange: %+v", rest)
	}
}
