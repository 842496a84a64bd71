package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// handleServerRecord handles the announcement of a server that reached this VM
// directly.
func (s *State) handleServerRecord(e ServerRecordAnnounced) {
	r := e.Record
	entry := s.roster.Find(r.ID)
	if e.Withdrawn {
		s.emit(Answer{Call: e.Call, Value: s.withdrawServer(r.ID)})
		return
	}
	answer := ServerRecordResult{}
	answer.Reason = s.checkRecord(r)
	if answer.Reason == "" {
		before := roster.Record{}
		if entry != nil {
			before = entry.Record
		}
		answer.Outdated = !s.roster.Announce(r, s.now)
		if !answer.Outdated && (before.Start != r.Start || before.Leaving != r.Leaving || before.Silent) {
			s.logServer("announced", r)
		}
	}
	answer.Closed = s.closedInLog(r.ID, r.Start)
	s.emit(Answer{Call: e.Call, Value: answer})
}

// withdrawServer ends a server, and returns the starts to be closed. A withdrawal names an id
// only: the server may have started again at VMs that can't be asked, which are cut off, paused or
// restarting, so all starts until now are closed. The start that is known here is closed by itself
// too: VMs of earlier builds take a closure to hold for the start that it names and no other.
//
// A VM that has just started, on an empty roster or one that it saved before, doesn't know the
// start for them; another VM does.
func (s *State) withdrawServer(id string) ServerRecordResult {
	if !serverIDPattern.MatchString(id) {
		return ServerRecordResult{Unknown: true}
	}
	entry := s.roster.Find(id)
	known := entry != nil && (s.rosterLearned || !entry.Restored())
	if !known && s.now.Sub(s.startedAt) < rosterLearnTime {
		s.emit(Decision{Code: CodeServerChanged, Outcome: "unknown", Fields: []Field{
			{"server", id},
			{"restored", entry != nil},
			{"since_start", s.now.Sub(s.startedAt)},
		}})
		return ServerRecordResult{Unknown: true}
	}
	record := roster.Record{ID: id}
	result := ServerRecordResult{Close: []int64{s.now.UnixMilli()}}
	if entry != nil {
		record = entry.Record
		result.Closed = s.closedInLog(id, entry.Start)
		if !result.Closed {
			result.Close = append(result.Close, entry.Start)
		}
	}
	s.logServer("ended", record)
	s.roster.End(id, s.now)
	return result
}

// announceToRoster enters an announcement for a service whose servers all
// entries know into the roster. The time of arrival replaces a missing
// sequence.
func (s *State) announceToRoster(a routing.Announcement) {
	if a.State == routing.StateStarting {
		return
	}
	r := roster.Record{
		ID:       a.ID,
		Service:  a.Service,
		Address:  a.Address,
		Domain:   s.Settings.Domain,
		Slots:    a.Slots,
		Start:    a.Start,
		Sequence: a.Sequence,
		Leaving:  a.State == routing.StateLeaving,
	}
	if r.Sequence == 0 {
		r.Sequence = uint64(s.now.UnixMilli())
	}
	entry := s.roster.Find(r.ID)
	if entry == nil || entry.Start != r.Start || entry.Silent {
		r.Cold = s.document.Services.ByName(a.Service).Cold.Std()
		s.logServer("announced", r)
	}
	s.roster.Announce(r, s.now)
}

func (s *State) logServer(outcome string, r roster.Record) {
	s.emit(Decision{Code: CodeServerChanged, Outcome: outcome, Fields: []Field{
		{"server", r.ID},
		{"service", r.Service},
		{"domain", r.Domain},
		{"address", r.Address},
		{"slots", int64(r.Slots)},
		{"start", r.Start},
		{"sequence", int64(r.Sequence)},
		{"leaving", r.Leaving},
		{"cold", r.Cold},
	}})
}

// maxStartAhead is how far the clock of a server may be ahead. A start later than that would
// keep its address, and replace what the server announces itself, for good.
const maxStartAhead = 5 * time.Minute

// checkRecord returns why no request may be sent by the record, or "".
func (s *State) checkRecord(r roster.Record) string {
	switch {
	case !serverIDPattern.MatchString(r.ID):
		return "the id must be 1 to 128 of letters, digits, \".\", \"_\" and \"-\""
	case r.Slots < 1 || r.Slots > routing.MaxSlots:
		return fmt.Sprintf("slots must be 1 to %d", routing.MaxSlots)
	case r.Start > s.now.Add(maxStartAhead).UnixMilli():
		return "the start lies in the future"
	case !validAddress(r.Address):
		return "address must be an IP number and a port"
	default:
		return ""
	}
}

// closedInLog reports whether the replicated log closes this start of the server to
// new requests, as far as it is applied here or in the document in force: a control
// VM outside the replica set receives the document only.
func (s *State) closedInLog(id string, start int64) bool {
	closure := document.Closure{Kind: document.CloseServer, Name: id, Start: start}
	if s.closedByDocument(closure) {
		return true
	}
	if s.ledger == nil {
		return false
	}
	closures := document.Closures{Closures: s.ledger.Closures}
	return closures.Has(closure)
}

func (s *State) tickRoster() {
	s.roster.Tick(s.now)
	s.sendServerUpdates()
	s.saveRoster()
	s.countEntries()
	if s.placingPoolsStale {
		s.placingPoolsStale = false
		s.updatePlacingPools()
	}
}

const rosterInterval = 2 * time.Second // between saves, each of which costs a sync

// saveRoster saves the roster and the peers of the failure domain when they
// changed, on VMs with a data folder. After a complete power loss, the VMs of a
// domain without a seed find each other by the saved peers.
func (s *State) saveRoster() {
	if !s.Settings.Control || s.now.Before(s.rosterSaveDue) {
		return
	}
	s.rosterSaveDue = s.now.Add(rosterInterval)
	hash := uint64(0)
	for _, digest := range s.roster.Digests() {
		hash += digest.Hash
	}
	hash ^= s.roster.HealthHash()
	var peers []string
	for _, vm := range s.members.Alive() {
		if vm.ID != s.Settings.VM {
			peers = append(peers, vm.Peer)
			hash += xxhash.Sum64String(vm.Peer)
		}
	}
	if hash == s.savedRosterHash {
		return
	}
	s.savedRosterHash = hash
	s.emit(SaveRoster{Records: s.roster.Live(s.now), Peers: peers})
}

// Times in which a VM that has just started learns how many entries share the rate of a cold
// server; it sends nothing to one until then.
const (
	entriesSettle = time.Second     // in which the number has not risen, once all failure domains were heard
	entriesWait   = 4 * time.Second // after its start, at most
)

// countEntries updates what the share of a cold server's rate depends on.
func (s *State) countEntries() {
	var domains []string
	if s.document != nil {
		for _, domain := range s.document.Places.Domains {
			domains = append(domains, domain.Name)
		}
	}
	live := s.countLiveEntries()
	entries, before := s.members.CountEntries(domains, s.now)
	if entries > s.entryCount {
		s.entriesRoseAt = s.now
	}
	known := s.entriesKnown || s.now.Sub(s.startedAt) >= entriesWait ||
		s.document != nil && s.members.HeardEntries(domains) && s.now.Sub(s.entriesRoseAt) >= entriesSettle
	if live != s.liveEntries || entries != s.entryCount || before != s.entryIndex || known != s.entriesKnown {
		s.liveEntries, s.entryCount, s.entryIndex, s.entriesKnown = live, entries, before, known
		s.placingPoolsStale = true
	}
}

// countLiveEntries counts the VMs that send requests to servers as far as they are heard. The
// summary of a large domain names only some of its VMs; the others count as entries.
func (s *State) countLiveEntries() int {
	all := 0
	for _, domain := range s.members.Domains(s.now) {
		if domain.Name == s.Settings.Domain {
			for _, vm := range s.members.Alive() {
				if vm.Entry != "" {
					all++
				}
			}
			continue
		}
		all += max(0, domain.VMs-len(domain.Entries))
		for _, entry := range domain.Entries {
			if entry.Entry != "" {
				all++
			}
		}
	}
	return max(1, all)
}

// sendServerUpdates sends the records that changed since the last tick: to all
// failure domains those that changed on this VM, by an announcement, the end or
// the silence of a server, and to its own domain those that it relays.
func (s *State) sendServerUpdates() {
	s.recordsForAll = append(s.recordsForAll, s.roster.TakeUpdates()...)
	for batch := range slices.Chunk(s.recordsForAll, roster.MaxBatch) {
		s.sendToDomain(Message{Servers: &ServerUpdate{From: s.Settings.VM, Records: batch}})
		s.sendToRelays(Message{Servers: &ServerUpdate{From: s.Settings.VM, Records: batch, Relay: true}})
	}
	for batch := range slices.Chunk(s.recordsForDomain, roster.MaxBatch) {
		s.sendToDomain(Message{Servers: &ServerUpdate{From: s.Settings.VM, Records: batch}})
	}
	s.recordsForAll, s.recordsForDomain = nil, nil
	s.markRosterChange()
}

// markRosterChange schedules the update of the pools for the next tick, because
// changes come in bursts.
func (s *State) markRosterChange() {
	if s.roster.Changed {
		s.roster.Changed = false
		s.placingPoolsStale = true
	}
}

// receiveServers merges records from another VM. A relay forwards those that
// are new here within its failure domain. Where this VM has a newer record
// because the server announces itself here, it sends that record to all failure
// domains.
func (s *State) receiveServers(update ServerUpdate) {
	s.recordsForAll = append(s.recordsForAll, s.roster.TakeUpdates()...)
	s.dropCovered(update.Records)
	s.roster.MergeFrom(update.From, update.Records, s.now)
	for _, r := range s.roster.TakeUpdates() {
		switch entry := s.roster.Find(r.ID); {
		case entry != nil && entry.AnnouncedHere():
			s.recordsForAll = append(s.recordsForAll, r)
		case update.Relay:
			s.recordsForDomain = append(s.recordsForDomain, r)
		}
	}
	s.markRosterChange()
}

// dropCovered drops what another VM has told since the last tick: all VMs that ask a server at
// about the same time learn that it turned cold.
func (s *State) dropCovered(told []roster.Record) {
	s.recordsForAll = slices.DeleteFunc(s.recordsForAll, func(own roster.Record) bool {
		return own.ColdVersion > 0 && slices.ContainsFunc(told, func(r roster.Record) bool { return r.ID == own.ID && r.Covers(own) })
	})
}

// rosterLearnTime is the time after its start in which a VM compares its roster
// with others for all failure domains at once, to learn all servers.
const rosterLearnTime = 5 * time.Second

// compareRoster exchanges indexes with a VM whose digests differ. While changes
// are in transit all VMs differ a little, so only a VM that has just started
// compares more than one failure domain at a time.
func (s *State) compareRoster(m Message) {
	if m.Gossip.From.Control {
		s.learnRoster(m.Roster)
	}
	differing := s.roster.DifferingDomains(m.Roster, s.now)
	if len(differing) > 1 && s.now.Sub(s.startedAt) > rosterLearnTime {
		s.rosterTurn++
		i := s.rosterTurn % len(differing)
		differing = differing[i : i+1]
	}
	for _, domain := range differing {
		if s.now.Sub(s.rosterAskedAt[domain]) < rosterAskInterval {
			continue
		}
		s.rosterAskedAt[domain] = s.now
		s.sendIndex(m.Gossip.From.Peer, domain, true)
	}
}

// rosterAskInterval is the shortest time between two indexes sent for one failure domain.
// The records of 1,500 servers take most of a second on a link of 2 Mbit/s; a VM that
// asks every sender of gossip for them until the first answer is in fills its link with
// copies.
const rosterAskInterval = time.Second

// rosterWait is how long after its start a VM holds back its readiness until it knows
// the servers. With a part of them it would choose other servers for an object than the
// other entries do, where the object is cold, and drop what is warm there.
const rosterWait = 2 * time.Second

// learnRoster notes the failure domains of which this VM has known the same servers as a
// control VM, which keeps them over restarts. One match is enough for each domain: later
// changes arrive as updates.
func (s *State) learnRoster(digests []roster.Digest) {
	if s.rosterLearned {
		return
	}
	learned := true
	for _, digest := range digests {
		if s.roster.Matches(digest) {
			s.learnedDomains[digest.Domain] = true
		}
		learned = learned && s.learnedDomains[digest.Domain]
	}
	if learned {
		s.rosterLearned, s.learnedDomains = true, nil
		s.publish()
	}
}

// knowsServers reports whether this VM has learned the servers, or has waited long
// enough for them. A control VM has them in its data folder.
func (s *State) knowsServers() bool {
	return s.rosterLearned || s.Settings.Control || s.now.Sub(s.startedAt) >= rosterWait || !s.document.Services.PlacedByEntries()
}

func (s *State) sendIndex(peer, domain string, answer bool) {
	s.transmit(peer, Message{Index: &ServerIndex{
		Peer:   s.Settings.Peer,
		Domain: domain,
		Known:  s.roster.Index(domain),
		Answer: answer,
	}})
}

// receiveIndex sends the other VM the records that are missing in its index or
// differ from it.
func (s *State) receiveIndex(index ServerIndex) {
	differing := s.roster.Diff(index.Domain, index.Known, s.now)
	for batch := range slices.Chunk(differing, roster.MaxBatch) {
		s.transmit(index.Peer, Message{Servers: &ServerUpdate{From: s.Settings.VM, Records: batch}})
	}
	if index.Answer {
		s.sendIndex(index.Peer, index.Domain, false)
	}
}
