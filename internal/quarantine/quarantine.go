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
	Quarantined       // a second server died, while it ran as a trial
)

// Entry is what is known of the requests with one fingerprint.
type Entry struct {
	Fingerprint uint64
	Phase       Phase
	Deaths      int       // of servers, as RecordDeath counts them
	Since       time.Time // of the first death
	Until       time.Time // the entry expires
	Lifted      bool      // an operator allowed the requests again
	trialTicket uint64    // grant of the one run allowed while suspected; 0 for none
}

// Lifetimes of entries, and the bounds of the table.
const (
	suspicionTTL     = 5 * time.Minute
	quarantineTTL    = time.Hour
	MaxEntries       = 1024
	quarantineDeaths = 2 // deaths from which on a fingerprint is quarantined
)

// Table holds the entries of suspected and quarantined fingerprints, sorted by
// fingerprint. A request that crashes every server that runs it never completes,
// so one that completed lately is not suspected when a server dies while running
// it.
type Table struct {
	Entries []Entry

	recentHarmless, olderHarmless map[uint64]struct{} // fingerprints of completed requests, in two generations
}

const maxHarmlessPerGeneration = 4096 // fingerprints

func (t *Table) knownHarmless(fingerprint uint64) bool {
	if _, found := t.recentHarmless[fingerprint]; found {
		return true
	}
	_, found := t.olderHarmless[fingerprint]
	return found
}

func (t *Table) markHarmless(fingerprint uint64) {
	if _, found := t.recentHarmless[fingerprint]; found {
		return
	}
	if t.recentHarmless == nil || len(t.recentHarmless) >= maxHarmlessPerGeneration {
		t.olderHarmless, t.recentHarmless = t.recentHarmless, make(map[uint64]struct{}, maxHarmlessPerGeneration)
	}
	t.recentHarmless[fingerprint] = struct{}{}
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
	Trial           // allowed, but no other request with the fingerprint meanwhile
	Wait            // a trial is running
	Barred          // quarantined
)

// Check returns whether a request may get a server.
func (t *Table) Check(fingerprint uint64, now time.Time) Verdict {
	entry := t.find(fingerprint)
	switch {
	case entry == nil || entry.Lifted || !now.Before(entry.Until):
		return Allowed
	case entry.Phase == Quarantined:
		return Barred
	case entry.trialTicket != 0:
		return Wait
	default:
		return Trial
	}
}

// BeginTrial records the grant of a suspected request's trial.
func (t *Table) BeginTrial(fingerprint, ticket uint64) {
	if entry := t.find(fingerprint); entry != nil {
		entry.trialTicket = ticket
	}
}

// RecordDeath records that a server died while the request ran, and returns the
// new phase. Only the death of a trial, which began after the suspicion, counts as
// the second one. A page that many servers run when a whole failure domain fails is
// therefore not quarantined.
func (t *Table) RecordDeath(fingerprint, ticket uint64, now time.Time) Phase {
	entry := t.find(fingerprint)
	if entry == nil && t.knownHarmless(fingerprint) {
		return Clear
	}
	if entry == nil {
		t.add(Entry{
			Fingerprint: fingerprint,
			Phase:       Suspected,
			Deaths:      1,
			Since:       now,
			Until:       now.Add(suspicionTTL),
		})
		return Suspected
	}
	if entry.trialTicket != ticket || entry.Phase == Quarantined {
		return entry.Phase
	}
	entry.trialTicket = 0
	entry.Deaths++
	if entry.Deaths >= quarantineDeaths {
		entry.Phase = Quarantined
		entry.Lifted = false
		entry.Until = now.Add(quarantineTTL)
	}
	return entry.Phase
}

// RecordSurvival records that the request completed and its server lives: it is
// remembered as harmless, and a suspicion ends.
func (t *Table) RecordSurvival(fingerprint uint64) {
	t.markHarmless(fingerprint)
	if len(t.Entries) == 0 {
		return
	}
	at, found := slices.BinarySearchFunc(t.Entries, fingerprint, compareEntry)
	if found && t.Entries[at].Phase == Suspected {
		t.Entries = slices.Delete(t.Entries, at, at+1)
	}
}

// EndTrial allows another trial after one without a result.
func (t *Table) EndTrial(fingerprint, ticket uint64) {
	if entry := t.find(fingerprint); entry != nil && entry.trialTicket == ticket {
		entry.trialTicket = 0
	}
}

// Lift allows a fingerprint again at an operator's request; it returns false when
// the table has no entry for it.
func (t *Table) Lift(fingerprint uint64) bool {
	entry := t.find(fingerprint)
	if entry == nil {
		return false
	}
	entry.Lifted = true
	return true
}

// Merge takes over the entries of another VM that are lifted, new here or in a
// later phase. It ignores expired ones, and suspicions of requests that completed
// here.
func (t *Table) Merge(entries []Entry, now time.Time) {
	for _, other := range entries {
		if !now.Before(other.Until) {
			continue
		}
		entry := t.find(other.Fingerprint)
		switch {
		case entry == nil && other.Phase == Suspected && t.knownHarmless(other.Fingerprint):
		case entry == nil:
			t.add(other)
		case other.Lifted:
			entry.Lifted = true
		case other.Phase > entry.Phase:
			trialTicket := entry.trialTicket
			*entry = other
			entry.trialTicket = trialTicket
		}
	}
}

func (t *Table) add(entry Entry) {
	if len(t.Entries) >= MaxEntries {
		t.evictOldest()
	}
	at, _ := slices.BinarySearchFunc(t.Entries, entry.Fingerprint, compareEntry)
	t.Entries = slices.Insert(t.Entries, at, entry)
}

// evictOldest removes the oldest suspected entry, or the oldest quarantined one if
// none is only suspected.
func (t *Table) evictOldest() {
	oldest := 0
	for i, entry := range t.Entries {
		if cmp.Or(cmp.Compare(entry.Phase, t.Entries[oldest].Phase), entry.Since.Compare(t.Entries[oldest].Since)) < 0 {
			oldest = i
		}
	}
	t.Entries = slices.Delete(t.Entries, oldest, oldest+1)
}

// RemoveExpired removes the entries that have expired.
func (t *Table) RemoveExpired(now time.Time) {
	t.Entries = slices.DeleteFunc(t.Entries, func(e Entry) bool { return !now.Before(e.Until) })
}
