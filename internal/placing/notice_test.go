package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

func noticePool(servers int) *Pool {
	p := NewPool(Policy{Service: "s"}, Site{Domain: "a", Region: "r"})
	var infos []ServerInfo
	for i := range servers {
		infos = append(infos, ServerInfo{ID: fmt.Sprint("s", i), Address: fmt.Sprint("s", i), Start: 1, Slots: 4, Site: Site{Domain: "a", Region: "r"}})
	}
	p.Update(infos)
	return p
}

// A server that says that it leaves, or wants no requests for a while, gets none,
// whatever the load of the others.
func TestServersGetNothingAfterTheirNotice(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		notice routing.Notice
		after  time.Duration
		want   bool // a request may go to the server
	}{
		"leaving":              {notice: routing.Notice{Leaving: true}, after: time.Hour},
		"stay away, within":    {notice: routing.Notice{StayAway: 4 * time.Second}, after: 3900 * time.Millisecond},
		"stay away, after":     {notice: routing.Notice{StayAway: 4 * time.Second}, after: 4 * time.Second, want: true},
		"stay away, for hours": {notice: routing.Notice{StayAway: time.Hour}, after: 59 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := noticePool(2)
			p.Find("s0").Note(test.notice, start)
			used := false
			for i := range 200 {
				choice := p.Choose(Request{Class: "c", Object: fmt.Sprint(i), Remaining: 10 * time.Second, Target: time.Second}, start.Add(test.after))
				if choice.Server == nil {
					break
				}
				used = used || choice.Server.ID == "s0"
				p.Begin(choice.Server, start.Add(test.after))
			}
			if used != test.want {
				t.Errorf("server used: %v, want %v", used, test.want)
			}
		})
	}
}

func TestNewStartEndsNotices(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := noticePool(1)
	p.Find("s0").Note(routing.Notice{Leaving: true, StayAway: time.Hour}, start)
	p.Update([]ServerInfo{{ID: "s0", Address: "s0", Start: 2, Slots: 4, Site: Site{Domain: "a", Region: "r"}}})
	if choice := p.Choose(Request{Class: "c", Remaining: time.Second, Target: time.Second}, start); choice.Server == nil {
		t.Errorf("refused: %s", choice.Refused)
	}
}

// Where all servers want no requests for a while, the caller is told to return when
// the first of them takes requests again, and not before.
func TestRefusalNamesTheEndOfTheShortestStay(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := noticePool(3)
	for i, s := range p.Servers {
		s.Note(routing.Notice{StayAway: time.Duration(7+i) * time.Second}, start)
	}
	for i := range uint64(50) {
		choice := p.Choose(Request{Class: "c", Remaining: 10 * time.Second, Target: time.Second, Fallback: i * 31}, start.Add(time.Second))
		if choice.Refused != ServersBusy || choice.RetryAfter < 6*time.Second || choice.RetryAfter > 7500*time.Millisecond {
			t.Fatalf("%q, Retry-After %v, want servers-busy and 6 to 7.5 s", choice.Refused, choice.RetryAfter)
		}
	}
}
