package quorum

import (
	"testing"
	"time"
)

// leaderWithOldEntry returns a leader of term 3 that holds an entry of term 2
// which a majority has, but which is not committed.
func leaderWithOldEntry(t *testing.T, set faults) (*State, time.Time) {
	t.Helper()
	config := Config{Voters: []Replica{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	s := New(DefaultSettings("a"), DurableState{
		Hard:     HardState{Term: 2},
		Snapshot: Snapshot{Config: config},
		Entries:  []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	}, epoch)
	s.faults = set
	now := epoch.Add(time.Minute)
	s.Tick(now)
	s.Receive(Message{Kind: MessagePreVoteReply, From: "b", Term: 3}, now)
	s.Saved(s.saveSequence, now)
	s.Receive(Message{Kind: MessageVoteReply, From: "b", Term: 3}, now)
	if s.Role != RoleLeader {
		t.Fatalf("role %s, want leader", s.Role)
	}
	return s, now
}

// An entry of an earlier term that a majority holds may still be replaced by
// another leader; it commits only under an entry of the leader's own term.
func TestOldTermsCommitOnlyUnderTheOwn(t *testing.T) {
	tests := map[string]struct {
		set  faults
		want uint64
	}{
		"rule kept":   {want: 0},
		"rule broken": {set: faults{commitOldTerms: true}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := leaderWithOldEntry(t, test.set)
			s.Receive(Message{Kind: MessageAppendReply, From: "b", Term: 3, Index: 2}, now)
			if s.Commit != test.want {
				t.Errorf("commit index %d, want %d", s.Commit, test.want)
			}
			s.Saved(s.saveSequence, now)
			s.Receive(Message{Kind: MessageAppendReply, From: "b", Term: 3, Index: 3}, now)
			if s.Commit != 3 {
				t.Errorf("commit index %d after the own entry, want 3", s.Commit)
			}
		})
	}
}

// A leader that no longer hears a quorum stops leading within twice the
// election time.
func TestLeaderCutOffStepsDown(t *testing.T) {
	s, now := leaderWithOldEntry(t, faults{})
	for end := now.Add(2 * s.Settings.ElectionTimeout); now.Before(end); now = now.Add(step) {
		s.Tick(now)
	}
	if s.Role == RoleLeader {
		t.Error("a leader without a quorum still leads")
	}
}
