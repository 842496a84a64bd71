package placing

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits at this entry for a slot.
type Waiter struct {
	ID         uint64
	Class      string
	Rank       int
	Deadline   time.Time
	TargetTime time.Time // after it, an answer has lost most of its value
	Bytes      int       // that the entry holds for it
	Since      time.Time // zero for a request that has not waited yet

	triedAt time.Time
}

// Limits of the requests that wait for slots of one service at one entry.
const (
	maxWaiters      = 128                    // 2.5 times the 3.4 long requests/s of an entry, for 15 s
	maxWaitingBytes = 4 << 20                // of bodies
	maxTries        = 16                     // waiting requests for which servers are compared at a time, so that a long queue costs little
	tryInterval     = 100 * time.Millisecond // between tries of one request where no run has ended here
)

// Waiting holds the requests of a service that wait for slots at this entry.
type Waiting struct {
	waiters       []Waiter
	bytes         int
	promisedUntil time.Time // when the next refused caller may be asked to return
}

// Len returns how many requests wait.
func (w *Waiting) Len() int { return len(w.waiters) }

// Bytes returns how much the entry holds for them.
func (w *Waiting) Bytes() int { return w.bytes }

// Remove takes the request out of the queue, and returns it.
func (w *Waiting) Remove(id uint64) (Waiter, bool) {
	at := slices.IndexFunc(w.waiters, func(x Waiter) bool { return x.ID == id })
	if at < 0 {
		return Waiter{}, false
	}
	x := w.waiters[at]
	w.waiters = slices.Delete(w.waiters, at, at+1)
	w.bytes -= x.Bytes
	return x, true
}

// Hold lets a request wait that found no slot, if a slot is expected while it can still be answered. One
// that waited before, as Since tells, is let in beyond the bounds of the queue: it counted there.
func (p *Pool) Hold(x Waiter, now time.Time) bool {
	w := &p.Waiting
	wait := 0.0
	if x.Since.IsZero() {
		if len(w.waiters) >= maxWaiters || w.bytes+x.Bytes > maxWaitingBytes {
			return false
		}
		wait = p.waitFor(len(w.waiters)+1, x.Class, now)
		x.Since = now
	}
	if wait+p.usualRunTimes(Request{Class: x.Class}).warm > maxRemainingShare*x.Deadline.Sub(now).Seconds() {
		return false
	}
	x.triedAt = now
	w.waiters = append(w.waiters, x)
	w.bytes += x.Bytes
	return true
}

// waitFor returns after how many seconds this entry will have started so many requests of the class,
// at the rate at which it did lately.
func (p *Pool) waitFor(count int, class string, now time.Time) float64 {
	rate := 0.0
	if c := p.mix.find(class); c != nil {
		rate = c.rate(now)
	}
	return float64(count) / max(rate, 1/mixTime.Seconds())
}

// retryPart is the part of its time left, 1/n, after which the caller of a refused request returns at
// the latest, whatever it is told.
const retryPart = 3

// Promise returns the time after which the caller of a long request that may not wait is asked to return:
// when those who wait have started, one place after the caller that was told so last. Beyond the time
// that callers heed no place is given away.
func (p *Pool) Promise(req Request, now time.Time) time.Duration {
	w := &p.Waiting
	place := seconds(p.waitFor(1, req.Class, now))
	after := max(minRetryAfter, seconds(p.waitFor(len(w.waiters)+1, req.Class, now)), w.promisedUntil.Sub(now))
	longest := max(minRetryAfter, req.Remaining/retryPart)
	if after > longest {
		return longest
	}
	w.promisedUntil = now.Add(after + place)
	return after
}

// Due returns the waiting requests for which servers should be compared now: first those that can be
// answered in target, by rank and by the time left for that, then the others by rank and time left.
// ended tells that a run has ended, so that there may be room.
func (p *Pool) Due(ended bool, now time.Time) []uint64 {
	w := &p.Waiting
	if len(w.waiters) == 0 {
		return nil
	}
	slices.SortStableFunc(w.waiters, func(a, b Waiter) int {
		lateA, lateB := p.willBeLate(a, now), p.willBeLate(b, now)
		switch {
		case lateA != lateB && lateB:
			return -1
		case lateA != lateB:
			return 1
		case a.Rank != b.Rank:
			return cmp.Compare(a.Rank, b.Rank)
		case lateA:
			return a.Deadline.Compare(b.Deadline)
		default:
			return a.TargetTime.Compare(b.TargetTime)
		}
	})
	var due []uint64
	for i := range w.waiters {
		x := &w.waiters[i]
		if len(due) < maxTries && (ended || now.Sub(x.triedAt) >= tryInterval) {
			x.triedAt = now
			due = append(due, x.ID)
		}
	}
	return due
}

func (p *Pool) willBeLate(x Waiter, now time.Time) bool {
	return now.Add(seconds(p.usualRunTimes(Request{Class: x.Class}).warm)).After(x.TargetTime)
}

// Expired returns the waiting requests that cannot be answered in time any more.
func (p *Pool) Expired(now time.Time) []uint64 {
	var expired []uint64
	for _, x := range p.Waiting.waiters {
		if p.usualRunTimes(Request{Class: x.Class}).warm > maxRemainingShare*x.Deadline.Sub(now).Seconds() {
			expired = append(expired, x.ID)
		}
	}
	return expired
}
