package roster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Record describes one start of a backend server in messages between VMs.
type Record struct {
	ID       string
	Service  string
	Address  string // host:port
	Domain   string // its failure domain
	Slots    int
	Start    int64         // milliseconds since 1970
	Sequence uint64        // rises with each announcement of this start
	Cold     time.Duration // time left until it is warm, as of the sending of the record
	Leaving  bool
	Silent   bool // it stopped announcing itself
	Gone     bool // it ended; permanent for this start

	Health string // path of its health checks, without a host; empty if unknown

	Limit        routing.Limit // that it names in its answers
	LimitVersion uint64        // rises with each change of Limit since the start; 0 if none was ever named

	ColdVersion uint64 // rises each time that this start is known to have turned cold again
}

// Entry is a record with the local state of this VM about it.
type Entry struct {
	Record
	ColdUntil   time.Time // from then on it is warm
	Word        Word      // of ColdUntil
	hash        uint64    // of the fields that VMs compare
	announcedAt time.Time // last announcement that reached this VM itself; zero for none; set to now by Restore and ResetTimeouts
	goneAt      time.Time // when this VM learned that it ended; zero otherwise
	limitedAt   time.Time // last change of Limit that this VM heard from the server itself
	restored    bool      // from the data folder, and not heard of since this VM started
}

// Restored reports whether all that this VM knows of the server was saved before it
// started; the server may have started again meanwhile.
func (e *Entry) Restored() bool { return e.restored }

// Timings and limits of the roster.
const (
	SilentAfter     = 6 * time.Second  // four missing announcements at the usual interval of 1.5 s
	forgetGoneAfter = 10 * time.Minute // longer than any message takes to arrive
	syncInterval    = 200 * time.Millisecond
	MaxServers      = 8192 // records, with those of gone servers
	MaxBatch        = 256  // records in one message
)

// State is the roster held by one VM.
type State struct {
	Entries []*Entry // by id
	Changed bool     // an entry changed since the caller last cleared it

	sender  string    // of the records that are merged; empty if unknown
	updates []Record  // to send to other VMs
	syncDue time.Time // when DifferingDomains may next return domains
	digests []Digest  // cached; nil after a record changed

	healthDue time.Time // when the path of health checks of a start may next change
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
	return r.Sequence > held.Sequence || r.Sequence == held.Sequence && severity(r) > severity(held)
}

// severity orders records of the same sequence: one of a server that ended
// replaces one of a silent server, which replaces one of a leaving server, and all
// replace the announcement. A mark of the record replaced is kept by store.
func severity(r Record) int {
	switch {
	case r.Gone:
		return 3
	case r.Silent:
		return 2
	case r.Leaving:
		return 1
	default:
		return 0
	}
}

// Announce stores an announcement that reached this VM itself. It returns false
// if it is not newer than the record held, if a later start uses the address or
// if the roster is full.
func (s *State) Announce(r Record, now time.Time) bool {
	held := s.Find(r.ID)
	if held != nil && !newer(r, held.Record) {
		return false
	}
	r.Health = s.paceHealth(held, r, now)
	if held != nil && held.Start == r.Start {
		r.ColdVersion = held.ColdVersion
		if held.turnsCold(r.Cold, now) {
			r.ColdVersion++
		}
	}
	if !s.store(r, now) {
		return false
	}
	e := s.Find(r.ID)
	e.announcedAt, e.Word = now, Word{Source: FromServer, At: now}
	return true
}

// MarkLeaving marks one start of a server as leaving, as the server itself says; until
// another start of it, no announcement takes that back.
func (s *State) MarkLeaving(id string, start int64, now time.Time) {
	held := s.Find(id)
	if held == nil || held.Start != start || held.Leaving || held.Gone {
		return
	}
	r := held.outgoing(now)
	r.Leaving = true
	s.amend(held, r, now)
}

// amend changes the record of an entry, as of now, by something else than an announcement.
func (s *State) amend(held *Entry, r Record, now time.Time) {
	announcedAt, word := held.announcedAt, held.Word
	s.store(r, now)
	held.announcedAt, held.Word = announcedAt, word
}

// End marks a server as gone.
func (s *State) End(id string, now time.Time) {
	held := s.Find(id)
	if held == nil || held.Gone {
		return
	}
	r := held.outgoing(now)
	r.Gone, r.Leaving = true, true
	s.store(r, now)
}

// Merge stores the newer ones among the records of another VM. For a server that
// the other VM marked silent, but that announced itself here later, it queues an
// update with the record held here.
func (s *State) Merge(records []Record, now time.Time) { s.MergeFrom("", records, now) }

// MergeFrom is Merge for records that the named VM sent.
func (s *State) MergeFrom(vm string, records []Record, now time.Time) {
	s.sender = vm
	defer func() { s.sender = "" }()
	for _, r := range records {
		held := s.Find(r.ID)
		if held == nil || newer(r, held.Record) {
			s.store(r, now)
			continue
		}
		if r.Leaving {
			s.MarkLeaving(r.ID, r.Start, now)
		}
		s.mergeLimit(held, r, now)
		s.mergeCold(held, r, now)
		if r.Start == held.Start && held.Health == "" {
			held.Health = s.learnHealth(r, held.Record)
		}
		refuted := r.Silent && !held.Silent && held.Sequence > r.Sequence
		if refuted && !held.announcedAt.IsZero() {
			s.updates = append(s.updates, held.outgoing(now))
		}
	}
}

// store replaces or adds a record. It queues an update when the record differs
// in more than sequence and cold time, or when a warm server became cold. It
// returns false if a later start uses the address or the roster is full.
func (s *State) store(r Record, now time.Time) bool {
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
	// The server announces itself to the sender of a later sequence, so this VM
	// no longer checks its silence, until the server announces itself here
	// again.
	e.announcedAt = time.Time{}
	r.Health = s.learnHealth(r, before)
	coldUntil := now.Add(r.Cold)
	if before.Start != r.Start {
		e.ColdUntil = time.Time{}
	} else if found {
		if r.ColdVersion < before.ColdVersion {
			// The sender, perhaps of an earlier build, missed that the server turned cold again.
			r.ColdVersion = before.ColdVersion
			coldUntil = later(coldUntil, coldBefore)
		}
		r.Leaving = r.Leaving || before.Leaving
		if !newerLimit(r, before) {
			r.Limit, r.LimitVersion = before.Limit, before.LimitVersion
		}
	}
	e.Record, e.restored, e.Word = r, false, Word{FromVM, now, s.sender}
	e.hash = e.contentHash()
	if r.Cold > 0 {
		e.ColdUntil = coldUntil
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
		s.updates = append(s.updates, e.outgoing(now))
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// differs reports whether two records differ in more than sequence and cold
// time.
func differs(a, b Record) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Cold, b.Cold = 0, 0
	return a != b
}

// addressTaken reports whether a later start uses the address of the record. It
// marks earlier starts at the address as gone.
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

// AnnouncedHere reports whether the server announces itself to this VM.
func (e *Entry) AnnouncedHere() bool { return !e.announcedAt.IsZero() }

// outgoing returns the record to send now, with the cold time that is left.
func (e *Entry) outgoing(now time.Time) Record {
	r := e.Record
	r.Cold = max(0, e.ColdUntil.Sub(now))
	return r
}

// TakeUpdates returns the records to send to other VMs at once, and clears them.
func (s *State) TakeUpdates() []Record {
	updates := s.updates
	s.updates = nil
	return updates
}

// Tick marks servers silent that stopped announcing themselves here, and forgets
// those that ended long ago.
func (s *State) Tick(now time.Time) {
	for _, e := range s.Entries {
		if e.Silent || e.Gone || e.announcedAt.IsZero() || now.Sub(e.announcedAt) < SilentAfter {
			continue
		}
		r, word := e.outgoing(now), e.Word
		r.Silent = true
		s.store(r, now)
		e.Word = word
	}
	s.Entries = slices.DeleteFunc(s.Entries, func(e *Entry) bool {
		return e.Gone && !e.goneAt.IsZero() && now.Sub(e.goneAt) > forgetGoneAfter
	})
}

// ResetTimeouts restarts the silence timeouts after this VM was stalled: it
// could not receive announcements meanwhile.
func (s *State) ResetTimeouts(now time.Time) {
	for _, e := range s.Entries {
		if !e.announcedAt.IsZero() {
			e.announcedAt = now
		}
	}
}

// Digest is a hash of the records of a failure domain, without gone servers.
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

// Matches reports whether the records of a failure domain are those that a digest was
// made from.
func (s *State) Matches(digest Digest) bool {
	return slices.Contains(s.Digests(), digest)
}

// contentHash returns a hash of the fields that VMs compare.
func (e *Entry) contentHash() uint64 {
	hash := xxhash.Sum64String(fmt.Sprint(e.ID, e.Service, e.Address, e.Slots, e.Start, e.Leaving, e.Silent))
	if e.LimitVersion > 0 {
		hash ^= xxhash.Sum64String(fmt.Sprint(e.ID, e.Limit, e.LimitVersion))
	}
	if e.ColdVersion > 0 {
		hash ^= xxhash.Sum64String(fmt.Sprint("cold", e.ID, e.ColdVersion))
	}
	return hash
}

// DifferingDomains returns the failure domains in which another VM's digests
// differ, sorted by name. After it returned any, it returns none for
// syncInterval.
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

// PresumeCold makes the servers of a failure domain count as cold from now on for the time of their
// service, except those that are cold for longer.
func (s *State) PresumeCold(domain string, timeOf func(service string) time.Duration, now time.Time) {
	for _, e := range s.Entries {
		until := now.Add(timeOf(e.Service))
		if e.Domain == domain && e.ColdUntil.Before(until) {
			e.ColdUntil, e.Word = until, Word{Source: FromOrder, At: now}
			s.Changed = true
		}
	}
}

// Live returns the records of servers that are not gone.
func (s *State) Live(now time.Time) []Record {
	var records []Record
	for _, e := range s.Entries {
		if !e.Gone {
			records = append(records, e.outgoing(now))
		}
	}
	return records
}

// Restore stores records saved before this VM started. Those of domain, its own
// failure domain, count as announced now, so that servers that ended meanwhile
// become silent.
func (s *State) Restore(records []Record, domain string, now time.Time) {
	for _, r := range records {
		if !s.store(r, now) {
			continue
		}
		e := s.Find(r.ID)
		e.restored, e.Word.Source = true, FromDisk
		if r.Domain == domain {
			e.announcedAt = now
		}
	}
	s.updates = nil
}

// IndexEntry identifies the state of one record by hashes.
type IndexEntry struct {
	Name uint64 // hash of the server's id
	Hash uint64 // of the fields that VMs compare, with Gone
}

func (e *Entry) indexEntry() IndexEntry {
	const goneMask = 0x9e3779b97f4a7c15
	entry := IndexEntry{Name: xxhash.Sum64String(e.ID), Hash: e.hash}
	if e.Gone {
		entry.Hash ^= goneMask
	}
	return entry
}

// Index returns an entry for each record of a failure domain, gone servers
// included.
func (s *State) Index(domain string) []IndexEntry {
	var index []IndexEntry
	for _, e := range s.Entries {
		if e.Domain == domain {
			index = append(index, e.indexEntry())
		}
	}
	return index
}

// Diff returns the records of a failure domain that are missing in the index of
// another VM or differ from it. Gone servers that are missing there are left
// out.
func (s *State) Diff(domain string, index []IndexEntry, now time.Time) []Record {
	theirs := make(map[uint64]uint64, len(index))
	for _, entry := range index {
		theirs[entry.Name] = entry.Hash
	}
	var records []Record
	for _, e := range s.Entries {
		if e.Domain != domain {
			continue
		}
		own := e.indexEntry()
		if hash, found := theirs[own.Name]; !found && !e.Gone || found && hash != own.Hash {
			records = append(records, e.outgoing(now))
		}
	}
	return records
}
