package routing

import "time"

// Ejection keeps new requests from a server for a while after consecutive
// failures, with exponential backoff. A server embeds it.
type Ejection struct {
	failures     int // in a row
	ejections    int // since the last good answer
	ejectedUntil time.Time
	probing      bool // on probation after an ejection, until a good answer
}

// Backoff bounds the length of ejections: the first lasts First, each further one
// twice as long as the one before, at most Max.
type Backoff struct{ First, Max time.Duration }

// RecordFailure counts a failure and reports whether the server should be
// ejected: after limit failures in a row, or after one while on probation.
func (e *Ejection) RecordFailure(limit int) bool {
	e.failures++
	return e.failures >= limit || e.probing
}

// Eject keeps new requests from the server, longer each time, and puts it on
// probation after that.
func (e *Ejection) Eject(b Backoff, now time.Time) {
	const doublings = 10 // so that the shift cannot overflow
	e.ejectedUntil = now.Add(min(b.First<<min(e.ejections, doublings), b.Max))
	e.ejections++
	e.failures = 0
	e.probing = true
}

// Ejected reports whether the server is ejected at the time.
func (e *Ejection) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// Probing reports whether the server was ejected and has given no good answer
// since.
func (e *Ejection) Probing() bool { return e.probing }

// EndProbe ends the probation although the server gave no good answer yet.
func (e *Ejection) EndProbe() { e.probing = false }

// ResetFailures clears all failures and ejections after a good answer.
func (e *Ejection) ResetFailures() { e.failures, e.ejections, e.probing = 0, 0, false }

// Clear ends the ejection and the probation, and forgets all failures.
func (e *Ejection) Clear() { *e = Ejection{} }
