package reducer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// serverSeen takes the announcement of a server that reached this VM.
func (s *State) serverSeen(e ServerRecordAnnounced) {
	r := e.Record
	held := s.roster.Find(r.ID)
	if e.Withdrawn {
		answer := ServerRecordResult{Known: held != nil}
		if held != nil {
			answer.Start = held.Start
			answer.Closed = s.closedInLog(r.ID, held.Start)
			s.noteServer("ended", held.Record)
			s.roster.End(r.ID, s.now)
		}
		s.emit(Answer{Call: e.Call, Value: answer})
		return
	}
	answer := ServerRecordResult{Known: true, Start: r.Start}
	answer.Reason = checkServer(r)
	if answer.Reason == "" {
		before := roster.Record{}
		if held != nil {
			before = held.Record
		}
		answer.Outdated = !s.roster.Announce(r, s.now)
		if !answer.Outdated && (before.Start != r.Start || before.Leaving != r.Leaving || before.Silent) {
			s.noteServer("announced", r)
		}
	}
	answer.Closed = s.closedInLog(r.ID, r.Start)
	s.emit(Answer{Call: e.Call, Value: answer})
}

// announcedToAll takes an announcement for a service whose servers all entries know.
// One without a sequence counts by the time at which it came.
func (s *State) announcedToAll(a routing.Announcement, gone bool) {
	if gone {
		s.roster.End(a.ID, s.now)
		return
	}
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
	held := s.roster.Find(r.ID)
	if held == nil || held.Start != r.Start || held.Silent {
		r.Cold = s.document.Services.ByName(a.Service).Cold.Std()
		s.noteServer("announced", r)
	}
	s.roster.Announce(r, s.now)
}

func (s *State) noteServer(outcome string, r roster.Record) {
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

func checkServer(r roster.Record) string {
	switch {
	case !serverIDPattern.MatchString(r.ID):
		return "the id must be 1 to 128 of letters, digits, \".\", \"_\" and \"-\""
	case r.Slots < 1:
		return "slots must be 1 or more"
	case !validAddress(r.Address):
		return "address must be an IP number and a port"
	default:
		return ""
	}
}

// closedInLog reports whether the replicated log, as far as it is applied here,
// closes this start of the server.
func (s *State) closedInLog(id string, start int64) bool {
	if s.ledger == nil {
		return false
	}
	closures := document.Closures{Closures: s.ledger.Closures}
	return closures.Has(document.Closure{Kind: document.CloseServer, Name: id, Start: start})
}

func (s *State) tickRoster() {
	s.roster.Tick(s.now)
	s.tellServers()
	s.saveRoster()
	if entries, before := s.countEntries(); entries != s.entries || before != s.entriesBefore {
		s.entries, s.entriesBefore = entries, before
		s.placesStale = true
	}
	if s.placesStale {
		s.placesStale = false
		s.updatePlaces()
	}
}

const rosterInterval = 2 * time.Second // between saves, which cost a sync each

// saveRoster keeps what changed in the roster and in the failure domain, on VMs with a
// data folder. After a loss of all power, the VMs of a domain that has no seed find each
// other by that.
func (s *State) saveRoster() {
	if !s.Settings.Control || s.now.Before(s.rosterDue) {
		return
	}
	s.rosterDue = s.now.Add(rosterInterval)
	hash := uint64(0)
	for _, digest := range s.roster.Digests() {
		hash += digest.Hash
	}
	var peers []string
	for _, vm := range s.members.Alive() {
		if vm.ID != s.Settings.VM {
			peers = append(peers, vm.Peer)
			hash += xxhash.Sum64String(vm.Peer)
		}
	}
	if hash == s.rosterHash {
		return
	}
	s.rosterHash = hash
	s.emit(SaveRoster{Records: s.roster.Live(s.now), Peers: peers})
}

// countEntries counts the VMs that may send requests to servers, and those of them
// that come before this one in the order of names.
func (s *State) countEntries() (all, before int) {
	for _, domain := range s.members.Domains(s.now) {
		for _, entry := range domain.Entries {
			if entry.Entry == "" {
				continue
			}
			all++
			if entry.ID < s.Settings.VM {
				before++
			}
		}
	}
	return max(1, all), before
}

// tellServers sends the news of the roster that came up since the last tick: what
// this VM heard itself to all failure domains, and what it passes on to its own.
func (s *State) tellServers() {
	s.ownNews = append(s.ownNews, s.roster.TakeUpdates()...)
	for batch := range slices.Chunk(s.ownNews, roster.MaxBatch) {
		s.tellDomain(Message{Servers: &ServerNews{Records: batch}})
		s.tellRelays(Message{Servers: &ServerNews{Records: batch, Relay: true}})
	}
	for batch := range slices.Chunk(s.relayNews, roster.MaxBatch) {
		s.tellDomain(Message{Servers: &ServerNews{Records: batch}})
	}
	s.ownNews, s.relayNews = nil, nil
	s.noteRosterChange()
}

// noteRosterChange lets the pools follow at the next tick: news comes in bursts.
func (s *State) noteRosterChange() {
	if s.roster.Changed {
		s.roster.Changed = false
		s.placesStale = true
	}
}

// receiveServers takes records of another VM. What is new here is passed on within
// the failure domain by a relay; what this VM knows better is told to all.
func (s *State) receiveServers(n ServerNews) {
	s.ownNews = append(s.ownNews, s.roster.TakeUpdates()...)
	s.roster.Merge(n.Records, s.now)
	for _, r := range s.roster.TakeUpdates() {
		switch entry := s.roster.Find(r.ID); {
		case entry != nil && entry.AnnouncedHere():
			s.ownNews = append(s.ownNews, r)
		case n.Relay:
			s.relayNews = append(s.relayNews, r)
		}
	}
	s.noteRosterChange()
}

// youngAge is the time after its start in which a VM learns all servers.
const youngAge = 5 * time.Second

// compareRoster exchanges indexes with a VM whose digests differ. While news is on
// its way all VMs differ a little, so only a VM that has just started compares more
// than one failure domain at a time.
func (s *State) compareRoster(m Message) {
	differing := s.roster.DifferingDomains(m.Roster, s.now)
	if len(differing) > 1 && s.now.Sub(s.started) > youngAge {
		s.compareTurn++
		at := s.compareTurn % len(differing)
		differing = differing[at : at+1]
	}
	for _, domain := range differing {
		s.sendIndex(m.Gossip.From.Peer, domain, true)
	}
}

func (s *State) sendIndex(peer, domain string, answer bool) {
	s.transmit(peer, Message{Index: &ServerIndex{
		Peer:   s.Settings.Peer,
		Domain: domain,
		Known:  s.roster.Index(domain),
		Answer: answer,
	}})
}

// receiveIndex sends the other VM what it lacks.
func (s *State) receiveIndex(index ServerIndex) {
	lacking := s.roster.Diff(index.Domain, index.Known, s.now)
	for batch := range slices.Chunk(lacking, roster.MaxBatch) {
		s.transmit(index.Peer, Message{Servers: &ServerNews{Records: batch}})
	}
	if index.Answer {
		s.sendIndex(index.Peer, index.Domain, false)
	}
}
