package quorum

import (
	"slices"
	"time"
)

// Propose appends data to the log; the entry may still be lost when this
// leader loses its term, so the caller waits for Apply at the index and term.
func (s *State) Propose(proposal uint64, data []byte, now time.Time) []Effect {
	if s.Role != RoleLeader || s.diskFailed {
		s.emit(Refused{Proposal: proposal, Reason: RefuseNotLeader})
		return s.take()
	}
	index := s.appendEntry(Entry{Kind: EntryData, Data: data})
	s.emit(Appended{Proposal: proposal, Index: index, Term: s.Hard.Term})
	s.replicateAll(now)
	return s.take()
}

func (s *State) appendEntry(entry Entry) uint64 {
	entry.Index = s.log.last() + 1
	entry.Term = s.Hard.Term
	s.log.entries = append(s.log.entries, entry)
	if entry.Kind == EntryConfig {
		s.config, s.configIndex = entry.Config, entry.Index
	}
	s.save([]Entry{entry}, nil)
	return entry.Index
}

// Read asks for a linearizable read: ReadReady follows once a quorum confirmed
// that this replica still leads.
func (s *State) Read(read uint64, now time.Time) []Effect {
	term, _ := s.log.term(s.Commit)
	if s.Role != RoleLeader || term != s.Hard.Term {
		s.emit(Refused{Proposal: read, Reason: RefuseNotLeader})
		return s.take()
	}
	s.reads = append(s.reads, pendingRead{id: read, index: s.Commit, round: s.round + 1})
	s.heartbeat(now)
	s.confirmReads()
	return s.take()
}

func (s *State) heartbeat(now time.Time) {
	s.round++
	s.heartbeatDue = now.Add(s.Settings.HeartbeatInterval)
	s.ensurePeers(now)
	for _, replica := range s.config.Replicas() {
		if replica.ID != s.Settings.ID {
			s.replicate(replica.ID, now, true)
		}
	}
	s.advanceCommit()
}

func (s *State) replicateAll(now time.Time) {
	for _, replica := range s.config.Replicas() {
		if replica.ID != s.Settings.ID {
			s.replicate(replica.ID, now, false)
		}
	}
}

// maxFlying bounds the messages under way to one peer: what is proposed
// meanwhile leaves together with the next reply. A heartbeat forgets lost ones.
const maxFlying = 4

// replicate sends what the peer lacks. Entries are sent ahead of the reply;
// a lost message shows as a rejected later one, which moves next back.
func (s *State) replicate(to ID, now time.Time, evenEmpty bool) {
	p := s.peers[to]
	if p == nil {
		return
	}
	before, held := s.log.term(p.next - 1)
	if !held {
		s.sendPiece(to, p, now)
		if evenEmpty {
			s.sendEmpty(to)
		}
		return
	}
	if evenEmpty {
		p.flying = 0
	}
	if p.flying >= maxFlying {
		return
	}
	entries := s.log.from(p.next, s.Settings.MaxBatchBytes)
	if len(entries) == 0 && !evenEmpty {
		return
	}
	if len(entries) > 0 {
		p.flying++
	}
	s.send(Message{
		Kind:    MessageAppend,
		To:      to,
		Index:   p.next - 1,
		LogTerm: before,
		Entries: entries,
		Commit:  s.Commit,
		Round:   s.round,
	})
	p.next += uint64(len(entries))
}

// sendEmpty keeps a peer that is still receiving a snapshot from starting an
// election.
func (s *State) sendEmpty(to ID) {
	s.send(Message{Kind: MessageAppend, To: to, Index: 0, Round: s.round})
}

func (s *State) onAppend(m Message, now time.Time) {
	if m.Term < s.Hard.Term {
		s.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: s.log.last()})
		return
	}
	s.heardLeader = now
	s.become(RoleFollower, m.From, now)
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if m.Index < s.log.snapshot.Index {
		m = s.trimCovered(m)
	}
	if term, held := s.log.term(m.Index); !held || term != m.LogTerm {
		reply.Reject = true
		reply.Index = min(s.log.last(), max(m.Index, 1)-1)
		s.saveReply(reply, nil)
		return
	}
	fresh := s.log.merge(m.Entries)
	if len(fresh) > 0 {
		s.config, s.configIndex = s.log.config(s.log.last())
		s.savedIndex = min(s.savedIndex, fresh[0].Index-1)
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	s.saveReply(reply, fresh)
	s.commitTo(min(m.Commit, reply.Index))
}

// trimCovered drops the entries of an append that the snapshot already holds.
func (s *State) trimCovered(m Message) Message {
	snapshot := s.log.snapshot
	for len(m.Entries) > 0 && m.Entries[0].Index <= snapshot.Index {
		m.Entries = m.Entries[1:]
	}
	m.Index, m.LogTerm = snapshot.Index, snapshot.Term
	return m
}

// saveReply answers only after every earlier save is durable, because the
// reply speaks for all entries up to its index.
func (s *State) saveReply(reply Message, fresh []Entry) {
	if len(fresh) == 0 && len(s.unsaved) == 0 {
		s.send(reply)
		return
	}
	s.save(fresh, nil, reply)
}

func (s *State) onAppendReply(m Message, now time.Time) {
	p := s.peers[m.From]
	if s.Role != RoleLeader || p == nil || m.Term != s.Hard.Term {
		return
	}
	p.heardAt = now
	p.flying = max(0, p.flying-1)
	p.round = max(p.round, m.Round)
	s.confirmReads()
	if m.Reject {
		p.next = max(min(p.next-1, m.Index+1), p.match+1)
		s.replicate(m.From, now, false)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		p.sending = 0
		s.advanceCommit()
	}
	s.replicate(m.From, now, false)
}

// advanceCommit commits the highest index of this term that a majority of
// voters has synced.
func (s *State) advanceCommit() {
	matches := make([]uint64, 0, len(s.config.Voters))
	for _, voter := range s.config.Voters {
		switch p := s.peers[voter.ID]; {
		case voter.ID == s.Settings.ID:
			matches = append(matches, s.savedIndex)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-s.majority()]
	if s.faults.commitBeforeQuorum {
		index = s.log.last()
	}
	if term, held := s.log.term(index); !held || (term != s.Hard.Term && !s.faults.commitOldTerms) {
		return
	}
	before := s.Commit
	s.commitTo(index)
	if s.Commit > before {
		s.leaveWhenRemoved()
	}
}

// leaveWhenRemoved steps down once the leader's own removal has committed.
func (s *State) leaveWhenRemoved() {
	if s.configIndex <= s.Commit && !s.config.IsVoter(s.Settings.ID) {
		s.become(RoleFollower, "", s.heartbeatDue)
	}
}

func (s *State) commitTo(index uint64) {
	index = min(index, s.log.last())
	for s.Commit < index {
		s.Commit++
		s.Applied = s.Commit
		s.emit(Apply{Entry: s.log.at(s.Commit)})
	}
}

func (s *State) confirmReads() {
	kept := s.reads[:0]
	for _, read := range s.reads {
		if s.confirmed(read.round) {
			s.emit(ReadReady{Read: read.id, Index: read.index})
			continue
		}
		kept = append(kept, read)
	}
	s.reads = kept
}

func (s *State) confirmed(round uint64) bool {
	n := 0
	for _, voter := range s.config.Voters {
		p := s.peers[voter.ID]
		if voter.ID == s.Settings.ID || (p != nil && p.round >= round) {
			n++
		}
	}
	return n >= s.majority()
}
