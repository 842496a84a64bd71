package routing

import "time"

// Ejection keeps a server from new work for a while after failures in a row, longer
// each time; a server embeds it.
type Ejection struct {
	failures  int // bad answers in a row
	ejections int // since the last good answer
	until     time.Time
	probing   bool // back from ejection, one request at a time
}

// Backoff is how long ejections last: First, doubled each time, and Most at most.
type Backoff struct{ First, Max time.Duration }

// RecordFailure counts a failure and reports whether the server is due for ejection: after so
// many in a row, or at once where it is back from one.
func (e *Ejection) RecordFailure(limit int) bool {
	e.failures++
	return e.failures >= limit || e.probing
}

// Eject takes the server out.
func (e *Ejection) Eject(b Backoff, now time.Time) {
	const doublings = 10 // so that the shift cannot overflow
	e.until = now.Add(min(b.First<<min(e.ejections, doublings), b.Max))
	e.ejections++
	e.failures = 0
	e.probing = true
}

// Ejected reports whether the server is out.
func (e *Ejection) Ejected(now time.Time) bool { return now.Before(e.until) }

// Probing reports whether the server was ejected and has not shown since that it works.
func (e *Ejection) Probing() bool { return e.probing }

// EndProbe lets a server have further requests before it gave a good answer.
func (e *Ejection) EndProbe() { e.probing = false }

// ResetFailures forgets all failures after a good answer.
func (e *Ejection) ResetFailures() { e.failures, e.ejections, e.probing = 0, 0, false }
