package routing

import "time"

// Notice is what a server says about itself in an answer, beside the answer.
type Notice struct {
	Leaving   bool          // it will stop: no new requests until its next start
	StayAway  time.Duration // it wants no requests from this VM for so long; 0 for no such wish
	Limit     Limit         // that it names
	Unlimited bool          // it names none any more
	BadLimit  string        // text of a limit that cannot be read, for the log
}

// Notices is the state of a server according to its notices. A server embeds it.
type Notices struct {
	saidLeaving   bool
	stayAwayUntil time.Time
}

// Note applies a notice. A later end of the time to stay away replaces an earlier one.
func (s *Notices) Note(n Notice, now time.Time) {
	s.saidLeaving = s.saidLeaving || n.Leaving
	if until := now.Add(n.StayAway); n.StayAway > 0 && until.After(s.stayAwayUntil) {
		s.stayAwayUntil = until
	}
}

// SaidLeaving reports whether the server said that it is leaving.
func (s *Notices) SaidLeaving() bool { return s.saidLeaving }

// StayAway returns how much longer the server wants no requests, or 0.
func (s *Notices) StayAway(now time.Time) time.Duration { return max(0, s.stayAwayUntil.Sub(now)) }
