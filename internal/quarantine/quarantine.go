package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Phase is how sure the system is that a request crashes servers.
type Phase uint8

// The phases.
const (
	Clear       Phase = iota
	Suspected         // one server died while it ran
	Quarantined       // a second server died while it ran alone
)

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint uint64
	Phase       Phase
	Deaths      int
	Since       time.Time
	Until       time.Time // forgotten from then on
	Lifted      bool      // an operator cleared it
	trial       uint64    // ticket of the only run allowed while suspected
}

// Bounds of the table.
const (
	suspectFor    = 5 * time.Minute
	quarantineFor = time.Hour
	MaxEntries    = 1024
	deathsToBar   = 2
)

// Table holds the suspected and quarantined fingerprints in rising order. A
// request that crashes every server that runs it never ends well, so one that
// did end well lately is not suspected when a server dies under it.
type Table struct {
	Entries []Entry

	recent, older map[uint64]struct{} // fingerprints that ended well
}

const maxProven = 4096 // fingerprints in one generation of those that ended well

func (t *Table) proven(fingerprint uint64) bool {
	if _, found := t.recent[fingerprint]; found {
		return true
	}
	_, found := t.older[fingerprint]
	return found
}

func (t *Table) prove(fingerprint uint64) {
	if _, found := t.recent[fingerprint]; found {
		return
	}
	if t.recent == nil || len(t.recent) >= maxProven {
		t.older, t.recent = t.recent, make(map[uint64]struct{}, maxProven)
	}
	t.recent[fingerprint] = struct{}{}
}

func compareEntry(e Entry, fingerprint uint64) int { return cmp.Compare(e.Fingerprint, fingerprint) }

func (t *Table) find(fingerprint uint64) *Entry {
	at, found := slices.BinarySearchFunc(t.Entries, fingerprint, compareEntry)
	if !found {
		return nil
	}
	return &t.Entries[at]
}

// Find returns what is known of a fingerprint.
func (t *Table) Find(fingerprint uint64) (Entry, bool) {
	entry := t.find(fingerprint)
	if entry == nil {
		return Entry{}, false
	}
	return *entry, true
}

// Verdict tells whether a request may run.
type Verdict uint8

// The verdicts.
const (
	Allowed Verdict = iota + 1
	Trial           // allowed, but nothing else with the fingerprint meanwhile
	Wait            // a trial is running
	Barred
)

// Check decides about a request before it gets a server.
func (t *Table) Check(fingerprint uint64, now time.Time) Verdict {
	entry := t.find(fingerprint)
	switch {
	case entry == nil || entry.Lifted || !now.Before(entry.Until):
		return Allowed
	case entry.Phase == Quarantined:
		return Barred
	case entry.trial != 0:
		return Wait
	default:
		return Trial
	}
}

// BeginTrial notes the run of a suspected request.
func (t *Table) BeginTrial(fingerprint, ticket uint64) {
	if entry := t.find(fingerprint); entry != nil {
		entry.trial = ticket
	}
}

// RecordDeath notes that a server died while the request ran, and returns the new
// phase. Only a run that began after the suspicion counts as the second death,
// so that a page that many servers run when a whole site fails stays clear.
func (t *Table) RecordDeath(fingerprint, ticket uint64, now time.Time) Phase {
	entry := t.find(fingerprint)
	if entry == nil && t.proven(fingerprint) {
		return Clear
	}
	if entry == nil {
		t.add(Entry{
			Fingerprint: fingerprint,
			Phase:       Suspected,
			Deaths:      1,
			Since:       now,
			Until:       now.Add(suspectFor),
		})
		return Suspected
	}
	if entry.trial != ticket || entry.Phase == Quarantined {
		return entry.Phase
	}
	entry.trial = 0
	entry.Deaths++
	if entry.Deaths >= deathsToBar {
		entry.Phase = Quarantined
		entry.Lifted = false
		entry.Until = now.Add(quarantineFor)
	}
	return entry.Phase
}

// RecordSurvival clears a suspicion: the request ran and the server lives.
func (t *Table) RecordSurvival(fingerprint uint64) {
	t.prove(fingerprint)
	if len(t.Entries) == 0 {
		return
	}
	at, found := slices.BinarySearchFunc(t.Entries, fingerprint, compareEntry)
	if found && t.Entries[at].Phase == Suspected {
		t.Entries = slices.Delete(t.Entries, at, at+1)
	}
}

// EndTrial allows another run after one that proved nothing.
func (t *Table) EndTrial(fingerprint, ticket uint64) {
	if entry := t.find(fingerprint); entry != nil && entry.trial == ticket {
		entry.trial = 0
	}
}

// Lift clears a fingerprint at an operator's request.
func (t *Table) Lift(fingerprint uint64) bool {
	entry := t.find(fingerprint)
	if entry == nil {
		return false
	}
	entry.Lifted = true
	return true
}

// Merge takes over what another VM knows when it is worse news.
func (t *Table) Merge(entries []Entry, now time.Time) {
	for _, other := range entries {
		if !now.Before(other.Until) {
			continue
		}
		entry := t.find(other.Fingerprint)
		switch {
		case entry == nil && other.Phase == Suspected && t.proven(other.Fingerprint):
		case entry == nil:
			t.add(other)
		case other.Lifted:
			entry.Lifted = true
		case other.Phase > entry.Phase:
			trial := entry.trial
			*entry = other
			entry.trial = trial
		}
	}
}

func (t *Table) add(entry Entry) {
	if len(t.Entries) >= MaxEntries {
		t.dropOldestSuspect()
	}
	at, _ := slices.BinarySearchFunc(t.Entries, entry.Fingerprint, compareEntry)
	t.Entries = slices.Insert(t.Entries, at, entry)
}

func (t *Table) dropOldestSuspect() {
	oldest := 0
	for i, entry := range t.Entries {
		if cmp.Or(cmp.Compare(entry.Phase, t.Entries[oldest].Phase), entry.Since.Compare(t.Entries[oldest].Since)) < 0 {
			oldest = i
		}
	}
	t.Entries = slices.Delete(t.Entries, oldest, oldest+1)
}

// RemoveExpired forgets what has expired.
func (t *Table) RemoveExpired(now time.Time) {
	t.Entries = slices.DeleteFunc(t.Entries, func(e Entry) bool { return !now.Before(e.Until) })
}
