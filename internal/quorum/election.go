package quorum

import "time"

// startPreVote asks the voters whether they would vote for this replica, without
// raising the term: a replica that returns from a network partition deposes no
// leader.
func (s *State) startPreVote(now time.Time) {
	s.become(RolePreCandidate, "", now)
	s.scheduleEarlyElection(now)
	s.votes = make(map[ID]bool)
	for _, voter := range s.config.Voters {
		if voter.ID == s.Settings.ID {
			continue
		}
		s.send(Message{
			Kind:    MessagePreVote,
			To:      voter.ID,
			Term:    s.Hard.Term + 1,
			Index:   s.log.lastIndex(),
			LogTerm: s.log.lastTerm(),
		})
	}
	s.countPreVote(s.Settings.ID, true, now)
}

func (s *State) onPreVote(m Message, now time.Time) {
	grant := m.Term > s.Hard.Term && s.mayVoteFor(m) && !s.leaderActive(now) && !s.diskFailed
	reply := Message{Kind: MessagePreVoteReply, To: m.From}
	if reply.Wait = s.slowElection(now); reply.Wait > 0 {
		grant = false
	}
	reply.Reject = !grant
	if grant {
		reply.Term = m.Term
		s.deferElection(m.From, now)
	}
	s.send(reply)
}

// deferElection gives precedence to another replica that requests pre-votes: of
// two at the same time, the one with the lower id goes on, so that the votes
// are not split.
func (s *State) deferElection(other ID, now time.Time) {
	switch {
	case s.Role == RolePreCandidate && other < s.Settings.ID:
		s.become(RoleFollower, "", now)
		s.scheduleEarlyElection(now)
	case s.Role == RoleFollower:
		s.scheduleEarlyElection(now)
	}
}

func (s *State) mayVoteFor(m Message) bool {
	return s.mutations.voteWithoutLogCheck || s.log.upToDate(m.Index, m.LogTerm)
}

func (s *State) onPreVoteReply(m Message, now time.Time) {
	s.holdElection(m.Wait, now)
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
	if s.grantedVotes() >= s.majority() {
		s.startElection(now)
	}
}

func (s *State) grantedVotes() int {
	n := 0
	for _, voter := range s.config.Voters {
		if s.votes[voter.ID] {
			n++
		}
	}
	return n
}

// startElection raises the term and requests votes; the requests are sent only
// after this replica's own vote is synced.
func (s *State) startElection(now time.Time) {
	s.Hard = HardState{Term: s.Hard.Term + 1, Vote: s.Settings.ID}
	s.become(RoleCandidate, "", now)
	s.awaitVotes(now)
	s.votes = make(map[ID]bool)
	var requests []Message
	for _, voter := range s.config.Voters {
		if voter.ID == s.Settings.ID {
			continue
		}
		requests = append(requests, Message{
			Kind:    MessageVote,
			To:      voter.ID,
			Index:   s.log.lastIndex(),
			LogTerm: s.log.lastTerm(),
		})
	}
	s.save(nil, nil, requests...)
}

func (s *State) onVote(m Message, now time.Time) {
	mayVote := s.Hard.Vote == "" || s.Hard.Vote == m.From || s.mutations.voteTwice
	grant := m.Term == s.Hard.Term && mayVote && s.mayVoteFor(m) && !s.diskFailed
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: !grant}
	if !grant {
		s.send(reply)
		return
	}
	s.Hard.Vote = m.From
	s.awaitVotes(now)
	s.save(nil, nil, reply)
}

func (s *State) countVote(from ID, granted bool, now time.Time) {
	s.votes[from] = granted
	if s.grantedVotes() >= s.majority() {
		s.becomeLeader(now)
	}
}

// becomeLeader starts the term with an empty entry: entries of earlier terms
// commit only together with an entry of the leader's own term.
func (s *State) becomeLeader(now time.Time) {
	s.become(RoleLeader, s.Settings.ID, now)
	s.peers = make(map[ID]*progress)
	s.reads = nil
	s.trackPeers(now)
	s.appendEntry(Entry{Kind: EntryNoop})
	s.heartbeat(now)
}

func (s *State) trackPeers(now time.Time) {
	for _, replica := range s.config.Replicas() {
		if replica.ID == s.Settings.ID || s.peers[replica.ID] != nil {
			continue
		}
		next := s.log.lastIndex() + 1
		s.peers[replica.ID] = &progress{nextIndex: next, firstSent: next, lastReplyAt: now}
	}
}
