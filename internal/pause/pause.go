package pause

import (
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// MinLength is the shortest pause that counts: callers give up on a call after a second.
const MinLength = 700 * time.Millisecond

// ClearTime is how long after a pause the process may still read what arrived during it.
const ClearTime = time.Second

// Detector finds pauses between the calls of its methods.
type Detector struct {
	Clock clock.Clock

	mutex     sync.Mutex
	seenAt    time.Time
	resumedAt time.Time // end of the last pause; zero for none
}

// Observe notes that the process runs. It is called at intervals far below MinLength.
func (d *Detector) Observe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.observe()
}

func (d *Detector) observe() time.Time {
	now := d.Clock.Now()
	if !d.seenAt.IsZero() {
		// The steady clock stands still on a VM that is suspended, the time of day doesn't. A
		// step of the time of day counts as a pause too.
		byDay := now.Round(0).Sub(d.seenAt.Round(0)).Abs()
		if max(now.Sub(d.seenAt), byDay) >= MinLength {
			d.resumedAt = now
		}
	}
	d.seenAt = now
	return now
}

// JustResumed reports whether a pause has ended within ClearTime, or is being noticed by
// this call.
func (d *Detector) JustResumed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.observe()
	return !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < ClearTime
}
