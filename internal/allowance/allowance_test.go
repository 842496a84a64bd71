package allowance

import (
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit = routing.Limit{Named: true, PerSecond: 10}
)

func request(id uint64, count int) Request {
	return Request{ID: id, Start: Start{Server: "s", Time: 1}, Limit: limit, Count: count}
}

// An allocator gives out nothing while allowances of a previous one may be in use: at its
// first request, after it stood still, and when it becomes the allocator again.
func TestNewAllocatorWaits(t *testing.T) {
	tests := map[string]func(*Allocator, time.Time){
		"first request":   func(*Allocator, time.Time) {},
		"stood still":     func(a *Allocator, _ time.Time) { a.Reset() },
		"allocates again": func(a *Allocator, now time.Time) { a.Retain(func(string) bool { return false }, now) },
	}
	for name, forget := range tests {
		t.Run(name, func(t *testing.T) {
			a := &Allocator{}
			now := start
			if name != "first request" {
				a.Allow(request(1, 1), limit, 1, now)
				now = now.Add(10 * TTL)
			}
			forget(a, now)
			if g := a.Allow(request(2, 1), limit, 1, now); g.Count != 0 || g.Wait < TTL {
				t.Errorf("first answer %+v, want none and a wait of %v", g, TTL)
			}
			if g := a.Allow(request(3, 1), limit, 1, now.Add(TTL)); g.Count != 0 {
				t.Errorf("%d allowances after %v, want none", g.Count, TTL)
			}
			if g := a.Allow(request(4, 1), limit, 1, now.Add(TTL+time.Second/10)); g.Count != 1 {
				t.Errorf("%d allowances once there is one, want 1", g.Count)
			}
		})
	}
}

// VMs that get nothing are told to return one after the other, so that each finds an
// allowance.
func TestWaitingVMsReturnInTurn(t *testing.T) {
	a := &Allocator{}
	a.Allow(request(0, 1), limit, 1, start)
	now := start.Add(TTL)
	last := time.Duration(0)
	for i := range 5 {
		g := a.Allow(request(uint64(i), 1), limit, 1, now)
		if g.Count != 0 || g.Wait < last+time.Second/10 {
			t.Errorf("answer %d: %+v, want a wait of at least %v", i, g, last+time.Second/10)
		}
		last = g.Wait
	}
	if again := a.Allow(request(9, 1), limit, 1, now.Add(time.Second)); again.Count != 1 {
		t.Errorf("%+v, want one allowance", again)
	}
}

func TestAllowancesAreShared(t *testing.T) {
	a := &Allocator{}
	a.Allow(request(0, 1), routing.Limit{Named: true, PerSecond: 100}, 1, start)
	now := start.Add(TTL)
	for i := range 3 {
		a.Allow(request(uint64(i), 5), routing.Limit{Named: true, PerSecond: 100}, 1, now)
	}
	now = now.Add(200 * time.Millisecond)
	if g := a.Allow(request(9, 100), routing.Limit{Named: true, PerSecond: 100}, 1, now); g.Count != 5 {
		t.Errorf("%d of 20 allowances for one of four VMs, want 5", g.Count)
	}
}
