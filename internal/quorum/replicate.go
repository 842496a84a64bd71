package quorum

import (
	"slices"
	"time"
)

// Propose appends data to the log. The entry may still be lost when this
// replica stops being the leader, so the caller waits for Apply at the index and
// term.
func (s *State) Propose(proposal uint64, data []byte, now time.Time) []Effect {
	if s.Role != RoleLeader || s.diskFailed {
		s.emit(Refused{Proposal: proposal, Reason: RefuseNotLeader})
		return s.takeEffects()
	}
	index := s.appendEntry(Entry{Kind: EntryData, Data: data})
	s.emit(Appended{Proposal: proposal, Index: index, Term: s.Hard.Term})
	s.replicateAll(now)
	return s.takeEffects()
}

func (s *State) appendEntry(entry Entry) uint64 {
	entry.Index = s.log.lastIndex() + 1
	entry.Term = s.Hard.Term
	s.log.entries = append(s.log.entries, entry)
	if entry.Kind == EntryConfig {
		s.config, s.configIndex = entry.Config, entry.Index
	}
	s.save([]Entry{entry}, nil)
	return entry.Index
}

// Read starts a linearizable read: ReadReady follows once a quorum has confirmed
// that this replica is still the leader.
func (s *State) Read(read uint64, now time.Time) []Effect {
	term, _ := s.log.term(s.Commit)
	if s.Role != RoleLeader || term != s.Hard.Term {
		s.emit(Refused{Proposal: read, Reason: RefuseNotLeader})
		return s.takeEffects()
	}
	s.reads = append(s.reads, pendingRead{id: read, index: s.Commit, round: s.round + 1})
	s.heartbeat(now)
	s.confirmReads()
	return s.takeEffects()
}

func (s *State) heartbeat(now time.Time) {
	s.round++
	s.heartbeatDue = now.Add(s.Settings.HeartbeatInterval)
	s.trackPeers(now)
	for _, replica := range s.config.Replicas() {
		if replica.ID != s.Settings.ID {
			s.replicate(replica.ID, now, true)
		}
	}
	s.advanceCommit(now)
}

func (s *State) replicateAll(now time.Time) {
	for _, replica := range s.config.Replicas() {
		if replica.ID != s.Settings.ID {
			s.replicate(replica.ID, now, false)
		}
	}
}

// maxInFlight limits the unanswered messages to one peer, and their bytes to as many
// batches. Entries proposed in the meantime are sent together at the next reply. A
// heartbeat resets the count, as messages may be lost, but not the bytes.
const maxInFlight = 4

// replicate sends the entries that the peer lacks, without waiting for earlier
// replies. A heartbeat is sent even when there are no entries.
func (s *State) replicate(to ID, now time.Time, heartbeat bool) {
	p := s.peers[to]
	if p == nil {
		return
	}
	if !p.probing && now.Sub(p.lastReplyAt) >= s.Settings.ElectionTimeout {
		s.probe(p)
	}
	prevTerm, found := s.log.term(p.nextIndex - 1)
	if !found {
		s.sendChunk(to, p, now)
		if heartbeat {
			s.sendEmptyAppend(to)
		}
		return
	}
	if heartbeat {
		p.inFlight = 0
	}
	var entries []Entry
	if !p.probing && p.inFlight < maxInFlight && p.bytesInFlight() < maxInFlight*s.Settings.MaxBatchBytes {
		entries = s.log.entriesFrom(p.nextIndex, s.Settings.MaxBatchBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	s.send(Message{
		Kind:    MessageAppend,
		To:      to,
		Index:   p.nextIndex - 1,
		LogTerm: prevTerm,
		Entries: entries,
		Commit:  s.Commit,
		Round:   s.round,
	})
	if len(entries) > 0 {
		p.firstSent = min(p.firstSent, p.nextIndex)
		p.nextIndex += uint64(len(entries))
		p.inFlight++
		p.sent = append(p.sent, sentAppend{lastIndex: p.nextIndex - 1, bytes: sizeOf(entries)})
	}
}

func (p *progress) bytesInFlight() int {
	n := 0
	for _, sent := range p.sent {
		n += sent.bytes
	}
	return n
}

// probe holds back entries until the peer answers a message sent from now on. The
// higher round tells such an answer from earlier ones.
func (s *State) probe(p *progress) {
	s.round++
	p.probing, p.probeRound = true, s.round
}

// sendEmptyAppend sends a heartbeat to a peer that is still receiving a snapshot,
// so that it doesn't start an election.
func (s *State) sendEmptyAppend(to ID) {
	s.send(Message{Kind: MessageAppend, To: to, Index: 0, Round: s.round})
}

func (s *State) onAppend(m Message, now time.Time) {
	if m.Term < s.Hard.Term {
		s.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: s.log.lastIndex()})
		return
	}
	s.leaderMessageAt = now
	s.become(RoleFollower, m.From, now)
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if m.Index < s.log.snapshot.Index {
		m = s.trimCompacted(m)
	}
	if term, found := s.log.term(m.Index); !found || term != m.LogTerm {
		reply.Reject = true
		reply.Index = min(s.log.lastIndex(), max(m.Index, 1)-1)
		s.send(reply)
		return
	}
	added := s.log.merge(m.Entries)
	if len(added) > 0 {
		s.config, s.configIndex = s.log.configAt(s.log.lastIndex())
		s.savedIndex = min(s.savedIndex, added[0].Index-1)
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	s.reply(reply, added)
	s.commitTo(min(m.Commit, reply.Index))
}

// trimCompacted drops the entries of an append that this snapshot covers.
func (s *State) trimCompacted(m Message) Message {
	snapshot := s.log.snapshot
	for len(m.Entries) > 0 && m.Entries[0].Index <= snapshot.Index {
		m.Entries = m.Entries[1:]
	}
	m.Index, m.LogTerm = snapshot.Index, snapshot.Term
	return m
}

// reply sends the reply to an append once the added entries and all before them are synced,
// because it acknowledges all entries up to its index. A heartbeat is answered at once, with
// what is synced by then: a leader whose followers have slow disks would take them for lost.
func (s *State) reply(reply Message, added []Entry) {
	switch {
	case len(added) > 0:
		s.save(added, nil, reply)
	case !slices.ContainsFunc(s.pendingSaves, func(p pendingSave) bool { return p.snapshot }):
		if len(s.pendingSaves) > 0 {
			reply.Index = min(reply.Index, s.savedIndex)
		}
		s.send(reply)
	default:
		s.save(nil, nil, reply)
	}
}

func (s *State) onAppendReply(m Message, now time.Time) {
	p := s.peers[m.From]
	if s.Role != RoleLeader || p == nil || m.Term != s.Hard.Term {
		return
	}
	p.lastReplyAt = now
	p.inFlight = max(0, p.inFlight-1)
	p.confirmedRound = max(p.confirmedRound, m.Round)
	s.confirmReads()
	if m.Reject {
		s.onReject(m, p, now)
		return
	}
	if m.Round >= p.probeRound || m.Index+1 >= p.nextIndex {
		p.probing = false
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.sent = slices.DeleteFunc(p.sent, func(a sentAppend) bool { return a.lastIndex <= m.Index })
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		p.snapshotIndex = 0
		s.advanceCommit(now)
	}
	s.replicate(m.From, now, false)
}

// maxResendBytes limits the entries that are sent again at the first rejection: on a
// link of 2 Mbit/s they take about a round trip.
const maxResendBytes = 16 << 10

// onReject moves nextIndex back after a rejection. A message can overtake entries in
// transit, so a larger amount is sent again only after the peer has also rejected an
// empty message that was sent after the first rejection, and has accepted one.
func (s *State) onReject(m Message, p *progress, now time.Time) {
	if p.probing && m.Round < p.probeRound {
		return
	}
	next := max(min(p.nextIndex-1, m.Index+1), p.matchIndex+1)
	bulk := p.probing || s.log.sizeFrom(next) > maxResendBytes
	if !bulk || p.probing || next < p.firstSent {
		p.nextIndex, p.sent = next, nil
	}
	if bulk {
		s.probe(p)
	}
	s.replicate(m.From, now, bulk)
}

// advanceCommit commits up to the highest index that a majority of voters has
// synced, when its entry is of this term.
func (s *State) advanceCommit(now time.Time) {
	matches := make([]uint64, 0, len(s.config.Voters))
	for _, voter := range s.config.Voters {
		switch p := s.peers[voter.ID]; {
		case voter.ID == s.Settings.ID:
			matches = append(matches, s.savedIndex)
		case p != nil:
			matches = append(matches, p.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-s.majority()]
	if s.mutations.commitBeforeQuorum {
		index = s.log.lastIndex()
	}
	if term, found := s.log.term(index); !found || (term != s.Hard.Term && !s.mutations.commitOldTerms) {
		return
	}
	oldCommit := s.Commit
	s.commitTo(index)
	if s.Commit > oldCommit {
		s.stepDownIfRemoved(now)
	}
}

// stepDownIfRemoved steps down once the leader's own removal is committed.
func (s *State) stepDownIfRemoved(now time.Time) {
	if s.configIndex <= s.Commit && !s.config.IsVoter(s.Settings.ID) {
		s.become(RoleFollower, "", now)
	}
}

func (s *State) commitTo(index uint64) {
	index = min(index, s.log.lastIndex())
	for s.Commit < index {
		s.Commit++
		s.Applied = s.Commit
		s.emit(Apply{Entry: s.log.entry(s.Commit)})
	}
}

func (s *State) confirmReads() {
	kept := s.reads[:0]
	for _, read := range s.reads {
		if s.roundConfirmed(read.round) {
			s.emit(ReadReady{Read: read.id, Index: read.index})
			continue
		}
		kept = append(kept, read)
	}
	s.reads = kept
}

func (s *State) roundConfirmed(round uint64) bool {
	n := 0
	for _, voter := range s.config.Voters {
		p := s.peers[voter.ID]
		if voter.ID == s.Settings.ID || (p != nil && p.confirmedRound >= round) {
			n++
		}
	}
	return n >= s.majority()
}
