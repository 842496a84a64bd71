package replicaset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

var kindNames = map[quorum.ChangeKind]string{quorum.ChangeAdd: "add", quorum.ChangePromote: "promote", quorum.ChangeRemove: "remove"}

// Replicas that lost their disks are replaced without a smaller majority, or one that needs a successor that lags.
func TestReplacementsKeepTheMajority(t *testing.T) {
	const catchUpTime = 300 * time.Millisecond
	tests := map[string]struct {
		voters   []string
		learners []string
		lost     []string
		want     []string
	}{
		"one of three": {
			voters: []string{"a", "b", "c"}, lost: []string{"b"},
			want: []string{"add b/2", "remove b", "promote b/2"},
		},
		"one of four": {
			voters: []string{"a", "b", "c", "d"}, lost: []string{"b"},
			want: []string{"add b/2", "promote b/2", "remove b"},
		},
		"two of five": {
			voters: []string{"a", "b", "c", "d", "e"}, lost: []string{"d", "e"},
			want: []string{"add d/2", "add e/2", "remove d", "promote d/2", "remove e", "promote e/2"},
		},
		"two of five beside a learner": {
			voters: []string{"a", "b", "c", "d", "e"}, learners: []string{"f"}, lost: []string{"d", "e"},
			want: []string{"add d/2", "add e/2", "remove d", "promote f", "remove e", "promote d/2"},
		},
		"a voter and a learner": {
			voters: []string{"a", "b", "c", "d", "e"}, learners: []string{"f"}, lost: []string{"e", "f"},
			want: []string{"add e/2", "add f/2", "remove e", "remove f", "promote e/2"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			members := voters(test.voters...)
			for _, id := range test.learners {
				members = append(members, learner(id, true))
			}
			addedAt := make(map[quorum.ID]time.Time)
			var changes []string
			for now := start.Add(changeInterval); now.Before(start.Add(3 * time.Second)); now = now.Add(changeInterval) {
				for _, id := range test.lost {
					s.RecordJoin(JoinRequest{Replica: replica(id+"/2", id), Start: 2}, now)
				}
				for i, m := range members {
					if !slices.Contains(test.lost, string(m.Replica.ID)) {
						members[i].LastReplyAt = now
						members[i].CaughtUp = now.Sub(addedAt[m.Replica.ID]) >= catchUpTime
					}
				}
				change := s.NextChange(members, now)
				if change == nil {
					continue
				}
				changes = append(changes, fmt.Sprint(kindNames[change.Kind], " ", change.Replica.ID))
				at := slices.IndexFunc(members, func(m Member) bool { return m.Replica.ID == change.Replica.ID })
				switch change.Kind {
				case quorum.ChangeAdd:
					members, addedAt[change.Replica.ID] = append(members, Member{Replica: change.Replica, LastReplyAt: now}), now
				case quorum.ChangePromote:
					members[at].Voter = true
				case quorum.ChangeRemove:
					members = slices.Delete(members, at, at+1)
				}
			}
			if !slices.Equal(changes, test.want) {
				t.Errorf("changes %q, want %q", changes, test.want)
			}
		})
	}
}

// A join request that comes late neither removes the successor of its replica nor adds the one that is gone.
func TestLateJoinRequestChangesNothing(t *testing.T) {
	tests := map[string]struct {
		late, present uint64 // starts of the VM
		reported      bool   // the successor has sent a report before
		silent        bool   // and has not answered for a while when the late request comes
	}{
		"from an earlier start":             {late: 1, present: 2, reported: true},
		"from an unknown start":             {reported: true},
		"at a leader without reports":       {late: 1, present: 2},
		"when the link works again":         {late: 1, present: 2, reported: true, silent: true},
		"when the link works, no reports":   {late: 1, present: 2, silent: true},
		"from a later clock, then set back": {late: 2, present: 1, reported: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			members := voters("a", "b/2", "c")
			members[1].Replica.Address = "b"
			answersFrom := start
			if test.silent {
				answersFrom = start.Add(changeInterval)
				members[1].LastReplyAt = start.Add(-2 * time.Second)
			}
			present := JoinRequest{Replica: replica("b/2", "b"), Start: test.present}
			if test.reported {
				s.RecordJoin(present, start.Add(-time.Second))
			}
			s.RecordJoin(JoinRequest{Replica: replica("b", "b"), Start: test.late}, start)
			for now := start; now.Before(start.Add(2 * maxJoinAge)); now = now.Add(changeInterval) {
				for i := range members {
					if i != 1 || !now.Before(answersFrom) {
						members[i].LastReplyAt = now
					}
				}
				if now.Sub(start)%ReportInterval == ReportInterval/2 {
					s.RecordJoin(present, now)
				}
				if change := s.NextChange(members, now); change != nil {
					t.Fatalf("%v after the late request: %s %s", now.Sub(start), kindNames[change.Kind], change.Replica.ID)
				}
			}
		})
	}
}
