package seats

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replica(id, address string) quorum.Replica {
	return quorum.Replica{ID: quorum.ID(id), Address: address}
}

func voter(id string, heard time.Time) Member {
	return Member{Replica: replica(id, id), Voter: true, CaughtUp: true, HeardAt: heard}
}

func learner(id string, caughtUp bool) Member {
	return Member{Replica: replica(id, id), CaughtUp: caughtUp, HeardAt: start}
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

func TestDecide(t *testing.T) {
	silent := start.Add(-silentVoter - time.Second)
	tests := map[string]struct {
		applicants []quorum.Replica
		members    []Member
		want       quorum.ChangeKind // 0 for none
		of         quorum.ID
	}{
		"nothing to do":                  {members: voters("a", "b", "c")},
		"newcomer learns first":          {applicants: []quorum.Replica{replica("d", "d")}, members: voters("a", "b", "c"), want: quorum.ChangeAdd, of: "d"},
		"learner that is behind waits":   {members: append(voters("a", "b", "c"), learner("d", false))},
		"learner that caught up votes":   {members: append(voters("a", "b", "c"), learner("d", true)), want: quorum.ChangePromote, of: "d"},
		"five voters are enough":         {members: append(voters("a", "b", "c", "d", "e"), learner("f", true))},
		"lost disk: the old id goes":     {applicants: []quorum.Replica{replica("b/2", "b")}, members: voters("a", "b", "c"), want: quorum.ChangeRemove, of: "b"},
		"never removes itself":           {applicants: []quorum.Replica{replica("a/2", "a")}, members: voters("a", "b", "c"), want: quorum.ChangeAdd, of: "a/2"},
		"silent voter without successor": {members: append(voters("a", "b", "c", "d"), voter("e", silent))},
		"successor of a silent voter":    {members: append(append(voters("a", "b", "c", "d"), voter("e", silent)), learner("f", true)), want: quorum.ChangePromote, of: "f"},
		"then the silent one goes":       {members: append(voters("a", "b", "c", "d", "f"), voter("e", silent)), want: quorum.ChangeRemove, of: "e"},
		"six live voters stay":           {members: voters("a", "b", "c", "d", "e", "f")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			for _, applicant := range test.applicants {
				s.RecordJoin(applicant, start)
			}
			change := s.NextChange(test.members, start)
			switch {
			case change == nil && test.want == 0:
			case change == nil:
				t.Errorf("no change, want kind %d of %s", test.want, test.of)
			case change.Kind != test.want || change.Replica.ID != test.of:
				t.Errorf("change %d of %s, want %d of %s", change.Kind, change.Replica.ID, test.want, test.of)
			}
		})
	}
}

func TestOneChangeAtATime(t *testing.T) {
	var s State
	s.RecordJoin(replica("d", "d"), start)
	s.RecordJoin(replica("e", "e"), start)
	if s.NextChange(voters("a", "b", "c"), start) == nil {
		t.Fatal("no first change")
	}
	if change := s.NextChange(voters("a", "b", "c"), start.Add(settleTime/2)); change != nil {
		t.Errorf("second change %+v before the first settled", change)
	}
}

func TestOldApplicationsCountNothing(t *testing.T) {
	var s State
	s.RecordJoin(replica("d", "d"), start)
	if change := s.NextChange(voters("a", "b", "c"), start.Add(applicantFresh+time.Second)); change != nil {
		t.Errorf("change %+v for an applicant that went silent", change)
	}
}

// A second disk may go seconds after the first, with a change of leader between
// them: the successor has to hold the vote before that.
func TestDeadVoterIsOutWithinFourSeconds(t *testing.T) {
	const limit = 4 * time.Second
	members := append(voters("a", "b", "c", "d", "e"), learner("f", true))
	var s State
	for now := start; now.Before(start.Add(limit)); now = now.Add(500 * time.Millisecond) { // as often as the leader decides
		for i := range members {
			if members[i].Replica.ID != "e" {
				members[i].HeardAt = now
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
	t.Fatalf("the dead voter still counts after %v", limit)
}
