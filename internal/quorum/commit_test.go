package quorum

import (
	"testing"
	"time"
)

// leaderWithOldEntry returns a leader of term 3 whose log has an uncommitted entry
// of term 2 at index 2.
func leaderWithOldEntry(t *testing.T, m mutations) (*State, time.Time) {
	t.Helper()
	config := Config{Voters: []Replica{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	s := New(DefaultSettings("a"), DurableState{
		Hard:     HardState{Term: 2},
		Snapshot: Snapshot{Config: config},
		Entries:  []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	}, epoch)
	s.mutations = m
	now := epoch.Add(time.Minute)
	s.Tick(now)
	s.Receive(Message{Kind: MessagePreVoteReply, From: "b", To: "a", Term: 3}, now)
	s.Saved(s.saveSequence, now)
	s.Receive(Message{Kind: MessageVoteReply, From: "b", To: "a", Term: 3}, now)
	if s.Role != RoleLeader {
		t.Fatalf("role %s, want leader", s.Role)
	}
	return s, now
}

// An entry of an earlier term that a majority holds may still be replaced by
// another leader; it commits only together with an entry of the leader's own
// term.
func TestOldTermsCommitOnlyWithOwnTerm(t *testing.T) {
	tests := map[string]struct {
		mutations mutations
		want      uint64
	}{
		"rule on":  {want: 0},
		"rule off": {mutations: mutations{commitOldTerms: true}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := leaderWithOldEntry(t, test.mutations)
			s.Receive(Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Index: 2}, now)
			if s.Commit != test.want {
				t.Errorf("commit index %d, want %d", s.Commit, test.want)
			}
			s.Saved(s.saveSequence, now)
			s.Receive(Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Index: 3}, now)
			if s.Commit != 3 {
				t.Errorf("commit index %d after the entry of its own term, want 3", s.Commit)
			}
		})
	}
}

// A leader that gets no replies from a quorum steps down within twice the
// election timeout.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s, now := leaderWithOldEntry(t, mutations{})
	for end := now.Add(2 * s.Settings.ElectionTimeout); now.Before(end); now = now.Add(step) {
		s.Tick(now)
	}
	if s.Role == RoleLeader {
		t.Error("a leader without a quorum still leads")
	}
}

// A removed leader that took the time of its next heartbeat for the present waited longer.
func TestRemovedLeaderWaitsOneElectionTimeout(t *testing.T) {
	s, now := leaderWithOldEntry(t, mutations{})
	s.Saved(s.saveSequence, now)
	s.Receive(Message{Kind: MessageAppendReply, From: "b", To: "a", Term: 3, Index: 3}, now)
	s.ProposeChange(1, Change{Kind: ChangeRemove, Replica: Replica{ID: "a"}}, now)
	s.Saved(s.saveSequence, now)
	s.heartbeatDue = now.Add(time.Hour)
	for _, voter := range []ID{"b", "c"} {
		s.Receive(Message{Kind: MessageAppendReply, From: voter, To: "a", Term: 3, Index: 4}, now)
	}
	if s.Role != RoleFollower {
		t.Fatalf("role %s after its removal, want follower", s.Role)
	}
	if wait := s.electionDue.Sub(now); wait < s.Settings.ElectionTimeout || wait >= 2*s.Settings.ElectionTimeout {
		t.Errorf("next election in %v, want %v to %v", wait, s.Settings.ElectionTimeout, 2*s.Settings.ElectionTimeout)
	}
}
