package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is what VMs tell each other of one start of a backend server.
type Record struct {
	ID       string
	Service  string
	Address  string // host:port
	Domain   string // its failure domain
	Slots    int
	Start    int64         // milliseconds since 1970
	Sequence uint64        // rises with each announcement of this start
	Cold     time.Duration // left until it is warm, when the record was sent
	Leaving  bool
	Silent   bool // it stopped announcing itself
	Gone     bool // it ended; for good for this start
}

// Entry is a record with what this VM adds to it.
type Entry struct {
	Record
	ColdUntil time.Time
	hash      uint64    // of what VMs compare
	direct    time.Time // last announcement that reached this VM itself; zero for none
	goneAt    time.Time
}

// Timings and bounds of the roster.
const (
	SilentAfter  = 6 * time.Second  // four announcements of the usual 1.5 s that are missing
	keepGone     = 10 * time.Minute // longer than any message is under way
	syncInterval = 200 * time.Millisecond
	MaxServers   = 8192
	MaxBatch     = 256 // records in one message
)

// State is the roster of one VM.
type State struct {
	Entries []*Entry // by id
	Changed bool     // an entry changed since the caller last cleared it

	news    []Record
	syncDue time.Time
	digests []Digest // nil once a record changed
}

func compareEntry(e *Entry, id string) int { return strings.Compare(e.ID, id) }

// Find returns the entry with the id, or nil.
func (s *State) Find(id string) *Entry {
	at, found := slices.BinarySearchFunc(s.Entries, id, compareEntry)
	if !found {
		return nil
	}
	return s.Entries[at]
}

// newer reports whether the record replaces the one held.
func newer(r, held Record) bool {
	if r.Start != held.Start {
		return r.Start > held.Start
	}
	if held.Gone {
		return false
	}
	return r.Sequence > held.Sequence || r.Sequence == held.Sequence && worse(r) > worse(held)
}

// worse orders records of one sequence: the end of a server goes before its
// silence, and both before the announcement.
func worse(r Record) int {
	switch {
	case r.Gone:
		return 2
	case r.Silent:
		return 1
	default:
		return 0
	}
}

// Announce takes an announcement that reached this VM itself. It returns false
// when a later one is held or a later start uses the address.
func (s *State) Announce(r Record, now time.Time) bool {
	held := s.Find(r.ID)
	if held != nil && !newer(r, held.Record) {
		return false
	}
	if !s.take(r, now) {
		return false
	}
	s.Find(r.ID).direct = now
	return true
}

// End notes that a server said it is gone.
func (s *State) End(id string, now time.Time) {
	held := s.Find(id)
	if held == nil || held.Gone {
		return
	}
	r := held.Record
	r.Gone, r.Leaving = true, true
	s.take(r, now)
}

// Merge takes records of another VM and returns those that this VM knows better.
func (s *State) Merge(records []Record, now time.Time) {
	for _, r := range records {
		held := s.Find(r.ID)
		if held == nil || newer(r, held.Record) {
			s.take(r, now)
			continue
		}
		refuted := r.Silent && !held.Silent && held.Sequence > r.Sequence
		if refuted && !held.direct.IsZero() {
			s.news = append(s.news, held.sent(now))
		}
	}
}

// take replaces or adds a record, and queues it as news when it differs in more
// than its sequence.
func (s *State) take(r Record, now time.Time) bool {
	if s.addressTaken(r, now) {
		return false
	}
	at, found := slices.BinarySearchFunc(s.Entries, r.ID, compareEntry)
	if !found {
		if len(s.Entries) >= MaxServers {
			return false
		}
		s.Entries = slices.Insert(s.Entries, at, &Entry{})
	}
	s.digests = nil
	e := s.Entries[at]
	before := e.Record
	coldBefore := e.ColdUntil
	// Who told of a later sequence hears the server; this VM judges its silence no
	// longer, until the server announces itself here again.
	e.direct = time.Time{}
	if before.Start != r.Start {
		e.ColdUntil = time.Time{}
	}
	e.Record = r
	e.hash = e.digest()
	if r.Cold > 0 {
		e.ColdUntil = now.Add(r.Cold)
	}
	if r.Gone && e.goneAt.IsZero() {
		e.goneAt = now
	}
	if !r.Gone {
		e.goneAt = time.Time{}
	}
	turnedCold := r.Cold > 0 && !now.Before(coldBefore)
	if !found || differs(before, r) || turnedCold {
		s.Changed = true
		s.news = append(s.news, e.sent(now))
	}
	return true
}

func differs(a, b Record) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Cold, b.Cold = 0, 0
	return a != b
}

// addressTaken reports whether a later start uses the address; an earlier one
// there has ended.
func (s *State) addressTaken(r Record, now time.Time) bool {
	for _, e := range s.Entries {
		if e.Address != r.Address || e.ID == r.ID || e.Gone {
			continue
		}
		if e.Start > r.Start {
			return true
		}
		if !r.Gone {
			e.Gone, e.goneAt = true, now
			s.digests = nil
			s.Changed = true
		}
	}
	return false
}

// AnnouncedHere reports whether announcements reach this VM itself.
func (e *Entry) AnnouncedHere() bool { return !e.direct.IsZero() }

// sent is the record as it leaves this VM now.
func (e *Entry) sent(now time.Time) Record {
	r := e.Record
	r.Cold = max(0, e.ColdUntil.Sub(now))
	return r
}

// TakeUpdates returns what other VMs must hear at once.
func (s *State) TakeUpdates() []Record {
	news := s.news
	s.news = nil
	return news
}

// Tick finds servers that stopped announcing themselves here, and forgets those
// that ended long ago.
func (s *State) Tick(now time.Time) {
	for _, e := range s.Entries {
		if e.Silent || e.Gone || e.direct.IsZero() || now.Sub(e.direct) < SilentAfter {
			continue
		}
		r := e.Record
		r.Silent = true
		s.take(r, now)
	}
	s.Entries = slices.DeleteFunc(s.Entries, func(e *Entry) bool {
		return e.Gone && !e.goneAt.IsZero() && now.Sub(e.goneAt) > keepGone
	})
}

// ResetTimeouts tells that this VM stood still: silence meanwhile proves nothing.
func (s *State) ResetTimeouts(now time.Time) {
	for _, e := range s.Entries {
		if !e.direct.IsZero() {
			e.direct = now
		}
	}
}

// Digest identifies the records of a failure domain.
type Digest struct {
	Domain string
	Hash   uint64
}

// Digests returns one digest for each failure domain with servers, by name.
func (s *State) Digests() []Digest {
	if s.digests != nil {
		return s.digests
	}
	sums := make(map[string]uint64)
	for _, e := range s.Entries {
		if !e.Gone {
			sums[e.Domain] += e.hash
		}
	}
	digests := make([]Digest, 0, len(sums))
	for domain, sum := range sums {
		digests = append(digests, Digest{Domain: domain, Hash: sum})
	}
	slices.SortFunc(digests, func(a, b Digest) int { return cmp.Compare(a.Domain, b.Domain) })
	s.digests = digests
	return digests
}

func (e *Entry) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprint(e.ID, e.Service, e.Address, e.Slots, e.Start, e.Leaving, e.Silent))
}

// DifferingDomains returns the failure domains in which another VM's digests differ, at
// most once per interval.
func (s *State) DifferingDomains(digests []Digest, now time.Time) []string {
	if now.Before(s.syncDue) {
		return nil
	}
	own := make(map[string]uint64)
	for _, d := range s.Digests() {
		own[d.Domain] = d.Hash
	}
	var differing []string
	for _, d := range digests {
		if own[d.Domain] != d.Hash {
			differing = append(differing, d.Domain)
		}
		delete(own, d.Domain)
	}
	for domain := range own {
		differing = append(differing, domain)
	}
	if len(differing) > 0 {
		s.syncDue = now.Add(syncInterval)
	}
	slices.Sort(differing)
	return differing
}

// PresumeCold makes the servers of a failure domain count as cold until then, as
// far as they did not say otherwise.
func (s *State) PresumeCold(domain string, until time.Time) {
	for _, e := range s.Entries {
		if e.Domain == domain && e.ColdUntil.Before(until) {
			e.ColdUntil = until
			s.Changed = true
		}
	}
}

// Live returns the records of servers that did not end.
func (s *State) Live(now time.Time) []Record {
	var records []Record
	for _, e := range s.Entries {
		if !e.Gone {
			records = append(records, e.sent(now))
		}
	}
	return records
}

// Restore takes records kept from before a start. Those of the own failure domain
// count as announced now, so that servers that ended meanwhile go silent.
func (s *State) Restore(records []Record, domain string, now time.Time) {
	for _, r := range records {
		if s.take(r, now) && r.Domain == domain {
			s.Find(r.ID).direct = now
		}
	}
	s.news = nil
}

// IndexEntry identifies one record without naming what it holds.
type IndexEntry struct {
	Name uint64 // hash of the server's id
	Hash uint64 // of what VMs compare, the end of the server included
}

func (e *Entry) known() IndexEntry {
	const ended = 0x9e3779b97f4a7c15
	k := IndexEntry{Name: xxhash.Sum64String(e.ID), Hash: e.hash}
	if e.Gone {
		k.Hash ^= ended
	}
	return k
}

// Index lists what is held of a failure domain, ends included.
func (s *State) Index(domain string) []IndexEntry {
	var index []IndexEntry
	for _, e := range s.Entries {
		if e.Domain == domain {
			index = append(index, e.known())
		}
	}
	return index
}

// Diff returns the records of a failure domain that a VM with the index lacks or
// holds otherwise.
func (s *State) Diff(domain string, index []IndexEntry, now time.Time) []Record {
	held := make(map[uint64]uint64, len(index))
	for _, k := range index {
		held[k.Name] = k.Hash
	}
	var records []Record
	for _, e := range s.Entries {
		if e.Domain != domain {
			continue
		}
		own := e.known()
		if hash, found := held[own.Name]; !found && !e.Gone || found && hash != own.Hash {
			records = append(records, e.sent(now))
		}
	}
	return records
}
