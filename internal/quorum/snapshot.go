package quorum

import "time"

const pieceResend = 500 * time.Millisecond

// Compact replaces the log up to the applied index by a snapshot of the state
// machine; the shell calls it after every so many entries.
func (s *State) Compact(data []byte, now time.Time) []Effect {
	term, held := s.log.term(s.Applied)
	if !held || s.Applied == s.log.snapshot.Index {
		return nil
	}
	config, _ := s.log.config(s.Applied)
	snapshot := Snapshot{Index: s.Applied, Term: term, Config: config.clone(), Data: data}
	s.log.compact(snapshot)
	s.save(s.log.entries, &snapshot)
	return s.take()
}

// sendPiece sends the next part of the snapshot to a peer whose next entry is
// compacted away; one part is under way at a time.
func (s *State) sendPiece(to ID, p *progress, now time.Time) {
	snapshot := s.log.snapshot
	if p.sending != snapshot.Index {
		p.sending, p.piece = snapshot.Index, 0
	} else if now.Sub(p.pieceAt) < pieceResend {
		return
	}
	p.pieceAt = now
	end := min(p.piece+uint64(s.Settings.ChunkBytes), uint64(len(snapshot.Data)))
	s.send(Message{
		Kind: MessageSnapshotChunk,
		To:   to,
		Piece: SnapshotChunk{
			Index:  snapshot.Index,
			Term:   snapshot.Term,
			Config: snapshot.Config,
			Offset: p.piece,
			Total:  uint64(len(snapshot.Data)),
			Data:   snapshot.Data[p.piece:end],
		},
	})
}

func (s *State) onPiece(m Message, now time.Time) {
	if m.Term < s.Hard.Term {
		return
	}
	s.heardLeader = now
	s.become(RoleFollower, m.From, now)
	piece := m.Piece
	if piece.Index <= s.Commit {
		s.saveReply(Message{Kind: MessageAppendReply, To: m.From, Index: s.Commit}, nil)
		return
	}
	if piece.Offset == 0 || piece.Index != s.incomingAt.Index || piece.Term != s.incomingAt.Term {
		s.incoming, s.incomingAt = nil, piece
	}
	if piece.Offset == uint64(len(s.incoming)) {
		s.incoming = append(s.incoming, piece.Data...)
	}
	if uint64(len(s.incoming)) < piece.Total {
		reply := SnapshotChunk{Index: piece.Index, Offset: uint64(len(s.incoming))}
		s.send(Message{Kind: MessageSnapshotChunkReply, To: m.From, Piece: reply})
		return
	}
	s.install(m.From, piece)
}

func (s *State) install(from ID, piece SnapshotChunk) {
	snapshot := Snapshot{Index: piece.Index, Term: piece.Term, Config: piece.Config.clone(), Data: s.incoming}
	s.incoming, s.incomingAt = nil, SnapshotChunk{}
	s.log.compact(snapshot)
	s.config, s.configIndex = s.log.config(s.log.last())
	s.Commit, s.Applied = snapshot.Index, snapshot.Index
	s.savedIndex = max(min(s.savedIndex, s.log.last()), snapshot.Index)
	s.save(s.log.entries, &snapshot, Message{Kind: MessageAppendReply, To: from, Index: snapshot.Index})
	s.emit(Restore{Snapshot: snapshot})
}

func (s *State) onPieceReply(m Message, now time.Time) {
	p := s.peers[m.From]
	if s.Role != RoleLeader || p == nil || m.Term != s.Hard.Term {
		return
	}
	p.heardAt = now
	if p.sending != m.Piece.Index || m.Piece.Offset > uint64(len(s.log.snapshot.Data)) {
		return
	}
	p.piece = m.Piece.Offset
	p.pieceAt = time.Time{}
	s.sendPiece(m.From, p, now)
}
