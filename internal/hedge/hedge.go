package hedge

import "time"

// Rules of a second try.
const (
	lateFactor = 2.0                   // expected times after which a request is late
	minDelay   = 50 * time.Millisecond // a request that is shorter is late by chance of the network and of processors
	maxShare   = 0.75                  // of what is left of the target that the second try may be expected to take, or its answer would be late too
)

// Delay returns how long after its send a request is late, by the expected time until its answer.
func Delay(expected time.Duration) time.Duration {
	return max(time.Duration(lateFactor*float64(expected)), minDelay)
}

// Candidate is a server for a second try.
type Candidate struct {
	Expected time.Duration // until its answer
	Load     float64       // estimated requests at the server
	Slots    int
}

// Worth reports whether a second try should go to the server, if so much of the target is left. Where
// slots are short, second tries would delay the first tries of others.
func (c Candidate) Worth(left time.Duration) bool {
	return c.Expected.Seconds() <= maxShare*left.Seconds() && c.Load+1 <= float64(c.Slots)
}
