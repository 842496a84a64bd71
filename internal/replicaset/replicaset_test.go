package replicaset

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replica(id, address string) quorum.Replica {
	return quorum.Replica{ID: quorum.ID(id), Address: address}
}

func voter(id string, lastReplyAt time.Time) Member {
	return Member{Replica: replica(id, id), Voter: true, CaughtUp: true, LastReplyAt: lastReplyAt}
}

func learner(id string, caughtUp bool) Member {
	return Member{Replica: replica(id, id), CaughtUp: caughtUp, LastReplyAt: start}
}

func voters(ids ...string) []Member {
	var members []Member
	for i, id := range ids {
		m := voter(id, start)
		m.Self = i == 0
		members = append(members, m)
	}
	return members
}

func TestNextChange(t *testing.T) {
	silent := start.Add(-voterTimeout - time.Second)
	tests := map[string]struct {
		joining []quorum.Replica
		members []Member
		want    quorum.ChangeKind // 0 for none
		wantID  quorum.ID
	}{
		"no join request":                {members: voters("a", "b", "c")},
		"new VM starts as a learner":     {joining: []quorum.Replica{replica("d", "d")}, members: voters("a", "b", "c"), want: quorum.ChangeAdd, wantID: "d"},
		"learner that is behind":         {members: append(voters("a", "b", "c"), learner("d", false))},
		"learner that caught up":         {members: append(voters("a", "b", "c"), learner("d", true)), want: quorum.ChangePromote, wantID: "d"},
		"five voters, no more promoted":  {members: append(voters("a", "b", "c", "d", "e"), learner("f", true))},
		"id of a member's address":       {joining: []quorum.Replica{replica("b/2", "b")}, members: voters("a", "b", "c")},
		"leader never removes itself":    {joining: []quorum.Replica{replica("a/2", "a")}, members: voters("a", "b", "c")},
		"silent voter without successor": {members: append(voters("a", "b", "c", "d"), voter("e", silent))},
		"successor of a silent voter":    {members: append(append(voters("a", "b", "c", "d"), voter("e", silent)), learner("f", true)), want: quorum.ChangePromote, wantID: "f"},
		"silent voter with a successor":  {members: append(voters("a", "b", "c", "d", "f"), voter("e", silent)), want: quorum.ChangeRemove, wantID: "e"},
		"sixth live voter is removed":    {members: voters("a", "b", "c", "d", "e", "f"), want: quorum.ChangeRemove, wantID: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, r := range test.joining {
				s.RecordJoin(JoinRequest{Replica: r}, start)
			}
			s.firstJoinAt = start.Add(-settleTime)
			change := s.NextChange(test.members, start)
			switch {
			case change == nil && test.want == 0:
			case change == nil:
				t.Errorf("no change, want kind %d of %s", test.want, test.wantID)
			case change.Kind != test.want || change.Replica.ID != test.wantID:
				t.Errorf("change %d of %s, want %d of %s", change.Kind, change.Replica.ID, test.want, test.wantID)
			}
		})
	}
}

func TestChangesKeepTheirInterval(t *testing.T) {
	var s State
	s.RecordJoin(JoinRequest{Replica: replica("d", "d")}, start)
	s.RecordJoin(JoinRequest{Replica: replica("e", "e")}, start)
	s.firstJoinAt = start.Add(-settleTime)
	if s.NextChange(voters("a", "b", "c"), start) == nil {
		t.Fatal("no first change")
	}
	if change := s.NextChange(voters("a", "b", "c"), start.Add(changeInterval/2)); change != nil {
		t.Errorf("second change %+v before the interval has passed", change)
	}
}

func TestOldJoinRequestsAreIgnored(t *testing.T) {
	var s State
	s.RecordJoin(JoinRequest{Replica: replica("d", "d")}, start)
	if change := s.NextChange(voters("a", "b", "c"), start.Add(maxJoinAge+time.Second)); change != nil {
		t.Errorf("change %+v for a join request that is too old", change)
	}
}

// A second disk may fail seconds after the first, with a change of leader between
// the two failures: by then the successor of the first voter must be a voter.
func TestFailedVoterIsReplacedWithinFourSeconds(t *testing.T) {
	const limit = 4 * time.Second
	members := append(voters("a", "b", "c", "d", "e"), learner("f", true))
	var s State
	for now := start; now.Before(start.Add(limit)); now = now.Add(500 * time.Millisecond) { // as often as the leader decides
		for i := range members {
			if members[i].Replica.ID != "e" {
				members[i].LastReplyAt = now
			}
		}
		switch change := s.NextChange(members, now); {
		case change == nil:
		case change.Kind == quorum.ChangePromote && change.Replica.ID == "f":
			members[len(members)-1].Voter = true
		case change.Kind == quorum.ChangeRemove && change.Replica.ID == "e":
			return
		default:
			t.Fatalf("unexpected change %v of %s", change.Kind, change.Replica.ID)
		}
	}
	t.Fatalf("the failed voter is still a member after %v", limit)
}
