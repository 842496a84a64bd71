package clock

import "time"

// Clock is a source of time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives once the duration has passed.
	After(time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
