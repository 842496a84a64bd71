package quorum

import "time"

// chunkResendInterval is how long the leader waits for a reply before it sends a
// chunk again, if the peer has answered a heartbeat that was sent after the chunk.
const chunkResendInterval = 500 * time.Millisecond

// Compact replaces the log up to the applied index by data, a snapshot of the
// replicated state machine at that index. The caller decides how often.
func (s *State) Compact(data []byte, now time.Time) []Effect {
	term, found := s.log.term(s.Applied)
	if !found || s.Applied == s.log.snapshot.Index {
		return nil
	}
	config, _ := s.log.configAt(s.Applied)
	snapshot := Snapshot{Index: s.Applied, Term: term, Config: config.clone(), Data: data}
	s.log.compact(snapshot)
	s.save(s.log.entries, &snapshot)
	return s.takeEffects()
}

// sendChunk sends the next chunk of the snapshot to a peer whose next entry is
// compacted away; one chunk is in flight at a time.
func (s *State) sendChunk(to ID, p *progress, now time.Time) {
	snapshot := s.log.snapshot
	switch {
	case p.probing:
		return
	case p.snapshotIndex != snapshot.Index:
		p.snapshotIndex, p.chunkOffset = snapshot.Index, 0
	case p.chunkSentAt.IsZero():
	case now.Sub(p.chunkSentAt) < chunkResendInterval || p.confirmedRound <= p.chunkRound:
		return
	}
	p.chunkSentAt, p.chunkRound = now, s.round
	end := min(p.chunkOffset+uint64(s.Settings.ChunkBytes), uint64(len(snapshot.Data)))
	s.send(Message{
		Kind: MessageSnapshotChunk,
		To:   to,
		Piece: SnapshotChunk{
			Index:  snapshot.Index,
			Term:   snapshot.Term,
			Config: snapshot.Config,
			Offset: p.chunkOffset,
			Total:  uint64(len(snapshot.Data)),
			Data:   snapshot.Data[p.chunkOffset:end],
		},
	})
}

func (s *State) onSnapshotChunk(m Message, now time.Time) {
	if m.Term < s.Hard.Term {
		return
	}
	s.leaderMessageAt = now
	s.become(RoleFollower, m.From, now)
	chunk := m.Piece
	if chunk.Index <= s.Commit {
		s.reply(Message{Kind: MessageAppendReply, To: m.From, Index: s.Commit}, nil)
		return
	}
	if chunk.Offset == 0 || chunk.Index != s.incomingChunk.Index || chunk.Term != s.incomingChunk.Term {
		s.incomingData, s.incomingChunk = nil, chunk
	}
	if chunk.Offset == uint64(len(s.incomingData)) {
		s.incomingData = append(s.incomingData, chunk.Data...)
	}
	if uint64(len(s.incomingData)) < chunk.Total {
		reply := SnapshotChunk{Index: chunk.Index, Offset: uint64(len(s.incomingData))}
		s.send(Message{Kind: MessageSnapshotChunkReply, To: m.From, Piece: reply})
		return
	}
	s.installSnapshot(m.From, chunk)
}

func (s *State) installSnapshot(from ID, chunk SnapshotChunk) {
	snapshot := Snapshot{Index: chunk.Index, Term: chunk.Term, Config: chunk.Config.clone(), Data: s.incomingData}
	s.incomingData, s.incomingChunk = nil, SnapshotChunk{}
	s.log.compact(snapshot)
	s.config, s.configIndex = s.log.configAt(s.log.lastIndex())
	s.Commit, s.Applied = snapshot.Index, snapshot.Index
	s.savedIndex = max(min(s.savedIndex, s.log.lastIndex()), snapshot.Index)
	s.save(s.log.entries, &snapshot, Message{Kind: MessageAppendReply, To: from, Index: snapshot.Index})
	s.emit(Restore{Snapshot: snapshot})
}

func (s *State) onSnapshotChunkReply(m Message, now time.Time) {
	p := s.peers[m.From]
	if s.Role != RoleLeader || p == nil || m.Term != s.Hard.Term {
		return
	}
	p.lastReplyAt = now
	if p.snapshotIndex != m.Piece.Index || m.Piece.Offset > uint64(len(s.log.snapshot.Data)) {
		return
	}
	if m.Piece.Offset == p.chunkOffset {
		// The reply to a copy; a second chunk in flight would double all that follow.
		return
	}
	p.chunkOffset = m.Piece.Offset
	p.chunkSentAt = time.Time{}
	s.sendChunk(m.From, p, now)
}
