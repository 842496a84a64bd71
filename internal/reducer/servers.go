package reducer

import (
	"slices"
	"time"

	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// serverSeen takes the announcement of a server that reached this VM.
func (s *State) serverSeen(e ServerSeen) {
	r := e.Record
	held := s.roster.Find(r.ID)
	if e.Gone {
		answer := ServerTaken{Known: held != nil}
		if held != nil {
			answer.Start = held.Start
			answer.Closed = s.closedInLog(r.ID, held.Start)
			s.noteServer("ended", held.Record)
			s.roster.End(r.ID, s.now)
		}
		s.emit(Answer{Call: e.Call, Value: answer})
		return
	}
	answer := ServerTaken{Known: true, Start: r.Start}
	answer.Reason = checkServer(r)
	if answer.Reason == "" {
		before := roster.Record{}
		if held != nil {
			before = held.Record
		}
		answer.Held = !s.roster.Announce(r, s.now)
		if !answer.Held && (before.Start != r.Start || before.Leaving != r.Leaving || before.Silent) {
			s.noteServer("announced", r)
		}
	}
	answer.Closed = s.closedInLog(r.ID, r.Start)
	s.emit(Answer{Call: e.Call, Value: answer})
}

func (s *State) noteServer(outcome string, r roster.Record) {
	s.emit(Decision{Code: CodeServerHeard, Outcome: outcome, Fields: []Field{
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
	if entries := s.countEntries(); entries != s.entries {
		s.entries = entries
		s.placesStale = true
	}
	if s.placesStale {
		s.placesStale = false
		s.updatePlaces()
	}
}

const rosterInterval = 2 * time.Second // between saves, which cost a sync each

// saveRoster keeps what changed in the roster, on VMs with a data folder.
func (s *State) saveRoster() {
	if !s.Settings.Control || s.now.Before(s.rosterDue) {
		return
	}
	s.rosterDue = s.now.Add(rosterInterval)
	hash := uint64(0)
	for _, digest := range s.roster.Digests() {
		hash += digest.Hash
	}
	if hash == s.rosterHash {
		return
	}
	s.rosterHash = hash
	s.emit(SaveRoster{Records: s.roster.Live(s.now)})
}

// countEntries counts the VMs that may send requests to servers.
func (s *State) countEntries() int {
	count := 0
	for _, domain := range s.members.Domains(s.now) {
		for _, entry := range domain.Entries {
			if entry.Entry != "" {
				count++
			}
		}
	}
	return max(1, count)
}

// tellServers sends the news of the roster that came up since the last tick: what
// this VM heard itself to all failure domains, and what it passes on to its own.
func (s *State) tellServers() {
	s.ownNews = append(s.ownNews, s.roster.TakeNews()...)
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
	s.ownNews = append(s.ownNews, s.roster.TakeNews()...)
	s.roster.Merge(n.Records, s.now)
	for _, r := range s.roster.TakeNews() {
		switch entry := s.roster.Find(r.ID); {
		case entry != nil && entry.Direct():
			s.ownNews = append(s.ownNews, r)
		case n.Relay:
			s.relayNews = append(s.relayNews, r)
		}
	}
	if n.Peer != "" {
		s.sendServers(n.Peer, n.Domains, "")
	}
	s.noteRosterChange()
}

// compareRoster exchanges records with a VM whose digests differ.
func (s *State) compareRoster(m Message) {
	if differing := s.roster.Differing(m.Roster, s.now); len(differing) > 0 {
		s.sendServers(m.Gossip.From.Peer, differing, s.Settings.Peer)
	}
}

func (s *State) sendServers(peer string, domains []string, reply string) {
	var records []roster.Record
	for _, domain := range domains {
		records = append(records, s.roster.Of(domain, s.now)...)
	}
	for {
		batch := records[:min(len(records), roster.MaxBatch)]
		records = records[len(batch):]
		if len(records) == 0 {
			s.transmit(peer, Message{Servers: &ServerNews{Records: batch, Domains: domains, Peer: reply}})
			return
		}
		s.transmit(peer, Message{Servers: &ServerNews{Records: batch}})
	}
}
