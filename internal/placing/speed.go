package placing

import (
	"time"
)

// speed is how fast a server runs work now, as it reported it last.
type speed struct {
	pace float64 // ratio of the run time of work to its usual one; 0 if it was never reported
	at   time.Time
}

// Ages of a reported pace. A server changes its pace several times a second; slow spells of about
// 600 ms are usual, so that half of them have ended at 300 ms.
const (
	paceHalfWeightAge = 300 * time.Millisecond
	maxPaceAge        = time.Second
	maxPace           = 12.0 // highest pace that counts, as with maxSlowness
)

// paceWeight returns how much a pace of an age counts, from 1 to 0; the rest is the usual pace.
func paceWeight(age time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age <= paceHalfWeightAge:
		return 1 - 0.5*float64(age)/float64(paceHalfWeightAge)
	case age < maxPaceAge:
		return 0.5 * float64(maxPaceAge-age) / float64(maxPaceAge-paceHalfWeightAge)
	default:
		return 0
	}
}

// Pace returns the expected pace of the server: 1 is usual, as is a server that reports none.
func (s *Server) Pace(now time.Time) float64 {
	if s.speed.pace == 0 {
		return 1
	}
	return 1 + (s.speed.pace-1)*paceWeight(now.Sub(s.speed.at))
}

// recordPace stores a pace that the server reported.
func (s *Server) recordPace(pace float64, now time.Time) {
	if pace > 0 {
		s.speed = speed{pace: min(pace, maxPace), at: now}
	}
}

// usualRun returns how long a run would have taken at the usual pace, both in seconds. The pace that
// was expected at the send counts for the first half of the run, and the one reported at its end for
// the second, each by its weight: a slow time may be shorter than the run.
func usualRun(run, paceAtSend, paceAtEnd float64) float64 {
	if paceAtEnd == 0 {
		return run
	}
	if paceAtSend == 0 {
		paceAtSend = 1
	}
	half := seconds(run / 2)
	slower := (1-1/min(paceAtEnd, maxPace))*weightedTime(half) + (1-1/paceAtSend)*weightedTime(half)
	return run - slower
}

// weightedTime returns the seconds of a time, each part of which counts by paceWeight.
func weightedTime(d time.Duration) float64 {
	first := min(d, paceHalfWeightAge)
	sum := first.Seconds() * (1 + paceWeight(first)) / 2
	if d = min(d, maxPaceAge); d > paceHalfWeightAge {
		sum += (d - paceHalfWeightAge).Seconds() * (paceWeight(paceHalfWeightAge) + paceWeight(d)) / 2
	}
	return sum
}
