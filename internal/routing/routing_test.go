package routing

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pool(servers, slots int) *Pool {
	p := &Pool{Domain: "a"}
	for i := range servers {
		p.Announce(Announcement{
			ID:      fmt.Sprintf("s%03d", i),
			Address: "127.0.0.1:1",
			Slots:   slots,
			State:   StateServing,
		}, start, start)
	}
	return p
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	p := pool(3, 2)
	granted := 0
	for {
		s := p.Choose(nil, true)
		if s == nil {
			break
		}
		p.Begin(s)
		granted++
	}
	if granted != 6 {
		t.Errorf("granted %d, want 6", granted)
	}
}

// A server that fails at once looks faster than the others; it must not attract
// their requests.
func TestServerThatFailsFastIsEjected(t *testing.T) {
	p := pool(4, 4)
	now := start
	failed := 0
	for range 400 {
		now = now.Add(time.Millisecond)
		s := p.Choose(nil, true)
		p.Begin(s)
		if s.ID == "s000" {
			failed++
			p.End(s, ResultError, time.Microsecond, now)
			continue
		}
		p.End(s, ResultOK, 20*time.Millisecond, now)
	}
	if failed > failuresToEject {
		t.Errorf("%d requests went to the failing server, want at most %d", failed, failuresToEject)
	}
}

// When all servers fail, the cause is likely not the servers. Half of them must
// stay in use.
func TestAtMostHalfThePoolIsEjected(t *testing.T) {
	p := pool(4, 1)
	for _, s := range p.Servers {
		for range failuresToEject {
			p.Begin(s)
			p.End(s, ResultError, 0, start)
		}
	}
	if free := p.FreeSlots(); free < 2 {
		t.Errorf("%d servers left, want at least 2", free)
	}
}

// A slow server that reports no load must not be preferred to a faster one.
func TestReportedLoadDoesNotOutweighLatency(t *testing.T) {
	p := pool(2, 10)
	p.Servers[0].Load = 0
	p.Servers[1].Load = 5
	p.Servers[0].latency, p.Servers[1].latency = 0.2, 0.02
	p.Refresh(start)
	if s := p.Choose(nil, true); s.ID != "s001" {
		t.Errorf("chose %s, want the faster s001", s.ID)
	}
}

func TestExpiredServerGetsNoRequests(t *testing.T) {
	p := pool(1, 1)
	p.Refresh(start.Add(AnnouncementTTL))
	if s := p.Choose(nil, true); s != nil {
		t.Errorf("chose %s after its announcement expired", s.ID)
	}
}

func TestNewServerIsWarmedUp(t *testing.T) {
	p := pool(1, 8)
	p.WarmUp = 10 * time.Second
	s := p.Servers[0]
	if got := s.UsableSlots(start, p.WarmUp); got != 2 {
		t.Errorf("slots at the start: %d, want 2", got)
	}
	s.Expires = start.Add(time.Hour)
	if got := s.UsableSlots(start.Add(10*time.Second), p.WarmUp); got != 8 {
		t.Errorf("slots after the warm-up: %d, want 8", got)
	}
}

// A revoked loan leaves a borrowed server without slots. The lower limit of one slot
// during warm-up must not apply to it.
func TestServerWithoutSlotsGetsNoRequestsDuringWarmUp(t *testing.T) {
	p := pool(1, 4)
	p.WarmUp = 10 * time.Second
	s := p.Servers[0]
	s.warmUpStart = start
	s.Slots = 0
	p.Refresh(start)
	if got := p.Choose(nil, true); got != nil {
		t.Errorf("chose %s, which has no slots", got.ID)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{20, 500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p := pool(servers, 5)
			b.ReportAllocs()
			for b.Loop() {
				s := p.Choose(nil, true)
				p.Begin(s)
				p.End(s, ResultOK, time.Millisecond, start)
			}
		})
	}
}
