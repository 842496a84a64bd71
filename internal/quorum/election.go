package quorum

import "time"

// startPreVote asks whether an election could be won, without raising the
// term, so that a replica back from a cut disturbs nobody.
func (s *State) startPreVote(now time.Time) {
	s.become(RolePreCandidate, "", now)
	s.soonElection(now)
	s.votes = make(map[ID]bool)
	for _, voter := range s.config.Voters {
		if voter.ID == s.Settings.ID {
			continue
		}
		s.send(Message{
			Kind:    MessagePreVote,
			To:      voter.ID,
			Term:    s.Hard.Term + 1,
			Index:   s.log.last(),
			LogTerm: s.log.lastTerm(),
		})
	}
	s.countPreVote(s.Settings.ID, true, now)
}

func (s *State) onPreVote(m Message, now time.Time) {
	grant := m.Term > s.Hard.Term && s.mayVoteFor(m) && !s.leaderFresh(now) && !s.diskFailed
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
		s.yield(m.From, now)
	}
	s.send(reply)
}

// yield lets another replica go first: of two that look for votes at once, the
// one with the lower id goes on, so that their votes are not split.
func (s *State) yield(other ID, now time.Time) {
	switch {
	case s.Role == RolePreCandidate && other < s.Settings.ID:
		s.become(RoleFollower, "", now)
		s.soonElection(now)
	case s.Role == RoleFollower:
		s.soonElection(now)
	}
}

func (s *State) mayVoteFor(m Message) bool {
	return s.faults.voteWithoutCompare || s.log.upToDate(m.Index, m.LogTerm)
}

func (s *State) onPreVoteReply(m Message, now time.Time) {
	if s.Role != RolePreCandidate {
		return
	}
	if !m.Reject && m.Term != s.Hard.Term+1 {
		return
	}
	s.countPreVote(m.From, !m.Reject, now)
}

func (s *State) countPreVote(from ID, granted bool, now time.Time) {
	s.votes[from] = granted
	if s.granted() >= s.majority() {
		s.startElection(now)
	}
}

func (s *State) granted() int {
	n := 0
	for _, voter := range s.config.Voters {
		if s.votes[voter.ID] {
			n++
		}
	}
	return n
}

// startElection raises the term; requests leave only after the own vote is on
// disk.
func (s *State) startElection(now time.Time) {
	s.Hard = HardState{Term: s.Hard.Term + 1, Vote: s.Settings.ID}
	s.become(RoleCandidate, "", now)
	s.votes = make(map[ID]bool)
	var requests []Message
	for _, voter := range s.config.Voters {
		if voter.ID == s.Settings.ID {
			continue
		}
		requests = append(requests, Message{
			Kind:    MessageVote,
			To:      voter.ID,
			Index:   s.log.last(),
			LogTerm: s.log.lastTerm(),
		})
	}
	s.save(nil, nil, requests...)
}

func (s *State) onVote(m Message, now time.Time) {
	free := s.Hard.Vote == "" || s.Hard.Vote == m.From || s.faults.forgetVote
	grant := m.Term == s.Hard.Term && free && s.mayVoteFor(m) && !s.diskFailed
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: !grant}
	if !grant {
		s.send(reply)
		return
	}
	s.Hard.Vote = m.From
	s.resetElection(now)
	s.save(nil, nil, reply)
}

func (s *State) countVote(from ID, granted bool, now time.Time) {
	s.votes[from] = granted
	if s.granted() >= s.majority() {
		s.lead(now)
	}
}

// lead starts the term with an empty entry: entries of earlier terms commit
// only together with one of the leader's own.
func (s *State) lead(now time.Time) {
	s.become(RoleLeader, s.Settings.ID, now)
	s.peers = make(map[ID]*progress)
	s.reads = nil
	s.ensurePeers(now)
	s.appendEntry(Entry{Kind: EntryNoop})
	s.heartbeat(now)
}

func (s *State) ensurePeers(now time.Time) {
	for _, replica := range s.config.Replicas() {
		if replica.ID == s.Settings.ID || s.peers[replica.ID] != nil {
			continue
		}
		s.peers[replica.ID] = &progress{next: s.log.last() + 1, heardAt: now}
	}
}
