package quorum

import "testing"

// Messages for a replica that lost its disk reached its successor at the same address.
func TestMessageForAnotherReplicaChangesNothing(t *testing.T) {
	messages := map[string]Message{
		"vote":           {Kind: MessageVote, Term: 7},
		"pre-vote":       {Kind: MessagePreVote, Term: 7},
		"entries":        {Kind: MessageAppend, Term: 7, Entries: []Entry{{Index: 1, Term: 7}}, Commit: 1},
		"snapshot chunk": {Kind: MessageSnapshotChunk, Term: 7, Piece: SnapshotChunk{Index: 3, Term: 7}},
	}
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			c := newCluster(3, 1, mutations{})
			s := New(DefaultSettings("r2/second"), DurableState{}, c.now)
			m.From, m.To = "r0", "r2"
			effects := s.Receive(m, c.now)
			if s.Hard != (HardState{}) || s.LastIndex() != 0 || s.Commit != 0 || len(effects) > 0 {
				t.Errorf("hard state %+v, last index %d, commit %d, effects %v, want none", s.Hard, s.LastIndex(), s.Commit, effects)
			}
		})
	}
}
