package dispatch

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// The owner of a service grants no slot of a server that said that it leaves or wants no
// requests; a new start of the server ends both.
func TestOwnerHeedsNotices(t *testing.T) {
	tests := map[string]struct {
		notice  routing.Notice
		after   time.Duration // since the notice
		restart bool          // the server announces a new start
		granted bool
		retry   time.Duration // of a denial, at least
	}{
		"leaving":              {notice: routing.Notice{Leaving: true}},
		"leaving, new start":   {notice: routing.Notice{Leaving: true}, restart: true, granted: true},
		"stay away":            {notice: routing.Notice{StayAway: 9 * time.Second}, retry: 9 * time.Second},
		"stay away, new start": {notice: routing.Notice{StayAway: 9 * time.Second}, restart: true, granted: true},
		"stay away, over":      {notice: routing.Notice{StayAway: time.Second}, after: time.Second, granted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a", Region: "r"}, &quarantine.Table{}, 1<<40)
			server := routing.Announcement{ID: "s1", Address: "127.0.0.1:1", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}
			p.Announce(server, start)
			p.Note(ServerNotice{Service: "web", Server: "s1", Notice: test.notice}, start)
			now := start.Add(test.after)
			if test.restart {
				server.Start = 2
			}
			p.Announce(server, now)
			var answer *Answer
			for _, effect := range p.RequestSlot(SlotRequest{From: "b", ID: 1, Service: "web", Remaining: target}, now) {
				if reply, ok := effect.(Reply); ok {
					answer = &reply.Answer
				}
			}
			switch {
			case answer == nil:
				t.Error("the request waits")
			case test.granted != (answer.Grant != nil):
				t.Errorf("answer %+v, want a grant: %v", answer, test.granted)
			case answer.Denial != nil && answer.Denial.RetryAfter < test.retry:
				t.Errorf("retry after %v, want %v", answer.Denial.RetryAfter, test.retry)
			}
		})
	}
}

// The owner of a borrowed server finds it by the id that it has there.
func TestNoticeOfBorrowedServerReachesItsOwner(t *testing.T) {
	lender := NewPool(policy(), Location{VM: "a", Peer: "a", Domain: "a", Region: "r"}, &quarantine.Table{}, 1<<40)
	lender.Announce(routing.Announcement{ID: "s1", Address: "127.0.0.1:1", Service: "web", Slots: 4, State: routing.StateServing, Start: 1}, start)
	lessee := NewPool(policy(), Location{VM: "b", Peer: "b", Domain: "b", Region: "r"}, &quarantine.Table{}, 1<<41)
	lessee.AcceptLoan(Loan{Service: "web", Lender: "a", Domain: "a", Region: "r", Sequence: 1, TTL: loanTTL, Slots: []LoanSlots{{Server: "s1", Address: "127.0.0.1:1", Slots: 2}}}, 0, start)
	borrowed := lessee.Routing.Servers[0]
	for _, effect := range lessee.Note(ServerNotice{Service: "web", Server: borrowed.ID, Notice: routing.Notice{Leaving: true}}, start) {
		if notice, ok := effect.(SendNotice); ok && notice.Domain == "a" {
			lender.Note(notice.Notice, start)
		}
	}
	if !borrowed.SaidLeaving() || !lender.Routing.Find("s1").SaidLeaving() {
		t.Errorf("leaving at the lessee %v, at the owner %v, want both", borrowed.SaidLeaving(), lender.Routing.Find("s1").SaidLeaving())
	}
}
